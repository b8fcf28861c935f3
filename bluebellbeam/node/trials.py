"""Trial requests to servers that are expected to be too slow without recent evidence.

A request is rejected if no server is expected to respond to it in time. Such an
estimate can only be corrected by responses, so if it alone decided, a pool that was
slow once would be sent nothing for ever.
"""

from bluebellbeam.routing import cached_tokens, may_continue_at
from bluebellbeam.routing.estimate import prefill_speed, prompt_base_ms

__all__ = ["may_try", "record_evidence"]

EVIDENCE_MS = 1_000
"""Age up to which a response of a server supports the rejection of a request."""

TRIALS_PER_S = 4
"""Requests per second and service that this daemon sends although they are expected to
be late. Enough to correct the moving averages within a second or two."""


class Trials:
    """Evidence and trial requests of one pool.

    Attributes
    ----------
    evidence_ms : int or None
        Time of the last response of a server of the pool; None if there was none.
    window_ms : int
        Start of the current second of trial requests.
    count : int
        Trial requests sent in it.
    """

    __slots__ = ("evidence_ms", "window_ms", "count")

    def __init__(self):
        self.evidence_ms = None
        self.window_ms = 0
        self.count = 0


def record_evidence(state, pool, now_ms):
    """Record that a server of `pool` has responded to a request of this daemon."""
    state.trials.setdefault(pool, Trials()).evidence_ms = now_ms


def may_try(state, request, left_ms, now_ms):
    """Return whether a request that is expected to be late is sent as a trial.

    That is so if no server of its pool has responded lately, one with a free slot and
    the usual duration could respond in time, and this daemon has sent fewer than
    `TRIALS_PER_S` trial requests in this second. A request is counted once.

    Parameters
    ----------
    state : NodeState
    request : Request
    left_ms : float
        Time in which the request has to start.
    now_ms : int
    """
    if request.is_trial:
        return True
    trials = state.trials.setdefault(request.pool, Trials())
    if trials.evidence_ms is not None and now_ms - trials.evidence_ms <= EVIDENCE_MS:
        return False
    if not _may_be_in_time(state, request, left_ms, now_ms):
        return False
    if now_ms - trials.window_ms >= 1_000:
        trials.window_ms = now_ms
        trials.count = 0
    if trials.count >= TRIALS_PER_S:
        return False
    trials.count += 1
    request.is_trial = True
    return True


def _may_be_in_time(state, request, left_ms, now_ms):
    """Return whether a free server could respond in time if it is as fast as usual."""
    speed = prefill_speed(state.base, request)
    for row in state.replicas.pool(request.pool):
        if (
            row.free_slots() < 1.0
            or row.limit_per_s is not None
            or row.ejected_until_ms > now_ms
            or row.failure_domain in state.evacuated
            or not may_continue_at(row, request.stream_origin)
        ):
            continue
        cached = cached_tokens(state.prefixes, row.name, request, state.block_tokens)
        usual_ms = prompt_base_ms(row, request, speed, cached, now_ms)
        if (usual_ms if speed else request.expected_ms) <= left_ms:
            return True
    return False
