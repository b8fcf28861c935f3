import unittest

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.tests.harness import Harness, server, started_attempts
from bluebellbeam.provider.records import LoadHeader


class TestRestartedServers(unittest.TestCase):
    """Nothing known of a server is kept when it is started again under its name."""

    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"))
        [self.attempt] = started_attempts(self.harness.send_request())
        self.harness.publish_servers(server("s1", incarnation=2))
        self.row = self.harness.state.replicas.rows["s1"]

    def known(self):
        row = self.row
        return (
            row.incarnation,
            row.inflight,
            row.peer_inflight,
            row.service_ms,
            row.slowness,
            row.failures,
            row.misses,
            row.confirmed_ms,
            row.identified,
        )

    def test_response_of_the_previous_incarnation_changes_nothing(self):
        before = self.known()
        load = LoadHeader(running=4, waiting=8, waiting_tokens=0)
        self.harness.tick(1000)
        self.harness.handle(ev.AttemptStarted(self.attempt.attempt_id))
        self.harness.handle(ev.AttemptFinished(self.attempt.attempt_id, load=load))
        self.assertEqual(self.known(), before)

    def test_failure_of_the_previous_incarnation_changes_nothing(self):
        before = self.known()
        self.harness.fail_attempt(self.attempt.attempt_id, lost=True)
        self.assertEqual(self.known(), before)

    def test_refusal_of_the_previous_incarnation_changes_nothing(self):
        before = self.known()
        error = make_error("upstream_failed", outcome="not_run")
        self.harness.handle(ev.AttemptRefused(self.attempt.attempt_id, error))
        self.assertEqual(self.known()[2:], before[2:])

    def test_health_check_of_the_previous_incarnation_changes_nothing(self):
        before = self.known()
        self.harness.handle(ev.LoadReadFailed("s1", 1))
        self.harness.handle(ev.HealthCheckAnswered("s1", "s1", 1, 5000))
        self.assertEqual(self.known(), before)
        self.assertEqual(self.row.cold_until_ms, 0)


class TestMalformedLoads(unittest.TestCase):
    """A server with malformed load headers must not fill the log."""

    def test_one_line_is_logged_for_each_incarnation(self):
        harness = Harness()
        harness.publish_servers(server("s1"))
        lines = []
        for incarnation in (1, 1, 2, 2):
            harness.publish_servers(server("s1", incarnation=incarnation))
            found = harness.handle(ev.LoadMalformed("s1", incarnation, "1,2"))
            lines.append([c.fields["value"] for c in found if isinstance(c, cmd.Log)])
        self.assertEqual(lines, [["1,2"], [], ["1,2"], []])
