import unittest

from bluebellbeam.admission.rate_limit import BURST_S, INACTIVE_RATE_SHARE
from bluebellbeam.examples import read_example
from bluebellbeam.scenario.simulation import make_simulation
from bluebellbeam.scenario.steps import request_spec

RATE_TOKENS_PER_S = 2000.0
DURATION_S = 40
REQUEST_TOKENS = (380, 20)
"""Prompt tokens and largest number of output tokens of one request."""


class TestRateLimitAcrossDaemons(unittest.TestCase):
    """The token rate of a workspace holds for a region as a whole.

    Daemons share no counter, so together they may admit somewhat more than the
    rate; the excess has a bound.
    """

    def _admitted_tokens(self, vms):
        """Return the tokens admitted when requests alternate between `vms`.

        The requests offer 8,000 tokens/s, four times the rate.
        """
        base, overlays = read_example("fraserleaf")
        base["workspaces"]["field-notes"]["rate_tokens_per_s"] = RATE_TOKENS_PER_S
        sim = make_simulation(base, overlays, 1, 100)
        sim.check_codec = False
        sim.start()
        sim.run_until(5000)
        for i in range(DURATION_S * 20):
            spec = request_spec(sim, "chat", REQUEST_TOKENS)
            vm = vms[i % len(vms)]
            at_ms = 5000 + i * 50
            sim.call_at(
                at_ms,
                lambda i=i, vm=vm, spec=spec: sim.send(
                    f"q{i}", "field-notes", vm, **spec
                ),
            )
        sim.run_until(5000 + DURATION_S * 1000 + 5000)
        requests = sim.caller_requests.values()
        limited = [r for r in requests if r.result == "rate_limited"]
        self.assertTrue(limited)
        self.assertTrue(all(r.outcome == "not_run" for r in limited))
        self.assertTrue(all(r.retry_after_ms >= 1000 for r in limited))
        return (len(requests) - len(limited)) * sum(REQUEST_TOKENS)

    def test_total_over_two_daemons_stays_within_bound(self):
        allowed = RATE_TOKENS_PER_S * (DURATION_S + BURST_S) * (
            1 + INACTIVE_RATE_SHARE
        ) + 2 * sum(REQUEST_TOKENS)
        admitted = self._admitted_tokens(["burnaby-hall-1", "burnaby-hall-2"])
        self.assertLessEqual(admitted, allowed)
        self.assertGreaterEqual(admitted, 0.9 * RATE_TOKENS_PER_S * DURATION_S)
