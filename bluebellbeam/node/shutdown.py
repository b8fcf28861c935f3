"""Graceful shutdown of a daemon: admission of late requests and process exit.

The process lingers for a while, since callers that are not aware of the shutdown
yet still send requests.
"""

from bluebellbeam.admission import remove_request
from bluebellbeam.node.command import Exit, Log
from bluebellbeam.node.dispatch import fail_request
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.gossip import announce_leaving
from bluebellbeam.node.request_times import may_be_cut_off
from bluebellbeam.node.retry_after import SHUTDOWN_RETRY_AFTER_MS

__all__ = [
    "begin_shutdown",
    "shutdown_error",
    "tick_shutdown",
]


def begin_shutdown(state, now_ms):
    """Become unready and announce the shutdown; requests in flight continue."""
    if state.leaving:
        return
    state.leaving = True
    state.ready = False
    state.leaving_ms = now_ms
    announce_leaving(state, now_ms)
    state.emit(
        Log("node", f"shutdown begins with {len(state.requests)} requests in flight")
    )


def tick_shutdown(state, now_ms):
    """Exit once no request is in flight, or when the grace period has expired.

    The policy's `leave_linger_ms` is the shortest time until the exit and
    `leave_grace_ms` the longest; a grace period of 0 never expires.
    """
    if not state.leaving or state.stopped:
        return
    since_ms = now_ms - state.leaving_ms
    grace_ms = state.policy.leave_grace_ms
    grace_expired = grace_ms and since_ms >= grace_ms
    if not grace_expired and (
        state.requests or since_ms < state.policy.leave_linger_ms
    ):
        return
    state.stopped = True
    in_flight = len(state.requests)
    _fail_requests(state, now_ms)
    state.emit(Log("node", f"shutdown ends with {in_flight} requests in flight"))
    state.emit(Exit())


def _fail_requests(state, now_ms):
    """Report to the callers of all requests that the process ends.

    A request that no server was sent counts as not run, any other as unknown.
    """
    error = make_error("leaving", retry_after_ms=SHUTDOWN_RETRY_AFTER_MS)
    for request in list(state.requests.values()):
        if request.state == "queued":
            remove_request(state.queue(request.pool), request)
        fail_request(state, request, error, now_ms)


def shutdown_error(state, request, now_ms):
    """Return the error for a request that the process exit may interrupt, else None."""
    if not may_be_cut_off(state, request, now_ms):
        return None
    return make_error("leaving", retry_after_ms=SHUTDOWN_RETRY_AFTER_MS)
