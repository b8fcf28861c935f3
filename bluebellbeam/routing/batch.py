"""Rules that limit how much batch prompts delay interactive requests.

A server computes prompts one after the other, so a short interactive prompt
queued behind a long batch prompt waits until that is computed. Batch requests
tolerate some delay: they wait for the server that has their prefix cached, and
long prompts are not computed on every server of a pool at the same time.
"""

from itertools import islice

from bluebellbeam.routing.estimate import prefill_speed, tokens_ahead
from bluebellbeam.routing.prefix import cached_blocks, longest_prefix_servers

__all__ = ["has_batch_room", "should_defer_batch"]

INTERACTIVE_RESERVE_SHARE = 0.25
"""Share of the slots that batch requests leave free for interactive requests."""

MAX_AHEAD_TOKENS = 512
"""Uncached prompt tokens of this daemon in flight at a server above which no batch
request is sent to it."""

MAX_DEFERRAL_MS = 6000
"""Longest time for which a batch request is deferred: a tenth of the shortest
batch deadline in the example configurations."""

MIN_PREFIX_GAIN_TOKENS = 1024
"""Additional cached prompt tokens for which a batch request waits for a busy
server."""

LONG_PROMPT_TOKENS = 1024
"""Uncached tokens from which a batch prompt counts as long. Computing them takes
128 ms at the 8,000 tokens/s of the example configurations, longer than most short
prompts take as a whole."""

MAX_LONG_SHARE = 0.5
"""Share of a pool's servers that may compute long prompts at the same time; one
server always may."""

MAX_SERVERS_EXAMINED = 12
"""Number of least loaded servers examined, which bounds the cost of a decision in
a large pool."""


def has_batch_room(replica):
    """Return whether `replica` has capacity for a batch request.

    It must keep slots free for interactive requests, and have few prompt tokens of
    this daemon to compute.

    Parameters
    ----------
    replica : Replica
    """
    if replica.free_slots() < 1.0 + INTERACTIVE_RESERVE_SHARE * replica.slots:
        return False
    return replica.inflight_tokens <= MAX_AHEAD_TOKENS


def should_defer_batch(state, request, best, now_ms):
    """Return whether a batch request should stay queued instead of being sent.

    Parameters
    ----------
    state : NodeState
    request : Request
    best : Candidate
        The candidate with the lowest score.
    now_ms : int
    """
    if request.priority != "batch" or now_ms - request.arrival_ms > MAX_DEFERRAL_MS:
        return False
    return _should_wait_for_prefix(
        state, request, best, now_ms
    ) or _too_many_long_prompts(state, request, best, now_ms)


def _should_wait_for_prefix(state, request, best, now_ms):
    """Return whether a busy server has much more of the prompt cached than `best`."""
    for name in longest_prefix_servers(state.prefixes, request.blocks, 1):
        replica = state.replicas.rows.get(name)
        if replica is None or request.pool not in replica.pools:
            continue
        if replica.ejected_until_ms > now_ms or name in request.tried_targets:
            continue
        cached = (
            cached_blocks(state.prefixes, name, request.blocks) * state.block_tokens
        )
        return cached - best.cached_tokens >= MIN_PREFIX_GAIN_TOKENS
    return False


def _too_many_long_prompts(state, request, best, now_ms):
    """Return whether a long prompt on `best` would leave too few servers without one.

    Of the servers examined, at least a share of ``1 - MAX_LONG_SHARE`` must have no
    long prompt to compute, and `INTERACTIVE_RESERVE_SHARE` of their slots together
    must be free for interactive requests.
    """
    if best.estimate.uncached_tokens < LONG_PROMPT_TOKENS:
        return False
    speed = prefill_speed(state.base, request)
    replicas = list(islice(state.replicas.pool(request.pool), MAX_SERVERS_EXAMINED))
    without_long = [
        replica
        for replica in replicas
        if replica.name != best.server
        and tokens_ahead(replica, speed, now_ms) < LONG_PROMPT_TOKENS
    ]
    if len(replicas) - len(without_long) > max(1.0, MAX_LONG_SHARE * len(replicas)):
        return True
    free = sum(replica.free_slots() for replica in without_long)
    return free < INTERACTIVE_RESERVE_SHARE * sum(
        replica.slots for replica in without_long
    )
