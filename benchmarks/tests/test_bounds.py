import json
import unittest

import msgspec

from benchmarks.policy import (
    RESULTS_DIR,
    Result,
    check_bounds,
    merge_samples,
    run_case,
)

NEWEST_FILE = sorted(RESULTS_DIR.glob("*.json"))[-1]
SEEDS = (1, 2, 3)


def read_newest_results():
    return [msgspec.convert(row, Result) for row in json.loads(NEWEST_FILE.read_text())]


class TestBounds(unittest.TestCase):
    """The newest results meet the bounds; one test is added per user and case."""


def _add_bound_test(user, case):
    def test(self):
        missed = check_bounds(read_newest_results())
        in_case = [line for line in missed if line.startswith(f"{user}, {case}: ")]
        self.assertEqual(in_case, [])

    name = f"test_{user}_{case.replace(' ', '_')}"
    setattr(TestBounds, name, test)


for _user, _case in sorted({(r.user, r.case) for r in read_newest_results()}):
    _add_bound_test(_user, _case)


class TestResults(unittest.TestCase):
    def test_newest_results_are_reproduced_by_this_code(self):
        for user, case in (("fraserleaf", "steady"), ("fellesdepot", "capacity loss")):
            samples = [run_case(user, case, "ours", seed) for seed in SEEDS]
            actual = merge_samples(user, case, "ours", samples)
            expected = next(
                r
                for r in read_newest_results()
                if (r.user, r.case, r.policy) == (user, case, "ours")
            )
            self.assertEqual(actual, expected)


class TestObjective(unittest.TestCase):
    """Each deployment's objective shifts decisions toward what it weights most."""

    def _find_result(self, user, policy, case):
        key = (user, case, policy)
        rows = {(r.user, r.case, r.policy): r for r in read_newest_results()}
        return rows[key]

    def test_fraserleaf_objective_lowers_cost_and_remote_share(self):
        own = self._find_result("fraserleaf", "ours", "peak")
        other = self._find_result("fraserleaf", "other's weights", "peak")
        self.assertLess(own.cost, other.cost)
        self.assertLess(own.away_share, other.away_share)

    def test_fellesdepot_objective_shortens_the_latency_tail(self):
        own = self._find_result("fellesdepot", "ours", "peak")
        other = self._find_result("fellesdepot", "other's weights", "peak")
        self.assertLess(
            own.first_ms["interactive"][2], other.first_ms["interactive"][2]
        )
        self.assertGreater(own.away_share, other.away_share)
