import unittest
from unittest import mock

from bluebellbeam.origins import (
    ServingDaemon,
    find_origin,
    make_origin_table,
    prune_origins,
    record_origin,
    stream_key,
    table,
)
from bluebellbeam.routing import StreamOrigin

ORIGIN = StreamOrigin("llm", "v1")
DAEMON = ServingDaemon("vm-1", 1, "east", "dom-e")


class TestOriginTable(unittest.TestCase):
    def test_origin_is_known_until_its_time_is_over(self):
        origins = make_origin_table()
        record_origin(origins, 1, ORIGIN, DAEMON, 1000)
        record_origin(origins, 2, ORIGIN, DAEMON, 31_000)
        self.assertEqual(find_origin(origins, 1, 61_000), ORIGIN)
        self.assertIsNone(find_origin(origins, 1, 61_001))
        self.assertIsNone(find_origin(origins, 3, 1000))
        prune_origins(origins, 62_000)
        self.assertEqual(list(origins.rows), [2])

    def test_oldest_origin_is_dropped_from_a_full_table(self):
        origins = make_origin_table()
        with mock.patch.object(table, "MAX_ORIGINS", 2):
            for key in (1, 2, 1, 3):
                record_origin(origins, key, ORIGIN, DAEMON, key)
        self.assertEqual((list(origins.rows), origins.dropped), ([1, 3], 1))

    def test_key_does_not_depend_on_the_case_of_the_host(self):
        self.assertEqual(stream_key("A.example", "r"), stream_key("a.example", "r"))
        self.assertNotEqual(stream_key("a.example", "r"), stream_key("a.example", "s"))


if __name__ == "__main__":
    unittest.main()
