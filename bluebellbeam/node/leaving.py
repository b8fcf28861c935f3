"""Stop of a daemon: what it still takes in, and when its process ends.

Callers that have not heard of the stop come for a while. They are served as
long as the end of the process does not cut their answers off.
"""

from bluebellbeam.node.command import Exit, Log
from bluebellbeam.node.gossip import announce_leaving
from bluebellbeam.node.outcome import make_error
from bluebellbeam.routing import match_route

__all__ = ["begin_leaving", "check_leaving", "note_duration", "tick_leaving"]

RETRY_MS = 100
"""A caller refused by a leaving daemon is served by another one at once."""

TIME_FACTOR = 1.5
"""A stream is taken in if so many times its longest expected time is left."""

PACE_DECAY = 0.98
"""Share of the slowest pace that is left after each answer, so that one slow
answer is forgotten within about a hundred."""


def begin_leaving(state, now_ms):
    """Become unready and tell the peers; requests in flight go on."""
    if state.leaving:
        return
    state.leaving = True
    state.ready = False
    state.leaving_ms = now_ms
    announce_leaving(state, now_ms)
    state.emit(Log("node", f"leave with {len(state.requests)} requests in flight"))


def tick_leaving(state, now_ms):
    """End the process when nothing is in flight, or its grace is over."""
    if not state.leaving or state.stopped:
        return
    since_ms = now_ms - state.leaving_ms
    grace_ms = state.policy.leave_grace_ms
    over = grace_ms and since_ms >= grace_ms
    if not over and (state.requests or since_ms < state.policy.leave_linger_ms):
        return
    state.stopped = True
    state.emit(Log("node", f"stop with {len(state.requests)} requests in flight"))
    state.emit(Exit())


def check_leaving(state, request, now_ms):
    """Return the error of a request that the end of the process would cut off.

    Parameters
    ----------
    state : NodeState
    request : Request
        Not resolved yet.
    now_ms : int

    Returns
    -------
    CallerError or None
    """
    since_ms = now_ms - state.leaving_ms
    if since_ms < state.policy.leave_linger_ms:
        return None
    route = match_route(state.config.routes, request.host, request.path)
    if route is None or route.kind != "stream":
        return None
    longest_ms = _longest_ms(state, route, request.max_output_tokens)
    left_ms = state.policy.leave_grace_ms - since_ms
    if longest_ms is not None and TIME_FACTOR * longest_ms <= left_ms:
        return None
    return make_error("leaving", retry_after_ms=RETRY_MS)


def note_duration(state, request, held_ms):
    """Learn from an answer how long an output token takes, at most."""
    if request.max_output_tokens <= 0:
        return
    pace_ms = held_ms / request.max_output_tokens
    kept_ms = state.pool_pace_ms.get(request.pool, 0.0) * PACE_DECAY
    state.pool_pace_ms[request.pool] = max(pace_ms, kept_ms)


def _longest_ms(state, route, max_output_tokens):
    """Return the longest time that a stream may take, None if not known."""
    paces = [state.pool_pace_ms.get(f"s/{item.service}") for item in route.services]
    if max_output_tokens <= 0 or None in paces:
        return None
    return max(paces) * max_output_tokens
