"""Responses and failures of attempts, with retries, resumed streams and hedges."""

from bluebellbeam.admission import push_request, remove_request
from bluebellbeam.borrowing import drop_lender, record_shortage
from bluebellbeam.node.brittle_services import pause_brittle_server
from bluebellbeam.node.command import CancelAttempt
from bluebellbeam.node.dispatch import (
    attempt_replica,
    dispatch_pool,
    end_attempt,
    end_request,
    fail_request,
    queue_timeout_error,
    start_second_attempt,
)
from bluebellbeam.node.errors import ERRORS, make_error
from bluebellbeam.node.forwarding import exclude_region, is_turned_away
from bluebellbeam.node.lending import LENDER_BACKOFF_MS
from bluebellbeam.node.reachability import (
    record_failed_connection,
    record_failed_contact,
)
from bluebellbeam.node.reconfiguration import apply_config_to_routed
from bluebellbeam.node.regional_load import exclude_rejecting_region
from bluebellbeam.node.request_quarantine import (
    ANSWERED_MS,
    is_quarantined,
    record_answered_request,
    record_lost_forward,
    record_lost_request,
    record_refused_connection,
)
from bluebellbeam.node.request_times import record_request_time
from bluebellbeam.node.retries import REFUSED_RETRY_AFTER_MS, add_sends, consume_retry
from bluebellbeam.node.server_checks import (
    apply_response_load,
    record_lost_server,
    record_server_return,
)
from bluebellbeam.node.stream_origins import tell_origin
from bluebellbeam.node.targets import has_target_left
from bluebellbeam.node.trials import record_evidence
from bluebellbeam.node.urgency import set_queue_order
from bluebellbeam.operations import mark_not_run, record_outcome
from bluebellbeam.origins import UnconfirmedVersion
from bluebellbeam.recovery import (
    record_failure,
    record_success,
    take_credit,
    update_pace,
)
from bluebellbeam.routing import (
    UNKNOWN_VERSION,
    StreamOrigin,
    record_full,
    record_response,
)
from bluebellbeam.routing.completion import record_events, record_stream_end

__all__ = [
    "handle_attempt_failed",
    "handle_attempt_finished",
    "handle_attempt_refused",
    "handle_attempt_started",
    "handle_caller_disconnect",
    "handle_stream_progress",
    "tick_requests",
]

HEDGE_DELAY_FACTOR = 3.0
"""A service call is hedged after this many times its expected time."""

MIN_HEDGE_DELAY_MS = 20
"""Shortest time after which a service call is hedged."""

STALL_DELAY_FACTOR = 4.0
"""A first token is overdue after this many times its expected time."""

MIN_STALL_DELAY_MS = 2500
"""Shortest time after which a first token is overdue."""

UNSERVED_CODES = frozenset({"no_backend", "stream_version_gone"})
"""Error codes of a peer whose region has no server for the request."""

SHORTAGE_CODES = frozenset(
    {"bodies_full", "deadline_passed", "deadline_unreachable", "queue_full"}
)
"""Error codes of a peer that serves such requests, but not all of them in time."""

CONFIG_CODES = frozenset({"config_ahead", "config_behind", "config_differs"})
"""Error codes of a peer that say nothing about its load."""

NON_RETRYABLE_CODES = frozenset(
    {
        "not_permitted",
        "region_not_permitted",
        "bad_request",
        "prompt_quarantined",
        "request_quarantined",
    }
)
"""Error codes for which there is no retry, since every other backend server would
return them as well."""


def handle_attempt_started(state, event, now_ms):
    """Record the start of a response and cancel the request's other attempts."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is not None and attempt.response_started_ms is None:
        _record_start(state, attempt, event.origin, now_ms)


def _record_start(state, attempt, origin, now_ms):
    attempt.response_started_ms = now_ms
    request = attempt.request
    _confirm_server(state, attempt, now_ms)
    if not request.response_started:
        _record_origin(state, request, attempt, origin, now_ms)
    request.response_started = True
    for other in list(request.running_attempts):
        if other is not attempt:
            state.emit(CancelAttempt(other.attempt_id))
            end_attempt(state, other, now_ms, completed=False)
    row = attempt_replica(state, attempt)
    if row is None:
        return
    row.inflight_tokens = max(0, row.inflight_tokens - attempt.expected_uncached_tokens)
    observed_ms = now_ms - attempt.started_ms
    record_evidence(state, request.pool, now_ms)
    if attempt.base_ms:
        update_pace(state.replicas, row, observed_ms, attempt.base_ms, now_ms)


def handle_stream_progress(state, event, now_ms):
    """Record the intervals between the events of a running stream."""
    attempt = state.attempts.get(event.attempt_id)
    row = attempt_replica(state, attempt) if attempt is not None else None
    if row is None:
        return
    record_response(row, now_ms)
    if event.load is not None:
        apply_response_load(state, row, event.load, now_ms)
    record_events(row, event.events, event.elapsed_ms, event.longest_gap_ms, now_ms)


def _record_origin(state, request, attempt, origin, now_ms):
    """Record where the stream of a routed request began, with its first event.

    Parameters
    ----------
    state : NodeState
    request : Request
    attempt : Attempt
    origin : StreamOrigin or None
        As reported by the peer that the request was forwarded to.
    now_ms : int
    """
    if request.route is None or request.route.kind != "stream":
        return
    unconfirmed = None
    if request.stream_origin is None:
        version = attempt.server_version
        if origin is None and _is_version_doubtful(state, attempt, now_ms):
            unconfirmed = UnconfirmedVersion(
                version, attempt.server, attempt.server_incarnation
            )
            version = UNKNOWN_VERSION
        own = StreamOrigin(request.service, version)
        request.stream_origin = origin or own
    tell_origin(state, request, now_ms, unconfirmed)


def _is_version_doubtful(state, attempt, now_ms):
    """Return whether the server may have started again at another version."""
    row = state.replicas.rows.get(attempt.server)
    if row is None or row.incarnation != attempt.server_incarnation:
        return True
    return row.is_version_doubtful or state.is_list_settling(now_ms)


def _confirm_server(state, attempt, now_ms):
    """Record that the backend server of the attempt has responded."""
    row = attempt_replica(state, attempt)
    if row is not None:
        record_response(row, now_ms)
        record_server_return(state, row, attempt.started_ms, now_ms)
        state.failed_connections.pop(row.service, None)


def handle_attempt_finished(state, event, now_ms):
    """Record a complete response and end its request."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return
    if attempt.response_started_ms is None:
        _record_start(state, attempt, None, now_ms)
    request = attempt.request
    _confirm_server(state, attempt, now_ms)
    if event.delimited or now_ms - attempt.response_started_ms >= ANSWERED_MS:
        record_answered_request(state, attempt, now_ms)
    row = attempt_replica(state, attempt)
    if row is not None:
        record_success(row)
        if event.output_tokens:
            record_stream_end(row, event.output_tokens, request.max_output_tokens)
    end_attempt(state, attempt, now_ms, completed=True)
    record_request_time(state, request, now_ms)
    if row is not None and event.load is not None:
        apply_response_load(state, row, event.load, now_ms)
    end_request(state, request)
    state.counters.answered += 1
    state.log_request(
        request,
        "answered",
        target=attempt.server or attempt.peer,
        took_ms=now_ms - request.arrival_ms,
        first_ms=attempt.response_started_ms - request.arrival_ms,
    )
    if not request.idempotent and not request.origin and request.route is None:
        record_outcome(state.ledger, request.operation_id, "ran", event.answer)
    state.record_decision(
        request.request_id, ("answered", now_ms, attempt.server or attempt.peer)
    )
    dispatch_pool(state, request.pool, now_ms)


def handle_attempt_refused(state, event, now_ms):
    """Handle an error response to an attempt: retry or fail the request."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return
    request = attempt.request
    error = event.error
    not_run = error.outcome == "not_run"
    add_sends(request, event.sends)
    end_attempt(state, attempt, now_ms, completed=False)
    state.counters.refused += 1
    code = _refusal_code(attempt, error)
    if attempt.peer and code not in CONFIG_CODES:
        _record_peer_refusal(state, attempt, error, now_ms)
    if attempt.peer and code == "upstream_failed" and not not_run:
        record_lost_forward(attempt)
    row = attempt_replica(state, attempt)
    if row is not None:
        _record_server_refusal(state, row, event, now_ms)
    if not not_run:
        request.maybe_sent = True
    if code in NON_RETRYABLE_CODES:
        fail_request(state, request, error, now_ms)
    else:
        _retry_or_fail(state, request, attempt, not_run, code, now_ms)
    dispatch_pool(state, request.pool, now_ms)


def _refusal_code(attempt, error):
    """Return the code of the refusal of an attempt.

    This daemon has found a routed request valid, so a peer that finds it invalid has
    another configuration. Its verdict is not the answer to the caller.
    """
    is_forward = attempt.peer and attempt.request.route is not None
    if is_forward and ERRORS[error.code].status < 500:
        return "config_differs"
    return error.code


def _record_peer_refusal(state, attempt, error, now_ms):
    """Record that a peer refused a forwarded request for want of room or servers."""
    request = attempt.request
    until_ms = now_ms + max(LENDER_BACKOFF_MS, min(error.retry_after_ms, 10_000))
    key = (attempt.peer, request.pool)
    state.borrower.refused_until_ms[key] = until_ms
    if error.code in SHORTAGE_CODES:
        request.is_refused_for_room = True
        record_shortage(state.borrower, *key, now_ms + LENDER_BACKOFF_MS)
    else:
        state.borrower.unable_until_ms[key] = until_ms
    exclude_rejecting_region(state, request, attempt.peer, now_ms)
    state.borrower.rows.pop(attempt.lease_id, None)
    if error.code in UNSERVED_CODES and request.route is not None:
        exclude_region(state, request, attempt.peer)


def _record_server_refusal(state, row, event, now_ms):
    """Update the load and health of a backend server that refused a request."""
    if event.error.code == "server_changed":
        record_failed_contact(state, row, event.error.code)
        return
    row.unproven = False
    pause_brittle_server(state, row, now_ms)
    if event.load is not None:
        apply_response_load(state, row, event.load, now_ms)
        return
    # A server that asked for a pause has said itself when it has room again.
    if row.paused_until_ms > now_ms:
        return
    record_full(state.replicas, row, state.queue_slack, now_ms)
    record_failure(state.replicas, row, state.policy, now_ms, state.rng)


def handle_attempt_failed(state, event, now_ms):
    """Handle an attempt without a complete response: retry or fail the request."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return
    request = attempt.request
    end_attempt(state, attempt, now_ms, completed=False)
    request.maybe_sent = request.maybe_sent or event.sent
    if event.sent:
        add_sends(request, event.sends)
    request.emitted_tokens = max(request.emitted_tokens, event.emitted_tokens)
    row = attempt_replica(state, attempt)
    if attempt.server and not event.sent:
        record_failed_connection(state, request.service)
    if row is not None:
        record_failure(state.replicas, row, state.policy, now_ms, state.rng)
        if not event.sent or (row.listed and event.lost_connection):
            record_failed_contact(state, row, event.reason)
    if event.lost_connection and event.sent:
        record_lost_request(state, attempt, now_ms)
    elif event.refused_connection:
        key = (attempt.server, attempt.server_incarnation)
        record_refused_connection(state, key, now_ms)
        record_lost_server(state, *key, now_ms)
    if attempt.peer:
        drop_lender(state.borrower, attempt.peer)
    _retry_or_fail(
        state,
        request,
        attempt,
        not event.sent,
        _failure_code(request, event),
        now_ms,
        event.reason,
    )
    dispatch_pool(state, request.pool, now_ms)


def _failure_code(request, event):
    """Return the error code for a failed attempt if there is no retry."""
    if request.response_started or event.emitted_tokens:
        return "upstream_truncated"
    if event.reason == "timeout":
        return "upstream_timeout"
    if event.sent:
        return "upstream_failed"
    # The daemon that forwarded it takes `no_backend` as a statement on the region.
    is_routed_forward = request.origin and request.route is not None
    return "servers_unreachable" if is_routed_forward else "no_backend"


def _retry_or_fail(state, request, attempt, not_run, code, now_ms, reason=""):
    """Requeue the request for another attempt, or fail it if none is allowed.

    Parameters
    ----------
    attempt : Attempt
        The attempt that has just ended.
    not_run : bool
        Whether the attempt is known not to have run.
    code : str
        Code of the final error if there is no retry.
    reason : str
        Cause of the failure, for the log only.
    """
    if request.state == "ended" or request.running_attempts:
        return
    request.tried_targets.add(attempt.server or attempt.peer)
    entry = ("failed", now_ms, attempt.server or attempt.peer, code)
    state.record_decision(request.request_id, entry)
    state.log_request(
        request,
        f"attempt failed: {code}",
        target=attempt.server or attempt.peer,
        reason=reason,
        not_run=not_run,
        took_ms=now_ms - attempt.started_ms,
        **_start_fields(request, attempt, now_ms),
    )
    if (
        has_target_left(state, request)
        and not is_turned_away(state, request, now_ms)
        and not is_quarantined(state, request)
        and consume_retry(state, request, not_run, now_ms)
    ):
        if not request.idempotent and not request.origin and not request.route:
            mark_not_run(state.ledger, request.operation_id)
        _requeue(state, request)
        if request.route is not None and not request.response_started:
            apply_config_to_routed(state, request, now_ms)
        return
    outcome = "unknown" if request.maybe_sent else "not_run"
    retry_ms = 0
    if outcome == "not_run":
        retry_ms = max(
            REFUSED_RETRY_AFTER_MS, state.retry_after_ms(request, 0.0, now_ms)
        )
    error = make_error(code, outcome=outcome, retry_after_ms=retry_ms)
    fail_request(state, request, error, now_ms)


def _start_fields(request, attempt, now_ms):
    """Return the log fields on how far a failed attempt at a server got.

    They tell which requests a server was about to answer when it ended.
    """
    if not attempt.server:
        return {}
    started_ms = attempt.response_started_ms
    return {
        "answered_for_ms": None if started_ms is None else now_ms - started_ms,
        "prompt_parts": request.prompt_parts,
        "content_names": request.content_names,
    }


def _requeue(state, request):
    """Return the request to the front of its workspace's queue."""
    request.state = "queued"
    # The workspace may have been removed since the request was admitted.
    workspace = state.base.workspaces.get(request.workspace)
    weight = workspace.weight if workspace is not None else 1.0
    set_queue_order(state, request)
    push_request(state.queue(request.pool), request, weight, front=True)


def handle_caller_disconnect(state, event, now_ms):
    """Cancel the request of a caller that has closed its connection."""
    request = state.requests.get(event.request_id)
    if request is None:
        return
    if request.state == "queued":
        remove_request(state.queue(request.pool), request)
    fail_request(state, request, make_error("caller_left"), now_ms)
    dispatch_pool(state, request.pool, now_ms)


def tick_requests(state, now_ms):
    """Fail requests past their deadline; hedge or retry overdue attempts."""
    for request in list(state.requests.values()):
        if request.state == "queued":
            _tick_queued(state, request, now_ms)
        elif request.response_deadline_ms and now_ms >= request.response_deadline_ms:
            fail_request(state, request, make_error("upstream_timeout"), now_ms)
            dispatch_pool(state, request.pool, now_ms)
        elif request.state == "running" and not request.response_started:
            _tick_unanswered(state, request, now_ms)


def _tick_queued(state, request, now_ms):
    """Fail a queued request whose queue deadline has passed."""
    if now_ms < request.start_deadline_ms:
        return
    remove_request(state.queue(request.pool), request)
    fail_request(state, request, queue_timeout_error(state, request, now_ms), now_ms)


def _tick_unanswered(state, request, now_ms):
    """Time out, hedge or retry a running request whose response has not begun.

    A slow service call is hedged. A prompt whose first token is overdue counts as a
    failure of its server, and gets a second attempt at most once. Forwarded, routed
    and non-idempotent requests only time out.
    """
    if now_ms >= request.deadline_ms + _deadline_grace_ms(request):
        fail_request(state, request, make_error("upstream_timeout"), now_ms)
        dispatch_pool(state, request.pool, now_ms)
        return
    if len(request.running_attempts) != 1 or not request.idempotent or request.origin:
        return
    if request.route is not None:
        return
    attempt = request.running_attempts[0]
    waited_ms = now_ms - attempt.started_ms
    if request.service:
        due_ms = max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * attempt.expected_ms)
        if waited_ms >= due_ms and take_credit(state.hedges):
            _hedge(state, request, now_ms)
        return
    due_ms = max(MIN_STALL_DELAY_MS, STALL_DELAY_FACTOR * attempt.expected_ms)
    if waited_ms < due_ms or request.stalled or not attempt.server:
        return
    request.stalled = True
    row = attempt_replica(state, attempt)
    if row is not None:
        update_pace(state.replicas, row, waited_ms, attempt.base_ms, now_ms)
        record_failure(state.replicas, row, state.policy, now_ms, state.rng)
    if take_credit(state.retries):
        state.counters.retries += 1
        start_second_attempt(state, request, now_ms)


def _hedge(state, request, now_ms):
    """Start a second attempt of a service call, if another server can take it."""
    if start_second_attempt(state, request, now_ms) is not None:
        state.counters.hedges += 1


def _deadline_grace_ms(request):
    """Return how long past its deadline a running request may still be answered."""
    return 0 if request.service else 2000
