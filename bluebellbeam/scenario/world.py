"""Real nodes in virtual time, over small fakes of what surrounds them.

The world carries out the commands of every node: a fixed one-way delay within
a region and between each two regions, and cuts between them. Engines, plain
services and the platform are the stand-ins. Nothing here decides anything.
"""

import heapq
import itertools

import msgspec

from bluebellbeam.node import NodeIdentity, Request, make_node
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.scenario.attempts import (
    CALLER_DELAY_MS,
    LOCAL_DELAY_MS,
    TOKEN_TIMEOUT_MS,
    abandon_attempt,
    answer_error,
    cancel_attempt,
    close_caller_request,
    schedule_failure,
    start_attempt,
)
from bluebellbeam.scenario.caller_request import CallerRequest
from bluebellbeam.scenario.environment import (
    answer_watch,
    poll_load,
    read_feed,
    send_order,
    send_to_peer,
)
from bluebellbeam.standins import make_store, make_weight_store
from bluebellbeam.standins.deployment import make_fleet, publish_vm_lists

__all__ = ["Host", "World", "make_world"]

START_WALL_CLOCK_MS = 1_000_000
"""Wall-clock time at the start of a scenario, for incarnations."""


class Host:
    """One entry VM and the process that runs on it.

    Attributes
    ----------
    vm : str
    node : Node or None
        None while no process runs.
    process_number : int
        Counts the processes that ran here.
    frozen_until_ms : int
        The process stands still until this time.
    backlog : list of callable
        What arrived while it stood still.
    """

    __slots__ = (
        "vm",
        "region",
        "node",
        "process_number",
        "frozen_until_ms",
        "backlog",
        "incarnation",
    )

    def __init__(self, vm, region):
        self.vm = vm
        self.region = region
        self.node = None
        self.process_number = 0
        self.frozen_until_ms = 0
        self.backlog = []
        self.incarnation = 0


class World:
    """A deployment in virtual time.

    Attributes
    ----------
    now_ms : float
    fleet : Fleet
    store : Store
    weights : WeightStore
    hosts : dict of str to Host
    caller_requests : dict of str to Ticket
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
        "weights",
        "hosts",
        "caller_requests",
        "in_flight",
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
        "exited_ms",
        "violations",
        "revisions",
        "peer_envelopes_sent",
        "replies_to_lose",
        "active_revisions",
        "leaving_since_ms",
        "_heap",
        "_count",
        "forwarded",
    )

    def __init__(self, base, overlays, seed, tick_ms, policy, slots, replicas):
        self.now_ms = 0.0
        self.base = base
        self.overlays = overlays
        self.fleet = make_fleet(base, slots, replicas)
        self.store = make_store()
        self.weights = make_weight_store()
        self.hosts = {}
        self.caller_requests = {}
        self.in_flight = {}
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
        self.exited_ms = {}
        self.violations = []
        self.revisions = {}
        self.peer_envelopes_sent = 0
        self.replies_to_lose = 0
        self.active_revisions = {}
        self.leaving_since_ms = {}
        self.forwarded = {}
        self._heap = []
        self._count = itertools.count()

    def call_at(self, at_ms, step, *values):
        """Run `step` call_at `at_ms`."""
        heapq.heappush(self._heap, (at_ms, next(self._count), step, values))

    def call_later(self, delay_ms, step, *values):
        """Run `step` call_later `delay_ms`."""
        self.call_at(self.now_ms + delay_ms, step, *values)

    def run_until(self, end_ms):
        """Let time pass until `end_ms`."""
        heap = self._heap
        while heap and heap[0][0] <= end_ms:
            at_ms, _, step, values = heapq.heappop(heap)
            self.now_ms = at_ms
            step(*values)
        self.now_ms = end_ms

    def add_trace(self, line):
        """Add a line to the trace of the session."""
        if self.trace is not None:
            self.trace.append(f"{int(self.now_ms):>7} {line}")

    def start(self):
        """Publish everything and start every daemon."""
        publish_vm_lists(self.store, self.fleet)
        self.publish_config(1)
        for i, vm in enumerate(self.fleet.entry_vms):
            self.hosts[vm] = Host(vm, self.fleet.entry_vms[vm].region)
            self.start_daemon(vm)
            self.call_later(1 + i * 3, self.run_tick, vm, self.hosts[vm].process_number)

    def publish_config(self, revision):
        """Publish the base and overlays as `revision`."""
        self.store.publish_config(revision, self.base, self.overlays)
        self.revisions[revision] = {
            name: frozenset(item["allowed_regions"])
            for name, item in self.base["workspaces"].items()
        }
        self.answer_watchers()

    def start_daemon(self, vm):
        """Start a process on an entry VM."""
        host = self.hosts[vm]
        record = self.fleet.entry_vms[vm]
        host.process_number += 1
        host.incarnation = START_WALL_CLOCK_MS + int(self.now_ms) + host.process_number
        identity = NodeIdentity(
            vm=vm,
            incarnation=host.incarnation,
            region=record.region,
            failure_domain=record.failure_domain,
            site=self.fleet.site_of_vm(vm),
            seed_peers=tuple(
                r.peer_address for n, r in self.fleet.entry_vms.items() if n != vm
            )[:3],
        )
        seed = f"{self.seed}:{vm}:{host.process_number}"
        host.node = make_node(identity, seed, seed.encode(), self.policy)
        host.frozen_until_ms = 0
        host.backlog = []
        if host.process_number > 1:
            self.call_later(1, self.run_tick, vm, host.process_number)

    def kill_daemon(self, vm):
        """End the process on an entry VM without any notice."""
        host = self.hosts[vm]
        if host.node is None:
            return
        host.node = None
        self.add_trace(f"{vm} is killed")
        for caller_request in self.caller_requests.values():
            if caller_request.vm == vm and caller_request.result == "open":
                self.call_later(
                    CALLER_DELAY_MS,
                    close_caller_request,
                    self,
                    caller_request,
                    "lost",
                    "",
                )
        for key, attempt in list(self.in_flight.items()):
            if attempt.vm == vm:
                del self.in_flight[key]
                self.call_later(LOCAL_DELAY_MS, abandon_attempt, self, attempt)
            elif attempt.peer == vm:
                schedule_failure(self, key, LOCAL_DELAY_MS, True)

    def run_tick(self, vm, process_number):
        """Run a tick of a process and plan its next one."""
        host = self.hosts[vm]
        if host.node is None or host.process_number != process_number:
            return
        if self.now_ms >= host.frozen_until_ms:
            self._drain(host)
            if host.node is not None:
                self.execute_commands(host, host.node.tick(int(self.now_ms)))
            self._watch_revision(host)
        self.call_later(self.tick_ms, self.run_tick, vm, process_number)

    def _watch_revision(self, host):
        config = host.node.state.config if host.node is not None else None
        if config is None:
            return
        key = (host.vm, host.process_number)
        before = self.active_revisions.get(key, 0)
        if config.revision < before:
            self.violations.append(f"revert: {host.vm} from {before}")
        self.active_revisions[key] = config.revision

    def _drain(self, host):
        backlog, host.backlog = host.backlog, []
        for step, values in backlog:
            step(*values)

    def deliver(self, vm, event):
        """Give an event to the process on `vm`, later if it stands still."""
        host = self.hosts[vm]
        if host.node is None:
            return
        if self.now_ms < host.frozen_until_ms:
            host.backlog.append((self.deliver, (vm, event)))
            return
        self.execute_commands(host, host.node.handle(event, int(self.now_ms)))

    def deliver_to_process(self, vm, process_number, event):
        """Give an event to process `process_number` of `vm` if that one still runs."""
        if self.hosts[vm].process_number == process_number:
            self.deliver(vm, event)

    def running_daemons(self, region=None):
        """Return the entry VMs whose process runs, in order of their name."""
        return [
            vm
            for vm, host in sorted(self.hosts.items())
            if host.node is not None and (region is None or host.region == region)
        ]

    def delay_ms(self, here, there):
        """Return the one-way delay between two regions."""
        if here == there:
            return LOCAL_DELAY_MS
        delays = self.base["regions"][here].get("one_way_delay_ms", {})
        return delays.get(there, 40)

    def is_cut(self, here, there):
        """Return whether nothing passes from one region to another."""
        return (here, there) in self.cuts

    def peers_cut(self, vm, other):
        """Return whether nothing passes from one daemon to another."""
        if (vm, other) in self.vm_cuts:
            return True
        return self.is_cut(self.hosts[vm].region, self.hosts[other].region)

    def execute_commands(self, host, commands):
        """Carry out the commands of the node on a host."""
        for command in commands:
            match command:
                case cmd.StartAttempt():
                    start_attempt(self, host, command)
                case cmd.CancelAttempt(attempt_id):
                    cancel_attempt(self, host, attempt_id)
                case cmd.SendErrorResponse(request_id, error):
                    answer_error(self, host, request_id, error)
                case cmd.SendRecordedResponse(request_id, _):
                    caller_request = self.caller_requests[request_id]
                    self.call_later(
                        CALLER_DELAY_MS,
                        close_caller_request,
                        self,
                        caller_request,
                        "repeated",
                        "ran",
                    )
                case cmd.SendToPeer():
                    send_to_peer(self, host, command)
                case cmd.ReadFeed():
                    read_feed(self, host, command)
                case cmd.ReadLoad():
                    poll_load(self, host, command)
                case cmd.SendOrder():
                    send_order(self, host, command)
                case cmd.Log(part, sentence):
                    self.add_trace(f"{host.vm} {part}: {sentence}")
                case cmd.Exit():
                    self.exited_ms[(host.vm, host.process_number)] = int(self.now_ms)
                    host.node = None
                    self.add_trace(f"{host.vm} has ended")

    def answer_watchers(self):
        """Answer every watch that waits at the platform."""
        waiting, self.watchers = self.watchers, []
        for vm, process_number, key in waiting:
            answer_watch(self, vm, process_number, key)

    def publish_vms(self, key):
        """Publish the present VM records of a list."""
        if key == "entries":
            rows = self.fleet.entry_vms.values()
        else:
            region = key.partition("/")[2]
            rows = [r for r in self.fleet.backends.values() if r.region == region]
        self.store.publish_vms(key, rows)
        self.answer_watchers()

    def resolve_address(self, host, address):
        """Return ``(server name or None, whether the failure is quick)``."""
        name = self.addresses.get(address)
        if name is None:
            return None, False
        region = self.fleet.backends[name].region
        if self.is_cut(host.region, region) or (host.vm, name) in self.vm_cuts:
            return None, False
        if name in self.dead_servers:
            return None, True
        return name, True

    def is_frozen(self, name):
        """Return whether backend server `name` stands still."""
        return self.frozen_servers.get(name, 0) > self.now_ms

    def send(self, request_id, workspace, vm, **spec):
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
        caller_request = CallerRequest(request_id, workspace, vm, kind, self.now_ms)
        caller_request.operation = spec.pop("operation", "") or request_id
        caller_request.operation_id = spec.get("operation_id", "")
        caller_request.expected_tokens = spec.get("max_output_tokens", 0)
        caller_request.prompt_tokens = spec.get("prompt_tokens", 0)
        caller_request.process_number = self.hosts[vm].process_number
        self.caller_requests[request_id] = caller_request
        request = Request(request_id, workspace, **spec)
        self.call_later(CALLER_DELAY_MS, self._arrive, vm, caller_request, request)
        return caller_request

    def _arrive(self, vm, caller_request, request):
        host = self.hosts[vm]
        if host.node is None:
            caller_request.close("unreachable", "not_run", self.now_ms)
            return
        self.deliver(vm, ev.RequestArrived(request))

    def issue_operation(self, vm, workspace):
        """Return an operation id issued by the daemon on `vm`, or empty."""
        node = self.hosts[vm].node
        if node is None:
            return ""
        return node.issue_operation(workspace, int(self.now_ms))

    def cut_region(self, region):
        """Cut a region off from every other one, both ways."""
        for other in self.base["regions"]:
            if other != region:
                self.cut_link(region, other)

    def cut_link(self, here, there):
        """Cut the link between two regions, both ways."""
        self.cuts |= {(here, there), (there, here)}
        self._fail_cut_attempts()

    def heal(self):
        """End every cut."""
        self.cuts.clear()
        self.vm_cuts.clear()

    def _fail_cut_attempts(self):
        for key, attempt in list(self.in_flight.items()):
            if attempt.peer and self.peers_cut(attempt.vm, attempt.peer):
                schedule_failure(self, key, TOKEN_TIMEOUT_MS, True)
                self.call_later(
                    TOKEN_TIMEOUT_MS,
                    self.deliver,
                    attempt.peer,
                    ev.CallerDisconnected(attempt.peer_request_id),
                )

    def freeze_daemon(self, vm, for_ms):
        """Let the process on `vm` stand still."""
        self.hosts[vm].frozen_until_ms = self.now_ms + for_ms

    def stop_daemon(self, vm):
        """Ask the daemon on `vm` for a graceful shutdown."""
        if self.hosts[vm].node is not None:
            self.deliver(vm, ev.StopRequested())

    def kill_server(self, name):
        """End a backend server without any notice."""
        self.dead_servers.add(name)
        for key, attempt in list(self.in_flight.items()):
            if attempt.server == name:
                schedule_failure(self, key, LOCAL_DELAY_MS, True)
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
        self.leaving_since_ms.pop(name, None)
        self.fleet.backends[name] = record
        self.call_later(1500, self.publish_vms, f"backends/{record.region}")

    def leave_server(self, name, list_lag_ms=10_000):
        """Let a backend server leave; the VM list shows it later."""
        server = self.fleet.server(name)
        server.leaving = True
        self.leaving_since_ms[name] = self.now_ms
        self.call_later(list_lag_ms, self._list_leaving, name)

    def _list_leaving(self, name):
        record = msgspec.structs.replace(self.fleet.backends[name], state="leaving")
        self.fleet.backends[name] = record
        self.publish_vms(f"backends/{record.region}")

    def freeze_server(self, name, for_ms):
        """Let a backend server stand still."""
        self.frozen_servers[name] = self.now_ms + for_ms


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
