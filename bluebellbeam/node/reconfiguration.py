"""Application of a new configuration to queued requests."""

from bluebellbeam.admission import push_request, remove_request
from bluebellbeam.node.dispatch import fail_request
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.routed import allowed_regions
from bluebellbeam.routing import choose_service, match_route

__all__ = ["apply_config_to_queued"]


def apply_config_to_queued(state, now_ms):
    """Apply a new configuration to queued requests.

    A request fails if its workspace or route has been removed, or if no region is
    left in which it may run.
    """
    for request in list(state.requests.values()):
        if request.state != "queued":
            _narrow_regions(state, request)
            continue
        if request.route is not None:
            _apply_to_routed(state, request, now_ms)
            continue
        workspace = state.base.workspaces.get(request.workspace)
        if workspace is None:
            _fail_queued(state, request, make_error("not_permitted"), now_ms)
            continue
        request.allowed = request.allowed & frozenset(workspace.allowed_regions)
        if not request.allowed:
            error = make_error("region_not_permitted")
            _fail_queued(state, request, error, now_ms)


def _narrow_regions(state, request):
    """Keep further attempts of a routed request that runs to the permitted regions."""
    if request.route is None or request.workspace not in state.base.workspaces:
        return
    route = match_route(state.config.routes, request.host, request.path)
    if route is not None:
        request.allowed &= allowed_regions(state, request, route)


def _apply_to_routed(state, request, now_ms):
    """Apply a new configuration to a queued routed request.

    A request whose response has not begun moves to the end of another queue if its
    route now selects another service. Every other request keeps its place, as does one
    that continues a stream.
    """
    route = match_route(state.config.routes, request.host, request.path)
    if route is None:
        _fail_queued(state, request, make_error("not_found"), now_ms)
        return
    if not _keep_or_move_workspace(state, request, route):
        _fail_queued(state, request, make_error("unknown_key"), now_ms)
        return
    request.route = route
    request.allowed = allowed_regions(state, request, route)
    if not request.allowed:
        _fail_queued(state, request, make_error("region_not_permitted"), now_ms)
        return
    if request.stream_origin is not None:
        return
    service = choose_service(route, request.attempt_key)
    if service != request.service and not request.response_started:
        remove_request(state.queue(request.pool), request)
        request.service = service
        request.pool = f"s/{service}"
        weight = state.base.workspaces[request.workspace].weight
        push_request(state.queue(request.pool), request, weight)


def _keep_or_move_workspace(state, request, route):
    """Return whether a queued request has a workspace in the new configuration.

    It keeps its workspace, even if its key was revoked meanwhile, unless `route` now
    has one of its own or the workspace has been removed.
    """
    workspaces = state.base.workspaces
    name = request.workspace
    if route.workspace and (not route.anonymous or name not in workspaces):
        name = route.workspace
    if name not in workspaces:
        return False
    if name != request.workspace:
        queue = state.queue(request.pool)
        remove_request(queue, request)
        request.workspace = name
        request.has_key = False
        push_request(queue, request, workspaces[name].weight)
    return True


def _fail_queued(state, request, error, now_ms):
    remove_request(state.queue(request.pool), request)
    fail_request(state, request, error, now_ms)
