import random
import unittest

from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.message import Envelope, ServerLoads
from bluebellbeam.node.tests.brittle_region import LEARN_MS, BrittleRegion
from bluebellbeam.node.tests.harness import Harness, server, started_attempts
from bluebellbeam.provider.records import BrittleStatement

SEEDS = range(1, 9)
BRITTLE_MS = 20_000


def allowed_falls(servers):
    """Return how often the servers of a service may end while they are brittle."""
    return 2 + servers // 10


class TestBrittleServers(unittest.TestCase):
    def play(self, seed):
        """Play a region whose servers become brittle at a load with bursts."""
        rng = random.Random(seed)
        region = BrittleRegion(
            rng.randrange(1, 12),
            servers=rng.randrange(2, 7),
            rate_per_s=rng.uniform(30, 120),
            seed=seed,
        )
        region.run(3000)
        region.become_brittle(rng.choice([1, 2, 3, 5]))
        region.run(LEARN_MS)
        region.falls = 0
        base_per_s = region.rate_per_s
        for _ in range(BRITTLE_MS // 2000):
            region.run(1400)
            region.rate_per_s = 2 * base_per_s
            region.run(600)
            region.rate_per_s = base_per_s
        return region

    def test_daemons_together_make_few_of_them_end(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                region = self.play(seed)
                limit = allowed_falls(len(region.servers))
                self.assertLessEqual(region.falls, limit)

    def test_their_slots_are_used(self):
        region = BrittleRegion(3, rate_per_s=60, seed=5)
        region.run(3000)
        region.become_brittle(3)
        region.run(LEARN_MS)
        answered = region.answered
        region.run(10_000)
        # Four servers with 8 slots answer 64 requests a second at the most.
        self.assertGreater(region.answered - answered, 0.7 * 10 * 60)


class TestStatement(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.harness.announce_peer("e2", region="east")
        self.harness.publish_servers(server("s1", slots=8), server("s2", slots=8))

    def state(self, refusals_per_s, name="s1", sent_ms=None):
        sent_ms = self.harness.now_ms if sent_ms is None else sent_ms
        statement = BrittleStatement(refusals_per_s)
        self.harness.handle(ev.BrittleStated(name, 1, statement, sent_ms))

    def sent(self, count=30):
        """Return how many of `count` requests are sent to servers at once."""
        return sum(
            len(started_attempts(self.harness.send_request(request_id=f"n{number}")))
            for number in range(count)
        )

    def test_it_holds_for_all_servers_of_the_service(self):
        self.state(3)
        self.assertEqual(self.sent(), 8)

    def test_it_ends_with_a_response_without_it(self):
        self.state(3)
        self.harness.tick(100)
        self.state(None, "s2")
        self.assertGreater(self.sent(), 16)

    def test_response_to_an_earlier_request_does_not_end_it(self):
        sent_ms = self.harness.now_ms - 50
        self.state(3)
        self.state(None, "s2", sent_ms)
        self.assertEqual(self.sent(), 8)

    def test_statement_that_cannot_be_read_changes_nothing(self):
        self.state(3)
        self.harness.handle(ev.BrittleStated("s1", 1, None, self.harness.now_ms))
        self.assertEqual(self.sent(), 8)
        self.assertEqual(self.harness.state.counters.malformed_limits, 1)

    def test_other_daemons_of_the_region_learn_of_it(self):
        loads = ServerLoads({}, brittle={"portal": (3.0, 100)})
        envelope = Envelope("e2", 5, (loads,))
        self.harness.handle(ev.PeerMessagesReceived(envelope))
        self.assertEqual(self.sent(), 8)

    def test_server_that_refuses_is_sent_nothing_for_a_second(self):
        self.state(3)
        attempt = started_attempts(self.harness.send_request())[0]
        error = make_error("upstream_failed", outcome="not_run")
        event = ev.AttemptRefused(attempt.attempt_id, error)
        again = started_attempts(self.harness.handle(event))[0]
        self.assertNotEqual(again.server, attempt.server)
        servers = {
            found.server
            for number in range(6)
            for found in started_attempts(
                self.harness.send_request(request_id=f"m{number}")
            )
        }
        self.assertEqual(servers, {again.server})


if __name__ == "__main__":
    unittest.main()
