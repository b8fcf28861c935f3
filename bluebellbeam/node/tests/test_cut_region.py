import os
import unittest

from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.tests.cut_region import run_cut
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    server,
    started_attempts,
)
from bluebellbeam.node.tests.test_lost_servers import lose_servers

FIRST, LAST = os.environ.get("BLUEBELLBEAM_CUT_SEEDS", "1-3").split("-")
SEEDS = range(int(FIRST), int(LAST) + 1)

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


class TestRequestRefusedForWantOfRoom(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.harness.publish_servers(server("s1"))
        lose_servers(self.harness, "s1")

    def refuse(self, commands, code):
        """Refuse the attempt in `commands` at once; return what the node does then."""
        attempt = started_attempts(commands)[0]
        error = make_error(code, retry_after_ms=700)
        event = ev.AttemptRefused(attempt.attempt_id, error, sends=0)
        return self.harness.handle(event)

    def test_its_caller_is_answered_at_once_with_a_time_to_come_back(self):
        self.harness.announce_peer("w1", others=("w2",))
        commands = self.refuse(self.harness.send_request(), "deadline_unreachable")
        error = final_errors(commands)[0]
        self.assertEqual(
            (error.code, error.outcome), ("deadline_unreachable", "not_run")
        )
        self.assertGreaterEqual(error.retry_after_ms, 500)

    def test_it_is_tried_at_a_daemon_that_offers_a_slot(self):
        self.harness.announce_peer("w1", others=("w2",))
        commands = self.harness.send_request()
        peer = started_attempts(commands)[0].peer
        other = "w2" if peer == "w1" else "w1"
        self.harness.handle(ev.CapacityOfferReceived(other, "s/portal", 2.0, 0.0))
        commands = self.refuse(commands, "deadline_unreachable")
        self.assertEqual([c.peer for c in started_attempts(commands)], [other])

    def test_it_is_tried_at_a_neighbour_while_servers_have_free_slots(self):
        self.harness.announce_peer("e2", region="east", others=("e3",))
        commands = self.refuse(self.harness.send_request(), "deadline_unreachable")
        self.assertEqual(len(started_attempts(commands)), 1)
        commands = self.refuse(commands, "deadline_unreachable")
        self.assertEqual(final_errors(commands)[0].code, "deadline_unreachable")

    def test_one_refused_for_another_reason_is_tried_elsewhere(self):
        self.harness.announce_peer("w1", others=("w2",))
        commands = self.refuse(self.harness.send_request(), "servers_unreachable")
        self.assertEqual(len(started_attempts(commands)), 1)


if __name__ == "__main__":
    unittest.main()
