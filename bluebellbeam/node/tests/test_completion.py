import unittest

from bluebellbeam.node import event as ev
from bluebellbeam.node.tests.engine_region import EngineRegion
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    server,
    started_attempts,
)
from bluebellbeam.provider.records import LoadHeader


class TestStreamsThatCannotComplete(unittest.TestCase):
    """A stream that no server can complete in time must be rejected at once."""

    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(
            server("s1", service="llm", slots=64), server("s2", service="llm", slots=64)
        )

    def send(self, request_id, tokens=288):
        return self.harness.send_request("/c/x", request_id, max_output_tokens=tokens)

    def report(self, attempt, interval_ms, percent=100):
        load = LoadHeader(1, 0, 0, duration_percent=percent)
        self.harness.handle(ev.AttemptStarted(attempt.attempt_id))
        event = ev.StreamProgressed(
            attempt.attempt_id, 1, interval_ms, interval_ms, load
        )
        self.harness.handle(event)

    def test_stream_goes_to_the_server_that_can_complete_it(self):
        [first] = started_attempts(self.send("r1"))
        self.report(first, 1_000)
        for number in range(8):
            [attempt] = started_attempts(self.send(f"n{number}"))
            self.assertNotEqual(attempt.server, first.server)

    def test_stream_is_rejected_at_once_and_a_shorter_one_is_served(self):
        attempts = started_attempts(self.send("r1")) + started_attempts(self.send("r2"))
        self.assertEqual(len({attempt.server for attempt in attempts}), 2)
        for attempt in attempts:
            self.report(attempt, 1_000)
        [error] = final_errors(self.send("r3"))
        self.assertEqual(error.code, "deadline_unreachable")
        self.assertEqual(error.outcome, "not_run")
        self.assertEqual(len(started_attempts(self.send("r4", tokens=54))), 1)

    def test_streams_are_served_again_without_recent_events(self):
        attempts = started_attempts(self.send("r1")) + started_attempts(self.send("r2"))
        for attempt in attempts:
            self.report(attempt, 1_000)
        self.harness.tick(6_000)
        self.assertEqual(len(started_attempts(self.send("r3"))), 1)

    def test_servers_without_a_fourth_figure_are_not_limited(self):
        attempts = started_attempts(self.send("r1")) + started_attempts(self.send("r2"))
        for attempt in attempts:
            self.report(attempt, 1_000, percent=0)
        self.assertEqual(len(started_attempts(self.send("r3"))), 1)


class TestEnginesNearSaturation(unittest.TestCase):
    """Engines between prefill chunks were given more streams than they could finish."""

    def play(self, percent):
        totals = dict.fromkeys(("sent", "completed", "lost"), 0)
        for seed in (1, 2, 3):
            region = EngineRegion(2, 20, 6, percent, seed)
            region.run(30_000)
            for name in totals:
                totals[name] += region.counts[name]["short"]
        return totals

    def test_more_streams_complete_and_few_are_lost(self):
        before, after = self.play(0), self.play(100)
        self.assertGreater(before["lost"], 0.1 * before["sent"])
        self.assertLess(after["lost"], 0.01 * after["sent"], after)
        self.assertGreater(after["completed"], 1.3 * before["completed"], after)
