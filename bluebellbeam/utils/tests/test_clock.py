import time
import unittest
from unittest import mock

from bluebellbeam.utils.clock import monotonic_clock


class TestMonotonicClock(unittest.TestCase):
    def test_reads_clock_that_includes_suspension(self):
        sources = []

        def read(source):
            sources.append(source)
            return 5_000_000

        with mock.patch("time.clock_gettime_ns", read):
            self.assertEqual(monotonic_clock().now_ms(), 5)
        self.assertEqual(sources, [time.CLOCK_BOOTTIME])

    def test_wall_clock_change_has_no_effect(self):
        clock = monotonic_clock()
        before_ms = clock.now_ms()
        with mock.patch("time.time_ns", lambda: 0):
            self.assertLess(clock.now_ms() - before_ms, 1000)
