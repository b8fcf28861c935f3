"""Dispatch of queued requests to backend servers or peers."""

import msgspec

from bluebellbeam.admission import (
    PRIORITIES,
    next_requests,
    pop_request,
    remove_request,
)
from bluebellbeam.borrowing import count_forwarded, find_held_lease
from bluebellbeam.membership import usable_members
from bluebellbeam.node.command import CancelAttempt, SendErrorResponse, StartAttempt
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.forwarding import (
    choose_faster_peer,
    choose_forward_peer,
    choose_offload_peer,
    describe_choice,
)
from bluebellbeam.node.lending import may_run_locally, remote_score
from bluebellbeam.node.load_exchange import announce_long_prompt
from bluebellbeam.node.queue_rates import record_queue_start
from bluebellbeam.node.quotas import refund_quota
from bluebellbeam.node.reachability import has_lost_servers, has_usable_server
from bluebellbeam.node.request import Attempt
from bluebellbeam.node.request_times import may_be_cut_off
from bluebellbeam.node.retry_after import SHUTDOWN_RETRY_AFTER_MS
from bluebellbeam.node.server_checks import check_unconfirmed
from bluebellbeam.node.server_limits import record_restricted_servers
from bluebellbeam.node.targets import may_be_passed
from bluebellbeam.node.trials import may_try, record_evidence
from bluebellbeam.node.wait_estimates import (
    local_wait_ms,
    own_slot_share,
    pool_replicas,
    pool_slots,
)
from bluebellbeam.operations import mark_sent, record_outcome, release_operation
from bluebellbeam.quarantine import retried_names
from bluebellbeam.recovery import add_credit
from bluebellbeam.routing import (
    is_cold,
    prefix_source,
    rank_replicas,
    record_prefix,
    record_request_end,
    record_request_start,
    record_send,
)
from bluebellbeam.routing.estimate import (
    earliest_first_token_ms,
    prefill_speed,
    prompt_base_ms,
)
from bluebellbeam.routing.policies import choose_baseline_target, is_baseline

__all__ = [
    "attempt_replica",
    "dispatch_all_pools",
    "dispatch_pool",
    "dispatch_server_pools",
    "end_attempt",
    "end_request",
    "fail_request",
    "queue_timeout_error",
    "start_second_attempt",
]


def dispatch_all_pools(state, now_ms):
    """Dispatch requests from every queue while there is room."""
    for pool in [pool for pool, queue in state.queues.items() if queue.size]:
        dispatch_pool(state, pool, now_ms)


def dispatch_server_pools(state, server, now_ms):
    """Dispatch requests of the pools of a server that has just responded."""
    row = state.replicas.rows.get(server)
    for pool in row.pools if row is not None else ():
        if "@" not in pool:
            dispatch_pool(state, pool, now_ms)


def dispatch_pool(state, pool, now_ms):
    """Dispatch requests of `pool` while there is room.

    Requests are considered in the order of the fair queue. Once the local
    region has no room, only workspaces that hold a lease in another region are
    considered.
    """
    queue = state.queues.get(pool)
    while queue is not None and queue.size:
        if not _dispatch_next(state, queue, pool, now_ms):
            check_unconfirmed(state, pool, now_ms)
            return


def _dispatch_next(state, queue, pool, now_ms):
    """Start or fail the next request of the queue that can leave it.

    Returns
    -------
    bool
        Whether a request has left the queue.
    """
    blocked = _exhausted_priorities(state, pool, now_ms)
    leased = {lease.workspace for lease in state.borrower.rows.values()}
    for request in next_requests(
        queue, now_ms, lambda request: may_be_passed(state, request)
    ):
        if now_ms >= request.start_deadline_ms:
            remove_request(queue, request)
            fail_request(
                state, request, queue_timeout_error(state, request, now_ms), now_ms
            )
            return True
        if _may_be_sent_too_late(state, request, now_ms):
            remove_request(queue, request)
            error = make_error("leaving", retry_after_ms=SHUTDOWN_RETRY_AFTER_MS)
            fail_request(state, request, error, now_ms)
            return True
        full = request.priority in blocked
        if (
            full
            and request.route is None
            and request.workspace not in leased
            and may_run_locally(state, request)
        ):
            continue
        started, no_room = _try_start(state, queue, request, full, now_ms)
        if started:
            return True
        if no_room:
            blocked.add(request.priority)
        if len(blocked) == len(PRIORITIES) and not leased:
            return False
    return False


def _may_be_sent_too_late(state, request, now_ms):
    """Return whether a call would be cut off by the exit of this process.

    A stream that was admitted is sent all the same: it may be resumed elsewhere.
    """
    is_call = request.route is not None and request.route.kind != "stream"
    return is_call and may_be_cut_off(state, request, now_ms)


def queue_timeout_error(state, request, now_ms):
    """Return the error of a request whose deadline passed in the queue."""
    if request.response_started or request.emitted_tokens:
        return make_error("upstream_truncated")
    retry_ms = state.retry_after_ms(request, 0.0, now_ms)
    if request.urgency and not request.attempts:
        return make_error("deadline_unreachable", retry_after_ms=retry_ms)
    return make_error("deadline_passed", retry_after_ms=retry_ms)


def _exhausted_priorities(state, pool, now_ms):
    """Return the priorities that have used up this daemon's share of the slots.

    The share includes the queue slack of the servers and is at least one request.
    """
    slots = pool_slots(state, pool)
    exhausted = set()
    for priority in ("interactive", "batch"):
        share = own_slot_share(state, pool, priority, now_ms)
        if share >= 1.0:
            continue
        quota = max(1.0, slots * (1.0 + state.queue_slack) * share)
        if state.inflight.get((pool, priority), 0) >= quota:
            exhausted.add(priority)
    return exhausted


def _try_start(state, queue, request, full, now_ms):
    """Try to start an attempt of `request`.

    Parameters
    ----------
    full : bool
        Whether its priority has used up this daemon's share of the slots.

    Returns
    -------
    started : bool
        Whether the request has left the queue, started or failed.
    no_room : bool
        Whether the local region can take no other request of its priority either.
    """
    if is_baseline(state.routing_policy):
        return _start_baseline(state, queue, request, now_ms), False
    local = []
    if not full and may_run_locally(state, request):
        local = rank_replicas(state, request, now_ms)
    if request.route is not None:
        return _start_routed(state, queue, request, local, now_ms)
    lease = find_held_lease(
        state.borrower, request.pool, request.workspace, request.allowed, now_ms
    )
    if lease is not None and lease.lender in request.tried_targets:
        lease = None
    if lease is not None and _prefers_lease(state, request, local, lease):
        return _start_at_peer(state, queue, request, lease, now_ms), False
    if local:
        return _start_at_server(state, queue, request, local, now_ms), False
    # A batch prompt may be deferred until the server that has its prefix cached is
    # free, although the region has room for other requests.
    deferred = request.priority == "batch" and request.blocks
    return False, (
        may_run_locally(state, request) and not request.tried_targets and not deferred
    )


def _start_routed(state, queue, request, local, now_ms):
    """Start a routed request locally or forward it; see :func:`_try_start`."""
    if local:
        local_ms = local[0].estimate.first_token_ms
        member = choose_offload_peer(state, request, now_ms)
        if member is None:
            member = choose_faster_peer(state, request, local_ms, now_ms)
        if member is None:
            return _start_at_server(state, queue, request, local, now_ms), False
    else:
        member = choose_forward_peer(state, request, now_ms)
    if member is None and not local and _is_stranded(state, request):
        remove_request(queue, request)
        is_lost = has_lost_servers(state, request)
        code = "servers_unreachable" if is_lost else "no_backend"
        fail_request(state, request, make_error(code), now_ms)
        return True, False
    if member is not None:
        choice = describe_choice(state, request, member, now_ms)
        pop_request(queue, request)
        attempt = _new_attempt(state, request, now_ms)
        _send_to_peer(state, attempt, member)
        state.log_request(
            request,
            "forward to a peer",
            peer=member.name,
            region=member.region,
            heard_age_ms=now_ms - member.heard_ms,
            waited_ms=now_ms - request.arrival_ms,
            **choice,
            **record_restricted_servers(state, request, now_ms),
        )
        state.record_decision(
            request.request_id, ("peer", now_ms, member.name, member.region, "")
        )
        return True, False
    no_room = may_run_locally(state, request) and not request.tried_targets
    return False, no_room and not may_be_passed(state, request)


def _is_stranded(state, request):
    """Return whether a forwarded request waits at a daemon without a usable server.

    The daemon that forwarded it can try others.
    """
    return bool(request.origin) and not has_usable_server(state, request)


def _prefers_lease(state, request, local, lease):
    """Return whether a held lease suits the request better than the local region.

    Parameters
    ----------
    local : list of Candidate
        Scored backend servers of the region, best first; may be empty.
    lease : HeldLease
    """
    if not may_run_locally(state, request):
        return True
    offer = state.borrower.offers.get((lease.lender, lease.pool))
    if offer is None:
        return not local
    remote = remote_score(state, request, offer)
    if local:
        return remote < local[0].score
    local_ms = local_wait_ms(state, request.pool, request)
    if local_ms is None:
        return True
    return remote < local_ms * state.objective.latency_weight


def _start_at_server(state, queue, request, candidates, now_ms):
    """Start an attempt at the best candidate, or fail a request that would be late.

    Returns True, since the request leaves the queue in both cases.
    """
    best = candidates[0]
    row = state.replicas.rows[best.server]
    left_ms = request.deadline_ms - now_ms
    if (
        best.estimate.first_token_ms > left_ms
        and _earliest_ms(state, row, request, best, now_ms) > left_ms
        and not request.response_started
        and not may_try(state, request, left_ms, now_ms)
    ):
        remove_request(queue, request)
        wait_ms = int(best.estimate.first_token_ms)
        error = make_error("deadline_unreachable", retry_after_ms=wait_ms)
        fail_request(state, request, error, now_ms)
        return True
    pop_request(queue, request)
    if not _mark_operation_sent(state, request, now_ms):
        return True
    attempt = _new_attempt(state, request, now_ms)
    source = _send_to_server(state, attempt, row, best, now_ms)
    state.record_decision(request.request_id, ("server", now_ms, candidates[:6]))
    state.log_request(
        request,
        "send to a backend server",
        server=row.name,
        expected_ms=round(best.estimate.first_token_ms),
        score_ms=round(best.score),
        cached_tokens=best.cached_tokens,
        prefix_source=source.name if source is not None else "",
        running=row.inflight,
        others=round(row.peer_inflight, 1),
        report_age_ms=now_ms - row.reported_ms if row.reported_ms else None,
        waited_ms=now_ms - request.arrival_ms,
        cold=is_cold(row, now_ms),
        **_version_field(row.version),
    )
    return True


def _earliest_ms(state, row, request, candidate, now_ms):
    speed = prefill_speed(state.base, request)
    cached = candidate.cached_tokens
    return earliest_first_token_ms(row, request, speed, cached, now_ms)


def _version_field(version):
    """Return the log field with the software version of a server, if it has one."""
    return {"version": version} if version else {}


def _send_to_server(state, attempt, row, candidate, now_ms):
    """Send an attempt to the server of `row`.

    Returns
    -------
    Replica or None
        The server from which `row` is to copy cached prompt prefixes.
    """
    request = attempt.request
    attempt.expected_ms = candidate.estimate.first_token_ms
    attempt.base_ms = prompt_base_ms(
        row,
        request,
        prefill_speed(state.base, request),
        candidate.cached_tokens,
        attempt.started_ms,
    )
    attempt.expected_uncached_tokens = candidate.estimate.uncached_tokens
    source = prefix_source(state, request, row, now_ms)
    if request.blocks:
        record_prefix(state.prefixes, row.name, request.blocks)
    _emit_to_server(state, attempt, row, source)
    announce_long_prompt(
        state, request, attempt.expected_uncached_tokens, attempt.started_ms
    )
    return source


def _emit_to_server(state, attempt, row, source=None):
    """Emit the command that sends an attempt to `row`, and count it as in flight.

    Parameters
    ----------
    source : Replica, optional
        The server from which `row` is to copy cached prompt prefixes.
    """
    request = attempt.request
    attempt.server = row.name
    attempt.server_incarnation = row.incarnation
    attempt.server_version = row.version
    record_send(row, attempt.started_ms)
    record_request_start(state.replicas, row, attempt.expected_uncached_tokens)
    _count_inflight(state, request, 1)
    state.emit(
        StartAttempt(
            attempt.attempt_id,
            request,
            server=row.name,
            incarnation=row.incarnation,
            address=row.address,
            resume_tokens=request.emitted_tokens,
            expires_ms=request.deadline_ms,
            prefix_source=source.address if source is not None else "",
        )
    )


def _start_at_peer(state, queue, request, lease, now_ms):
    """Forward a request under a held lease; return whether it has left the queue."""
    member = state.members.rows.get(lease.lender)
    if member is None:
        return False
    pop_request(queue, request)
    if not _mark_operation_sent(state, request, now_ms):
        return True
    attempt = _new_attempt(state, request, now_ms)
    attempt.lease_id = lease.lease_id
    lease.used += 1
    _send_to_peer(state, attempt, member)
    entry = ("peer", now_ms, lease.lender, lease.region, lease.lease_id)
    state.record_decision(request.request_id, entry)
    return True


def _send_to_peer(state, attempt, member):
    """Emit the command that forwards an attempt, and count it as forwarded."""
    request = attempt.request
    attempt.peer = member.name
    count_forwarded(state.borrower, request.pool, request.workspace, 1)
    state.counters.forwarded += 1
    if request.blocks:
        record_prefix(state.prefixes, f"peer:{member.name}", request.blocks)
    state.emit(
        StartAttempt(
            attempt.attempt_id,
            request,
            peer=member.name,
            peer_address=member.peer_address,
            lease_id=attempt.lease_id,
            retried_names=tuple(sorted(attempt.retried_names)),
            resume_tokens=request.emitted_tokens,
            expires_ms=request.deadline_ms,
        )
    )


def _start_baseline(state, queue, request, now_ms):
    """Start an attempt by a baseline policy; return whether it has left the queue."""
    targets = _baseline_targets(state, request, now_ms)
    if not targets:
        return False
    state.baseline_choices += 1
    name = choose_baseline_target(state.routing_policy, targets, state.baseline_choices)
    pop_request(queue, request)
    if not _mark_operation_sent(state, request, now_ms):
        return True
    attempt = _new_attempt(state, request, now_ms)
    member = state.members.rows.get(name)
    if member is not None:
        _send_to_peer(state, attempt, member)
        return True
    row = state.replicas.rows[name]
    _emit_to_server(state, attempt, row)
    return True


def _baseline_targets(state, request, now_ms):
    """Return the name and the requests in flight of each permitted target."""
    targets = []
    if may_run_locally(state, request):
        targets = [
            (row.name, row.inflight)
            for row in pool_replicas(state, request.pool)
            if row.ejected_until_ms <= now_ms and row.name not in request.tried_targets
        ]
    if not request.origin:
        targets += _baseline_peers(state, request)
    return sorted(targets)


def _baseline_peers(state, request):
    """Return the name and the requests in flight of each permitted peer."""
    running = {}
    for attempt in state.attempts.values():
        if attempt.peer:
            running[attempt.peer] = running.get(attempt.peer, 0) + 1
    return [
        (row.name, running.get(row.name, 0))
        for row in usable_members(state.members)
        if row.region != state.region
        and row.region in request.allowed
        and row.status == "alive"
        and row.name not in request.tried_targets
    ]


def _count_inflight(state, request, change):
    """Add `change` to the requests in flight of the request's pool and priority."""
    key = (request.pool, request.priority)
    state.inflight[key] = max(0, state.inflight.get(key, 0) + change)


def _mark_operation_sent(state, request, now_ms):
    """Mark the operation of a request as sent; fail the request if it already was.

    Returns
    -------
    bool
        Whether the request may be sent.
    """
    if request.idempotent or request.origin or request.route is not None:
        return True
    if mark_sent(state.ledger, request.operation_id):
        return True
    fail_request(state, request, make_error("operation_unknown"), now_ms)
    return False


def _new_attempt(state, request, now_ms):
    """Add an attempt; the first of a request credits the retry and hedge budgets."""
    if request.urgency:
        record_queue_start(state, request, now_ms)
    state.next_attempt_id += 1
    attempt = Attempt(state.next_attempt_id, request, "", "", now_ms)
    known = retried_names(state.evidence, request.content_names)
    attempt.retried_names = request.retried_names | known
    state.attempts[attempt.attempt_id] = attempt
    request.running_attempts.append(attempt)
    request.state = "running"
    if request.attempts == 0:
        add_credit(state.retry_budget(request))
        add_credit(state.hedges)
    request.attempts += 1
    state.counters.attempts += 1
    return attempt


def start_second_attempt(state, request, now_ms):
    """Start a concurrent attempt of a running request at another server.

    Returns
    -------
    Attempt or None
        None when no other server of the region can take it.
    """
    used = {attempt.server for attempt in request.running_attempts}
    tried = request.tried_targets
    request.tried_targets = tried | used
    candidates = rank_replicas(state, request, now_ms)
    request.tried_targets = tried
    if not candidates or not may_run_locally(state, request):
        return None
    attempt = _new_attempt(state, request, now_ms)
    row = state.replicas.rows[candidates[0].server]
    _send_to_server(state, attempt, row, candidates[0], now_ms)
    state.record_decision(request.request_id, ("hedge", now_ms, candidates[:6]))
    return attempt


def attempt_replica(state, attempt):
    """Return the server of an attempt, or None if it has ended or was replaced.

    A server may be started again under the same name while an attempt at its previous
    incarnation runs; the end of that attempt says nothing about the new one.

    Returns
    -------
    Replica or None
    """
    row = state.replicas.rows.get(attempt.server)
    if row is None or row.incarnation != attempt.server_incarnation:
        return None
    return row


def end_attempt(state, attempt, now_ms, completed):
    """Remove an attempt and release the capacity that it used.

    Parameters
    ----------
    completed : bool
        Whether it gave a complete response; only then does its duration count in
        the average service time.
    """
    state.attempts.pop(attempt.attempt_id, None)
    request = attempt.request
    if attempt in request.running_attempts:
        request.running_attempts.remove(attempt)
    if attempt.peer:
        count_forwarded(state.borrower, request.pool, request.workspace, -1)
        lease = state.borrower.rows.get(attempt.lease_id)
        if lease is not None:
            lease.used -= 1
        return
    _count_inflight(state, request, -1)
    row = attempt_replica(state, attempt)
    if row is None:
        return
    if attempt.response_started_ms is None:
        row.inflight_tokens = max(
            0, row.inflight_tokens - attempt.expected_uncached_tokens
        )
    if completed:
        record_evidence(state, request.pool, now_ms)
    held_ms = now_ms - attempt.started_ms if completed else None
    record_request_end(state.replicas, row, held_ms, now_ms)
    if completed:
        old_ms = state.pool_service_ms.get(request.pool, float(held_ms))
        state.pool_service_ms[request.pool] = old_ms + (held_ms - old_ms) * 0.1


def end_request(state, request):
    """Remove a request that has its final response and release its lease slot."""
    request.state = "ended"
    state.requests.pop(request.request_id, None)
    if request.lease_id:
        lease = state.lender.rows.get(request.lease_id)
        if lease is not None:
            lease.used -= 1


def fail_request(state, request, error, now_ms):
    """Answer a request with its final error and cancel its attempts.

    The outcome ``not_run`` becomes ``unknown`` if an attempt may have been sent.
    """
    if request.state == "ended":
        return
    maybe_run = request.maybe_sent or bool(request.running_attempts)
    if not maybe_run:
        refund_quota(state, request, now_ms)
    if maybe_run and error.outcome == "not_run":
        error = msgspec.structs.replace(error, outcome="unknown")
    for attempt in list(request.running_attempts):
        state.emit(CancelAttempt(attempt.attempt_id))
        end_attempt(state, attempt, now_ms, completed=False)
    end_request(state, request)
    _settle_operation(state, request, error)
    errors = state.counters.errors
    errors[error.code] = errors.get(error.code, 0) + 1
    state.record_decision(
        request.request_id, ("error", now_ms, error.code, error.outcome)
    )
    state.log_request(
        request,
        f"give up: {error.code}",
        outcome=error.outcome,
        age_ms=now_ms - request.arrival_ms,
        tried=sorted(request.tried_targets),
    )
    state.emit(SendErrorResponse(request.request_id, error))


def _settle_operation(state, request, error):
    """Release the operation of a failed request, or record its outcome as unknown."""
    if request.idempotent or request.origin or request.route is not None:
        return
    if error.outcome == "not_run":
        release_operation(state.ledger, request.operation_id)
    else:
        record_outcome(state.ledger, request.operation_id, "unknown", None)
