"""Choice of a server from which another one copies a prompt's shared parts.

Copying cached parts between servers takes less time than computing them again
and leaves the receiving server's steps to other requests.
"""

from bluebellbeam.routing.affinity import preferred_server, shared_prefix
from bluebellbeam.routing.prefix import cached_blocks, deepest_holders

__all__ = ["prefix_source"]

MIN_COPY_TOKENS = 512
"""Fewer missing tokens are computed: that takes 10 to 12 ms on the engines of the
two deployments, and setting a copy up takes 2.5 to 3.3 ms."""

MAX_HOLDERS = 4
"""Holders that are looked at."""


def prefix_source(view, request, target, now_ms):
    """Return the server that `target` is to copy shared parts from, or None.

    Parameters
    ----------
    view : RoutingView
    request : Request
    target : Replica
        Server that the request is sent to.
    now_ms : int

    Returns
    -------
    Replica or None
        A server that was sent the parts by this daemon, or that the other
        daemons of the region send them to.
    """
    shared = shared_prefix(request)
    if shared is None:
        return None
    parts = request.blocks[:-1]
    held = cached_blocks(view.prefixes, target.name, parts)
    missing = shared[1] - (request.block_ends[held - 1] if held else 0)
    if missing < MIN_COPY_TOKENS:
        return None
    names = deepest_holders(view.prefixes, parts, MAX_HOLDERS)
    names.append(preferred_server(view, request))
    for name in names:
        row = view.replicas.rows.get(name)
        if row is not None and _is_usable_source(view, request, row, target, now_ms):
            return row
    return None


def _is_usable_source(view, request, row, target, now_ms):
    return (
        row is not target
        and request.pool in row.pools
        and row.ejected_until_ms <= now_ms
        and row.failure_domain not in view.evacuated
        and row.cold_until_ms is not None
        and row.cold_until_ms <= now_ms
    )
