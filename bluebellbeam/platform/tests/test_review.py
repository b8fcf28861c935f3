import copy
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from bluebellbeam.config import effective_from_parts
from bluebellbeam.config.differences import compare_bases
from bluebellbeam.exception import PlatformError
from bluebellbeam.platform.records import translate_config
from bluebellbeam.platform.review import review_platform
from bluebellbeam.platform.tests.fake_platform import config
from bluebellbeam.platform.tests.test_tenants import ACCESS, one

KEY = "secret-key"


def review(**fields):
    """Return the base and the findings, as text, of a configuration with `fields`."""
    raw = json.dumps(config() | fields).encode()
    base, findings = review_platform(raw, ACCESS, "hall-e", "next.json")
    return base, [str(item) for item in findings]


class TestErrors(unittest.TestCase):
    def test_valid_configuration_has_no_findings(self):
        self.assertEqual(review(tenants=one())[1], [])
        self.assertEqual(review()[1], [])

    def test_invalid_tenant_is_an_error_with_value_and_limit(self):
        base, found = review(tenants=one(ratePerS=-1))
        self.assertIsNone(base)
        self.assertEqual(len(found), 1)
        self.assertTrue(found[0].startswith("error: next.json: $: "))
        self.assertIn("ratePerS of tenant 'acme' is -1; limit 0 to", found[0])

    def test_fault_of_the_native_configuration_is_an_error(self):
        base, found = review(services=[])
        self.assertIsNone(base)
        self.assertIn("unknown service", found[0])


class TestWarnings(unittest.TestCase):
    def test_tenant_without_keys_is_named_once(self):
        """Guards against a warning about the workspace of callers without a key."""
        tenants = [*one(), {"name": "lost", "apiKeys": []}]
        _, found = review(tenants=tenants)
        self.assertEqual(len(found), 1)
        self.assertIn("tenant 'lost' has no key", found[0])

    def test_warnings_of_the_native_configuration_are_included(self):
        routes = copy.deepcopy(config()["routes"])
        routes[0] |= {"timeoutMs": 500, "targetLatencyMs": 900}
        _, found = review(routes=routes)
        self.assertEqual(len(found), 1)
        self.assertIn("$.routes[0].objective_ms: 900 ms exceeds", found[0])


class TestKeys(unittest.TestCase):
    """No output contains a key, only the name of its workspace."""

    def test_errors_contain_no_key(self):
        broken = [
            [*one(), {"name": "other", "apiKeys": [KEY]}],
            one(unit="wrong"),
            one(apiKeys=[KEY, 5]),
            one(apiKeys=KEY),
            one(apiKeys={KEY: KEY}),
            one(apiKeys=[f"{KEY}\n"]),
            one(homeRegions=["moon"]),
            one(ratePerS=KEY + "x"),
        ]
        for tenants in broken:
            base, found = review(tenants=tenants)
            self.assertIsNone(base, tenants)
            self.assertTrue(found)
            self.assertNotIn(KEY, " ".join(found))

    def test_truncated_file_shows_no_key(self):
        raw = json.dumps(config() | {"tenants": one()}).encode()
        raw = raw[: raw.index(KEY.encode()) + len(KEY)]
        _, found = review_platform(raw, ACCESS, "hall-e")
        self.assertEqual([item.severity for item in found], ["error"])
        self.assertNotIn(KEY, str(found[0]))

    def test_differences_contain_no_key(self):
        before, _ = review(tenants=one(apiKeys=[KEY, "old-key"]))
        after, _ = review(tenants=one(apiKeys=[KEY, "new-key"]))
        found = [str(fault) for fault in compare_bases(before, after)]
        self.assertEqual(
            found,
            [
                "$.workspaces.acme.key_digests: 1 key revoked; their requests get 401",
                "$.workspaces.acme.key_digests: 1 key added; "
                "their requests are accepted",
            ],
        )


_VALUES = st.sampled_from(
    [-1, 0, 1, 1e13, "", "east", "moon", "portal", None, [], [KEY], ["moon"], True, {}]
)
_CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["tenants", "routes", "services", "limits"]),
        st.sampled_from(
            [
                *("name", "apiKeys", "priority", "unit", "plainTokens", "ratePerS"),
                *("burst", "homeRegions", "host", "pathPrefix", "timeoutMs", "kind"),
                *("targetLatencyMs", "service", "maxAttempts", "maxConnections"),
                *("maxHeaderBytes", "maxBodyBytes", "warmupPerS"),
            ]
        ),
        _VALUES,
    ),
    max_size=3,
)


class TestAgreementWithTranslation(unittest.TestCase):
    def test_changed_configurations(self):
        """Guards against a check that passes what a daemon refuses, or fails itself."""
        outcomes = {"accepted": 0, "refused": 0}

        @settings(derandomize=True, max_examples=400, deadline=None)
        @given(_CHANGES)
        def compare(changes):
            made = copy.deepcopy(config()) | {"tenants": one()}
            for section, name, value in changes:
                found = made[section]
                (found if isinstance(found, dict) else found[0])[name] = value
            raw = json.dumps(made).encode()
            expected = self._daemon_errors(raw)
            _, findings = review_platform(raw, ACCESS, "hall-e")
            errors = [item.message for item in findings if item.severity == "error"]
            self.assertEqual(errors, expected)
            self.assertNotIn(KEY, " ".join(map(str, findings)))
            outcomes["refused" if errors else "accepted"] += 1

        compare()
        # Both outcomes must be common, or the comparison shows little.
        self.assertGreater(min(outcomes.values()), 50, outcomes)

    def _daemon_errors(self, raw):
        try:
            parts = translate_config(raw, ACCESS)
        except PlatformError as error:
            return [str(error)]
        match effective_from_parts(1, parts, "hall-e"):
            case Failure(faults):
                return [fault.message for _, fault in faults]
            case _:
                return []
