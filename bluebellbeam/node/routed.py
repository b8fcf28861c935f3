"""Routed requests: which route, service, regions and times apply to one.

A routed request names a host and a path instead of a model or service. It has
no operation id: each request has an id of its own and a route says whether it
may run more than once. In another region it is served by one forward to a
daemon there, without a lease.
"""

from bluebellbeam.node.errors import make_error
from bluebellbeam.node.forwarding import expected_forward_start_ms, forward_targets
from bluebellbeam.node.wait_estimates import local_wait_ms
from bluebellbeam.routing import (
    cached_tokens,
    choose_service,
    estimate_local,
    match_route,
    prefill_speed,
)

__all__ = ["resolve_route", "allowed_regions", "expected_routed_start_ms"]

MAX_LATE_START_FACTOR = 1.5
"""A prompt is taken in while its first event is expected within so many times
its objective: estimates are rough, and a late answer is worth something."""

OUTPUT_COST_FACTOR = 10.0
"""Cost of an output token relative to one of the prompt, for fair sharing."""


def resolve_route(state, request, now_ms):
    """Apply the route of a request; return a `CallerError` where there is none."""
    route = match_route(state.config.routes, request.host, request.path)
    if route is None:
        return make_error("not_found")
    if request.workspace not in ("", route.workspace):
        return make_error("not_permitted")
    request.allowed = allowed_regions(state, request, route)
    if not request.allowed:
        return make_error("region_not_permitted")
    request.workspace = route.workspace
    request.revision = request.revision or state.config.revision
    request.route = route
    request.service = choose_service(route, request.attempt_key)
    request.pool = f"s/{request.service}"
    request.idempotent = route.repeatable
    request.max_attempts = route.max_attempts
    _set_costs(state, request)
    _set_times(request, route, now_ms)
    return None


def allowed_regions(state, request, route):
    """Return the regions that may serve `request` by `route`.

    What another daemon allowed when it forwarded the request is only narrowed.
    """
    allowed = frozenset(state.base.workspaces[route.workspace].allowed_regions)
    if route.home_regions:
        allowed &= frozenset(route.home_regions)
    return request.allowed & allowed if request.origin else allowed


def _set_costs(state, request):
    service = state.base.services[request.service]
    request.expected_ms = service.expected_ms
    tokens = request.prompt_tokens + OUTPUT_COST_FACTOR * request.max_output_tokens
    request.cost = tokens or service.expected_ms


def _set_times(request, route, now_ms):
    """Bound the whole answer by the caller's limit and the route's."""
    answer_deadline_ms = now_ms + route.timeout_ms
    if request.answer_deadline_ms:
        answer_deadline_ms = min(answer_deadline_ms, request.answer_deadline_ms)
    request.answer_deadline_ms = answer_deadline_ms
    request.deadline_ms = answer_deadline_ms
    request.queue_deadline_ms = min(answer_deadline_ms, now_ms + route.objective_ms)


def _is_known_locally(state, request):
    """Return whether a backend server of the own region may soon serve it.

    A server that is being asked whether it still runs counts as well.
    """
    return any(
        row.service == request.service
        and not row.leaving
        and row.failure_domain not in state.evacuated
        for row in state.replicas.rows.values()
    )


def expected_routed_start_ms(state, request, now_ms):
    """Return the expected wait until the request starts somewhere, or None.

    None means that no backend server can be reached.
    """
    waits = []
    if state.region in request.allowed and _is_known_locally(state, request):
        waits.append(_stay_ms(state, request, now_ms))
    if not request.origin and forward_targets(state, request):
        waits.append(expected_forward_start_ms(state, request, now_ms))
    return min(waits) if waits else None


def _stay_ms(state, request, now_ms):
    """Return the expected time until the request is under way here.

    For a prompt that is until its first event, on the server that would give
    it soonest.
    """
    wait_ms = local_wait_ms(state, request.pool, request) or 0.0
    speed = prefill_speed(state.base, request)
    if not speed:
        return wait_ms
    region = state.base.regions[state.region]
    first = [
        estimate_local(row, request, speed, region, cached, now_ms).first_token_ms
        for row in state.replicas.pool(request.pool)
        if row.failure_domain not in state.evacuated
        for cached in (
            cached_tokens(state.prefixes, row.name, request, state.block_tokens),
        )
    ]
    if not first:
        return wait_ms
    return max(wait_ms, min(first) / MAX_LATE_START_FACTOR)
