"""Choice of a server from which another one copies a cached prompt prefix.

Copying cached blocks between servers takes less time than computing them again
and leaves the receiving server's compute time to other requests.
"""

from bluebellbeam.routing.affinity import preferred_server, shared_prefix
from bluebellbeam.routing.prefix import cached_blocks, longest_prefix_servers

__all__ = ["prefix_source"]

MIN_COPY_TOKENS = 512
"""Fewest missing tokens for which a copy is made. Computing this many takes 10 to
12 ms on the engines of the two deployments; setting up a copy takes 2.5 to
3.3 ms."""

MAX_SOURCES_EXAMINED = 4
"""Number of servers with the longest cached prefix that are examined."""


def prefix_source(state, request, target, now_ms):
    """Return the server from which `target` should copy the prefix, or None.

    Parameters
    ----------
    state : NodeState
    request : Request
    target : Replica
        Server that the request is sent to and that lacks the prefix.
    now_ms : int

    Returns
    -------
    Replica or None
        A server to which this daemon has sent the prefix, or the server that
        every daemon of the region prefers for it. None when too few tokens are
        missing or no such server is usable.
    """
    shared = shared_prefix(request)
    if shared is None:
        return None
    parts = request.blocks[:-1]
    cached = cached_blocks(state.prefixes, target.name, parts)
    missing = shared[1] - (request.block_ends[cached - 1] if cached else 0)
    if missing < MIN_COPY_TOKENS:
        return None
    names = longest_prefix_servers(state.prefixes, parts, MAX_SOURCES_EXAMINED)
    names.append(preferred_server(state, request))
    for name in names:
        replica = state.replicas.rows.get(name)
        if replica is not None and _is_usable_source(
            state, request, replica, target, now_ms
        ):
            return replica
    return None


def _is_usable_source(state, request, replica, target, now_ms):
    """Return whether `target` may copy from `replica`, a usable and warm server."""
    return (
        replica is not target
        and request.pool in replica.pools
        and replica.ejected_until_ms <= now_ms
        and replica.failure_domain not in state.evacuated
        and replica.cold_until_ms is not None
        and replica.cold_until_ms <= now_ms
    )
