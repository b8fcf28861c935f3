"""A region of daemons in virtual time in front of servers of changing speed."""

from bluebellbeam.node import event as ev
from bluebellbeam.node.tests.harness import make_base, server
from bluebellbeam.node.tests.limited_region import (
    NETWORK_MS,
    LimitedRegion,
    LimitedServer,
)
from bluebellbeam.utils.hashing import hash_text

DAEMONS, SERVERS, SLOTS = 3, 4, 8
RATE_PER_S = 30.0
DEADLINE_MS = 5_000
USUAL_MS, SLOW_MS = 2, 500


class SlowRegion(LimitedRegion):
    """Daemons in front of servers that all take the same time for a request.

    Parameters
    ----------
    service : str
        Service that the requests are for, ``portal`` or ``llm``.
    parts : tuple of (str, int)
        Parts of the prompts; the last one differs between requests.
    seed : int

    Attributes
    ----------
    service_ms : int
        Time from the arrival of a request to the start of its response.
    held_ms : int
        Time from the start of a response to its end.
    sending : bool
        Whether callers send requests.
    served, sent : int
        Requests of callers that were answered before their deadline, and all.
    slow_servers : dict of str to int
        `service_ms` of single servers that differ.
    """

    def __init__(self, service="portal", parts=(), seed=1):
        self.service = service
        self.parts = parts
        self.service_ms = USUAL_MS
        self.held_ms = 0
        self.sending = True
        self.served = self.sent = 0
        self.slow_servers = {}
        self.sent_by_server = {}
        super().__init__(DAEMONS, SERVERS, RATE_PER_S, seed)

    def make_server(self, name):
        return LimitedServer(server(name, service=self.service, slots=SLOTS))

    def make_config(self):
        base = make_base()
        for route in base["routes"]:
            route["timeout_ms"] = DEADLINE_MS
        return base

    def send_request(self):
        delay_ms = max(1, round(1000 * self.rng.expovariate(self.rate_per_s)))
        self.schedule(delay_ms, self.send_request)
        if self.sending:
            self.send_one()

    def send_one(self):
        """Send one request to a random daemon."""
        self.sent += 1
        self.requests += 1
        harness = self.daemons[self.rng.choice(self.names)]
        harness.now_ms = self.now_ms
        values = {}
        if self.parts:
            names = [name for name, _ in self.parts]
            names[-1] += f"-{self.requests}"
            ends = [
                sum(tokens for _, tokens in self.parts[: i + 1])
                for i in range(len(self.parts))
            ]
            values = {
                "blocks": tuple(
                    hash_text("/".join(names[: i + 1])) for i in range(len(ends))
                ),
                "block_ends": tuple(ends),
                "prompt_tokens": ends[-1],
                "max_output_tokens": 20,
            }
        path = "/p/x" if self.service == "portal" else "/c/x"
        commands = harness.send_request(path, f"r{self.requests}", **values)
        self.execute(harness, commands)

    def arrival(self, harness, command, sent_ms):
        def arrive():
            self.record_arrival(harness, command.server)
            count = self.sent_by_server.get(command.server, 0)
            self.sent_by_server[command.server] = count + 1
            delay_ms = self.slow_servers.get(command.server, self.service_ms)
            self.schedule(delay_ms, lambda: self.start_response(harness, command))

        return arrive

    def start_response(self, harness, command):
        """Deliver the start of a response, and later its end."""
        self.handle(harness, ev.AttemptStarted(command.attempt_id))
        self.schedule(
            self.held_ms + NETWORK_MS, lambda: self.respond(harness, command, 0)
        )

    def respond(self, harness, command, sent_ms):
        arrival_ms = command.request.arrival_ms
        in_time = self.now_ms - arrival_ms <= DEADLINE_MS
        if command.attempt_id in harness.state.attempts and in_time:
            self.served += 1
        self.handle(harness, ev.AttemptFinished(command.attempt_id))

    def check(self, harness, command):
        def arrive():
            name, incarnation = command.server, command.incarnation
            self.handle(harness, ev.HealthCheckAnswered(name, name, incarnation))

        return arrive

    def play(self, duration_ms):
        """Send requests for a time; return the numbers served and sent in it."""
        served, sent = self.served, self.sent
        self.sending = True
        self.run(duration_ms)
        self.sending = False
        self.run(DEADLINE_MS)
        return self.served - served, self.sent - sent
