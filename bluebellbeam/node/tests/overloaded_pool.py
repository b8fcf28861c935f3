"""A daemon in virtual time in front of a pool that gets more than it can serve."""

import heapq
import random

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.tests.harness import Harness, make_base, server

SLOTS = 4
SERVICE_MS = 100
OBJECTIVE_MS = 400
TIMEOUT_MS = 6000
TICK_MS = 50


class CallerClass:
    """Callers of one route and workspace, and the responses that they got.

    Attributes
    ----------
    name, workspace : str
        Route and workspace; the route name is the path prefix.
    urgency : int
    rate_per_s : float
    sent, in_time, late : int
        Requests by their end; a response within the objective is in time.
    errors : list of (int, CallerError)
        Time from arrival in ms, and error.
    """

    def __init__(self, name, workspace, urgency, rate_per_s):
        self.name = name
        self.workspace = workspace
        self.urgency = urgency
        self.rate_per_s = rate_per_s
        self.sent = self.in_time = self.late = 0
        self.errors = []

    @property
    def share_in_time(self):
        """Share of the requests served in time."""
        return self.in_time / max(1, self.sent)


class OverloadedPool:
    """A daemon, two servers of one service and callers with fixed mean rates.

    Parameters
    ----------
    classes : list of CallerClass
    by_urgency : bool
        Whether the order depends on urgency; otherwise it is that of a configuration
        without urgency.
    seed : int
    """

    def __init__(self, classes, by_urgency, seed=1):
        self.rng = random.Random(seed)
        self.classes = {item.name: item for item in classes}
        self.events = []
        self.sequence = 0
        self.open = {}
        self.free = {}
        self.waiting = {}
        base = self.make_config(by_urgency)
        self.harness = Harness(base=base)
        self.harness.publish_servers(server("s1"), server("s2"))
        for name in ("s1", "s2"):
            self.free[name], self.waiting[name] = SLOTS, []
        self.harness.commands.clear()

    def make_config(self, by_urgency):
        """Return the base document with a route and workspaces for the callers."""
        base = make_base()
        template = base["routes"][0]
        base["routes"] = [
            template
            | {
                "name": item.name,
                "path_prefix": f"/{item.name}/",
                "workspace": item.workspace,
                "urgency": item.urgency,
                "timeout_ms": TIMEOUT_MS,
                "objective_ms": OBJECTIVE_MS,
                "max_attempts": 1,
            }
            for item in self.classes.values()
        ]
        base["workspaces"] = {
            item.workspace: {
                "allowed_regions": ["east"],
                **({"urgency": 0} if by_urgency else {}),
            }
            for item in self.classes.values()
        }
        base["services"]["portal"]["expected_ms"] = SERVICE_MS
        return base

    def schedule(self, delay_ms, action):
        """Run `action` after `delay_ms`."""
        self.sequence += 1
        at_ms = self.harness.now_ms + delay_ms
        heapq.heappush(self.events, (at_ms, self.sequence, action))

    def run(self, duration_ms):
        """Let requests arrive for `duration_ms` of virtual time."""
        end_ms = self.harness.now_ms + duration_ms
        self.schedule(TICK_MS, self.tick)
        for item in self.classes.values():
            self.schedule(1, lambda item=item: self.arrive(item, end_ms))
        while self.events:
            at_ms, _, action = heapq.heappop(self.events)
            if at_ms > end_ms + TIMEOUT_MS:
                return
            self.harness.now_ms = at_ms
            action()

    def tick(self):
        """Run a tick of the daemon and schedule the next one."""
        self.schedule(TICK_MS, self.tick)
        self.execute(self.harness.node.tick(self.harness.now_ms))

    def arrive(self, item, end_ms):
        """Send a request of a class and schedule its next one."""
        now_ms = self.harness.now_ms
        if now_ms >= end_ms:
            return
        delay_ms = max(1, round(1000 * self.rng.expovariate(item.rate_per_s)))
        self.schedule(delay_ms, lambda: self.arrive(item, end_ms))
        item.sent += 1
        request_id = f"{item.name}-{item.sent}"
        self.open[request_id] = (item, now_ms)
        path = f"/{item.name}/x"
        self.execute(self.harness.send_request(path, request_id))

    def execute(self, commands):
        """Execute the commands that concern requests."""
        for command in commands:
            match command:
                case cmd.StartAttempt():
                    self.waiting[command.server].append(command)
                    self.start(command.server)
                case cmd.SendErrorResponse(request_id, error):
                    item, sent_ms = self.open.pop(request_id)
                    item.errors.append((self.harness.now_ms - sent_ms, error))

    def start(self, name):
        """Let a server process the requests for which it has free slots."""
        while self.free[name] and self.waiting[name]:
            command = self.waiting[name].pop(0)
            self.free[name] -= 1
            delay_ms = round(SERVICE_MS * self.rng.uniform(0.5, 1.5))
            self.schedule(delay_ms, lambda c=command: self.finish(name, c))

    def finish(self, name, command):
        """Deliver the response to an attempt."""
        self.free[name] += 1
        item, sent_ms = self.open.pop(command.request.request_id)
        if self.harness.now_ms - sent_ms <= OBJECTIVE_MS:
            item.in_time += 1
        else:
            item.late += 1
        event = ev.AttemptFinished(command.attempt_id)
        self.execute(self.harness.handle(event))
        self.start(name)
