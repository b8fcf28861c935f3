"""Which servers of its region a daemon reaches.

All daemons of a region know the same servers, but one may be cut off from those that
its neighbours still reach.
"""

from bluebellbeam.routing import may_continue_at

__all__ = ["has_lost_servers", "has_room_at_lost_servers"]


def has_lost_servers(state, request):
    """Return whether servers of this region may serve a request, but none is reached.

    A server without a response to its last health check or connection is not reached.
    """
    found = False
    for row in state.replicas.rows.values():
        if _may_serve(state, row, request):
            if row.identified:
                return False
            found = True
    return found


def has_room_at_lost_servers(state, request):
    """Return whether a server that this daemon does not reach has a free slot.

    What the neighbours send there is known from them.
    """
    return any(
        not row.identified
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
