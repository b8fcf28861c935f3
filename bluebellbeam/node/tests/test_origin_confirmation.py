import unittest

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.message import OriginQuery, StreamOrigins
from bluebellbeam.node.tests.harness import server, started_attempts
from bluebellbeam.node.tests.test_stream_origins import KEY, StreamOriginCase
from bluebellbeam.origins import UnconfirmedVersion
from bluebellbeam.routing import UNKNOWN_VERSION


class OutageCase(StreamOriginCase):
    """A daemon whose store is away while streams begin."""

    def setUp(self):
        super().setUp()
        self.publish("v1", "v1")

    def age_list(self, age_ms):
        self.harness.state.source_response_ms = self.harness.now_ms - age_ms
        self.harness.tick()

    def end_outage(self):
        """Let the store and the peers respond for 4 s."""
        for _ in range(8):
            self.age_list(0)
            for name in ("vm-2", "vm-w"):
                self.deliver(name, StreamOrigins())
            self.harness.tick(450)

    def begin(self, request_id="first", **values):
        """Begin a stream; return its attempt."""
        started = self.harness.send_request("/c/x", request_id, **values)
        (attempt,) = started_attempts(started)
        self.harness.handle(ev.AttemptStarted(attempt.attempt_id))
        return attempt

    def told(self):
        """Return the origins told last to each peer by key."""
        return {
            command.vm: {key: version for key, _, version in message.origins}
            for command in self.harness.commands
            if isinstance(command, cmd.SendToPeer)
            for message in command.messages
            if isinstance(message, StreamOrigins) and message.origins
        }

    def restart_servers(self, version):
        records = [
            server(name, "llm", version=version, address=address, incarnation=2)
            for name, address in (("llm-1", "10.0.0.1:80"), ("llm-2", "10.0.0.2:80"))
        ]
        self.harness.publish_servers(*records)


class TestStreamsThatBeganInAnOutageOfTheStore(OutageCase):
    """Guards against a version that stays unknown after the store is back."""

    def test_holders_learn_the_version_once_the_list_confirms_it(self):
        self.age_list(3001)
        self.harness.commands.clear()
        self.begin()
        unknown = {KEY: UNKNOWN_VERSION}
        self.assertEqual(self.told(), {"vm-2": unknown, "vm-w": unknown})
        self.harness.commands.clear()
        self.end_outage()
        self.assertEqual(self.told(), {"vm-2": {KEY: "v1"}, "vm-w": {KEY: "v1"}})

    def test_stream_goes_on_elsewhere_in_its_response_once_confirmed(self):
        self.age_list(3001)
        attempt = self.begin()
        self.end_outage()
        commands = self.harness.handle(
            ev.AttemptFailed(attempt.attempt_id, True, emitted_tokens=2)
        )
        (again,) = started_attempts(commands)
        self.assertNotEqual(again.server, attempt.server)

    def test_stream_of_a_server_that_has_started_again_stays_unknown(self):
        self.age_list(3001)
        attempt = self.begin()
        self.age_list(0)
        self.restart_servers("v2")
        self.end_outage()
        self.harness.commands.clear()
        self.harness.handle(
            ev.AttemptFailed(attempt.attempt_id, True, emitted_tokens=2)
        )
        self.assertEqual(self.started(), [])
        self.deliver("vm-w", OriginQuery((KEY,)))
        self.assertEqual(self.told(), {"vm-w": {KEY: UNKNOWN_VERSION}})

    def test_forwarded_stream_is_confirmed_by_the_region_of_its_server(self):
        self.age_list(3001)
        self.begin(origin="vm-w", revision=1, allowed=frozenset({"east"}))
        self.harness.commands.clear()
        self.end_outage()
        self.assertEqual(self.told()["vm-w"], {KEY: "v1"})


class TestStreamsAtAServerThatMayHaveEnded(OutageCase):
    """Guards against a version that is taken from the entry of an earlier process."""

    SERVERS = ("llm-1", "llm-2")

    def lose(self, away_ms, refuse=True):
        """Lose all connections to the servers, which answer after `away_ms`.

        Checks are refused before, or the first one is answered late.
        """
        self.age_list(0)
        for name in self.SERVERS:
            self.harness.handle(ev.ConnectionsLost(name, 1))
        checks = {
            c.server: c.sent_ms
            for c in self.harness.commands
            if isinstance(c, cmd.ReadLoad)
        }
        self.assertEqual(set(checks), set(self.SERVERS))
        if refuse:
            for name in self.SERVERS:
                self.harness.handle(ev.LoadReadFailed(name, 1, refused_connection=True))
        self.harness.tick(away_ms)
        for name in self.SERVERS:
            sent_ms = self.harness.now_ms if refuse else checks[name]
            answer = ev.HealthCheckAnswered(name, name, 1, sent_ms=sent_ms)
            self.harness.handle(answer)
        self.harness.tick()
        self.harness.commands.clear()

    def versions(self):
        return {version for rows in self.told().values() for version in rows.values()}

    def test_version_is_unknown_at_a_server_that_was_away(self):
        self.lose(400)
        attempt = self.begin()
        self.assertEqual(self.versions(), {UNKNOWN_VERSION})
        self.harness.commands.clear()
        self.harness.handle(
            ev.AttemptFailed(attempt.attempt_id, True, emitted_tokens=2)
        )
        self.assertEqual(self.started(), [])

    def test_version_of_a_new_process_is_not_taken_from_the_former_entry(self):
        self.lose(400)
        self.begin()
        self.harness.tick(400)
        self.restart_servers("v2")
        self.harness.commands.clear()
        self.end_outage()
        self.assertEqual(self.versions(), set())

    def test_version_is_confirmed_if_no_other_process_writes_its_entry(self):
        self.lose(400)
        self.begin()
        self.harness.commands.clear()
        self.end_outage()
        self.assertEqual(self.versions(), {"v1"})

    def test_server_that_accepts_a_check_at_once_has_not_ended(self):
        for away_ms in (100, 1000):
            with self.subTest(away_ms):
                self.setUp()
                self.lose(away_ms, refuse=False)
                self.begin()
                self.assertEqual(self.versions(), {"v1"})

    def test_server_that_refuses_and_is_soon_back_has_ended(self):
        self.lose(100)
        self.begin()
        self.assertEqual(self.versions(), {UNKNOWN_VERSION})

    def test_server_that_answers_a_later_check_only_may_have_ended(self):
        self.age_list(0)
        for name in self.SERVERS:
            self.harness.handle(ev.ConnectionsLost(name, 1))
        self.harness.tick(400)
        for name in self.SERVERS:
            answer = ev.HealthCheckAnswered(name, name, 1, sent_ms=self.harness.now_ms)
            self.harness.handle(answer)
        self.harness.tick()
        self.begin()
        self.assertEqual(self.versions(), {UNKNOWN_VERSION})

    def test_refused_connection_is_a_sign_of_the_end(self):
        self.age_list(0)
        (attempt,) = started_attempts(self.harness.send_request("/c/x", "other"))
        self.harness.handle(
            ev.AttemptFailed(
                attempt.attempt_id, False, lost_connection=True, refused_connection=True
            )
        )
        row = self.harness.state.replicas.rows[attempt.server]
        self.assertTrue(row.is_version_doubtful)


class TestHoldersOfAnUnknownVersion(OutageCase):
    """Guards against a version that only the daemon that is gone could confirm."""

    def tell(self, sender, incarnation=1):
        where = UnconfirmedVersion("v1", "llm-1", incarnation)
        origins = ((KEY, "llm", UNKNOWN_VERSION),)
        self.deliver(sender, StreamOrigins(origins, unconfirmed={KEY: where}))

    def test_holder_does_not_confirm_a_server_that_may_have_ended_since(self):
        self.tell("vm-2")
        self.end_outage()
        self.resume()
        self.deliver("vm-2", StreamOrigins(unknown=(KEY,)))
        self.deliver("vm-w", StreamOrigins(unknown=(KEY,)))
        self.assertEqual(self.started(), [])

    def test_holder_confirms_the_version_from_its_own_list(self):
        self.age_list(3001)
        self.tell("vm-2")
        answer = ev.HealthCheckAnswered("llm-1", "llm-1", 1)
        self.harness.tick()
        self.harness.handle(answer)
        self.end_outage()
        self.resume()
        self.assertEqual(len(self.started()), 1)

    def test_holder_refuses_while_the_server_may_have_started_again(self):
        self.tell("vm-2", incarnation=0)
        self.end_outage()
        self.resume()
        for name in ("vm-2", "vm-w"):
            self.deliver(name, StreamOrigins(unknown=(KEY,)))
        self.assertEqual(self.started(), [])
        self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])

    def test_lookup_goes_on_until_a_daemon_knows_the_version(self):
        self.resume()
        self.tell("vm-2", incarnation=0)
        self.assertEqual((self.started(), self.errors()), ([], []))
        self.deliver("vm-w", StreamOrigins(((KEY, "llm", "v1"),)))
        self.assertEqual(len(self.started()), 1)

    def test_unknown_version_does_not_replace_a_known_one(self):
        self.deliver("vm-w", StreamOrigins(((KEY, "llm", "v1"),)))
        self.tell("vm-2", incarnation=0)
        self.resume()
        self.assertEqual(len(self.started()), 1)

    def test_only_version_is_not_assumed_for_a_stream_of_unknown_version(self):
        self.harness.tick(31_000)
        self.publish("v1", "v1")
        self.harness.tick(31_000)
        self.harness.announce_peer("vm-2", "east", incarnation=6)
        self.tell("vm-2", incarnation=0)
        self.harness.commands.clear()
        self.resume()
        self.deliver("vm-2", StreamOrigins(unknown=(KEY,)))
        self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])


if __name__ == "__main__":
    unittest.main()
