import random
import unittest
from types import SimpleNamespace

from bluebellbeam.node.tests.harness import server
from bluebellbeam.recovery import record_failure, refresh_slowness, update_pace
from bluebellbeam.routing.replica import (
    make_replica_table,
    record_miss,
    update_replicas,
)

NOW_MS = 50_000
POLICY = SimpleNamespace(eject_failures=3, eject_ms=5_000, eject_floor=0.5)


def make_table(count):
    table = make_replica_table()
    update_replicas(table, [server(f"s{number}") for number in range(count)])
    return table, [table.rows[f"s{number}"] for number in range(count)]


class TestSlowness(unittest.TestCase):
    """A server must be compared with the others at the same time, not a constant."""

    def test_servers_that_are_slow_together_are_not_slower_than_each_other(self):
        table, rows = make_table(4)
        for row in rows:
            for _ in range(10):
                update_pace(table, row, 500.0, 20.0, NOW_MS)
        refresh_slowness(table, NOW_MS)
        self.assertEqual([row.slowness for row in rows], [1.0] * 4)
        self.assertGreater(rows[0].pace, 10.0)

    def test_single_slow_server_is_sorted_last(self):
        for observe in (self.observe_pace, self.observe_duration):
            table, rows = make_table(4)
            for row in rows:
                observe(table, row, 500.0 if row is rows[1] else 20.0)
            refresh_slowness(table, NOW_MS)
            self.assertGreater(rows[1].slowness, 5.0)
            self.assertIs(table.pool("s/portal")[-1], rows[1])

    def observe_pace(self, table, row, observed_ms):
        for _ in range(10):
            update_pace(table, row, observed_ms, 20.0, NOW_MS)

    def observe_duration(self, table, row, observed_ms):
        row.service_ms, row.served_ms = observed_ms, NOW_MS

    def test_server_without_observations_is_treated_like_the_median(self):
        table, rows = make_table(4)
        for row in rows[:3]:
            self.observe_pace(table, row, 500.0)
            self.observe_duration(table, row, 300.0)
        for number in range(20):
            refresh_slowness(table, NOW_MS + number)
        self.assertAlmostEqual(rows[3].pace, rows[0].pace, delta=0.1)
        self.assertEqual(rows[3].service_ms, 300.0)

    def test_old_estimate_approaches_the_others_and_then_the_configured_one(self):
        table, rows = make_table(2)
        self.observe_pace(table, rows[0], 500.0)
        self.observe_duration(table, rows[0], 500.0)
        for now_ms in range(NOW_MS, NOW_MS + 40_000, 500):
            refresh_slowness(table, now_ms)
        self.assertAlmostEqual(rows[0].pace, 1.0, delta=0.01)
        self.assertLess(rows[0].delay_ms, 1.0)
        self.assertEqual(rows[0].service_ms, 0.0)


class TestEjection(unittest.TestCase):
    """A fault of this daemon must not eject all servers of a pool."""

    def test_half_of_a_pool_stays_in_use_and_ejections_end(self):
        table, rows = make_table(4)
        rng = random.Random(1)
        for _ in range(3):
            for row in rows:
                record_failure(table, row, POLICY, NOW_MS, rng)
        ejected = [row for row in rows if row.ejected_until_ms > NOW_MS]
        self.assertEqual(len(ejected), 2)
        longest_ms = max(row.ejected_until_ms for row in ejected) - NOW_MS
        self.assertLessEqual(longest_ms, 1.5 * POLICY.eject_ms)


class TestEjectionOfServersThatDoNotRespond(unittest.TestCase):
    """Guards against servers that all stay ejected when they respond again."""

    def test_servers_that_are_not_used_are_not_ejected(self):
        table, rows = make_table(4)
        for row in rows:
            record_miss(table, row)
            for _ in range(2 * POLICY.eject_failures):
                record_failure(table, row, POLICY, NOW_MS, random.Random(1))
        self.assertEqual([row.ejected_until_ms for row in rows], [0] * 4)
