"""Forwarding of routed requests to other daemons, mostly of other regions."""

from bluebellbeam.borrowing import count_shortages, record_offer, usable_offers
from bluebellbeam.membership import usable_members
from bluebellbeam.node.reachability import (
    has_lost_servers,
    has_room_at_lost_servers,
    has_usable_server,
)
from bluebellbeam.node.regional_load import choose_offload, is_region_excluded
from bluebellbeam.origins import live_versions
from bluebellbeam.routing import cached_tokens, prefill_speed

__all__ = [
    "choose_faster_peer",
    "choose_forward_peer",
    "choose_offload_peer",
    "describe_choice",
    "exclude_region",
    "expected_forward_start_ms",
    "forward_targets",
    "is_turned_away",
    "record_forward_offer",
]

FORWARD_THRESHOLD_SHARE = 0.6
"""Share of the route's objective that the expected local time to the first event must
exceed before forwarding is considered."""

MAX_TRIES_IN_REGION = 2
"""Daemons of one region that a request is tried at while another region is left. All of
a region may be cut off from its servers, and a request has few attempts."""

MAX_FORWARD_TIME_RATIO = 0.7
"""Highest ratio of the expected time in another region to the local one at which
a request is forwarded."""


def expected_forward_start_ms(state, request, now_ms):
    """Return the expected time in ms until a request starts at another daemon.

    It is 0 if a neighbour may reach a free server that this daemon does not. Without
    that and a usable offer it is 0 for a request that no server of this region can
    serve, since it is forwarded in any case. For one that may be served locally it
    is a time beyond every deadline, so that the local wait decides.
    """
    offers = _usable_offers_by_lender(state, request, now_ms)
    if has_room_at_lost_servers(state, request) and any(
        row.region == state.region and not _has_refused(state, request, row, now_ms)
        for row in forward_targets(state, request)
    ):
        return 0.0
    if not offers:
        if _is_served_locally(state, request):
            return float(request.response_deadline_ms)
        return 0.0
    return min(
        forward_first_event_ms(state, request, offer) for offer in offers.values()
    )


def forward_first_event_ms(state, request, offer):
    """Return the expected time in ms to the first event of a forwarded request."""
    delays = state.base.regions[state.region].one_way_delay_ms
    speed = prefill_speed(state.base, request)
    prefill_ms = 0.0
    if speed:
        name = f"peer:{offer.lender}"
        cached = cached_tokens(state.prefixes, name, request, state.block_tokens)
        prefill_ms = 1000.0 * max(0, request.prompt_tokens - cached) / speed
    return offer.wait_ms + prefill_ms + 2 * delays.get(offer.region, 0.0)


def choose_faster_peer(state, request, local_ms, now_ms):
    """Return a daemon of another region to forward to if clearly faster, or None.

    A request is forwarded only if it may miss its objective locally, and only
    for a clear gain. Offers are seconds old, so a smaller margin would let
    load oscillate between regions.

    Parameters
    ----------
    state : NodeState
    request : Request
    local_ms : float
        Expected time to the first event in the local region.
    now_ms : int

    Returns
    -------
    Member or None
    """
    if (
        request.origin
        or local_ms <= FORWARD_THRESHOLD_SHARE * request.route.objective_ms
    ):
        return None
    member = choose_forward_peer(state, request, now_ms, neighbours=False)
    if member is None:
        return None
    offer = _usable_offers_by_lender(state, request, now_ms).get(member.name)
    if offer is None:
        return None
    remote_ms = forward_first_event_ms(state, request, offer)
    return member if remote_ms <= MAX_FORWARD_TIME_RATIO * local_ms else None


def choose_offload_peer(state, request, now_ms):
    """Return a daemon of another region to which a peak is offloaded, or None.

    The region can start the request within its objective, the round trip included. All
    daemons of a region use the same servers, so any of them will do: only few have
    offered lately, and each offers no more than its part of the free slots.

    Parameters
    ----------
    state : NodeState
    request : Request
    now_ms : int

    Returns
    -------
    Member or None
    """
    region = choose_offload(state, request)
    if region is None:
        return None
    offers = [
        offer
        for offer in _usable_offers_by_lender(state, request, now_ms).values()
        if offer.region == region
    ]
    if not offers:
        return None
    newest = max(offers, key=lambda offer: (offer.heard_ms, offer.lender))
    left_ms = request.start_deadline_ms - now_ms
    if forward_first_event_ms(state, request, newest) > left_ms:
        return None
    peers = [
        row
        for row in forward_targets(state, request, neighbours=False)
        if row.region == region and not _has_refused(state, request, row, now_ms)
    ]
    return state.rng.choice(peers) if peers else None


def _usable_offers_by_lender(state, request, now_ms):
    """Return the usable offers of other regions for a request, by lender."""
    allowed = request.allowed - {state.region}
    offers = usable_offers(state.borrower, request.pool, allowed, now_ms)
    return {
        offer.lender: offer
        for offer in offers
        if not is_region_excluded(state, request.pool, offer.region)
    }


def record_forward_offer(state, event, now_ms):
    """Record the capacity offer that came with the response to a forward."""
    row = state.members.rows.get(event.vm)
    if row is not None:
        offer = (event.vm, row.region, event.pool, event.spare, event.wait_ms)
        record_offer(state.borrower, *offer, now_ms)


def forward_targets(state, request, neighbours=True):
    """Return the daemons to which a request can be forwarded.

    These are the ones of other allowed regions and, while this daemon does not reach
    every server for the request, those of its own region. Those at which an attempt of
    it has already failed are left out, and those of a region that is known to have no
    server that may continue its stream. So are those of a region at which several
    attempts have failed, while there are others.

    Parameters
    ----------
    state : NodeState
    request : Request
    neighbours : bool
        Whether daemons of the own region are considered.
    """
    own = state.identity.vm
    neighbours = neighbours and (
        has_lost_servers(state, request) or has_room_at_lost_servers(state, request)
    )
    found = [
        row
        for row in usable_members(state.members)
        if row.name != own
        and (neighbours or row.region != state.region)
        and row.region in request.allowed
        and row.status == "alive"
        and row.name not in request.tried_targets
        and _may_continue_in(state, request, row.region)
    ]
    tried = _often_tried_regions(state, request)
    return [row for row in found if row.region not in tried] or found


def _often_tried_regions(state, request):
    """Return the regions with `MAX_TRIES_IN_REGION` failed attempts of a request."""
    tries = {}
    for name in request.tried_targets:
        row = state.members.rows.get(name)
        if row is not None:
            tries[row.region] = tries.get(row.region, 0) + 1
    return {region for region, count in tries.items() if count >= MAX_TRIES_IN_REGION}


def _may_continue_in(state, request, region):
    """Return whether servers of another region may continue the request's stream."""
    origin = request.stream_origin
    if origin is None:
        return True
    now_ms = state.last_tick_ms or 0
    versions = live_versions(state.versions, region, origin.service, now_ms)
    return versions is None or origin.version in versions


def exclude_region(state, request, peer):
    """Exclude the region of a peer that knows no server for a request.

    All daemons of a region know the same servers, so the others need not be asked.
    """
    row = state.members.rows.get(peer)
    if row is None:
        return
    request.tried_targets.update(
        other.name
        for other in usable_members(state.members)
        if other.region == row.region
    )


def choose_forward_peer(state, request, now_ms, neighbours=True):
    """Return the daemon to forward `request` to, or None.

    A request that may run locally is forwarded only to a daemon that has
    offered a free slot, or to one of this region if a server has one that this daemon
    does not reach. One that may run only in other regions, or for which this daemon has
    no usable server, is forwarded even without an offer. Parameters are as for
    :func:`forward_targets`.

    Without an offer, daemons that lately could serve no such request are left out, but
    not those that were short of room: if all are, the few that have refused none lately
    would get the requests of all others.
    """
    if request.origin:
        return None
    peers = forward_targets(state, request, neighbours)
    offers = _usable_offers_by_lender(state, request, now_ms)
    with_slot = _with_free_slot(state, request, peers, offers, now_ms)
    if with_slot:
        peers = with_slot
    elif _is_served_locally(state, request):
        return None
    else:
        unable = state.borrower.unable_until_ms
        able = [
            row for row in peers if unable.get((row.name, request.pool), 0) <= now_ms
        ]
        peers = able or peers
    if not peers:
        return None
    return min(
        peers, key=lambda row: _peer_sort_key(state, request, row, offers, now_ms)
    )


def describe_choice(state, request, member, now_ms):
    """Return the log fields that say why a request is forwarded to `member`.

    Called before the request is counted as in flight there. The fields are the free
    slots that it has offered, or None; the requests of this daemon in flight there; and
    how many daemons have lately refused such a request.
    """
    offer = _usable_offers_by_lender(state, request, now_ms).get(member.name)
    refused_until_ms = state.borrower.refused_until_ms
    return {
        "offered_slots": offer.spare if offer is not None else None,
        "running_there": _count_running(state, member.name),
        "refused_lately": sum(
            pool == request.pool and until_ms > now_ms
            for (_, pool), until_ms in refused_until_ms.items()
        ),
    }


def is_turned_away(state, request, now_ms):
    """Return whether a request that only other daemons can serve has been refused.

    A refusal for want of room is the same decision that a caller of that daemon gets.
    With further tries without an offer, the requests of daemons without servers would
    displace those of the daemons that have some.
    """
    if not request.is_refused_for_room or _is_served_locally(state, request):
        return False
    peers = forward_targets(state, request)
    offers = _usable_offers_by_lender(state, request, now_ms)
    return not _with_free_slot(state, request, peers, offers, now_ms)


def _with_free_slot(state, request, peers, offers, now_ms):
    """Return the daemons of `peers` that are known to have a free slot for a request.

    Those of this region have one if a server that this daemon does not reach has one.
    """
    near = has_room_at_lost_servers(state, request)
    return [
        row
        for row in peers
        if _has_free_slot(state, offers.get(row.name))
        or (
            near
            and row.region == state.region
            and not _has_refused(state, request, row, now_ms)
        )
    ]


def _is_served_locally(state, request):
    """Return whether this daemon can expect to send a request to a server."""
    return state.region in request.allowed and has_usable_server(state, request)


def _has_refused(state, request, row, now_ms):
    """Return whether a daemon has refused a request for the same pool lately."""
    until_ms = state.borrower.refused_until_ms.get((row.name, request.pool), 0)
    return until_ms > now_ms


def _has_free_slot(state, offer):
    """Return whether an offer has a slot beyond the requests already in flight."""
    if offer is None:
        return False
    return offer.spare - _count_forwarded(state, offer.lender, offer.pool) >= 1.0


def _count_forwarded(state, name, pool):
    """Return how many requests of `pool` are in flight at peer `name`."""
    return sum(
        1
        for attempt in state.attempts.values()
        if attempt.peer == name and attempt.request.pool == pool
    )


def _peer_sort_key(state, request, row, offers, now_ms):
    """Return a sort key by expected delay, then by requests in flight at the peer.

    The delay is that of the network plus the offered wait. It is rounded to 10 ms,
    so that peers at about the same delay share the load. Requests that the peer has
    refused lately for want of room count as in flight, so that one that refuses at once
    does not get the most. Those at which as many run are taken in random order, so that
    several daemons do not choose the same one.
    """
    offer = offers.get(row.name)
    wait_ms = offer.wait_ms if offer is not None else 0.0
    delays = state.base.regions[state.region].one_way_delay_ms
    delay_ms = round(delays.get(row.region, 0.0) + wait_ms, -1)
    load = _count_running(state, row.name)
    load += count_shortages(state.borrower, row.name, request.pool, now_ms)
    return (delay_ms, load, state.rng.random(), row.name)


def _count_running(state, name):
    """Return how many requests of this daemon are in flight at peer `name`."""
    return sum(1 for item in state.attempts.values() if item.peer == name)
