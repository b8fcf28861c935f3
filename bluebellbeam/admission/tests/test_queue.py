import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellbeam.admission import (
    cost_ahead,
    make_fair_queue,
    make_rate_table,
    next_requests,
    pop_request,
    push_request,
    remove_request,
    take_tokens,
)
from bluebellbeam.node import Request

DEADLINE_MS = 10**9


def make_request(name, workspace, cost=10.0, priority="interactive", deadline_ms=None):
    request = Request(name, workspace, cost=cost, priority=priority)
    request.deadline_ms = DEADLINE_MS if deadline_ms is None else deadline_ms
    return request


def serve(queue, count, now_ms=0):
    served = []
    for _ in range(count):
        request = next(next_requests(queue, now_ms))
        pop_request(queue, request)
        served.append(request)
    return served


class TestFairQueue(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.floats(1, 50), min_size=3, max_size=3),
        st.lists(st.integers(20, 200), min_size=3, max_size=3),
    )
    def test_equal_weights_get_equal_service_for_any_costs(self, costs, backlog):
        queue = make_fair_queue()
        for name, cost, count in zip("abc", costs, backlog, strict=True):
            for i in range(count):
                push_request(queue, make_request(f"{name}{i}", name, cost), 1.0)
        served = dict.fromkeys("abc", 0.0)
        while all(queue.flows["interactive"][n].requests for n in "abc"):
            request = serve(queue, 1)[0]
            served[request.workspace] += request.cost
        spread = max(served.values()) - min(served.values())
        self.assertLessEqual(spread, 2 * max(costs))

    def test_service_is_proportional_to_weight(self):
        queue = make_fair_queue()
        for i in range(300):
            push_request(queue, make_request(f"a{i}", "a"), 2.0)
            push_request(queue, make_request(f"b{i}", "b"), 1.0)
        names = [request.workspace for request in serve(queue, 300)]
        self.assertAlmostEqual(names.count("a"), 200, delta=2)

    def test_batch_is_served_after_interactive_until_near_its_deadline(self):
        queue = make_fair_queue()
        batch = make_request("audit", "a", priority="batch", deadline_ms=50_000)
        push_request(queue, batch, 1.0)
        push_request(queue, make_request("chat", "b"), 1.0)
        first = next(next_requests(queue, 0))
        self.assertEqual(first.request_id, "chat")
        late = next(next_requests(queue, 45_000))
        self.assertEqual(late.request_id, "audit")

    def test_batch_near_its_deadline_keeps_the_fair_order(self):
        queue = make_fair_queue()
        for i in range(6):
            name = "ab"[i % 2]
            batch = make_request(f"{name}{i}", name, 10.0, "batch", 9_000 - i)
            push_request(queue, batch, 1.0 if name == "a" else 2.0)
        served = [request.workspace for request in serve(queue, 4)]
        self.assertEqual(served, ["a", "b", "b", "a"])

    def test_guest_requests_are_served_last(self):
        queue = make_fair_queue()
        push_request(queue, make_request("g", "g", priority="guest"), 1.0)
        push_request(queue, make_request("b", "b", priority="batch"), 1.0)
        push_request(queue, make_request("i", "i"), 1.0)
        self.assertEqual([r.request_id for r in serve(queue, 3)], ["i", "b", "g"])

    def test_idle_workspace_gains_no_advantage(self):
        queue = make_fair_queue()
        for i in range(50):
            push_request(queue, make_request(f"a{i}", "a"), 1.0)
        serve(queue, 40)
        for i in range(50):
            push_request(queue, make_request(f"b{i}", "b"), 1.0)
        names = [request.workspace for request in serve(queue, 18)]
        self.assertLessEqual(abs(names.count("a") - names.count("b")), 2)

    def test_size_and_costs_follow_removals(self):
        queue = make_fair_queue()
        requests = [make_request(f"a{i}", "a", cost=5.0) for i in range(4)]
        for request in requests:
            push_request(queue, request, 1.0)
        self.assertTrue(remove_request(queue, requests[2]))
        self.assertFalse(remove_request(queue, requests[2]))
        pop_request(queue, requests[0])
        self.assertEqual((queue.size, queue.costs["interactive"]), (2, 10.0))

    def test_cost_ahead_is_bounded_by_the_fair_share(self):
        queue = make_fair_queue()
        for i in range(100):
            push_request(queue, make_request(f"noisy{i}", "noisy"), 1.0)
        request = make_request("q", "quiet")
        self.assertLessEqual(cost_ahead(queue, request), 20.0)


class TestRate(unittest.TestCase):
    def test_long_run_rate_is_limited(self):
        table = make_rate_table()
        admitted = 0
        for now_ms in range(0, 100_000, 50):
            if take_tokens(table, "a", 100.0, 50, now_ms) == 0:
                admitted += 50
        self.assertAlmostEqual(admitted, 100 * 100 + 400, delta=100)

    def test_request_is_admitted_after_the_returned_wait(self):
        table = make_rate_table()
        self.assertEqual(take_tokens(table, "a", 100.0, 1000, 0), 0)
        wait_ms = take_tokens(table, "a", 100.0, 10, 0)
        self.assertGreater(wait_ms, 0)
        self.assertEqual(take_tokens(table, "a", 100.0, 10, wait_ms), 0)
