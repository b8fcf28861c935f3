"""Simulation of attempts, from a node's command to the caller's response.

The first argument of each function is the
:class:`~bluebellbeam.scenario.simulation.Simulation`.
"""

from bluebellbeam.node import Request, make_error
from bluebellbeam.node import event as ev
from bluebellbeam.standins import EngineJob

__all__ = [
    "abandon_attempt",
    "deliver_error",
    "cancel_attempt",
    "close_caller_request",
    "schedule_engine_poll",
    "schedule_failure",
    "start_attempt",
]

LOCAL_DELAY_MS = 1
"""One-way network delay within a region."""

CALLER_DELAY_MS = 1
"""One-way network delay between a caller and an entry VM."""

CONNECT_TIMEOUT_MS = 1000
"""Time after which a connection attempt without a response fails."""

TOKEN_TIMEOUT_MS = 4000
"""Time without a token after which a daemon treats a stream as failed."""

LEAVING_LIMIT_MS = 3_000
"""Time since a backend server began to leave after which new work is a violation."""


class InFlightAttempt:
    """An attempt that a daemon has started and that has not ended.

    Attributes
    ----------
    vm, process_number : str, int
        Process that started the attempt.
    attempt_id : int
        Id of the attempt within that process.
    request : Request
        Request at the process that started the attempt.
    caller_request : CallerRequest
        Caller's request that the attempt serves.
    server : str
        Backend server that has received the attempt, or empty.
    peer : str
        VM of the daemon that the attempt is forwarded to, or empty.
    peer_request_id : str
        Id of the forwarded request at that daemon, or empty.
    job : EngineJob or None
        Job at the engine; None for a plain service or a forwarded attempt.
    """

    __slots__ = (
        "vm",
        "process_number",
        "attempt_id",
        "request",
        "caller_request",
        "server",
        "peer",
        "peer_request_id",
        "job",
    )

    def __init__(self, vm, process_number, command, caller_request):
        self.vm = vm
        self.process_number = process_number
        self.attempt_id = command.attempt_id
        self.request = command.request
        self.caller_request = caller_request
        self.server = ""
        self.peer = command.peer
        self.peer_request_id = ""
        self.job = None


def abandon_attempt(sim, attempt):
    """Cancel the work of an attempt whose daemon has been killed.

    The engine or peer notices that the connection is closed.
    """
    if attempt.server and attempt.job is not None:
        engine = sim.fleet.engines.get(attempt.server)
        if engine is not None:
            engine.cancel(attempt.job.job_id, sim.now_ms)
            schedule_engine_poll(sim, attempt.server)
    if attempt.peer:
        sim.deliver(attempt.peer, ev.CallerDisconnected(attempt.peer_request_id))


def start_attempt(sim, host, command):
    """Send an attempt to its backend server or forward it to a peer."""
    if command.request.request_id in sim.caller_requests:
        caller_request = sim.caller_requests[command.request.request_id]
    else:
        caller_request = sim.forwarded[
            (host.vm, command.request.request_id)
        ].caller_request
    attempt = InFlightAttempt(host.vm, host.process_number, command, caller_request)
    key = (host.vm, host.process_number, command.attempt_id)
    sim.in_flight[key] = attempt
    if command.peer:
        _start_at_peer(sim, host, key, attempt, command)
    else:
        _start_at_server(sim, host, key, attempt, command)


def _start_at_server(sim, host, key, attempt, command):
    attempt.caller_request.attempts += 1
    name, fails_fast = sim.resolve_address(host, command.address)
    if name is None:
        delay_ms = LOCAL_DELAY_MS if fails_fast else CONNECT_TIMEOUT_MS
        schedule_failure(sim, key, delay_ms, False)
        return
    sim.call_later(LOCAL_DELAY_MS, _arrive_at_server, sim, key, name, command)


def _arrive_at_server(sim, key, name, command):
    attempt = sim.in_flight.get(key)
    if attempt is None:
        return
    if name in sim.dead_servers:
        schedule_failure(sim, key, LOCAL_DELAY_MS, True)
        return
    server = sim.fleet.server(name)
    expected = (command.server, command.incarnation)
    if (server.record.name, server.record.incarnation) != expected:
        error = make_error("upstream_failed", outcome="not_run")
        refused = ev.AttemptRefused(attempt.attempt_id, error)
        _schedule_end(sim, key, LOCAL_DELAY_MS, refused)
        return
    attempt.server = name
    if name in sim.fleet.services:
        _run_service_call(sim, key, attempt, server)
    else:
        _submit_to_engine(sim, key, attempt, server, command)


def _run_service_call(sim, key, attempt, server):
    request = attempt.request
    caller_request = attempt.caller_request
    label = caller_request.operation or caller_request.request_id
    took_ms = server.start_call(label, request.idempotent, sim.now_ms)
    if sim.is_frozen(server.record.name):
        took_ms += sim.frozen_servers[server.record.name] - sim.now_ms
    caller_request.regions.append(server.record.region)
    _check_leaving(sim, server.record.name)
    sim.call_later(took_ms, _finish_service_call, sim, key, server)


def _finish_service_call(sim, key, server):
    server.finish_call()
    attempt = sim.in_flight.get(key)
    if attempt is None or server.record.name in sim.dead_servers:
        return
    if sim.responses_to_drop > 0:
        sim.responses_to_drop -= 1
        schedule_failure(sim, key, LOCAL_DELAY_MS, True)
        return
    sim.call_later(LOCAL_DELAY_MS, _answer_service_call, sim, key)


def _answer_service_call(sim, key):
    attempt = sim.in_flight.get(key)
    if attempt is None:
        return
    recorded_response = None if attempt.request.idempotent else "answer"
    _deliver_first_token(sim, key, attempt)
    _deliver_completion(sim, key, attempt, 0, recorded_response, None)


def _submit_to_engine(sim, key, attempt, engine, command):
    request = attempt.request
    job = EngineJob(
        key,
        request.adapter or request.model,
        request.prompt_tokens,
        request.max_output_tokens,
        blocks=request.blocks,
        priority=request.priority,
        resume_tokens=command.resume_tokens,
    )
    refused = engine.submit(job, sim.now_ms)
    if refused is not None:
        error = make_error("upstream_failed", outcome="not_run")
        report = engine.load_header(sim.now_ms)
        _schedule_end(sim, key, 1, ev.AttemptRefused(attempt.attempt_id, error, report))
        return
    attempt.job = job
    _check_leaving(sim, engine.record.name)
    attempt.caller_request.regions.append(engine.record.region)
    schedule_engine_poll(sim, engine.record.name)


def _check_leaving(sim, name):
    if sim.now_ms - sim.leaving_since_ms.get(name, sim.now_ms) > LEAVING_LIMIT_MS:
        sim.violations.append(f"leaving: {name} got new work at {int(sim.now_ms)} ms")


def schedule_engine_poll(sim, name):
    """Schedule a poll of an engine at the time of its next event."""
    due_ms = sim.fleet.engines[name].next_event_ms()
    if due_ms is not None:
        sim.call_at(max(due_ms, sim.now_ms), _poll_engine, sim, name)


def _poll_engine(sim, name):
    if name in sim.dead_servers:
        return
    if sim.is_frozen(name):
        sim.call_at(sim.frozen_servers[name], _poll_engine, sim, name)
        return
    engine = sim.fleet.engines[name]
    for event in engine.poll(sim.now_ms):
        attempt = sim.in_flight.get(event.job_id)
        if attempt is not None:
            sim.call_later(
                LOCAL_DELAY_MS, _handle_engine_event, sim, event, attempt, engine
            )
    schedule_engine_poll(sim, name)


def _handle_engine_event(sim, event, attempt, engine):
    key = event.job_id
    if sim.in_flight.get(key) is not attempt:
        return
    _add_cost(sim, attempt, engine, event.kind)
    if event.kind == "first":
        _deliver_first_token(sim, key, attempt)
    else:
        report = engine.load_header(sim.now_ms)
        _deliver_completion(sim, key, attempt, attempt.job.output_tokens, None, report)


def _add_cost(sim, attempt, engine, kind):
    """Add the cost of an engine event to the caller's request.

    The first token adds the price of the uncached prompt and of the transfer
    to another region; the end of the job adds the price of the output.
    """
    job = attempt.job
    prices = sim.base["regions"][engine.record.region]
    tokens = job.output_tokens
    if kind == "first":
        tokens = job.prompt_tokens - job.cached_tokens
    cost = tokens / 1000.0 * prices["price_per_1k_tokens"]
    if attempt.caller_request.vm in sim.hosts:
        entry_region = sim.hosts[attempt.caller_request.vm].region
        if entry_region != engine.record.region and kind == "first":
            tokens_1k = (job.prompt_tokens + job.output_tokens) / 1000.0
            cost += tokens_1k * prices["wan_price_per_1k_tokens"]
    attempt.caller_request.cost += cost


def _deliver_first_token(sim, key, attempt):
    host = sim.hosts[attempt.vm]
    if host.process_number != attempt.process_number or host.node is None:
        return
    if sim.now_ms < host.frozen_until_ms:
        host.backlog.append((_deliver_first_token, (sim, key, attempt)))
        return
    sim.deliver(attempt.vm, ev.AttemptStarted(attempt.attempt_id))
    if sim.in_flight.get(key) is attempt:
        _relay_first_token(sim, attempt)


def _relay_first_token(sim, attempt):
    origin_attempt = sim.forwarded.get((attempt.vm, attempt.request.request_id))
    if origin_attempt is None:
        if attempt.request.origin:
            return
        caller_request = attempt.caller_request
        if caller_request.first_ms is None:
            caller_request.first_ms = sim.now_ms + CALLER_DELAY_MS
        return
    key = (origin_attempt.vm, origin_attempt.process_number, origin_attempt.attempt_id)
    if sim.is_peer_cut(attempt.vm, origin_attempt.vm):
        schedule_failure(sim, key, TOKEN_TIMEOUT_MS, True)
        return
    delay_ms = _vm_delay_ms(sim, attempt.vm, origin_attempt.vm)
    sim.call_later(delay_ms, _deliver_first_token, sim, key, origin_attempt)


def _deliver_completion(sim, key, attempt, tokens, recorded_response, report):
    host = sim.hosts[attempt.vm]
    if host.process_number != attempt.process_number or host.node is None:
        return
    if sim.now_ms < host.frozen_until_ms:
        args = (key, attempt, tokens, recorded_response, report)
        host.backlog.append((_deliver_completion, (sim, *args)))
        return
    if sim.in_flight.get(key) is not attempt:
        return
    del sim.in_flight[key]
    done = ev.AttemptFinished(attempt.attempt_id, tokens, recorded_response, report)
    is_pending = attempt.attempt_id in host.node.state.attempts
    sim.deliver(attempt.vm, done)
    if not is_pending:
        return
    origin_attempt = sim.forwarded.pop((attempt.vm, attempt.request.request_id), None)
    if origin_attempt is None and attempt.request.origin:
        return
    if origin_attempt is None:
        attempt.caller_request.tokens = tokens
        sim.call_later(
            CALLER_DELAY_MS,
            close_caller_request,
            sim,
            attempt.caller_request,
            "whole",
            "ran",
        )
        return
    origin_key = (
        origin_attempt.vm,
        origin_attempt.process_number,
        origin_attempt.attempt_id,
    )
    if sim.is_peer_cut(attempt.vm, origin_attempt.vm):
        schedule_failure(sim, origin_key, TOKEN_TIMEOUT_MS, True)
        return
    if sim.responses_to_drop > 0 and attempt.request.service:
        sim.responses_to_drop -= 1
        schedule_failure(sim, origin_key, LOCAL_DELAY_MS, True)
        return
    delay_ms = _vm_delay_ms(sim, attempt.vm, origin_attempt.vm)
    sim.call_later(
        delay_ms,
        _deliver_completion,
        sim,
        origin_key,
        origin_attempt,
        tokens,
        recorded_response,
        None,
    )


def _vm_delay_ms(sim, vm, other):
    return sim.delay_ms(sim.hosts[vm].region, sim.hosts[other].region)


def _start_at_peer(sim, host, key, attempt, command):
    target = sim.hosts[command.peer]
    if target.node is None or sim.is_peer_cut(host.vm, command.peer):
        fails_fast = target.node is None
        schedule_failure(
            sim, key, LOCAL_DELAY_MS if fails_fast else CONNECT_TIMEOUT_MS, False
        )
        return
    attempt.peer_request_id = f"{host.vm}/{host.process_number}/{command.attempt_id}"
    attempt.caller_request.away = True
    left_ms = command.request.deadline_ms - sim.now_ms
    delay_ms = sim.delay_ms(host.region, target.region)
    sim.call_later(delay_ms, _arrive_at_peer, sim, key, attempt, command, left_ms)


def _arrive_at_peer(sim, key, attempt, command, left_ms):
    host = sim.hosts[command.peer]
    if host.node is None:
        schedule_failure(sim, key, LOCAL_DELAY_MS, True)
        return
    if sim.now_ms < host.frozen_until_ms:
        args = (key, attempt, command, left_ms)
        host.backlog.append((_arrive_at_peer, (sim, *args)))
        return
    request = command.request
    sender = sim.hosts[attempt.vm]
    if sender.node is None:
        return
    revision = sender.node.state.config.revision
    sim.forwarded[(command.peer, attempt.peer_request_id)] = attempt
    if request.origin:
        sim.violations.append(f"loop: {request.request_id} forwarded twice")
    arrived = Request(
        attempt.peer_request_id,
        request.workspace,
        origin=attempt.vm,
        model=request.model,
        adapter=request.adapter,
        service=request.service,
        method=request.method,
        path=request.path,
        prompt_tokens=request.prompt_tokens,
        max_output_tokens=request.max_output_tokens,
        blocks=request.blocks,
        priority=request.priority,
        deadline_ms=int(sim.now_ms + left_ms),
        allowed=request.allowed,
        revision=revision,
        lease_id=command.lease_id,
    )
    arrived.emitted_tokens = command.resume_tokens
    sim.deliver(command.peer, ev.RequestArrived(arrived))


def cancel_attempt(sim, host, attempt_id):
    """Cancel an attempt and its work at the backend server or peer."""
    attempt = sim.in_flight.pop((host.vm, host.process_number, attempt_id), None)
    if attempt is None:
        return
    if attempt.peer:
        peer_key = (attempt.peer, attempt.peer_request_id)
        sim.forwarded.pop(peer_key, None)
        if not sim.is_peer_cut(host.vm, attempt.peer):
            delay_ms = _vm_delay_ms(sim, host.vm, attempt.peer)
            event = ev.CallerDisconnected(attempt.peer_request_id)
            sim.call_later(delay_ms, sim.deliver, attempt.peer, event)
    elif attempt.job is not None:
        sim.call_later(
            LOCAL_DELAY_MS, _cancel_job, sim, attempt.server, attempt.job.job_id
        )


def _cancel_job(sim, name, job_id):
    if name not in sim.dead_servers:
        sim.fleet.engines[name].cancel(job_id, sim.now_ms)
        schedule_engine_poll(sim, name)


def _schedule_end(sim, key, delay_ms, event):
    sim.call_later(delay_ms, _end_attempt, sim, key, event)


def _end_attempt(sim, key, event):
    if sim.in_flight.pop(key, None) is not None:
        sim.deliver_to_process(key[0], key[1], event)


def schedule_failure(sim, key, delay_ms, sent):
    """Schedule the failure of an attempt after `delay_ms`.

    Parameters
    ----------
    sim : Simulation
    key : (str, int, int)
        Key of the attempt in ``sim.in_flight``.
    delay_ms : float
        Time until the daemon that started the attempt detects the failure.
    sent : bool
        True if the request may have reached its target and run there.
    """
    sim.call_later(delay_ms, _fail_attempt, sim, key, sent)


def _fail_attempt(sim, key, sent):
    attempt = sim.in_flight.pop(key, None)
    if attempt is None:
        return
    emitted = attempt.request.emitted_tokens
    if attempt.job is not None:
        emitted = max(emitted, attempt.job.emitted_tokens(sim.now_ms))
    failed = ev.AttemptFailed(attempt.attempt_id, sent, emitted)
    sim.deliver_to_process(attempt.vm, attempt.process_number, failed)


def deliver_error(sim, host, request_id, error):
    """Send a final error to the caller or to the daemon that forwarded the request."""
    caller_request = sim.caller_requests.get(request_id)
    if caller_request is not None:
        caller_request.retry_after_ms = error.retry_after_ms
        sim.add_trace(f"{request_id} answer {error.code} {error.outcome}")
        sim.call_later(
            CALLER_DELAY_MS,
            close_caller_request,
            sim,
            caller_request,
            error.code,
            error.outcome,
        )
        return
    attempt = sim.forwarded.pop((host.vm, request_id), None)
    if attempt is None:
        return
    key = (attempt.vm, attempt.process_number, attempt.attempt_id)
    if sim.is_peer_cut(host.vm, attempt.vm):
        schedule_failure(sim, key, TOKEN_TIMEOUT_MS, True)
        return
    delay_ms = _vm_delay_ms(sim, host.vm, attempt.vm)
    if attempt.request.response_started:
        schedule_failure(sim, key, delay_ms, True)
    else:
        _schedule_end(sim, key, delay_ms, ev.AttemptRefused(attempt.attempt_id, error))


def close_caller_request(sim, caller_request, result, outcome):
    """Record the final response to a caller's request.

    A lost connection does not replace a final response that has already arrived.
    """
    if caller_request.result == "open" or result != "lost":
        caller_request.close(result, outcome, sim.now_ms)
