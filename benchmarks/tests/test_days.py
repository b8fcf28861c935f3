import unittest

from benchmarks.days import NOT_DISCLOSED, NOT_ITEMIZED, count_days, table_lines


class TestDays(unittest.TestCase):
    def test_day_counts_once_for_each_kind_of_disturbance_and_broken_rule(self):
        days = [
            {"troubles": ["burst", "burst", "hup"], "rules": {"LOST": 1}},
            {"troubles": ["hup"], "rules": {}},
            {"troubles": [], "rules": {"HOME": 2, "EVAC": 1}},
        ]
        entries = [
            {"site": "a", "days": days, "days_left_out": 0},
            {"site": "b", "days": days[1:2], "days_left_out": 0},
            {"site": "a", "days": days[1:2], "days_left_out": 5},
        ]
        counts = count_days(entries)
        self.assertEqual((counts["a"].played, counts["a"].broken), (9, 2))
        kinds = {"burst": 1, "hup": 3, NOT_DISCLOSED: 1, NOT_ITEMIZED: 5}
        self.assertEqual(dict(counts["a"].by_kind), kinds)
        lines = table_lines(counts)
        self.assertIn("| burst | 1 | 0 | LOST 1 |", lines)
        self.assertIn("| hup | 3 | 1 | LOST 1 |", lines)
        self.assertIn(f"| {NOT_DISCLOSED} | 1 | 0 | EVAC 1, HOME 1 |", lines)
        self.assertEqual(lines[-1], "| all days | 9 (2 broken) | 1 (0 broken) | |")
