"""Routed requests: which route, service, regions and times apply to one.

A routed request names a host and a path instead of a model or service. It has
no operation id: each request has an id of its own and a route says whether it
may run more than once. In another region it is served by one forward to a
daemon there, without a lease.
"""

from bluebellbeam.borrowing import note_offer, open_offers
from bluebellbeam.membership import usable_members
from bluebellbeam.node.outcome import make_error
from bluebellbeam.node.waiting import local_wait_ms
from bluebellbeam.routing import (
    cached_tokens,
    choose_service,
    estimate_local,
    match_route,
    prompt_speed,
)

__all__ = [
    "away_first_ms",
    "choose_better_peer",
    "choose_peer",
    "is_known_locally",
    "note_forward_offer",
    "resolve_route",
    "routed_start_ms",
]

LATE_FACTOR = 1.5
"""A prompt is taken in while its first event is expected within so many times
its objective: estimates are rough, and a late answer is worth something."""

LEAVE_SHARE = 0.6
"""Share of its objective that a request may be expected to take at home before
another region is looked at."""

LEAVE_GAIN = 0.7
"""Time in another region, relative to staying, that is worth leaving for."""

OUTPUT_COST_FACTOR = 10.0
"""Cost of an output token relative to one of the prompt, for fair sharing."""


def resolve_route(state, request, now_ms):
    """Apply the route of a request; return a `CallerError` where there is none."""
    route = match_route(state.config.routes, request.host, request.path)
    if route is None:
        return make_error("not_found")
    workspace = state.base.workspaces[route.workspace]
    allowed = frozenset(workspace.allowed_regions)
    if route.home_regions:
        allowed &= frozenset(route.home_regions)
    request.allowed = request.allowed & allowed if request.origin else allowed
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


def _set_costs(state, request):
    service = state.base.services[request.service]
    request.expected_ms = service.expected_ms
    tokens = request.prompt_tokens + OUTPUT_COST_FACTOR * request.max_output_tokens
    request.cost = tokens or service.expected_ms


def _set_times(request, route, now_ms):
    """Bound the whole answer by the caller's limit and the route's."""
    ends_ms = now_ms + route.timeout_ms
    if request.ends_ms:
        ends_ms = min(ends_ms, request.ends_ms)
    request.ends_ms = ends_ms
    request.deadline_ms = ends_ms
    request.queue_ends_ms = min(ends_ms, now_ms + route.objective_ms)


def is_known_locally(state, request):
    """Return whether a backend server of the own region may soon serve it.

    A server that is being asked whether it still runs counts as well.
    """
    return any(
        row.service == request.service
        and not row.leaving
        and row.failure_domain not in state.evacuated
        for row in state.replicas.rows.values()
    )


def routed_start_ms(state, request, now_ms):
    """Return the expected wait until the request starts somewhere, or None.

    None means that no backend server can be reached.
    """
    waits = []
    if state.region in request.allowed and is_known_locally(state, request):
        waits.append(_stay_ms(state, request, now_ms))
    if not request.origin and _peers(state, request):
        waits.append(_away_ms(state, request, now_ms))
    return min(waits) if waits else None


def _stay_ms(state, request, now_ms):
    """Return the expected time until the request is under way here.

    For a prompt that is until its first event, on the server that would give
    it soonest.
    """
    wait_ms = local_wait_ms(state, request.pool, request) or 0.0
    speed = prompt_speed(state.base, request)
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
    return max(wait_ms, min(first) / LATE_FACTOR)


def _away_ms(state, request, now_ms):
    offers = _offers(state, request, now_ms)
    if not offers:
        return 0.0 if state.region not in request.allowed else float(request.ends_ms)
    return min(away_first_ms(state, request, offer) for offer in offers.values())


def away_first_ms(state, request, offer):
    """Return the expected time to the first event at the daemon that offers."""
    delays = state.base.regions[state.region].one_way_delay_ms
    speed = prompt_speed(state.base, request)
    prefill_ms = 0.0
    if speed:
        name = f"peer:{offer.lender}"
        held = cached_tokens(state.prefixes, name, request, state.block_tokens)
        prefill_ms = 1000.0 * max(0, request.prompt_tokens - held) / speed
    return offer.wait_ms + prefill_ms + 2 * delays.get(offer.region, 0.0)


def choose_better_peer(state, request, stay_ms, now_ms):
    """Return a daemon of another region that serves sooner than staying, or None.

    Work leaves only when it would otherwise be in danger of missing its
    objective, and for a clear gain, so that regions do not swing back and forth
    on offers that are seconds old.
    """
    if request.origin or stay_ms <= LEAVE_SHARE * request.route.objective_ms:
        return None
    member = choose_peer(state, request, now_ms)
    if member is None:
        return None
    offer = _offers(state, request, now_ms).get(member.name)
    if offer is None:
        return None
    away_ms = away_first_ms(state, request, offer)
    return member if away_ms <= LEAVE_GAIN * stay_ms else None


def _offers(state, request, now_ms):
    """Return the offers of daemons that have not just refused, by daemon."""
    allowed = request.allowed - {state.region}
    found = open_offers(state.borrower, request.pool, allowed, now_ms)
    return {offer.lender: offer for offer in found}


def note_forward_offer(state, event, now_ms):
    """Take in what room a peer has told with the answer to a forward."""
    row = state.members.rows.get(event.vm)
    if row is not None:
        offer = (event.vm, row.region, event.pool, event.spare, event.wait_ms)
        note_offer(state.borrower, *offer, now_ms)


def _peers(state, request):
    """Return the daemons of other allowed regions that take a forward."""
    return [
        row
        for row in usable_members(state.members)
        if row.region != state.region
        and row.region in request.allowed
        and row.status == "alive"
        and row.name not in request.tried
    ]


def choose_peer(state, request, now_ms):
    """Return the daemon of another region that is to serve `request`, or None.

    Work that may run here leaves only for a daemon that has offered room; work
    bound to other regions goes to one of their daemons in any case.
    """
    if request.origin:
        return None
    peers = _peers(state, request)
    offers = _offers(state, request, now_ms)
    bound = state.region not in request.allowed
    offering = [row for row in peers if _has_room(state, offers.get(row.name))]
    if offering:
        peers = offering
    elif not bound:
        return None
    if not peers:
        return None
    delays = state.base.regions[state.region].one_way_delay_ms
    return min(peers, key=lambda row: _peer_key(state, row, offers, delays))


def _has_room(state, offer):
    if offer is None:
        return False
    return offer.spare - _forwarded(state, offer.lender, offer.pool) >= 1.0


def _forwarded(state, name, pool):
    return sum(
        1
        for attempt in state.attempts.values()
        if attempt.peer == name and attempt.request.pool == pool
    )


def _peer_key(state, row, offers, delays):
    """Order peers by delay, then by what they are expected to have running."""
    offer = offers.get(row.name)
    wait_ms = offer.wait_ms if offer is not None else 0.0
    running = sum(1 for item in state.attempts.values() if item.peer == row.name)
    return (round(delays.get(row.region, 0.0) + wait_ms, -1), running, row.name)
