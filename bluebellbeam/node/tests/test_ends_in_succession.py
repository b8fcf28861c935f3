import os
import unittest

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.message import EndOfServer, Envelope, PromptEvidence
from bluebellbeam.node.tests.crashing_region import CrashingRegion
from bluebellbeam.node.tests.harness import Harness, final_errors, started_attempts
from bluebellbeam.node.tests.harness import server as make_server
from bluebellbeam.node.tests.limited_region import LimitedServer

FIRST_SEED, LAST_SEED = map(
    int, os.environ.get("BLUEBELLBEAM_BURST_SEEDS", "1-6").split("-")
)
SEEDS = range(FIRST_SEED, LAST_SEED + 1)
"""Seeds of the regions; others by hand."""

MAX_LATE_ARRIVALS = 3
ROUND_MS = 6000
ROUNDS = 4
BAD = "r:bad"


class TestRetriesOfOneDaemon(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.names = [f"s{number}" for number in range(1, 7)]
        self.publish()

    def publish(self):
        self.harness.publish_servers(*(make_server(name) for name in self.names))

    def send(self, key, name=BAD, path="/p/x", **values):
        commands = self.harness.send_request(path, key, content_names=(name,), **values)
        return started_attempts(commands), final_errors(commands)

    def lose(self, attempt):
        self.names.remove(attempt.server)
        return self.harness.fail_attempt(attempt.attempt_id, lost=True)

    def test_retries_that_end_servers_at_once_count_one_by_one(self):
        for key in ("first", "repeat"):
            (attempt,), _ = self.send(key)
            (retry,) = started_attempts(self.lose(attempt))
            self.assertEqual(final_errors(self.lose(retry))[0].code, "upstream_failed")
        self.publish()
        self.harness.tick(700)
        _, (error,) = self.send("next")
        self.assertEqual(error.code, "request_quarantined")
        self.assertEqual(error.outcome, "not_run")

    def test_attempts_side_by_side_at_servers_that_end_together_count_once(self):
        started = [self.send(f"side{number}", path="/o/x")[0] for number in range(3)]
        self.assertEqual(len({attempt.server for (attempt,) in started}), 3)
        for (attempt,) in started:
            self.lose(attempt)
        self.publish()
        self.harness.tick(700)
        self.assertEqual(len(self.send("next")[0]), 1)

    def test_peers_learn_which_ends_followed_each_other(self):
        self.harness.announce_peer("w1")
        (attempt,), _ = self.send("first")
        (retry,) = started_attempts(self.lose(attempt))
        self.lose(retry)
        self.publish()
        self.harness.commands.clear()
        self.harness.tick(500)
        told = [
            message
            for command in self.harness.commands
            if isinstance(command, cmd.SendToPeer)
            for message in command.messages
            if isinstance(message, PromptEvidence)
        ]
        ends = {end.server: end.retried for message in told for end in message.ends}
        self.assertEqual(ends, {attempt.server: (), retry.server: (BAD,)})

    def test_ends_that_a_peer_reports_as_successive_count_one_by_one(self):
        self.harness.announce_peer("w1")
        retried = ((), (BAD,), (BAD,))
        ends = tuple(
            EndOfServer(f"e{number}", 1, 1000 - number, {BAD: -1}, names)
            for number, names in enumerate(retried)
        )
        envelope = Envelope("w1", 5, (PromptEvidence(ends),))
        self.harness.handle(ev.PeerMessagesReceived(envelope))
        self.assertEqual(self.send("next")[1][0].code, "request_quarantined")

    def test_forwarded_request_brings_the_names_under_which_servers_were_lost(self):
        values = {"origin": "w1", "allowed": frozenset({"east"}), "revision": 1}
        self.harness.announce_peer("w1")
        started, _ = self.send("f1", **values, retried_names=(BAD,))
        self.lose(started[0])
        self.publish()
        (end,) = self.harness.state.evidence.ends.values()
        self.assertEqual(end.retried, {BAD})

    def test_request_whose_forward_lost_its_server_counts_as_retried(self):
        self.names = ["s1"]
        self.publish()
        self.harness.announce_peer("w1")
        (attempt,), _ = self.send("first")
        attempt.request.retried_names = frozenset()
        forward = self.harness.state.attempts[attempt.attempt_id]
        forward.peer, forward.server = "w1", ""
        error = make_error("upstream_failed", outcome="unknown")
        self.harness.handle(ev.AttemptRefused(attempt.attempt_id, error, sends=1))
        self.assertEqual(attempt.request.retried_names, {BAD})


class BurstRegion(CrashingRegion):
    """A region in which bad requests arrive in bursts, at several daemons at once.

    A caller repeats a request once after it has failed.

    Attributes
    ----------
    alike : bool
        Whether all bad requests are the same one; else they have one part in common.
    """

    def __init__(self, count, servers, alike, seed, rate_per_s=10.0):
        self.alike = alike
        self.repeats = {}
        super().__init__(count, servers, rate_per_s, seed)
        self.bad_parts = {BAD, "bad"}

    def make_server(self, name):
        return LimitedServer(make_server(name, "portal", slots=64))

    def send_request(self):
        delay_ms = max(1, round(1000 * self.rng.expovariate(self.rate_per_s)))
        self.schedule(delay_ms, self.send_request)
        name = "r:popular" if self.rng.random() < 0.5 else f"r:{self.requests}"
        self.send("s", content_names=(name,), prompt_parts=self.parts())

    def send_burst(self, size, path):
        """Send a bad request to each of `size` daemons."""
        for vm in self.rng.sample(sorted(self.daemons), size):
            names = (BAD,) if self.alike else (f"r:b{self.requests}",)
            parts = () if self.alike else ("first", f"m{self.requests}", "bad")
            values = {"content_names": names, "prompt_parts": parts}
            self.send_to(vm, path, values, may_repeat=True)

    def send_to(self, vm, path, values, may_repeat):
        self.callers = [vm]
        if may_repeat:
            self.repeats[f"b{self.requests + 1}"] = (path, values)
        self.send("b", path, **values)
        self.callers = self.names

    def execute(self, harness, commands):
        super().execute(harness, commands)
        for command in commands:
            if isinstance(command, cmd.SendErrorResponse):
                repeat = self.repeats.pop(command.request_id, None)
                if repeat is not None:
                    vm = self.rng.choice(sorted(self.daemons))
                    self.schedule(1, lambda v=vm, r=repeat: self.send_to(v, *r, False))


class TestBurstsOfBadRequests(unittest.TestCase):
    def check_bursts(self, size, path, alike, ends):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                region = BurstRegion(6, 8, alike, seed)
                region.run(3000)
                for _ in range(ROUNDS):
                    region.send_burst(size, path)
                    region.run(ROUND_MS)
                self.assertGreaterEqual(len(region.ends_ms), ends)
                late = region.late_arrivals(ends)
                self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, late)
                self.assertEqual(region.harmless_refused, 0)

    def test_one_request_that_ends_servers_through_its_retries(self):
        self.check_bursts(1, "/p/x", alike=True, ends=3)

    def test_one_request_at_three_daemons_at_once(self):
        self.check_bursts(3, "/p/x", alike=True, ends=3)

    def test_one_request_that_may_run_once_at_three_daemons_at_once(self):
        self.check_bursts(3, "/o/x", alike=True, ends=3)

    def test_one_part_at_six_daemons_at_once(self):
        self.check_bursts(6, "/p/x", alike=False, ends=5)

    def test_one_part_in_one_request_at_a_time(self):
        self.check_bursts(1, "/p/x", alike=False, ends=5)


class TestLossOfPower(unittest.TestCase):
    def play(self, seed):
        """Play a region whose servers end together, within 20 ms, four times."""
        region = BurstRegion(6, 6, False, seed, rate_per_s=80.0)
        region.run(3000)
        for _ in range(4):
            for name in sorted(region.up):
                delay_ms = region.rng.randrange(1, 20)
                region.schedule(delay_ms, lambda n=name: region.end_server(n))
            region.run(8000)
        return region

    def test_popular_requests_are_served_after_each_loss_of_all_servers(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                region = self.play(seed)
                self.assertEqual(region.harmless_refused, 0)
                self.assertGreater(region.answered, 800)


if __name__ == "__main__":
    unittest.main()
