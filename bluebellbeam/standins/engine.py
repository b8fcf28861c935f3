"""A model engine stand-in: a state machine over time given from outside.

It batches continuously over a number of slots, computes prompts one after
the other, keeps a bounded prefix cache, and publishes its load with a lag
and its cache events late and with gaps.
"""

import heapq
from collections import OrderedDict, deque

from msgspec import Struct

from bluebellbeam.provider.records import CacheEvents, LoadHeader, LoadReport

__all__ = ["Engine", "EngineJob", "JobEvent", "make_engine"]

MAX_WAITING_PER_SLOT = 2
"""An engine holds this many times its slots as waiting requests."""

_PRIORITY_RANK = {"interactive": 0, "batch": 1, "guest": 0}


class JobEvent(Struct, frozen=True):
    """A first token, or the end of a job.

    Parameters
    ----------
    kind : {"first", "done"}
    """

    job_id: object
    kind: str
    at_ms: float


class EngineJob:
    """One request at the engine.

    Attributes
    ----------
    job_id : hashable
    name : str
        Model or adapter.
    prompt_tokens, output_tokens, resume_tokens : int
    blocks : tuple of int
    first_ms, done_ms : float or None
    token_ms : float
        Time between two of its tokens.
    cached_tokens : int
    """

    __slots__ = (
        "job_id",
        "name",
        "prompt_tokens",
        "output_tokens",
        "resume_tokens",
        "blocks",
        "priority",
        "first_ms",
        "done_ms",
        "token_ms",
        "cached_tokens",
    )

    def __init__(self, job_id, name, prompt_tokens, output_tokens, **values):
        self.job_id = job_id
        self.name = name
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.resume_tokens = values.get("resume_tokens", 0)
        self.blocks = values.get("blocks", ())
        self.priority = values.get("priority", "interactive")
        self.first_ms = None
        self.done_ms = None
        self.token_ms = 0.0
        self.cached_tokens = 0

    def emitted_tokens(self, now_ms):
        """Return the tokens given out until `now_ms`, resumed ones included."""
        if self.first_ms is None or now_ms < self.first_ms:
            return self.resume_tokens
        count = 1 + int((now_ms - self.first_ms) / max(self.token_ms, 0.001))
        return min(self.output_tokens, self.resume_tokens + count)


class Engine:
    """State of one engine, and the switches of its faults.

    Attributes
    ----------
    record : VmRecord
    slots : int
    loaded : list of str
        ``name@version`` held.
    slow_factor : float
        Fault: everything takes this many times as long.
    report_lag_ms : int
        Load reports show the state of this long ago.
    mute_reports : bool
        Fault: no load report is given.
    lost_event_interval : int
        Fault: every so many cache events one is lost; 0 loses none.
    leaving : bool
    cancelled, refused : int
    accepted_work : list of (job_id, start in ms)
    """

    __slots__ = (
        "record",
        "slots",
        "loaded",
        "loading",
        "unload",
        "prefill_tokens_per_s",
        "inter_token_ms",
        "block_tokens",
        "prefix_cache",
        "cache_blocks",
        "running",
        "waiting",
        "prefill_busy_until_ms",
        "scheduled_events",
        "event_count",
        "slow_factor",
        "report_lag_ms",
        "mute_reports",
        "lost_event_interval",
        "leaving",
        "cancelled",
        "refused",
        "accepted_work",
        "load_history",
        "cache_event_sequence",
        "pending_cache_events",
        "fence",
        "allowed_senders",
        "orders",
        "prompt_tokens_total",
        "cached_tokens_total",
    )

    def __init__(self, record, slots, loaded, **values):
        self.record = record
        self.slots = slots
        self.loaded = list(loaded)
        self.loading = ""
        self.unload = ""
        self.prefill_tokens_per_s = values.get("prefill_tokens_per_s", 4000.0)
        self.inter_token_ms = values.get("inter_token_ms", 30.0)
        self.block_tokens = values.get("block_tokens", 64)
        self.prefix_cache = OrderedDict()
        self.cache_blocks = values.get("cache_blocks", 512)
        self.running = {}
        self.waiting = []
        self.prefill_busy_until_ms = 0.0
        self.scheduled_events = []
        self.event_count = 0
        self.slow_factor = 1.0
        self.report_lag_ms = values.get("report_lag_ms", 200)
        self.mute_reports = False
        self.lost_event_interval = 0
        self.leaving = False
        self.cancelled = 0
        self.refused = 0
        self.accepted_work = []
        self.load_history = deque(maxlen=64)
        self.cache_event_sequence = 0
        self.pending_cache_events = []
        self.fence = 0
        self.allowed_senders = None
        self.orders = []
        self.prompt_tokens_total = 0
        self.cached_tokens_total = 0

    def has_loaded(self, name):
        """Return whether some version of model or adapter `name` is loaded."""
        return any(item.partition("@")[0] == name for item in self.loaded)

    def submit(self, job, now_ms):
        """Take `job`, or return the reason why it is not run."""
        if not self.has_loaded(job.name):
            self.refused += 1
            return "not_loaded"
        if self.leaving:
            self.refused += 1
            return "leaving"
        if len(self.waiting) >= MAX_WAITING_PER_SLOT * self.slots:
            self.refused += 1
            return "overloaded"
        self.accepted_work.append((job.job_id, now_ms))
        rank = _PRIORITY_RANK[job.priority]
        self.event_count += 1
        heapq.heappush(self.waiting, (rank, self.event_count, job))
        self._start_waiting(now_ms)
        self._record_load(now_ms)
        return None

    def cancel(self, job_id, now_ms):
        """Stop a job; its slot is free at once."""
        before = len(self.waiting)
        self.waiting = [item for item in self.waiting if item[2].job_id != job_id]
        heapq.heapify(self.waiting)
        if self.running.pop(job_id, None) is not None or len(self.waiting) < before:
            self.cancelled += 1
        self._start_waiting(now_ms)
        self._record_load(now_ms)

    def next_event_ms(self):
        """Return when the next event is due, or None."""
        return self.scheduled_events[0][0] if self.scheduled_events else None

    def poll(self, now_ms):
        """Return the :class:`JobEvent` scheduled_events until `now_ms`."""
        events = []
        while self.scheduled_events and self.scheduled_events[0][0] <= now_ms:
            at_ms, _, job_id, kind = heapq.heappop(self.scheduled_events)
            if kind == "loaded":
                self._finish_load()
                continue
            if job_id not in self.running:
                continue
            events.append(JobEvent(job_id, kind, at_ms))
            if kind == "done":
                del self.running[job_id]
                self._start_waiting(at_ms)
                self._record_load(at_ms)
        return events

    def report(self, now_ms):
        """Return the lagged :class:`LoadReport`, or None while muted."""
        if self.mute_reports:
            return None
        running, waiting, tokens = 0, 0, 0
        for at_ms, *shown in reversed(self.load_history):
            if at_ms <= now_ms - self.report_lag_ms:
                running, waiting, tokens = shown
                elapsed_s = (now_ms - self.report_lag_ms - at_ms) / 1000.0
                computed = elapsed_s * self.prefill_tokens_per_s / self.slow_factor
                tokens = max(0, tokens - int(computed))
                break
        return LoadReport(
            server=self.record.name,
            incarnation=self.record.incarnation,
            region=self.record.region,
            slots=self.slots,
            running=running,
            waiting=waiting,
            waiting_tokens=tokens,
            loaded=tuple(self.loaded),
            loading=self.loading,
            leaving=self.leaving,
            fence=self.fence,
        )

    def load_header(self, now_ms):
        """Return the :class:`LoadHeader` for an answer, or None while muted."""
        report = self.report(now_ms)
        if report is None:
            return None
        return LoadHeader(
            report.running, report.waiting, report.waiting_tokens, report.leaving
        )

    def pop_cache_events(self):
        """Return the :class:`CacheEvents` since the last call, or None."""
        if not self.pending_cache_events:
            return None
        kept = [
            item
            for item in self.pending_cache_events
            if not self.lost_event_interval or item[0] % self.lost_event_interval
        ]
        self.pending_cache_events = []
        if not kept:
            return None
        added = tuple(block for _, kind, block in kept if kind == "add")
        dropped = tuple(block for _, kind, block in kept if kind == "drop")
        return CacheEvents(self.record.name, kept[0][0], kept[-1][0], added, dropped)

    def accept_order(self, order, now_ms, load_ms):
        """Begin to load what `order` says, or return why not."""
        if self.record.fenced and order.fence < self.fence:
            return "old fencing number"
        senders = self.allowed_senders
        if self.record.checks_sender and senders and order.sender not in senders:
            return "unknown sender"
        if self.loading:
            return "loading"
        if self.record.fenced:
            self.fence = max(self.fence, order.fence)
        self.orders.append(order)
        self.loading = order.load
        self.unload = order.unload
        self._schedule(now_ms + load_ms, None, "loaded")
        return None

    def export_blocks(self):
        """Return the prefix blocks held, least recently used first."""
        return tuple(self.prefix_cache)

    def import_blocks(self, blocks):
        """Take prefix blocks exported by another engine."""
        self._add_blocks(blocks)

    def clear(self):
        """Lose every job and the cache, as a restart does."""
        self.running.clear()
        self.waiting.clear()
        self.scheduled_events.clear()
        self.prefix_cache.clear()
        self.pending_cache_events.clear()

    def _finish_load(self):
        if self.unload in self.loaded:
            self.loaded.remove(self.unload)
        if self.loading and self.loading not in self.loaded:
            self.loaded.append(self.loading)
        self.loading = ""
        self.unload = ""

    def _start_waiting(self, now_ms):
        while self.waiting and len(self.running) < self.slots:
            _, _, job = heapq.heappop(self.waiting)
            self._start(job, now_ms)

    def _start(self, job, now_ms):
        job.cached_tokens = self._cached_tokens(job)
        uncached = max(1, job.prompt_tokens + job.resume_tokens - job.cached_tokens)
        prefill_ms = 1000.0 * uncached / self.prefill_tokens_per_s * self.slow_factor
        begin_ms = max(now_ms, self.prefill_busy_until_ms)
        self.prefill_busy_until_ms = begin_ms + prefill_ms
        self.running[job.job_id] = job
        batch = len(self.running) / self.slots
        job.token_ms = self.inter_token_ms * (0.5 + 0.5 * batch) * self.slow_factor
        job.first_ms = self.prefill_busy_until_ms
        left = max(0, job.output_tokens - job.resume_tokens - 1)
        job.done_ms = job.first_ms + left * job.token_ms
        self._schedule(job.first_ms, job.job_id, "first")
        self._schedule(job.done_ms, job.job_id, "done")
        self.prompt_tokens_total += job.prompt_tokens
        self.cached_tokens_total += min(job.cached_tokens, job.prompt_tokens)
        self._add_blocks(job.blocks)

    def _cached_tokens(self, job):
        count = 0
        for block in job.blocks:
            if block not in self.prefix_cache:
                break
            count += 1
        return min(count * self.block_tokens, job.prompt_tokens)

    def _add_blocks(self, blocks):
        for block in blocks:
            if block in self.prefix_cache:
                self.prefix_cache.move_to_end(block)
            else:
                self.prefix_cache[block] = None
                self._record_cache_event("add", block)
        while len(self.prefix_cache) > self.cache_blocks:
            block, _ = self.prefix_cache.popitem(last=False)
            self._record_cache_event("drop", block)

    def _record_cache_event(self, kind, block):
        self.cache_event_sequence += 1
        self.pending_cache_events.append((self.cache_event_sequence, kind, block))

    def _record_load(self, now_ms):
        tokens = sum(item[2].prompt_tokens for item in self.waiting)
        prefill_s = max(0.0, self.prefill_busy_until_ms - now_ms) / 1000.0
        tokens += int(prefill_s * self.prefill_tokens_per_s / self.slow_factor)
        self.load_history.append((now_ms, len(self.running), len(self.waiting), tokens))

    def _schedule(self, at_ms, job_id, kind):
        self.event_count += 1
        heapq.heappush(self.scheduled_events, (at_ms, self.event_count, job_id, kind))


def make_engine(record, slots, loaded, **values):
    """Return an idle engine; `values` override its speeds and sizes."""
    return Engine(record, slots, loaded, **values)
