import copy
import unittest

import msgspec
from hypothesis import given, settings
from returns.pipeline import is_successful

from bluebellbeam.config import Base, Workspace, decode_effective
from bluebellbeam.config.differences import (
    compare_bases,
    compare_caller_limits,
    compare_policies,
    compare_routes,
    compare_services,
    compare_workspaces,
)
from bluebellbeam.config.tests.test_review import (
    BASE_CHANGES,
    DIGEST,
    change_document,
    full_base,
    make_base,
)

OTHER_DIGEST = "cd" * 32


class DifferenceCase(unittest.TestCase):
    """Base of the tests of one comparison; `after` is changed before :meth:`found`."""

    compare = staticmethod(compare_bases)

    def setUp(self):
        self.before = make_base()
        self.after = copy.deepcopy(self.before)
        self.old = self.before["workspaces"]["acme"]
        self.new = self.after["workspaces"]["acme"]

    def found(self):
        old, new = (msgspec.convert(item, Base) for item in (self.before, self.after))
        return [str(fault) for fault in type(self).compare(old, new)]

    def expect(self, *texts):
        self.assertEqual(self.found(), list(texts))


class TestBases(DifferenceCase):
    def test_equal_bases_have_no_difference(self):
        self.expect()

    def test_every_field_of_the_base_is_compared(self):
        """Guards against fields that are added later and not compared."""
        changed = {
            "deployment": "other",
            "regions": {"east": {}, "west": {"price_per_1k_tokens": 3.0}},
            "failure_domains": {"e": {"region": "east"}, "w": {"region": "east"}},
            "sites": {"here": {"region": "east"}},
            "models": {"m": {"version": "v1"}},
            "adapters": {"m-a": {"model": "m", "version": "v1"}},
            "services": {"portal": {}},
            "workspaces": {},
            "routes": [],
            "caller_limits": {"max_body_bytes": 5},
            "objective": {"hedge_share": 0.1},
            "policy": {"max_queue": 5},
        }
        self.assertEqual(set(changed), set(Base.__struct_fields__))
        for name, value in changed.items():
            self.after = self.before | {name: value}
            found = self.found()
            self.assertTrue(found, name)
            self.assertTrue(all(item.startswith(f"$.{name}") for item in found), found)


class TestRoutes(DifferenceCase):
    compare = staticmethod(compare_routes)

    def test_requests_of_a_route_that_is_gone_use_the_covering_one(self):
        del self.after["routes"][1]
        self.expect(
            "$.routes[shop.example/chat/]: route 'r-chat' gone; "
            "its requests use route 'r-all'"
        )

    def test_longest_of_several_covering_routes_takes_the_requests(self):
        deep = copy.deepcopy(self.before["routes"][1])
        deep |= {"name": "r-deep", "path_prefix": "/chat/deep/"}
        self.before["routes"].append(deep)
        self.expect(
            "$.routes[shop.example/chat/deep/]: route 'r-deep' gone; "
            "its requests use route 'r-chat'"
        )

    def test_requests_without_a_covering_route_get_404(self):
        del self.after["routes"][0]
        self.expect("$.routes[shop.example/]: route 'r-all' gone; its requests get 404")

    def test_added_route_takes_requests_of_the_covering_one(self):
        self.before, self.after = self.after, self.before
        del self.before["routes"][1]
        self.expect(
            "$.routes[shop.example/chat/]: route 'r-chat' added; "
            "requests that used route 'r-all' use it"
        )

    def test_order_of_routes_is_no_difference(self):
        self.after["routes"].reverse()
        self.expect()

    def _expect_field(self, old, new, *words):
        name = next(iter(old))
        self.before["routes"][1] |= old
        self.after["routes"][1] |= new
        found = self.found()
        self.assertEqual(len(found), 1, found)
        self.assertTrue(found[0].startswith(f"$.routes[shop.example/chat/].{name}: "))
        for word in words:
            self.assertIn(word, found[0])

    def test_shorter_timeout(self):
        old, new = {"timeout_ms": 900}, {"timeout_ms": 800}
        self._expect_field(old, new, "900 -> 800", "end with a time-out")

    def test_longer_timeout(self):
        old, new = {"timeout_ms": 800}, {"timeout_ms": 900}
        self._expect_field(old, new, "slower requests are completed")

    def test_narrowed_home_regions(self):
        old, new = {"home_regions": []}, {"home_regions": ["east"]}
        self._expect_field(old, new, "narrowed from every allowed region to east")

    def test_widened_home_regions(self):
        old, new = {"home_regions": ["east"]}, {"home_regions": ["east", "west"]}
        self._expect_field(old, new, "widened from east to east, west")

    def test_other_home_regions(self):
        old, new = {"home_regions": ["east"]}, {"home_regions": ["west"]}
        self._expect_field(old, new, "changed from east to west")

    def test_route_that_needs_a_key(self):
        old, new = {"workspace": "acme"}, {"workspace": ""}
        self._expect_field(old, new, "requests without a known key get 401")

    def test_route_that_no_longer_needs_a_key(self):
        old, new = {"workspace": ""}, {"workspace": "acme"}
        self._expect_field(old, new, "requests without a key are accepted")

    def test_other_services(self):
        old = {"services": [{"service": "llm"}]}
        new = {"services": [{"service": "llm", "weight": 3}, {"service": "portal"}]}
        self._expect_field(old, new, "llm:1 -> llm:3, portal:1")


class TestWorkspaces(DifferenceCase):
    compare = staticmethod(compare_workspaces)
    path = "$.workspaces.acme"

    def test_revoked_key_is_counted_and_not_shown(self):
        self.new["key_digests"] = [OTHER_DIGEST]
        self.expect(
            f"{self.path}.key_digests: 1 key revoked; their requests get 401",
            f"{self.path}.key_digests: 1 key added; their requests are accepted",
        )
        self.assertNotIn(DIGEST, "".join(self.found()))

    def test_moved_key_is_not_revoked(self):
        other = {"allowed_regions": ["east"], "key_digests": [DIGEST]}
        self.new["key_digests"] = []
        self.after["workspaces"]["other"] = other
        found = self.found()
        self.assertIn(
            f"{self.path}.key_digests: 1 key moved to workspace 'other'; "
            "its regions and quota apply to them",
            found,
        )
        self.assertNotIn("revoked", "".join(found))

    def test_keys_of_a_removed_workspace_are_revoked(self):
        self.after["workspaces"] = {}
        self.expect(
            f"{self.path}: workspace gone; its requests are rejected",
            f"{self.path}.key_digests: 1 key revoked; their requests get 401",
        )

    def test_quota_that_is_lowered_raised_introduced_or_removed(self):
        cases = {
            (9, 8): ("lowered", "get 429"),
            (8, 9): ("raised", "fewer requests get 429"),
            (0, 8): ("introduced", "requests beyond it get 429"),
            (8, 0): ("removed", "no longer limited"),
        }
        for (was, now), words in cases.items():
            self.old["rate_tokens_per_s"] = was
            self.new["rate_tokens_per_s"] = now
            (found,) = self.found()
            self.assertTrue(found.startswith(f"{self.path}.rate_tokens_per_s: "))
            for word in words:
                self.assertIn(word, found)

    def test_narrowed_and_widened_regions(self):
        self.old["allowed_regions"] = ["east"]
        self.new["allowed_regions"] = ["west"]
        self.expect(
            f"{self.path}.allowed_regions: narrowed by east; "
            "its requests no longer run there",
            f"{self.path}.allowed_regions: WIDENED by west; "
            "its data may be processed there",
        )

    def test_shorter_deadline(self):
        self.new["deadlines"] = {"service_ms": 4000}
        (found,) = self.found()
        self.assertIn("service_ms 5000 -> 4000; more requests end", found)

    def test_every_field_of_a_workspace_is_compared(self):
        """Guards against fields that are added later and not compared."""
        changed = {
            "weight": 2.0,
            "home_region": "east",
            "allowed_regions": ["east"],
            "borrow_slots": 1,
            "models": ["m"],
            "services": ["llm"],
            "rate_tokens_per_s": 1.0,
            "burst_tokens": 1.0,
            "plain_request_tokens": 1,
            "quota_unit": "request",
            "key_digests": [],
            "urgency": 1,
            "home_regions": ["east"],
            "priority": "batch",
            "deadlines": {"batch_ms": 1},
        }
        self.assertEqual(set(changed), set(Workspace.__struct_fields__))
        for name, value in changed.items():
            self.after["workspaces"]["acme"] = self.old | {name: value}
            self.assertEqual(len(self.found()), 1, name)


class TestServices(DifferenceCase):
    compare = staticmethod(compare_services)

    def test_added_removed_and_changed_services(self):
        self.after["services"] = {"portal": {"timeout_ms": 9}, "new": {}}
        self.expect(
            "$.services.llm: gone; calls of it get 404",
            "$.services.new: added; routes and workspaces that name it can use it",
            "$.services.portal.timeout_ms: timeout_ms 5000 -> 9; "
            "requests that take longer end with a time-out",
        )


class TestCallerLimits(DifferenceCase):
    compare = staticmethod(compare_caller_limits)

    def test_lowered_limit_rejects_larger_requests(self):
        self.after["caller_limits"] = {"max_header_bytes": 8192}
        self.expect(
            "$.caller_limits.max_header_bytes: max_header_bytes 16384 -> 8192; "
            "requests with larger heads get 431"
        )

    def test_raised_limit_accepts_them(self):
        self.after["caller_limits"] = {"max_header_bytes": 32768}
        self.assertIn("larger heads are accepted", self.found()[0])


class TestPolicies(DifferenceCase):
    compare = staticmethod(compare_policies)

    def test_changed_policy_and_objective(self):
        self.after["policy"] = {"retry_share": 0.5}
        self.after["objective"] = {"cost_ms_per_unit": 5}
        self.expect(
            "$.policy.retry_share: retry_share 0.1 -> 0.5; "
            "more or fewer failed requests are repeated",
            "$.objective.cost_ms_per_unit: cost_ms_per_unit 100.0 -> 5.0; "
            "daemons choose servers differently",
        )


def _without_order(base):
    """Return `base` as data in which the order of routes and names is the same."""
    found = msgspec.to_builtins(base)
    found["routes"] = {(r["host"], r["path_prefix"]): r for r in found["routes"]}
    for workspace in found["workspaces"].values():
        for field in ("allowed_regions", "models", "services", "key_digests"):
            workspace[field] = set(workspace[field])
    return found


class TestCompleteness(unittest.TestCase):
    def test_versions_have_a_difference_unless_they_are_equal(self):
        """Guards against changes that take effect although none was shown."""
        outcomes = {True: 0, False: 0}

        @settings(derandomize=True, max_examples=600, deadline=None)
        @given(BASE_CHANGES)
        def compare(changes):
            document = full_base()
            for place, value, remove in changes:
                change_document(document, place, copy.deepcopy(value), remove)
            raw = msgspec.json.encode(document)
            if not is_successful(decode_effective(raw, {}, "")):
                return
            old = msgspec.convert(full_base(), Base)
            new = msgspec.json.decode(raw, type=Base)
            equal = _without_order(old) == _without_order(new)
            for pair in ((old, new), (new, old)):
                self.assertEqual(not compare_bases(*pair), equal, changes)
            outcomes[equal] += 1

        compare()
        # Both outcomes must occur, or the comparison shows little.
        self.assertGreater(outcomes[False], 50, outcomes)
        self.assertGreater(outcomes[True], 5, outcomes)
