import random
import unittest

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.message import (
    EndOfServer,
    Envelope,
    PromptEvidence,
    QuarantinedPart,
)
from bluebellbeam.node.tests.crashing_region import CrashingRegion
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    server,
    started_attempts,
)

SEEDS = range(1, 9)
MAX_LATE_ARRIVALS = 3


class QuarantineCase(unittest.TestCase):
    """One daemon with eight servers, some of which end."""

    def setUp(self):
        self.harness = Harness()
        self.names = [f"s{number}" for number in range(1, 9)]
        self.publish()

    def publish(self):
        self.harness.publish_servers(*(server(name) for name in self.names))

    def send(self, key, parts):
        commands = self.harness.send_request("/o/x", key, prompt_parts=parts)
        attempts = started_attempts(commands)
        return attempts[0] if attempts else None

    def answer(self, key, parts):
        attempt = self.send(key, parts)
        self.harness.now_ms += 10
        self.harness.handle(ev.AttemptFinished(attempt.attempt_id))

    def end_server(self, attempt):
        """End the server of an attempt, and remove it from the list."""
        self.harness.fail_attempt(attempt.attempt_id, lost=True)
        self.names.remove(attempt.server)
        self.publish()
        self.harness.tick(700)

    def end_servers(self, count, parts=("first", "bad")):
        for number in range(count):
            self.answer(f"ok{number}", ("first",))
            self.end_server(self.send(f"bad{number}", parts))

    def error(self, key, parts):
        commands = self.harness.send_request("/o/x", key, prompt_parts=parts)
        return final_errors(commands)[0]

    def quarantined(self):
        return list(self.harness.state.quarantines.rows)


class TestEndsOfServers(QuarantineCase):
    def test_part_under_which_three_servers_ended_is_refused_as_not_run(self):
        self.end_servers(3)
        error = self.error("next", ("first", "other", "bad"))
        self.assertEqual((error.code, error.status), ("prompt_quarantined", 503))
        self.assertEqual(error.outcome, "not_run")
        self.assertGreater(error.retry_after_ms, 30_000)
        self.assertIsNotNone(self.send("harmless", ("first", "other")))

    def test_two_ends_are_taken_for_coincidence(self):
        self.end_servers(2)
        self.assertEqual(self.quarantined(), [])
        self.assertIsNotNone(self.send("next", ("first", "bad")))

    def test_part_that_is_served_in_between_is_harmless(self):
        for _ in range(3):
            self.end_servers(2)
            self.answer("served", ("first", "bad"))
        self.assertEqual(self.quarantined(), [])

    def test_first_part_is_harmless_though_no_prompt_is_served_in_between(self):
        self.answer("before", ("first", "other"))
        for number in range(3):
            self.end_server(self.send(f"bad{number}", ("first", "bad")))
        self.assertEqual(self.quarantined(), ["bad"])

    def test_servers_that_end_together_count_once(self):
        attempts = [self.send(f"bad{number}", ("a", "b")) for number in range(4)]
        servers = {attempt.server for attempt in attempts}
        self.assertEqual(len(servers), 4)
        for attempt in attempts:
            self.harness.fail_attempt(attempt.attempt_id, lost=True)
            self.names.remove(attempt.server)
        self.publish()
        self.harness.tick(1000)
        self.assertEqual(self.quarantined(), [])

    def test_lost_connection_to_a_server_that_runs_counts_as_no_end(self):
        for number in range(4):
            attempt = self.send(f"bad{number}", ("a", "b"))
            self.harness.fail_attempt(attempt.attempt_id, lost=True)
            self.harness.tick(400)
            name = attempt.server
            self.harness.handle(ev.HealthCheckAnswered(name, name, 1))
            self.harness.tick(100)
        self.assertEqual(self.harness.state.evidence.losses, {})
        self.assertEqual(self.quarantined(), [])

    def test_refused_connections_prove_nothing_while_no_server_is_reached(self):
        for number in range(4):
            attempt = self.send(f"bad{number}", ("a", "b"))
            self.harness.fail_attempt(attempt.attempt_id, lost=True)
            self.harness.tick(400)
            event = ev.LoadReadFailed(attempt.server, 1, refused_connection=True)
            self.harness.handle(event)
        self.assertEqual(self.quarantined(), [])

    def test_refused_connection_to_one_server_proves_its_end(self):
        for number in range(3):
            attempt = self.send(f"bad{number}", ("a", "b"))
            self.harness.fail_attempt(attempt.attempt_id, lost=True)
            self.answer(f"ok{number}", ("a",))
            event = ev.LoadReadFailed(attempt.server, 1, refused_connection=True)
            self.harness.handle(event)
            self.harness.tick(700)
        self.assertEqual(self.quarantined(), ["b"])

    def test_prompt_whose_stream_ran_for_a_while_counts_as_served(self):
        for number in range(4):
            attempt = self.send(f"bad{number}", ("a", "b"))
            self.harness.handle(ev.AttemptStarted(attempt.attempt_id))
            self.harness.tick(600)
            self.end_server(attempt)
        self.assertEqual(self.quarantined(), [])

    def test_unframed_response_that_ends_at_once_does_not_count_as_served(self):
        for number in range(3):
            self.answer(f"ok{number}", ("a",))
            self.end_server(self.send(f"bad{number}", ("a", "b")))
            attempt = self.send(f"cut{number}", ("a", "b"))
            if attempt is not None:
                event = ev.AttemptFinished(attempt.attempt_id, delimited=False)
                self.harness.handle(event)
        self.assertEqual(self.quarantined(), ["b"])

    def test_prompts_that_wait_for_their_first_event_are_failed_at_once(self):
        self.end_servers(2)
        waiting = self.send("waiting", ("first", "bad"))
        running = self.send("running", ("first",))
        self.end_servers(1)
        self.assertNotIn(waiting.attempt_id, self.harness.state.attempts)
        self.assertIn(running.attempt_id, self.harness.state.attempts)


class TestTrial(QuarantineCase):
    def setUp(self):
        super().setUp()
        self.end_servers(3)
        self.assertEqual(self.quarantined(), ["bad"])

    def test_one_prompt_is_tried_after_a_minute_and_frees_the_part(self):
        self.harness.tick(60_000)
        trial = self.send("trial", ("first", "bad"))
        self.assertEqual(self.error("next", ("bad",)).code, "prompt_quarantined")
        self.harness.now_ms += 50
        self.harness.handle(ev.AttemptFinished(trial.attempt_id))
        self.harness.tick()
        self.assertIsNotNone(self.send("after", ("first", "bad")))
        self.assertEqual(self.quarantined(), [])

    def test_failed_trial_doubles_the_time_to_the_next_one(self):
        self.harness.tick(60_000)
        self.end_server(self.send("trial", ("first", "bad")))
        error = self.error("next", ("bad",))
        self.assertGreater(error.retry_after_ms, 110_000)
        self.harness.tick(60_000)
        self.assertEqual(self.error("next", ("bad",)).code, "prompt_quarantined")
        self.harness.tick(60_000)
        self.assertIsNotNone(self.send("second", ("first", "bad")))

    def test_trial_without_a_result_is_followed_by_another(self):
        self.harness.tick(60_000)
        trial = self.send("trial", ("first", "bad"))
        self.harness.handle(ev.CallerDisconnected(trial.request.request_id))
        self.assertIsNone(self.send("next", ("first", "bad")))
        self.harness.tick(10_000)
        self.assertIsNotNone(self.send("second", ("first", "bad")))

    def test_forwarded_trial_is_accepted(self):
        self.harness.tick(60_000)
        self.harness.announce_peer("w1")
        values = {"origin": "w1", "allowed": frozenset({"east"}), "revision": 1}
        parts = {"prompt_parts": ("first", "bad")}
        refused = self.harness.send_request("/o/x", "f1", **values, **parts)
        self.assertEqual(final_errors(refused)[0].code, "prompt_quarantined")
        tried = self.harness.send_request(
            "/o/x", "f2", **values, **parts, trial_part="bad"
        )
        self.assertEqual(len(started_attempts(tried)), 1)


class TestSharedEvidence(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"))
        self.harness.announce_peer("w1")

    def receive(self, message, sender="w1"):
        envelope = Envelope(sender, 5, (message,))
        return self.harness.handle(ev.PeerMessagesReceived(envelope))

    def ends(self, *ages_ms):
        return tuple(
            EndOfServer(f"e{age}", 1, age, {"first": 0, "bad": 1}) for age in ages_ms
        )

    def test_ends_seen_by_several_daemons_add_up(self):
        for age_ms in (3000, 2000):
            self.receive(PromptEvidence(self.ends(age_ms), {"first": 10}))
        self.assertEqual(self.harness.state.quarantines.rows, {})
        self.receive(PromptEvidence(self.ends(1000)))
        self.assertEqual(list(self.harness.state.quarantines.rows), ["bad"])

    def test_same_end_reported_by_many_daemons_counts_once(self):
        for age_ms in (1000, 1020, 1900, 4000):
            end = EndOfServer("s9", 1, age_ms, {"bad": 0})
            self.receive(PromptEvidence((end,)))
        self.assertEqual(self.harness.state.quarantines.rows, {})

    def test_part_that_another_daemon_served_is_harmless(self):
        self.receive(PromptEvidence(self.ends(3000, 2000)))
        self.receive(PromptEvidence((), {"bad": 500, "first": 500}))
        self.receive(PromptEvidence(self.ends(400)))
        self.assertEqual(self.harness.state.quarantines.rows, {})

    def test_starting_daemon_learns_of_a_quarantine_from_a_probe(self):
        item = QuarantinedPart("bad", 20_000, 3, 1, 90_000)
        self.receive(PromptEvidence((), {}, (item,)))
        commands = self.harness.send_request(prompt_parts=("bad",))
        self.assertEqual(final_errors(commands)[0].retry_after_ms, 90_000)

    def test_quarantine_that_has_ended_is_not_adopted_again(self):
        item = QuarantinedPart("bad", 20_000, 3, 0, 40_000)
        self.receive(PromptEvidence((), {}, (item,)))
        self.receive(PromptEvidence((), {"bad": 100}))
        self.harness.tick()
        self.assertEqual(self.harness.state.quarantines.rows, {})
        self.receive(PromptEvidence((), {}, (item,)))
        self.assertEqual(self.harness.state.quarantines.rows, {})

    def test_evidence_is_relayed_once(self):
        for expected in (1, 0, 0):
            self.harness.commands.clear()
            self.receive(PromptEvidence(self.ends(1000)))
            self.harness.tick(100)
            sent = [
                command.messages
                for command in self.harness.commands
                if isinstance(command, cmd.SendToPeer)
            ]
            alone = [
                messages
                for messages in sent
                if len(messages) == 1 and isinstance(messages[0], PromptEvidence)
            ]
            self.assertEqual(len(alone), expected)


class TestRegionWithCrashingPrompts(unittest.TestCase):
    def play(self, seed):
        """Play a region with bad prompts, restarts of daemons and other ends."""
        rng = random.Random(seed)
        region = CrashingRegion(rng.randrange(2, 10), seed=seed)
        region.run(3000)
        region.bad_rate_per_s = rng.uniform(0.5, 4.0)
        for step in range(8):
            region.run(rng.randrange(1000, 6000))
            if rng.random() < 0.5 and len(region.daemons) > 1:
                vm = rng.choice(sorted(region.daemons))
                region.restart(vm, incarnation=2 + step)
            if rng.random() < 0.3 and len(region.up) > 3:
                region.end_server(rng.choice(sorted(region.up)))
        region.run(5000)
        return region

    def test_known_part_reaches_no_further_server(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                region = self.play(seed)
                self.assertGreater(len(region.bad_arrivals), 2)
                late = region.late_arrivals()
                self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, late)

    def test_no_harmless_prompt_is_refused(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(self.play(seed).harmless_refused, 0)


if __name__ == "__main__":
    unittest.main()
