"""Rates of arrivals and starts of the pools whose order depends on urgency."""

from bluebellbeam.node.wait_estimates import pool_slots
from bluebellbeam.utils.decaying_rate import (
    make_decaying_rate,
    read_rate,
    record_event,
)

__all__ = [
    "QueueRates",
    "is_demand_above_capacity",
    "more_urgent_per_s",
    "record_queue_arrival",
    "record_queue_start",
    "start_rate_per_s",
]

RATE_CONSTANT_MS = 1000.0
"""Time constant of the rates. Peaks rise within seconds; of 20 requests/s, the mean of
one second is known to about a quarter."""

MIN_BACKLOG_MS = 500
"""Time for which requests must have waited before the rate of starts is taken for the
capacity; until then it is limited by the arrivals."""

BACKLOG_GAP_MS = 250
"""Time without a waiting request after which a backlog has ended."""


class QueueRates:
    """Rates of one pool at this daemon.

    Attributes
    ----------
    arrivals : dict of tuple to DecayingRate
        Arrivals by urgency, including rejected ones except those over their quota.
    starts : DecayingRate
        Requests that left the queue for a server or a peer.
    backlog_since_ms, backlog_seen_ms : int or None
        Start of the current backlog, and when a request last had to wait.
    """

    __slots__ = ("arrivals", "starts", "backlog_since_ms", "backlog_seen_ms")

    def __init__(self):
        self.arrivals = {}
        self.starts = make_decaying_rate(RATE_CONSTANT_MS)
        self.backlog_since_ms = None
        self.backlog_seen_ms = None


def _rates(state, pool):
    rates = state.queue_rates.get(pool)
    if rates is None:
        rates = state.queue_rates[pool] = QueueRates()
    return rates


def record_queue_arrival(state, request, now_ms):
    """Count the arrival of a request with an urgency."""
    arrivals = _rates(state, request.pool).arrivals
    rate = arrivals.get(request.urgency)
    if rate is None:
        rate = arrivals[request.urgency] = make_decaying_rate(RATE_CONSTANT_MS)
    record_event(rate, now_ms)


def record_queue_start(state, request, now_ms):
    """Count that a request with an urgency has left the queue to be served."""
    rates = _rates(state, request.pool)
    record_event(rates.starts, now_ms)
    queue = state.queues.get(request.pool)
    if queue is None or not queue.size:
        return
    seen_ms = rates.backlog_seen_ms
    if seen_ms is None or now_ms - seen_ms > BACKLOG_GAP_MS:
        rates.backlog_since_ms = now_ms
    rates.backlog_seen_ms = now_ms


def start_rate_per_s(state, pool, now_ms):
    """Return the requests per second that this daemon can start in a pool.

    During a backlog it is the rate measured, otherwise the equal share of this daemon
    of what the slots of the region allow. 0 if neither is known.
    """
    rates = state.queue_rates.get(pool)
    if rates is not None and rates.backlog_seen_ms is not None:
        lasted_ms = rates.backlog_seen_ms - rates.backlog_since_ms
        recent = now_ms - rates.backlog_seen_ms <= BACKLOG_GAP_MS
        if recent and lasted_ms >= MIN_BACKLOG_MS:
            return read_rate(rates.starts, now_ms)
    service_ms = state.pool_service_ms.get(pool)
    if not service_ms:
        return 0.0
    slots = pool_slots(state, pool)
    return 1000.0 * slots / service_ms / len(state.region_members())


def more_urgent_per_s(state, pool, urgency, now_ms):
    """Return the arrivals per second of requests more urgent than `urgency`."""
    return _arrivals_per_s(state, pool, now_ms, lambda other: other < urgency)


def is_demand_above_capacity(state, pool, urgency, now_ms):
    """Return whether requests at least as urgent arrive faster than they can start.

    The wait of such a request grows while that lasts.
    """
    rate = start_rate_per_s(state, pool, now_ms)
    demand = _arrivals_per_s(state, pool, now_ms, lambda other: other <= urgency)
    return bool(rate) and demand > rate


def _arrivals_per_s(state, pool, now_ms, is_counted):
    rates = state.queue_rates.get(pool)
    if rates is None:
        return 0.0
    return sum(
        read_rate(rate, now_ms)
        for urgency, rate in rates.arrivals.items()
        if is_counted(urgency)
    )
