"""Equal shares for the requests of a daemon's own callers and for forwarded ones.

In first-in-first-out order a request that times out in the queue is one that arrived
shortly after another. While a queue is overloaded, which requests are served then
depends on the order of arrivals, such as forwarded ones always following others. With
the share that was served of each kind, the kind that is behind goes first.
"""

__all__ = [
    "OriginShare",
    "count_arrival",
    "count_leave",
    "count_return",
    "count_start",
    "first_by_share",
    "make_origin_share",
]

MAX_ARRIVALS = 128.0
"""Arrivals above which all counts are halved, so that the recent ones count most."""


class OriginShare:
    """Requests of one flow by their origin: own callers (0) or other daemons (1).

    Attributes
    ----------
    arrived, started : list of float
        Recent requests that have arrived, and those of them that left the queue for a
        server or a daemon.
    waiting : list of int
        Requests in the queue.
    """

    __slots__ = ("arrived", "started", "waiting")

    def __init__(self):
        self.arrived = [0.0, 0.0]
        self.started = [0.0, 0.0]
        self.waiting = [0, 0]


def make_origin_share():
    """Return the counts of a flow without requests."""
    return OriginShare()


def count_arrival(share, request):
    """Count a new request in the queue."""
    kind = _kind(request)
    share.waiting[kind] += 1
    share.arrived[kind] += 1.0
    if sum(share.arrived) > MAX_ARRIVALS:
        share.arrived = [count / 2.0 for count in share.arrived]
        share.started = [count / 2.0 for count in share.started]


def count_return(share, request):
    """Count a request that returns to the queue for another attempt."""
    kind = _kind(request)
    share.waiting[kind] += 1
    share.started[kind] = max(0.0, share.started[kind] - 1.0)


def count_start(share, request):
    """Count a request that leaves the queue for a server or a daemon."""
    share.started[_kind(request)] += 1.0
    share.waiting[_kind(request)] -= 1


def count_leave(share, request):
    """Count a request that leaves the queue for another reason."""
    share.waiting[_kind(request)] -= 1


def first_by_share(share, requests):
    """Return `requests` with the first of the kind that is behind at the front.

    Parameters
    ----------
    share : OriginShare
    requests : deque of Request
        Waiting requests of the flow in the order of their arrival; not empty.

    Returns
    -------
    iterable of Request
    """
    if not all(share.waiting):
        return requests
    ratios = [
        (started + 1.0) / (arrived + 1.0)
        for started, arrived in zip(share.started, share.arrived, strict=True)
    ]
    behind = ratios.index(min(ratios))
    if ratios[0] == ratios[1] or _kind(requests[0]) == behind:
        return requests
    first = next(request for request in requests if _kind(request) == behind)
    return [first, *(request for request in requests if request is not first)]


def _kind(request):
    return 1 if request.origin else 0
