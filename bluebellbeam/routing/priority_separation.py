"""Soft separation of batch and interactive prompts over the engines of a pool.

Every daemon ranks the replicas of a pool by the same hash. Batch prompts prefer
one end of the ranking and interactive prompts the other, without messages between
daemons. The penalty is small: a cached prefix or a shorter queue outweighs it.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["separation_penalty_ms"]

MAX_SEPARATION_PENALTY_MS = 120.0
"""Largest additional wait accepted to separate batch from interactive prompts."""


def separation_penalty_ms(state, replica, request):
    """Return the penalty on `replica` for a request of this priority, in ms.

    0 on the server that the priority prefers most, rising with the rank to
    `MAX_SEPARATION_PENALTY_MS` on the one that the other priority prefers most.

    Parameters
    ----------
    state : NodeState
    replica : Replica
    request : Request
    """
    if request.service:
        return 0.0
    ranks = state.cached(
        ("batch ranks", request.pool),
        state.replicas.pool_generation,
        lambda: _batch_ranks(state, request.pool),
    )
    rank = ranks.get(replica.name, 0.0)
    if request.priority == "batch":
        return rank * MAX_SEPARATION_PENALTY_MS
    return (1.0 - rank) * MAX_SEPARATION_PENALTY_MS


def _batch_ranks(state, pool):
    """Return the rank of each server: 0.0 is preferred by batch, 1.0 by interactive."""
    names = [replica.name for replica in state.replicas.pool(pool)]
    ranked = rendezvous_order(f"batch:{pool}", names)
    last = max(1, len(ranked) - 1)
    return {name: i / last for i, name in enumerate(ranked)}
