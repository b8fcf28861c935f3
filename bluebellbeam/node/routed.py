"""Resolution of routed requests: route, service, regions and deadlines.

A routed request is addressed by host and path instead of a model or service name.
It needs no operation id: its caller gives it an id, and its route defines whether
it may run more than once. To run in another region it is forwarded once to a
daemon there, without a lease.
"""

from bluebellbeam.config.effective import find_workspace
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.forwarding import expected_forward_start_ms, forward_targets
from bluebellbeam.node.targets import may_complete_locally
from bluebellbeam.node.urgency import (
    queue_urgency,
    set_queue_order,
    urgency_wait_ms,
)
from bluebellbeam.node.wait_estimates import (
    limited_wait_ms,
    local_wait_ms,
    unlimited_replicas,
)
from bluebellbeam.routing import (
    cached_tokens,
    choose_service,
    match_route,
    may_continue_at,
    prefill_speed,
)
from bluebellbeam.routing.estimate import earliest_first_token_ms

__all__ = [
    "allowed_regions",
    "expected_routed_start_ms",
    "key_workspace",
    "resolve_route",
]

MAX_LATE_START_FACTOR = 1.5
"""A prompt is admitted if its first event is expected within this many times its
objective: estimates are rough, and a late response still has some value."""

COMPLETION_RETRY_MS = 250
"""Time in ms by which a stream that no local server can complete in time is late: the
interval at which the speed of servers is observed."""

OUTPUT_COST_FACTOR = 10.0
"""Cost of an output token relative to a prompt token, for fair queueing."""


def resolve_route(state, request, now_ms):
    """Set the service, pool, cost and deadlines of a request from its route.

    Returns
    -------
    CallerError or None
        The error if no route matches, or if the route is not permitted.
    """
    route = match_route(state.config.routes, request.host, request.path)
    if route is None:
        return make_error("not_found")
    error = _set_workspace(state, request, route)
    if error is not None:
        return error
    request.allowed = allowed_regions(state, request, route)
    if not request.allowed:
        return make_error("region_not_permitted")
    request.revision = request.revision or state.config.revision
    request.route = route
    if request.stream_origin is not None:
        request.service = request.stream_origin.service
        if request.service not in {item.service for item in route.services}:
            return make_error("stream_version_gone")
    else:
        request.service = choose_service(route, request.attempt_key)
    request.pool = f"s/{request.service}"
    request.idempotent = route.repeatable
    request.max_attempts = route.max_attempts
    _set_costs(state, request)
    _set_times(request, route, now_ms)
    request.urgency = queue_urgency(state, request)
    set_queue_order(state, request)
    return None


def key_workspace(request):
    """Return the workspace that the key of a routed request belongs to, or empty."""
    return request.workspace if request.has_key else ""


def _set_workspace(state, request, route):
    """Set the workspace of a request: that of its key, or of its route.

    That of a forwarded request, or of one resolved before, is only checked.

    Returns
    -------
    CallerError or None
    """
    if route.workspace and not route.anonymous:
        if not request.origin and request.workspace not in ("", route.workspace):
            return make_error("not_permitted")
        request.workspace = route.workspace
        request.has_key = False
        return None
    name = request.workspace
    if not name and not request.origin:
        name = find_workspace(state.config, request.key_digest)
        request.has_key = bool(name)
    name = name or route.workspace
    if name not in state.base.workspaces:
        return make_error("unknown_key")
    request.workspace = name
    return None


def allowed_regions(state, request, route):
    """Return the regions in which its workspace and `route` allow `request` to run.

    For a forwarded request, the regions that the forwarding daemon allowed are
    only narrowed.
    """
    workspace = state.base.workspaces[request.workspace]
    allowed = frozenset(workspace.allowed_regions)
    if workspace.home_regions:
        allowed &= frozenset(workspace.home_regions)
    if route.home_regions:
        allowed &= frozenset(route.home_regions)
    return request.allowed & allowed if request.origin else allowed


def _set_costs(state, request):
    """Set the expected duration and the fair-queueing cost of a request."""
    service = state.base.services[request.service]
    request.expected_ms = service.expected_ms
    tokens = request.prompt_tokens + OUTPUT_COST_FACTOR * request.max_output_tokens
    request.cost = tokens or service.expected_ms


def _set_times(request, route, now_ms):
    """Set the deadlines of a request from the limits of its caller and its route."""
    response_deadline_ms = now_ms + route.timeout_ms
    if request.response_deadline_ms:
        response_deadline_ms = min(response_deadline_ms, request.response_deadline_ms)
    request.response_deadline_ms = response_deadline_ms
    request.deadline_ms = response_deadline_ms
    request.queue_deadline_ms = min(response_deadline_ms, now_ms + route.objective_ms)


def _has_local_server(state, request):
    """Return whether a server of the local region without a limit may serve it.

    A server whose health check is pending counts as well.
    """
    return any(
        row.service == request.service
        and may_continue_at(row, request.stream_origin)
        and not row.leaving
        and row.limit_per_s is None
        and not row.paused_until_ms
        and row.failure_domain not in state.evacuated
        for row in state.replicas.rows.values()
    )


def _paused_wait_ms(state, request, now_ms):
    """Return the time in ms until the first paused server may be used, or None."""
    ends = [
        row.paused_until_ms
        for row in state.replicas.rows.values()
        if row.service == request.service and row.paused_until_ms and not row.leaving
    ]
    return float(max(0, min(ends) - now_ms)) if ends else None


def expected_routed_start_ms(state, request, now_ms):
    """Return the expected wait in ms until the request starts in some region.

    Returns
    -------
    float or None
        None when there is neither a local backend server nor a peer to forward
        the request to.
    """
    waits = []
    if state.region in request.allowed:
        if _has_local_server(state, request):
            local_ms = _local_start_ms(state, request, now_ms)
            if not may_complete_locally(state, request, now_ms):
                late_ms = request.start_deadline_ms - now_ms + COMPLETION_RETRY_MS
                local_ms = max(local_ms, late_ms)
            waits.append(local_ms)
        limited_ms = limited_wait_ms(state, request.pool, now_ms)
        if limited_ms is not None:
            waits.append(limited_ms)
        paused_ms = _paused_wait_ms(state, request, now_ms)
        if paused_ms is not None:
            waits.append(paused_ms)
    if not request.origin and forward_targets(state, request):
        waits.append(expected_forward_start_ms(state, request, now_ms))
    return min(waits) if waits else None


def _local_start_ms(state, request, now_ms):
    """Return the expected wait in ms until the request starts locally.

    For a prompt it is no less than the expected time to its first event on the
    fastest server, divided by `MAX_LATE_START_FACTOR`. A prompt is thus admitted
    if that time is at most its objective times the factor.
    """
    wait_ms = urgency_wait_ms(state, request, now_ms)
    if wait_ms is None:
        wait_ms = local_wait_ms(state, request.pool, request) or 0.0
    else:
        # Of two requests, the one that can still be in time is to get the slot.
        wait_ms += request.start_deadline_ms - request.latest_start_ms
    speed = prefill_speed(state.base, request)
    if not speed:
        return wait_ms
    first_event_ms = [
        earliest_first_token_ms(row, request, speed, cached, now_ms)
        for row in unlimited_replicas(state, request.pool)
        if may_continue_at(row, request.stream_origin)
        for cached in (
            cached_tokens(state.prefixes, row.name, request, state.block_tokens),
        )
    ]
    if not first_event_ms:
        return wait_ms
    return max(wait_ms, min(first_event_ms) / MAX_LATE_START_FACTOR)
