"""Index of the prompt prefixes that each engine is estimated to have cached.

The estimate is built from the requests sent to the engine and from its cache
events, which arrive late and may be lost. It is bounded for each engine; the
least recently used blocks are evicted first.
"""

import bisect
from collections import OrderedDict

__all__ = [
    "PrefixIndex",
    "apply_cache_events",
    "cached_blocks",
    "cached_tokens",
    "longest_prefix_servers",
    "make_prefix_index",
    "record_prefix",
    "remove_server_blocks",
]


class PrefixIndex:
    """Cached prefix blocks by engine and engines by block.

    Attributes
    ----------
    blocks_by_server : dict of str to OrderedDict
        Hashes of the cached blocks of each engine, least recently used first.
    servers_by_block : dict of int to set of str
        Engines that have each block cached.
    max_blocks : int
        Largest number of blocks kept for each engine.
    sequences : dict of str to int
        Sequence number of the last cache event of each engine.
    gaps : int
        Number of gaps found in the sequences of cache events.
    """

    __slots__ = (
        "blocks_by_server",
        "servers_by_block",
        "max_blocks",
        "sequences",
        "gaps",
    )

    def __init__(self, max_blocks):
        self.blocks_by_server = {}
        self.servers_by_block = {}
        self.max_blocks = max_blocks
        self.sequences = {}
        self.gaps = 0


def make_prefix_index(max_blocks=512):
    """Return an empty index that keeps at most `max_blocks` for each engine."""
    return PrefixIndex(max_blocks)


def record_prefix(index, server, blocks):
    """Record that `server` was sent a prompt with `blocks`."""
    cached = index.blocks_by_server.setdefault(server, OrderedDict())
    for block in blocks:
        if block in cached:
            cached.move_to_end(block)
        else:
            cached[block] = None
            index.servers_by_block.setdefault(block, set()).add(server)
    while len(cached) > index.max_blocks:
        block, _ = cached.popitem(last=False)
        _remove_server_from_block(index, server, block)


def cached_blocks(index, server, blocks):
    """Return the number of leading `blocks` that `server` is estimated to have.

    Notes
    -----
    The hash of a block covers the whole prefix up to it, so cached blocks precede
    the missing ones and the count is found by bisection.
    """
    cached = index.blocks_by_server.get(server)
    if not cached or not blocks or blocks[0] not in cached:
        return 0
    return bisect.bisect_left(blocks, True, key=lambda block: block not in cached)


def cached_tokens(index, server, request, block_tokens):
    """Return the leading prompt tokens that `server` is estimated to have cached.

    Each block has `block_tokens` tokens, unless the request gives the end of each
    of its blocks in `block_ends`.
    """
    blocks = cached_blocks(index, server, request.blocks)
    if not blocks:
        return 0
    if request.block_ends:
        return request.block_ends[blocks - 1]
    return min(blocks * block_tokens, request.prompt_tokens)


def longest_prefix_servers(index, blocks, count):
    """Return up to `count` servers with the longest cached prefix of `blocks`.

    Returns
    -------
    list of str
        Longest prefix first, ties by name. After the deepest cached block, the
        depth is halved at each step, so not every prefix length is examined.
    """
    servers_by_block = index.servers_by_block
    depth = bisect.bisect_left(
        blocks, True, key=lambda block: block not in servers_by_block
    )
    found = []
    while depth and len(found) < count:
        for server in sorted(servers_by_block.get(blocks[depth - 1], ())):
            if server not in found:
                found.append(server)
        depth //= 2
    return found[:count]


def apply_cache_events(index, events):
    """Apply cache `events`; a gap in their sequence is counted and tolerated."""
    last = index.sequences.get(events.server)
    if last is not None and events.last_sequence <= last:
        return
    if last is not None and events.first_sequence > last + 1:
        index.gaps += 1
    index.sequences[events.server] = events.last_sequence
    cached = index.blocks_by_server.get(events.server)
    if cached is not None:
        for block in events.dropped:
            if block in cached:
                del cached[block]
                _remove_server_from_block(index, events.server, block)
    if events.added:
        record_prefix(index, events.server, events.added)


def remove_server_blocks(index, server):
    """Remove every block of `server`, whose cache has been lost."""
    cached = index.blocks_by_server.pop(server, None)
    index.sequences.pop(server, None)
    for block in cached or ():
        _remove_server_from_block(index, server, block)


def _remove_server_from_block(index, server, block):
    servers = index.servers_by_block.get(block)
    if servers is None:
        return
    servers.discard(server)
    if not servers:
        del index.servers_by_block[block]
