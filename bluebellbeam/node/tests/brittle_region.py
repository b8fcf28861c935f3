"""A region in virtual time whose servers end when they refuse too many requests."""

from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.tests.harness import make_base, server
from bluebellbeam.node.tests.limited_region import (
    NETWORK_MS,
    LimitedRegion,
    LimitedServer,
)
from bluebellbeam.provider.records import BrittleStatement, LoadHeader

SLOTS = 8
WAITING = 16
FEW_WAITING = 1
LEARN_MS = 5000
"""Time after which brittle servers let only `FEW_WAITING` requests wait."""

DOWN_MS = 3000
SERVICE_MS = 500
OBJECTIVE_MS = 1500


class BrittleServer(LimitedServer):
    """A server with a queue.

    Attributes
    ----------
    held : list of (Harness, StartAttempt)
        Requests that run or wait there, in the order of their arrival.
    refusals : list of int
        Times of its latest refusals.
    up : bool
    """

    __slots__ = ("held", "refusals", "up")

    def __init__(self, record):
        super().__init__(record, SERVICE_MS)
        self.held = []
        self.refusals = []
        self.up = True


class BrittleRegion(LimitedRegion):
    """Daemons of one region in front of servers that may become brittle.

    Attributes
    ----------
    refusals_per_s : float or None
        What the servers state; None while they are sound.
    brittle_ms : int
        Time from which they have been brittle.
    falls : int
        Ends of servers since then.
    """

    def __init__(self, count, servers=4, rate_per_s=60.0, seed=1):
        self.refusals_per_s = None
        self.brittle_ms = 0
        self.falls = 0
        super().__init__(count, servers, rate_per_s, seed)

    def make_server(self, name):
        return BrittleServer(server(name, slots=SLOTS))

    def make_config(self):
        base = make_base()
        base["routes"][0]["objective_ms"] = OBJECTIVE_MS
        base["services"]["portal"]["expected_ms"] = SERVICE_MS
        return base

    def become_brittle(self, refusals_per_s):
        self.refusals_per_s = refusals_per_s
        self.brittle_ms = self.now_ms
        self.falls = 0

    def room(self):
        """Return how many requests a server holds at most."""
        brittle = self.refusals_per_s is not None
        if brittle and self.now_ms - self.brittle_ms >= LEARN_MS:
            return SLOTS + FEW_WAITING
        return SLOTS + WAITING

    def arrival(self, harness, command, sent_ms):
        """Return the action of a request that arrives at a server."""

        def arrive():
            found = self.servers[command.server]
            if not found.up:
                event = ev.AttemptFailed(
                    command.attempt_id,
                    False,
                    lost_connection=True,
                    refused_connection=True,
                )
                self.schedule(NETWORK_MS, lambda: self.handle(harness, event))
            elif len(found.held) >= self.room():
                self.refuse(harness, command, found, sent_ms)
            else:
                found.held.append((harness, command))
                if len(found.held) <= SLOTS:
                    self.run_request(found, harness, command, sent_ms)

        return arrive

    def refuse(self, harness, command, found, sent_ms):
        """Refuse a request; the server ends if it has refused too many."""
        since_ms = self.now_ms - 1000
        found.refusals = [at for at in found.refusals if at > since_ms] + [self.now_ms]
        limit = self.refusals_per_s
        if limit is not None and len(found.refusals) > limit:
            self.end_server(found)
        self.state_brittle(harness, command.server, command.incarnation, sent_ms)
        error = make_error("upstream_failed", outcome="not_run")
        load = self.load(found)
        event = ev.AttemptRefused(command.attempt_id, error, load)
        self.schedule(NETWORK_MS, lambda: self.handle(harness, event))

    def end_server(self, found):
        """End a server; it is back after a while."""
        self.falls += 1
        found.up = False
        found.refusals.clear()
        for harness, command in found.held:
            event = ev.AttemptFailed(command.attempt_id, True, lost_connection=True)
            self.schedule(NETWORK_MS, lambda h=harness, e=event: self.handle(h, e))
        found.held.clear()
        self.schedule(DOWN_MS, lambda: setattr(found, "up", True))

    def run_request(self, found, harness, command, sent_ms):
        """Run a request that has a slot, and then the next one that waits."""
        delay_ms = round(found.service_ms * self.rng.uniform(0.7, 1.3))

        def finish():
            if (harness, command) not in found.held:
                return
            found.held.remove((harness, command))
            if len(found.held) >= SLOTS:
                self.run_request(found, *found.held[SLOTS - 1], self.now_ms)
            self.state_brittle(harness, command.server, command.incarnation, sent_ms)
            self.answered += 1
            load = self.load(found)
            event = ev.AttemptFinished(command.attempt_id, load=load)
            self.handle(harness, event)

        self.schedule(delay_ms, finish)

    def load(self, found):
        running = min(SLOTS, len(found.held))
        return LoadHeader(running, len(found.held) - running, 0)

    def state_brittle(self, harness, name, incarnation, sent_ms):
        """Deliver what a response of a server says about its brittleness."""
        statement = BrittleStatement(self.refusals_per_s)
        self.handle(harness, ev.BrittleStated(name, incarnation, statement, sent_ms))

    def check(self, harness, command):
        """Return the action of a health check that arrives at a server."""

        def arrive():
            name, incarnation = command.server, command.incarnation
            if self.servers[name].up:
                event = ev.HealthCheckAnswered(
                    name,
                    name,
                    incarnation,
                    sent_ms=command.sent_ms,
                    brittle=BrittleStatement(self.refusals_per_s),
                )
            else:
                event = ev.LoadReadFailed(name, incarnation, True)
            self.handle(harness, event)

        return arrive
