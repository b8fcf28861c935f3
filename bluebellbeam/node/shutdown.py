"""Stop of a daemon: what it still takes in, and when its process ends.

Callers that have not heard of the stop come for a while.
"""

from bluebellbeam.node.command import Exit, Log
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.gossip import announce_leaving
from bluebellbeam.routing import match_route

__all__ = ["begin_shutdown", "shutdown_error", "tick_shutdown"]

SHUTDOWN_RETRY_AFTER_MS = 100
"""A caller refused by a leaving daemon is served by another one at once."""


def begin_shutdown(state, now_ms):
    """Become unready and tell the peers; requests in flight go on."""
    if state.leaving:
        return
    state.leaving = True
    state.ready = False
    state.leaving_ms = now_ms
    announce_leaving(state, now_ms)
    state.emit(Log("node", f"leave with {len(state.requests)} requests in flight"))


def tick_shutdown(state, now_ms):
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


def shutdown_error(state, request, now_ms):
    """Return the error of a request that the end of the process may cut off.

    Short calls are served as long as they come. How long a stream takes is not
    known beforehand, so one that comes late is refused.

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
    if now_ms - state.leaving_ms < state.policy.leave_linger_ms:
        return None
    route = match_route(state.config.routes, request.host, request.path)
    if route is None or route.kind != "stream":
        return None
    return make_error("leaving", retry_after_ms=SHUTDOWN_RETRY_AFTER_MS)
