import itertools
import unittest

from bluebellbeam.node import attempts, node
from bluebellbeam.scenario.faults import (
    run_faults,
    run_schedule,
    unserved_in_isolation,
)

NAMED_FAULTS = (
    "capacity loss",
    "partition",
    "configuration down or stale",
    "pause",
    "return with cold caches",
)

REGRESSION_SEEDS = (112, 167, 197, 328, 489, 503, 557, 638, 932, 1332)
"""Seeds of random schedules that violated an invariant in earlier versions."""

NAMED_FAULT_RESULTS = []
"""Kinds of fault and violations of each run, for the table after the tests."""


class TestNamedFaults(unittest.TestCase):
    """Each fault that the requirements name, and each pair, violates no invariant."""

    def test_each_fault_and_pair_violates_no_invariant(self):
        groups = [(kind,) for kind in NAMED_FAULTS]
        groups += itertools.combinations(NAMED_FAULTS, 2)
        for name in ("fraserleaf", "fellesdepot"):
            for kinds in groups:
                with self.subTest(name=name, kinds=kinds):
                    violated = run_faults(name, kinds, 1)
                    NAMED_FAULT_RESULTS.append((tuple(kinds), violated))
                    self.assertEqual(violated, {})


class TestIsolation(unittest.TestCase):
    def test_isolated_regions_serve_their_own_callers(self):
        for name in ("fraserleaf", "fellesdepot"):
            for seed in range(5):
                with self.subTest(name=name, seed=seed):
                    self.assertEqual(unserved_in_isolation(name, seed), [])


class TestSchedules(unittest.TestCase):
    def test_random_schedules_violate_no_invariant(self):
        for seed in range(20_000, 20_040):
            with self.subTest(seed=seed):
                self.assertEqual(run_schedule(seed), {})

    def test_regression_seeds_violate_no_invariant(self):
        for seed in REGRESSION_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_schedule(seed), {})


class TestChecksCanFail(unittest.TestCase):
    """The checks of the invariants find a violation when a safeguard is disabled."""

    def _violated(self, seeds):
        found = set()
        for seed in seeds:
            found |= run_schedule(seed).keys()
        return found

    def test_repeated_change_is_detected(self):
        original_consume_retry = attempts.consume_retry
        original_mark_not_run = attempts.mark_not_run

        # Changes are retried although the failed attempt may have run.
        def retry_as_not_run(state, request, not_run, now_ms):
            return original_consume_retry(state, request, True, now_ms)

        # The operation counts as claimed again, whatever its state, and may be sent.
        def mark_claimed(ledger, op_id):
            ledger.rows[op_id].state = "claimed"

        attempts.consume_retry, attempts.mark_not_run = retry_as_not_run, mark_claimed
        try:
            self.assertIn("at most once", self._violated(range(12)))
        finally:
            attempts.consume_retry, attempts.mark_not_run = (
                original_consume_retry,
                original_mark_not_run,
            )

    def test_wrong_not_run_outcome_is_detected(self):
        original = node.handle_attempt_failed

        # Every failed attempt counts as never sent, and so as not run.
        def handle_as_unsent(state, event, now_ms):
            copy = type(event)(event.attempt_id, False, event.emitted_tokens)
            return original(state, copy, now_ms)

        node.handle_attempt_failed = handle_as_unsent
        try:
            self.assertIn("not_run means not run", self._violated(range(12)))
        finally:
            node.handle_attempt_failed = original
