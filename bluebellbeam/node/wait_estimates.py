"""Expected waits of a pool, from its queue and its slots."""

from bluebellbeam.admission import cost_ahead
from bluebellbeam.routing.estimate import slot_wait_ms, tokens_ahead

__all__ = [
    "is_interactive_waiting",
    "own_slot_share",
    "local_wait_ms",
    "prefill_wait_ms",
    "pool_replicas",
    "pool_slots",
    "queued_weights",
]

BATCH_SLOT_SHARE = 0.5
"""Share of the slots for batch work while interactive work waits."""

MAX_DEMAND_AGE_MS = 3_000
"""Age at which a peer's demand no longer counts."""


def pool_replicas(state, pool):
    """Return the replicas of `pool`, those with the wanted version first.

    Replicas of another version serve only while none holds the wanted one.
    """
    name = pool[2:]
    model = state.base.models.get(name) or state.base.adapters.get(name)
    if model is not None and pool.startswith("m/"):
        rows = state.replicas.pool(f"{pool}@{model.version}")
        if rows:
            return rows
    return state.replicas.pool(pool)


def pool_slots(state, pool):
    """Return the slots of every usable replica of `pool`."""
    return sum(row.slots for row in pool_replicas(state, pool))


def own_slot_share(state, pool, priority, now_ms):
    """Return the share of the slots of `pool` that is due to this daemon.

    Only daemons whose workspaces wait count, by the weight of those
    workspaces, so that a workspace alone on its daemon gets no more than one
    that shares a daemon with others. While interactive work waits anywhere in
    the region, batch work of every daemon keeps to `BATCH_SLOT_SHARE`.
    """
    peers = _fresh_shares(state, pool, now_ms)
    if not peers:
        return 1.0
    own = queued_weights(state.queues.get(pool))
    interactive = sum(weights[0] for weights in peers)
    batch = sum(weights[1] for weights in peers)
    if priority == "interactive":
        return _share(own[0], interactive)
    limit = BATCH_SLOT_SHARE if interactive + own[0] else 1.0
    return limit * _share(own[1], batch)


def is_interactive_waiting(state, pool, now_ms):
    """Return whether interactive work waits at any daemon of the region."""
    if queued_weights(state.queues.get(pool))[0]:
        return True
    return any(weights[0] for weights in _fresh_shares(state, pool, now_ms))


def _share(own, others):
    return own / (own + others) if own and others else 1.0


def _fresh_shares(state, pool, now_ms):
    found = []
    for name, (interactive, batch, heard_ms) in state.shares.get(pool, {}).items():
        member = state.members.rows.get(name)
        if member is None or member.status == "dead":
            continue
        if now_ms - heard_ms <= MAX_DEMAND_AGE_MS:
            found.append((interactive, batch))
    return found


def prefill_wait_ms(state, pool, now_ms):
    """Return the least time that prompts before a new one take at a server.

    0 for a pool whose servers compute no prompts.
    """
    service = state.base.services.get(pool[2:])
    speed = service.prefill_tokens_per_s if service is not None else 0.0
    if not speed:
        return 0.0
    waits = [
        1000.0 * tokens_ahead(row, speed, now_ms) / speed * row.slowness
        + slot_wait_ms(row)
        for row in state.replicas.pool(pool)
        if row.failure_domain not in state.evacuated
    ]
    return min(waits, default=0.0)


def queued_weights(queue):
    """Return the weights of workspaces with waiting interactive, batch work."""
    if queue is None or queue.size == 0:
        return 0.0, 0.0
    weights = [
        sum(lane.weight for lane in queue.lanes[priority].values() if lane.requests)
        for priority in ("interactive", "batch")
    ]
    return weights[0], weights[1]


def local_wait_ms(state, pool, request=None):
    """Return the expected wait of a new request in the own region.

    Parameters
    ----------
    pool : str
    request : Request, optional
        With it, the fair share of its workspace is taken into account.

    Returns
    -------
    float or None
        None when no replica of the pool can be used.
    """
    rows = pool_replicas(state, pool)
    slots = sum(row.slots for row in rows)
    if not slots:
        return None if request is not None else 0.0
    occupied = sum(row.occupancy() for row in rows)
    mean_ms = state.pool_service_ms.get(pool, 1000.0)
    residual_ms = max(0.0, occupied + 1 - slots) * mean_ms / slots
    queue = state.queues.get(pool)
    if queue is None or queue.size == 0:
        return residual_ms
    if request is None:
        return residual_ms + sum(queue.costs.values()) / slots
    return residual_ms + cost_ahead(queue, request) / slots
