import unittest

import msgspec

from bluebellbeam.exception import PlatformError
from bluebellbeam.platform.records import decode_server

ENTRY = {
    "service": "portal",
    "address": "10.0.0.1:80",
    "zone": "hall-e",
    "state": "ready",
    "slots": 4,
    "version": "v1",
    "born": 1_700_000_000_000,
}


def decode(**values):
    raw = msgspec.json.encode(ENTRY | values)
    return decode_server("servers/i-1", raw, {"hall-e": "east"})


class TestServerEntries(unittest.TestCase):
    """An entry with an invalid field must not stop the decoding of the list."""

    def test_start_time_is_the_incarnation(self):
        self.assertEqual(decode().incarnation, 1_700_000_000_000)

    def test_invalid_fields_give_a_platform_error(self):
        for values in (
            {"born": 0},
            {"born": -5},
            {"born": 2**60},
            {"born": "1"},
            {"born": 1.5},
            {"slots": 0},
            {"slots": 10**9},
            {"warmupLeftMs": 1e19},
            {"warmupLeftMs": 1e308},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:65536"},
            {"address": "10.0.0.1:99999"},
            {"address": "10.0.0.1:" + "9" * 400},
            {"address": "server-1.example:80"},
            {"address": "a" * 70 + ".example:80"},
            {"address": "10.0.0:80"},
            {"address": ".:80"},
            {"service": ""},
            {"version": ""},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.1:"},
            {"address": "10.0.0.1:\u0661"},
            {"state": "unknown"},
            {"zone": "elsewhere"},
        ):
            with self.subTest(values), self.assertRaises(PlatformError):
                decode(**values)
