import hashlib
import json
import unittest

import msgspec
from returns.pipeline import is_successful

from bluebellbeam.config import StoreAccess, effective_from_parts
from bluebellbeam.daemon.codec import UpstreamHead
from bluebellbeam.exception import PlatformError
from bluebellbeam.platform.headers import make_platform_codec
from bluebellbeam.platform.records import config_warnings, translate_config
from bluebellbeam.platform.tests.fake_platform import config
from bluebellbeam.platform.tests.loopback import DOMAINS

ACCESS = StoreAccess(
    address="10.0.0.1:80",
    domains=DOMAINS,
    readiness_address="10.0.0.2:1",
    directory_address="10.0.0.2:2",
)


def translate(tenants, **fields):
    """Return the native parts of a configuration with `tenants`."""
    made = config() | {"tenants": tenants} | fields
    return translate_config(json.dumps(made).encode(), ACCESS)


def effective(tenants, **fields):
    """Return the effective configuration of one with `tenants`."""
    result = effective_from_parts(1, translate(tenants, **fields), "hall-e")
    if not is_successful(result):
        raise AssertionError(result.failure())
    return result.unwrap()


def one(**fields):
    return [{"name": "acme", "apiKeys": ["secret-key"], **fields}]


class TestTranslation(unittest.TestCase):
    def test_configuration_without_tenants_has_no_new_fields(self):
        """Guards against bytes that daemons of earlier versions reject."""
        plain = translate_config(json.dumps(config()).encode(), ACCESS)
        self.assertEqual(translate(None), plain)
        self.assertEqual(translate([]), plain)
        raw = b"".join(plain.values())
        for name in (b"anonymous", b"key_digests", b'urgency":null', b"quota_unit"):
            self.assertNotIn(name, raw)
        self.assertFalse(effective([]).has_keys)

    def test_parts_contain_digests_and_no_keys(self):
        """Guards against keys in the configuration that daemons exchange."""
        raw = b"".join(translate(one()).values())
        self.assertNotIn(b"secret-key", raw)
        digest = hashlib.sha256(b"secret-key").hexdigest()
        self.assertIn(digest.encode(), raw)
        self.assertEqual(effective(one()).keys, {digest: (digest, "acme")})

    def test_fields_of_a_tenant_become_those_of_its_workspace(self):
        fields = {
            "priority": 3,
            "unit": "token_stream",
            "plainTokens": 40,
            "ratePerS": 29000,
            "burst": 58000.5,
            "homeRegions": ["west"],
        }
        found = effective(one(**fields)).base.workspaces["acme"]
        self.assertEqual(found.urgency, 3)
        self.assertEqual(found.home_regions, ("west",))
        self.assertEqual(found.rate_tokens_per_s, 29000)
        self.assertEqual(found.burst_tokens, 58000.5)
        self.assertEqual(found.plain_request_tokens, 40)
        self.assertEqual(found.quota_unit, "token")
        self.assertEqual(effective(one()).base.workspaces["acme"].quota_unit, "request")

    def test_tenant_may_have_the_name_of_the_shared_workspace(self):
        """Guards against callers without a key that use a tenant's share."""
        made = config()
        made["routes"][0]["anonymous"] = True
        tenants = [{"name": "callers", "apiKeys": ["k"]}]
        found = effective(tenants, routes=made["routes"])
        self.assertEqual(set(found.base.workspaces), {"callers", "callers_"})
        self.assertEqual(found.base.routes[0].workspace, "callers_")
        self.assertEqual({route.workspace for route in found.base.routes[1:]}, {""})

    def test_weight_is_the_rate_relative_to_the_mean_rate(self):
        """Guards against equal shares of tenants with very different quotas."""
        tenants = [
            {"name": f"t{i}", "apiKeys": [f"k{i}"], "ratePerS": rate}
            for i, rate in enumerate((10, 30, 80, 0))
        ]
        tenants.append({"name": "t9", "ratePerS": 10**9})
        rows = effective(tenants).base.workspaces
        weights = [rows[f"t{i}"].weight for i in range(4)]
        self.assertEqual(weights, [0.25, 0.75, 2.0, 1.0])

    def test_change_of_one_rate_changes_one_part(self):
        """Guards against a whole configuration that each daemon sends again."""
        tenants = [
            {"name": f"t{i}", "apiKeys": [f"key-{i}"], "ratePerS": 10}
            for i in range(500)
        ]
        before = translate(tenants)
        tenants[7] = tenants[7] | {"ratePerS": 100_000}
        after = translate(tenants)
        changed = [name for name in after if after[name] != before[name]]
        self.assertEqual(len(changed), 1)

    def test_tenant_without_keys_is_valid_and_reported(self):
        found = effective([{"name": "acme"}])
        self.assertTrue(found.has_keys)
        made = config() | {"tenants": [{"name": "acme"}, *one(name="b")]}
        self.assertTrue(effective([{"name": "acme", "apiKeys": None}]).has_keys)
        routes = [config()["routes"][0] | {"anonymous": True}]
        self.assertTrue(effective([{"name": "acme"}], routes=routes).has_keys)
        texts = config_warnings(json.dumps(made).encode())
        self.assertEqual(texts, ["tenant 'acme' has no key"])

    def test_many_tenants_are_found_by_their_keys(self):
        tenants = [
            {"name": f"t{i}", "apiKeys": [f"key-{i}"], "ratePerS": 1 + i}
            for i in range(5900)
        ]
        self.assertEqual(len(effective(tenants).keys), 5900)


class TestInvalidTenants(unittest.TestCase):
    """An error names the field, its value and the limit, and contains no key."""

    def check(self, tenants, *expected):
        with self.assertRaises(PlatformError) as caught:
            translate(tenants)
        text = str(caught.exception)
        for part in expected:
            self.assertIn(part, text)
        self.assertNotIn("secret-key", text)

    def test_rates_outside_their_limits(self):
        for name in ("ratePerS", "burst", "plainTokens"):
            for value, shown in ((-1, "-1"), (2e12, "2e+12")):
                self.check(one(**{name: value}), name, shown, "limit 0 to 1e+12")

    def test_rate_that_is_not_a_number(self):
        for value in (float("nan"), float("inf"), "many", None, [1]):
            self.check(one(ratePerS=value))
        with self.assertRaises(PlatformError):
            raw = json.dumps(config() | {"tenants": one(ratePerS=7)})
            translate_config(raw.replace(": 7", ": 1e999").encode(), ACCESS)

    def test_key_of_two_tenants(self):
        tenants = [*one(), {"name": "birch", "apiKeys": ["x", "secret-key"]}]
        self.check(tenants, "tenants[1].apiKeys[1]", "'birch'", "'acme'", "limit 1")

    def test_unknown_unit(self):
        self.check(one(unit="furlong"), "'furlong'", "'acme'", "token_stream")

    def test_names_that_are_no_header_values(self):
        for name in (
            "",
            " a",
            "a ",
            "a\r\nX-Tenant: b",
            "a\x00",
            "caf\u00e9",
            "x" * 129,
        ):
            self.check(one(name=name), "tenants[0].name", "1 to 128")
        self.check([*one(), *one()], "name of another tenant")

    def test_keys_that_no_caller_can_send(self):
        for key in ("", "x" * 1025, " secret-key", "secret-key\n"):
            self.check(one(apiKeys=[key]), "tenants[0].apiKeys[0]", "bytes")
        self.check([{"name": "acme", "apiKeys": [7]}])

    def test_unknown_home_region_is_refused(self):
        result = effective_from_parts(1, translate(one(homeRegions=["moon"])), "hall-e")
        document, fault = result.failure()[0]
        self.assertIn("unknown region 'moon'", str(fault))


class TestUrgencyAtEngines(unittest.TestCase):
    CODEC = make_platform_codec()

    def header(self, config_, workspace, route):
        pair = (config_.base.workspaces[workspace].urgency or 0, route.urgency)
        urgency = config_.engine_urgencies.get(pair, pair[1])
        head = self.CODEC.read_request([("x-prompt-prefix", "a:1")])
        pairs = self.CODEC.write_request(head, UpstreamHead("i", 1, 5, urgency))
        return int(dict(pairs)["x-request-priority"])

    def headers(self, priorities, urgencies):
        """Return the priority headers in the order of workspace, then route."""
        tenants = [
            {"name": f"t{i}", "apiKeys": [f"k{i}"], "priority": p}
            for i, p in enumerate(priorities)
        ]
        routes = [
            config()["routes"][0] | {"pathPrefix": f"/{u}/", "priority": u}
            for u in urgencies
        ]
        found = effective(tenants, routes=routes)
        return [
            self.header(found, f"t{i}", route)
            for i in range(len(priorities))
            for route in found.base.routes
        ]

    def test_without_urgencies_of_tenants_the_header_is_that_of_the_route(self):
        self.assertEqual(self.headers([None, None], [0, 2, 20]), [1, 3, 9] * 2)
        self.assertEqual(self.headers([4], [0, 2])[0], 1)

    def test_urgency_of_the_tenant_precedes_that_of_the_route(self):
        """Guards against a route that overtakes a more urgent tenant."""
        self.assertEqual(self.headers([0, 3, 5], [0, 1]), [1, 2, 3, 4, 5, 6])

    def test_tenant_without_urgency_ranks_last(self):
        self.assertEqual(self.headers([7, None], [0, 1]), [1, 2, 3, 4])

    def test_more_pairs_than_urgencies_keep_their_order(self):
        found = self.headers(list(range(6)), [0, 1, 2, 3])
        self.assertEqual(found, sorted(found))
        self.assertEqual((found[0], found[-1]), (1, 9))
        self.assertEqual(set(found), set(range(1, 10)))


class TestKeyHeader(unittest.TestCase):
    def test_key_is_read_only_as_its_digest(self):
        codec = make_platform_codec()
        head = codec.read_request([("api-key", "secret-key")])
        digest = hashlib.sha256(b"secret-key").hexdigest()
        self.assertEqual((head.key_digest, head.key_fault), (digest, ""))
        passed = codec.without_credentials(head.passed)
        self.assertNotIn(
            "secret-key", repr(msgspec.structs.replace(head, passed=passed))
        )

    def test_faults_of_the_header(self):
        codec = make_platform_codec()
        for pairs, fault in (
            ([], "missing"),
            ([("api-key", "")], "empty"),
            ([("api-key", "a"), ("api-key", "a")], "repeated"),
            ([("api-key", "a"), ("api-key", "")], "repeated"),
            ([("api-key", "x" * 1025)], "oversized"),
        ):
            head = codec.read_request(pairs)
            self.assertEqual((head.key_digest, head.key_fault), ("", fault))

    def test_bytes_that_are_not_utf8_are_an_unknown_key(self):
        """Guards against an exception in the handler of the request."""
        key = b"\xff\xfe".decode(errors="surrogateescape")
        head = make_platform_codec().read_request([("api-key", key)])
        self.assertEqual(head.key_digest, hashlib.sha256(b"\xff\xfe").hexdigest())
