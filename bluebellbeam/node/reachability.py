"""Which servers of its region a daemon reaches.

All daemons of a region know the same servers, but one may be cut off from those that
its neighbours still reach.
"""

from bluebellbeam.node.command import Log
from bluebellbeam.routing import may_continue_at, record_miss

__all__ = [
    "count_usable_servers",
    "has_lost_servers",
    "has_room_at_lost_servers",
    "has_usable_server",
    "record_failed_connection",
    "record_failed_contact",
    "tick_reachability",
]

MAX_FAILED_CONNECTIONS = 2
"""Failed connections to servers of a service, with no response from any since, after
which servers that have not responded yet are not assumed to be reached."""


def has_usable_server(state, request):
    """Return whether a server of this region is reached and may serve a request.

    There is none as well while all servers leave, their failure domain is evacuated, or
    none is listed. A server without a response to its last health check or connection
    is not reached.
    """
    return any(_usable_servers(state, request))


def count_usable_servers(state, request):
    """Return how many servers of this region are reached and may serve a request."""
    return sum(1 for _ in _usable_servers(state, request))


def has_lost_servers(state, request):
    """Return whether servers may serve a request, but this daemon reaches none."""
    return not has_usable_server(state, request) and any(
        _may_serve(state, row, request) for row in state.replicas.rows.values()
    )


def _usable_servers(state, request):
    """Return an iterator over the servers that are reached and may serve a request."""
    return (
        row
        for row in state.replicas.rows.values()
        if row.identified and not row.unproven and _may_serve(state, row, request)
    )


def has_room_at_lost_servers(state, request):
    """Return whether a server that this daemon does not reach has a free slot.

    What the neighbours send there is known from them.
    """
    return any(
        (row.unproven or not row.identified)
        and row.free_slots() >= 1.0
        and _may_serve(state, row, request)
        for row in state.replicas.rows.values()
    )


def _may_serve(state, row, request):
    """Return whether a server may serve a routed request, whether reached or not."""
    return (
        row.service == request.service
        and may_continue_at(row, request.stream_origin)
        and not row.leaving
        and row.failure_domain not in state.evacuated
    )


def record_failed_contact(state, row, reason):
    """Record a health check of a server or connection to it without a response.

    Parameters
    ----------
    state : NodeState
    row : Replica
    reason : str
        For the log, in case the server is not used any more.
    """
    was_reached = row.identified
    record_miss(state.replicas, row)
    if was_reached and not row.identified:
        fields = {"misses": row.misses, "reason": reason}
        state.log_server(row, "stop using server: it does not respond", **fields)


def record_failed_connection(state, service):
    """Count a failed connection to a server of `service`, listed still or not."""
    failed = state.failed_connections
    failed[service] = failed.get(service, 0) + 1


def tick_reachability(state):
    """Log the services of which this daemon has lost or regained all servers."""
    _doubt_new_servers(state)
    reached = {}
    for row in state.replicas.rows.values():
        if not row.leaving:
            name = row.service or row.role
            is_reached = row.identified and not row.unproven
            reached[name] = reached.get(name, False) or is_reached
    for name, is_reached in reached.items():
        was_reached = state.reached_services.get(name)
        if was_reached is None and not is_reached:
            # Servers count as reached from their first response on.
            continue
        state.reached_services[name] = is_reached
        if was_reached not in (None, is_reached):
            text = "a server is reached again" if is_reached else "no server is reached"
            state.emit(Log("routing", text, fields={"service": name}))
    for name in [name for name in state.reached_services if name not in reached]:
        del state.reached_services[name]


def _doubt_new_servers(state):
    """Doubt servers without a response after failed connections to others.

    In a service whose servers are replaced quickly, those at which connections failed
    may have left the list before that is known.
    """
    for row in state.replicas.rows.values():
        failed = state.failed_connections.get(row.service, 0)
        if failed >= MAX_FAILED_CONNECTIONS and row.identified:
            row.unproven = row.unproven or row.confirmed_ms is None
