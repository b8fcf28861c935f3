"""Share of a region's requests that is offloaded while its demand exceeds its capacity.

Pure functions over rates; see `docs/design/regional_peaks.md`.
"""

import math

from msgspec import Struct

from bluebellbeam.utils.decaying_rate import read_rate

__all__ = [
    "FAST_CONSTANT_MS",
    "MIN_OCCUPANCY",
    "SLOW_CONSTANT_MS",
    "RemoteCapacity",
    "excess_per_s",
    "predicted_rate_per_s",
    "remote_capacity",
    "route_shares",
    "spread_excess",
]

FAST_CONSTANT_MS = 1000.0
SLOW_CONSTANT_MS = 3000.0
"""Time constants of the two averages of arrivals whose difference gives the rate of
change. A daemon sees 5 to 25 requests/s; with shorter ones the noise exceeds the ramp
of a peak."""

LEAD_MS = 300.0
"""Time ahead for which arrivals are predicted: a request occupies a slot of the region
for about that long before the next decision sees the effect."""

NOISE_FACTOR = 0.5
"""Standard deviations of the measured rate that are not counted as demand, so that the
noise of a steady load near the capacity is not forwarded."""

TARGET_UTILISATION = 0.9
"""Share of the capacity above which demand is offloaded; queues grow quickly beyond."""

MIN_OCCUPANCY = 0.6
"""Share of the region's slots in use below which nothing is offloaded. A daemon that
sees few requests takes three of them in a second for a peak of its region."""

MAX_OFFLOADED_SHARE = 0.8
"""Largest share of the demand that is offloaded."""

OFFER_WEIGHT_MS = 2000.0
"""Age at which an offer counts e times less than a new one of the same region."""

SPARE_LEAD_S = 1.0
"""Time for which a falling number of free slots is expected to go on falling."""


class RemoteCapacity(Struct, frozen=True):
    """Free capacity of another region for one pool.

    Parameters
    ----------
    region : str
    free_per_s : float
        Requests per second that its free slots can take.
    """

    region: str
    free_per_s: float


def predicted_rate_per_s(fast, slow, now_ms):
    """Return the arrivals per second expected shortly, less their usual noise.

    Two averages of a ramp lag behind it by their time constants, so their difference
    gives its slope.

    Parameters
    ----------
    fast, slow : DecayingRate
        With time constants `FAST_CONSTANT_MS` and `SLOW_CONSTANT_MS`.
    now_ms : int
    """
    fast_per_s, slow_per_s = read_rate(fast, now_ms), read_rate(slow, now_ms)
    slope = (fast_per_s - slow_per_s) / (SLOW_CONSTANT_MS - FAST_CONSTANT_MS)
    predicted = fast_per_s + slope * (FAST_CONSTANT_MS + LEAD_MS)
    noise = math.sqrt(fast_per_s * 1000.0 / (2.0 * FAST_CONSTANT_MS))
    return max(0.0, predicted - NOISE_FACTOR * noise)


def excess_per_s(demand_per_s, capacity_per_s):
    """Return the part of a demand that is to run elsewhere, in requests per second."""
    excess = demand_per_s - TARGET_UTILISATION * capacity_per_s
    return min(max(0.0, excess), MAX_OFFLOADED_SHARE * demand_per_s)


def remote_capacity(region, offers, members, guests, previous, service_ms, now_ms):
    """Return the free capacity of a region, from the offers of some of its daemons.

    Each daemon offers its equal share of the free slots of its region, so the mean of
    the recent offers stands for those of the other daemons.

    Parameters
    ----------
    region : str
    offers : list of (float, int)
        Spare slots and time of receipt in ms of each usable offer.
    members : int
        Number of daemons of the region.
    guests : float
        Requests that the own region runs there; their slots count as free, so that a
        forward does not lower the share by itself.
    previous : (float, int) or None
        Free slots of an earlier call, and its time in ms.
    service_ms : float
        Mean time for which a request holds a slot.
    now_ms : int

    Returns
    -------
    RemoteCapacity
    float
        Free slots, without their expected change.
    """
    weights = [math.exp((at_ms - now_ms) / OFFER_WEIGHT_MS) for _, at_ms in offers]
    total = sum(weights)
    if not total or not service_ms:
        return RemoteCapacity(region, 0.0), 0.0
    pairs = zip(offers, weights, strict=True)
    free = members * sum(spare * weight for (spare, _), weight in pairs) / total
    free += guests
    expected = free
    if previous is not None and now_ms > previous[1]:
        slope = 1000.0 * (free - previous[0]) / (now_ms - previous[1])
        expected = max(0.0, free + min(0.0, slope) * SPARE_LEAD_S)
    return RemoteCapacity(region, 1000.0 * expected / service_ms), free


def spread_excess(excess, remotes):
    """Return the requests per second to send to each region, by its free capacity.

    Parameters
    ----------
    excess : float
        Requests per second to offload.
    remotes : list of RemoteCapacity

    Returns
    -------
    dict of str to float
        In sum at most `excess` and, for each region, at most its free capacity.
    """
    free = sum(item.free_per_s for item in remotes)
    if not excess or not free:
        return {}
    factor = min(1.0, excess / free)
    return {item.region: factor * item.free_per_s for item in remotes}


def route_shares(excess, routes):
    """Return the share of each route's requests to offload, the smallest first.

    Requests that need most bytes stay local.

    Parameters
    ----------
    excess : float
        Requests per second to offload.
    routes : list of (float, str, float)
        Bytes of a request, name and requests per second of each route.

    Returns
    -------
    dict of str to float
        Routes of which no request is offloaded are left out.
    """
    shares = {}
    for _, name, rate_per_s in sorted(routes):
        if excess <= 0:
            break
        if rate_per_s > 0:
            shares[name] = min(1.0, excess / rate_per_s)
            excess -= rate_per_s
    return shares
