import unittest

from bluebellbeam.origins import (
    live_versions,
    make_version_table,
    only_version,
    prune_versions,
    record_live_versions,
    record_version,
)
from bluebellbeam.routing import StreamOrigin


class TestVersionTable(unittest.TestCase):
    def setUp(self):
        self.versions = make_version_table()

    def test_service_with_one_version_has_one_origin(self):
        self.assertIsNone(only_version(self.versions, "llm"))
        record_version(self.versions, "llm", "v1", 0)
        expected = StreamOrigin("llm", "v1")
        self.assertEqual(only_version(self.versions, "llm"), expected)

    def test_version_that_was_replaced_counts_for_some_time(self):
        record_version(self.versions, "llm", "v1", 0)
        record_version(self.versions, "llm", "v2", 20_000)
        prune_versions(self.versions, 30_000)
        self.assertIsNone(only_version(self.versions, "llm"))
        prune_versions(self.versions, 30_001)
        expected = StreamOrigin("llm", "v2")
        self.assertEqual(only_version(self.versions, "llm"), expected)

    def test_version_of_another_region_counts(self):
        record_version(self.versions, "llm", "v1", 0)
        record_live_versions(self.versions, "west", {"llm": ("v2",)}, 0)
        self.assertIsNone(only_version(self.versions, "llm"))

    def test_versions_of_a_silent_region_are_not_known(self):
        self.assertIsNone(live_versions(self.versions, "west", "llm", 0))
        record_live_versions(self.versions, "west", {"llm": ("v2",)}, 0)
        self.assertEqual(live_versions(self.versions, "west", "llm", 10_000), ("v2",))
        self.assertEqual(live_versions(self.versions, "west", "web", 10_000), ())
        self.assertIsNone(live_versions(self.versions, "west", "llm", 10_001))


if __name__ == "__main__":
    unittest.main()
