import unittest

import uvloop

from benchmarks.daemon_cost import measure_daemon


class TestDaemonCost(unittest.TestCase):
    def test_daemon_process_starts_and_relays_every_stream(self):
        cost = uvloop.run(measure_daemon(20, 5, events=10, pause_ms=1))
        self.assertGreater(cost.start_cpu_s, 0.0)
        self.assertGreater(cost.start_rss_mb, 0.0)
        self.assertGreater(cost.ready_s, 0.0)


if __name__ == "__main__":
    unittest.main()
