import unittest

from bluebellbeam.admission.limit import BURST_S, OUTSIDE_SHARE
from bluebellbeam.examples import read_example
from bluebellbeam.scenario.steps import request_spec
from bluebellbeam.scenario.world import make_world

RATE = 2000.0
SECONDS = 40
TOKENS = (380, 20)


class TestLimitAcrossDaemons(unittest.TestCase):
    """A workspace's rate holds in a region, whichever daemon is asked."""

    def _passed(self, vms):
        base, overlays = read_example("fraserleaf")
        base["workspaces"]["field-notes"]["rate_tokens_per_s"] = RATE
        world = make_world(base, overlays, 1, 100)
        world.check_codec = False
        world.start()
        world.run_until(5000)
        for i in range(SECONDS * 20):
            spec = request_spec(world, "chat", TOKENS)
            vm = vms[i % len(vms)]
            at_ms = 5000 + i * 50
            world.at(
                at_ms,
                lambda i=i, vm=vm, spec=spec: world.send(
                    f"q{i}", "field-notes", vm, **spec
                ),
            )
        world.run_until(5000 + SECONDS * 1000 + 5000)
        tickets = world.tickets.values()
        limited = [t for t in tickets if t.result == "rate_limited"]
        self.assertTrue(limited)
        self.assertTrue(all(t.outcome == "not_run" for t in limited))
        self.assertTrue(all(t.retry_after_ms >= 1000 for t in limited))
        return (len(tickets) - len(limited)) * sum(TOKENS)

    def test_sum_over_two_daemons_keeps_to_the_stated_error(self):
        allowed = RATE * (SECONDS + BURST_S) * (1 + OUTSIDE_SHARE) + 2 * sum(TOKENS)
        passed = self._passed(["burnaby-hall-1", "burnaby-hall-2"])
        self.assertLessEqual(passed, allowed)
        self.assertGreaterEqual(passed, 0.9 * RATE * SECONDS)
