import unittest

from bluebellbeam.node import event as ev
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    make_base,
    server,
    started_attempts,
)

LINGER_MS = 500
GRACE_MS = 3000
TIMEOUT_MS = 3000


class TestCallsLateInTheGracePeriod(unittest.TestCase):
    """Guards against calls that the exit of the process cuts off at a server."""

    def setUp(self):
        policy = {"leave_linger_ms": LINGER_MS, "leave_grace_ms": GRACE_MS}
        self.harness = Harness(base=make_base(**policy))
        self.publish()

    def publish(self):
        servers = [server(name, slots=2) for name in ("s1", "s2")]
        self.harness.publish_servers(*servers, server("e1", "llm"))

    def stop(self, since_ms):
        """Stop the daemon, and go on until `since_ms` later."""
        started, _ = self.send("/c/x", "stream")
        self.harness.handle(ev.AttemptStarted(started[0].attempt_id))
        self.harness.handle(ev.StopRequested())
        self.harness.tick(since_ms)
        self.assertFalse(self.harness.state.stopped)

    def send(self, path, key="late", **values):
        """Return the attempts that a request starts, and its error, if any."""
        commands = self.harness.send_request(path, key, **values)
        return started_attempts(commands), final_errors(commands)

    def check_refused(self, path, **values):
        started, errors = self.send(path, **values)
        self.assertEqual(started, [])
        self.assertEqual((errors[0].code, errors[0].outcome), ("leaving", "not_run"))
        self.assertLess(errors[0].retry_after_ms, 500)

    def serve(self, path, took_ms, key="known"):
        (attempt,), _ = self.send(path, key)
        self.harness.now_ms += took_ms
        self.harness.handle(ev.AttemptFinished(attempt.attempt_id))

    def test_call_of_unknown_length_that_must_not_run_twice_is_refused(self):
        self.stop(LINGER_MS + 100)
        self.check_refused("/o/x")

    def test_call_is_served_while_callers_are_not_aware_of_the_shutdown(self):
        self.stop(LINGER_MS - 100)
        self.assertEqual(len(self.send("/o/x")[0]), 1)

    def test_call_is_served_if_such_calls_are_short(self):
        self.serve("/o/x", 100)
        self.stop(GRACE_MS - 1000)
        self.assertEqual(len(self.send("/o/x")[0]), 1)

    def test_short_call_is_refused_just_before_the_exit(self):
        self.serve("/o/x", 20)
        self.serve("/p/x", 20)
        self.stop(GRACE_MS - 200)
        self.check_refused("/o/x")
        self.check_refused("/p/x", key="other")

    def test_call_is_refused_if_one_of_its_route_took_long(self):
        self.serve("/p/x", 2000)
        self.serve("/p/x", 20, key="short")
        self.stop(1000)
        self.check_refused("/p/x")

    def test_call_is_served_if_its_caller_waits_no_longer_than_the_process(self):
        self.stop(1000)
        end_ms = self.harness.now_ms + 1500
        self.assertEqual(len(self.send("/o/x", response_deadline_ms=end_ms)[0]), 1)

    def test_forwarded_call_is_refused_as_not_run(self):
        self.harness.announce_peer("w1")
        self.stop(LINGER_MS + 100)
        values = {"origin": "w1", "allowed": frozenset({"east"}), "revision": 1}
        self.check_refused("/o/x", **values)

    def test_queued_call_is_not_sent_late(self):
        attempts = [self.send("/o/x", f"first{i}")[0] for i in range(8)]
        running = [attempt for found in attempts for attempt in found]
        queued = {f"first{i}" for i, found in enumerate(attempts) if not found}
        self.assertTrue(running and queued)
        self.harness.handle(ev.StopRequested())
        self.harness.tick(300)
        self.harness.tick(LINGER_MS)
        self.harness.commands.clear()
        commands = self.harness.handle(ev.AttemptFinished(running[0].attempt_id))
        self.assertEqual(started_attempts(commands), [])

    def test_call_is_not_repeated_late(self):
        self.serve("/p/x", 20)
        self.stop(GRACE_MS - 400)
        (attempt,), _ = self.send("/p/x")
        self.harness.tick(250)
        commands = self.harness.fail_attempt(attempt.attempt_id)
        self.assertEqual(started_attempts(commands), [])
        self.assertEqual(final_errors(commands)[0].outcome, "unknown")

    def test_process_without_a_grace_period_refuses_no_call(self):
        self.harness = Harness(base=make_base(leave_linger_ms=LINGER_MS))
        self.publish()
        self.serve("/o/x", 2000)
        self.send("/o/x", "running")
        self.stop(GRACE_MS)
        self.assertEqual(len(self.send("/o/x")[0]), 1)


if __name__ == "__main__":
    unittest.main()
