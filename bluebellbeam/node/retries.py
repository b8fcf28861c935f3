"""Retry rules for requests whose attempt has failed."""

from bluebellbeam.recovery import take_credit

__all__ = ["REFUSED_RETRY_AFTER_MS", "consume_retry", "add_sends"]

MAX_ROUTED_ATTEMPTS = 6
"""Most attempts of one routed request, including those that reached no server."""

ROUTED_RESUME_TIMEOUT_MS = 1500
"""Longest time that a broken routed stream waits for another server; callers drop a
stream that pauses for two seconds."""


RESUME_TIMEOUT_MS = 5000
"""Longest time that any other broken stream waits for another engine."""

REFUSED_RETRY_AFTER_MS = 500
"""Shortest delay recommended to the caller of a request that did not run; by then a
full server has probably finished another request."""


def add_sends(request, sends):
    """Add the servers to which an attempt may have sent the request.

    Parameters
    ----------
    request : Request
    sends : int or None
        Number of these servers. None if the peer did not report it; it may then
        have used up all sends that the route allows.
    """
    if sends is None:
        request.sends = max(request.sends, request.max_attempts)
    else:
        request.sends += sends


def consume_retry(state, request, not_run, now_ms):
    """Return whether a request may be retried, and charge the retry to its budget.

    A routed request that has reached no server yet is retried without a charge. A
    broken stream that may be retried gets a later queue deadline.

    Parameters
    ----------
    state : NodeState
    request : Request
    not_run : bool
        Whether the failed attempt is known not to have run.
    now_ms : int
    """
    if not request.idempotent and not not_run:
        return False
    if not _has_attempts_left(state, request):
        return False
    if not request.response_started and now_ms >= request.start_deadline_ms:
        return False
    if not _is_first_send(request) and not take_credit(state.retry_budget(request)):
        return False
    state.counters.retries += 1
    if request.response_started:
        state.counters.resumes += 1
        _extend_queue_time(request, now_ms)
    return True


def _is_first_send(request):
    """Return whether a routed request has reached no server yet."""
    return request.route is not None and request.sends == 0


def _has_attempts_left(state, request):
    """Return whether the limits on attempts allow another one.

    For a routed request, the route limits the number of servers to which it may
    have been sent. `MAX_ROUTED_ATTEMPTS` limits all attempts, including those at
    servers that could not be reached.
    """
    if request.route is None:
        return request.attempts < state.policy.max_attempts
    if request.attempts >= MAX_ROUTED_ATTEMPTS:
        return False
    return request.sends < request.max_attempts


def _extend_queue_time(request, now_ms):
    """Extend the queue deadline of a broken stream that is to be resumed."""
    if request.route is None:
        request.deadline_ms = max(request.deadline_ms, now_ms + RESUME_TIMEOUT_MS)
        return
    request.queue_deadline_ms = min(
        request.response_deadline_ms, now_ms + ROUTED_RESUME_TIMEOUT_MS
    )
