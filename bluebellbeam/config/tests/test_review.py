import copy
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from bluebellbeam.config import Base, decode_effective
from bluebellbeam.config.review import (
    Finding,
    find_warnings,
    review_documents,
    review_status,
    warn_about_attempts,
    warn_about_caller_limits,
    warn_about_calls,
    warn_about_keys,
    warn_about_quotas,
    warn_about_regions,
    warn_about_routes,
    warn_about_services,
    warn_about_times,
    warn_about_warm_up,
)
from bluebellbeam.examples import EXAMPLES, read_example
from bluebellbeam.routing.route_table import make_route_table, match_route

DIGEST = "ab" * 32


def make_base():
    """Return a base document that gives no warning."""
    return {
        "deployment": "d",
        "regions": {"east": {}, "west": {}},
        "failure_domains": {"e": {"region": "east"}, "w": {"region": "west"}},
        "sites": {"here": {"region": "east"}, "there": {"region": "west"}},
        "services": {"portal": {}, "llm": {}},
        "workspaces": {
            "acme": {"allowed_regions": ["east", "west"], "key_digests": [DIGEST]}
        },
        "routes": [
            _route("r-all", "/", "portal"),
            _route("r-chat", "/chat/", "llm"),
        ],
    }


def _route(name, prefix, service, host="shop.example"):
    return {
        "name": name,
        "host": host,
        "path_prefix": prefix,
        "services": [{"service": service}],
    }


class WarningCase(unittest.TestCase):
    """Base of the tests of one check; `base` is changed before :meth:`found`."""

    check = staticmethod(find_warnings)

    def setUp(self):
        self.base = make_base()
        self.acme = self.base["workspaces"]["acme"]
        self.route = self.base["routes"][1]

    def found(self):
        """Return the warnings of `check` by path; the base must be valid."""
        raw = msgspec.json.encode(self.base)
        match decode_effective(raw, {}, ""):
            case Failure(faults):
                self.fail(f"invalid: {faults}")
        base = msgspec.json.decode(raw, type=Base)
        return {fault.path: str(fault) for fault in type(self).check(base)}

    def expect(self, path, *words):
        """Check that `path` alone has a warning, and that it contains `words`."""
        found = self.found()
        self.assertEqual(list(found), [path])
        for word in words:
            self.assertIn(word, found[path])


class TestValidConfigurations(WarningCase):
    def test_base_of_these_tests_gives_no_warning(self):
        self.assertEqual(self.found(), {})

    def test_examples_give_no_warning(self):
        """Guards against checks that report what is intended."""
        for name in EXAMPLES:
            base, overlays = read_example(name)
            raw = {key: msgspec.json.encode(item) for key, item in overlays.items()}
            _, findings = review_documents(msgspec.json.encode(base), raw)
            self.assertEqual(findings, [], name)


class TestRoutes(WarningCase):
    check = staticmethod(warn_about_routes)

    def test_route_below_a_covering_prefix_is_not_hidden(self):
        """The longest prefix wins, whatever the order and the settings."""
        self.base["routes"] = [_route("a", "/", "llm"), _route("b", "/x/", "llm")]
        self.assertEqual(self.found(), {})
        self.base["routes"].reverse()
        self.assertEqual(self.found(), {})

    def test_host_in_upper_case_never_matches(self):
        self.route["host"] = "Shop.example"
        self.expect("$.routes[1].host", "never matches", "'shop.example'")

    def test_host_with_a_port_never_matches(self):
        self.route["host"] = "shop.example:80"
        self.expect("$.routes[1].host", "never matches", "without a port")

    def test_route_without_a_host_never_matches(self):
        self.route["host"] = ""
        self.expect("$.routes[1].host", "has no host")

    def test_prefix_with_a_query_never_matches(self):
        self.route["path_prefix"] = "/chat?a=/"
        self.expect("$.routes[1].path_prefix", "never matches")

    def test_unknown_workspace_is_reported(self):
        """Guards against requests that fail since their workspace is missing."""
        self.route["workspace"] = "nobody"
        self.expect("$.routes[1].workspace", "'nobody'")

    def test_service_of_weight_0_beside_others_is_reported(self):
        self.route["services"].append({"service": "portal", "weight": 0})
        self.expect("$.routes[1].services[1].weight", "never uses 'portal'")

    def test_only_services_of_weight_0_are_used(self):
        """With a total weight of 0, the first service gets all requests."""
        self.route["services"][0]["weight"] = 0
        self.assertEqual(self.found(), {})

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["a", "A", "a:1", "", "b"]),
                st.sampled_from(["/", "/x/", "/x/y/", "/x?/", "/ /", "/x/y/z/"]),
            ),
            unique=True,
            max_size=8,
        )
    )
    def test_warnings_agree_with_the_selection_of_routes(self, places):
        """Guards against a warning about a route that matches, and the reverse."""
        document = make_base()
        document["routes"] = [
            _route(f"r{i}", prefix, "llm", host)
            for i, (host, prefix) in enumerate(places)
        ]
        base = msgspec.convert(document, Base)
        table = make_route_table(base.routes)
        warned = {fault.path.partition("]")[0] for fault in warn_about_routes(base)}
        for i, route in enumerate(base.routes):
            # A path ends before a question mark and contains no space.
            path = route.path_prefix.partition("?")[0].partition(" ")[0]
            found = match_route(table, route.host, path)
            matches = bool(route.host) and found is route
            self.assertEqual(f"$.routes[{i}" not in warned, matches, route)


class TestRegions(WarningCase):
    check = staticmethod(warn_about_regions)

    def test_region_without_a_failure_domain_is_reported(self):
        del self.base["failure_domains"]["w"]
        self.expect("$.workspaces.acme.allowed_regions[1]", "'west'")

    def test_home_region_of_a_route_without_a_failure_domain_is_reported(self):
        self.base["regions"]["north"] = {}
        self.route["home_regions"] = ["east", "north"]
        self.expect("$.routes[1].home_regions[1]", "no failure domain", "'north'")

    def test_home_region_that_no_workspace_permits_is_reported(self):
        self.acme["allowed_regions"] = ["east"]
        self.route["home_regions"] = ["east", "west"]
        self.expect("$.routes[1].home_regions[1]", "permits region 'west'")

    def test_home_region_that_its_workspace_does_not_allow_is_reported(self):
        self.acme |= {"allowed_regions": ["east"], "home_regions": ["east", "west"]}
        self.expect("$.workspaces.acme.home_regions[1]", "'west'")

    def test_workspaces_that_share_no_region_with_a_route_are_listed(self):
        for i in range(5):
            other = {"allowed_regions": ["east"], "key_digests": [f"{i:064x}"]}
            self.base["workspaces"][f"w{i}"] = other
        self.route["home_regions"] = ["west"]
        self.expect("$.routes[1].home_regions", "'w0', 'w1', 'w2' and 2 more")

    def test_anonymous_route_serves_its_workspace_and_those_with_keys(self):
        """Guards against groups of workspaces that replace each other."""
        self.acme["allowed_regions"] = ["east"]
        self.base["workspaces"]["open"] = {"allowed_regions": ["east"]}
        self.route |= {"workspace": "open", "anonymous": True}
        self.route["home_regions"] = ["west"]
        found = self.found()
        self.assertIn("'acme', 'open'", found["$.routes[1].home_regions"])

    def test_keys_do_not_apply_to_a_route_with_a_workspace(self):
        self.acme["allowed_regions"] = ["east"]
        self.base["workspaces"]["open"] = {"allowed_regions": ["west"]}
        self.route |= {"workspace": "open", "home_regions": ["west"]}
        self.assertEqual(self.found(), {})

    def test_replicas_in_a_region_without_a_failure_domain_are_reported(self):
        self.base["regions"]["north"] = {}
        model = {"version": "v1", "replicas": {"east": 1, "north": 1}}
        self.base["models"] = {"m": model}
        self.expect("$.models.m.replicas.north", "'north'")


class TestServices(WarningCase):
    check = staticmethod(warn_about_services)

    def test_service_that_nothing_names_is_reported(self):
        self.base["services"]["spare"] = {}
        self.expect("$.services.spare", "no route and no workspace")

    def test_service_of_a_workspace_is_used(self):
        self.base["services"]["spare"] = {}
        self.acme["services"] = ["spare"]
        self.assertEqual(self.found(), {})


class TestCalls(WarningCase):
    check = staticmethod(warn_about_calls)

    def _set_calls(self, *calls):
        self.base["services"]["portal"]["calls"] = list(calls)

    def test_method_in_lower_case_never_matches(self):
        self._set_calls({"method": "get"})
        self.expect("$.services.portal.calls[0].method", "'get'")

    def test_call_below_an_idempotent_prefix_is_reported(self):
        """Guards against calls that are repeated although declared otherwise."""
        self._set_calls(
            {"method": "PUT", "path_prefix": "/a/b"},
            {"method": "PUT", "path_prefix": "/a", "idempotent": True},
        )
        self.expect("$.services.portal.calls[0]", "idempotent call 1")

    def test_call_of_another_prefix_is_not_covered(self):
        self._set_calls(
            {"method": "PUT", "path_prefix": "/b"},
            {"method": "PUT", "path_prefix": "/a", "idempotent": True},
        )
        self.assertEqual(self.found(), {})

    def test_call_of_another_method_is_not_covered(self):
        self._set_calls(
            {"method": "POST", "path_prefix": "/a/b"},
            {"method": "PUT", "path_prefix": "/a", "idempotent": True},
        )
        self.assertEqual(self.found(), {})


class TestKeys(WarningCase):
    check = staticmethod(warn_about_keys)

    def test_workspace_without_a_key_beside_others_is_reported(self):
        self.base["workspaces"]["lost"] = {"allowed_regions": ["east"]}
        self.expect("$.workspaces.lost.key_digests", "has no key")

    def test_workspace_of_a_route_needs_no_key(self):
        self.base["workspaces"]["open"] = {"allowed_regions": ["east"]}
        self.route |= {"workspace": "open", "anonymous": True}
        self.assertEqual(self.found(), {})

    def test_route_that_needs_a_key_without_any_is_reported(self):
        self.acme["key_digests"] = []
        self.base["routes"][0]["workspace"] = "acme"
        self.expect("$.routes[1].workspace", "no workspace has one", "401")

    def test_anonymous_route_without_a_workspace_is_reported(self):
        self.route["anonymous"] = True
        self.expect("$.routes[1].workspace", "names no workspace", "401")


class TestCallerLimits(WarningCase):
    check = staticmethod(warn_about_caller_limits)

    def _set(self, **limits):
        self.base["caller_limits"] = limits

    def test_head_limit_of_0_is_reported(self):
        self._set(max_header_bytes=0)
        self.expect("$.caller_limits.max_header_bytes", "0 bytes", "431")

    def test_head_limit_is_compared_with_the_smallest_head(self):
        """Guards against a limit that passes the check and no request can meet."""
        smallest = len("GET / HTTP/1.1\r\nHost:shop.example\r\nX-Request-Id:1")
        self._set(max_header_bytes=smallest - 1)
        self.expect("$.caller_limits.max_header_bytes", f"at least {smallest}")
        self._set(max_header_bytes=smallest)
        # The prefix of the other route is longer.
        self.expect("$.routes[1].path_prefix", f"at least {smallest + 5}")
        self._set(max_header_bytes=smallest + 5)
        self.assertEqual(self.found(), {})

    def test_body_limit_of_0_is_reported(self):
        self._set(max_body_bytes=0)
        self.expect("$.caller_limits.max_body_bytes", "0 bytes", "413")

    def test_time_limit_of_0_is_reported(self):
        self._set(header_timeout_ms=0)
        self.expect("$.caller_limits.header_timeout_ms", "0 ms")


class TestTimes(WarningCase):
    check = staticmethod(warn_about_times)

    def test_objective_above_the_timeout_is_reported(self):
        self.route |= {"timeout_ms": 500, "objective_ms": 501}
        self.expect("$.routes[1].objective_ms", "501 ms", "500 ms")
        self.route["objective_ms"] = 500
        self.assertEqual(self.found(), {})

    def test_pause_objective_above_the_timeout_is_reported(self):
        self.route |= {"timeout_ms": 2000, "pause_objective_ms": 2001}
        self.expect("$.routes[1].pause_objective_ms", "2001 ms", "2000 ms")

    def test_service_that_is_expected_to_time_out_is_reported(self):
        service = {"calls": [{"method": "GET"}], "expected_ms": 50, "timeout_ms": 40}
        self.base["services"]["portal"] = service
        self.expect("$.services.portal.timeout_ms", "40 ms", "50 ms")


class TestAttempts(WarningCase):
    check = staticmethod(warn_about_attempts)

    def test_second_attempt_without_a_retry_share_is_reported(self):
        self.base["policy"] = {"retry_share": 0, "max_attempts": 1}
        self.assertEqual(self.found(), {})
        self.route["max_attempts"] = 2
        self.expect("$.routes[1].max_attempts", "2 attempts", "retry_share of 0")

    def test_attempts_above_the_slack_are_reported(self):
        self.base["policy"] = {"retry_slack": 2}
        self.route["max_attempts"] = 3
        self.assertEqual(self.found(), {})
        self.route["max_attempts"] = 4
        self.expect("$.routes[1].max_attempts", "4 attempts", "holds 2 extra")

    def test_attempts_of_models_are_compared_with_the_burst(self):
        self.base["models"] = {"m": {"version": "v1"}}
        self.base["policy"] = {"retry_burst": 1, "max_attempts": 3}
        self.expect("$.policy.max_attempts", "3 attempts", "holds 1 extra")


class TestQuotas(WarningCase):
    check = staticmethod(warn_about_quotas)

    def test_rate_without_a_burst_is_reported(self):
        self.acme["rate_tokens_per_s"] = 5
        self.expect("$.workspaces.acme.burst_tokens", "rate 5/s without a burst")

    def test_rate_of_requests_for_models_needs_no_burst(self):
        self.acme |= {"rate_tokens_per_s": 5, "key_digests": []}
        self.assertEqual(self.found(), {})

    def test_burst_without_a_rate_is_reported(self):
        self.acme["burst_tokens"] = 5
        self.expect("$.workspaces.acme.rate_tokens_per_s", "burst 5 without a rate")

    def test_burst_below_one_request_is_reported(self):
        quota = {"rate_tokens_per_s": 50, "burst_tokens": 99}
        self.acme |= quota | {"plain_request_tokens": 100}
        self.expect("$.workspaces.acme.burst_tokens", "burst 99", "one request, 100")
        self.acme["burst_tokens"] = 100
        self.assertEqual(self.found(), {})


class TestWarmUp(WarningCase):
    check = staticmethod(warn_about_warm_up)

    def test_rate_above_the_connection_limit_is_reported(self):
        service = {"warm_up_per_s": 11, "max_connections": 10}
        self.base["services"]["llm"] = service
        self.expect("$.services.llm.warm_up_per_s", "11 requests/s", "10 connections")

    def test_rate_without_a_connection_limit_is_accepted(self):
        self.base["services"]["llm"] = {"warm_up_per_s": 11}
        self.assertEqual(self.found(), {})


class TestOverlays(unittest.TestCase):
    def test_only_warnings_that_an_overlay_causes_name_it(self):
        """Guards against a repetition of the warnings of the base by every site."""
        base = make_base()
        base["services"]["spare"] = {}
        base["routes"][1]["home_regions"] = ["west"]
        overlay = {
            "site": "here",
            "workspaces": {"acme": {"allowed_regions": ["east"]}},
        }
        raw = {"here.json": msgspec.json.encode(overlay)}
        _, findings = review_documents(msgspec.json.encode(base), raw)
        found = [(item.document, item.path) for item in findings]
        self.assertIn(("base", "$.services.spare"), found)
        self.assertIn(("here.json", "$.routes[1].home_regions"), found)
        self.assertNotIn(("here.json", "$.services.spare"), found)


class TestStatus(unittest.TestCase):
    def test_status_is_that_of_the_most_severe_finding(self):
        def status(*severities):
            found = [Finding(item, "base", "$", "a", "b") for item in severities]
            return review_status(found)

        self.assertEqual(status(), 0)
        self.assertEqual(status("difference", "warning", "error"), 1)
        self.assertEqual(status("difference", "warning"), 2)
        self.assertEqual(status("difference"), 3)


_NUMBERS = st.sampled_from([-1, 0, 1, 2, 1000, 10**12, 0.5, -0.5, "1", None, True])
_NAMES = st.sampled_from(["east", "west", "moon", "llm", "acme", "", DIGEST, "m"])
_VALUES = st.one_of(_NUMBERS, _NAMES, st.lists(_NAMES, max_size=3), st.just({}))


def full_base():
    """Return a base with every kind of entry, to be changed at any of its values."""
    base = make_base()
    base["models"] = {"m": {"version": "v1", "replicas": {"east": 1}}}
    base["adapters"] = {"m-a": {"model": "m", "version": "v1"}}
    base["workspaces"]["acme"] |= {
        "models": ["m"],
        "services": ["llm"],
        "home_region": "east",
        "home_regions": ["east"],
        "rate_tokens_per_s": 5,
        "burst_tokens": 5,
        "plain_request_tokens": 1,
        "urgency": 1,
        "deadlines": {"batch_ms": 5},
    }
    base["workspaces"]["open"] = {"allowed_regions": ["east"], "borrow_slots": 2}
    base["routes"][0] |= {"workspace": "open", "anonymous": True}
    base["routes"][1] |= {"home_regions": ["east"], "max_attempts": 2, "timeout_ms": 9}
    base["services"]["llm"] = {
        "calls": [{"method": "GET", "idempotent": True}],
        "warm_up_per_s": 2,
        "max_connections": 2,
    }
    base["policy"] = {"retry_share": 0.1, "probe_interval_ms": 5, "retry_slack": 1}
    base["objective"] = {"hedge_share": 0.1}
    base["caller_limits"] = {"max_header_bytes": 100, "max_body_bytes": 100}
    return base


def _places(value, path=()):
    """Return the path of every value in a document."""
    found = [path] if path else []
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    return found + [
        place for key, item in items for place in _places(item, (*path, key))
    ]


def change_document(document, place, value, remove):
    """Set or remove the value at `place`, unless an earlier change removed it."""
    *parents, last = place
    for key in parents:
        try:
            document = document[key]
        except (KeyError, IndexError, TypeError):
            return
    if not isinstance(document, dict | list):
        return
    try:
        if remove:
            del document[last]
        else:
            document[last] = value
    except (KeyError, IndexError, TypeError):
        return


_OVERLAY = {
    "site": "here",
    "objective": {"latency_weight": 1},
    "workspaces": {"open": {"allowed_regions": ["east"], "borrow_slots": 1}},
}
BASE_CHANGES = st.lists(
    st.tuples(st.sampled_from(_places(full_base())), _VALUES, st.booleans()),
    max_size=3,
)
_OVERLAY_CHANGES = st.lists(
    st.tuples(st.sampled_from(_places(_OVERLAY)), _VALUES, st.booleans()), max_size=2
)


class TestAgreementWithDecoding(unittest.TestCase):
    """The check refuses exactly the configurations that a daemon refuses."""

    def setUp(self):
        self.outcomes = {"accepted": 0, "refused": 0}

    def _compare(self, base_raw, overlays_raw):
        base, findings = review_documents(base_raw, overlays_raw)
        errors = [item for item in findings if item.severity == "error"]
        self.assertEqual(base is None, bool(errors))
        for site in ("here", "there", ""):
            match decode_effective(base_raw, overlays_raw, site):
                case Success(_):
                    self.assertEqual(errors, [])
                case Failure(faults):
                    expected = [f"error: {name}: {fault}" for name, fault in faults]
                    self.assertEqual([str(item) for item in errors], expected)
        self.outcomes["refused" if errors else "accepted"] += 1

    def test_changed_configurations(self):
        """Guards against a check that passes what a daemon refuses, or fails itself."""

        @settings(derandomize=True, max_examples=600, deadline=None)
        @given(BASE_CHANGES, _OVERLAY_CHANGES)
        def compare(base_changes, overlay_changes):
            base, overlay = full_base(), copy.deepcopy(_OVERLAY)
            for place, value, remove in base_changes:
                change_document(base, place, copy.deepcopy(value), remove)
            for place, value, remove in overlay_changes:
                change_document(overlay, place, copy.deepcopy(value), remove)
            raw = {"here.json": msgspec.json.encode(overlay)}
            self._compare(msgspec.json.encode(base), raw)

        compare()
        # Both outcomes must be common, or the comparison shows little.
        self.assertGreater(min(self.outcomes.values()), 50, self.outcomes)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=100))
    def test_arbitrary_bytes(self, raw):
        base_raw = msgspec.json.encode(full_base())
        self._compare(raw, {})
        self._compare(base_raw, {"here.json": raw})
