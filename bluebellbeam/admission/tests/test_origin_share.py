import unittest

from bluebellbeam.admission import (
    make_fair_queue,
    next_requests,
    pop_request,
    push_request,
    remove_request,
)
from bluebellbeam.node import Request

DEADLINE_MS = 1000


def make_request(name, origin="", arrival_ms=0):
    request = Request(name, "a", cost=10.0, origin=origin)
    request.deadline_ms = arrival_ms + DEADLINE_MS
    return request


class OverloadedQueue:
    """A queue with requests at fixed times, of which only some start in time."""

    def __init__(self, own_ms, forwarded_ms, period_ms, start_ms):
        self.queue = make_fair_queue()
        self.arrivals = {"": own_ms, "e2": forwarded_ms}
        self.period_ms = period_ms
        self.start_ms = start_ms
        self.waiting = []

    def run(self, duration_ms):
        """Return the share of the requests that start, of own ones and others."""
        counts = {"": [0, 0], "e2": [0, 0]}
        for now_ms in range(0, duration_ms, 10):
            for origin, times_ms in self.arrivals.items():
                if now_ms % self.period_ms in times_ms:
                    request = make_request(f"{origin}{now_ms}", origin, now_ms)
                    push_request(self.queue, request, 1.0)
                    self.waiting.append(request)
                    counts[origin][0] += 1
            for request in [r for r in self.waiting if r.deadline_ms <= now_ms]:
                remove_request(self.queue, request)
                self.waiting.remove(request)
            if now_ms % self.start_ms == 0 and self.waiting:
                request = next(next_requests(self.queue, now_ms))
                pop_request(self.queue, request)
                self.waiting.remove(request)
                counts[request.origin][1] += 1
        return [started / arrived for arrived, started in counts.values()]


class TestOriginShare(unittest.TestCase):
    def check_shares(self, own_ms, forwarded_ms):
        shares = OverloadedQueue(own_ms, forwarded_ms, 300, 200).run(60_000)
        self.assertAlmostEqual(shares[0], shares[1], delta=0.05)

    def test_forwarded_requests_that_always_follow_own_ones_get_their_share(self):
        self.check_shares((0, 70), (100,))

    def test_own_requests_that_always_follow_forwarded_ones_get_their_share(self):
        self.check_shares((100, 130), (0,))

    def test_many_forwarded_requests_get_no_more_than_their_share(self):
        self.check_shares((40,), (0, 20, 60))

    def test_order_is_that_of_arrival_with_requests_of_one_origin(self):
        for origin in ("", "e2"):
            queue = make_fair_queue()
            for number in range(5):
                push_request(queue, make_request(f"r{number}", origin), 1.0)
            found = []
            for _ in range(5):
                request = next(next_requests(queue, 0))
                pop_request(queue, request)
                found.append(request.request_id)
            self.assertEqual(found, [f"r{number}" for number in range(5)])

    def test_request_that_returns_for_another_attempt_counts_once(self):
        queue = make_fair_queue()
        first, other = make_request("a"), make_request("f", "e2")
        for request in (first, other):
            push_request(queue, request, 1.0)
        share = queue.flows["interactive"]["a"].share
        for _ in range(3):
            pop_request(queue, first)
            push_request(queue, first, 1.0, front=True)
        self.assertEqual((share.arrived, share.started), ([1.0, 1.0], [0.0, 0.0]))
        self.assertEqual(share.waiting, [1, 1])


if __name__ == "__main__":
    unittest.main()
