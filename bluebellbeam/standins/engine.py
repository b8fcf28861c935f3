"""Model engine stand-in: a state machine driven by the caller's clock.

The engine runs one job per slot with continuous batching, computes one prompt
at a time and keeps a bounded prefix cache. Its load reports lag, and it can
lose cache events.
"""

import heapq
from collections import OrderedDict, deque

from msgspec import Struct

from bluebellbeam.provider.records import CacheEvents, LoadHeader, LoadReport

__all__ = ["Engine", "EngineJob", "JobEvent", "make_engine"]

MAX_WAITING_PER_SLOT = 2
"""Waiting jobs per slot at which the engine refuses further jobs."""

_PRIORITY_RANK = {"interactive": 0, "batch": 1, "guest": 0}
"""Position of each priority in the queue; jobs of a lower rank start first."""


class JobEvent(Struct, frozen=True):
    """First token or end of a job.

    Parameters
    ----------
    job_id : hashable
    kind : {"first", "done"}
    at_ms : float
        Time of the event in ms.
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
        Name of the model or adapter, without its version.
    prompt_tokens, output_tokens : int
        Tokens of the prompt and of the complete output.
    resume_tokens : int
        Output tokens that an earlier attempt has sent to the caller already.
    blocks : tuple of int
        Hashes of the prompt's prefix blocks.
    priority : {"interactive", "batch", "guest"}
    first_ms, done_ms : float or None
        Time in ms of the first token and of the end, or None before the job
        starts.
    token_ms : float
        Time between two tokens in ms.
    cached_tokens : int
        Prompt tokens found in the prefix cache.
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
        """Return the number of tokens emitted until `now_ms`, with `resume_tokens`."""
        if self.first_ms is None or now_ms < self.first_ms:
            return self.resume_tokens
        count = 1 + int((now_ms - self.first_ms) / max(self.token_ms, 0.001))
        return min(self.output_tokens, self.resume_tokens + count)


class Engine:
    """State and injected faults of one engine.

    Attributes
    ----------
    record : VmRecord
        Record of the engine in the VM list.
    slots : int
        Jobs that run at once.
    loaded : list of str
        ``name@version`` of each loaded model and adapter.
    loading, unload : str
        ``name@version`` that is being loaded, and the one that is unloaded once
        it is loaded; empty if there is none.
    prefill_tokens_per_s : float
        Prompt tokens computed per second.
    inter_token_ms : float
        Time in ms between two tokens of a job while every slot is busy.
    block_tokens : int
        Tokens in one block of the prefix cache.
    prefix_cache : OrderedDict
        Cached prefix blocks, least recently used first.
    cache_blocks : int
        Capacity of the prefix cache in blocks.
    running : dict of hashable to EngineJob
        Running jobs by id.
    waiting : list of (int, int, EngineJob)
        Heap of the queued jobs by priority and order of arrival.
    prefill_busy_until_ms : float
        Time at which the prompts of all started jobs have been computed.
    scheduled_events : list of (float, int, object, str)
        Heap of the time in ms, sequence number, job id and kind of future
        events.
    event_count : int
        Last sequence number of the heaps, which breaks ties in them.
    slow_factor : float
        Fault: factor by which prompts and tokens take longer.
    report_lag_ms : int
        Age in ms of the state that load reports show.
    mute_reports : bool
        Fault: the engine sends no load report.
    lost_event_interval : int
        Fault: one in this many cache events is lost; 0 loses none.
    leaving : bool
        Whether the engine is leaving the deployment and refuses new jobs.
    cancelled, refused : int
        Numbers of cancelled and refused jobs.
    accepted_work : list of (hashable, float)
        Job id and time in ms of each accepted job.
    load_history : deque of (float, int, int, int)
        Time in ms, running jobs, waiting jobs and prompt tokens not computed
        yet, oldest first.
    cache_event_sequence : int
        Sequence number of the last cache event.
    pending_cache_events : list of (int, str, int)
        Sequence number, kind and block of each unpublished cache event.
    fence : int
        Highest fencing number of an accepted order.
    allowed_senders : collection of str or None
        Senders whose orders are accepted, or None for any.
    orders : list of Order
        Accepted orders.
    prompt_tokens_total, cached_tokens_total : int
        Prompt tokens of all started jobs, and how many of them were cached.
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
        """Return True if any version of model or adapter `name` is loaded."""
        return any(item.partition("@")[0] == name for item in self.loaded)

    def submit(self, job, now_ms):
        """Accept `job` and return None, or return the reason for refusing it."""
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
        self._start_queued_jobs(now_ms)
        self._record_load(now_ms)
        return None

    def cancel(self, job_id, now_ms):
        """Cancel a job and free its slot."""
        before = len(self.waiting)
        self.waiting = [item for item in self.waiting if item[2].job_id != job_id]
        heapq.heapify(self.waiting)
        if self.running.pop(job_id, None) is not None or len(self.waiting) < before:
            self.cancelled += 1
        self._start_queued_jobs(now_ms)
        self._record_load(now_ms)

    def next_event_ms(self):
        """Return the time of the next scheduled event, or None."""
        return self.scheduled_events[0][0] if self.scheduled_events else None

    def poll(self, now_ms):
        """Return the list of :class:`JobEvent` that happened until `now_ms`."""
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
                self._start_queued_jobs(at_ms)
                self._record_load(at_ms)
        return events

    def report(self, now_ms):
        """Return the :class:`LoadReport` of `report_lag_ms` ago.

        None is returned with `mute_reports`.
        """
        if self.mute_reports:
            return None
        running, waiting, tokens = 0, 0, 0
        for at_ms, *values in reversed(self.load_history):
            if at_ms <= now_ms - self.report_lag_ms:
                running, waiting, tokens = values
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
        """Return the :class:`LoadHeader` of a response, or None with `mute_reports`."""
        report = self.report(now_ms)
        if report is None:
            return None
        return LoadHeader(
            report.running, report.waiting, report.waiting_tokens, report.leaving
        )

    def pop_cache_events(self):
        """Return the :class:`CacheEvents` since the last call, or None without any."""
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
        """Start loading what `order` names, or return the reason for refusing it.

        Parameters
        ----------
        order : Order
        now_ms : float
        load_ms : float
            Time that the load takes.

        Returns
        -------
        str or None
            None if the order is accepted.
        """
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
        """Return the cached prefix blocks, least recently used first."""
        return tuple(self.prefix_cache)

    def import_blocks(self, blocks):
        """Add prefix blocks exported by another engine to the cache."""
        self._add_blocks(blocks)

    def clear(self):
        """Drop every job and the prefix cache, as a restart does."""
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

    def _start_queued_jobs(self, now_ms):
        while self.waiting and len(self.running) < self.slots:
            _, _, job = heapq.heappop(self.waiting)
            self._start(job, now_ms)

    def _start(self, job, now_ms):
        job.cached_tokens = self._cached_tokens(job)
        uncached = max(1, job.prompt_tokens + job.resume_tokens - job.cached_tokens)
        prefill_ms = 1000.0 * uncached / self.prefill_tokens_per_s * self.slow_factor
        start_ms = max(now_ms, self.prefill_busy_until_ms)
        self.prefill_busy_until_ms = start_ms + prefill_ms
        self.running[job.job_id] = job
        busy_share = len(self.running) / self.slots
        job.token_ms = self.inter_token_ms * (0.5 + 0.5 * busy_share) * self.slow_factor
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
    """Return an idle engine.

    Parameters
    ----------
    record : VmRecord
    slots : int
    loaded : iterable of str
        ``name@version`` of each loaded model and adapter.
    **values
        Values of ``prefill_tokens_per_s``, ``inter_token_ms``,
        ``block_tokens``, ``cache_blocks`` and ``report_lag_ms`` that replace the
        defaults.
    """
    return Engine(record, slots, loaded, **values)
