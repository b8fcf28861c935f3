"""Three regions with rotating load peaks, in virtual time and without a network.

Each region has daemons and slots. The decisions of the daemons are those of
`bluebellbeam.node.regional_load`; servers, links and callers are simulated.
"""

import heapq
import random

from bluebellbeam.node.regional_load import (
    choose_offload_region,
    make_regional_load,
    offloaded_share,
    record_demand,
    update_shares,
)

ONE_WAY_MS = 55
OBJECTIVE_MS = 515
HOLD_MS = 400
PERIOD_MS = 12_000
RAMP_MS = 4_000
PEAK_FACTOR = 2.8
LOW_FACTOR = 0.17
UPDATE_MS = 100
OFFER_INTERVAL_MS = 3_000
OFFER_TTL_MS = 12_000
RESERVE_SHARE = 0.1
START_MS = 10_000

ROUTES = {"short": (3_300.0, 138.0), "long": (36_800.0, 94.0)}
"""Bytes of a request and mean arrivals per second over all regions, by route."""

CAPACITY_FACTOR = 1.5
"""Capacity of a region relative to its mean load: of all regions together it exceeds
the peak of one, but not that of one region alone."""


class SimulatedDaemon:
    """A daemon: its demand and the offers that it has heard."""

    def __init__(self, name, region, rng):
        self.name = name
        self.region = region
        self.rng = rng
        self.load = make_regional_load()
        self.offers = {}
        self.running = 0
        self.forwarded = {}

    def usable_offers(self, now_ms):
        """Return the offers that are fresh and not of an excluded region, by lender."""
        found = {}
        for lender, (region, spare, at_ms) in self.offers.items():
            rejected_ms = self.load.excluded.get(region, -1)
            if now_ms - at_ms <= OFFER_TTL_MS and at_ms > rejected_ms and spare >= 0.5:
                found[lender] = (region, spare, at_ms)
        return found

    def forwarded_by_region(self):
        """Return the requests that run in other regions."""
        counts = {}
        for lender, count in self.forwarded.items():
            region = int(lender.partition("-")[0])
            counts[region] = counts.get(region, 0) + count
        return counts


class SimulatedRegion:
    """Slots of a region, with one queue."""

    def __init__(self, name, slots, daemons, share):
        self.name = name
        self.slots = slots
        self.daemons = daemons
        self.share = share
        self.running = 0
        self.queue = []
        self.shares = []


class PeakRegions:
    """Regions, their daemons and callers.

    Parameters
    ----------
    mode : {"shared", "present", "local"}
        Sharing of peaks; forwarding once no slot is free, or the local wait is long; or
        no forwarding.
    seed : int
    daemons : int
        Daemons of each region.
    server_shares : tuple of int
        Servers by region; load and slots are in proportion.

    Attributes
    ----------
    sent, in_time, forwarded, rejected_forwards : int
    bytes_between_regions : float
    max_forwards : int
        Most forwards of one request.
    """

    def __init__(self, mode, seed, daemons=18, server_shares=(14, 10, 7)):
        self.mode = mode
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.events = []
        self.sequence = 0
        self.sent = self.in_time = self.forwarded = self.rejected_forwards = 0
        self.bytes_between_regions = 0.0
        self.max_forwards = 0
        total = sum(server_shares)
        mean_per_s = sum(rate for _, rate in ROUTES.values())
        self.regions = []
        for index, servers in enumerate(server_shares):
            share = servers / total
            slots = round(CAPACITY_FACTOR * mean_per_s * share * HOLD_MS / 1000.0)
            rows = [
                SimulatedDaemon(f"{index}-{i}", index, self.rng) for i in range(daemons)
            ]
            self.regions.append(SimulatedRegion(index, slots, rows, share))
        self.daemons = {row.name: row for item in self.regions for row in item.daemons}

    def rate_factor(self, index):
        """Return the load of a region relative to its mean."""
        first_ms = START_MS + index * PERIOD_MS
        since_ms = self.now_ms - first_ms
        if since_ms < 0 or since_ms >= PERIOD_MS + RAMP_MS:
            return LOW_FACTOR
        if since_ms < RAMP_MS:
            rise = since_ms / RAMP_MS
        elif since_ms < PERIOD_MS:
            rise = 1.0
        else:
            rise = 1.0 - (since_ms - PERIOD_MS) / RAMP_MS
        return LOW_FACTOR + rise * (PEAK_FACTOR - LOW_FACTOR)

    def schedule(self, delay_ms, action, *args):
        """Run `action` after `delay_ms`."""
        self.sequence += 1
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self.events, (at_ms, self.sequence, action, args))

    def run(self):
        """Run one peak of each region."""
        end_ms = START_MS + len(self.regions) * PERIOD_MS + RAMP_MS + 3_000
        for region in self.regions:
            for route in ROUTES:
                self.schedule(1, self.arrive, region, route)
            self.schedule(UPDATE_MS, self.sample, region)
        for daemon in self.daemons.values():
            delay_ms = self.rng.randrange(1, OFFER_INTERVAL_MS)
            self.schedule(delay_ms, self.exchange_offers, daemon)
            self.schedule(self.rng.randrange(1, UPDATE_MS), self.update, daemon)
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    def arrive(self, region, route):
        """Let a request arrive, by a process with the present rate (thinning)."""
        mean = ROUTES[route][1] * region.share
        delay_ms = 1000.0 * self.rng.expovariate(mean * PEAK_FACTOR)
        self.schedule(delay_ms, self.arrive, region, route)
        if self.rng.random() >= self.rate_factor(region.name) / PEAK_FACTOR:
            return
        self.sent += 1
        daemon = self.rng.choice(region.daemons)
        record_demand(daemon.load, route, ROUTES[route][0], False, self.now_ms)
        request = {"sent_ms": self.now_ms, "route": route, "forwards": 0}
        lender = self.choose_lender(region, daemon, route)
        if lender is not None:
            self.forward(daemon, lender, request)
        else:
            self.run_locally(region, daemon, request)

    def choose_lender(self, region, daemon, route):
        """Return the daemon to forward a new request to, or None."""
        if self.mode == "local":
            return None
        offers = daemon.usable_offers(self.now_ms)
        if self.mode == "shared":
            target = None
            if self.rng.random() < offloaded_share(daemon.load, route):
                others = {item.name for item in self.regions} - {region.name}
                target = choose_offload_region(daemon.load, others, self.rng)
            if target is not None:
                return self.rng.choice(self.regions[target].daemons)
        if region.running < region.slots:
            return None
        found = [
            (daemon.forwarded.get(lender, 0), self.rng.random(), lender)
            for lender, (_, spare, _) in offers.items()
            if spare - daemon.forwarded.get(lender, 0) >= 1.0
        ]
        return self.daemons[min(found)[2]] if found else None

    def wait_ms(self, region):
        """Return the expected wait for a slot of a region."""
        return (len(region.queue) + 1) * HOLD_MS / region.slots

    def run_locally(self, region, daemon, request):
        """Start a request, or queue it if it can start within its objective."""
        if region.running < region.slots:
            self.start(region, daemon, request)
        elif self.wait_ms(region) <= OBJECTIVE_MS:
            region.queue.append((daemon, request))

    def start(self, region, daemon, request):
        """Occupy a slot of a region."""
        region.running += 1
        daemon.running += 1
        delay_ms = ONE_WAY_MS if "origin" in request else 0
        if self.now_ms - request["sent_ms"] + delay_ms <= OBJECTIVE_MS:
            self.in_time += 1
        hold_ms = HOLD_MS * self.rng.uniform(0.5, 1.5)
        self.schedule(hold_ms, self.finish, region, daemon, request)

    def finish(self, region, daemon, request):
        """Free a slot and start the next request of the queue."""
        region.running -= 1
        daemon.running -= 1
        if "origin" in request:
            offer = (daemon, self.spare(region))
            self.schedule(ONE_WAY_MS, self.end_forward, request["origin"], *offer)
        while region.queue:
            other, queued = region.queue.pop(0)
            if self.now_ms - queued["sent_ms"] <= OBJECTIVE_MS:
                self.start(region, other, queued)
                return

    def forward(self, daemon, lender, request):
        """Forward a request to a daemon of another region."""
        request["forwards"] += 1
        self.max_forwards = max(self.max_forwards, request["forwards"])
        self.forwarded += 1
        self.bytes_between_regions += ROUTES[request["route"]][0]
        daemon.forwarded[lender.name] = daemon.forwarded.get(lender.name, 0) + 1
        self.schedule(ONE_WAY_MS, self.arrive_forwarded, daemon, lender, request)

    def arrive_forwarded(self, origin, lender, request):
        """Start a forwarded request, or reject it if no slot is free."""
        region = self.regions[lender.region]
        record_demand(lender.load, request["route"], 0.0, True, self.now_ms)
        if region.running < region.slots:
            self.start(region, lender, request | {"origin": origin})
            return
        self.rejected_forwards += 1
        self.schedule(ONE_WAY_MS, self.rejected, origin, lender, request)

    def rejected(self, origin, lender, request):
        """Queue a request locally whose forward was rejected."""
        origin.load.excluded[lender.region] = self.now_ms
        origin.forwarded[lender.name] -= 1
        self.run_locally(self.regions[origin.region], origin, request | {"forwards": 1})

    def end_forward(self, origin, lender, spare):
        """Record the offer that comes with the response to a forward."""
        origin.forwarded[lender.name] -= 1
        origin.offers[lender.name] = (lender.region, spare, self.now_ms)

    def spare(self, region):
        """Return what a daemon of a region offers."""
        free = region.slots - region.running - RESERVE_SHARE * region.slots
        return max(0.0, free / len(region.daemons)) if not region.queue else 0.0

    def exchange_offers(self, daemon):
        """Probe a daemon of another region; both learn the other's offer."""
        self.schedule(OFFER_INTERVAL_MS, self.exchange_offers, daemon)
        others = [row for row in self.daemons.values() if row.region != daemon.region]
        other = self.rng.choice(others)
        pairs = ((daemon, other), (other, daemon))
        for receiver, sender in pairs:
            spare = self.spare(self.regions[sender.region])
            receiver.offers[sender.name] = (sender.region, spare, self.now_ms)

    def update(self, daemon):
        """Compute the share that a daemon offloads."""
        self.schedule(UPDATE_MS, self.update, daemon)
        if self.mode != "shared":
            return
        region = self.regions[daemon.region]
        offers = {}
        for other, spare, at_ms in daemon.usable_offers(self.now_ms).values():
            count = len(self.regions[other].daemons)
            offers.setdefault(other, ([], count))[0].append((spare, at_ms))
        update_shares(
            daemon.load,
            len(region.daemons),
            (daemon.running, region.running),
            region.slots,
            float(HOLD_MS),
            offers,
            daemon.forwarded_by_region(),
            int(self.now_ms),
        )

    def sample(self, region):
        """Record the mean share that the daemons of a region offload."""
        self.schedule(UPDATE_MS, self.sample, region)
        shares = [row.load.share for row in region.daemons]
        region.shares.append((self.now_ms, sum(shares) / len(shares)))
