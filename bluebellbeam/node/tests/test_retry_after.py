import random
import unittest

from bluebellbeam.node.retry_after import (
    make_refusal_table,
    start_retry_after_ms,
    usable_retry_after_ms,
)
from bluebellbeam.node.tests.harness import Harness, final_errors, server


class TestStart(unittest.TestCase):
    """Callers that reach a daemon while it starts are served soon after it is ready.

    Load: after a loss of power all callers return at once, and a start takes about
    half a second.
    """

    def starting(self, age_ms):
        harness = Harness()
        harness.state.ready = False
        harness.state.started_ms = harness.now_ms - age_ms
        return harness

    def refuse(self, harness):
        (error,) = final_errors(harness.send_request())
        self.assertEqual((error.status, error.outcome), (503, "not_run"))
        return error

    def test_retry_after_covers_the_rest_of_a_usual_start(self):
        error = self.refuse(self.starting(100))
        self.assertEqual(error.code, "not_ready")
        self.assertTrue(200 <= error.retry_after_ms <= 400, error.retry_after_ms)

    def test_delay_grows_with_the_duration_of_the_start(self):
        error = self.refuse(self.starting(1500))
        self.assertTrue(1000 <= error.retry_after_ms <= 2000, error.retry_after_ms)

    def test_missing_servers_of_a_new_daemon_are_expected_soon(self):
        harness = Harness()
        harness.state.started_ms = harness.now_ms - 400
        error = self.refuse(harness)
        self.assertEqual(error.code, "no_backend")
        self.assertLessEqual(error.retry_after_ms, 500)

    def test_missing_servers_of_an_older_daemon_take_seconds(self):
        harness = Harness()
        harness.state.started_ms = harness.now_ms - 6000
        error = self.refuse(harness)
        self.assertEqual((error.code, error.retry_after_ms), ("no_backend", 2000))

    def test_delays_are_jittered_and_bounded(self):
        rng = random.Random(1)
        delays = [start_retry_after_ms(60_000, rng) for _ in range(50)]
        self.assertGreater(len(set(delays)), 20)
        self.assertLessEqual(max(delays), 2500)
        self.assertGreaterEqual(min(delays), 1500)

    def test_ready_daemon_serves_at_once(self):
        harness = Harness()
        harness.publish_servers(server("s1"))
        self.assertEqual(final_errors(harness.send_request()), [])


class TestUsableDelay(unittest.TestCase):
    """A caller uses a delay of at most a third of the time that it has left."""

    def delay_ms(self, wait_ms, left_ms, is_growing=False, lasted_ms=0):
        table = make_refusal_table()
        rng = random.Random(1)
        for at_ms in range(0, lasted_ms, 500):
            usable_retry_after_ms(table, "p", wait_ms, left_ms, is_growing, at_ms, rng)
        return [
            usable_retry_after_ms(
                table, "p", wait_ms, left_ms, is_growing, lasted_ms, rng
            )
            for _ in range(50)
        ]

    def test_delay_covers_the_wait_within_a_third_of_the_time_left(self):
        delays = self.delay_ms(800, 4000)
        self.assertGreaterEqual(min(delays), 800)
        self.assertLessEqual(max(delays), 1334)
        self.assertGreater(len(set(delays)), 10)

    def test_short_time_left_limits_the_jitter(self):
        self.assertLessEqual(max(self.delay_ms(0, 1800)), 600)

    def test_wait_beyond_a_third_is_stated_as_it_is(self):
        self.assertGreaterEqual(min(self.delay_ms(2000, 3000)), 2000)

    def test_growing_overload_is_expected_to_last_as_long_again(self):
        self.assertGreaterEqual(min(self.delay_ms(0, 9000, True, 2500)), 2500)
        self.assertLessEqual(max(self.delay_ms(0, 9000, False, 2500)), 1000)


if __name__ == "__main__":
    unittest.main()
