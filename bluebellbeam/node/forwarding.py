"""Routed requests that leave their region: when, and for which daemon."""

from bluebellbeam.borrowing import note_offer, usable_offers
from bluebellbeam.membership import usable_members
from bluebellbeam.routing import cached_tokens, prefill_speed

__all__ = [
    "choose_faster_peer",
    "choose_forward_peer",
    "expected_forward_start_ms",
    "forward_targets",
    "record_forward_offer",
]

FORWARD_THRESHOLD_SHARE = 0.6
"""Share of its objective that a request may be expected to take at home before
another region is looked at."""

MAX_FORWARD_TIME_RATIO = 0.7
"""Time in another region, relative to staying, that is worth leaving for."""


def expected_forward_start_ms(state, request, now_ms):
    """Return the expected time until a request is under way in another region.

    Without an offer that is never for a request that may run here, and at once
    for one that may not: its regions take it in any case.
    """
    offers = _offers(state, request, now_ms)
    if not offers:
        return (
            0.0
            if state.region not in request.allowed
            else float(request.answer_deadline_ms)
        )
    return min(
        forward_first_event_ms(state, request, offer) for offer in offers.values()
    )


def forward_first_event_ms(state, request, offer):
    """Return the expected time to the first event at the daemon that offers."""
    delays = state.base.regions[state.region].one_way_delay_ms
    speed = prefill_speed(state.base, request)
    prefill_ms = 0.0
    if speed:
        name = f"peer:{offer.lender}"
        held = cached_tokens(state.prefixes, name, request, state.block_tokens)
        prefill_ms = 1000.0 * max(0, request.prompt_tokens - held) / speed
    return offer.wait_ms + prefill_ms + 2 * delays.get(offer.region, 0.0)


def choose_faster_peer(state, request, stay_ms, now_ms):
    """Return a daemon of another region that serves sooner than staying, or None.

    Work leaves only when it would otherwise be in danger of missing its
    objective, and for a clear gain, so that regions do not swing back and forth
    on offers that are seconds old.
    """
    if (
        request.origin
        or stay_ms <= FORWARD_THRESHOLD_SHARE * request.route.objective_ms
    ):
        return None
    member = choose_forward_peer(state, request, now_ms)
    if member is None:
        return None
    offer = _offers(state, request, now_ms).get(member.name)
    if offer is None:
        return None
    away_ms = forward_first_event_ms(state, request, offer)
    return member if away_ms <= MAX_FORWARD_TIME_RATIO * stay_ms else None


def _offers(state, request, now_ms):
    """Return the offers of daemons that have not just refused, by daemon."""
    allowed = request.allowed - {state.region}
    found = usable_offers(state.borrower, request.pool, allowed, now_ms)
    return {offer.lender: offer for offer in found}


def record_forward_offer(state, event, now_ms):
    """Take in what room a peer has told with the answer to a forward."""
    row = state.members.rows.get(event.vm)
    if row is not None:
        offer = (event.vm, row.region, event.pool, event.spare, event.wait_ms)
        note_offer(state.borrower, *offer, now_ms)


def forward_targets(state, request):
    """Return the daemons of other allowed regions that take a forward."""
    return [
        row
        for row in usable_members(state.members)
        if row.region != state.region
        and row.region in request.allowed
        and row.status == "alive"
        and row.name not in request.tried
    ]


def choose_forward_peer(state, request, now_ms):
    """Return the daemon of another region that is to serve `request`, or None.

    Work that may run here leaves only for a daemon that has offered room; work
    bound to other regions goes to one of their daemons in any case.
    """
    if request.origin:
        return None
    peers = forward_targets(state, request)
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
