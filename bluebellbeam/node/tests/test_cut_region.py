import unittest

from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.tests.cut_region import run_cut
from bluebellbeam.node.tests.harness import Harness, server, started_attempts
from bluebellbeam.node.tests.test_lost_servers import lose_servers

SEEDS = (1, 2, 3)

SHARE_OF_OTHERS = 2 / 3
"""Share of the requests served in a region without servers, relative to that in the
others, which it must not fall short of; and the other way round."""


class TestRegionWithoutServers(unittest.TestCase):
    """Guards against callers that get only what others leave over, or displace them."""

    def check_served(self, **values):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                region = run_cut(seed, **values)
                shares = [region.served_share(name) for name in ("west", "east")]
                self.assertLess(shares[1], 0.9, "not short of room")
                self.assertGreaterEqual(shares[0], SHARE_OF_OTHERS * shares[1])
                self.assertGreaterEqual(shares[1], SHARE_OF_OTHERS * shares[0])

    def test_callers_of_daemons_that_reach_no_server_are_served_like_others(self):
        self.check_served(west_servers="cut")

    def test_callers_at_regular_intervals_are_served_like_others(self):
        self.check_served(west_servers="cut", regular=True)

    def test_callers_of_a_region_without_a_listed_server_are_served_like_others(self):
        self.check_served(west_servers="unlisted", service_ms=1000)

    def test_callers_of_a_region_whose_servers_leave_are_served_like_others(self):
        self.check_served(west_servers="leaving", service_ms=1000)

    def test_callers_of_an_evacuated_region_are_served_like_others(self):
        self.check_served(west_servers="evacuated", service_ms=1000)

    def test_requests_refused_on_arrival_are_not_tried_until_one_lender_has_room(self):
        for west_servers in ("cut", "unlisted", "evacuated"):
            with self.subTest(west_servers=west_servers):
                values = {"west_servers": west_servers, "service_ms": 1000}
                self.check_served(by_urgency=True, **values)


class TestLendersThatAreShort(unittest.TestCase):
    LENDERS = ("w1", "w2", "w3", "w4")

    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"))
        lose_servers(self.harness, "s1")
        self.harness.announce_peer("w1", others=("w2", "w3", "w4"))

    def send(self, key):
        """Send a request; return the attempt by which it is forwarded."""
        return started_attempts(self.harness.send_request(request_id=key))[0]

    def refuse(self, attempt, code="deadline_passed"):
        """Let a lender refuse a request once its time to start has passed."""
        self.harness.now_ms = attempt.request.start_deadline_ms
        error = make_error(code, retry_after_ms=700)
        self.harness.handle(ev.AttemptRefused(attempt.attempt_id, error, sends=0))

    def test_refusals_of_some_do_not_send_all_requests_to_the_others(self):
        first = [self.send(f"a{number}") for number in range(8)]
        spared = first[0].peer
        for attempt in first:
            if attempt.peer != spared:
                self.refuse(attempt)
        later = [self.send(f"b{number}").peer for number in range(8)]
        found = {name: later.count(name) for name in self.LENDERS}
        self.assertEqual(found[spared], 2, found)
        self.assertEqual(sorted(found.values()), [2, 2, 2, 2], found)


if __name__ == "__main__":
    unittest.main()
