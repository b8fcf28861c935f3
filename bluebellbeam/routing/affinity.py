"""Leaning of prompts towards the backend servers that hold their shared parts.

Every daemon ranks the servers of a pool by the same hash of the prompt's
longest shared part, so that daemons which exchange nothing send it to the same
server from the first request on, as consistent hashing with bounded loads
does [1]_: the lean is worth the time that computing the part again would take,
so a longer queue outweighs it.

References
----------
.. [1] Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
   loads", SODA 2018.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["preferred_server_penalty", "preferred_server", "shared_prefix"]

AFFINITY_FACTOR = 2.0
"""Worth of the lean, relative to the time to compute the shared part: computing
it again also holds up the requests behind it."""


def shared_prefix(request):
    """Return ``(hash, tokens)`` of the prompt's leading shared parts, or None.

    The last part of a prompt belongs to its request or session alone.
    """
    if len(request.blocks) < 2 or not request.block_ends:
        return None
    return request.blocks[-2], request.block_ends[-2]


def preferred_server_penalty(view, request, speed_per_s):
    """Return the server that `request` leans to and the lean in ms.

    Parameters
    ----------
    view : RoutingView
    request : Request
    speed_per_s : float
        Prompt tokens that a server computes each second.

    Returns
    -------
    tuple of (str, float)
        An empty name where the request leans nowhere.
    """
    shared = shared_prefix(request)
    first = preferred_server(view, request)
    if not first or speed_per_s <= 0:
        return "", 0.0
    return first, AFFINITY_FACTOR * 1000.0 * shared[1] / speed_per_s


def preferred_server(view, request):
    """Return the server of the own region that `request` leans to, or ``""``."""
    shared = shared_prefix(request)
    if shared is None:
        return ""
    changes = view.replicas.pool_generation
    names = view.cached(
        ("pool names", request.pool),
        changes,
        lambda: [row.name for row in view.replicas.pool(request.pool)],
    )
    if not names:
        return ""
    return view.cached(
        ("lean", request.pool, shared[0]),
        changes,
        lambda: rendezvous_order(f"prompt:{shared[0]}", names)[0],
    )
