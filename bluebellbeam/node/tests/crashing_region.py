"""A region in virtual time whose servers end under prompts with some parts."""

from bluebellbeam.node import event as ev
from bluebellbeam.node.tests.limited_region import NETWORK_MS, LimitedRegion

DELIST_MS = 2100
"""Time after its end at which a server disappears from the list."""

REPLACE_MS = 4000
"""Time after its end at which another server takes its place."""

CONTACT_MS = 5000
"""Time for which a daemon must have run undisturbed for its requests to count."""

STREAM_MS = 800
"""Time from the first event of a response to its end."""


class CrashingRegion(LimitedRegion):
    """Daemons of one region in front of servers that end under some prompts.

    Attributes
    ----------
    bad_parts : set of str
        Parts under which a server ends when it begins to answer.
    bad_rate_per_s : float
        Requests per second with one of them.
    up : dict of str to list of (Harness, StartAttempt)
        Requests at each server that runs.
    ends_ms : list of int
        Times of the ends under a bad part.
    bad_arrivals : list of (int, str)
        Time and daemon of each request with a bad part that reached a server.
    disturbed_ms : dict of str to int
        Time of the last disturbance of a daemon.
    harmless_refused : int
        Requests without a bad part that were refused because of their prompt.
    """

    def __init__(self, count, servers=6, rate_per_s=25.0, seed=1):
        self.bad_parts = {"bad"}
        self.bad_rate_per_s = 0.0
        self.up = {}
        self.ends_ms = []
        self.bad_arrivals = []
        self.disturbed_ms = {}
        self.harmless_refused = 0
        super().__init__(count, servers, rate_per_s, seed)
        self.up = {name: [] for name in self.servers}
        self.next_server = servers + 1
        self.schedule(1, self.send_bad)

    def parts(self):
        """Return shared parts of a prompt, the first of which all prompts have."""
        middle = [f"m{self.rng.randrange(12)}" for _ in range(self.rng.randrange(3))]
        return ("first", *dict.fromkeys(middle))

    def send_request(self):
        """Send a harmless request to a random daemon and schedule the next one."""
        delay_ms = max(1, round(1000 * self.rng.expovariate(self.rate_per_s)))
        self.schedule(delay_ms, self.send_request)
        self.send("s", prompt_parts=self.parts())

    def send_bad(self):
        """Send a request with a bad part and schedule the next one."""
        rate = self.bad_rate_per_s or 1.0
        delay_ms = max(1, round(1000 * self.rng.expovariate(rate)))
        self.schedule(delay_ms, self.send_bad)
        if self.bad_rate_per_s:
            parts = list(self.parts())
            bad = self.rng.choice(sorted(self.bad_parts))
            parts.insert(self.rng.randrange(len(parts) + 1), bad)
            self.send("b", prompt_parts=tuple(parts))

    def is_bad(self, request):
        """Return whether a server ends when it begins to answer a request."""
        names = {*request.prompt_parts, *request.content_names}
        return bool(self.bad_parts & names)

    def execute(self, harness, commands):
        """Execute the commands of a daemon, and count refusals of harmless prompts."""
        for command in commands:
            error = getattr(command, "error", None)
            if error is not None and error.code.endswith("_quarantined"):
                self.harmless_refused += command.request_id.startswith("s")
        super().execute(harness, commands)

    def arrival(self, harness, command, sent_ms):
        """Return the action of a request that arrives at a server."""
        attempt = command.attempt_id

        def arrive():
            running = self.up.get(command.server)
            if running is None:
                event = ev.AttemptFailed(
                    attempt, False, lost_connection=True, refused_connection=True
                )
                self.schedule(NETWORK_MS, lambda: self.handle(harness, event))
                return
            if self.is_bad(command.request):
                vm = harness.state.identity.vm
                self.bad_arrivals.append((self.now_ms, vm))
            running.append((harness, command))
            delay_ms = self.rng.randrange(30, 150)
            self.schedule(delay_ms, lambda: self.begin(harness, command))

        return arrive

    def begin(self, harness, command):
        """Begin the response to a request, or end its server."""
        running = self.up.get(command.server)
        if running is None or (harness, command) not in running:
            return
        if command.attempt_id not in harness.state.attempts:
            running.remove((harness, command))
            return
        if self.is_bad(command.request):
            self.ends_ms.append(self.now_ms)
            self.end_server(command.server)
            return
        self.handle(harness, ev.AttemptStarted(command.attempt_id))
        self.schedule(STREAM_MS, lambda: self.finish(harness, command))

    def finish(self, harness, command):
        """End the response to a request."""
        running = self.up.get(command.server)
        if running is not None and (harness, command) in running:
            running.remove((harness, command))
            self.answered += 1
            self.handle(harness, ev.AttemptFinished(command.attempt_id))

    def end_server(self, name):
        """End a server; another one takes its place after a while."""
        for harness, command in self.up.pop(name):
            event = ev.AttemptFailed(command.attempt_id, True, lost_connection=True)
            self.schedule(NETWORK_MS, lambda h=harness, e=event: self.handle(h, e))
        self.schedule(DELIST_MS, lambda: self.delist(name))
        self.schedule(REPLACE_MS, self.add_server)

    def delist(self, name):
        del self.servers[name]
        self.publish()

    def add_server(self):
        name = f"s{self.next_server}"
        self.next_server += 1
        self.servers[name] = self.make_server(name)
        self.up[name] = []
        self.publish()

    def publish(self):
        """Publish the list of servers to every daemon."""
        for harness in self.daemons.values():
            harness.now_ms = self.now_ms
            harness.publish_servers(*(item.record for item in self.servers.values()))
            harness.commands.clear()

    def check(self, harness, command):
        """Return the action of a health check that arrives at a server."""

        def arrive():
            name, incarnation = command.server, command.incarnation
            if name in self.up:
                event = ev.HealthCheckAnswered(name, name, incarnation)
            else:
                event = ev.LoadReadFailed(name, incarnation, True)
            self.handle(harness, event)

        return arrive

    def restart(self, vm, incarnation):
        """Kill a daemon and start it again, without anything that it knew."""
        self.stop(vm)
        self.disturbed_ms[vm] = self.now_ms
        self.schedule(500, lambda: self._start_again(vm, incarnation))

    def _start_again(self, vm, incarnation):
        self.disturbed_ms[vm] = self.now_ms
        self.start(vm, incarnation)

    def late_arrivals(self, ends=5):
        """Return the requests that came too late, from daemons in touch.

        They reached a server later than `CONTACT_MS` after so many `ends`.
        """
        if len(self.ends_ms) < ends:
            return []
        from_ms = sorted(self.ends_ms)[ends - 1] + CONTACT_MS
        return [
            (at_ms, vm)
            for at_ms, vm in self.bad_arrivals
            if at_ms > from_ms
            and at_ms - self.disturbed_ms.get(vm, -CONTACT_MS) > CONTACT_MS
        ]
