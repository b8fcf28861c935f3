import copy
import unittest

import msgspec
from returns.result import Failure, Success

from bluebellbeam.config import decode_effective, decode_settings
from bluebellbeam.examples import EXAMPLES, read_example


def _encode(value):
    return msgspec.json.encode(value)


def _faults(base, overlays=None):
    raw = {name: _encode(item) for name, item in (overlays or {}).items()}
    match decode_effective(_encode(base), raw, ""):
        case Failure(found):
            return [str(fault) for _, fault in found]
        case Success(_):
            return []


class TestExamples(unittest.TestCase):
    def test_examples_are_valid(self):
        for name in EXAMPLES:
            self.assertEqual(_faults(*read_example(name)), [])

    def test_overlay_applies_only_to_its_site(self):
        base, overlays = read_example("fraserleaf")
        raw = {name: _encode(item) for name, item in overlays.items()}
        here = decode_effective(_encode(base), raw, "fsj-hall").unwrap().base
        there = decode_effective(_encode(base), raw, "burnaby-hall").unwrap().base
        self.assertEqual(len(here.workspaces["field-notes"].allowed_regions), 2)
        self.assertEqual(len(there.workspaces["field-notes"].allowed_regions), 3)


class TestBrokenFiles(unittest.TestCase):
    """Each mistake in a file gives a fault with the path of the value and a fix."""

    def setUp(self):
        base, self.overlays = read_example("fraserleaf")
        self.base = copy.deepcopy(base)

    def _expect(self, path, *words):
        faults = _faults(self.base, self.overlays)
        self.assertTrue(faults, "no fault was found")
        matching = [fault for fault in faults if fault.startswith(f"{path}: ")]
        self.assertTrue(matching, faults)
        for word in words:
            self.assertIn(word, matching[0])

    def test_unknown_field_is_refused_with_the_nearest_name(self):
        self.base["workspaces"]["field-notes"]["wieght"] = 2
        self._expect(
            "$.workspaces[...]", "unknown field 'wieght'", "did you mean 'weight'?"
        )

    def test_missing_field_is_refused(self):
        del self.base["models"]["inspect"]["version"]
        self._expect("$.models[...]", "field 'version' is missing")

    def test_value_of_wrong_type_is_refused(self):
        self.base["policy"] = {"lease_ms": "long"}
        self._expect("$.policy.lease_ms", "Expected `int`")

    def test_unknown_region_is_refused_with_the_nearest_name(self):
        regions = self.base["workspaces"]["field-notes"]["allowed_regions"]
        regions[0] = "lower-mainlnd"
        self._expect(
            "$.workspaces.field-notes.allowed_regions[0]",
            "unknown region",
            "did you mean 'lower-mainland'?",
        )

    def test_unknown_model_is_refused_with_the_nearest_name(self):
        self.base["workspaces"]["field-notes"]["models"] = ["inspct"]
        self._expect("$.workspaces.field-notes.models[0]", "did you mean 'inspect'")

    def test_home_region_that_is_not_allowed_is_refused(self):
        workspace = self.base["workspaces"]["okanagan-orchards"]
        workspace["home_region"] = "peace-river"
        self._expect("$.workspaces.okanagan-orchards.home_region", "is not allowed")

    def test_overlay_that_widens_regions_is_refused(self):
        change = {"allowed_regions": ["peace-river"]}
        self.overlays["fsj-hall"]["workspaces"] = {"okanagan-orchards": change}
        self._expect("$.workspaces.okanagan-orchards.allowed_regions[0]", "widens")

    def test_overlay_that_raises_the_borrow_limit_is_refused(self):
        self.overlays["fsj-hall"]["workspaces"] = {"certificates": {"borrow_slots": 9}}
        self._expect("$.workspaces.certificates.borrow_slots", "0..4")

    def test_overlay_of_an_unknown_site_is_refused(self):
        self.overlays["fsj-hall"]["site"] = "fsj-hal"
        self._expect("$.site", "did you mean 'fsj-hall'?")

    def test_truncated_json_is_refused(self):
        match decode_effective(b'{"deployment": ', {}, ""):
            case Failure(found):
                self.assertIn("not valid JSON", str(found[0][1]))
            case Success(_):
                self.fail("truncated JSON was accepted")


class TestSettings(unittest.TestCase):
    def setUp(self):
        self.settings = {
            "vm": "a-1",
            "region": "r",
            "failure_domain": "d",
            "site": "s",
            "caller_address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:2",
            "operator_address": "127.0.0.1:3",
            "peer_key": "0123456789abcdef",
            "platform": {
                "configuration": "127.0.0.1:9",
                "vm_list": "127.0.0.1:9",
                "directory": "127.0.0.1:9",
            },
        }

    def _faults(self):
        match decode_settings(_encode(self.settings)):
            case Failure(found):
                return [str(fault) for fault in found]
            case Success(_):
                return []

    def test_valid_settings_are_accepted(self):
        self.assertEqual(self._faults(), [])

    def test_host_name_is_refused(self):
        self.settings["peer_address"] = "peer.example:80"
        self.assertIn("$.peer_address", self._faults()[0])

    def test_two_listeners_with_one_address_are_refused(self):
        self.settings["peer_address"] = self.settings["caller_address"]
        self.assertIn("share an address", self._faults()[0])

    def test_short_peer_key_is_refused(self):
        self.settings["peer_key"] = "short"
        self.assertIn("$.peer_key", self._faults()[0])
