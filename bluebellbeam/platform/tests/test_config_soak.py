import asyncio
import tempfile
import unittest

from bluebellbeam.platform.tests.config_soak import run_soak

SECONDS = 25.0


class TestConfigurationSoak(unittest.TestCase):
    """Guards against a daemon that decides by a configuration that is not in force."""

    def check(self, seed, *kinds):
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            site, found = asyncio.run(run_soak(seed, SECONDS, folder, kinds))
        self.assertEqual(found, [], site.notes)
        statuses = [probe.status for probe in site.probes]
        self.assertGreater(statuses.count(200), len(statuses) // 4)

    def test_changes_while_daemons_and_paths_to_the_store_are_disturbed(self):
        kinds = ("store silent", "store reset", "store busy", "kill", "freeze", "term")
        self.check(51, *kinds, "storm")

    def test_changes_beside_what_no_reader_expects(self):
        kinds = ("invalid", "odd bytes", "odd nested", "odd huge", "partial settings")
        self.check(52, *kinds, "moved store", "peers slow", "storm")


if __name__ == "__main__":
    unittest.main()
