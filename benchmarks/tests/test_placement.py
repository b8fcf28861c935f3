import unittest

from benchmarks.placement import simulate

RATE_PER_S = 700.0


class TestPlacement(unittest.TestCase):
    """Many daemons with old load figures must not herd or compute parts repeatedly."""

    def run_policy(self, policy, age_ms=200):
        return simulate(policy, RATE_PER_S, age_ms, seed=1, duration_ms=4_000)

    def test_placement_by_subject_beats_the_other_policies(self):
        found = self.run_policy("subject")
        for policy in ("round robin", "least requests", "two choices", "ranking"):
            with self.subTest(policy):
                other = self.run_policy(policy)
                self.assertLess(found["p99_ms"], other["p99_ms"])
                self.assertLess(found["recomputed"], other["recomputed"])

    def test_bounded_load_uses_a_figure_of_200_ms(self):
        known, unknown = self.run_policy("subject"), self.run_policy("subject", None)
        self.assertLess(known["busiest"], unknown["busiest"])

    def test_runs_are_repeatable(self):
        self.assertEqual(self.run_policy("subject"), self.run_policy("subject"))
