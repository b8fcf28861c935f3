"""One daemon in virtual time in front of engines that decode streams step by step."""

import random

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.tests.harness import Harness, make_base, server
from bluebellbeam.provider.records import LoadHeader
from bluebellbeam.utils.hashing import hash_text

SLOTS = 64
STEP_MS = 3.09
STEP_MS_PER_REQUEST = 0.1
CHUNK_TOKENS = 2_048
CHUNK_MS = 36.0
TOKENS_PER_EVENT = 9
TICK_MS = 10
REPORT_MS = 250

SHORT_DEADLINE_MS = 10_300
LONG_DEADLINE_MS = 4_000


class Stream:
    """A stream at an engine."""

    __slots__ = (
        "command",
        "to_compute",
        "tokens",
        "since_ms",
        "last_ms",
        "events",
        "gap_ms",
    )

    def __init__(self, command):
        self.command = command
        self.to_compute = command.request.prompt_tokens
        self.tokens = 0
        self.since_ms = self.last_ms = None
        self.events = self.gap_ms = 0


class Engine:
    """An engine that computes one prefill chunk between two decoding steps."""

    __slots__ = ("name", "running", "budget_ms")

    def __init__(self, name):
        self.name = name
        self.running = {}
        self.budget_ms = 0.0


class EngineRegion:
    """A daemon, its engines and its callers.

    Parameters
    ----------
    engines : int
    short_per_s, long_per_s : float
        Streams of 826 prompt and 288 output tokens, and of 9,190 and 54 tokens.
    percent : int
        Fourth load figure of the engines; 0 for none.
    seed : int

    Attributes
    ----------
    sent, completed, lost, refused : dict of str to int
        Streams by kind: all, complete in time, ended by their deadline at an engine,
        and rejected.
    """

    def __init__(self, engines, short_per_s, long_per_s, percent, seed=1):
        base = make_base()
        chat = next(route for route in base["routes"] if route["name"] == "chat")
        chat |= {"timeout_ms": SHORT_DEADLINE_MS, "objective_ms": 515}
        long = chat | {"name": "long", "path_prefix": "/l/", "objective_ms": 1_535}
        base["routes"].append(long | {"timeout_ms": LONG_DEADLINE_MS})
        self.harness = Harness(base=base)
        self.harness.state.ready = True
        self.engines = {f"s{n}": Engine(f"s{n}") for n in range(engines)}
        self.harness.publish_servers(
            *(server(name, service="llm", slots=SLOTS) for name in self.engines)
        )
        self.rates = {"short": short_per_s, "long": long_per_s}
        self.percent = percent
        self.rng = random.Random(seed)
        self.kinds = {}
        self.counts = {
            name: dict.fromkeys(self.rates, 0)
            for name in ("sent", "completed", "lost", "refused")
        }

    def run(self, duration_ms):
        """Advance virtual time."""
        harness = self.harness
        for _ in range(duration_ms // TICK_MS):
            harness.now_ms += TICK_MS
            if harness.now_ms % 50 == 0:
                self.execute(harness.node.tick(harness.now_ms))
            for kind, rate_per_s in self.rates.items():
                if self.rng.random() < rate_per_s * TICK_MS / 1000.0:
                    self.send(kind)
            for engine in self.engines.values():
                self.advance(engine)

    def send(self, kind):
        """Send a stream with a prompt of its own."""
        self.counts["sent"][kind] += 1
        request_id = f"{kind}{self.counts['sent'][kind]}"
        self.kinds[request_id] = kind
        prompt, output = (826, 288) if kind == "short" else (9_190, 54)
        path = "/c/x" if kind == "short" else "/l/x"
        self.execute(
            self.harness.send_request(
                path,
                request_id,
                prompt_tokens=prompt,
                max_output_tokens=output,
                blocks=(hash_text(request_id),),
                block_ends=(prompt,),
            )
        )

    def execute(self, commands):
        """Start and cancel streams at the engines, and count rejections."""
        for command in commands:
            match command:
                case cmd.StartAttempt():
                    running = self.engines[command.server].running
                    running[command.attempt_id] = Stream(command)
                case cmd.CancelAttempt(attempt_id):
                    for engine in self.engines.values():
                        stream = engine.running.pop(attempt_id, None)
                        if stream is not None:
                            self.count("lost", stream)
                case cmd.SendErrorResponse(request_id, error):
                    if error.outcome == "not_run":
                        self.counts["refused"][self.kinds[request_id]] += 1

    def count(self, name, stream):
        """Count the end of a stream."""
        self.counts[name][self.kinds[stream.command.request.request_id]] += 1

    def advance(self, engine):
        """Run the steps of an engine that fit into a tick."""
        engine.budget_ms = min(engine.budget_ms + TICK_MS, CHUNK_MS + 3 * TICK_MS)
        while engine.running:
            computing = [s for s in engine.running.values() if s.to_compute > 0][:1]
            cost_ms = STEP_MS + STEP_MS_PER_REQUEST * len(engine.running)
            cost_ms += CHUNK_MS if computing else 0.0
            if engine.budget_ms < cost_ms:
                return
            engine.budget_ms -= cost_ms
            for stream in list(engine.running.values()):
                if stream.to_compute <= 0:
                    stream.tokens += 1
                    if stream.tokens % TOKENS_PER_EVENT == 0:
                        self.report_event(engine, stream)
            for stream in computing:
                stream.to_compute -= CHUNK_TOKENS

    def report_event(self, engine, stream):
        """Deliver an event of a stream to the daemon."""
        now_ms = self.harness.now_ms
        attempt_id = stream.command.attempt_id
        if stream.last_ms is None:
            stream.since_ms = stream.last_ms = now_ms
            self.execute(self.harness.handle(ev.AttemptStarted(attempt_id)))
            self.report_progress(engine, stream, self.load(engine))
        else:
            stream.events += 1
            stream.gap_ms = max(stream.gap_ms, now_ms - stream.last_ms)
            stream.last_ms = now_ms
            if now_ms - stream.since_ms >= REPORT_MS:
                self.report_progress(engine, stream, None)
        if stream.tokens >= stream.command.request.max_output_tokens:
            engine.running.pop(attempt_id, None)
            self.count("completed", stream)
            events = stream.tokens // TOKENS_PER_EVENT
            self.execute(self.harness.handle(ev.AttemptFinished(attempt_id, events)))

    def report_progress(self, engine, stream, load):
        """Deliver the intervals since the last report, as the daemon measures them."""
        if not self.percent:
            return
        now_ms = self.harness.now_ms
        event = ev.StreamProgressed(
            stream.command.attempt_id,
            stream.events,
            now_ms - stream.since_ms,
            stream.gap_ms,
            load,
        )
        self.execute(self.harness.handle(event))
        stream.since_ms = now_ms
        stream.events = stream.gap_ms = 0

    def load(self, engine):
        """Return the load that an engine reports."""
        return LoadHeader(len(engine.running), 0, 0, duration_percent=self.percent)
