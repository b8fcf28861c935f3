import random
import unittest

from bluebellbeam.node.tests.crashing_region import CrashingRegion
from bluebellbeam.node.tests.harness import server
from bluebellbeam.node.tests.limited_region import LimitedServer

SEEDS = range(1, 6)
SERVICES = {"/p/x": "portal", "/o/x": "portal", "/c/x": "llm"}
"""Service of each path: a plain one, one that may not be repeated, and streams."""
ENDS = 3
MAX_LATE_ARRIVALS = 3


class RepeatedRequestRegion(CrashingRegion):
    """A region whose servers end under one request that comes again and again.

    Some of the harmless requests are the same for all callers.
    """

    def __init__(self, path, count, seed, **values):
        self.path = path
        super().__init__(count, seed=seed, **values)
        self.bad_parts = {"r:bad"}

    def make_server(self, name):
        record = server(name, SERVICES[self.path], slots=64)
        return LimitedServer(record)

    def send_request(self):
        delay_ms = max(1, round(1000 * self.rng.expovariate(self.rate_per_s)))
        self.schedule(delay_ms, self.send_request)
        name = "r:health" if self.rng.random() < 0.3 else f"r:{self.requests}"
        self.send("s", self.path, content_names=(name,))

    def send_bad(self):
        rate = self.bad_rate_per_s or 1.0
        self.schedule(max(1, round(1000 * self.rng.expovariate(rate))), self.send_bad)
        if self.bad_rate_per_s:
            self.send("b", self.path, content_names=("r:bad",))


def play(path, seed):
    """Play a region with a bad request, restarts of daemons and other ends."""
    rng = random.Random(seed)
    region = RepeatedRequestRegion(path, rng.randrange(2, 10), seed)
    region.run(3000)
    region.bad_rate_per_s = rng.uniform(0.5, 4.0)
    for step in range(8):
        region.run(rng.randrange(1000, 6000))
        if rng.random() < 0.5 and len(region.daemons) > 1:
            region.restart(rng.choice(sorted(region.daemons)), incarnation=2 + step)
        if rng.random() < 0.3 and len(region.up) > 3:
            region.end_server(rng.choice(sorted(region.up)))
    region.run(5000)
    return region


class TestRegionWithACrashingRequest(unittest.TestCase):
    def test_repeated_request_that_ended_three_servers_reaches_no_further_one(self):
        for path in SERVICES:
            for seed in SEEDS:
                with self.subTest(path=path, seed=seed):
                    region = play(path, seed)
                    self.assertGreater(len(region.bad_arrivals), 2)
                    late = region.late_arrivals(ENDS)
                    self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, late)

    def test_no_harmless_request_is_refused(self):
        for path in SERVICES:
            for seed in SEEDS:
                with self.subTest(path=path, seed=seed):
                    self.assertEqual(play(path, seed).harmless_refused, 0)


if __name__ == "__main__":
    unittest.main()
