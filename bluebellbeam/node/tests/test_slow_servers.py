import itertools
import unittest

from bluebellbeam.node.tests.slow_region import SLOW_MS, USUAL_MS, SlowRegion

MIN_SERVED_SHARE = 0.95
SHORT_PROMPT = (("role", 600), ("own", 226))
LONG_PROMPT = (("role", 600), ("subject", 1_700), ("own", 690))
KINDS = {
    "plain requests": {},
    "streams without prompt parts": {"service": "llm"},
    "streams with prompt parts": {"service": "llm", "parts": SHORT_PROMPT},
    "streams with long prompts": {"service": "llm", "parts": LONG_PROMPT},
}


class TestSlowServers(unittest.TestCase):
    """Slow responses must not make a pool reject what its servers can serve.

    A response once raised both a server's slowness and its mean duration, which the
    estimate multiplied. The rejections that followed left no response to correct it.
    """

    def make_region(self, kind, seed=1, fresh=False):
        region = SlowRegion(seed=seed, **KINDS[kind])
        if not fresh:
            region.play(3_000)
        return region

    def assert_served(self, counts, *labels):
        served, sent = counts
        self.assertGreaterEqual(served, MIN_SERVED_SHARE * sent, (counts, *labels))

    def test_requests_are_served_while_servers_are_slow_and_afterwards(self):
        for kind in KINDS:
            for seed, fresh in itertools.product((1, 2, 3), (False, True)):
                with self.subTest(kind=kind, seed=seed, fresh=fresh):
                    region = self.make_region(kind, seed, fresh)
                    region.service_ms = SLOW_MS
                    self.assert_served(region.play(6_000), kind, "slow")
                    region.service_ms = USUAL_MS
                    self.assert_served(region.play(2_000), kind, "afterwards")

    def test_requests_are_served_after_a_silence(self):
        for kind in KINDS:
            with self.subTest(kind=kind):
                region = self.make_region(kind, fresh=True)
                region.service_ms = SLOW_MS
                region.play(6_000)
                region.service_ms = USUAL_MS
                region.run(60_000)
                self.assert_served(region.play(2_000), kind)

    def test_slow_server_gets_less_than_the_others_and_more_when_it_recovers(self):
        region = self.make_region("plain requests")
        region.slow_servers = {"s1": 300}
        region.play(6_000)
        region.sent_by_server.clear()
        region.play(6_000)
        sent = sum(region.sent_by_server.values())
        self.assertLess(region.sent_by_server.get("s1", 0), 0.1 * sent)
        region.slow_servers = {}
        region.run(20_000)
        region.sent_by_server.clear()
        region.play(6_000)
        sent = sum(region.sent_by_server.values())
        self.assertGreater(region.sent_by_server.get("s1", 0), 0.1 * sent)


class TestTrials(unittest.TestCase):
    """Rejection for lack of time needs evidence; trial requests are bounded."""

    def test_few_requests_are_tried_without_a_response(self):
        region = SlowRegion()
        region.play(1_000)
        region.sending = False
        region.run(10_000)
        harness = region.daemons["vm-0"]
        for row in harness.state.replicas.rows.values():
            row.service_ms, row.served_ms = 60_000.0, harness.now_ms + 60_000
        harness.now_ms = region.now_ms
        before = len(harness.state.attempts)
        for number in range(20):
            harness.send_request("/p/x", f"t{number}")
        self.assertEqual(len(harness.state.attempts) - before, 4)
