"""Application of a new configuration to queued requests."""

from bluebellbeam.admission import push_request, remove_request
from bluebellbeam.node.dispatch import fail_request
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.routed import allowed_regions
from bluebellbeam.routing import choose_service, match_route

__all__ = ["apply_config_to_queued", "apply_config_to_routed"]


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
            apply_config_to_routed(state, request, now_ms)
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


def apply_config_to_routed(state, request, now_ms):
    """Apply the present configuration to a queued routed request.

    A request whose response has not begun moves to the end of another queue if its
    route now selects another service. Every other request keeps its place, as does one
    that continues a stream. A forwarded request is left to its sender if the
    configuration now decides otherwise about it.
    """
    route = match_route(state.config.routes, request.host, request.path)
    code = _rejection_code(state, request, route)
    if code and request.origin:
        code = "config_ahead"
    if code:
        _fail_queued(state, request, make_error(code), now_ms)
        return
    request.route = route
    if request.stream_origin is not None or request.response_started:
        return
    service = choose_service(route, request.attempt_key)
    if service == request.service:
        return
    if request.origin:
        _fail_queued(state, request, make_error("config_ahead"), now_ms)
    else:
        remove_request(state.queue(request.pool), request)
        request.service = service
        request.pool = f"s/{service}"
        weight = state.base.workspaces[request.workspace].weight
        push_request(state.queue(request.pool), request, weight)


def _rejection_code(state, request, route):
    """Return the code of the error if `route` no longer permits a request, or "".

    Updates the workspace and the regions of the request.
    """
    if route is None:
        return "not_found"
    if not _keep_or_move_workspace(state, request, route):
        return "unknown_key"
    request.allowed = allowed_regions(state, request, route)
    return "" if request.allowed else "region_not_permitted"


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
