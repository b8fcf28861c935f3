"""Whether a request whose attempt has failed is tried again."""

from bluebellbeam.recovery import take_credit

__all__ = ["REFUSED_RETRY_AFTER_MS", "count_sends", "consume_retry"]

MAX_ROUTED_ATTEMPTS = 6
"""Tries of one routed request, those that reached no server included."""

ROUTED_RESUME_TIMEOUT_MS = 1500
"""Time that a routed stream may wait for another server; callers leave a
stream that pauses for two seconds."""


RESUME_TIMEOUT_MS = 5000
"""Time that a broken stream may wait for another engine."""

REFUSED_RETRY_AFTER_MS = 500
"""A server that had no room is likely to have some after one more answer."""


def count_sends(request, sends):
    """Count the servers to which the request may have been sent.

    A peer that has not told may have used up all that the route allows.
    """
    if sends is None:
        request.sends = max(request.sends, request.max_attempts)
    else:
        request.sends += sends


def consume_retry(state, request, not_run, now_ms):
    """Return whether a request is tried again; pay for it from its budget.

    Parameters
    ----------
    state : NodeState
    request : Request
    not_run : bool
        Whether the attempt that failed has surely not run it.
    now_ms : int
    """
    if not request.idempotent and not not_run:
        return False
    if not _has_attempts_left(state, request):
        return False
    if not request.started and now_ms >= request.start_deadline_ms:
        return False
    if not _is_first_send(request) and not take_credit(state.retry_budget(request)):
        return False
    state.counters.retries += 1
    if request.started:
        state.counters.resumes += 1
        _extend_for_resume(request, now_ms)
    return True


def _is_first_send(request):
    """Return whether a routed request has reached no server yet."""
    return request.route is not None and request.sends == 0


def _has_attempts_left(state, request):
    """Return whether the request may be sent once more.

    A routed request counts the servers to which it may have been sent; one
    that could not be reached does not count there, but among all attempts.
    """
    if request.route is None:
        return request.attempts < state.policy.max_attempts
    if request.attempts >= MAX_ROUTED_ATTEMPTS:
        return False
    return request.sends < request.max_attempts


def _extend_for_resume(request, now_ms):
    if request.route is None:
        request.deadline_ms = max(request.deadline_ms, now_ms + RESUME_TIMEOUT_MS)
        return
    request.queue_deadline_ms = min(
        request.answer_deadline_ms, now_ms + ROUTED_RESUME_TIMEOUT_MS
    )
