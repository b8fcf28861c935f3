import unittest

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node import explain_request
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    make_base,
    server,
    started_attempts,
)

PAUSE_MS = 3000


class TestServerPause(unittest.TestCase):
    """A server that asked for a pause gets no request before its end."""

    def setUp(self):
        self.harness = Harness(base=make_base(stale_list_ms=3000))

    def refuse(self, attempt, pause_ms=PAUSE_MS):
        harness = self.harness
        stated = ev.PauseStated(attempt.server, attempt.incarnation, pause_ms)
        refusal = make_error("upstream_failed", outcome="not_run")
        harness.handle(stated)
        return harness.handle(ev.AttemptRefused(attempt.attempt_id, refusal))

    def pause_all(self, count, pause_ms=PAUSE_MS):
        self.harness.publish_servers(
            *(server(f"s{n}", address=f"10.0.0.{n}:80") for n in range(count))
        )
        commands = self.harness.send_request(request_id="first")
        while attempts := started_attempts(commands):
            commands = self.refuse(attempts[0], pause_ms)

    def test_retry_of_the_refused_request_uses_another_server(self):
        self.harness.publish_servers(server("s1"), server("s2", address="10.0.0.2:80"))
        first = started_attempts(self.harness.send_request())[0]
        second = started_attempts(self.refuse(first))[0]
        self.assertNotEqual(second.server, first.server)

    def test_paused_server_gets_nothing_until_the_end_of_its_pause(self):
        harness = self.harness
        self.pause_all(1)
        harness.commands.clear()
        end_ms = harness.now_ms + PAUSE_MS
        while harness.now_ms < end_ms - 100:
            harness.send_request(request_id=f"r{harness.now_ms}")
            harness.tick()
        self.assertEqual(started_attempts(harness.commands), [])
        harness.tick(100)
        self.assertGreaterEqual(len(started_attempts(harness.commands)), 1)

    def test_server_is_used_at_the_end_of_a_pause_that_nothing_else_ended(self):
        self.pause_all(1, pause_ms=1000)
        self.harness.tick(1000)
        commands = self.harness.send_request(request_id="r2")
        self.assertEqual(len(started_attempts(commands)), 1)

    def test_paused_server_gets_no_health_checks(self):
        harness = self.harness
        harness.handle(ev.FeedSourceResponded())
        self.pause_all(1)
        harness.tick(3500)
        self.pause_all(1)
        harness.commands.clear()
        harness.tick(PAUSE_MS - 100)
        self.assertFalse([c for c in harness.commands if isinstance(c, cmd.ReadLoad)])

    def test_request_is_refused_at_once_while_all_servers_pause(self):
        self.pause_all(2)
        error = final_errors(self.harness.send_request(request_id="r2"))[0]
        self.assertEqual(error.outcome, "not_run")
        self.assertGreaterEqual(error.retry_after_ms, 0.7 * (PAUSE_MS - 400))
        steps = explain_request(self.harness.state, "r2")
        self.assertEqual(steps[0].detail, ("s0: paused", "s1: paused"))
        self.assertEqual(self.harness.state.counters.turned_away["paused"], 1)

    def test_new_incarnation_of_a_paused_server_is_used(self):
        self.pause_all(1)
        self.harness.tick(500)
        self.harness.publish_servers(server("s0", incarnation=2))
        commands = self.harness.send_request(request_id="r2")
        self.assertEqual(len(started_attempts(commands)), 1)

    def test_shorter_pause_does_not_end_a_longer_one(self):
        self.harness.publish_servers(server("s0"))
        self.refuse(started_attempts(self.harness.send_request())[0])
        self.harness.handle(ev.PauseStated("s0", 1, 100))
        self.harness.tick(1000)
        commands = self.harness.send_request(request_id="r2")
        self.assertEqual(started_attempts(commands), [])


if __name__ == "__main__":
    unittest.main()
