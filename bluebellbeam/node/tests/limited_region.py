"""A region of daemons in virtual time in front of servers that state a limit."""

import heapq
import random

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.message import Envelope
from bluebellbeam.node.tests.harness import Harness, make_base, server
from bluebellbeam.provider.records import LimitStatement

NETWORK_MS = 1
TICK_MS = 50
UNREACHABLE_MS = 300

WINDOW_MS = 4000
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
LEARN_MS = 5000
"""Time after the first statement of a limit from which on it has to be kept."""

INFORMED_MS = 500
"""Time after which a daemon that has passed on a response with a limit counts."""


class LimitedServer:
    """A server of the region.

    Attributes
    ----------
    record : VmRecord
    limit_per_s : float or None
        Limit that it states at present.
    service_ms : int
        Time from the arrival of a request to its response.
    arrivals : list of (int, str)
        Time and daemon of each request and health check that it received.
    excused : set of (int, str)
        Arrivals from daemons that were cut off, which the limit does not count.
    informed_ms : dict of str to int
        Time of the first response with a limit, by daemon.
    """

    __slots__ = (
        "record",
        "limit_per_s",
        "service_ms",
        "arrivals",
        "excused",
        "informed_ms",
    )

    def __init__(self, record, service_ms=40):
        self.record = record
        self.limit_per_s = None
        self.service_ms = service_ms
        self.arrivals = []
        self.excused = set()
        self.informed_ms = {}

    def counted_arrivals(self, from_ms):
        """Return the sorted times of the requests that count towards the limit."""
        return [
            at_ms
            for at_ms, vm in self.arrivals
            if at_ms >= from_ms
            and vm in self.informed_ms
            and (at_ms, vm) not in self.excused
            and at_ms - self.informed_ms[vm] >= INFORMED_MS
        ]

    def worst_window(self, from_ms):
        """Return the largest number of counted requests within `WINDOW_MS`."""
        times = self.counted_arrivals(from_ms)
        first = worst = 0
        for last, at_ms in enumerate(times):
            while at_ms - times[first] > WINDOW_MS:
                first += 1
            worst = max(worst, last - first + 1)
        return worst


class LimitedRegion:
    """Daemons of one region with their network, servers and callers.

    Parameters
    ----------
    count : int
        Number of daemons.
    servers : int
        Number of servers of the service ``portal``.
    rate_per_s : float
        Requests of callers per second, spread over the daemons at random.
    seed : int

    Attributes
    ----------
    daemons : dict of str to Harness
        Running daemons by VM.
    callers : list of str
        VMs that callers send requests to, as far as they run.
    cut : set of str
        VMs that no peer reaches.
    answered, refused : int
        Requests of callers by their end.
    """

    def __init__(self, count, servers=1, rate_per_s=10.0, seed=1):
        self.rng = random.Random(seed)
        self.rate_per_s = rate_per_s
        self.now_ms = 10_000
        self.events = []
        self.sequence = 0
        self.cut = set()
        self.answered = self.refused = self.requests = 0
        self.servers = {
            f"s{number}": self.make_server(f"s{number}")
            for number in range(1, servers + 1)
        }
        self.names = [f"vm-{number}" for number in range(count)]
        self.callers = self.names
        self.daemons = {}
        for name in self.names:
            self.start(name)
        self.schedule(1, self.send_request)

    def make_server(self, name):
        """Return a server of the region."""
        return LimitedServer(server(name, slots=64))

    def make_config(self):
        """Return the base document of the configuration."""
        return make_base()

    def start(self, vm, incarnation=1):
        """Start a daemon that knows all others."""
        harness = Harness(vm=vm, base=self.make_config(), incarnation=incarnation)
        harness.publish_servers(*(item.record for item in self.servers.values()))
        harness.node.state.rng.seed(self.rng.random())
        others = [name for name in self.names if name != vm]
        if others:
            first, *rest = others
            harness.announce_peer(first, region="east", incarnation=1, others=rest)
        harness.now_ms = self.now_ms
        harness.state.started_ms = harness.state.last_tick_ms = self.now_ms
        harness.state.ready = True
        harness.commands.clear()
        self.daemons[vm] = harness
        self.schedule(self.rng.randrange(1, TICK_MS), lambda: self.tick(harness))

    def stop(self, vm):
        """Kill a daemon."""
        del self.daemons[vm]

    def schedule(self, delay_ms, action):
        """Run `action` after `delay_ms`."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now_ms + delay_ms, self.sequence, action))

    def run(self, duration_ms):
        """Advance virtual time by `duration_ms`."""
        end_ms = self.now_ms + duration_ms
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        self.now_ms = end_ms

    def tick(self, harness):
        """Run a tick of a daemon and schedule the next one."""
        if self.daemons.get(harness.state.identity.vm) is harness:
            self.execute(harness, harness.node.tick(self.now_ms))
            self.schedule(TICK_MS, lambda: self.tick(harness))

    def handle(self, harness, event):
        """Pass an event to a daemon that still runs; execute the commands."""
        if self.daemons.get(harness.state.identity.vm) is harness:
            self.execute(harness, harness.node.handle(event, self.now_ms))

    def send_request(self):
        """Send a caller's request to a random daemon and schedule the next one."""
        self.schedule(
            max(1, round(1000 * self.rng.expovariate(self.rate_per_s))),
            self.send_request,
        )
        self.send("r")

    def send(self, prefix, path="/p/x", **values):
        """Send a request to a random daemon.

        Parameters
        ----------
        prefix : str
            Prefix of its id.
        path : str
        **values
            Fields of the request.
        """
        self.requests += 1
        running = [name for name in self.callers if name in self.daemons]
        if not running:
            return
        harness = self.daemons[self.rng.choice(running)]
        harness.now_ms = self.now_ms
        key = f"{prefix}{self.requests}"
        self.execute(harness, harness.send_request(path, key, **values))

    def execute(self, harness, commands):
        """Execute the commands of a daemon, except those for its store and log."""
        for command in commands:
            match command:
                case cmd.StartAttempt(server=name) if name:
                    self.schedule(
                        NETWORK_MS, self.arrival(harness, command, self.now_ms)
                    )
                case cmd.ReadLoad():
                    self.schedule(NETWORK_MS, self.check(harness, command))
                case cmd.SendToPeer(vm=vm, messages=messages) if vm:
                    self.deliver(harness, vm, messages)
                case cmd.SendErrorResponse():
                    self.refused += 1

    def arrival(self, harness, command, sent_ms):
        """Return the action of a request that arrives at a server."""

        def arrive():
            found = self.record_arrival(harness, command.server)
            delay_ms = round(found.service_ms * self.rng.uniform(0.5, 2.0))
            self.schedule(delay_ms, lambda: self.respond(harness, command, sent_ms))

        return arrive

    def record_arrival(self, harness, name):
        """Record a request or health check of a daemon at server `name`."""
        found = self.servers[name]
        arrival = (self.now_ms, harness.state.identity.vm)
        found.arrivals.append(arrival)
        if harness.state.identity.vm in self.cut:
            found.excused.add(arrival)
        return found

    def respond(self, harness, command, sent_ms):
        """Deliver the response to an attempt."""
        self.state_limit(harness, command, sent_ms)
        self.answered += 1
        self.handle(harness, ev.AttemptFinished(command.attempt_id))

    def state_limit(self, harness, command, sent_ms):
        """Deliver what a response of a server says about its limit."""
        found = self.servers[command.server]
        if found.limit_per_s is not None:
            found.informed_ms.setdefault(harness.state.identity.vm, self.now_ms)
        statement = LimitStatement(found.limit_per_s)
        self.handle(
            harness,
            ev.LimitStated(command.server, command.incarnation, statement, sent_ms),
        )

    def check(self, harness, command):
        """Return the action of a health check that arrives at a server."""

        def arrive():
            self.record_arrival(harness, command.server)
            self.state_limit(harness, command, command.sent_ms)
            name, incarnation = command.server, command.incarnation
            self.handle(harness, ev.HealthCheckAnswered(name, name, incarnation))

        return arrive

    def deliver(self, harness, vm, messages):
        """Deliver messages to a peer, and its messages in the response."""
        sender = harness.state.identity
        if vm not in self.daemons or {vm, sender.vm} & self.cut:
            self.schedule(
                UNREACHABLE_MS, lambda: self.handle(harness, ev.PeerUnreachable(vm))
            )
            return

        def arrive():
            peer = self.daemons.get(vm)
            if peer is None:
                return
            envelope = Envelope(sender.vm, sender.incarnation, messages)
            commands = peer.node.handle(ev.PeerMessagesReceived(envelope), self.now_ms)
            self.execute(peer, [c for c in commands if not _answers(c, sender.vm)])
            answers = [c.messages for c in commands if _answers(c, sender.vm)]
            envelope = Envelope(
                vm,
                peer.state.identity.incarnation,
                tuple(m for a in answers for m in a),
            )
            event = ev.PeerMessagesReceived(envelope, answer=True)
            self.schedule(NETWORK_MS, lambda: self.handle(harness, event))

        self.schedule(NETWORK_MS, arrive)


def _answers(command, vm):
    return isinstance(command, cmd.SendToPeer) and command.vm == vm


def allowed_requests(limit_per_s):
    """Return how many requests a server with a limit may get within `WINDOW_MS`."""
    return ALLOWED_FACTOR * limit_per_s * WINDOW_MS / 1000 + ALLOWED_EXTRA
