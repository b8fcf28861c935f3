"""Pause detection: drops leases and cached state after a suspension.

A process that was suspended may hold leases that have expired and server state
that is out of date.
"""

from bluebellbeam.admission import remove_request
from bluebellbeam.borrowing import make_borrower_table, make_lender_table
from bluebellbeam.node.command import Log
from bluebellbeam.node.dispatch import fail_request, queue_timeout_error
from bluebellbeam.routing import require_confirmation

__all__ = ["detect_pause"]


def detect_pause(state, now_ms):
    """Drop leases and cached state if the last tick is at least `policy.pause_ms` ago.

    Runs before the event or tick that ends a pause is handled, so that no
    request is sent on the basis of state from before the pause.

    Returns
    -------
    bool
        Whether a pause was detected.
    """
    last_ms = state.last_tick_ms
    if last_ms is None or now_ms - last_ms < state.policy.pause_ms:
        return False
    state.last_tick_ms = now_ms
    state.counters.pauses += 1
    state.emit(
        Log(
            "node", f"paused for {now_ms - last_ms} ms; leases and cached state dropped"
        )
    )
    state.lender = make_lender_table()
    running = state.borrower.forwarded_requests
    state.borrower = make_borrower_table()
    state.borrower.forwarded_requests = running
    state.probe_schedule.pending.clear()
    state.order_read_ms.clear()
    state.feed_requested_ms.clear()
    _expire_queued(state, now_ms)
    for row in state.replicas.rows.values():
        require_confirmation(state.replicas, row)
    _reset_readiness(state, now_ms)
    return True


def _expire_queued(state, now_ms):
    for request in list(state.requests.values()):
        if request.state == "queued" and now_ms >= request.deadline_ms:
            remove_request(state.queue(request.pool), request)
            fail_request(
                state, request, queue_timeout_error(state, request, now_ms), now_ms
            )


def _reset_readiness(state, now_ms):
    state.ready = False
    state.probe_responses = 0
    state.peers_responded.clear()
    state.started_ms = now_ms
