"""Regional peaks: demand of a pool at this daemon, and the share that it offloads.

See `docs/design/regional_peaks.md`. The state is that of one daemon. Demand is measured
before anything is forwarded, so that offloading does not change it.
"""

from bluebellbeam.borrowing import usable_offers
from bluebellbeam.membership import usable_members
from bluebellbeam.node.command import Log
from bluebellbeam.node.wait_estimates import unlimited_replicas
from bluebellbeam.routing import has_shared_machines
from bluebellbeam.routing.regional_load import (
    FAST_CONSTANT_MS,
    MIN_OCCUPANCY,
    SLOW_CONSTANT_MS,
    excess_per_s,
    predicted_rate_per_s,
    remote_capacity,
    route_shares,
    spread_excess,
)
from bluebellbeam.utils.decaying_rate import (
    make_decaying_rate,
    read_rate,
    record_event,
)

__all__ = [
    "RegionalLoad",
    "choose_offload",
    "choose_offload_region",
    "exclude_rejecting_region",
    "is_region_excluded",
    "make_regional_load",
    "offloaded_share",
    "record_demand",
    "record_routed_demand",
    "tick_regional_loads",
    "update_shares",
]

UPDATE_INTERVAL_MS = 100
"""Interval at which the shares are computed."""

MIN_SHARE = 0.02
"""Share below which nothing is offloaded; it is within the error of the estimate."""

SPARE_INTERVAL_MS = 1000
"""Time over which the change of the free slots of a region is measured."""

OWN_SHARE_CONSTANT_MS = 5000.0
"""Time constant of this daemon's share of the running requests of its region."""

QUIET_MS = 500
"""Time without offloading after which it is logged as ended."""

BYTES_PER_TOKEN = 4
"""Bytes of a prompt token in a request; only the order of the routes depends on it."""


class RegionalLoad:
    """Demand of one pool at this daemon and what of it is offloaded.

    Attributes
    ----------
    fast, slow : DecayingRate
        Arrivals from callers.
    guests : DecayingRate
        Arrivals forwarded by other daemons.
    routes : dict of str to (float, DecayingRate)
        Bytes of a recent request and arrivals from callers, by route.
    own_share : float or None
        This daemon's share of the running requests of its region.
    spare : dict of str to (float, int)
        Free slots by region, and when they were computed.
    excluded : dict of str to int
        Time of the last rejection by region, until the region offers again.
    shares : dict of str to float
        Share of the requests that is offloaded, by route.
    regions : dict of str to float
        Requests per second to send to each region.
    share : float
        Share of all requests that is offloaded.
    demand_per_s, capacity_per_s : float
        Of the region, as last computed.
    updated_ms, offloaded_ms : int
        Time of the last computation, and of the last share above 0.
    is_offloading : bool
        Whether the start of offloading has been logged and its end has not.
    """

    __slots__ = (
        "fast",
        "slow",
        "guests",
        "routes",
        "own_share",
        "spare",
        "excluded",
        "shares",
        "regions",
        "share",
        "demand_per_s",
        "capacity_per_s",
        "updated_ms",
        "offloaded_ms",
        "is_offloading",
    )

    def __init__(self):
        self.fast = make_decaying_rate(FAST_CONSTANT_MS)
        self.slow = make_decaying_rate(SLOW_CONSTANT_MS)
        self.guests = make_decaying_rate(FAST_CONSTANT_MS)
        self.routes = {}
        self.own_share = None
        self.spare = {}
        self.excluded = {}
        self.shares = {}
        self.regions = {}
        self.share = 0.0
        self.demand_per_s = 0.0
        self.capacity_per_s = 0.0
        self.updated_ms = 0
        self.offloaded_ms = 0
        self.is_offloading = False


def make_regional_load():
    """Return the state of a pool without any demand."""
    return RegionalLoad()


def record_demand(load, route, request_bytes, is_guest, now_ms):
    """Count the arrival of a request, before it is decided where it runs.

    Parameters
    ----------
    load : RegionalLoad
    route : str
    request_bytes : float
    is_guest : bool
        Whether another daemon has forwarded it.
    now_ms : int
    """
    if is_guest:
        record_event(load.guests, now_ms)
        return
    record_event(load.fast, now_ms)
    record_event(load.slow, now_ms)
    entry = load.routes.get(route)
    rate = entry[1] if entry is not None else make_decaying_rate(FAST_CONSTANT_MS)
    record_event(rate, now_ms)
    load.routes[route] = (request_bytes, rate)


def update_shares(load, members, running, slots, service_ms, offers, forwarded, now_ms):
    """Compute what is offloaded from now on.

    Parameters
    ----------
    load : RegionalLoad
    members : int
        Daemons of the own region.
    running : (float, float)
        Requests at the servers of the region, of this daemon and of all.
    slots : int
        Slots of the region's servers.
    service_ms : float
        Mean time for which a request holds a slot; 0 if not known.
    offers : dict of str to (list of (float, int), int)
        Spare slots and time of receipt of the offers, and number of daemons, by region
        that may be used.
    forwarded : dict of str to int
        Requests of this daemon that run in other regions, by region.
    now_ms : int
    """
    _update_own_share(load, members, running, now_ms)
    load.updated_ms = now_ms
    own_share = load.own_share
    load.capacity_per_s = 1000.0 * slots / service_ms if service_ms else 0.0
    own_per_s = predicted_rate_per_s(load.fast, load.slow, now_ms)
    guests_per_s = read_rate(load.guests, now_ms)
    load.demand_per_s = (own_per_s + guests_per_s) / own_share
    load.share, load.shares, load.regions = 0.0, {}, {}
    occupied = running[1] >= MIN_OCCUPANCY * slots
    if not load.capacity_per_s or not own_per_s or not occupied:
        return
    excess = excess_per_s(load.demand_per_s, load.capacity_per_s)
    remotes = [
        _remote(
            load,
            region,
            offer_rows,
            forwarded.get(region, 0) / own_share,
            service_ms,
            now_ms,
        )
        for region, offer_rows in sorted(offers.items())
    ]
    load.regions = spread_excess(excess, remotes)
    offloaded = min(own_per_s, sum(load.regions.values()) * own_share)
    if offloaded < MIN_SHARE * own_per_s:
        load.regions = {}
        return
    load.share = offloaded / own_per_s
    load.offloaded_ms = now_ms
    rates = [
        (size, name, read_rate(rate, now_ms))
        for name, (size, rate) in load.routes.items()
    ]
    total = sum(rate for _, _, rate in rates)
    load.shares = route_shares(load.share * total, rates)


def _update_own_share(load, members, running, now_ms):
    """Update this daemon's smoothed share of the requests of its region."""
    own, total = running
    sample = own / total if total >= members and own else 1.0 / members
    # A daemon that callers use little, or that starts, must not count its few arrivals
    # many times over.
    sample = min(1.0, max(0.5 / members, sample))
    if load.own_share is None:
        load.own_share = 1.0 / members
    weight = min(1.0, (now_ms - load.updated_ms) / OWN_SHARE_CONSTANT_MS)
    load.own_share += weight * (sample - load.own_share)


def _remote(load, region, offer_rows, guests, service_ms, now_ms):
    rows, count = offer_rows
    previous = load.spare.get(region)
    found, free = remote_capacity(
        region, rows, count, guests, previous, service_ms, now_ms
    )
    if previous is None or now_ms - previous[1] >= SPARE_INTERVAL_MS:
        load.spare[region] = (free, now_ms)
    return found


def offloaded_share(load, route):
    """Return the share of the requests of a route that is offloaded now."""
    return load.shares.get(route, 0.0)


def choose_offload_region(load, allowed, rng):
    """Return one of the `allowed` regions to offload to, at random, or None."""
    regions = {name: rate for name, rate in load.regions.items() if name in allowed}
    if not any(regions.values()):
        return None
    names = sorted(regions)
    return rng.choices(names, [regions[name] for name in names])[0]


def _load(state, pool):
    load = state.regional_loads.get(pool)
    if load is None:
        load = state.regional_loads[pool] = make_regional_load()
    return load


def record_routed_demand(state, request, now_ms):
    """Count the arrival of a routed request whose servers share machines."""
    size = BYTES_PER_TOKEN * (request.prompt_tokens + request.max_output_tokens)
    load = _load(state, request.pool)
    record_demand(load, request.route.name, size, bool(request.origin), now_ms)


def is_region_excluded(state, pool, region):
    """Return whether a region has rejected a request and not offered since."""
    load = state.regional_loads.get(pool)
    if load is None or region not in load.excluded:
        return False
    rejected_ms = load.excluded[region]
    if any(
        offer.region == region and offer.pool == pool and offer.heard_ms > rejected_ms
        for offer in state.borrower.offers.values()
    ):
        del load.excluded[region]
        return False
    return True


def exclude_rejecting_region(state, request, peer, now_ms):
    """Exclude the region of a peer that rejected a request until it offers again."""
    row = state.members.rows.get(peer)
    load = state.regional_loads.get(request.pool)
    if row is not None and load is not None and row.region != state.region:
        load.excluded[row.region] = now_ms


def choose_offload(state, request):
    """Return the region that a new request is offloaded to, or None to stay local."""
    if request.origin or request.attempts:
        return None
    if not has_shared_machines(state, request.service):
        return None
    load = state.regional_loads.get(request.pool)
    if load is None:
        return None
    share = offloaded_share(load, request.route.name)
    if not share or state.rng.random() >= share:
        return None
    return choose_offload_region(load, request.allowed - {state.region}, state.rng)


def tick_regional_loads(state, now_ms):
    """Update the shares of all pools; log when offloading starts and ends."""
    for pool, load in state.regional_loads.items():
        if now_ms - load.updated_ms >= UPDATE_INTERVAL_MS:
            _update(state, pool, load, now_ms)
        if load.share and not load.is_offloading:
            load.is_offloading = True
            _log(state, pool, load, "offload requests to other regions")
        quiet = not load.share and now_ms - load.offloaded_ms >= QUIET_MS
        if load.is_offloading and quiet:
            load.is_offloading = False
            _log(state, pool, load, "offload no more requests")


def _log(state, pool, load, sentence):
    fields = {
        "pool": pool,
        "share": round(load.share, 3),
        "demand_per_s": round(load.demand_per_s, 1),
        "capacity_per_s": round(load.capacity_per_s, 1),
        "regions": {name: round(rate, 1) for name, rate in load.regions.items()},
    }
    state.emit(Log("routing", sentence, fields=fields))


def _update(state, pool, load, now_ms):
    rows = unlimited_replicas(state, pool)
    own = sum(row.inflight for row in rows)
    total = own + sum(row.peer_inflight for row in rows)
    slots = sum(row.slots for row in rows)
    service_ms = state.pool_service_ms.get(pool, 0.0)
    members = len(state.region_members())
    offers = _offers_by_region(state, pool, now_ms)
    forwarded = forwarded_by_region(state, pool)
    update_shares(
        load, members, (own, total), slots, service_ms, offers, forwarded, now_ms
    )


def forwarded_by_region(state, pool):
    """Return the requests of a pool that run at peers, by their region."""
    counts = {}
    for attempt in state.attempts.values():
        row = state.members.rows.get(attempt.peer) if attempt.peer else None
        if row is not None and attempt.request.pool == pool:
            counts[row.region] = counts.get(row.region, 0) + 1
    return counts


def _offers_by_region(state, pool, now_ms):
    counts = {}
    for row in usable_members(state.members):
        if row.region != state.region and row.status == "alive":
            counts[row.region] = counts.get(row.region, 0) + 1
    found = {}
    for offer in usable_offers(state.borrower, pool, frozenset(counts), now_ms):
        if not is_region_excluded(state, pool, offer.region):
            rows = found.setdefault(offer.region, ([], counts[offer.region]))[0]
            rows.append((offer.spare, offer.heard_ms))
    return found
