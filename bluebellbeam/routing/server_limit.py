"""Limits of backend servers on the requests of all daemons together.

A server may state how many requests per second it accepts from all daemons together.
For each limited server, a few daemons of the region send, chosen by rendezvous hash,
and share its limit equally; the others use other servers. While daemons disagree
about the members of the region, a server may have more senders for a while, which is
why there are few.

What daemons know of a limit is ordered by its round, a Lamport clock that counts the
changes between a limit and none [1]_. Times of different daemons need not agree.

References
----------
.. [1] Lamport, "Time, clocks, and the ordering of events in a distributed system",
   CACM 21(7), 1978.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = [
    "is_limit_sender",
    "limit_wait_ms",
    "merge_limit",
    "may_send_limited",
    "record_limit",
    "spend_limit",
]

MIN_LIMIT_PER_S = 0.1
"""Lowest rate at which a limited server is sent requests, also if it states 0, since
only its responses tell when the limit ends."""

BURST_S = 0.25
"""Time for which a sender saves up requests that it has not sent, one at least."""

TURN_MS = 10_000
"""Time without a statement after which other daemons take their turn as senders: the
present ones may have no requests for the server."""


def record_limit(replica, limit_per_s, sent_ms, now_ms):
    """Record what a response of `replica` says about its limit.

    Responses may overtake each other. One without a limit ends a limit only if its
    request was sent after the limit had last been stated.

    Parameters
    ----------
    replica : Replica
    limit_per_s : float or None
        None if the response states no limit.
    sent_ms : int
        Time at which the request was sent.
    now_ms : int

    Returns
    -------
    bool
        Whether the limit has changed.
    """
    if limit_per_s is None and (
        replica.limit_per_s is None or sent_ms <= replica.limit_stated_ms
    ):
        return False
    if (limit_per_s is None) != (replica.limit_per_s is None):
        replica.limit_round += 1
    return _set_limit(replica, limit_per_s, now_ms)


def merge_limit(replica, limit_per_s, limit_round, stated_ms):
    """Record what another daemon knows about the limit of `replica`, if it is newer.

    In the same round, a limit takes precedence over none, and the limit that was
    stated last over another one.

    Parameters
    ----------
    replica : Replica
    limit_per_s : float or None
    limit_round : int
    stated_ms : int
        Time at which the server stated it.

    Returns
    -------
    bool
        Whether the limit has changed.
    """
    if limit_round < replica.limit_round:
        return False
    if limit_round == replica.limit_round and (
        limit_per_s is None
        or (replica.limit_per_s is not None and stated_ms <= replica.limit_stated_ms)
    ):
        return False
    replica.limit_round = limit_round
    return _set_limit(replica, limit_per_s, stated_ms)


def _set_limit(replica, limit_per_s, stated_ms):
    changed = replica.limit_per_s != limit_per_s
    if changed and replica.limit_per_s is None:
        replica.limit_credit = 0.0
        replica.limit_credit_ms = stated_ms
    replica.limit_per_s = limit_per_s
    replica.limit_stated_ms = stated_ms
    return changed


def is_limit_sender(state, replica, now_ms):
    """Return whether this daemon is a sender of limited server `replica`."""
    return state.identity.vm in _senders(state, replica, now_ms)


def may_send_limited(state, replica, now_ms):
    """Return whether the limit of `replica` allows this daemon a request now.

    Parameters
    ----------
    state : NodeState
    replica : Replica
    now_ms : int
    """
    return replica.limit_per_s is None or limit_wait_ms(state, replica, 0, now_ms) == 0


def limit_wait_ms(state, replica, ahead, now_ms):
    """Return the time in ms until limited server `replica` may be sent a request.

    Parameters
    ----------
    state : NodeState
    replica : Replica
    ahead : int
        Requests of this daemon that come first.
    now_ms : int

    Returns
    -------
    float or None
        None if this daemon is not a sender of the server.
    """
    senders = _senders(state, replica, now_ms)
    if state.identity.vm not in senders:
        return None
    rate_per_s = max(MIN_LIMIT_PER_S, replica.limit_per_s) / len(senders)
    since_s = (now_ms - replica.limit_credit_ms) / 1000.0
    burst = max(1.0, rate_per_s * BURST_S)
    replica.limit_credit = min(burst, replica.limit_credit + since_s * rate_per_s)
    replica.limit_credit_ms = now_ms
    missing = 1.0 + ahead - replica.limit_credit
    return 1000.0 * missing / rate_per_s if missing > 0 else 0.0


def spend_limit(replica):
    """Count a request or health check that is sent to `replica` against its limit."""
    if replica.limit_per_s is not None:
        replica.limit_credit -= 1.0


def _senders(state, replica, now_ms):
    """Return the daemons of the region that may send to limited server `replica`."""
    turn = max(0, now_ms - replica.limit_stated_ms) // TURN_MS
    key = (state.members.generation, replica.limit_per_s, turn)
    return state.cached(
        ("limit senders", replica.name),
        key,
        lambda: _choose_senders(
            replica.name, replica.limit_per_s, turn, state.region_members()
        ),
    )


def _choose_senders(name, limit_per_s, turn, members):
    """Return one sender for each request per second of the limit, one at least.

    All senders together then send no more in some seconds than the limit and one
    request each.
    """
    order = rendezvous_order(f"limit:{name}", members)
    count = min(len(order), max(1, int(limit_per_s)))
    first = turn * count % len(order)
    return frozenset((order + order)[first : first + count])
