"""Attempts in a scenario: from a node's command to the caller's answer.

The functions take the :class:`~bluebellbeam.scenario.world.World` first.
"""

from bluebellbeam.node import Request, make_error
from bluebellbeam.node import event as ev
from bluebellbeam.standins import EngineJob

__all__ = [
    "abandon_attempt",
    "answer_error",
    "cancel_attempt",
    "close_caller_request",
    "schedule_failure",
    "start_attempt",
    "schedule_engine_poll",
]

LOCAL_DELAY_MS = 1
CALLER_DELAY_MS = 1
CONNECT_TIMEOUT_MS = 1000
TOKEN_TIMEOUT_MS = 4000
LEAVING_LIMIT_MS = 3_000
"""Time after which a leaving backend server must get no new work."""


class InFlightAttempt:
    """An attempt on its way, as the world sees it.

    Attributes
    ----------
    vm, process_number, attempt_id : str, int, int
        The process that started it.
    caller_request : Ticket
    server, peer : str
    peer_request_id : str
    job : EngineJob or None
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
    """End an attempt whose daemon has been killed."""
    if attempt.server and attempt.job is not None:
        engine = world.fleet.engines.get(attempt.server)
        if engine is not None:
            engine.cancel(attempt.job.job_id, world.now_ms)
            schedule_engine_poll(world, attempt.server)
    if attempt.peer:
        world.deliver(attempt.peer, ev.CallerDisconnected(attempt.peer_request_id))


def start_attempt(world, host, command):
    """Send an attempt to its backend server or lender."""
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
    name, quick = world.resolve_address(host, command.address)
    if name is None:
        delay_ms = LOCAL_DELAY_MS if quick else CONNECT_TIMEOUT_MS
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
        _report(world, key, LOCAL_DELAY_MS, refused)
        return
    attempt.server = name
    if name in world.fleet.services:
        _run_service(world, key, attempt, server)
    else:
        _run_engine(world, key, attempt, server, command)


def _run_service(world, key, attempt, server):
    request = attempt.request
    caller_request = attempt.caller_request
    label = caller_request.operation or caller_request.request_id
    took_ms = server.start_call(label, request.idempotent, world.now_ms)
    if world.is_frozen(server.record.name):
        took_ms += world.frozen_servers[server.record.name] - world.now_ms
    caller_request.regions.append(server.record.region)
    _check_leaving(world, server.record.name)
    world.call_later(took_ms, _end_service, world, key, server)


def _end_service(world, key, server):
    server.finish_call()
    attempt = world.in_flight.get(key)
    if attempt is None or server.record.name in world.dead_servers:
        return
    if world.replies_to_lose > 0:
        world.replies_to_lose -= 1
        schedule_failure(world, key, LOCAL_DELAY_MS, True)
        return
    world.call_later(LOCAL_DELAY_MS, _finish_service, world, key)


def _finish_service(world, key):
    attempt = world.in_flight.get(key)
    if attempt is None:
        return
    kept = None if attempt.request.idempotent else "answer"
    _pass_first(world, key, attempt)
    _pass_done(world, key, attempt, 0, kept, None)


def _run_engine(world, key, attempt, engine, command):
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
        _report(world, key, 1, ev.AttemptRefused(attempt.attempt_id, error, report))
        return
    attempt.job = job
    _check_leaving(world, engine.record.name)
    attempt.caller_request.regions.append(engine.record.region)
    schedule_engine_poll(world, engine.record.name)


def _check_leaving(world, name):
    if world.now_ms - world.leaving_since_ms.get(name, world.now_ms) > LEAVING_LIMIT_MS:
        world.violations.append(f"leaving: {name} got new work")


def schedule_engine_poll(world, name):
    """Look at an engine again when its next event is due."""
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
                LOCAL_DELAY_MS, _engine_event, world, event, attempt, engine
            )
    schedule_engine_poll(world, name)


def _engine_event(world, event, attempt, engine):
    key = event.job_id
    if world.in_flight.get(key) is not attempt:
        return
    _add_cost(world, attempt, engine, event.kind)
    if event.kind == "first":
        _pass_first(world, key, attempt)
    else:
        report = engine.load_header(world.now_ms)
        _pass_done(world, key, attempt, attempt.job.output_tokens, None, report)


def _add_cost(world, attempt, engine, kind):
    """Charge the prompt with the first token, the output with the end."""
    job = attempt.job
    prices = world.base["regions"][engine.record.region]
    tokens = job.output_tokens
    if kind == "first":
        tokens = job.prompt_tokens - job.cached_tokens
    cost = tokens / 1000.0 * prices["price_per_1k_tokens"]
    if attempt.caller_request.vm in world.hosts:
        home = world.hosts[attempt.caller_request.vm].region
        if home != engine.record.region and kind == "first":
            carried = (job.prompt_tokens + job.output_tokens) / 1000.0
            cost += carried * prices["wan_price_per_1k_tokens"]
    attempt.caller_request.cost += cost


def _pass_first(world, key, attempt):
    host = world.hosts[attempt.vm]
    if host.process_number != attempt.process_number or host.node is None:
        return
    if world.now_ms < host.frozen_until_ms:
        host.backlog.append((_pass_first, (world, key, attempt)))
        return
    world.deliver(attempt.vm, ev.AttemptStarted(attempt.attempt_id))
    if world.in_flight.get(key) is attempt:
        _relay_first(world, attempt)


def _relay_first(world, attempt):
    onward = world.forwarded.get((attempt.vm, attempt.request.request_id))
    if onward is None:
        if attempt.request.origin:
            return
        caller_request = attempt.caller_request
        if caller_request.first_ms is None:
            caller_request.first_ms = world.now_ms + CALLER_DELAY_MS
        return
    key = (onward.vm, onward.process_number, onward.attempt_id)
    if world.peers_cut(attempt.vm, onward.vm):
        schedule_failure(world, key, TOKEN_TIMEOUT_MS, True)
        return
    delay_ms = _between(world, attempt.vm, onward.vm)
    world.call_later(delay_ms, _pass_first, world, key, onward)


def _pass_done(world, key, attempt, tokens, kept, report):
    host = world.hosts[attempt.vm]
    if host.process_number != attempt.process_number or host.node is None:
        return
    if world.now_ms < host.frozen_until_ms:
        step = (key, attempt, tokens, kept, report)
        host.backlog.append((_pass_done, (world, *step)))
        return
    if world.in_flight.get(key) is not attempt:
        return
    del world.in_flight[key]
    done = ev.AttemptFinished(attempt.attempt_id, tokens, kept, report)
    live = attempt.attempt_id in host.node.state.attempts
    world.deliver(attempt.vm, done)
    if not live:
        return
    onward = world.forwarded.pop((attempt.vm, attempt.request.request_id), None)
    if onward is None and attempt.request.origin:
        return
    if onward is None:
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
    onward_key = (onward.vm, onward.process_number, onward.attempt_id)
    if world.peers_cut(attempt.vm, onward.vm):
        schedule_failure(world, onward_key, TOKEN_TIMEOUT_MS, True)
        return
    if world.replies_to_lose > 0 and attempt.request.service:
        world.replies_to_lose -= 1
        schedule_failure(world, onward_key, LOCAL_DELAY_MS, True)
        return
    delay_ms = _between(world, attempt.vm, onward.vm)
    world.call_later(
        delay_ms, _pass_done, world, onward_key, onward, tokens, kept, None
    )


def _between(world, vm, other):
    return world.delay_ms(world.hosts[vm].region, world.hosts[other].region)


def _start_at_peer(world, host, key, attempt, command):
    target = world.hosts[command.peer]
    if target.node is None or world.peers_cut(host.vm, command.peer):
        quick = target.node is None
        schedule_failure(
            world, key, LOCAL_DELAY_MS if quick else CONNECT_TIMEOUT_MS, False
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
        step = (key, attempt, command, left_ms)
        host.backlog.append((_arrive_at_peer, (world, *step)))
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
    """Stop an attempt and cancel its work."""
    attempt = world.in_flight.pop((host.vm, host.process_number, attempt_id), None)
    if attempt is None:
        return
    if attempt.peer:
        onward = (attempt.peer, attempt.peer_request_id)
        world.forwarded.pop(onward, None)
        if not world.peers_cut(host.vm, attempt.peer):
            delay_ms = _between(world, host.vm, attempt.peer)
            left = ev.CallerDisconnected(attempt.peer_request_id)
            world.call_later(delay_ms, world.deliver, attempt.peer, left)
    elif attempt.job is not None:
        world.call_later(
            LOCAL_DELAY_MS, _cancel_job, world, attempt.server, attempt.job.job_id
        )


def _cancel_job(world, name, job_id):
    if name not in world.dead_servers:
        world.fleet.engines[name].cancel(job_id, world.now_ms)
        schedule_engine_poll(world, name)


def _report(world, key, delay_ms, event):
    world.call_later(delay_ms, _report_now, world, key, event)


def _report_now(world, key, event):
    if world.in_flight.pop(key, None) is not None:
        world.deliver_to_process(key[0], key[1], event)


def schedule_failure(world, key, delay_ms, sent):
    """Let an attempt fail after `delay_ms`."""
    world.call_later(delay_ms, _fail_now, world, key, sent)


def _fail_now(world, key, sent):
    attempt = world.in_flight.pop(key, None)
    if attempt is None:
        return
    emitted = attempt.request.emitted_tokens
    if attempt.job is not None:
        emitted = max(emitted, attempt.job.emitted_tokens(world.now_ms))
    failed = ev.AttemptFailed(attempt.attempt_id, sent, emitted)
    world.deliver_to_process(attempt.vm, attempt.process_number, failed)


def answer_error(world, host, request_id, error):
    """Give a caller, or the forwarding daemon, a final error."""
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
    delay_ms = _between(world, host.vm, attempt.vm)
    if attempt.request.started:
        schedule_failure(world, key, delay_ms, True)
    else:
        _report(world, key, delay_ms, ev.AttemptRefused(attempt.attempt_id, error))


def close_caller_request(world, caller_request, result, outcome):
    """Record the final answer of a caller's request."""
    if caller_request.result == "open" or result != "lost":
        caller_request.close(result, outcome, world.now_ms)
