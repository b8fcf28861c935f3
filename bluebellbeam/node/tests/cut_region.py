"""Two regions in virtual time; the daemons of one of them have no usable server."""

from bluebellbeam.node import Request, current_offer
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.tests.harness import REGIONS, Harness, make_base, server
from bluebellbeam.node.tests.limited_region import LimitedRegion, LimitedServer
from bluebellbeam.provider.records import LoadHeader

SLOTS = 8
SERVERS = 2
OBJECTIVE_MS = 1000
ONE_WAY_MS = 20
CONTACT_MS = 5000
"""Time from which the callers of all daemons have to be served alike."""


class Caller:
    """Callers of one daemon.

    Attributes
    ----------
    vm : str
    due_ms : list of int
        Times from `CONTACT_MS` on at which their requests arrived.
    served : int
        Those of them that were answered.
    refused : list of (CallerError, int)
        Errors of the others, and the time in ms that each took.
    """

    __slots__ = ("vm", "due_ms", "served", "refused")

    def __init__(self, vm):
        self.vm = vm
        self.due_ms = []
        self.served = 0
        self.refused = []


class CutRegion(LimitedRegion):
    """Daemons of region ``east`` with servers, and of ``west`` that can use none.

    Parameters
    ----------
    east, west : int
        Number of daemons of each region.
    rate_per_s : float
        Requests of callers per second at each daemon.
    service_ms : int
        Time for which a server runs a request.
    seed : int
    regular : bool
        Whether requests arrive at equal intervals, else at random times.
    west_servers : {"cut", "unlisted", "leaving", "evacuated"}
        Why the daemons of ``west`` can use no server: they reach none of those that
        are listed, none is listed, all are leaving, or their domain is evacuated.
    by_urgency : bool
        Whether queues are ordered by urgency, so that requests which cannot be served
        in time are refused on arrival.

    Attributes
    ----------
    callers_of : dict of str to Caller
        By VM.
    forwards : list of (int, str)
        Time and lender of each request forwarded from ``west`` to ``east``.
    """

    def __init__(
        self,
        east,
        west,
        rate_per_s,
        service_ms,
        seed,
        regular=False,
        west_servers="cut",
        by_urgency=False,
    ):
        self.regions = {f"e{n}": "east" for n in range(east)}
        self.regions |= {f"w{n}": "west" for n in range(west)}
        self.callers_of = {vm: Caller(vm) for vm in self.regions}
        self.forwards = []
        self.open = {}
        self.service_ms = service_ms
        self.west_servers = west_servers
        self.by_urgency = by_urgency
        super().__init__(0, 0, rate_per_s, seed)
        self.events.clear()
        self.servers = {
            f"s{n}": LimitedServer(server(f"s{n}", slots=SLOTS), service_ms)
            for n in range(SERVERS)
        }
        self.held = dict.fromkeys(self.servers, 0)
        self.start_ms = self.now_ms
        self.names = list(self.regions)
        self.callers = self.names
        for vm in self.names:
            self.start(vm)
            self.schedule(
                self.rng.randrange(1, round(1000 / rate_per_s)),
                lambda vm=vm: self.send_regularly(vm, regular),
            )

    def make_config(self):
        base = make_base()
        for route in base["routes"]:
            route["objective_ms"] = OBJECTIVE_MS
        if self.by_urgency:
            base["workspaces"]["all"]["urgency"] = 0
        base["services"]["portal"]["expected_ms"] = 40
        for region in base["regions"].values():
            region["one_way_delay_ms"] = dict.fromkeys(
                region["one_way_delay_ms"], ONE_WAY_MS
            )
        return base

    def start(self, vm, incarnation=1):
        """Start a daemon that knows all others, and the servers of its region."""
        region = self.regions[vm]
        harness = Harness(region, vm, self.make_config(), incarnation=incarnation)
        if region == "east":
            harness.publish_servers(*(item.record for item in self.servers.values()))
        elif self.west_servers != "unlisted":
            self.publish_west(harness)
        for other in REGIONS:
            names = [n for n, at in self.regions.items() if at == other and n != vm]
            if names:
                harness.announce_peer(names[0], other, 1, names[1:])
        harness.now_ms = self.now_ms
        harness.state.rng.seed(self.rng.random())
        harness.state.started_ms = self.now_ms - 30_000
        harness.state.last_tick_ms = self.now_ms
        harness.state.ready = True
        harness.commands.clear()
        self.daemons[vm] = harness
        self.schedule(self.rng.randrange(1, 50), lambda: self.tick(harness))

    def publish_west(self, harness):
        """Deliver the list of the servers of ``west`` to a daemon there."""
        is_leaving = self.west_servers == "leaving"
        fields = {
            "region": "west",
            "failure_domain": REGIONS["west"],
            "state": "leaving" if is_leaving else "live",
        }
        records = [server(f"west-{n}", slots=SLOTS, **fields) for n in (1, 2)]
        is_evacuated = self.west_servers == "evacuated"
        evacuated = (REGIONS["west"],) if is_evacuated else ()
        harness.publish_servers(*records, evacuated=evacuated)

    def send_regularly(self, vm, regular):
        """Send a request to a daemon and schedule the next one."""
        interval_s = 1 / self.rate_per_s
        if not regular:
            interval_s = self.rng.expovariate(self.rate_per_s)
        self.schedule(
            max(1, round(1000 * interval_s)), lambda: self.send_regularly(vm, regular)
        )
        self.requests += 1
        key = f"{vm}-{self.requests}"
        self.open[vm, key] = (self.now_ms, None)
        if self.now_ms - self.start_ms >= CONTACT_MS:
            self.callers_of[vm].due_ms.append(self.now_ms)
        harness = self.daemons[vm]
        harness.now_ms = self.now_ms
        path = self.rng.choice(("/p/x", "/o/x"))
        self.execute(harness, harness.send_request(path, key))

    def execute(self, harness, commands):
        """Execute the commands of a daemon, except those for its store and log."""
        for command in commands:
            match command:
                case cmd.StartAttempt(peer=name) if name:
                    self.forward(harness, command)
                case cmd.StartAttempt():
                    self.schedule(1, self.arrival(harness, command, self.now_ms))
                case cmd.ReadLoad():
                    self.schedule(1, self.check(harness, command))
                case cmd.SendToPeer(vm=vm, messages=messages) if vm:
                    self.deliver(harness, vm, messages)
                case cmd.SendErrorResponse():
                    self.end(harness, command.request_id, command.error)

    def arrival(self, harness, command, sent_ms):
        """Return the action of a request that arrives at a server or finds none."""
        vm = harness.state.identity.vm

        def arrive():
            if self.regions[vm] == "west":
                event = ev.AttemptFailed(
                    command.attempt_id, False, lost_connection=True
                )
                self.handle(harness, event)
                return
            self.held[command.server] += 1
            delay_ms = round(self.service_ms * self.rng.uniform(0.9, 1.1))
            self.schedule(delay_ms, lambda: self.respond(harness, command, sent_ms))

        return arrive

    def respond(self, harness, command, sent_ms):
        """Deliver the response of a server to an attempt."""
        self.held[command.server] -= 1
        load = LoadHeader(self.held[command.server], 0, 0)
        self.handle(harness, ev.AttemptFinished(command.attempt_id, load=load))
        self.end(harness, command.request.request_id, None)

    def check(self, harness, command):
        """Return the action of a health check."""

        def arrive():
            vm = harness.state.identity.vm
            event = ev.LoadReadFailed(command.server)
            if self.regions[vm] == "east" or self.west_servers != "cut":
                name, incarnation = command.server, command.incarnation
                event = ev.HealthCheckAnswered(name, name, incarnation)
            self.handle(harness, event)

        return arrive

    def forward(self, harness, command):
        """Deliver a forwarded request to a peer."""
        sender, sent = harness.state.identity.vm, command.request
        delay_ms = 1
        if self.regions[command.peer] != self.regions[sender]:
            delay_ms = ONE_WAY_MS
            self.forwards.append((self.now_ms, command.peer))
        lender = self.daemons[command.peer]
        key = f"{sender}:{command.attempt_id}"

        def arrive():
            self.open[command.peer, key] = (self.now_ms, (harness, command, delay_ms))
            request = Request(
                key,
                "",
                host=sent.host,
                path=sent.path,
                attempt_key=sent.attempt_key,
                origin=sender,
                allowed=sent.allowed,
                revision=1,
                response_deadline_ms=sent.response_deadline_ms,
            )
            lender.now_ms = self.now_ms
            self.execute(lender, lender.handle(ev.RequestArrived(request)))

        self.schedule(delay_ms, arrive)

    def end(self, harness, key, error):
        """End a request at a daemon; tell its caller, or the daemon that sent it."""
        vm = harness.state.identity.vm
        since_ms, origin = self.open.pop((vm, key))
        if origin is not None:
            self.schedule(origin[2], lambda: self.return_forward(vm, origin, error))
            return
        if since_ms - self.start_ms < CONTACT_MS:
            return
        if error is None:
            self.callers_of[vm].served += 1
        else:
            self.callers_of[vm].refused.append((error, self.now_ms - since_ms))

    def return_forward(self, lender, origin, error):
        """Deliver the response of a lender to the daemon that forwarded a request."""
        harness, command, _ = origin
        state, pool = self.daemons[lender].state, command.request.pool
        if self.regions[lender] != harness.state.region:
            offer = current_offer(state, pool, self.now_ms)
            self.handle(harness, ev.CapacityOfferReceived(lender, pool, *offer))
        if error is not None:
            event = ev.AttemptRefused(command.attempt_id, error, sends=0)
            self.handle(harness, event)
            return
        self.handle(harness, ev.AttemptFinished(command.attempt_id))
        self.end(harness, command.request.request_id, None)

    def served_share(self, region):
        """Return the share of a region's ended requests that were served."""
        rows = [
            row for vm, row in self.callers_of.items() if self.regions[vm] == region
        ]
        served = sum(row.served for row in rows)
        return served / max(1, served + sum(len(row.refused) for row in rows))


def run_cut(seed, duration_ms=25_000, **values):
    """Return a :class:`CutRegion` that has run for `duration_ms`."""
    defaults = {"east": 4, "west": 2, "rate_per_s": 7.0, "service_ms": 800}
    region = CutRegion(seed=seed, **{**defaults, **values})
    region.run(duration_ms)
    return region
