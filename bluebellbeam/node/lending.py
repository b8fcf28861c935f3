"""Lending and borrowing systems: leases of capacity between regions."""

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
    note_offer,
    usable_offers,
)
from bluebellbeam.node.command import SendPeer
from bluebellbeam.node.message import LeaseAnswer, LeaseWanted
from bluebellbeam.node.wait_estimates import (
    is_interactive_waiting,
    local_wait_ms,
    prefill_wait_ms,
    queued_weights,
)
from bluebellbeam.routing import cached_blocks, estimate_remote, score_estimate
from bluebellbeam.routing.entry import entry_role, entry_spread
from bluebellbeam.routing.policies import EstimatePolicy

__all__ = [
    "request_lease",
    "capacity_offers",
    "current_offer",
    "handle_lease_response",
    "handle_lease_request",
    "may_run_locally",
    "borrow_limit",
    "local_demand",
    "remote_score",
    "tick_leases",
    "workspace_role",
    "workspace_entry_count",
]

LEASE_REQUEST_INTERVAL_MS = 250
"""Time between two lease requests for the same pool and workspace."""

LENDER_BACKOFF_MS = 1000
"""Time a lender that refused is left alone."""

BORROW_START_FACTOR = 1.2
"""Work leaves the region when staying scores this much worse."""

BORROW_STOP_FACTOR = 0.6
"""Borrowed work returns when staying scores this much better."""

BACKUP_BORROW_SHARE = 0.25
"""Share of a workspace's borrow limit that its backup daemon may use."""

MIN_REMOTE_ONLY_SLOTS = 8
"""Slots that work bound to another region may hold there at least."""

MAX_OFFERED_POOLS = 32
"""Pools named in one message, so that its size is bounded."""


def local_demand(state):
    """Return the weights of waiting interactive and batch work, by pool."""
    demand = {}
    for pool, queue in state.queues.items():
        if queue.size:
            demand[pool] = queued_weights(queue)
    return demand


def count_region_daemons(state):
    """Return how many daemons of the region share its backend servers."""
    return len(state.region_members())


def spare_slots(state, pool):
    """Return the free slots of `pool` that this daemon may lend now."""
    queue = state.queues.get(pool)
    if queued_weights(queue)[0]:
        return 0.0
    waiting = queue.size if queue is not None else 0
    rows = state.replicas.pool(pool)
    free = sum(max(0.0, row.free_slots()) for row in rows)
    slots = sum(row.slots for row in rows)
    usable = (free - RESERVE_SHARE * slots) / count_region_daemons(state)
    return max(0.0, usable - waiting - leased_slots(state.lender, pool))


def capacity_offers(state, now_ms):
    """Return ``(spare slots, wait in ms)`` of each pool with spare slots."""
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
    """Return ``(spare slots, wait in ms)`` of one pool as they are now."""
    if state.config is None or state.leaving:
        return 0.0, 0.0
    wait_ms = max(local_wait_ms(state, pool), prefill_wait_ms(state, pool, now_ms))
    return round(spare_slots(state, pool), 1), round(wait_ms, 0)


def handle_lease_request(state, sender, wanted, now_ms):
    """Answer a daemon of another region that wants slots."""
    lease = None
    if _may_lend(state, wanted):
        number = state.lender.granted + 1
        lease_id = f"{state.identity.vm}.{state.identity.incarnation}.{number}"
        spare = _lendable(state, wanted)
        lease = grant_lease(
            state.lender, lease_id, wanted, spare, now_ms, state.policy.lease_ms
        )
    answer = LeaseAnswer(
        wanted.pool,
        wanted.workspace,
        lease.lease_id if lease is not None else "",
        lease.slots if lease is not None else 0,
        state.policy.lease_ms if lease is not None else 0,
        LENDER_BACKOFF_MS if lease is None else 0,
        current_offer(state, wanted.pool, now_ms),
    )
    row = state.members.rows.get(sender)
    if row is not None:
        state.emit(SendPeer(sender, row.peer_address, (answer,)))


def _lendable(state, wanted):
    workspace = state.base.workspaces[wanted.workspace]
    if workspace.home_region == state.region:
        return max(spare_slots(state, wanted.pool), float(wanted.slots))
    return spare_slots(state, wanted.pool)


def _may_lend(state, wanted):
    if state.config is None or state.leaving or not state.ready:
        return False
    if wanted.revision > state.config.revision:
        return False
    workspace = state.base.workspaces.get(wanted.workspace)
    return workspace is not None and state.region in workspace.allowed_regions


def handle_lease_response(state, sender, answer, now_ms):
    """Take in the answer of a lender."""
    row = state.members.rows.get(sender)
    if row is None:
        return
    spare, wait_ms = answer.offer
    note_offer(state.borrower, sender, row.region, answer.pool, spare, wait_ms, now_ms)
    if answer.slots < 1:
        until_ms = now_ms + answer.retry_after_ms
        state.borrower.refused_until_ms[(sender, answer.pool)] = until_ms
        return
    state.borrower.rows[answer.lease_id] = HeldLease(
        answer.lease_id,
        sender,
        row.region,
        answer.pool,
        answer.workspace,
        answer.slots,
        0,
        now_ms + answer.duration_ms,
    )


def tick_leases(state, now_ms):
    """End leases, and ask for slots where waiting costs more than leaving."""
    expire_granted_leases(state.lender, now_ms)
    expire_held_leases(state.borrower, now_ms)
    if state.config is None or not isinstance(state.routing_policy, EstimatePolicy):
        return
    for pool, queue in state.queues.items():
        if queue.size == 0:
            continue
        hurried = is_interactive_waiting(state, pool, now_ms)
        for priority in ("interactive",) if hurried else ("interactive", "batch"):
            for lane in queue.lanes[priority].values():
                if lane.requests:
                    request_lease(state, pool, lane, now_ms)
    _note_returns(state, now_ms)


def _note_returns(state, now_ms):
    idle_ms = 2 * state.policy.lease_ms
    away = state.borrower.last_borrow_ms
    for key in [k for k, at_ms in away.items() if now_ms - at_ms > idle_ms]:
        del away[key]
        state.borrower.switches += 1


def request_lease(state, pool, lane, now_ms):
    """Ask for slots for the waiting requests of one workspace, if worth it.

    Parameters
    ----------
    pool : str
    lane : Lane
    now_ms : int
    """
    request = lane.requests[0]
    key = (pool, lane.workspace)
    table = state.borrower
    if (
        now_ms - table.requested_ms.get(key, -LEASE_REQUEST_INTERVAL_MS)
        < LEASE_REQUEST_INTERVAL_MS
    ):
        return
    limit = borrow_limit(state, request)
    room = limit - borrowed_slots(table, pool, lane.workspace)
    if room < 1:
        return
    allowed = request.allowed - {state.region}
    offers = usable_offers(table, pool, allowed, now_ms)
    best = best_offer(offers, lambda offer: remote_score(state, request, offer))
    if best is None or not _is_leaving_better(state, request, best[0], key):
        return
    table.requested_ms[key] = now_ms
    offer = best[1]
    row = state.members.rows.get(offer.lender)
    if row is None:
        return
    slots = max(1, min(room, len(lane.requests)))
    wanted = LeaseWanted(
        state.identity.vm, pool, lane.workspace, slots, state.config.revision
    )
    if key not in table.last_borrow_ms:
        table.switches += 1
    table.last_borrow_ms[key] = now_ms
    state.emit(SendPeer(offer.lender, row.peer_address, (wanted,)))


def may_run_locally(state, request):
    """Return whether the own region may run `request`."""
    return state.region in request.allowed


def _is_leaving_better(state, request, score, key):
    if not may_run_locally(state, request):
        return True
    stay_ms = local_wait_ms(state, request.pool, request)
    if stay_ms is None:
        return True
    stay = stay_ms * state.objective.latency_weight
    away = key in state.borrower.last_borrow_ms
    return stay > score * (BORROW_STOP_FACTOR if away else BORROW_START_FACTOR)


def workspace_entry_count(state, name, members):
    """Return how many of a region's `members` share the work of a workspace."""
    if state.config is None or name not in state.base.workspaces:
        return 1
    weight = state.base.workspaces[name].weight
    return entry_spread(weight, state.config.total_weight, members)


def workspace_role(state, name):
    """Return ``(role of this daemon, spread)`` for workspace `name`."""
    key = (state.members.generation, state.config.revision)
    return state.cached(("role", name), key, lambda: _compute_role(state, name))


def _compute_role(state, name):
    members = state.region_members()
    spread = workspace_entry_count(state, name, len(members))
    return entry_role(state.identity.vm, name, members, spread), spread


def borrow_limit(state, request):
    """Return the slots that this daemon may borrow for a workspace.

    The daemons that share the workspace's work split its declared limit. The
    backup may borrow `BACKUP_BORROW_SHARE` of it, and a daemon outside nothing,
    except for work that cannot run in its region at all.
    """
    workspace = state.base.workspaces[request.workspace]
    if not may_run_locally(state, request):
        return max(workspace.borrow_slots, MIN_REMOTE_ONLY_SLOTS)
    role, spread = workspace_role(state, request.workspace)
    match role:
        case "active":
            return -(-workspace.borrow_slots // spread)
        case "backup":
            return int(workspace.borrow_slots * BACKUP_BORROW_SHARE)
        case _:
            return 0


def remote_score(state, request, offer):
    """Return the score in ms of running `request` at the lender of `offer`."""
    base = state.base
    region = base.regions[state.region]
    far = base.regions[offer.region]
    delay_ms = region.one_way_delay_ms.get(offer.region, 50.0)
    model = base.models.get(request.model) if request.model else None
    blocks = cached_blocks(state.prefixes, f"peer:{offer.lender}", request.blocks)
    cached = min(blocks * state.block_tokens, request.prompt_tokens)
    estimate = estimate_remote(offer, request, model, far, 2 * delay_ms, cached)
    home = base.workspaces[request.workspace].home_region
    score = score_estimate(estimate, state.objective)
    if home == offer.region:
        score -= state.objective.away_penalty_ms
    return score
