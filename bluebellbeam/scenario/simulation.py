"""Discrete-event simulation of a deployment.

Real nodes run in virtual time against simulated engines, plain services and
the platform. The simulation executes the commands of every node: messages take
a fixed one-way delay within a region and between each pair of regions, and
regions and VMs can be cut off from each other. All decisions are made by the
nodes.
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
    cancel_attempt,
    close_caller_request,
    deliver_error,
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
from bluebellbeam.standins import make_feed_store, make_weight_store
from bluebellbeam.standins.deployment import make_fleet, publish_vm_lists

__all__ = ["Host", "Simulation", "make_simulation"]

START_WALL_CLOCK_MS = 1_000_000
"""Base of the incarnation numbers, which nodes take from the wall clock."""


class Host:
    """One entry VM and the daemon process that runs on it.

    Attributes
    ----------
    vm : str
        Name of the VM.
    region : str
        Region of the VM.
    node : Node or None
        Node of the running process, or None while no process runs.
    process_number : int
        Number of processes started on this VM, the current one included.
    frozen_until_ms : float
        Time until which the process is suspended and handles no event.
    backlog : list of (callable, tuple)
        Calls and their arguments deferred until the process resumes.
    incarnation : int
        Incarnation of the current process.
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


class Simulation:
    """A simulated deployment and its event queue.

    Attributes
    ----------
    now_ms : float
        Virtual time in ms since the start.
    fleet : Fleet
        VM records and simulated backend servers.
    store : FeedStore
        Simulated configuration service and VM list.
    weight_store : WeightStore
        Simulated weight store that engines load models from.
    hosts : dict of str to Host
        Entry VMs by name.
    caller_requests : dict of str to CallerRequest
        Every request sent so far, by id.
    in_flight : dict of (str, int, int) to InFlightAttempt
        Attempts in flight, by VM, process number and attempt id.
    forwarded : dict of (str, str) to InFlightAttempt
        Attempts forwarded to a peer, by the peer's VM and the request id there.
    region_cuts : set of (str, str)
        Fault: ordered pairs of regions, or of ``"platform"`` and a region;
        messages from the first to the second are lost.
    vm_cuts : set of (str, str)
        Fault: ordered pairs of an entry VM and a VM; messages from the first to
        the second are lost.
    dead_servers : set of str
        Fault: backend servers that have been killed and not restarted.
    frozen_servers : dict of str to float
        Fault: time in ms until which each suspended backend server does nothing.
    addresses : dict of str to str
        Backend server that listens on each address.
    trace : list of str or None
        Recorded trace lines, or None if no trace is kept.
    tick_ms : int
        Interval of every node's ticks.
    policy : object or None
        Routing policy of every node, or None for the default.
    seed : int
        Seed of the nodes' random number generators.
    base, overlays : dict
        Documents of the configuration, as the next published revision has them.
    check_codec : bool
        If True, messages between daemons are encoded and decoded as on the
        wire; otherwise they are passed on as objects, which is faster.
    pending_watches : list of (str, int, str)
        VM, process number and feed key of each watch that the platform has not
        answered yet.
    exited_ms : dict of (str, int) to int
        Time in ms of each graceful exit, by VM and process number.
    violations : list of str
        Violations found while the simulation runs; the text before the colon
        is the kind that the check of an invariant selects.
    revisions : dict of int to dict
        Allowed regions of each workspace, by published revision.
    active_revisions : dict of (str, int) to int
        Configuration revision in force at each process, as of its last tick.
    peer_envelopes_sent : int
        Envelopes that daemons sent to each other.
    responses_to_drop : int
        Fault: number of responses of plain services still to be dropped.
    leaving_since_ms : dict of str to float
        Time in ms at which each leaving backend server began to leave.
    """

    __slots__ = (
        "now_ms",
        "fleet",
        "store",
        "weight_store",
        "hosts",
        "caller_requests",
        "in_flight",
        "region_cuts",
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
        "pending_watches",
        "exited_ms",
        "violations",
        "revisions",
        "peer_envelopes_sent",
        "responses_to_drop",
        "active_revisions",
        "leaving_since_ms",
        "_event_heap",
        "_event_sequence",
        "forwarded",
    )

    def __init__(self, base, overlays, seed, tick_ms, policy, slots, replicas):
        self.now_ms = 0.0
        self.base = base
        self.overlays = overlays
        self.fleet = make_fleet(base, slots, replicas)
        self.store = make_feed_store()
        self.weight_store = make_weight_store()
        self.hosts = {}
        self.caller_requests = {}
        self.in_flight = {}
        self.region_cuts = set()
        self.vm_cuts = set()
        self.dead_servers = set()
        self.frozen_servers = {}
        self.addresses = {r.address: n for n, r in self.fleet.backends.items()}
        self.trace = None
        self.tick_ms = tick_ms
        self.policy = policy
        self.seed = seed
        self.check_codec = True
        self.pending_watches = []
        self.exited_ms = {}
        self.violations = []
        self.revisions = {}
        self.peer_envelopes_sent = 0
        self.responses_to_drop = 0
        self.active_revisions = {}
        self.leaving_since_ms = {}
        self.forwarded = {}
        self._event_heap = []
        self._event_sequence = itertools.count()

    def call_at(self, at_ms, callback, *args):
        """Schedule ``callback(*args)`` at time `at_ms`."""
        heapq.heappush(
            self._event_heap, (at_ms, next(self._event_sequence), callback, args)
        )

    def call_later(self, delay_ms, callback, *args):
        """Schedule ``callback(*args)`` after `delay_ms`."""
        self.call_at(self.now_ms + delay_ms, callback, *args)

    def run_until(self, end_ms):
        """Advance the virtual time to `end_ms` and run every call due until then."""
        heap = self._event_heap
        while heap and heap[0][0] <= end_ms:
            at_ms, _, callback, args = heapq.heappop(heap)
            self.now_ms = at_ms
            callback(*args)
        self.now_ms = end_ms

    def add_trace(self, line):
        """Append a line with the current time to the trace, if one is kept."""
        if self.trace is not None:
            self.trace.append(f"{int(self.now_ms):>7} {line}")

    def start(self):
        """Publish the VM lists and revision 1, and start every daemon.

        The first ticks of the daemons are 3 ms apart.
        """
        publish_vm_lists(self.store, self.fleet)
        self.publish_config(1)
        for i, vm in enumerate(self.fleet.entry_vms):
            self.hosts[vm] = Host(vm, self.fleet.entry_vms[vm].region)
            self.start_daemon(vm)
            self.call_later(1 + i * 3, self.run_tick, vm, self.hosts[vm].process_number)

    def publish_config(self, revision):
        """Publish the base and overlays as configuration `revision`."""
        self.store.publish_config(revision, self.base, self.overlays)
        self.revisions[revision] = {
            name: frozenset(item["allowed_regions"])
            for name, item in self.base["workspaces"].items()
        }
        self.answer_pending_watches()

    def start_daemon(self, vm):
        """Start a daemon process on an entry VM."""
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
        """Kill the daemon process on an entry VM without a graceful shutdown."""
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
        """Run a tick of a process, unless it is suspended, and schedule the next."""
        host = self.hosts[vm]
        if host.node is None or host.process_number != process_number:
            return
        if self.now_ms >= host.frozen_until_ms:
            self._replay_backlog(host)
            if host.node is not None:
                self.execute_commands(host, host.node.tick(int(self.now_ms)))
            self._check_revision(host)
        self.call_later(self.tick_ms, self.run_tick, vm, process_number)

    def _check_revision(self, host):
        config = host.node.state.config if host.node is not None else None
        if config is None:
            return
        key = (host.vm, host.process_number)
        before = self.active_revisions.get(key, 0)
        if config.revision < before:
            self.violations.append(
                f"revert: {host.vm} from revision {before} to {config.revision}"
            )
        self.active_revisions[key] = config.revision

    def _replay_backlog(self, host):
        backlog, host.backlog = host.backlog, []
        for callback, args in backlog:
            callback(*args)

    def deliver(self, vm, event):
        """Deliver an event to the process on `vm`, after it resumes if suspended.

        Without a running process the event is lost.
        """
        host = self.hosts[vm]
        if host.node is None:
            return
        if self.now_ms < host.frozen_until_ms:
            host.backlog.append((self.deliver, (vm, event)))
            return
        self.execute_commands(host, host.node.handle(event, int(self.now_ms)))

    def deliver_to_process(self, vm, process_number, event):
        """Deliver an event to the process on `vm`, unless another one runs by now."""
        if self.hosts[vm].process_number == process_number:
            self.deliver(vm, event)

    def running_daemons(self, region=None):
        """Return the entry VMs with a running daemon, sorted by name."""
        return [
            vm
            for vm, host in sorted(self.hosts.items())
            if host.node is not None and (region is None or host.region == region)
        ]

    def delay_ms(self, source, target):
        """Return the one-way network delay between two regions, 40 ms by default."""
        if source == target:
            return LOCAL_DELAY_MS
        delays = self.base["regions"][source].get("one_way_delay_ms", {})
        return delays.get(target, 40)

    def is_region_cut(self, source, target):
        """Return True if messages from one region to another are lost."""
        return (source, target) in self.region_cuts

    def is_peer_cut(self, vm, other):
        """Return True if messages from one daemon to another are lost."""
        if (vm, other) in self.vm_cuts:
            return True
        return self.is_region_cut(self.hosts[vm].region, self.hosts[other].region)

    def execute_commands(self, host, commands):
        """Execute the commands that the node on `host` issued."""
        for command in commands:
            match command:
                case cmd.StartAttempt():
                    start_attempt(self, host, command)
                case cmd.CancelAttempt(attempt_id):
                    cancel_attempt(self, host, attempt_id)
                case cmd.SendErrorResponse(request_id, error):
                    deliver_error(self, host, request_id, error)
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
                    self.add_trace(f"{host.vm} has exited")

    def answer_pending_watches(self):
        """Answer every pending watch on the platform's feeds."""
        waiting, self.pending_watches = self.pending_watches, []
        for vm, process_number, key in waiting:
            answer_watch(self, vm, process_number, key)

    def publish_vms(self, key):
        """Publish the current VM records as the VM list `key`."""
        if key == "entries":
            rows = self.fleet.entry_vms.values()
        else:
            region = key.partition("/")[2]
            rows = [r for r in self.fleet.backends.values() if r.region == region]
        self.store.publish_vms(key, rows)
        self.answer_pending_watches()

    def resolve_address(self, host, address):
        """Return the backend server at an address, as seen from a host.

        Returns
        -------
        name : str or None
            None if no server can be reached at the address.
        fails_fast : bool
            If False, a failed connection is only noticed by its timeout.
        """
        name = self.addresses.get(address)
        if name is None:
            return None, False
        region = self.fleet.backends[name].region
        if self.is_region_cut(host.region, region) or (host.vm, name) in self.vm_cuts:
            return None, False
        if name in self.dead_servers:
            return None, True
        return name, True

    def is_frozen(self, name):
        """Return True if backend server `name` is suspended."""
        return self.frozen_servers.get(name, 0) > self.now_ms

    def send(self, request_id, workspace, vm, **spec):
        """Send a request of `workspace` to entry VM `vm`.

        Parameters
        ----------
        request_id, workspace, vm : str
        **spec
            ``kind`` (chat, read or change) and fields of a
            :class:`~bluebellbeam.node.Request`. ``operation`` is the label
            that all repeats of a change share; ``operation_id`` is part of the
            request.

        Returns
        -------
        CallerRequest
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
        self.call_later(
            CALLER_DELAY_MS, self._deliver_request, vm, caller_request, request
        )
        return caller_request

    def _deliver_request(self, vm, caller_request, request):
        host = self.hosts[vm]
        if host.node is None:
            caller_request.close("unreachable", "not_run", self.now_ms)
            return
        self.deliver(vm, ev.RequestArrived(request))

    def issue_operation(self, vm, workspace):
        """Return an operation id from the daemon on `vm`, or "" if none runs."""
        node = self.hosts[vm].node
        if node is None:
            return ""
        return node.issue_operation(workspace, int(self.now_ms))

    def cut_region(self, region):
        """Cut a region off from every other one, in both directions."""
        for other in self.base["regions"]:
            if other != region:
                self.cut_link(region, other)

    def cut_link(self, source, target):
        """Cut the link between two regions, in both directions."""
        self.region_cuts |= {(source, target), (target, source)}
        self._fail_cut_attempts()

    def heal(self):
        """Restore every link between regions and between VMs."""
        self.region_cuts.clear()
        self.vm_cuts.clear()

    def _fail_cut_attempts(self):
        for key, attempt in list(self.in_flight.items()):
            if attempt.peer and self.is_peer_cut(attempt.vm, attempt.peer):
                schedule_failure(self, key, TOKEN_TIMEOUT_MS, True)
                self.call_later(
                    TOKEN_TIMEOUT_MS,
                    self.deliver,
                    attempt.peer,
                    ev.CallerDisconnected(attempt.peer_request_id),
                )

    def freeze_daemon(self, vm, for_ms):
        """Suspend the process on `vm` for `for_ms`, with its events deferred."""
        self.hosts[vm].frozen_until_ms = self.now_ms + for_ms

    def stop_daemon(self, vm):
        """Begin a graceful shutdown of the daemon on `vm`."""
        if self.hosts[vm].node is not None:
            self.deliver(vm, ev.StopRequested())

    def kill_server(self, name):
        """Kill a backend server; its attempts fail and its cache is lost."""
        self.dead_servers.add(name)
        for key, attempt in list(self.in_flight.items()):
            if attempt.server == name:
                schedule_failure(self, key, LOCAL_DELAY_MS, True)
        engine = self.fleet.engines.get(name)
        if engine is not None:
            engine.clear()

    def return_server(self, name):
        """Restart a backend server with the next incarnation.

        The VM list shows the new incarnation 1.5 s later.
        """
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
        """Let a backend server leave; the VM list shows this `list_lag_ms` later."""
        server = self.fleet.server(name)
        server.leaving = True
        self.leaving_since_ms[name] = self.now_ms
        self.call_later(list_lag_ms, self._publish_leaving, name)

    def _publish_leaving(self, name):
        record = msgspec.structs.replace(self.fleet.backends[name], state="leaving")
        self.fleet.backends[name] = record
        self.publish_vms(f"backends/{record.region}")

    def freeze_server(self, name, for_ms):
        """Suspend a backend server for `for_ms`."""
        self.frozen_servers[name] = self.now_ms + for_ms


def make_simulation(
    base, overlays, seed=0, tick_ms=50, policy=None, slots=8, service_replicas=1
):
    """Return a simulated deployment whose daemons have not been started.

    Parameters
    ----------
    base, overlays : dict
        Decoded JSON documents of a deployment.
    seed : int
        Seed of the nodes' random number generators.
    tick_ms : int
        Interval of every node's ticks.
    policy : optional
        Routing policy of every node; None is the default policy.
    slots : int
        Requests that each engine runs at once.
    service_replicas : int
        Replicas of each plain service in each region.

    Returns
    -------
    Simulation
    """
    return Simulation(base, overlays, seed, tick_ms, policy, slots, service_replicas)
