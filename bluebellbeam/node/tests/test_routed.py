import unittest

from bluebellbeam.config import split_documents
from bluebellbeam.node import Request
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.message import Envelope, Ping, ServerLoads
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    make_base,
    server,
    started_attempts,
)


class TestArrival(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"), server("s2"))

    def test_listed_server_is_used_without_health_check(self):
        attempts = started_attempts(self.harness.send_request())
        self.assertEqual(len(attempts), 1)
        self.assertIn(attempts[0].server, ("s1", "s2"))
        checks = [c for c in self.harness.commands if isinstance(c, cmd.ReadLoad)]
        self.assertEqual(checks, [])

    def test_route_of_another_workspace_is_not_permitted(self):
        request = Request("w", "others", host="a.example", path="/p/x", attempt_key="w")
        commands = self.harness.handle(ev.RequestArrived(request))
        self.assertEqual(final_errors(commands)[0].code, "not_permitted")

    def test_path_without_a_route_is_not_found(self):
        self.assertEqual(
            final_errors(self.harness.send_request("/none/"))[0].code, "not_found"
        )

    def test_response_deadline_is_route_timeout_or_caller_limit(self):
        first = started_attempts(
            self.harness.send_request(response_deadline_ms=self.harness.now_ms + 900)
        )[0]
        self.assertEqual(first.request.response_deadline_ms, self.harness.now_ms + 900)
        second = started_attempts(self.harness.send_request(request_id="r2"))[0]
        self.assertEqual(
            second.request.response_deadline_ms, self.harness.now_ms + 3000
        )
        self.harness.commands.clear()
        self.harness.tick(3000)
        codes = [error.code for error in final_errors(self.harness.commands)]
        self.assertEqual(codes, ["upstream_timeout"] * 2)
        outcomes = {error.outcome for error in final_errors(self.harness.commands)}
        self.assertEqual(outcomes, {"unknown"})

    def test_route_timeout_ends_started_stream(self):
        harness = Harness()
        harness.publish_servers(server("e1", "llm"))
        attempt = started_attempts(harness.send_request("/c/x"))[0]
        harness.handle(ev.AttemptStarted(attempt.attempt_id))
        harness.commands.clear()
        harness.tick(15_000)
        error = final_errors(harness.commands)[0]
        self.assertEqual((error.code, error.outcome), ("upstream_timeout", "unknown"))

    def test_request_without_any_server_is_refused_at_once(self):
        harness = Harness()
        error = final_errors(harness.send_request())[0]
        self.assertEqual((error.code, error.outcome), ("no_backend", "not_run"))
        self.assertGreater(error.retry_after_ms, 0)

    def test_queued_request_fails_at_objective_before_its_timeout(self):
        harness = Harness()
        harness.publish_servers(server("s1", slots=1))
        quick = started_attempts(harness.send_request())[0]
        harness.now_ms += 40
        harness.handle(ev.AttemptFinished(quick.attempt_id))
        harness.send_request(request_id="r2")
        self.assertEqual(started_attempts(harness.send_request(request_id="r3")), [])
        harness.commands.clear()
        harness.tick(350)
        self.assertEqual(final_errors(harness.commands), [])
        harness.tick(100)
        error = final_errors(harness.commands)[0]
        self.assertEqual((error.code, error.outcome), ("deadline_passed", "not_run"))

    def test_request_not_expected_to_start_within_its_objective_is_refused_at_once(
        self,
    ):
        harness = Harness()
        harness.publish_servers(server("s1", slots=1))
        self.assertEqual(len(started_attempts(harness.send_request())), 1)
        error = final_errors(harness.send_request(request_id="r2"))[0]
        self.assertEqual(error.code, "deadline_unreachable")


class TestRetries(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"), server("s2"), server("s3"))

    def test_idempotent_request_is_retried_once_at_another_server(self):
        first = started_attempts(self.harness.send_request())[0]
        second = started_attempts(self.harness.fail_attempt(first.attempt_id))[0]
        self.assertNotEqual(first.server, second.server)
        last = self.harness.fail_attempt(second.attempt_id)
        self.assertEqual(started_attempts(last), [])
        self.assertEqual(final_errors(last)[0].outcome, "unknown")

    def test_non_idempotent_request_is_not_retried_once_sent(self):
        first = started_attempts(self.harness.send_request("/o/x"))[0]
        commands = self.harness.fail_attempt(first.attempt_id)
        self.assertEqual(started_attempts(commands), [])
        error = final_errors(commands)[0]
        self.assertEqual((error.status, error.outcome), (502, "unknown"))

    def test_unreachable_server_does_not_count_as_send(self):
        first = started_attempts(self.harness.send_request("/o/x"))[0]
        second = started_attempts(
            self.harness.fail_attempt(first.attempt_id, sent=False, lost=True)
        )
        self.assertEqual(len(second), 1)

    def test_not_run_response_counts_as_send_and_keeps_outcome(self):
        refused = make_error("upstream_failed", outcome="not_run")
        attempt = started_attempts(self.harness.send_request("/o/x"))[0]
        commands = self.harness.handle(ev.AttemptRefused(attempt.attempt_id, refused))
        attempt = started_attempts(commands)[0]
        commands = self.harness.handle(ev.AttemptRefused(attempt.attempt_id, refused))
        self.assertEqual(started_attempts(commands), [])
        self.assertEqual(final_errors(commands)[0].outcome, "not_run")

    def test_retries_of_service_stay_within_budget(self):
        retries = 0
        for i in range(200):
            attempt = started_attempts(self.harness.send_request(request_id=f"q{i}"))[0]
            retried = started_attempts(self.harness.fail_attempt(attempt.attempt_id))
            retries += len(retried)
            for item in retried:
                self.harness.fail_attempt(item.attempt_id)
            self.harness.tick()
        slack = 0.7 * 56.0
        self.assertLessEqual(retries, 0.1 * 200 + slack)
        self.assertGreater(retries, 20)

    def test_broken_stream_resumes_at_another_server(self):
        harness = Harness()
        harness.publish_servers(server("e1", "llm"), server("e2", "llm"))
        first = started_attempts(harness.send_request("/c/x"))[0]
        harness.handle(ev.AttemptStarted(first.attempt_id))
        failed = ev.AttemptFailed(first.attempt_id, True, 3, "truncated")
        second = started_attempts(harness.handle(failed))[0]
        self.assertNotEqual(second.server, first.server)


class TestRegions(unittest.TestCase):
    def test_request_restricted_to_another_region_is_forwarded(self):
        harness = Harness(region="west")
        harness.announce_peer("vm-e", region="east")
        attempt = started_attempts(harness.send_request("/c/x"))[0]
        self.assertEqual((attempt.peer, attempt.server), ("vm-e", ""))
        self.assertEqual(attempt.request.allowed, frozenset({"east"}))

    def test_sends_of_peer_count_against_max_attempts(self):
        for peer_sends, retries in ((0, 1), (1, 1), (2, 0), (None, 0)):
            harness = Harness()
            harness.announce_peer("vm-w")
            ping = Ping({}, offers={"s/portal": (4.0, 0.0)})
            harness.handle(ev.PeerMessagesReceived(Envelope("vm-w", 5, (ping,))))
            attempt = started_attempts(harness.send_request())[0]
            harness.publish_servers(server("s1"))
            failed = ev.AttemptFailed(attempt.attempt_id, True, sends=peer_sends)
            self.assertEqual(
                len(started_attempts(harness.handle(failed))), retries, peer_sends
            )

    def test_forwarded_request_is_not_forwarded_again(self):
        harness = Harness(region="west")
        harness.announce_peer("vm-e", region="east")
        commands = harness.send_request(
            origin="vm-9",
            allowed=frozenset({"west", "east"}),
            response_deadline_ms=99_999_999,
        )
        self.assertEqual(started_attempts(commands), [])
        self.assertEqual(final_errors(commands)[0].code, "no_backend")

    def test_forwarded_request_for_another_region_is_refused(self):
        harness = Harness(region="west")
        commands = harness.send_request(
            "/c/x",
            origin="vm-9",
            allowed=frozenset({"east"}),
            response_deadline_ms=99_999_999,
        )
        self.assertEqual(final_errors(commands)[0].code, "region_not_permitted")

    def test_request_stays_local_unless_a_peer_offers_free_slots(self):
        harness = Harness()
        harness.announce_peer("vm-w")
        harness.publish_servers(server("s1", slots=1))
        while started_attempts(harness.send_request(request_id=f"f{harness.now_ms}")):
            harness.now_ms += 1
        self.assertFalse(any(item.peer for item in started_attempts(harness.commands)))
        ping = Ping({}, offers={"s/portal": (4.0, 0.0)})
        harness.handle(ev.PeerMessagesReceived(Envelope("vm-w", 5, (ping,))))
        attempts = started_attempts(harness.send_request(request_id="forwarded"))
        self.assertEqual([item.peer for item in attempts], ["vm-w"])


class TestReconfiguration(unittest.TestCase):
    """A new configuration is applied while requests are queued."""

    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("e1", "llm", slots=1))
        quick = started_attempts(self.harness.send_request("/c/x"))[0]
        self.harness.now_ms += 10
        self.harness.handle(ev.AttemptFinished(quick.attempt_id))
        self.harness.send_request("/c/x", "running")
        self.assertEqual(
            started_attempts(self.harness.send_request("/c/x", "queued")), []
        )

    def publish(self, **changes):
        base = make_base()
        base["routes"][2] |= changes
        before = len(self.harness.commands)
        self.harness.publish("config", split_documents(base, {}))
        return self.harness.commands[before:]

    def test_queued_request_of_removed_route_is_not_found(self):
        commands = self.publish(path_prefix="/gone/")
        self.assertEqual([e.code for e in final_errors(commands)], ["not_found"])

    def test_queued_request_is_forwarded_when_home_region_changes(self):
        self.harness.announce_peer("vm-w")
        commands = self.publish(home_regions=["west"])
        self.assertEqual(final_errors(commands), [])
        attempts = started_attempts(commands)
        self.assertEqual([(a.peer, a.server) for a in attempts], [("vm-w", "")])

    def test_regions_of_queued_forwarded_request_are_only_narrowed(self):
        allowed = frozenset({"east"})
        response_deadline_ms = self.harness.now_ms + 9000
        self.harness.send_request(
            "/c/x",
            "forwarded",
            origin="vm-9",
            allowed=allowed,
            response_deadline_ms=response_deadline_ms,
        )
        self.publish(home_regions=[])
        self.assertEqual(self.harness.state.requests["forwarded"].allowed, allowed)

    def test_queued_request_moves_to_new_service_of_route(self):
        self.harness.publish_servers(
            server("e1", "llm", slots=1), server("p1", "portal", slots=4)
        )
        commands = self.publish(services=[{"service": "portal"}])
        self.harness.tick()
        attempts = started_attempts([*commands, *self.harness.commands])
        moved = [a.server for a in attempts if a.request.request_id == "queued"]
        self.assertIn("p1", moved)


class TestRegionWithoutServer(unittest.TestCase):
    """A request that no region can run is refused at once.

    Load: the only region that may run a route has lost all servers of its service,
    and each of its daemons would answer that it has none.
    """

    def make_harness(self, **values):
        harness = Harness(region="west", vm="vm-w", **values)
        harness.announce_peer("vm-e1", region="east", others=("vm-e2", "vm-e3"))
        return harness

    def refuse(self, harness, attempt, code="no_backend"):
        error = make_error(code, retry_after_ms=2000)
        return harness.handle(ev.AttemptRefused(attempt.attempt_id, error, None, 0))

    def test_other_daemons_of_the_region_are_not_asked(self):
        harness = self.make_harness()
        attempt = started_attempts(harness.send_request("/c/x"))[0]
        commands = self.refuse(harness, attempt)
        self.assertEqual(started_attempts(commands), [])
        (error,) = final_errors(commands)
        self.assertEqual((error.code, error.outcome), ("no_backend", "not_run"))
        self.assertGreaterEqual(error.retry_after_ms, 500)

    def test_refusal_for_another_reason_leads_to_the_next_daemon(self):
        harness = self.make_harness()
        attempt = started_attempts(harness.send_request("/c/x"))[0]
        commands = self.refuse(harness, attempt, "leaving")
        self.assertEqual(len(started_attempts(commands)), 1)


class TestForwardForSpeed(unittest.TestCase):
    """Late requests are forwarded to a faster region, only for a clear gain.

    For a smaller gain, load would oscillate between regions. Load: one region is
    at its peak while another has free slots.
    """

    def make_harness(self, remote_wait_ms, tokens_ahead):
        chat = {
            "name": "long",
            "host": "a.example",
            "path_prefix": "/l/",
            "services": [{"service": "llm"}],
            "workspace": "all",
            "kind": "stream",
            "timeout_ms": 5000,
            "objective_ms": 800,
        }
        harness = Harness(base=make_base(routes=[chat]))
        harness.announce_peer("vm-w")
        harness.announce_peer("vm-2", region="east")
        harness.publish_servers(server("e1", "llm", slots=64))
        message = ServerLoads({"e1": (1, tokens_ahead)})
        harness.handle(ev.PeerMessagesReceived(Envelope("vm-2", 5, (message,))))
        ping = Ping({}, offers={"s/llm": (20.0, remote_wait_ms)})
        harness.handle(ev.PeerMessagesReceived(Envelope("vm-w", 5, (ping,))))
        return harness

    def target(self, harness, path="/l/x"):
        """Return the server or peer that a long prompt is sent to."""
        prompt = {"prompt_tokens": 4000, "blocks": (1, 2), "block_ends": (3000, 4000)}
        attempt = started_attempts(harness.send_request(path, **prompt))[0]
        return attempt.peer or attempt.server

    def test_late_request_is_forwarded_for_clear_gain(self):
        self.assertEqual(self.target(self.make_harness(0.0, 30_000)), "vm-w")

    def test_request_on_time_stays_local(self):
        self.assertEqual(self.target(self.make_harness(0.0, 8_000)), "e1")

    def test_late_request_is_not_forwarded_to_equally_busy_region(self):
        self.assertEqual(self.target(self.make_harness(500.0, 30_000)), "e1")

    def test_request_restricted_to_home_region_stays_local_when_late(self):
        self.assertEqual(self.target(self.make_harness(0.0, 15_000), "/c/x"), "e1")
