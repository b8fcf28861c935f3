import unittest

from bluebellbeam.origins import (
    live_versions,
    make_version_table,
    merge_seen_versions,
    only_version,
    prune_versions,
    record_live_versions,
    record_version,
    start_watch,
)
from bluebellbeam.routing import StreamOrigin


class TestVersionTable(unittest.TestCase):
    def setUp(self):
        self.versions = make_version_table()
        start_watch(self.versions, -30_000)

    def only_version(self, now_ms=0):
        return only_version(self.versions, "llm", now_ms)

    def test_service_with_one_version_has_one_origin(self):
        self.assertIsNone(self.only_version())
        record_version(self.versions, "llm", "v1", 0)
        self.assertEqual(self.only_version(), StreamOrigin("llm", "v1"))

    def test_only_version_is_not_known_before_the_table_is_complete(self):
        self.versions = make_version_table()
        record_version(self.versions, "llm", "v1", 0)
        self.assertIsNone(self.only_version())
        start_watch(self.versions, 0)
        self.assertIsNone(self.only_version(29_999))
        self.assertEqual(self.only_version(30_000), StreamOrigin("llm", "v1"))

    def test_versions_that_a_member_has_seen_complete_the_table(self):
        self.versions = make_version_table()
        record_version(self.versions, "llm", "v2", 0)
        merge_seen_versions(self.versions, {"llm": ("v2",)}, 0)
        self.assertEqual(self.only_version(), StreamOrigin("llm", "v2"))
        merge_seen_versions(self.versions, {"llm": ("v1", "v2")}, 0)
        self.assertIsNone(self.only_version())

    def test_version_that_was_replaced_counts_for_some_time(self):
        record_version(self.versions, "llm", "v1", 0)
        record_version(self.versions, "llm", "v2", 20_000)
        prune_versions(self.versions, 30_000)
        self.assertIsNone(self.only_version())
        prune_versions(self.versions, 30_001)
        expected = StreamOrigin("llm", "v2")
        self.assertEqual(self.only_version(), expected)

    def test_version_of_another_region_counts(self):
        record_version(self.versions, "llm", "v1", 0)
        record_live_versions(self.versions, "west", {"llm": ("v2",)}, 0)
        self.assertIsNone(self.only_version())

    def test_versions_of_a_silent_region_are_not_known(self):
        self.assertIsNone(live_versions(self.versions, "west", "llm", 0))
        record_live_versions(self.versions, "west", {"llm": ("v2",)}, 0)
        self.assertEqual(live_versions(self.versions, "west", "llm", 10_000), ("v2",))
        self.assertEqual(live_versions(self.versions, "west", "web", 10_000), ())
        self.assertIsNone(live_versions(self.versions, "west", "llm", 10_001))


if __name__ == "__main__":
    unittest.main()
