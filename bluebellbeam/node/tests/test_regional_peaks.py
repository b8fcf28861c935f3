import functools
import unittest

from bluebellbeam.node import Request, dump_state
from bluebellbeam.node import event as ev
from bluebellbeam.node.command import Log
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.forwarding import choose_offload_peer
from bluebellbeam.node.message import Envelope, Ping
from bluebellbeam.node.routed import resolve_route
from bluebellbeam.node.tests.harness import Harness, make_base, server, started_attempts
from bluebellbeam.node.tests.peak_regions import (
    PERIOD_MS,
    RAMP_MS,
    START_MS,
    PeakRegions,
)
from bluebellbeam.routing.regional_load import (
    RemoteCapacity,
    excess_per_s,
    remote_capacity,
    route_shares,
    spread_excess,
)

SEEDS = (1, 2)
SERVER_SHARES = ((14, 10, 7), (25, 18, 12))


@functools.cache
def run_regions(mode, seed, daemons, server_shares):
    return PeakRegions(mode, seed, daemons, server_shares).run()


class TestPeaks(unittest.TestCase):
    """Peaks that rotate over three regions are shared between them.

    Load: each region in turn has 2.8 times its mean load for 12 s and 0.17 times for
    the rest, with ramps of 4 s; the capacity of a region is 1.5 times its mean load.
    """

    def runs(self, mode):
        for server_shares in SERVER_SHARES:
            for daemons in (12, 25):
                for seed in SEEDS:
                    key = (seed, daemons, server_shares)
                    with self.subTest(seed=seed, daemons=daemons, servers=key[2]):
                        yield key, run_regions(mode, *key)

    def test_more_requests_are_in_time_than_with_forwarding_of_queued_ones(self):
        for key, shared in self.runs("shared"):
            present = run_regions("present", *key)
            local = run_regions("local", *key)
            in_time = [run.in_time / run.sent for run in (local, present, shared)]
            self.assertGreater(in_time[2], 0.95)
            self.assertGreater(in_time[2], in_time[1] + 0.03)
            self.assertGreater(in_time[2], in_time[0] + 0.2)

    def test_bytes_between_regions_stay_near_those_of_present_forwarding(self):
        for key, shared in self.runs("shared"):
            present = run_regions("present", *key)
            limit = 1.05 * present.bytes_between_regions
            self.assertLess(shared.bytes_between_regions, limit)

    def test_share_returns_to_zero_within_two_seconds_after_the_peak(self):
        for _, run in self.runs("shared"):
            for region in run.regions:
                end_ms = START_MS + region.name * PERIOD_MS + PERIOD_MS + RAMP_MS
                after = [s for at, s in region.shares if 0 <= at - end_ms <= 2000]
                self.assertEqual(min(after), 0.0)

    def test_share_does_not_oscillate_during_the_peak(self):
        for _, run in self.runs("shared"):
            for region in run.regions:
                first_ms = START_MS + region.name * PERIOD_MS + RAMP_MS
                last_ms = first_ms + PERIOD_MS - RAMP_MS
                shares = [s for at, s in region.shares if first_ms <= at < last_ms]
                mean = sum(shares) / len(shares)
                deviation = sum((s - mean) ** 2 for s in shares) / len(shares)
                self.assertLess(deviation**0.5, 0.35 * mean)

    def test_nothing_is_forwarded_twice_and_few_forwards_are_rejected(self):
        for _, run in self.runs("shared"):
            self.assertEqual(run.max_forwards, 1)
            self.assertLess(run.rejected_forwards, 0.05 * run.forwarded)


class TestShares(unittest.TestCase):
    """The decision is bounded by the demand, the free capacity and the routes."""

    def test_nothing_is_offloaded_below_the_capacity(self):
        self.assertEqual(excess_per_s(89.0, 100.0), 0.0)
        self.assertAlmostEqual(excess_per_s(150.0, 100.0), 60.0)

    def test_part_of_the_demand_always_stays(self):
        self.assertAlmostEqual(excess_per_s(100.0, 0.0), 80.0)

    def test_excess_is_spread_by_free_capacity(self):
        remotes = [RemoteCapacity("a", 30.0), RemoteCapacity("b", 10.0)]
        self.assertEqual(spread_excess(20.0, remotes), {"a": 15.0, "b": 5.0})
        self.assertEqual(spread_excess(90.0, remotes), {"a": 30.0, "b": 10.0})
        self.assertEqual(spread_excess(20.0, []), {})

    def test_small_requests_are_offloaded_before_large_ones(self):
        routes = [(36_800.0, "long", 90.0), (3_300.0, "short", 40.0)]
        self.assertEqual(route_shares(20.0, routes), {"short": 0.5})
        self.assertEqual(route_shares(85.0, routes), {"short": 1.0, "long": 0.5})

    def test_recent_offers_stand_for_all_daemons_of_a_region(self):
        offers = [(2.0, 10_000), (2.0, 9_000)]
        found, free = remote_capacity("a", offers, 10, 0, None, 500.0, 10_000)
        self.assertAlmostEqual(free, 20.0)
        self.assertAlmostEqual(found.free_per_s, 40.0)

    def test_older_offers_count_less(self):
        offers = [(0.5, 10_000), (4.0, 2_000)]
        _, free = remote_capacity("a", offers, 10, 0, None, 500.0, 10_000)
        self.assertLess(free, 6.0)

    def test_region_whose_free_capacity_falls_gets_less(self):
        offers = [(2.0, 10_000)]
        found, _ = remote_capacity("a", offers, 10, 0, (35.0, 9_000), 500.0, 10_000)
        self.assertAlmostEqual(found.free_per_s, 10.0)


class TestOffload(unittest.TestCase):
    """A daemon offloads a peak before its servers are full, as permitted.

    Load: 91 requests/s of 100 ms at a server with 8 slots, which takes 10 requests.
    """

    def make_harness(self, shared=True, service_ms=100.0):
        base = make_base()
        base["services"]["portal"]["expected_ms"] = service_ms
        harness = Harness(base=base)
        harness.publish_servers(server("s1", slots=8))
        harness.announce_peer("w1", others=("w2",))
        if shared:
            harness.state.shared_machine_services.add("portal")
        harness.state.pool_service_ms["s/portal"] = service_ms
        self.offer(harness)
        harness.commands.clear()
        return harness

    def offer(self, harness, spare=30.0):
        ping = Ping({}, offers={"s/portal": (spare, 0.0)})
        envelope = Envelope("w1", 5, (ping,))
        harness.handle(ev.PeerMessagesReceived(envelope, answer=True))

    def send_peak(self, harness, count=200, prefix="r", **values):
        """Send requests at 91/s; return the attempts at peers."""
        found = []
        for number in range(count):
            harness.now_ms += 11
            request_id = f"{prefix}{number}"
            commands = harness.send_request(request_id=request_id, **values)
            found += [item for item in started_attempts(commands) if item.peer]
            if number % 5 == 4:
                harness.commands += harness.node.tick(harness.now_ms)
            for attempt in list(harness.state.attempts.values()):
                if harness.now_ms - attempt.started_ms >= 100:
                    harness.handle(ev.AttemptFinished(attempt.attempt_id))
        return found

    def count_offloaded(self, harness):
        """Return how many of 100 new requests would be offloaded now."""
        state, now_ms = harness.state, harness.now_ms
        request = Request("n", "", host="a.example", path="/p/x", attempt_key="n")
        self.assertIsNone(resolve_route(state, request, now_ms))
        chosen = [choose_offload_peer(state, request, now_ms) for _ in range(100)]
        return sum(member is not None for member in chosen)

    def test_peak_is_offloaded_to_daemons_of_the_other_region(self):
        harness = self.make_harness()
        attempts = self.send_peak(harness)
        self.assertGreater(len(attempts), 5)
        self.assertLessEqual({item.peer for item in attempts}, {"w1", "w2"})

    def test_start_is_logged_once_and_shown_in_the_dump(self):
        harness = self.make_harness()
        self.send_peak(harness)
        logs = [c for c in harness.commands if isinstance(c, Log)]
        found = [c for c in logs if c.sentence == "offload requests to other regions"]
        self.assertEqual(len(found), 1)
        self.assertGreater(found[0].fields["share"], 0)
        (row,) = dump_state(harness.state, harness.now_ms)["regional_loads"]
        self.assertGreater(row.demand_per_s, row.capacity_per_s)

    def test_end_is_logged_within_two_seconds_after_the_peak(self):
        harness = self.make_harness()
        self.send_peak(harness)
        harness.commands.clear()
        for attempt in list(harness.state.attempts.values()):
            harness.handle(ev.AttemptFinished(attempt.attempt_id))
        harness.tick(2000)
        logs = [c.sentence for c in harness.commands if isinstance(c, Log)]
        self.assertEqual(logs.count("offload no more requests"), 1)
        (row,) = dump_state(harness.state, harness.now_ms)["regional_loads"]
        self.assertEqual((row.share, row.regions), (0.0, {}))

    def test_without_an_offer_all_requests_stay(self):
        harness = self.make_harness()
        harness.state.borrower.offers.clear()
        self.assertEqual(self.send_peak(harness), [])

    def test_forwarded_requests_are_not_forwarded_again(self):
        harness = self.make_harness()
        allowed = frozenset(("east", "west"))
        attempts = self.send_peak(harness, prefix="g", origin="w1", allowed=allowed)
        self.assertEqual(attempts, [])

    def test_region_that_rejects_is_excluded_until_it_offers_again(self):
        harness = self.make_harness()
        attempt = self.send_peak(harness)[0]
        error = make_error("deadline_unreachable")
        harness.handle(ev.AttemptRefused(attempt.attempt_id, error))
        self.assertEqual(self.send_peak(harness, 40, "x"), [])
        harness.now_ms += 10
        harness.state.borrower.refused_until_ms.clear()
        self.offer(harness)
        self.assertNotEqual(self.send_peak(harness, 40, "y"), [])

    def test_region_beyond_the_objective_gets_nothing(self):
        harness = self.make_harness()
        self.send_peak(harness, 120)
        self.assertGreater(self.count_offloaded(harness), 5)
        delays = harness.state.base.regions["east"].one_way_delay_ms
        delays["west"] = 250.0
        self.assertEqual(self.count_offloaded(harness), 0)

    def test_services_without_shared_machines_keep_no_state(self):
        harness = self.make_harness(shared=False)
        self.send_peak(harness)
        self.assertEqual(harness.state.regional_loads, {})
        self.assertEqual(dump_state(harness.state, 0)["regional_loads"], [])


if __name__ == "__main__":
    unittest.main()
