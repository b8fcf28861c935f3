import unittest

import msgspec

from benchmarks.fleet import TARGET_FLEET, make_base
from benchmarks.spread import measure_propagation, measure_restart_storm
from bluebellbeam.config import check_base, decode_document
from bluebellbeam.config.model import Base

MAX_PROPAGATION_S = 18.0
MAX_READS_PER_S = 2000


class TestTargetFleet(unittest.TestCase):
    def test_base_file_of_target_fleet_is_valid(self):
        raw = msgspec.json.encode(make_base(TARGET_FLEET))
        base = decode_document(raw, Base).unwrap()
        self.assertEqual(check_base(base), [])

    def test_configuration_change_reaches_every_daemon_in_time(self):
        for case, count, last_s, _ in measure_propagation(TARGET_FLEET):
            with self.subTest(case):
                self.assertGreater(count, 300)
                self.assertLessEqual(last_s, MAX_PROPAGATION_S)

    def test_restart_storm_stays_within_the_read_budget(self):
        metrics = dict(measure_restart_storm(TARGET_FLEET))
        peak_reads = metrics["reads in the busiest second (budget 2,000)"]
        self.assertLessEqual(peak_reads, MAX_READS_PER_S)
        self.assertEqual(metrics["daemons ready 15 s later"], "350 of 350")
