"""Estimates of the wait in a pool, from its queue and its slots."""

from bluebellbeam.admission import cost_ahead
from bluebellbeam.routing import limit_wait_ms
from bluebellbeam.routing.estimate import slot_wait_ms, tokens_ahead

__all__ = [
    "is_interactive_waiting",
    "limited_wait_ms",
    "local_wait_ms",
    "own_slot_share",
    "pool_replicas",
    "pool_slots",
    "prefill_wait_ms",
    "queued_weights",
    "unlimited_replicas",
]

BATCH_SLOT_SHARE = 0.5
"""Largest share of the slots for batch requests while interactive ones are queued."""

MAX_DEMAND_AGE_MS = 3_000
"""Age above which the demand reported by a peer is ignored."""


def pool_replicas(state, pool):
    """Return the replicas that may serve `pool`, sorted by load.

    For a model or adapter, these are the replicas with the configured version;
    replicas with another version serve only while there is none.
    """
    name = pool[2:]
    model = state.base.models.get(name) or state.base.adapters.get(name)
    if model is not None and pool.startswith("m/"):
        rows = state.replicas.pool(f"{pool}@{model.version}")
        if rows:
            return rows
    return state.replicas.pool(pool)


def unlimited_replicas(state, pool):
    """Return the replicas that may serve `pool` and state no limit.

    A limited one accepts so few requests that its slots say nothing about the wait.
    Those of evacuated failure domains are sent none.
    """
    return [
        row
        for row in pool_replicas(state, pool)
        if row.limit_per_s is None and row.failure_domain not in state.evacuated
    ]


def pool_slots(state, pool):
    """Return the total slots of the replicas without a limit that serve `pool`."""
    return sum(row.slots for row in unlimited_replicas(state, pool))


def limited_wait_ms(state, pool, now_ms):
    """Return the shortest wait in ms for a limited server of `pool`.

    Returns
    -------
    float or None
        None if this daemon may not send to any of them.
    """
    queue = state.queues.get(pool)
    ahead = queue.size if queue is not None else 0
    waits = [
        limit_wait_ms(state, row, ahead, now_ms)
        for row in pool_replicas(state, pool)
        if row.limit_per_s is not None and row.failure_domain not in state.evacuated
    ]
    return min((wait for wait in waits if wait is not None), default=None)


def own_slot_share(state, pool, priority, now_ms):
    """Return the share of the slots of `pool` that this daemon may use.

    Daemons of the region share the slots by the total weight of the workspaces
    that have requests queued at each, so that a workspace alone on its daemon
    gets no more than one that shares a daemon with others. While interactive
    requests are queued anywhere in the region, all batch requests together get
    at most `BATCH_SLOT_SHARE`. The share is 1 if no peer has reported demand.
    """
    peers = _fresh_peer_weights(state, pool, now_ms)
    if not peers:
        return 1.0
    own = queued_weights(state.queues.get(pool))
    interactive = sum(weights[0] for weights in peers)
    batch = sum(weights[1] for weights in peers)
    if priority == "interactive":
        return _own_share(own[0], interactive)
    limit = BATCH_SLOT_SHARE if interactive + own[0] else 1.0
    return limit * _own_share(own[1], batch)


def is_interactive_waiting(state, pool, now_ms):
    """Return whether interactive requests are queued at any daemon of the region."""
    if queued_weights(state.queues.get(pool))[0]:
        return True
    return any(weights[0] for weights in _fresh_peer_weights(state, pool, now_ms))


def _own_share(own, others):
    """Return the share of `own` in the total weight; 1 if either weight is 0."""
    return own / (own + others) if own and others else 1.0


def _fresh_peer_weights(state, pool, now_ms):
    """Return the weights of queued work recently reported by peers of the region.

    Returns
    -------
    list of (float, float)
        As from :func:`queued_weights`, for each peer that is not dead.
    """
    weights = []
    for name, (interactive, batch, at_ms) in state.peer_demand.get(pool, {}).items():
        member = state.members.rows.get(name)
        if member is None or member.status == "dead":
            continue
        if now_ms - at_ms <= MAX_DEMAND_AGE_MS:
            weights.append((interactive, batch))
    return weights


def prefill_wait_ms(state, pool, now_ms):
    """Return the shortest wait in ms for a new prompt over the servers of `pool`.

    It counts the prefill of the prompts ahead and the wait for a slot. It is 0
    for a pool whose servers compute no prompts.
    """
    service = state.base.services.get(pool[2:])
    speed = service.prefill_tokens_per_s if service is not None else 0.0
    if not speed:
        return 0.0
    waits = [
        1000.0 * tokens_ahead(row, speed, now_ms) / speed * row.pace + slot_wait_ms(row)
        for row in unlimited_replicas(state, pool)
    ]
    return min(waits, default=0.0)


def queued_weights(queue):
    """Return the weights of the queued work: interactive and batch.

    Each is the total weight of the workspaces with queued requests of that kind.
    """
    if queue is None or queue.size == 0:
        return 0.0, 0.0
    weights = [
        sum(flow.weight for flow in queue.flows[priority].values() if flow.requests)
        for priority in ("interactive", "batch")
    ]
    return weights[0], weights[1]


def local_wait_ms(state, pool, request=None):
    """Return the expected wait in ms of a new request in the local region.

    Parameters
    ----------
    pool : str
    request : Request, optional
        With a request, only the requests that fair queueing serves before it
        count; otherwise all queued requests do.

    Returns
    -------
    float or None
        None when a request is given and the pool has no usable replica without a
        limit.
    """
    rows = unlimited_replicas(state, pool)
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
