"""Backend servers and daemons that a request has not been tried at yet."""

from bluebellbeam.node.forwarding import forward_targets
from bluebellbeam.node.lending import may_run_locally
from bluebellbeam.routing import may_continue_at
from bluebellbeam.routing.completion import may_complete

__all__ = ["has_target_left", "may_be_passed", "may_complete_locally"]


def has_target_left(state, request):
    """Return whether a request has not been tried at every server and daemon yet.

    It cannot be served otherwise, and would hold up the requests behind it.
    """
    if request.route is None:
        return True
    if may_run_locally(state, request) and _has_untried_server(state, request):
        return True
    return not request.origin and bool(forward_targets(state, request))


def may_be_passed(state, request):
    """Return whether requests behind a routed request need not wait for it.

    They need not if it was tried at every server of this region, if only servers of one
    software version may continue its stream, or if no server is expected to complete it
    in time.
    """
    if request.route is None:
        return False
    if request.stream_origin is not None:
        return True
    if not may_complete_locally(state, request, state.last_tick_ms or 0):
        return True
    return bool(request.tried_targets) and not _has_untried_server(state, request)


def may_complete_locally(state, request, now_ms):
    """Return whether a local server is expected to complete a stream in time.

    True for any other request, without servers, and for a stream that has begun.
    """
    if request.route is None or request.route.kind != "stream":
        return True
    rows = state.replicas.pool(request.pool)
    return not rows or any(may_complete(row, request, 0.0, now_ms) for row in rows)


def _has_untried_server(state, request):
    return any(
        row.service == request.service
        and may_continue_at(row, request.stream_origin)
        and not row.leaving
        and row.failure_domain not in state.evacuated
        and row.name not in request.tried_targets
        for row in state.replicas.rows.values()
    )
