"""Validation, admission and queueing of new requests."""

import msgspec

from bluebellbeam.admission import (
    cost_ahead,
    local_rate,
    push_request,
    take_tokens,
)
from bluebellbeam.borrowing import find_granted_lease, fresh_offers
from bluebellbeam.config.effective import resolve_model
from bluebellbeam.membership import usable_members
from bluebellbeam.node.caller_keys import count_workspace_request, record_rejected_key
from bluebellbeam.node.command import SendErrorResponse, SendRecordedResponse
from bluebellbeam.node.dispatch import dispatch_pool
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.feed_sync import offer_config, request_config
from bluebellbeam.node.lending import (
    borrow_limit,
    may_run_locally,
    remote_score,
    request_lease,
    workspace_active_count,
    workspace_role,
)
from bluebellbeam.node.queue_rates import record_queue_arrival
from bluebellbeam.node.quotas import charge_quota, quota_limit, refund_quota
from bluebellbeam.node.reachability import count_usable_servers, has_lost_servers
from bluebellbeam.node.regional_load import record_routed_demand
from bluebellbeam.node.request_quarantine import check_quarantine
from bluebellbeam.node.retry_after import START_MS, start_retry_after_ms
from bluebellbeam.node.routed import expected_routed_start_ms, resolve_route
from bluebellbeam.node.server_limits import record_restricted_servers
from bluebellbeam.node.shutdown import shutdown_error
from bluebellbeam.node.stream_origins import is_continued, start_lookup
from bluebellbeam.node.trials import may_try
from bluebellbeam.node.urgency import displace_less_urgent
from bluebellbeam.node.wait_estimates import local_wait_ms
from bluebellbeam.operations import (
    Busy,
    Claimed,
    Expired,
    Foreign,
    Invalid,
    LedgerFull,
    Recorded,
    claim_operation,
    issue_operation,
    may_have_run,
)
from bluebellbeam.routing import has_shared_machines
from bluebellbeam.routing.entry import rank_entries
from bluebellbeam.routing.policies import is_baseline

__all__ = [
    "admit_charged",
    "admit_continued",
    "entry_addresses_for_workspace",
    "receive_request",
]

NO_BACKEND_RETRY_AFTER_MS = 2000
"""Retry-After time when no region has a server: new ones register within seconds."""


def receive_request(state, request, now_ms):
    """Admit a request to its queue, or answer it at once.

    A request is answered at once when a check rejects it or, for a repeated
    operation, when its response is recorded.
    """
    state.counters.requests += 1
    request.arrival_ms = now_ms
    error = _check_daemon(state, request, now_ms)
    if error is None and request.origin:
        error = _check_sender(state, request)
    if error is None:
        error = _resolve(state, request, now_ms)
        if request.origin:
            error = _confirm_decision(state, request, error, now_ms)
        if error is None:
            count_workspace_request(state, request, now_ms)
    if error is None and is_continued(request):
        found, origin = start_lookup(state, request, now_ms)
        if found:
            admit_continued(state, request, origin, now_ms)
        else:
            request.state = "waiting"
            state.requests[request.request_id] = request
        return
    _admit(state, request, error, now_ms)


def admit_continued(state, request, origin, now_ms):
    """Admit a request that resumes a stream, or answer it at once.

    Parameters
    ----------
    state : NodeState
    request : Request
    origin : StreamOrigin or None
        Where the stream began; None if that is not known.
    now_ms : int
    """
    if request.state == "ended":
        return
    request.state = "queued"
    request.stream_origin = origin
    if origin is None:
        error = make_error("stream_origin_unknown")
    else:
        error = _resolve(state, request, now_ms)
    _admit(state, request, error, now_ms)


def _admit(state, request, error, now_ms):
    """Queue a request whose route is resolved, or answer it at once.

    Parameters
    ----------
    state : NodeState
    request : Request
    error : CallerError or None
        Error of an earlier check.
    now_ms : int
    """
    has_quota = not request.origin and (
        quota_limit(state, request.workspace) is not None
    )
    if not has_quota:
        _record_arrival(state, request, now_ms)
    if error is None and request.origin:
        error = _check_forwarded(state, request, now_ms)
    if error is None:
        error = check_quarantine(state, request, now_ms)
    if error is None and not request.origin and not has_quota:
        error = _check_queue_size(state, request, now_ms)
        error = error or _check_rate(state, request, now_ms)
    if error is None:
        error = _check_deadline(state, request, now_ms)
    if has_quota and error is not None:
        # Not charged: demand that this daemon cannot serve, not traffic over the quota.
        _record_arrival(state, request, now_ms)
    elif has_quota:
        ended, error = charge_quota(state, request, now_ms)
        if not ended:
            request.state = "waiting"
            state.requests[request.request_id] = request
            return
        if error is None:
            _record_arrival(state, request, now_ms)
            error = _check_queue_size(state, request, now_ms)
    _admit_charged(state, request, error, now_ms)


def _record_arrival(state, request, now_ms):
    """Count a request as demand on its pool.

    A request over the quota of its workspace is not counted: it would raise the
    expected waits of others, and cause offloading to other regions.
    """
    if request.urgency:
        record_queue_arrival(state, request, now_ms)
    if request.route is not None and has_shared_machines(state, request.service):
        record_routed_demand(state, request, now_ms)


def admit_charged(state, request, error, now_ms):
    """Queue a request that has waited for tokens, or answer it at once.

    Parameters
    ----------
    state : NodeState
    request : Request
    error : CallerError or None
        Error if the quota does not allow the request.
    now_ms : int
    """
    if request.state == "ended":
        return
    request.state = "queued"
    if error is None:
        error = _resolve(state, request, request.arrival_ms)
        _record_arrival(state, request, now_ms)
    if error is None:
        error = _check_deadline(state, request, now_ms)
    if error is None:
        error = _check_queue_size(state, request, now_ms)
    _admit_charged(state, request, error, now_ms)


def _admit_charged(state, request, error, now_ms):
    if error is not None and may_have_run(state.ledger, request.operation_id):
        error = msgspec.structs.replace(error, outcome="unknown")
    if error is None and not request.origin and not _is_repeat_safe(request):
        error = _claim_operation(state, request, now_ms)
    if error is not None:
        _reject(state, request, error, now_ms)
        return
    if request.state == "ended":
        refund_quota(state, request, now_ms)
        return
    _enqueue(state, request, now_ms)


def _is_repeat_safe(request):
    """Return whether the request may be processed without an operation id.

    An idempotent request may run more than once. A routed request carries an id
    of its own and is forwarded at most once.
    """
    return request.idempotent or request.route is not None


def _reject(state, request, error, now_ms):
    """Answer a request that is not admitted with its error."""
    request.state = "ended"
    state.requests.pop(request.request_id, None)
    refund_quota(state, request, now_ms)
    fields = record_restricted_servers(state, request, now_ms)
    if request.route is not None:
        fields["usable_servers"] = count_usable_servers(state, request)
    errors = state.counters.errors
    errors[error.code] = errors.get(error.code, 0) + 1
    if error.code == "unknown_key":
        fields |= record_rejected_key(state, request)
    state.record_decision(
        request.request_id, ("error", now_ms, error.code, error.outcome)
    )
    state.log_request(
        request,
        f"refuse: {error.code}",
        outcome=error.outcome,
        retry_after_ms=error.retry_after_ms,
        pool=request.pool,
        **fields,
    )
    state.emit(SendErrorResponse(request.request_id, error))


def _enqueue(state, request, now_ms):
    """Queue an admitted request and try to dispatch it at once."""
    state.requests[request.request_id] = request
    if request.lease_id:
        lease = state.lender.rows.get(request.lease_id)
        if lease is not None:
            lease.used += 1
    queue = state.queue(request.pool)
    push_request(queue, request, state.base.workspaces[request.workspace].weight)
    dispatch_pool(state, request.pool, now_ms)
    if (
        request.state == "queued"
        and request.route is None
        and not request.origin
        and not may_run_locally(state, request)
    ):
        flow = queue.flows[request.priority][request.workspace]
        request_lease(state, request.pool, flow, now_ms)


def _check_daemon(state, request, now_ms):
    """Return an error if this daemon cannot accept the request now, else None."""
    if state.leaving and not request.host:
        return make_error(
            "leaving", entries=entry_addresses_for_workspace(state, request.workspace)
        )
    if state.config is None or not (state.ready or state.leaving):
        return _start_error(state, "not_ready", now_ms)
    return shutdown_error(state, request, now_ms) if state.leaving else None


def _start_error(state, code, now_ms):
    """Return an error that will not last once this daemon has started."""
    retry_ms = start_retry_after_ms(now_ms - state.started_ms, state.rng)
    return msgspec.structs.replace(make_error(code), retry_after_ms=retry_ms)


def entry_addresses_for_workspace(state, workspace_name, include_self=False):
    """Return the caller addresses of entry VMs for a workspace, best first.

    Entry VMs that are alive in the region preferred for the workspace come first;
    all others follow as fallbacks.

    Parameters
    ----------
    state : NodeState
    workspace_name : str
    include_self : bool
        Whether the address of this daemon may be in the list.

    Returns
    -------
    list of str
    """
    own = state.identity
    region = _preferred_region(state, workspace_name)
    rows = [
        row
        for row in usable_members(state.members)
        if row.caller_address and (include_self or row.name != own.vm)
    ]
    preferred = [
        row.name for row in rows if row.region == region and row.status == "alive"
    ]
    fallbacks = [row.name for row in rows if row.name not in preferred]
    active_count = workspace_active_count(state, workspace_name, len(preferred))
    state.entry_rankings += 1
    by_name = {row.name: row.caller_address for row in rows}
    order = rank_entries(workspace_name, preferred, active_count, state.entry_rankings)
    order += rank_entries(workspace_name, fallbacks, 1)
    return [by_name[name] for name in order]


def _preferred_region(state, workspace_name):
    """Return the region whose entry VMs are preferred for a workspace.

    This is the local region if the workspace allows it or is unknown, else its home
    region or, if it has none, its first allowed region.
    """
    if state.config is None:
        return state.region
    workspace = state.base.workspaces.get(workspace_name)
    if workspace is None or state.region in workspace.allowed_regions:
        return state.region
    return workspace.home_region or workspace.allowed_regions[0]


def _resolve(state, request, now_ms):
    """Set the regions, pool, cost and deadline of a request from the configuration.

    Returns
    -------
    CallerError or None
        The error if the configuration does not permit the request.
    """
    if request.host:
        return resolve_route(state, request, now_ms)
    workspace = state.base.workspaces.get(request.workspace)
    if workspace is None:
        return make_error("not_permitted")
    allowed = frozenset(workspace.allowed_regions)
    request.allowed = request.allowed & allowed if request.origin else allowed
    request.revision = request.revision or state.config.revision
    if request.service:
        return _resolve_service(state, request, workspace, now_ms)
    return _resolve_model(state, request, workspace, now_ms)


def _check_sender(state, request):
    """Return an error if the sender of a forwarded request has a newer configuration.

    Nothing can be said about the request then: its route, its key or the regions may
    have changed.
    """
    if request.revision <= state.config.revision:
        return None
    request_config(state, request.origin)
    return make_error("config_behind")


def _confirm_decision(state, request, error, now_ms):
    """Return the error of a forwarded request after its resolution, or None.

    The daemon that the caller is connected to decides about a request. If the newer
    configuration of this one decides otherwise, the sender gets that configuration
    instead of a decision, so that it does not alternate between two versions.

    Parameters
    ----------
    state : NodeState
    request : Request
    error : CallerError or None
        Error of the resolution.
    now_ms : int
    """
    if request.revision >= state.config.revision:
        return error
    confirmed = (
        error is None
        and may_run_locally(state, request)
        and request.decided_service in ("", request.service)
    )
    if confirmed:
        return None
    offer_config(state, request.origin, request.revision, now_ms)
    return make_error("config_ahead")


def _resolve_service(state, request, workspace, now_ms):
    service = state.base.services.get(request.service)
    if service is None:
        return make_error("unknown_service")
    if request.service not in workspace.services:
        return make_error("not_permitted")
    request.pool = f"s/{request.service}"
    request.idempotent = any(
        call.idempotent
        for call in service.calls
        if call.method == request.method and request.path.startswith(call.path_prefix)
    )
    request.expected_ms = service.expected_ms
    request.cost = service.expected_ms
    timeout_ms = min(service.timeout_ms, workspace.deadlines.service_ms)
    if not request.origin:
        request.priority = "interactive"
        request.deadline_ms = now_ms + timeout_ms
    return None


def _resolve_model(state, request, workspace, now_ms):
    resolved = resolve_model(state.base, request.model)
    name = request.adapter or request.model
    if resolved is None:
        return make_error("unknown_model")
    if name not in workspace.models:
        return make_error("not_permitted")
    request.model, adapter = resolved
    request.adapter = request.adapter or adapter
    request.pool = f"m/{request.adapter or request.model}"
    model = state.base.models[request.model]
    prefill_ms = 1000.0 * request.prompt_tokens / model.prefill_tokens_per_s
    request.cost = prefill_ms + request.max_output_tokens * model.inter_token_ms
    if request.origin:
        return None
    if workspace.priority == "batch":
        request.priority = "batch"
    deadlines = workspace.deadlines
    batch = request.priority == "batch"
    timeout_ms = deadlines.batch_ms if batch else deadlines.interactive_ms
    request.deadline_ms = now_ms + timeout_ms
    return None


def _check_forwarded(state, request, now_ms):
    """Return an error if a forwarded request may not run here, else None.

    The regions and the lease are checked again because the state of the
    forwarding daemon may be out of date.
    """
    if not may_run_locally(state, request):
        state.counters.region_refusals += 1
        return make_error("region_not_permitted")
    request.allowed = frozenset((state.region,))
    state.counters.received += 1
    if request.route is not None and has_lost_servers(state, request):
        return make_error("servers_unreachable")
    if request.route is not None or is_baseline(state.routing_policy):
        return None
    lease = find_granted_lease(
        state.lender, request.lease_id, request.pool, request.workspace, now_ms
    )
    if lease is None:
        return make_error("lease_missing")
    workspace = state.base.workspaces[request.workspace]
    if workspace.home_region != state.region:
        request.priority = "guest"
    return None


def _check_queue_size(state, request, now_ms):
    """Return an error if the queue is full, else None.

    A less urgent request is rejected in favour of this one, which must therefore have
    been charged to its quota.
    """
    queue = state.queues.get(request.pool)
    if (
        queue is not None
        and queue.size >= state.policy.max_queue
        and not displace_less_urgent(state, queue, request, now_ms)
    ):
        wait_ms = local_wait_ms(state, request.pool, request) or 0
        return make_error("queue_full", retry_after_ms=int(wait_ms))
    return None


def _check_rate(state, request, now_ms):
    """Return an error if the rate of a workspace without a burst is used up."""
    workspace = state.base.workspaces[request.workspace]
    if not workspace.rate_tokens_per_s or not request.model:
        return None
    role, active_count = workspace_role(state, request.workspace)
    rate = local_rate(workspace.rate_tokens_per_s, active_count, role == "active")
    tokens = request.prompt_tokens + request.max_output_tokens
    wait_ms = take_tokens(state.rates, request.workspace, rate, tokens, now_ms)
    if wait_ms:
        return make_error("rate_limited", retry_after_ms=wait_ms)
    return None


def _check_deadline(state, request, now_ms):
    """Return an error if no region can start the request in time, else None."""
    if is_baseline(state.routing_policy):
        return None
    if request.route is not None:
        wait_ms = expected_routed_start_ms(state, request, now_ms)
    else:
        wait_ms = _expected_start_ms(state, request, now_ms)
    if wait_ms is None and now_ms - state.started_ms < START_MS:
        return _start_error(state, "no_backend", now_ms)
    if wait_ms is None and request.stream_origin is not None:
        return make_error("stream_version_gone")
    if wait_ms is None:
        return make_error("no_backend", retry_after_ms=NO_BACKEND_RETRY_AFTER_MS)
    left_ms = request.start_deadline_ms - now_ms
    if wait_ms <= left_ms or may_try(state, request, left_ms, now_ms):
        return None
    excess_ms = wait_ms - left_ms
    retry_ms = state.retry_after_ms(request, excess_ms, now_ms)
    return make_error("deadline_unreachable", retry_after_ms=retry_ms)


def _expected_start_ms(state, request, now_ms):
    """Return the expected wait in ms until the request starts in some region.

    This is the shorter of the waits for a local and for a borrowed slot, or None
    when there are neither.
    """
    local_ms = None
    if may_run_locally(state, request):
        local_ms = local_wait_ms(state, request.pool, request)
    if request.origin:
        return local_ms
    remote_ms = _expected_borrowed_start_ms(state, request, now_ms)
    if local_ms is None:
        return remote_ms
    return local_ms if remote_ms is None else min(local_ms, remote_ms)


def _expected_borrowed_start_ms(state, request, now_ms):
    """Return the expected wait in ms for a borrowed slot, or None if there is none."""
    allowed = request.allowed - {state.region}
    if not allowed or borrow_limit(state, request) < 1:
        return None
    offers = fresh_offers(state.borrower, request.pool, allowed, now_ms)
    if not offers:
        return None
    queue = state.queues.get(request.pool)
    spare = sum(offer.spare for offer in offers)
    slots = max(1.0, min(spare, borrow_limit(state, request)))
    ahead_ms = cost_ahead(queue, request) / slots if queue is not None else 0.0
    nearest = min(offers, key=lambda offer: remote_score(state, request, offer))
    region = state.base.regions[state.region]
    delay_ms = region.one_way_delay_ms.get(nearest.region, 50.0)
    # Two round trips: one to obtain the lease and one for the request itself.
    return ahead_ms + nearest.wait_ms + 4 * delay_ms


def _claim_operation(state, request, now_ms):
    """Claim the operation id of a non-idempotent call.

    Returns
    -------
    CallerError or None
        None when the call may run, or when its recorded response was emitted.
    """
    if not request.operation_id:
        new_id = issue_operation(
            state.ledger, request.workspace, now_ms, state.policy.operation_ttl_ms
        )
        return make_error("operation_required", operation_id=new_id)
    claim = claim_operation(
        state.ledger,
        request.operation_id,
        request.workspace,
        request.fingerprint,
        now_ms,
    )
    match claim:
        case Claimed():
            return None
        case Recorded(outcome="ran", answer=None):
            return make_error("operation_ran")
        case Recorded(outcome="ran", answer=answer):
            request.state = "ended"
            state.emit(SendRecordedResponse(request.request_id, answer))
            return None
        case Recorded():
            return make_error("operation_unknown")
        case Busy():
            return make_error("operation_busy")
        case Foreign():
            return make_error("operation_foreign")
        case Expired(not_run=True):
            return make_error("operation_expired", outcome="not_run")
        case Expired():
            return make_error("operation_expired")
        case LedgerFull():
            return make_error("too_many_operations")
        case Invalid():
            return make_error("operation_invalid")
