"""Rules that keep batch prompts out of the way of interactive requests.

A server computes prompts one after the other, so a short interactive prompt
that meets a long batch prompt waits for all of it. Batch work tolerates some
delay: it waits for the server that holds its prefix, and long prompts are not
computed on every server of a pool at once.
"""

from itertools import islice

from bluebellbeam.routing.estimate import prefill_speed, tokens_ahead
from bluebellbeam.routing.prefix import cached_blocks, deepest_holders

__all__ = ["should_defer_batch", "has_batch_room"]

INTERACTIVE_RESERVE_SHARE = 0.25
"""Share of a server's slots that batch requests leave free."""

MAX_AHEAD_TOKENS = 512
"""A batch prompt waits while its server has more of our tokens to compute."""

MAX_DEFERRAL_MS = 6000
"""Longest wait of a batch prompt for a better time or server: a tenth of the
shortest deadline of batch work in the examples."""

MIN_PREFIX_GAIN_TOKENS = 1024
"""Cached tokens that are worth this wait."""

LONG_PROMPT_TOKENS = 1024
"""Uncached tokens from which a batch prompt counts as long: computing them takes
128 ms at the examples' 8,000 a second, more than most short prompts altogether."""

MAX_LONG_SHARE = 0.5
"""Share of a pool's servers that may compute long prompts at one time; one
server always may."""

MAX_SERVERS_EXAMINED = 12
"""Least loaded servers of a pool that are looked at, so that a decision costs
the same in a large pool."""


def has_batch_room(row):
    """Return whether the server of `row` may be sent a batch request.

    Parameters
    ----------
    row : Replica
    """
    if row.free_slots() < 1.0 + INTERACTIVE_RESERVE_SHARE * row.slots:
        return False
    return row.inflight_tokens <= MAX_AHEAD_TOKENS


def should_defer_batch(view, request, best, now_ms):
    """Return whether a batch request had better stay in its queue for now.

    Parameters
    ----------
    view : RoutingView
    request : Request
    best : Candidate
        The server that it would be sent to.
    now_ms : int
    """
    if request.priority != "batch" or now_ms - request.arrival_ms > MAX_DEFERRAL_MS:
        return False
    return _should_wait_for_prefix(
        view, request, best, now_ms
    ) or _too_many_long_prompts(view, request, best, now_ms)


def _should_wait_for_prefix(view, request, best, now_ms):
    """Return whether a busy server holds much more of the prompt than `best`."""
    for name in deepest_holders(view.prefixes, request.blocks, 1):
        row = view.replicas.rows.get(name)
        if row is None or request.pool not in row.pools:
            continue
        if row.ejected_until_ms > now_ms or name in request.tried:
            continue
        held = cached_blocks(view.prefixes, name, request.blocks) * view.block_tokens
        return held - best.cached_tokens >= MIN_PREFIX_GAIN_TOKENS
    return False


def _too_many_long_prompts(view, request, best, now_ms):
    """Return whether a long prompt on `best` would leave too few others clear.

    Clear servers compute no long prompt; at least half of the pool stays so,
    with some free slots for the interactive requests that then go there.
    """
    if best.estimate.uncached_tokens < LONG_PROMPT_TOKENS:
        return False
    speed = prefill_speed(view.base, request)
    rows = list(islice(view.replicas.pool(request.pool), MAX_SERVERS_EXAMINED))
    clear = [
        row
        for row in rows
        if row.name != best.server
        and tokens_ahead(row, speed, now_ms) < LONG_PROMPT_TOKENS
    ]
    if len(rows) - len(clear) > max(1.0, MAX_LONG_SHARE * len(rows)):
        return True
    free = sum(row.free_slots() for row in clear)
    return free < INTERACTIVE_RESERVE_SHARE * sum(row.slots for row in clear)
