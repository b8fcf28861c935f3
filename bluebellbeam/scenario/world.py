"""Real nodes in virtual time, over small fakes of what surrounds them.

The world carries out the commands of every node: a fixed one-way delay within
a region and between each two regions, and cuts between them. Engines, plain
services and the platform are the stand-ins. Nothing here decides anything.
"""

import heapq
import itertools

import msgspec

from bluebellbeam.node import NodeIdentity, Request, make_error, make_node
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.message import Envelope, decode_envelope, encode_envelope
from bluebellbeam.scenario.ticket import Ticket
from bluebellbeam.standins import EngineJob, make_store
from bluebellbeam.standins.deployment import make_fleet, publish_lists

__all__ = ["Host", "World", "make_world"]

LOCAL_MS = 1
CALLER_MS = 1
PLATFORM_MS = 5
CONNECT_TIMEOUT_MS = 1000
TOKEN_TIMEOUT_MS = 4000
PEER_TIMEOUT_MS = 2000
WATCH_MS = 25_000
LOAD_MS = 1500
LEAVING_LIMIT_MS = 3_000
"""Time after which a leaving backend server must get no new work."""

START_WALL_MS = 1_000_000
"""Wall-clock time at the start of a scenario, for incarnations."""


class Host:
    """One entry VM and the process that runs on it.

    Attributes
    ----------
    vm : str
    node : Node or None
        None while no process runs.
    run : int
        Counts the processes that ran here.
    frozen_ms : int
        The process stands still until this time.
    backlog : list of callable
        What arrived while it stood still.
    """

    __slots__ = ("vm", "region", "node", "run", "frozen_ms", "backlog", "incarnation")

    def __init__(self, vm, region):
        self.vm = vm
        self.region = region
        self.node = None
        self.run = 0
        self.frozen_ms = 0
        self.backlog = []
        self.incarnation = 0


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
        "over",
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
        self.over = False


class World:
    """A deployment in virtual time.

    Attributes
    ----------
    now_ms : float
    fleet : Fleet
    store : Store
    hosts : dict of str to Host
    tickets : dict of str to Ticket
    cuts : set of (str, str)
        Regions between which nothing passes, one way each.
    dead_servers : set of str
    frozen_servers : dict of str to float
    trace : list of str or None
        Lines of the session, where they are wanted.
    """

    __slots__ = (
        "now_ms",
        "fleet",
        "store",
        "hosts",
        "tickets",
        "flights",
        "cuts",
        "vm_cuts",
        "dead_servers",
        "frozen_servers",
        "addresses",
        "trace",
        "tick_ms",
        "policy",
        "seed",
        "base",
        "overlays",
        "check_codec",
        "watchers",
        "ended",
        "violations",
        "revisions",
        "peer_bytes",
        "peer_messages",
        "lose_replies",
        "held_revisions",
        "left_ms",
        "_heap",
        "_count",
        "server_jobs",
        "forwarded",
    )

    def __init__(self, base, overlays, seed, tick_ms, policy, slots, replicas):
        self.now_ms = 0.0
        self.base = base
        self.overlays = overlays
        self.fleet = make_fleet(base, slots, replicas)
        self.store = make_store()
        self.hosts = {}
        self.tickets = {}
        self.flights = {}
        self.cuts = set()
        self.vm_cuts = set()
        self.dead_servers = set()
        self.frozen_servers = {}
        self.addresses = {r.address: n for n, r in self.fleet.backends.items()}
        self.trace = None
        self.tick_ms = tick_ms
        self.policy = policy
        self.seed = seed
        self.check_codec = True
        self.watchers = []
        self.ended = {}
        self.violations = []
        self.revisions = {}
        self.peer_bytes = 0
        self.peer_messages = 0
        self.lose_replies = 0
        self.held_revisions = {}
        self.left_ms = {}
        self.server_jobs = {}
        self.forwarded = {}
        self._heap = []
        self._count = itertools.count()

    # Time

    def at(self, at_ms, step, *values):
        """Run `step` at `at_ms`."""
        heapq.heappush(self._heap, (at_ms, next(self._count), step, values))

    def after(self, delay_ms, step, *values):
        """Run `step` after `delay_ms`."""
        self.at(self.now_ms + delay_ms, step, *values)

    def run_until(self, end_ms):
        """Let time pass until `end_ms`."""
        heap = self._heap
        while heap and heap[0][0] <= end_ms:
            at_ms, _, step, values = heapq.heappop(heap)
            self.now_ms = at_ms
            step(*values)
        self.now_ms = end_ms

    def note(self, line):
        """Add a line to the trace of the session."""
        if self.trace is not None:
            self.trace.append(f"{int(self.now_ms):>7} {line}")

    # Entry VMs

    def start(self):
        """Publish everything and start every daemon."""
        publish_lists(self.store, self.fleet)
        self.publish_config(1)
        for i, vm in enumerate(self.fleet.entries):
            self.hosts[vm] = Host(vm, self.fleet.entries[vm].region)
            self.start_daemon(vm)
            self.after(1 + i * 3, self._tick, vm, self.hosts[vm].run)

    def publish_config(self, revision):
        """Publish the base and overlays as `revision`."""
        self.store.publish_config(revision, self.base, self.overlays)
        self.revisions[revision] = {
            name: frozenset(item["allowed_regions"])
            for name, item in self.base["workspaces"].items()
        }
        self.wake_watchers()

    def start_daemon(self, vm):
        """Start a process on an entry VM."""
        host = self.hosts[vm]
        record = self.fleet.entries[vm]
        host.run += 1
        host.incarnation = START_WALL_MS + int(self.now_ms) + host.run
        identity = NodeIdentity(
            vm=vm,
            incarnation=host.incarnation,
            region=record.region,
            failure_domain=record.failure_domain,
            site=self.fleet.site_of(vm),
            seed_peers=tuple(
                r.peer_address for n, r in self.fleet.entries.items() if n != vm
            )[:3],
        )
        seed = f"{self.seed}:{vm}:{host.run}"
        host.node = make_node(identity, seed, seed.encode(), self.policy)
        host.frozen_ms = 0
        host.backlog = []
        if host.run > 1:
            self.after(1, self._tick, vm, host.run)

    def kill_daemon(self, vm):
        """End the process on an entry VM without any notice."""
        host = self.hosts[vm]
        if host.node is None:
            return
        host.node = None
        self.note(f"{vm} is killed")
        for ticket in self.tickets.values():
            if ticket.vm == vm and ticket.result == "open":
                self.after(CALLER_MS, self._close, ticket, "lost", "")
        for key, flight in list(self.flights.items()):
            if flight.vm == vm:
                del self.flights[key]
                self.after(LOCAL_MS, self._abandon, flight)
            elif flight.peer == vm:
                self._fail_later(key, LOCAL_MS, True)

    def _abandon(self, flight):
        if flight.server and flight.job is not None:
            engine = self.fleet.engines.get(flight.server)
            if engine is not None:
                engine.cancel(flight.job.job_id, self.now_ms)
                self._watch_engine(flight.server)
        if flight.peer:
            self._deliver(flight.peer, ev.CallerLeft(flight.peer_request_id))

    def _tick(self, vm, run):
        host = self.hosts[vm]
        if host.node is None or host.run != run:
            return
        if self.now_ms >= host.frozen_ms:
            self._drain(host)
            if host.node is not None:
                self._carry_out(host, host.node.tick(int(self.now_ms)))
            self._watch_revision(host)
        self.after(self.tick_ms, self._tick, vm, run)

    def _watch_revision(self, host):
        config = host.node.state.config if host.node is not None else None
        if config is None:
            return
        key = (host.vm, host.run)
        before = self.held_revisions.get(key, 0)
        if config.revision < before:
            self.violations.append(f"revert: {host.vm} from {before}")
        self.held_revisions[key] = config.revision

    def _drain(self, host):
        backlog, host.backlog = host.backlog, []
        for step, values in backlog:
            step(*values)

    def _deliver(self, vm, event):
        host = self.hosts[vm]
        if host.node is None:
            return
        if self.now_ms < host.frozen_ms:
            host.backlog.append((self._deliver, (vm, event)))
            return
        self._carry_out(host, host.node.handle(event, int(self.now_ms)))

    def _deliver_run(self, vm, run, event):
        if self.hosts[vm].run == run:
            self._deliver(vm, event)

    def usable_daemons(self, region=None):
        """Return the entry VMs whose process runs, in order of their name."""
        return [
            vm
            for vm, host in sorted(self.hosts.items())
            if host.node is not None and (region is None or host.region == region)
        ]

    # Reachability

    def delay_ms(self, here, there):
        """Return the one-way delay between two regions."""
        if here == there:
            return LOCAL_MS
        delays = self.base["regions"][here].get("one_way_delay_ms", {})
        return delays.get(there, 40)

    def _is_cut(self, here, there):
        return (here, there) in self.cuts

    def _peers_cut(self, vm, other):
        if (vm, other) in self.vm_cuts:
            return True
        return self._is_cut(self.hosts[vm].region, self.hosts[other].region)

    # Commands

    def _carry_out(self, host, commands):
        for command in commands:
            match command:
                case cmd.StartAttempt():
                    self._start_attempt(host, command)
                case cmd.CancelAttempt(attempt_id):
                    self._cancel(host, attempt_id)
                case cmd.AnswerError(request_id, error):
                    self._answer_error(host, request_id, error)
                case cmd.AnswerRecorded(request_id, _):
                    ticket = self.tickets[request_id]
                    self.after(CALLER_MS, self._close, ticket, "repeated", "ran")
                case cmd.SendPeer():
                    self._send_peer(host, command)
                case cmd.ReadFeed():
                    self._read_feed(host, command)
                case cmd.ReadLoad():
                    self._read_load(host, command)
                case cmd.GiveOrder():
                    self._give_order(host, command)
                case cmd.Log(part, sentence):
                    self.note(f"{host.vm} {part}: {sentence}")
                case cmd.Exit():
                    self.ended[(host.vm, host.run)] = int(self.now_ms)
                    host.node = None
                    self.note(f"{host.vm} has ended")

    def _read_feed(self, host, command):
        if self.store.down or ("platform", host.region) in self.cuts:
            self.store.calls += 1
            unavailable = ev.FeedUnavailable(command.key, "no answer")
            self.after(2000, self._deliver_run, host.vm, host.run, unavailable)
            return
        snapshot = self.store.read(command.key)
        if command.wait and snapshot and snapshot.version == command.after_version:
            self.watchers.append((host.vm, host.run, command.key))
            self.after(WATCH_MS, self._end_watch, host.vm, host.run, command.key)
            return
        if snapshot is None:
            event = ev.FeedUnavailable(command.key, "no value")
        else:
            event = ev.FeedRead(snapshot)
        self.after(PLATFORM_MS, self._deliver_run, host.vm, host.run, event)

    def _end_watch(self, vm, run, key):
        if (vm, run, key) in self.watchers:
            self.watchers.remove((vm, run, key))
            self._answer_watch(vm, run, key)

    def wake_watchers(self):
        """Answer every watch that waits at the platform."""
        waiting, self.watchers = self.watchers, []
        for vm, run, key in waiting:
            self._answer_watch(vm, run, key)

    def _answer_watch(self, vm, run, key):
        if self.store.down or ("platform", self.hosts[vm].region) in self.cuts:
            event = ev.FeedUnavailable(key, "no answer")
        else:
            event = ev.FeedRead(self.store.read(key))
            self.store.calls -= 1
        self.after(PLATFORM_MS, self._deliver_run, vm, run, event)

    def publish_vms(self, key):
        """Publish the present VM records of a list."""
        if key == "entries":
            rows = self.fleet.entries.values()
        else:
            region = key.partition("/")[2]
            rows = [r for r in self.fleet.backends.values() if r.region == region]
        self.store.publish_vms(key, rows)
        self.wake_watchers()

    def _reach(self, host, address):
        """Return ``(server name or None, whether the failure is quick)``."""
        name = self.addresses.get(address)
        if name is None:
            return None, False
        region = self.fleet.backends[name].region
        if self._is_cut(host.region, region) or (host.vm, name) in self.vm_cuts:
            return None, False
        if name in self.dead_servers:
            return None, True
        return name, True

    def _server_frozen(self, name):
        return self.frozen_servers.get(name, 0) > self.now_ms

    def _read_load(self, host, command):
        name, _ = self._reach(host, command.address)
        event, delay_ms = ev.LoadMissed(command.server), CONNECT_TIMEOUT_MS
        if name is not None and not self._server_frozen(name):
            server = self.fleet.server(name)
            event, delay_ms = _load_event(command.server, server, self.now_ms), 2
        self.after(delay_ms, self._deliver_run, host.vm, host.run, event)
        engine = self.fleet.engines.get(name)
        events = engine.take_cache_events() if engine is not None else None
        if events is not None:
            for vm in self.usable_daemons(host.region):
                heard = ev.CacheEventsHeard(events)
                self.after(500, self._deliver_run, vm, self.hosts[vm].run, heard)

    def _give_order(self, host, command):
        name, _ = self._reach(host, command.address)
        reason = "no answer"
        if name is not None:
            engine = self.fleet.engines[name]
            reason = engine.take_order(command.order, self.now_ms, LOAD_MS)
            self._watch_engine(name)
            self.note(f"order {name} {command.order.load} from {host.vm}: {reason}")
        answer = ev.OrderAnswered(command.order.server, reason is None, reason or "")
        self.after(2 * LOCAL_MS, self._deliver_run, host.vm, host.run, answer)

    def _send_peer(self, host, command):
        target = command.address.partition(":")[2] or command.vm
        self.peer_messages += 1
        own = Envelope(host.vm, host.incarnation, command.messages)
        if self.check_codec:
            raw = encode_envelope(own)
            self.peer_bytes += len(raw)
            own = decode_envelope(raw)
        other = self.hosts.get(target)
        if other is None or other.node is None or self._peers_cut(host.vm, target):
            dead = other is None or other.node is None
            delay_ms = LOCAL_MS if dead else PEER_TIMEOUT_MS
            if command.vm:
                event = ev.PeerUnreachable(command.vm)
                self.after(delay_ms, self._deliver_run, host.vm, host.run, event)
            return
        delay_ms = self.delay_ms(host.region, other.region)
        self.after(delay_ms, self._hear_peer, host.vm, target, own)

    def _hear_peer(self, sender, target, envelope):
        host = self.hosts[target]
        if host.node is None:
            return
        if self.now_ms < host.frozen_ms:
            host.backlog.append((self._hear_peer, (sender, target, envelope)))
            return
        answers = any(type(m).__name__ == "Pong" for m in envelope.messages)
        event = ev.PeerHeard(envelope, answers)
        self._carry_out(host, host.node.handle(event, int(self.now_ms)))

    # Attempts

    def _start_attempt(self, host, command):
        if command.request.request_id in self.tickets:
            ticket = self.tickets[command.request.request_id]
        else:
            ticket = self.forwarded[(host.vm, command.request.request_id)].ticket
        flight = Flight(host.vm, host.run, command, ticket)
        key = (host.vm, host.run, command.attempt_id)
        self.flights[key] = flight
        if command.peer:
            self._start_at_peer(host, key, flight, command)
        else:
            self._start_at_server(host, key, flight, command)

    def _start_at_server(self, host, key, flight, command):
        flight.ticket.attempts += 1
        name, quick = self._reach(host, command.address)
        if name is None:
            delay_ms = LOCAL_MS if quick else CONNECT_TIMEOUT_MS
            self._fail_later(key, delay_ms, False)
            return
        self.after(LOCAL_MS, self._arrive_at_server, key, name, command)

    def _arrive_at_server(self, key, name, command):
        flight = self.flights.get(key)
        if flight is None:
            return
        if name in self.dead_servers:
            self._fail_later(key, LOCAL_MS, True)
            return
        server = self.fleet.server(name)
        expected = (command.server, command.incarnation)
        if (server.record.name, server.record.incarnation) != expected:
            error = make_error("upstream_failed", outcome="not_run")
            refused = ev.AttemptRefused(flight.attempt_id, error)
            self._report(key, LOCAL_MS, refused)
            return
        flight.server = name
        if name in self.fleet.services:
            self._run_service(key, flight, server)
        else:
            self._run_engine(key, flight, server, command)

    def _run_service(self, key, flight, server):
        request = flight.request
        ticket = flight.ticket
        label = ticket.operation or ticket.ticket_id
        took_ms = server.begin(label, request.idempotent, self.now_ms)
        if self._server_frozen(server.record.name):
            took_ms += self.frozen_servers[server.record.name] - self.now_ms
        ticket.regions.append(server.record.region)
        ticket.service_runs += 1
        self._check_leaving(server.record.name)
        self.after(took_ms, self._end_service, key, server)

    def _end_service(self, key, server):
        server.end()
        flight = self.flights.get(key)
        if flight is None or server.record.name in self.dead_servers:
            return
        if self.lose_replies > 0:
            self.lose_replies -= 1
            self._fail_later(key, LOCAL_MS, True)
            return
        self.after(LOCAL_MS, self._finish_service, key)

    def _finish_service(self, key):
        flight = self.flights.get(key)
        if flight is None:
            return
        kept = None if flight.request.idempotent else "answer"
        self._pass_first(key, flight)
        self._pass_done(key, flight, 0, kept, None)

    def _run_engine(self, key, flight, engine, command):
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
        refused = engine.submit(job, self.now_ms)
        if refused is not None:
            error = make_error("upstream_failed", outcome="not_run")
            report = engine.brief_load(self.now_ms)
            self._report(key, 1, ev.AttemptRefused(flight.attempt_id, error, report))
            return
        flight.job = job
        self._check_leaving(engine.record.name)
        flight.ticket.regions.append(engine.record.region)
        self._watch_engine(engine.record.name)

    def _check_leaving(self, name):
        if self.now_ms - self.left_ms.get(name, self.now_ms) > LEAVING_LIMIT_MS:
            self.violations.append(f"leaving: {name} got new work")

    def _watch_engine(self, name):
        due_ms = self.fleet.engines[name].next_due_ms()
        if due_ms is not None:
            self.at(max(due_ms, self.now_ms), self._poll_engine, name)

    def _poll_engine(self, name):
        if name in self.dead_servers:
            return
        if self._server_frozen(name):
            self.at(self.frozen_servers[name], self._poll_engine, name)
            return
        engine = self.fleet.engines[name]
        for event in engine.poll(self.now_ms):
            flight = self.flights.get(event.job_id)
            if flight is not None:
                self.after(LOCAL_MS, self._engine_event, event, flight, engine)
        self._watch_engine(name)

    def _engine_event(self, event, flight, engine):
        key = event.job_id
        if self.flights.get(key) is not flight:
            return
        self._add_cost(flight, engine, event.kind)
        if event.kind == "first":
            self._pass_first(key, flight)
        else:
            report = engine.brief_load(self.now_ms)
            self._pass_done(key, flight, flight.job.output_tokens, None, report)

    def _add_cost(self, flight, engine, kind):
        """Charge the prompt with the first token, the output with the end."""
        job = flight.job
        prices = self.base["regions"][engine.record.region]
        tokens = job.output_tokens
        if kind == "first":
            tokens = job.prompt_tokens - job.cached_tokens
        cost = tokens / 1000.0 * prices["price_per_1k_tokens"]
        if flight.ticket.vm in self.hosts:
            home = self.hosts[flight.ticket.vm].region
            if home != engine.record.region and kind == "first":
                carried = (job.prompt_tokens + job.output_tokens) / 1000.0
                cost += carried * prices["wan_price_per_1k_tokens"]
        flight.ticket.cost += cost

    def _pass_first(self, key, flight):
        host = self.hosts[flight.vm]
        if host.run != flight.run or host.node is None:
            return
        if self.now_ms < host.frozen_ms:
            host.backlog.append((self._pass_first, (key, flight)))
            return
        self._deliver(flight.vm, ev.AttemptStarted(flight.attempt_id))
        if self.flights.get(key) is flight:
            self._relay_first(flight)

    def _relay_first(self, flight):
        onward = self.forwarded.get((flight.vm, flight.request.request_id))
        if onward is None:
            if flight.request.origin:
                return
            ticket = flight.ticket
            if ticket.first_ms is None:
                ticket.first_ms = self.now_ms + CALLER_MS
            return
        key = (onward.vm, onward.run, onward.attempt_id)
        if self._peers_cut(flight.vm, onward.vm):
            self._fail_later(key, TOKEN_TIMEOUT_MS, True)
            return
        delay_ms = self._between(flight.vm, onward.vm)
        self.after(delay_ms, self._pass_first, key, onward)

    def _pass_done(self, key, flight, tokens, kept, report):
        host = self.hosts[flight.vm]
        if host.run != flight.run or host.node is None:
            return
        if self.now_ms < host.frozen_ms:
            step = (key, flight, tokens, kept, report)
            host.backlog.append((self._pass_done, step))
            return
        if self.flights.get(key) is not flight:
            return
        del self.flights[key]
        done = ev.AttemptFinished(flight.attempt_id, tokens, kept, report)
        live = flight.attempt_id in host.node.state.attempts
        self._deliver(flight.vm, done)
        if not live:
            return
        onward = self.forwarded.pop((flight.vm, flight.request.request_id), None)
        if onward is None and flight.request.origin:
            return
        if onward is None:
            flight.ticket.tokens = tokens
            self.after(CALLER_MS, self._close, flight.ticket, "whole", "ran")
            return
        onward_key = (onward.vm, onward.run, onward.attempt_id)
        if self._peers_cut(flight.vm, onward.vm):
            self._fail_later(onward_key, TOKEN_TIMEOUT_MS, True)
            return
        if self.lose_replies > 0 and flight.request.service:
            self.lose_replies -= 1
            self._fail_later(onward_key, LOCAL_MS, True)
            return
        delay_ms = self._between(flight.vm, onward.vm)
        self.after(delay_ms, self._pass_done, onward_key, onward, tokens, kept, None)

    def _between(self, vm, other):
        return self.delay_ms(self.hosts[vm].region, self.hosts[other].region)

    def _start_at_peer(self, host, key, flight, command):
        target = self.hosts[command.peer]
        if target.node is None or self._peers_cut(host.vm, command.peer):
            quick = target.node is None
            self._fail_later(key, LOCAL_MS if quick else CONNECT_TIMEOUT_MS, False)
            return
        flight.peer_request_id = f"{host.vm}/{host.run}/{command.attempt_id}"
        flight.ticket.away = True
        left_ms = command.request.deadline_ms - self.now_ms
        delay_ms = self.delay_ms(host.region, target.region)
        self.after(delay_ms, self._arrive_at_peer, key, flight, command, left_ms)

    def _arrive_at_peer(self, key, flight, command, left_ms):
        host = self.hosts[command.peer]
        if host.node is None:
            self._fail_later(key, LOCAL_MS, True)
            return
        if self.now_ms < host.frozen_ms:
            step = (key, flight, command, left_ms)
            host.backlog.append((self._arrive_at_peer, step))
            return
        request = command.request
        sender = self.hosts[flight.vm]
        if sender.node is None:
            return
        revision = sender.node.state.config.revision
        self.forwarded[(command.peer, flight.peer_request_id)] = flight
        if request.origin:
            self.violations.append(f"loop: {request.request_id} forwarded twice")
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
            deadline_ms=int(self.now_ms + left_ms),
            allowed=request.allowed,
            revision=revision,
            lease_id=command.lease_id,
        )
        arrived.emitted_tokens = command.resume_tokens
        self._deliver(command.peer, ev.RequestArrived(arrived))

    def _cancel(self, host, attempt_id):
        flight = self.flights.pop((host.vm, host.run, attempt_id), None)
        if flight is None:
            return
        if flight.peer:
            onward = (flight.peer, flight.peer_request_id)
            self.forwarded.pop(onward, None)
            if not self._peers_cut(host.vm, flight.peer):
                delay_ms = self._between(host.vm, flight.peer)
                left = ev.CallerLeft(flight.peer_request_id)
                self.after(delay_ms, self._deliver, flight.peer, left)
        elif flight.job is not None:
            self.after(LOCAL_MS, self._cancel_job, flight.server, flight.job.job_id)

    def _cancel_job(self, name, job_id):
        if name not in self.dead_servers:
            self.fleet.engines[name].cancel(job_id, self.now_ms)
            self._watch_engine(name)

    def _report(self, key, delay_ms, event):
        self.after(delay_ms, self._report_now, key, event)

    def _report_now(self, key, event):
        if self.flights.pop(key, None) is not None:
            self._deliver_run(key[0], key[1], event)

    def _fail_later(self, key, delay_ms, sent):
        self.after(delay_ms, self._fail_now, key, sent)

    def _fail_now(self, key, sent):
        flight = self.flights.pop(key, None)
        if flight is None:
            return
        emitted = flight.request.emitted_tokens
        if flight.job is not None:
            emitted = max(emitted, flight.job.emitted_tokens(self.now_ms))
        failed = ev.AttemptFailed(flight.attempt_id, sent, emitted)
        self._deliver_run(flight.vm, flight.run, failed)

    def _answer_error(self, host, request_id, error):
        ticket = self.tickets.get(request_id)
        if ticket is not None:
            ticket.retry_after_ms = error.retry_after_ms
            self.note(f"{request_id} answer {error.code} {error.outcome}")
            self.after(CALLER_MS, self._close, ticket, error.code, error.outcome)
            return
        flight = self.forwarded.pop((host.vm, request_id), None)
        if flight is None:
            return
        key = (flight.vm, flight.run, flight.attempt_id)
        if self._peers_cut(host.vm, flight.vm):
            self._fail_later(key, TOKEN_TIMEOUT_MS, True)
            return
        delay_ms = self._between(host.vm, flight.vm)
        if flight.request.started:
            self._fail_later(key, delay_ms, True)
        else:
            self._report(key, delay_ms, ev.AttemptRefused(flight.attempt_id, error))

    def _close(self, ticket, result, outcome):
        if ticket.result == "open" or result != "lost":
            ticket.close(result, outcome, self.now_ms)

    # Callers

    def send(self, ticket_id, workspace, vm, **spec):
        """Send a request of `workspace` to entry VM `vm`; return its ticket.

        Parameters
        ----------
        **spec
            ``kind`` (chat, read or change) and fields of a
            :class:`~bluebellbeam.node.Request`. ``operation`` labels the
            change that repeats share, ``operation_id`` is sent along.
        """
        spec = dict(spec)
        kind = spec.pop("kind")
        ticket = Ticket(ticket_id, workspace, vm, kind, self.now_ms)
        ticket.operation = spec.pop("operation", "") or ticket_id
        ticket.operation_id = spec.get("operation_id", "")
        ticket.expected_tokens = spec.get("max_output_tokens", 0)
        ticket.run = self.hosts[vm].run
        self.tickets[ticket_id] = ticket
        request = Request(ticket_id, workspace, **spec)
        self.after(CALLER_MS, self._arrive, vm, ticket, request)
        return ticket

    def _arrive(self, vm, ticket, request):
        host = self.hosts[vm]
        if host.node is None:
            ticket.close("unreachable", "not_run", self.now_ms)
            return
        self._deliver(vm, ev.RequestArrived(request))

    def issue_operation(self, vm, workspace):
        """Return an operation id issued by the daemon on `vm`, or empty."""
        node = self.hosts[vm].node
        if node is None:
            return ""
        return node.issue_operation(workspace, int(self.now_ms))

    # Faults

    def cut_region(self, region):
        """Cut a region off from every other one, both ways."""
        for other in self.base["regions"]:
            if other != region:
                self.cut_link(region, other)

    def cut_link(self, here, there):
        """Cut the link between two regions, both ways."""
        self.cuts |= {(here, there), (there, here)}
        self._break_flights()

    def heal(self):
        """End every cut."""
        self.cuts.clear()
        self.vm_cuts.clear()

    def _break_flights(self):
        for key, flight in list(self.flights.items()):
            if flight.peer and self._peers_cut(flight.vm, flight.peer):
                self._fail_later(key, TOKEN_TIMEOUT_MS, True)
                self.after(
                    TOKEN_TIMEOUT_MS,
                    self._deliver,
                    flight.peer,
                    ev.CallerLeft(flight.peer_request_id),
                )

    def freeze_daemon(self, vm, for_ms):
        """Let the process on `vm` stand still."""
        self.hosts[vm].frozen_ms = self.now_ms + for_ms

    def stop_daemon(self, vm):
        """Ask the daemon on `vm` for a graceful shutdown."""
        if self.hosts[vm].node is not None:
            self._deliver(vm, ev.StopRequested())

    def kill_server(self, name):
        """End a backend server without any notice."""
        self.dead_servers.add(name)
        for key, flight in list(self.flights.items()):
            if flight.server == name:
                self._fail_later(key, LOCAL_MS, True)
        engine = self.fleet.engines.get(name)
        if engine is not None:
            engine.clear()

    def return_server(self, name):
        """Start a killed backend server again, as a new incarnation."""
        self.dead_servers.discard(name)
        server = self.fleet.server(name)
        record = msgspec.structs.replace(
            server.record, incarnation=server.record.incarnation + 1, state="live"
        )
        server.record = record
        server.leaving = False
        self.left_ms.pop(name, None)
        self.fleet.backends[name] = record
        self.after(1500, self.publish_vms, f"backends/{record.region}")

    def leave_server(self, name, list_lag_ms=10_000):
        """Let a backend server leave; the VM list shows it later."""
        server = self.fleet.server(name)
        server.leaving = True
        self.left_ms[name] = self.now_ms
        self.after(list_lag_ms, self._list_leaving, name)

    def _list_leaving(self, name):
        record = msgspec.structs.replace(self.fleet.backends[name], state="leaving")
        self.fleet.backends[name] = record
        self.publish_vms(f"backends/{record.region}")

    def freeze_server(self, name, for_ms):
        """Let a backend server stand still."""
        self.frozen_servers[name] = self.now_ms + for_ms


def _load_event(asked, server, now_ms):
    report = server.report(now_ms)
    if report is None:
        record = server.record
        return ev.ServerConfirmed(asked, record.name, record.incarnation)
    return ev.LoadReported(asked, report)


def make_world(
    base, overlays, seed=0, tick_ms=50, policy=None, slots=8, service_replicas=1
):
    """Return a world that has not been started.

    Parameters
    ----------
    base, overlays : dict
        Decoded JSON of a deployment.
    seed : int
    tick_ms : int
        Interval of every node's ticks.
    policy : optional
        Routing policy of every node.
    slots : int
        Slots of each engine.
    service_replicas : int
        Replicas of each plain service in each region.
    """
    return World(base, overlays, seed, tick_ms, policy, slots, service_replicas)
