"""Estimates of the load at a backend server, from its reports and other daemons'."""

from bluebellbeam.routing.completion import apply_duration
from bluebellbeam.routing.replica import record_response, reindex

__all__ = [
    "age_peer_load",
    "apply_load",
    "apply_load_header",
    "record_full",
    "record_peer_load",
]

PEER_LOAD_TTL_MS = 1500
"""Time for which a peer daemon's report of its requests at a server takes precedence
over the load that the server itself reports."""

STALE_LOAD_MS = 1500
"""Time without a report after which the estimate of the other daemons' requests at a
server is reduced; their requests to a plain service have ended by then."""


def apply_load(table, replica, report, now_ms):
    """Update `replica` from a load report of the same server and incarnation.

    Returns
    -------
    bool
        False when the report is of another server or incarnation: the address has
        been reused, and `replica` is no longer identified.
    """
    if report.server != replica.name or report.incarnation != replica.incarnation:
        replica.identified = False
        reindex(table, replica)
        return False
    replica.identified = True
    replica.slots = max(1, report.slots)
    _apply_counts(replica, report, now_ms)
    replica.loaded = frozenset(report.loaded)
    replica.loading = report.loading
    replica.fence = max(replica.fence, report.fence)
    reindex(table, replica)
    return True


def apply_load_header(table, replica, load, now_ms):
    """Update `replica` from the load header of one of its responses."""
    _apply_counts(replica, load, now_ms)
    apply_duration(replica, load.duration_percent, now_ms)
    reindex(table, replica)


def _apply_counts(replica, load, now_ms):
    record_response(replica, now_ms)
    replica.reported_ms = now_ms
    replica.running = load.running
    replica.waiting = load.waiting
    replica.waiting_tokens = load.waiting_tokens
    if (
        replica.peer_load_ms is not None
        and now_ms - replica.peer_load_ms <= PEER_LOAD_TTL_MS
    ):
        return
    replica.estimated_ms = now_ms
    replica.peer_waiting_tokens = 0.0
    sample = max(0, load.running + load.waiting - replica.inflight)
    replica.peer_inflight += (sample - replica.peer_inflight) * 0.5


def record_peer_load(table, replica, inflight, tokens, now_ms):
    """Record the load that the other daemons together put on `replica`.

    Parameters
    ----------
    table : ReplicaTable
    replica : Replica
    inflight : float
        Number of their requests in flight there.
    tokens : float
        Prompt tokens of these requests that wait to be computed.
    now_ms : int
    """
    replica.peer_load_ms = now_ms
    replica.estimated_ms = now_ms
    if (inflight, tokens) == (replica.peer_inflight, replica.peer_waiting_tokens):
        return
    replica.peer_inflight = inflight
    replica.peer_waiting_tokens = tokens
    reindex(table, replica)


def record_full(table, replica, slack, now_ms):
    """Count `replica`, which refused a request for lack of room, as full.

    `slack` is the queue allowed there, as a share of its slots.
    """
    replica.estimated_ms = now_ms
    full = replica.slots * (1.0 + slack) - replica.inflight
    replica.peer_inflight = max(replica.peer_inflight, full)
    reindex(table, replica)


def age_peer_load(table, replica, slack, now_ms):
    """Reduce the estimate of the other daemons' load that no report has renewed.

    A server that seems full is sent nothing, so none of its responses would correct
    the estimate. It is halved each `STALE_LOAD_MS`; the first reduction leaves room
    for one request, whose response reports the load.

    Parameters
    ----------
    table : ReplicaTable
    replica : Replica
    slack : float
        Queue allowed at the server, as a share of its slots.
    now_ms : int
    """
    if now_ms - replica.estimated_ms < STALE_LOAD_MS:
        return
    if not (replica.peer_inflight or replica.peer_waiting_tokens):
        return
    replica.estimated_ms = now_ms
    room_for_one = max(0.0, replica.peer_inflight + replica.free_slots(slack) - 1.0)
    if replica.peer_inflight > room_for_one:
        replica.peer_inflight = room_for_one
    else:
        replica.peer_inflight = _halved(replica.peer_inflight)
    replica.peer_waiting_tokens = _halved(replica.peer_waiting_tokens)
    reindex(table, replica)


def _halved(count):
    """Return half of an estimated count, or 0 once it is below one."""
    return count / 2 if count >= 1.0 else 0.0
