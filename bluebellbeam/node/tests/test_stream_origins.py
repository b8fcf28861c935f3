import unittest

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.message import Envelope, OriginQuery, StreamOrigins
from bluebellbeam.node.retry_after import START_MS
from bluebellbeam.node.stream_origins import LOOKUP_TIMEOUT_MS
from bluebellbeam.node.tests.harness import Harness, make_base, server
from bluebellbeam.origins import stream_key
from bluebellbeam.routing import UNKNOWN_VERSION

KEY = stream_key("a.example:80", "first")


class StreamOriginCase(unittest.TestCase):
    """One daemon of region east with a peer in it and one in region west."""

    def setUp(self):
        single = make_base()["routes"][2] | {
            "name": "single",
            "path_prefix": "/s/",
            "resumable": False,
        }
        base = make_base(routes=[single], stale_list_ms=3000)
        self.harness = Harness(base=base)
        self.harness.announce_peer("vm-2", "east")
        self.harness.announce_peer("vm-w", "west")
        self.publish("v1", "v2")

    def publish(self, *versions):
        records = [
            server(f"llm-{i}", "llm", version=version, address=f"10.0.0.{i}:80")
            for i, version in enumerate(versions, 1)
        ]
        self.harness.publish_servers(*records)
        self.harness.tick(500)
        self.harness.commands.clear()

    def resume(self, resumes="first"):
        return self.harness.send_request(
            "/c/x", "again", resume_after="2", resumes=resumes
        )

    def deliver(self, sender, message):
        incarnation = self.harness.state.members.rows[sender].incarnation
        envelope = Envelope(sender, incarnation, (message,))
        return self.harness.handle(ev.PeerMessagesReceived(envelope, answer=True))

    def queried(self):
        """Return the peers that were asked for an origin."""
        return {
            command.vm
            for command in self.harness.commands
            if isinstance(command, cmd.SendToPeer)
            and any(isinstance(m, OriginQuery) for m in command.messages)
        }

    def started(self):
        """Return the servers that the request was sent to."""
        return [
            command.server
            for command in self.harness.commands
            if isinstance(command, cmd.StartAttempt)
        ]

    def errors(self):
        return [
            (command.error.code, command.error.outcome)
            for command in self.harness.commands
            if isinstance(command, cmd.SendErrorResponse)
        ]


class TestLookupOfAnOrigin(StreamOriginCase):
    def test_request_waits_for_the_first_daemon_that_knows_the_origin(self):
        self.resume()
        self.assertEqual(self.queried(), {"vm-2", "vm-w"})
        self.deliver("vm-w", StreamOrigins(unknown=(KEY,)))
        self.assertEqual((self.started(), self.errors()), ([], []))
        self.deliver("vm-2", StreamOrigins(((KEY, "llm", "v2"),)))
        self.assertEqual(self.started(), ["llm-2"])

    def test_origin_that_nobody_knows_is_refused_at_once_with_two_versions(self):
        self.resume()
        for name in ("vm-2", "vm-w"):
            self.deliver(name, StreamOrigins(unknown=(KEY,)))
        self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])
        self.assertEqual(self.harness.state.requests, {})

    def test_lookup_ends_without_answers(self):
        self.resume()
        self.harness.tick(LOOKUP_TIMEOUT_MS - 50)
        self.assertEqual(self.errors(), [])
        self.harness.tick(50)
        self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])
        self.assertEqual(self.harness.state.origin_lookups, {})

    def test_lookup_does_not_wait_for_unreachable_daemons(self):
        self.resume()
        self.harness.handle(ev.PeerUnreachable("vm-w"))
        self.deliver("vm-2", StreamOrigins(unknown=(KEY,)))
        self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])

    def resume_with_one_version(self):
        """Resume a stream of unknown origin after only v2 was seen for 30 s."""
        self.harness.tick(31_000)
        self.publish("v2")
        self.harness.tick(31_000)
        self.harness.announce_peer("vm-2", "east", incarnation=6)
        self.harness.commands.clear()
        self.resume()
        self.assertEqual(self.queried(), {"vm-2"})

    def test_stream_of_a_service_with_one_version_is_continued_all_the_same(self):
        self.resume_with_one_version()
        self.deliver("vm-2", StreamOrigins(unknown=(KEY,)))
        self.assertEqual(self.started(), ["llm-1"])

    def test_daemon_that_reaches_no_other_does_not_assume_the_only_version(self):
        for answer in (ev.PeerUnreachable("vm-2"), None):
            with self.subTest(answer=answer):
                self.setUp()
                self.resume_with_one_version()
                if answer is not None:
                    self.harness.handle(answer)
                self.harness.tick(LOOKUP_TIMEOUT_MS)
                self.assertEqual(self.started(), [])
                self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])

    def test_daemon_whose_others_are_all_dead_does_not_assume_the_only_version(self):
        self.harness.tick(31_000)
        self.publish("v2")
        self.harness.tick(31_000)
        self.assertTrue(self.harness.state.members.rows)
        self.resume()
        self.assertEqual((self.queried(), self.started()), (set(), []))
        self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])

    def test_daemon_whose_list_is_old_does_not_assume_the_only_version(self):
        self.resume_with_one_version()
        state = self.harness.state
        state.source_response_ms = self.harness.now_ms - 3001
        self.deliver("vm-2", StreamOrigins(unknown=(KEY,)))
        self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])

    def test_version_that_another_daemon_names_is_not_kept_alive(self):
        self.resume_with_one_version()
        message = StreamOrigins(unknown=(KEY,), recent={"llm": ("v1",)})
        self.deliver("vm-2", message)
        self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])
        seen = self.harness.state.versions.seen_ms
        self.assertEqual(set(seen["llm"]), {"v2"})

    def test_version_that_only_another_daemon_has_seen_counts(self):
        self.resume_with_one_version()
        message = StreamOrigins(unknown=(KEY,), recent={"llm": ("v3",)})
        self.deliver("vm-2", message)
        self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])

    def test_request_that_names_no_stream_is_refused_with_two_versions(self):
        self.resume(resumes="")
        self.assertEqual(self.queried(), set())
        self.assertEqual(self.errors(), [("stream_origin_unknown", "not_run")])

    def test_caller_that_leaves_during_the_lookup_is_forgotten(self):
        self.resume()
        self.harness.handle(ev.CallerDisconnected("again"))
        self.deliver("vm-2", StreamOrigins(((KEY, "llm", "v2"),)))
        self.assertEqual(self.started(), [])
        self.assertEqual(self.harness.state.requests, {})

    def test_version_without_a_server_is_refused_at_once(self):
        self.harness.state.started_ms -= START_MS
        self.resume()
        self.deliver("vm-2", StreamOrigins(((KEY, "llm", "v3"),)))
        self.assertEqual(self.errors(), [("stream_version_gone", "not_run")])

    def test_service_that_the_route_has_left_is_refused_at_once(self):
        self.resume()
        self.deliver("vm-2", StreamOrigins(((KEY, "portal", "v1"),)))
        self.assertEqual(self.errors(), [("stream_version_gone", "not_run")])


class TestReportOfAnOrigin(StreamOriginCase):
    def told(self):
        """Return the origins that each peer was told."""
        return {
            command.vm: message.origins
            for command in self.harness.commands
            if isinstance(command, cmd.SendToPeer)
            for message in command.messages
            if isinstance(message, StreamOrigins)
        }

    def test_first_event_is_reported_to_holders_of_both_regions(self):
        started = self.harness.send_request("/c/x", "first")
        attempt = next(c for c in started if isinstance(c, cmd.StartAttempt))
        self.assertEqual(self.told(), {})
        self.harness.handle(ev.AttemptStarted(attempt.attempt_id))
        row = (KEY, "llm", f"v{attempt.server[-1]}")
        self.assertEqual(self.told(), {"vm-2": (row,), "vm-w": (row,)})
        self.harness.commands.clear()
        self.deliver("vm-w", OriginQuery((KEY, 7)))
        answer = self.harness.commands[-1]
        seen = {"llm": ("v1", "v2")}
        expected = StreamOrigins((row,), (7,), recent=seen)
        self.assertEqual(answer.messages, (expected,))

    def test_stream_that_cannot_be_resumed_is_not_reported(self):
        started = self.harness.send_request("/s/x", "first")
        attempt = next(c for c in started if isinstance(c, cmd.StartAttempt))
        self.harness.handle(ev.AttemptStarted(attempt.attempt_id))
        self.assertEqual(self.told(), {})


class TestVersionsOfAnOldList(StreamOriginCase):
    """Guards against a server that has started again at another version."""

    def begin(self):
        """Begin a stream; return its attempt and what its holders are told."""
        started = self.harness.send_request("/c/x", "first")
        attempt = next(c for c in started if isinstance(c, cmd.StartAttempt))
        self.harness.commands.clear()
        self.harness.handle(ev.AttemptStarted(attempt.attempt_id))
        told = [
            origin
            for command in self.harness.commands
            if isinstance(command, cmd.SendToPeer)
            for message in command.messages
            if isinstance(message, StreamOrigins)
            for origin in message.origins
        ]
        return attempt, {version for _, _, version in told}

    def age_list(self, age_ms):
        self.harness.state.source_response_ms = self.harness.now_ms - age_ms
        self.harness.tick()

    def continued_at(self, attempt):
        """Return the servers at which a stream goes on after a break."""
        commands = self.harness.handle(
            ev.AttemptFailed(attempt.attempt_id, True, emitted_tokens=2)
        )
        return [c.server for c in commands if isinstance(c, cmd.StartAttempt)]

    def test_stream_does_not_go_on_while_the_list_is_out_of_date(self):
        self.publish("v1", "v1")
        attempt, told = self.begin()
        self.assertEqual(told, {"v1"})
        self.age_list(3001)
        self.assertEqual(self.continued_at(attempt), [])

    def test_stream_that_begins_while_the_list_is_out_of_date_has_no_version(self):
        self.publish("v1", "v1")
        self.age_list(3001)
        attempt, told = self.begin()
        self.assertEqual(told, {UNKNOWN_VERSION})
        self.age_list(0)
        self.harness.tick(3000)
        self.assertEqual(self.continued_at(attempt), [])

    def test_stream_goes_on_when_the_list_is_up_to_date_again(self):
        self.publish("v1", "v1")
        attempt, _ = self.begin()
        self.age_list(3001)
        self.age_list(0)
        self.harness.tick(1500)
        self.age_list(0)
        self.harness.tick(1500)
        self.assertEqual(len(self.continued_at(attempt)), 1)


class TestQueueBehindAResumedStream(StreamOriginCase):
    def test_request_that_waits_for_one_version_does_not_hold_up_others(self):
        self.deliver("vm-2", StreamOrigins(((KEY, "llm", "v2"),)))
        for i in range(20):
            self.harness.send_request("/c/x", f"n{i}")
        row = self.harness.state.replicas.rows["llm-1"]
        busy = next(
            command
            for command in self.harness.commands
            if isinstance(command, cmd.StartAttempt) and command.server == "llm-1"
        )
        self.assertLess(row.free_slots(self.harness.state.queue_slack), 1.0)
        self.harness.commands.clear()
        self.resume()
        self.harness.send_request("/c/x", "behind")
        self.assertEqual(self.started(), [])
        self.harness.handle(ev.AttemptStarted(busy.attempt_id))
        self.harness.handle(ev.AttemptFinished(busy.attempt_id))
        self.assertEqual(self.started(), ["llm-1"])


if __name__ == "__main__":
    unittest.main()
