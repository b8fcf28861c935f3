"""Ranking of the backend servers in the daemon's own region for a request.

Only a few candidates are scored: the least loaded servers of the pool and those
with the longest cached prefix. The cost of a decision does not grow with the
number of replicas.
"""

from itertools import islice

from msgspec import Struct

from bluebellbeam.routing.affinity import AFFINITY_FACTOR, server_preference
from bluebellbeam.routing.batch import has_batch_room, should_defer_batch
from bluebellbeam.routing.brittle import has_brittle_room, is_brittle
from bluebellbeam.routing.completion import exceeds_gap, may_complete
from bluebellbeam.routing.estimate import (
    estimate_local,
    prefill_speed,
    score_estimate,
)
from bluebellbeam.routing.placement import placed_server
from bluebellbeam.routing.prefix import cached_tokens, longest_prefix_servers
from bluebellbeam.routing.priority_separation import separation_penalty_ms
from bluebellbeam.routing.server_limit import may_send_limited
from bluebellbeam.routing.stream_origin import may_continue_at
from bluebellbeam.routing.warmup import is_cold, may_send_cold, may_send_unchecked

__all__ = ["Candidate", "rank_replicas"]

MAX_LEAST_LOADED = 4
"""Number of least loaded replicas that are scored."""

MAX_LEAST_LOADED_IF_PLACED = 2
"""That number for a prompt that is placed at an available server. With four, a decision
among 200 servers takes longer than 50 µs."""

MAX_PREFIX_SERVERS = 3
"""Number of replicas with the longest cached prefix that are scored."""

CROWDING_PENALTY_MS = 100.0
"""Penalty on a server of a service when all its slots are occupied, since it
generates tokens more slowly then; in proportion at other occupancies."""


GAP_PENALTY_MS = 60_000.0
"""Penalty on a server whose streams already exceed their longest permitted gap. Larger
than any expected wait, so another server with free capacity is preferred."""


class Candidate(Struct):
    """A scored backend server, kept for the decision log.

    Parameters
    ----------
    server : str
        Name of the server.
    score : float
        Expected wait plus penalties, in ms; lower is better.
    estimate : Estimate
    cached_tokens : int
        Leading prompt tokens estimated to be in the server's cache.
    """

    server: str
    score: float
    estimate: object
    cached_tokens: int


def rank_replicas(state, request, now_ms):
    """Return the backend servers that can be sent `request` now, scored, best first.

    Parameters
    ----------
    state : NodeState
        Replica table, prefix index and configuration.
    request : Request
    now_ms : int

    Returns
    -------
    list of Candidate
        Empty when no server of the daemon's region can, or when a batch request
        should stay queued.
    """
    region = state.base.regions[state.region]
    speed = prefill_speed(state.base, request)
    placed = placed_server(state, request, now_ms)
    replicas = _candidate_replicas(state, request, placed, now_ms)
    preferred, penalty_ms = "", 0.0
    if replicas and placed is None:
        preferred, penalty_ms = server_preference(state, request, speed)
    elif replicas and placed[0] and speed:
        preferred = placed[0]
        penalty_ms = AFFINITY_FACTOR * 1000.0 * placed[1] / speed
    gap_ms = request.route.pause_objective_ms if request.route is not None else 0
    scored = []
    for replica in replicas:
        cached = cached_tokens(
            state.prefixes, replica.name, request, state.block_tokens
        )
        estimate = estimate_local(replica, request, speed, region, cached, now_ms)
        if not may_complete(replica, request, estimate.first_token_ms, now_ms):
            continue
        score = score_estimate(estimate, state.objective)
        score += separation_penalty_ms(state, replica, request)
        if request.service:
            score += CROWDING_PENALTY_MS * replica.occupancy() / replica.slots
        if preferred and replica.name != preferred:
            score += penalty_ms
        if exceeds_gap(replica, estimate.uncached_tokens, gap_ms, now_ms):
            score += GAP_PENALTY_MS
        scored.append(Candidate(replica.name, score, estimate, cached))
    scored.sort(key=lambda item: (item.score, item.server))
    if scored and should_defer_batch(state, request, scored[0], now_ms):
        return []
    return scored


def is_available(state, replica, request, now_ms):
    """Return whether `replica` may be sent `request` now.

    A server that has not responded within the policy's `confirm_ms` may be
    leaving or may have been replaced; it needs a health check before use. One that
    this daemon may not reach gets one request at a time, and no forwarded one.
    """
    if replica.failure_domain in state.evacuated:
        return False
    if not may_continue_at(replica, request.stream_origin):
        return False
    if replica.unproven and (replica.inflight or request.origin):
        return False
    if is_cold(replica, now_ms) and not may_send_cold(state, replica, now_ms):
        return False
    if not may_send_unchecked(state, replica, now_ms):
        return False
    if not may_send_limited(state, replica, now_ms):
        return False
    if is_brittle(state.brittle, replica.service, now_ms):
        room = has_brittle_room(state, replica)
    elif request.priority == "batch":
        room = has_batch_room(replica)
    else:
        room = replica.free_slots(state.queue_slack) >= 1.0
    return (
        room
        and replica.is_confirmed(now_ms, state.policy.confirm_ms)
        and replica.ejected_until_ms <= now_ms
        and replica.name not in request.tried_targets
    )


def _candidate_replicas(state, request, placed, now_ms):
    """Return the available servers to score.

    `placed` is the result of :func:`placed_server`. With a server that the prompt is
    placed at, fewer others are needed.
    """
    least, longest = MAX_LEAST_LOADED, MAX_PREFIX_SERVERS
    found = []
    if placed is not None and placed[0]:
        replica = state.replicas.rows[placed[0]]
        if is_available(state, replica, request, now_ms):
            found.append(replica)
            least, longest = MAX_LEAST_LOADED_IF_PLACED, 1
    pool = state.replicas.pool(request.pool)
    # The few servers that may continue a stream need not be among the least loaded.
    examined = None if request.stream_origin is not None else MAX_LEAST_LOADED * 3
    wanted = len(found) + least
    for replica in islice(pool, examined):
        if replica not in found and is_available(state, replica, request, now_ms):
            found.append(replica)
            if len(found) == wanted:
                break
    if request.blocks:
        for name in longest_prefix_servers(state.prefixes, request.blocks, longest):
            replica = state.replicas.rows.get(name)
            if replica is None or replica in found or request.pool not in replica.pools:
                continue
            if is_available(state, replica, request, now_ms):
                found.append(replica)
    return found
