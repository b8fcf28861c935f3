"""Lending and borrowing of backend slots between regions, by leases."""

from bluebellbeam.borrowing import (
    MIN_SPARE_SLOTS,
    RESERVE_SHARE,
    HeldLease,
    best_offer,
    borrowed_slots,
    expire_granted_leases,
    expire_held_leases,
    grant_lease,
    leased_slots,
    record_offer,
    usable_offers,
)
from bluebellbeam.node.command import SendToPeer
from bluebellbeam.node.message import LeaseRequest, LeaseResponse
from bluebellbeam.node.wait_estimates import (
    is_interactive_waiting,
    local_wait_ms,
    prefill_wait_ms,
    queued_weights,
    unlimited_replicas,
)
from bluebellbeam.routing import cached_blocks, estimate_remote, score_estimate
from bluebellbeam.routing.entry import active_entry_count, entry_role
from bluebellbeam.routing.policies import EstimatePolicy

__all__ = [
    "borrow_limit",
    "capacity_offers",
    "current_offer",
    "handle_lease_request",
    "handle_lease_response",
    "local_demand",
    "may_run_locally",
    "remote_score",
    "request_lease",
    "tick_leases",
    "workspace_active_count",
    "workspace_role",
]

LEASE_REQUEST_INTERVAL_MS = 250
"""Shortest time between two lease requests for the same pool and workspace."""

LENDER_BACKOFF_MS = 1000
"""Time for which a lender that refused is sent no further lease request."""

BORROW_START_FACTOR = 1.2
"""A workspace starts to borrow when its local score exceeds the lender's score by
this factor."""

BORROW_STOP_FACTOR = 0.6
"""A workspace that borrows stops when its local score is at most this share of the
lender's score; the gap to `BORROW_START_FACTOR` gives hysteresis."""

BACKUP_BORROW_SHARE = 0.25
"""Share of a workspace's borrow limit that its backup daemon may use."""

MIN_REMOTE_ONLY_SLOTS = 8
"""Lowest borrow limit for requests that may run only in other regions."""

MAX_OFFERED_POOLS = 32
"""Maximum number of pools offered in one message, which bounds its size."""


def local_demand(state):
    """Return the queued work of this daemon, as reported to peers of the region.

    Returns
    -------
    dict of str to (float, float)
        Total weight of the workspaces with queued interactive requests and of
        those with queued batch requests, by pool.
    """
    demand = {}
    for pool, queue in state.queues.items():
        if queue.size:
            demand[pool] = queued_weights(queue)
    return demand


def count_region_daemons(state):
    """Return the number of daemons that share the region's backend servers."""
    return len(state.region_members())


def spare_slots(state, pool):
    """Return the free slots of `pool` that this daemon may lend now.

    These are its equal share of the region's free slots beyond the reserve, minus
    its queued requests and the leased slots that the borrowers do not use yet;
    none while it has interactive requests queued.
    """
    queue = state.queues.get(pool)
    if queued_weights(queue)[0]:
        return 0.0
    waiting = queue.size if queue is not None else 0
    rows = unlimited_replicas(state, pool)
    free = sum(max(0.0, row.free_slots()) for row in rows)
    slots = sum(row.slots for row in rows)
    usable = (free - RESERVE_SHARE * slots) / count_region_daemons(state)
    return max(0.0, usable - waiting - leased_slots(state.lender, pool))


def capacity_offers(state, now_ms):
    """Return the offers of this daemon to other regions.

    Returns
    -------
    dict of str to (float, float)
        Spare slots and expected wait in ms by pool, for pools with spare slots.
    """
    if state.config is None or state.leaving:
        return {}
    offers = {}
    for pool in sorted(state.replicas.pools):
        if "@" in pool:
            continue
        spare = spare_slots(state, pool)
        if spare >= MIN_SPARE_SLOTS:
            offers[pool] = current_offer(state, pool, now_ms)
        if len(offers) == MAX_OFFERED_POOLS:
            break
    return offers


def current_offer(state, pool, now_ms):
    """Return the current spare slots and expected wait in ms of one pool.

    Both are 0 without a configuration and during shutdown, when it does not lend.
    """
    if state.config is None or state.leaving:
        return 0.0, 0.0
    wait_ms = max(local_wait_ms(state, pool), prefill_wait_ms(state, pool, now_ms))
    return round(spare_slots(state, pool), 1), round(wait_ms, 0)


def handle_lease_request(state, sender, lease_request, now_ms):
    """Grant or refuse a lease to a daemon of another region."""
    lease = None
    if _may_lend(state, lease_request):
        number = state.lender.granted + 1
        lease_id = f"{state.identity.vm}.{state.identity.incarnation}.{number}"
        spare = _lendable_slots(state, lease_request)
        lease = grant_lease(
            state.lender, lease_id, lease_request, spare, now_ms, state.policy.lease_ms
        )
    response = LeaseResponse(
        lease_request.pool,
        lease_request.workspace,
        lease.lease_id if lease is not None else "",
        lease.slots if lease is not None else 0,
        state.policy.lease_ms if lease is not None else 0,
        LENDER_BACKOFF_MS if lease is None else 0,
        current_offer(state, lease_request.pool, now_ms),
    )
    row = state.members.rows.get(sender)
    if row is not None:
        state.emit(SendToPeer(sender, row.peer_address, (response,)))


def _lendable_slots(state, lease_request):
    """Return the slots that may be leased to the borrower.

    In the home region of the workspace this is at least the requested number.
    """
    workspace = state.base.workspaces[lease_request.workspace]
    if workspace.home_region == state.region:
        return max(spare_slots(state, lease_request.pool), float(lease_request.slots))
    return spare_slots(state, lease_request.pool)


def _may_lend(state, lease_request):
    """Return whether this daemon may lend slots for the workspace of a lease request.

    It must be ready, and its configuration no older than that of the borrower.
    """
    if state.config is None or state.leaving or not state.ready:
        return False
    if lease_request.revision > state.config.revision:
        return False
    workspace = state.base.workspaces.get(lease_request.workspace)
    return workspace is not None and state.region in workspace.allowed_regions


def handle_lease_response(state, sender, response, now_ms):
    """Record a granted lease or a refusal, and the offer that came with it."""
    row = state.members.rows.get(sender)
    if row is None:
        return
    spare, wait_ms = response.offer
    record_offer(
        state.borrower, sender, row.region, response.pool, spare, wait_ms, now_ms
    )
    if response.slots < 1:
        until_ms = now_ms + response.retry_after_ms
        state.borrower.refused_until_ms[(sender, response.pool)] = until_ms
        return
    state.borrower.rows[response.lease_id] = HeldLease(
        response.lease_id,
        sender,
        row.region,
        response.pool,
        response.workspace,
        response.slots,
        0,
        now_ms + response.duration_ms,
    )


def tick_leases(state, now_ms):
    """Expire leases, and request new ones where borrowing scores better.

    Leases for the batch requests of a pool are requested only while the region has
    no interactive request queued for it.
    """
    expire_granted_leases(state.lender, now_ms)
    expire_held_leases(state.borrower, now_ms)
    if state.config is None or not isinstance(state.routing_policy, EstimatePolicy):
        return
    for pool, queue in state.queues.items():
        if queue.size == 0:
            continue
        interactive_waits = is_interactive_waiting(state, pool, now_ms)
        for priority in (
            ("interactive",) if interactive_waits else ("interactive", "batch")
        ):
            for flow in queue.flows[priority].values():
                if flow.requests:
                    request_lease(state, pool, flow, now_ms)
    _expire_borrowing(state, now_ms)


def _expire_borrowing(state, now_ms):
    """End the borrowing state of workspaces without a recent lease request."""
    idle_ms = 2 * state.policy.lease_ms
    borrowing_ms = state.borrower.last_borrow_ms
    for key in [k for k, at_ms in borrowing_ms.items() if now_ms - at_ms > idle_ms]:
        del borrowing_ms[key]
        state.borrower.switches += 1


def request_lease(state, pool, flow, now_ms):
    """Request a lease for queued requests of a workspace if borrowing scores better.

    Parameters
    ----------
    pool : str
    flow : Flow
        Queued requests of the workspace at one priority; not empty.
    now_ms : int
    """
    request = flow.requests[0]
    key = (pool, flow.workspace)
    table = state.borrower
    if (
        now_ms - table.requested_ms.get(key, -LEASE_REQUEST_INTERVAL_MS)
        < LEASE_REQUEST_INTERVAL_MS
    ):
        return
    limit = borrow_limit(state, request)
    available = limit - borrowed_slots(table, pool, flow.workspace)
    if available < 1:
        return
    allowed = request.allowed - {state.region}
    offers = usable_offers(table, pool, allowed, now_ms)
    best = best_offer(offers, lambda offer: remote_score(state, request, offer))
    if best is None or not _is_borrowing_better(state, request, best[0], key):
        return
    table.requested_ms[key] = now_ms
    offer = best[1]
    row = state.members.rows.get(offer.lender)
    if row is None:
        return
    slots = max(1, min(available, len(flow.requests)))
    lease_request = LeaseRequest(
        state.identity.vm, pool, flow.workspace, slots, state.config.revision
    )
    if key not in table.last_borrow_ms:
        table.switches += 1
    table.last_borrow_ms[key] = now_ms
    state.emit(SendToPeer(offer.lender, row.peer_address, (lease_request,)))


def may_run_locally(state, request):
    """Return whether `request` is allowed to run in the local region."""
    return state.region in request.allowed


def _is_borrowing_better(state, request, score, key):
    """Return whether a request should borrow from a lender with the given `score`.

    The threshold is lower for a workspace that already borrows, as hysteresis.

    Parameters
    ----------
    state : NodeState
    request : Request
    score : float
        From :func:`remote_score`.
    key : (str, str)
        Pool and workspace.
    """
    if not may_run_locally(state, request):
        return True
    local_ms = local_wait_ms(state, request.pool, request)
    if local_ms is None:
        return True
    local_score = local_ms * state.objective.latency_weight
    is_borrowing = key in state.borrower.last_borrow_ms
    return local_score > score * (
        BORROW_STOP_FACTOR if is_borrowing else BORROW_START_FACTOR
    )


def workspace_active_count(state, name, members):
    """Return the number of active entry VMs of a workspace in a region.

    Parameters
    ----------
    state : NodeState
    name : str
        Workspace.
    members : int
        Number of usable entry VMs of the region.
    """
    if state.config is None or name not in state.base.workspaces:
        return 1
    weight = state.base.workspaces[name].weight
    return active_entry_count(weight, state.config.total_weight, members)


def workspace_role(state, name):
    """Return how this daemon serves workspace `name`.

    Returns
    -------
    role : {"active", "backup", "outside"}
        See :func:`bluebellbeam.routing.entry.entry_role`.
    active_count : int
        Number of active entry VMs of the workspace in the region.
    """
    key = (state.members.generation, state.config.revision)
    return state.cached(("role", name), key, lambda: _compute_role(state, name))


def _compute_role(state, name):
    members = state.region_members()
    active_count = workspace_active_count(state, name, len(members))
    return entry_role(state.identity.vm, name, members, active_count), active_count


def borrow_limit(state, request):
    """Return how many slots this daemon may borrow for a request's workspace.

    The active daemons of the workspace split its configured `borrow_slots`
    equally. The backup may borrow `BACKUP_BORROW_SHARE` of them and any other
    daemon none. For requests that may not run in the local region, every daemon
    may borrow all of them, and at least `MIN_REMOTE_ONLY_SLOTS`.
    """
    workspace = state.base.workspaces[request.workspace]
    if not may_run_locally(state, request):
        return max(workspace.borrow_slots, MIN_REMOTE_ONLY_SLOTS)
    role, active_count = workspace_role(state, request.workspace)
    match role:
        case "active":
            return -(-workspace.borrow_slots // active_count)
        case "backup":
            return int(workspace.borrow_slots * BACKUP_BORROW_SHARE)
        case _:
            return 0


def remote_score(state, request, offer):
    """Return the score in ms of running `request` at the lender; lower is better.

    There is no penalty for leaving the region if the lender's region is the home
    region of the workspace.
    """
    base = state.base
    region = base.regions[state.region]
    remote_region = base.regions[offer.region]
    delay_ms = region.one_way_delay_ms.get(offer.region, 50.0)
    model = base.models.get(request.model) if request.model else None
    blocks = cached_blocks(state.prefixes, f"peer:{offer.lender}", request.blocks)
    cached = min(blocks * state.block_tokens, request.prompt_tokens)
    estimate = estimate_remote(
        offer, request, model, remote_region, 2 * delay_ms, cached
    )
    home = base.workspaces[request.workspace].home_region
    score = score_estimate(estimate, state.objective)
    if home == offer.region:
        score -= state.objective.away_penalty_ms
    return score
