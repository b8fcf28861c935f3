"""Simulation of attempts, from a node's command to the caller's answer.

The first argument of each function is the
:class:`~bluebellbeam.scenario.world.World`.
"""

from bluebellbeam.node import Request, make_error
from bluebellbeam.node import event as ev
from bluebellbeam.standins import EngineJob

__all__ = [
    "abandon_attempt",
    "answer_error",
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
TOKEN_TIMEOUT_MS = 4000
"""Time without a token after which a daemon gives up on a stream."""

LEAVING_LIMIT_MS = 3_000
"""Time after which a leaving backend server must receive no new work."""


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
        Backend server that the attempt has reached, or empty.
    peer : str
        VM of the daemon that the attempt is forwarded to, or empty.
    peer_request_id : str
        Request id at that daemon, or empty.
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


def abandon_attempt(world, attempt):
    """Cancel the work of an attempt whose daemon has been killed."""
    if attempt.server and attempt.job is not None:
        engine = world.fleet.engines.get(attempt.server)
        if engine is not None:
            engine.cancel(attempt.job.job_id, world.now_ms)
            schedule_engine_poll(world, attempt.server)
    if attempt.peer:
        world.deliver(attempt.peer, ev.CallerDisconnected(attempt.peer_request_id))


def start_attempt(world, host, command):
    """Send an attempt to its backend server or forward it to a peer."""
    if command.request.request_id in world.caller_requests:
        caller_request = world.caller_requests[command.request.request_id]
    else:
        caller_request = world.forwarded[
            (host.vm, command.request.request_id)
        ].caller_request
    attempt = InFlightAttempt(host.vm, host.process_number, command, caller_request)
    key = (host.vm, host.process_number, command.attempt_id)
    world.in_flight[key] = attempt
    if command.peer:
        _start_at_peer(world, host, key, attempt, command)
    else:
        _start_at_server(world, host, key, attempt, command)


def _start_at_server(world, host, key, attempt, command):
    attempt.caller_request.attempts += 1
    name, fails_fast = world.resolve_address(host, command.address)
    if name is None:
        delay_ms = LOCAL_DELAY_MS if fails_fast else CONNECT_TIMEOUT_MS
        schedule_failure(world, key, delay_ms, False)
        return
    world.call_later(LOCAL_DELAY_MS, _arrive_at_server, world, key, name, command)


def _arrive_at_server(world, key, name, command):
    attempt = world.in_flight.get(key)
    if attempt is None:
        return
    if name in world.dead_servers:
        schedule_failure(world, key, LOCAL_DELAY_MS, True)
        return
    server = world.fleet.server(name)
    expected = (command.server, command.incarnation)
    if (server.record.name, server.record.incarnation) != expected:
        error = make_error("upstream_failed", outcome="not_run")
        refused = ev.AttemptRefused(attempt.attempt_id, error)
        _schedule_end(world, key, LOCAL_DELAY_MS, refused)
        return
    attempt.server = name
    if name in world.fleet.services:
        _run_service_call(world, key, attempt, server)
    else:
        _submit_to_engine(world, key, attempt, server, command)


def _run_service_call(world, key, attempt, server):
    request = attempt.request
    caller_request = attempt.caller_request
    label = caller_request.operation or caller_request.request_id
    took_ms = server.start_call(label, request.idempotent, world.now_ms)
    if world.is_frozen(server.record.name):
        took_ms += world.frozen_servers[server.record.name] - world.now_ms
    caller_request.regions.append(server.record.region)
    _check_leaving(world, server.record.name)
    world.call_later(took_ms, _finish_service_call, world, key, server)


def _finish_service_call(world, key, server):
    server.finish_call()
    attempt = world.in_flight.get(key)
    if attempt is None or server.record.name in world.dead_servers:
        return
    if world.replies_to_lose > 0:
        world.replies_to_lose -= 1
        schedule_failure(world, key, LOCAL_DELAY_MS, True)
        return
    world.call_later(LOCAL_DELAY_MS, _answer_service_call, world, key)


def _answer_service_call(world, key):
    attempt = world.in_flight.get(key)
    if attempt is None:
        return
    recorded_answer = None if attempt.request.idempotent else "answer"
    _deliver_first_token(world, key, attempt)
    _deliver_completion(world, key, attempt, 0, recorded_answer, None)


def _submit_to_engine(world, key, attempt, engine, command):
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
    refused = engine.submit(job, world.now_ms)
    if refused is not None:
        error = make_error("upstream_failed", outcome="not_run")
        report = engine.load_header(world.now_ms)
        _schedule_end(
            world, key, 1, ev.AttemptRefused(attempt.attempt_id, error, report)
        )
        return
    attempt.job = job
    _check_leaving(world, engine.record.name)
    attempt.caller_request.regions.append(engine.record.region)
    schedule_engine_poll(world, engine.record.name)


def _check_leaving(world, name):
    if world.now_ms - world.leaving_since_ms.get(name, world.now_ms) > LEAVING_LIMIT_MS:
        world.violations.append(f"leaving: {name} got new work")


def schedule_engine_poll(world, name):
    """Schedule a poll of an engine at the time of its next event."""
    due_ms = world.fleet.engines[name].next_event_ms()
    if due_ms is not None:
        world.call_at(max(due_ms, world.now_ms), _poll_engine, world, name)


def _poll_engine(world, name):
    if name in world.dead_servers:
        return
    if world.is_frozen(name):
        world.call_at(world.frozen_servers[name], _poll_engine, world, name)
        return
    engine = world.fleet.engines[name]
    for event in engine.poll(world.now_ms):
        attempt = world.in_flight.get(event.job_id)
        if attempt is not None:
            world.call_later(
                LOCAL_DELAY_MS, _handle_engine_event, world, event, attempt, engine
            )
    schedule_engine_poll(world, name)


def _handle_engine_event(world, event, attempt, engine):
    key = event.job_id
    if world.in_flight.get(key) is not attempt:
        return
    _add_cost(world, attempt, engine, event.kind)
    if event.kind == "first":
        _deliver_first_token(world, key, attempt)
    else:
        report = engine.load_header(world.now_ms)
        _deliver_completion(
            world, key, attempt, attempt.job.output_tokens, None, report
        )


def _add_cost(world, attempt, engine, kind):
    """Add the cost of an engine event to the caller's request.

    The first token is charged with the uncached prompt and the transfer to
    another region, the end of the job with the output.
    """
    job = attempt.job
    prices = world.base["regions"][engine.record.region]
    tokens = job.output_tokens
    if kind == "first":
        tokens = job.prompt_tokens - job.cached_tokens
    cost = tokens / 1000.0 * prices["price_per_1k_tokens"]
    if attempt.caller_request.vm in world.hosts:
        entry_region = world.hosts[attempt.caller_request.vm].region
        if entry_region != engine.record.region and kind == "first":
            tokens_1k = (job.prompt_tokens + job.output_tokens) / 1000.0
            cost += tokens_1k * prices["wan_price_per_1k_tokens"]
    attempt.caller_request.cost += cost


def _deliver_first_token(world, key, attempt):
    host = world.hosts[attempt.vm]
    if host.process_number != attempt.process_number or host.node is None:
        return
    if world.now_ms < host.frozen_until_ms:
        host.backlog.append((_deliver_first_token, (world, key, attempt)))
        return
    world.deliver(attempt.vm, ev.AttemptStarted(attempt.attempt_id))
    if world.in_flight.get(key) is attempt:
        _relay_first_token(world, attempt)


def _relay_first_token(world, attempt):
    origin_attempt = world.forwarded.get((attempt.vm, attempt.request.request_id))
    if origin_attempt is None:
        if attempt.request.origin:
            return
        caller_request = attempt.caller_request
        if caller_request.first_ms is None:
            caller_request.first_ms = world.now_ms + CALLER_DELAY_MS
        return
    key = (origin_attempt.vm, origin_attempt.process_number, origin_attempt.attempt_id)
    if world.peers_cut(attempt.vm, origin_attempt.vm):
        schedule_failure(world, key, TOKEN_TIMEOUT_MS, True)
        return
    delay_ms = _vm_delay_ms(world, attempt.vm, origin_attempt.vm)
    world.call_later(delay_ms, _deliver_first_token, world, key, origin_attempt)


def _deliver_completion(world, key, attempt, tokens, recorded_answer, report):
    host = world.hosts[attempt.vm]
    if host.process_number != attempt.process_number or host.node is None:
        return
    if world.now_ms < host.frozen_until_ms:
        args = (key, attempt, tokens, recorded_answer, report)
        host.backlog.append((_deliver_completion, (world, *args)))
        return
    if world.in_flight.get(key) is not attempt:
        return
    del world.in_flight[key]
    done = ev.AttemptFinished(attempt.attempt_id, tokens, recorded_answer, report)
    is_pending = attempt.attempt_id in host.node.state.attempts
    world.deliver(attempt.vm, done)
    if not is_pending:
        return
    origin_attempt = world.forwarded.pop((attempt.vm, attempt.request.request_id), None)
    if origin_attempt is None and attempt.request.origin:
        return
    if origin_attempt is None:
        attempt.caller_request.tokens = tokens
        world.call_later(
            CALLER_DELAY_MS,
            close_caller_request,
            world,
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
    if world.peers_cut(attempt.vm, origin_attempt.vm):
        schedule_failure(world, origin_key, TOKEN_TIMEOUT_MS, True)
        return
    if world.replies_to_lose > 0 and attempt.request.service:
        world.replies_to_lose -= 1
        schedule_failure(world, origin_key, LOCAL_DELAY_MS, True)
        return
    delay_ms = _vm_delay_ms(world, attempt.vm, origin_attempt.vm)
    world.call_later(
        delay_ms,
        _deliver_completion,
        world,
        origin_key,
        origin_attempt,
        tokens,
        recorded_answer,
        None,
    )


def _vm_delay_ms(world, vm, other):
    return world.delay_ms(world.hosts[vm].region, world.hosts[other].region)


def _start_at_peer(world, host, key, attempt, command):
    target = world.hosts[command.peer]
    if target.node is None or world.peers_cut(host.vm, command.peer):
        fails_fast = target.node is None
        schedule_failure(
            world, key, LOCAL_DELAY_MS if fails_fast else CONNECT_TIMEOUT_MS, False
        )
        return
    attempt.peer_request_id = f"{host.vm}/{host.process_number}/{command.attempt_id}"
    attempt.caller_request.away = True
    left_ms = command.request.deadline_ms - world.now_ms
    delay_ms = world.delay_ms(host.region, target.region)
    world.call_later(delay_ms, _arrive_at_peer, world, key, attempt, command, left_ms)


def _arrive_at_peer(world, key, attempt, command, left_ms):
    host = world.hosts[command.peer]
    if host.node is None:
        schedule_failure(world, key, LOCAL_DELAY_MS, True)
        return
    if world.now_ms < host.frozen_until_ms:
        args = (key, attempt, command, left_ms)
        host.backlog.append((_arrive_at_peer, (world, *args)))
        return
    request = command.request
    sender = world.hosts[attempt.vm]
    if sender.node is None:
        return
    revision = sender.node.state.config.revision
    world.forwarded[(command.peer, attempt.peer_request_id)] = attempt
    if request.origin:
        world.violations.append(f"loop: {request.request_id} forwarded twice")
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
        deadline_ms=int(world.now_ms + left_ms),
        allowed=request.allowed,
        revision=revision,
        lease_id=command.lease_id,
    )
    arrived.emitted_tokens = command.resume_tokens
    world.deliver(command.peer, ev.RequestArrived(arrived))


def cancel_attempt(world, host, attempt_id):
    """Cancel an attempt and its work at the backend server or peer."""
    attempt = world.in_flight.pop((host.vm, host.process_number, attempt_id), None)
    if attempt is None:
        return
    if attempt.peer:
        peer_key = (attempt.peer, attempt.peer_request_id)
        world.forwarded.pop(peer_key, None)
        if not world.peers_cut(host.vm, attempt.peer):
            delay_ms = _vm_delay_ms(world, host.vm, attempt.peer)
            event = ev.CallerDisconnected(attempt.peer_request_id)
            world.call_later(delay_ms, world.deliver, attempt.peer, event)
    elif attempt.job is not None:
        world.call_later(
            LOCAL_DELAY_MS, _cancel_job, world, attempt.server, attempt.job.job_id
        )


def _cancel_job(world, name, job_id):
    if name not in world.dead_servers:
        world.fleet.engines[name].cancel(job_id, world.now_ms)
        schedule_engine_poll(world, name)


def _schedule_end(world, key, delay_ms, event):
    world.call_later(delay_ms, _end_attempt, world, key, event)


def _end_attempt(world, key, event):
    if world.in_flight.pop(key, None) is not None:
        world.deliver_to_process(key[0], key[1], event)


def schedule_failure(world, key, delay_ms, sent):
    """Schedule the failure of an attempt after `delay_ms`.

    Parameters
    ----------
    world : World
    key : (str, int, int)
        Key of the attempt in ``world.in_flight``.
    delay_ms : float
    sent : bool
        Whether the request may have reached its target and run there.
    """
    world.call_later(delay_ms, _fail_attempt, world, key, sent)


def _fail_attempt(world, key, sent):
    attempt = world.in_flight.pop(key, None)
    if attempt is None:
        return
    emitted = attempt.request.emitted_tokens
    if attempt.job is not None:
        emitted = max(emitted, attempt.job.emitted_tokens(world.now_ms))
    failed = ev.AttemptFailed(attempt.attempt_id, sent, emitted)
    world.deliver_to_process(attempt.vm, attempt.process_number, failed)


def answer_error(world, host, request_id, error):
    """Send a final error to the caller or to the daemon that forwarded."""
    caller_request = world.caller_requests.get(request_id)
    if caller_request is not None:
        caller_request.retry_after_ms = error.retry_after_ms
        world.add_trace(f"{request_id} answer {error.code} {error.outcome}")
        world.call_later(
            CALLER_DELAY_MS,
            close_caller_request,
            world,
            caller_request,
            error.code,
            error.outcome,
        )
        return
    attempt = world.forwarded.pop((host.vm, request_id), None)
    if attempt is None:
        return
    key = (attempt.vm, attempt.process_number, attempt.attempt_id)
    if world.peers_cut(host.vm, attempt.vm):
        schedule_failure(world, key, TOKEN_TIMEOUT_MS, True)
        return
    delay_ms = _vm_delay_ms(world, host.vm, attempt.vm)
    if attempt.request.started:
        schedule_failure(world, key, delay_ms, True)
    else:
        _schedule_end(
            world, key, delay_ms, ev.AttemptRefused(attempt.attempt_id, error)
        )


def close_caller_request(world, caller_request, result, outcome):
    """Record the final answer of a caller's request.

    A lost connection does not replace an answer that has already arrived.
    """
    if caller_request.result == "open" or result != "lost":
        caller_request.close(result, outcome, world.now_ms)
