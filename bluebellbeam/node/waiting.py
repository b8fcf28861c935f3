"""Expected waits of a pool, from its queue and its slots."""

from bluebellbeam.admission import cost_ahead

__all__ = ["demand_share", "local_wait_ms", "pool_rows", "pool_slots"]

DEMAND_STALE_MS = 3_000
"""Age at which a peer's demand no longer counts."""


def pool_rows(state, pool):
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
    return sum(row.slots for row in pool_rows(state, pool))


def demand_share(state, pool, now_ms):
    """Return the share of the slots of `pool` that is due to this daemon.

    Only daemons whose workspaces wait count, by the weight of those
    workspaces, so that a workspace alone on its daemon gets no more than one
    that shares a daemon with others.
    """
    peers = state.shares.get(pool)
    if not peers:
        return 1.0
    others = 0.0
    for name, (weight, heard_ms) in peers.items():
        member = state.members.rows.get(name)
        if member is None or member.status == "dead":
            continue
        if now_ms - heard_ms <= DEMAND_STALE_MS:
            others += weight
    if others == 0.0:
        return 1.0
    own = _waiting_weight(state.queues.get(pool))
    return own / (own + others) if own else 1.0


def _waiting_weight(queue):
    if queue is None:
        return 0.0
    weights = {}
    for lanes in queue.lanes.values():
        for name, lane in lanes.items():
            if lane.requests:
                weights[name] = lane.weight
    return sum(weights.values())


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
    rows = pool_rows(state, pool)
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
