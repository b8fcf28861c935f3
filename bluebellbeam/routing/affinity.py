"""Prefix affinity: prompts with a common prefix prefer the same backend server.

Every daemon ranks the servers of a pool by the same hash of the prompt's
longest shared prefix, so daemons send it to the same server from the first
request on without exchanging messages. As in consistent hashing with bounded
loads [1]_, the preference is bounded: the penalty on every other server is a
multiple of the time to compute the prefix, so a longer queue outweighs it.

References
----------
.. [1] Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
   loads", SODA 2018.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["preferred_server", "server_preference", "shared_prefix"]

AFFINITY_FACTOR = 2.0
"""Penalty on other servers, relative to the time to compute the shared prefix.

Above 1, since computing the prefix again also delays the requests queued behind
it."""


def shared_prefix(request):
    """Return ``(hash, tokens)`` of the prompt's shared prefix, or None.

    The hash covers every part of the prompt but the last, which is specific to the
    request or session.
    """
    if len(request.blocks) < 2 or not request.block_ends:
        return None
    return request.blocks[-2], request.block_ends[-2]


def server_preference(state, request, speed_per_s):
    """Return the preferred server of `request` and the penalty on all others, in ms.

    Parameters
    ----------
    state : NodeState
    request : Request
    speed_per_s : float
        Prompt tokens that a server computes each second.

    Returns
    -------
    tuple of (str, float)
        Name of the server and penalty in ms; ``("", 0.0)`` when the request
        has no shared prefix or the pool is empty.
    """
    shared = shared_prefix(request)
    server = preferred_server(state, request)
    if not server or speed_per_s <= 0:
        return "", 0.0
    return server, AFFINITY_FACTOR * 1000.0 * shared[1] / speed_per_s


def preferred_server(state, request):
    """Return the local server with affinity for the prefix of `request`, or ``""``."""
    shared = shared_prefix(request)
    if shared is None:
        return ""
    generation = state.replicas.pool_generation
    names = state.cached(
        ("pool names", request.pool),
        generation,
        lambda: [replica.name for replica in state.replicas.pool(request.pool)],
    )
    if not names:
        return ""
    return state.cached(
        ("preferred server", request.pool, shared[0]),
        generation,
        lambda: rendezvous_order(f"prompt:{shared[0]}", names)[0],
    )
