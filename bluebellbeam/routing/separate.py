"""Keeping batch and interactive prompts on different engines.

Every daemon ranks the replicas of a pool by the same hash, so all of them
lean batch prompts towards one end of the ranking and interactive prompts
towards the other, without a message between them. The lean is small: a cached
prefix or a shorter queue outweighs it.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["separation_penalty_ms"]

MAX_SEPARATION_PENALTY_MS = 120.0
"""Waiting accepted to keep batch and interactive prompts apart."""


def separation_penalty_ms(view, row, request):
    """Return the penalty in ms on a server that the other kind prefers.

    Parameters
    ----------
    view : NodeState
    row : Replica
    request : Request
    """
    if request.service:
        return 0.0
    ranks = view.cached(
        ("batch ranks", request.pool),
        view.replicas.pool_generation,
        lambda: _batch_ranks(view, request.pool),
    )
    rank = ranks.get(row.name, 0.0)
    if request.priority == "batch":
        return rank * MAX_SEPARATION_PENALTY_MS
    return (1.0 - rank) * MAX_SEPARATION_PENALTY_MS


def _batch_ranks(view, pool):
    """Return ranks from 0.0, preferred by batch, to 1.0, by interactive."""
    names = [row.name for row in view.replicas.pool(pool)]
    order = rendezvous_order(f"batch:{pool}", names)
    last = max(1, len(order) - 1)
    return {name: i / last for i, name in enumerate(order)}
