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
    "close_ticket",
    "fail_later",
    "start_attempt",
    "watch_engine",
]

LOCAL_MS = 1
CALLER_MS = 1
CONNECT_TIMEOUT_MS = 1000
TOKEN_TIMEOUT_MS = 4000
LEAVING_LIMIT_MS = 3_000
"""Time after which a leaving backend server must get no new work."""


class Flight:
    """An attempt on its way, as the world sees it.

    Attributes
    ----------
    vm, run, attempt_id : str, int, int
        The process that started it.
    ticket : Ticket
    server, peer : str
    peer_request_id : str
    job : EngineJob or None
    """

    __slots__ = (
        "vm",
        "run",
        "attempt_id",
        "request",
        "ticket",
        "server",
        "peer",
        "peer_request_id",
        "job",
    )

    def __init__(self, vm, run, command, ticket):
        self.vm = vm
        self.run = run
        self.attempt_id = command.attempt_id
        self.request = command.request
        self.ticket = ticket
        self.server = ""
        self.peer = command.peer
        self.peer_request_id = ""
        self.job = None


def abandon_attempt(world, flight):
    """End an attempt whose daemon has been killed."""
    if flight.server and flight.job is not None:
        engine = world.fleet.engines.get(flight.server)
        if engine is not None:
            engine.cancel(flight.job.job_id, world.now_ms)
            watch_engine(world, flight.server)
    if flight.peer:
        world.deliver(flight.peer, ev.CallerDisconnected(flight.peer_request_id))


def start_attempt(world, host, command):
    """Send an attempt to its backend server or lender."""
    if command.request.request_id in world.tickets:
        ticket = world.tickets[command.request.request_id]
    else:
        ticket = world.forwarded[(host.vm, command.request.request_id)].ticket
    flight = Flight(host.vm, host.run, command, ticket)
    key = (host.vm, host.run, command.attempt_id)
    world.flights[key] = flight
    if command.peer:
        _start_at_peer(world, host, key, flight, command)
    else:
        _start_at_server(world, host, key, flight, command)


def _start_at_server(world, host, key, flight, command):
    flight.ticket.attempts += 1
    name, quick = world.reach(host, command.address)
    if name is None:
        delay_ms = LOCAL_MS if quick else CONNECT_TIMEOUT_MS
        fail_later(world, key, delay_ms, False)
        return
    world.after(LOCAL_MS, _arrive_at_server, world, key, name, command)


def _arrive_at_server(world, key, name, command):
    flight = world.flights.get(key)
    if flight is None:
        return
    if name in world.dead_servers:
        fail_later(world, key, LOCAL_MS, True)
        return
    server = world.fleet.server(name)
    expected = (command.server, command.incarnation)
    if (server.record.name, server.record.incarnation) != expected:
        error = make_error("upstream_failed", outcome="not_run")
        refused = ev.AttemptRefused(flight.attempt_id, error)
        _report(world, key, LOCAL_MS, refused)
        return
    flight.server = name
    if name in world.fleet.services:
        _run_service(world, key, flight, server)
    else:
        _run_engine(world, key, flight, server, command)


def _run_service(world, key, flight, server):
    request = flight.request
    ticket = flight.ticket
    label = ticket.operation or ticket.ticket_id
    took_ms = server.begin(label, request.idempotent, world.now_ms)
    if world.is_frozen(server.record.name):
        took_ms += world.frozen_servers[server.record.name] - world.now_ms
    ticket.regions.append(server.record.region)
    _check_leaving(world, server.record.name)
    world.after(took_ms, _end_service, world, key, server)


def _end_service(world, key, server):
    server.end()
    flight = world.flights.get(key)
    if flight is None or server.record.name in world.dead_servers:
        return
    if world.lose_replies > 0:
        world.lose_replies -= 1
        fail_later(world, key, LOCAL_MS, True)
        return
    world.after(LOCAL_MS, _finish_service, world, key)


def _finish_service(world, key):
    flight = world.flights.get(key)
    if flight is None:
        return
    kept = None if flight.request.idempotent else "answer"
    _pass_first(world, key, flight)
    _pass_done(world, key, flight, 0, kept, None)


def _run_engine(world, key, flight, engine, command):
    request = flight.request
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
        report = engine.brief_load(world.now_ms)
        _report(world, key, 1, ev.AttemptRefused(flight.attempt_id, error, report))
        return
    flight.job = job
    _check_leaving(world, engine.record.name)
    flight.ticket.regions.append(engine.record.region)
    watch_engine(world, engine.record.name)


def _check_leaving(world, name):
    if world.now_ms - world.left_ms.get(name, world.now_ms) > LEAVING_LIMIT_MS:
        world.violations.append(f"leaving: {name} got new work")


def watch_engine(world, name):
    """Look at an engine again when its next event is due."""
    due_ms = world.fleet.engines[name].next_due_ms()
    if due_ms is not None:
        world.at(max(due_ms, world.now_ms), _poll_engine, world, name)


def _poll_engine(world, name):
    if name in world.dead_servers:
        return
    if world.is_frozen(name):
        world.at(world.frozen_servers[name], _poll_engine, world, name)
        return
    engine = world.fleet.engines[name]
    for event in engine.poll(world.now_ms):
        flight = world.flights.get(event.job_id)
        if flight is not None:
            world.after(LOCAL_MS, _engine_event, world, event, flight, engine)
    watch_engine(world, name)


def _engine_event(world, event, flight, engine):
    key = event.job_id
    if world.flights.get(key) is not flight:
        return
    _add_cost(world, flight, engine, event.kind)
    if event.kind == "first":
        _pass_first(world, key, flight)
    else:
        report = engine.brief_load(world.now_ms)
        _pass_done(world, key, flight, flight.job.output_tokens, None, report)


def _add_cost(world, flight, engine, kind):
    """Charge the prompt with the first token, the output with the end."""
    job = flight.job
    prices = world.base["regions"][engine.record.region]
    tokens = job.output_tokens
    if kind == "first":
        tokens = job.prompt_tokens - job.cached_tokens
    cost = tokens / 1000.0 * prices["price_per_1k_tokens"]
    if flight.ticket.vm in world.hosts:
        home = world.hosts[flight.ticket.vm].region
        if home != engine.record.region and kind == "first":
            carried = (job.prompt_tokens + job.output_tokens) / 1000.0
            cost += carried * prices["wan_price_per_1k_tokens"]
    flight.ticket.cost += cost


def _pass_first(world, key, flight):
    host = world.hosts[flight.vm]
    if host.run != flight.run or host.node is None:
        return
    if world.now_ms < host.frozen_ms:
        host.backlog.append((_pass_first, (world, key, flight)))
        return
    world.deliver(flight.vm, ev.AttemptStarted(flight.attempt_id))
    if world.flights.get(key) is flight:
        _relay_first(world, flight)


def _relay_first(world, flight):
    onward = world.forwarded.get((flight.vm, flight.request.request_id))
    if onward is None:
        if flight.request.origin:
            return
        ticket = flight.ticket
        if ticket.first_ms is None:
            ticket.first_ms = world.now_ms + CALLER_MS
        return
    key = (onward.vm, onward.run, onward.attempt_id)
    if world.peers_cut(flight.vm, onward.vm):
        fail_later(world, key, TOKEN_TIMEOUT_MS, True)
        return
    delay_ms = _between(world, flight.vm, onward.vm)
    world.after(delay_ms, _pass_first, world, key, onward)


def _pass_done(world, key, flight, tokens, kept, report):
    host = world.hosts[flight.vm]
    if host.run != flight.run or host.node is None:
        return
    if world.now_ms < host.frozen_ms:
        step = (key, flight, tokens, kept, report)
        host.backlog.append((_pass_done, (world, *step)))
        return
    if world.flights.get(key) is not flight:
        return
    del world.flights[key]
    done = ev.AttemptFinished(flight.attempt_id, tokens, kept, report)
    live = flight.attempt_id in host.node.state.attempts
    world.deliver(flight.vm, done)
    if not live:
        return
    onward = world.forwarded.pop((flight.vm, flight.request.request_id), None)
    if onward is None and flight.request.origin:
        return
    if onward is None:
        flight.ticket.tokens = tokens
        world.after(CALLER_MS, close_ticket, world, flight.ticket, "whole", "ran")
        return
    onward_key = (onward.vm, onward.run, onward.attempt_id)
    if world.peers_cut(flight.vm, onward.vm):
        fail_later(world, onward_key, TOKEN_TIMEOUT_MS, True)
        return
    if world.lose_replies > 0 and flight.request.service:
        world.lose_replies -= 1
        fail_later(world, onward_key, LOCAL_MS, True)
        return
    delay_ms = _between(world, flight.vm, onward.vm)
    world.after(delay_ms, _pass_done, world, onward_key, onward, tokens, kept, None)


def _between(world, vm, other):
    return world.delay_ms(world.hosts[vm].region, world.hosts[other].region)


def _start_at_peer(world, host, key, flight, command):
    target = world.hosts[command.peer]
    if target.node is None or world.peers_cut(host.vm, command.peer):
        quick = target.node is None
        fail_later(world, key, LOCAL_MS if quick else CONNECT_TIMEOUT_MS, False)
        return
    flight.peer_request_id = f"{host.vm}/{host.run}/{command.attempt_id}"
    flight.ticket.away = True
    left_ms = command.request.deadline_ms - world.now_ms
    delay_ms = world.delay_ms(host.region, target.region)
    world.after(delay_ms, _arrive_at_peer, world, key, flight, command, left_ms)


def _arrive_at_peer(world, key, flight, command, left_ms):
    host = world.hosts[command.peer]
    if host.node is None:
        fail_later(world, key, LOCAL_MS, True)
        return
    if world.now_ms < host.frozen_ms:
        step = (key, flight, command, left_ms)
        host.backlog.append((_arrive_at_peer, (world, *step)))
        return
    request = command.request
    sender = world.hosts[flight.vm]
    if sender.node is None:
        return
    revision = sender.node.state.config.revision
    world.forwarded[(command.peer, flight.peer_request_id)] = flight
    if request.origin:
        world.violations.append(f"loop: {request.request_id} forwarded twice")
    arrived = Request(
        flight.peer_request_id,
        request.workspace,
        origin=flight.vm,
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
    flight = world.flights.pop((host.vm, host.run, attempt_id), None)
    if flight is None:
        return
    if flight.peer:
        onward = (flight.peer, flight.peer_request_id)
        world.forwarded.pop(onward, None)
        if not world.peers_cut(host.vm, flight.peer):
            delay_ms = _between(world, host.vm, flight.peer)
            left = ev.CallerDisconnected(flight.peer_request_id)
            world.after(delay_ms, world.deliver, flight.peer, left)
    elif flight.job is not None:
        world.after(LOCAL_MS, _cancel_job, world, flight.server, flight.job.job_id)


def _cancel_job(world, name, job_id):
    if name not in world.dead_servers:
        world.fleet.engines[name].cancel(job_id, world.now_ms)
        watch_engine(world, name)


def _report(world, key, delay_ms, event):
    world.after(delay_ms, _report_now, world, key, event)


def _report_now(world, key, event):
    if world.flights.pop(key, None) is not None:
        world.deliver_run(key[0], key[1], event)


def fail_later(world, key, delay_ms, sent):
    """Let an attempt fail after `delay_ms`."""
    world.after(delay_ms, _fail_now, world, key, sent)


def _fail_now(world, key, sent):
    flight = world.flights.pop(key, None)
    if flight is None:
        return
    emitted = flight.request.emitted_tokens
    if flight.job is not None:
        emitted = max(emitted, flight.job.emitted_tokens(world.now_ms))
    failed = ev.AttemptFailed(flight.attempt_id, sent, emitted)
    world.deliver_run(flight.vm, flight.run, failed)


def answer_error(world, host, request_id, error):
    """Give a caller, or the forwarding daemon, a final error."""
    ticket = world.tickets.get(request_id)
    if ticket is not None:
        ticket.retry_after_ms = error.retry_after_ms
        world.note(f"{request_id} answer {error.code} {error.outcome}")
        world.after(CALLER_MS, close_ticket, world, ticket, error.code, error.outcome)
        return
    flight = world.forwarded.pop((host.vm, request_id), None)
    if flight is None:
        return
    key = (flight.vm, flight.run, flight.attempt_id)
    if world.peers_cut(host.vm, flight.vm):
        fail_later(world, key, TOKEN_TIMEOUT_MS, True)
        return
    delay_ms = _between(world, host.vm, flight.vm)
    if flight.request.started:
        fail_later(world, key, delay_ms, True)
    else:
        _report(world, key, delay_ms, ev.AttemptRefused(flight.attempt_id, error))


def close_ticket(world, ticket, result, outcome):
    """Record the final answer of a caller's request."""
    if ticket.result == "open" or result != "lost":
        ticket.close(result, outcome, world.now_ms)
