import random
import unittest

from bluebellbeam.admission import (
    make_fair_queue,
    next_requests,
    pop_request,
    prune_flows,
    push_request,
    queued_ahead,
    remove_request,
)
from bluebellbeam.admission.aging import GUARANTEED_SHARE
from bluebellbeam.node import Request

URGENT = (0, 0)
RELAXED = (0, 2)


def push(queue, name, workspace="a", urgency=URGENT, latest_start_ms=1000, weight=1.0):
    request = Request(name, workspace)
    request.urgency = urgency
    request.latest_start_ms = latest_start_ms
    push_request(queue, request, weight)
    return request


def serve(queue, count, now_ms=0):
    names = []
    for _ in range(count):
        request = next(next_requests(queue, now_ms))
        pop_request(queue, request)
        names.append(request.request_id)
    return names


class TestOrder(unittest.TestCase):
    """Urgency decides before fair shares, and these before the latest start."""

    def setUp(self):
        self.queue = make_fair_queue()

    def order(self, now_ms=0):
        requests = next_requests(self.queue, now_ms, lambda request: True)
        return [request.request_id for request in requests]

    def use_up_guarantees(self):
        for number in range(2):
            for urgency in (URGENT, RELAXED):
                for workspace in "ab":
                    push(self.queue, f"{number}", workspace, urgency)
        serve(self.queue, 8)

    def test_workspace_urgency_precedes_that_of_the_route(self):
        push(self.queue, "0,2", urgency=(0, 2))
        push(self.queue, "1,0", urgency=(1, 0))
        push(self.queue, "0,1", urgency=(0, 1))
        self.assertEqual(self.order(), ["0,1", "0,2", "1,0"])

    def test_requests_of_a_workspace_are_ordered_by_latest_start(self):
        for name, latest_ms in (("b", 200), ("c", 300), ("a", 100)):
            push(self.queue, name, latest_start_ms=latest_ms)
        self.assertEqual(self.order(), ["a", "b", "c"])

    def test_late_urgent_request_follows_a_less_urgent_one_in_time(self):
        push(self.queue, "late", latest_start_ms=50)
        push(self.queue, "urgent", latest_start_ms=500)
        push(self.queue, "relaxed", urgency=RELAXED, latest_start_ms=500)
        self.assertEqual(self.order(now_ms=100), ["urgent", "relaxed", "late"])

    def test_late_requests_are_served_once_nothing_else_waits(self):
        push(self.queue, "late", latest_start_ms=50)
        self.assertEqual(serve(self.queue, 1, now_ms=100), ["late"])

    def test_fair_shares_hold_within_an_urgency(self):
        for number in range(40):
            push(self.queue, f"a{number}", "a", weight=3.0)
            push(self.queue, f"b{number}", "b", weight=1.0)
        names = serve(self.queue, 40)
        self.assertAlmostEqual(sum(name[0] == "a" for name in names), 30, delta=2)

    def test_totals_return_to_zero(self):
        requests = [push(self.queue, f"{number}") for number in range(3)]
        remove_request(self.queue, requests[1])
        serve(self.queue, 2)
        prune_flows(self.queue)
        self.assertEqual((self.queue.size, self.queue.costs["interactive"]), (0, 0.0))

    def test_requests_ahead_are_those_more_urgent_and_the_fair_share(self):
        for number in range(10):
            push(self.queue, f"u{number}", "a")
            push(self.queue, f"r{number}", "a", RELAXED)
        new = Request("new", "b")
        new.urgency = RELAXED
        more_urgent, same, share = queued_ahead(self.queue, new)
        self.assertEqual((more_urgent, same), (10, 1.0))
        self.assertEqual(share, GUARANTEED_SHARE / 2)


class TestAging(unittest.TestCase):
    """A class or workspace that waits gets at least a quarter of the mean share."""

    def test_share_of_each_class_for_random_arrivals(self):
        for seed in range(20):
            rng = random.Random(seed)
            queue = make_fair_queue()
            classes = [(0, number) for number in range(rng.randint(2, 5))]
            served = dict.fromkeys(classes, 0)
            for number in range(2000):
                for urgency in classes:
                    if not any(
                        flow.requests and flow.urgency == urgency
                        for flow in queue.flows["interactive"].values()
                    ):
                        push(queue, f"{urgency}{number}", "a", urgency)
                request = next(next_requests(queue, 0))
                pop_request(queue, request)
                served[request.urgency] += 1
            with self.subTest(seed=seed):
                least = 0.25 * 2000 / len(classes) - 2
                self.assertGreaterEqual(min(served.values()), least)
                self.assertGreaterEqual(served[classes[0]], 2000 * 0.7)

    def test_class_served_often_before_is_not_delayed_for_long(self):
        queue = make_fair_queue()
        for number in range(500):
            push(queue, f"r{number}", "a", RELAXED)
        serve(queue, 400)
        for number in range(100):
            push(queue, f"u{number}", "a", URGENT)
        names = serve(queue, 40)
        self.assertGreaterEqual(sum(name[0] == "r" for name in names), 2)
        self.assertGreaterEqual(sum(name[0] == "u" for name in names), 25)


if __name__ == "__main__":
    unittest.main()
