"""Prometheus metrics of a daemon, read from its state at each scrape.

The number of label values is bounded: error codes, kinds of request, pools, and the
`MAX_WORKSPACE_LABELS` workspaces with most requests; those of others are summed.

prometheus_client is imported at the first scrape: its import takes a tenth of the
start of a daemon, and most processes are not scraped while they start.
"""

from bisect import bisect_left
from itertools import accumulate

from bluebellbeam.node.caller_keys import largest_workspaces
from bluebellbeam.node.quotas import QUOTA_COUNTERS
from bluebellbeam.node.wait_estimates import local_wait_ms, pool_slots

__all__ = ["Metrics", "make_metrics"]

MAX_POOL_LABELS = 100
"""Largest number of pools that are exported, in order of their names."""

MAX_WORKSPACE_LABELS = 32
"""Largest number of workspaces that are exported by name."""

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 2.5, 5, 10, 30, 120)


class NodeCollector:
    """Collector of the counters and gauges of a node."""

    __slots__ = ("driver",)

    def __init__(self, driver):
        self.driver = driver

    def collect(self):
        """Yield the metric families."""
        from prometheus_client.core import CounterMetricFamily

        state = self.driver.node.state
        counters = state.counters
        for name in sorted(counters.__slots__):
            if name in ("errors", "turned_away", "rejected_keys"):
                continue
            family = CounterMetricFamily(
                f"bluebellbeam_{name}", f"Total of {name} since the start."
            )
            family.add_metric([], getattr(counters, name))
            yield family
        errors = CounterMetricFamily(
            "bluebellbeam_errors", "Final errors by code.", labels=["code"]
        )
        for code, count in sorted(counters.errors.items()):
            errors.add_metric([code], count)
        yield errors
        turned = CounterMetricFamily(
            "bluebellbeam_turned_away",
            "Requests sent elsewhere or refused beside a restricted server.",
            labels=["restriction"],
        )
        for restriction, count in sorted(counters.turned_away.items()):
            turned.add_metric([restriction], count)
        yield turned
        yield from _workspaces(state)
        for name in QUOTA_COUNTERS:
            family = CounterMetricFamily(
                f"bluebellbeam_quota_{name}", f"Total of {name} since the start."
            )
            family.add_metric([], getattr(state.quotas, name))
            yield family
        yield from _gauges(self.driver, state)
        yield from _pools(state)


def _workspaces(state):
    """Yield the requests by workspace and the rejected keys, if there are keys."""
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    if state.config is None or not state.config.has_keys:
        return
    rejected = CounterMetricFamily(
        "bluebellbeam_rejected_keys",
        "Requests without an accepted key.",
        labels=["reason"],
    )
    for reason, count in sorted(state.counters.rejected_keys.items()):
        rejected.add_metric([reason], count)
    yield rejected
    largest, others = largest_workspaces(state, MAX_WORKSPACE_LABELS)
    requests = CounterMetricFamily(
        "bluebellbeam_workspace_requests",
        "Requests of callers, of the workspaces with most of them.",
        labels=["workspace"],
    )
    for name, count in largest:
        requests.add_metric([name], count)
    yield requests
    # Falls when a workspace becomes one of the largest, so it is no counter.
    rest = GaugeMetricFamily(
        "bluebellbeam_other_workspaces_requests",
        "Requests of callers, of all other workspaces together.",
    )
    rest.add_metric([], others)
    yield rest


def _gauges(driver, state):
    from prometheus_client.core import GaugeMetricFamily

    config = state.config
    gauges = (
        ("ready", "1 when new work is taken.", int(state.ready)),
        ("leaving", "1 while the daemon leaves.", int(state.leaving)),
        ("config_revision", "Revision in force.", config.revision if config else 0),
        ("requests_open", "Requests without a final answer.", len(state.requests)),
        ("members", "Entry VMs known.", len(state.members.rows)),
        ("replicas", "Backend servers used.", len(state.replicas.rows)),
        ("unreached_replicas", "Of them, not reached.", _count_unreached(state)),
        ("limited_replicas", "Backend servers with a limit.", _count_limited(state)),
        ("paused_replicas", "Backend servers in a pause.", _count_paused(state)),
        ("operations", "Operations recorded.", len(state.ledger.rows)),
        ("peer_sent_bytes", "Message bytes sent.", driver.peer_bytes_sent),
        ("peer_received_bytes", "Message bytes got.", driver.peer_bytes_received),
        ("max_tick_delay_ms", "Longest delay of a tick.", driver.max_tick_delay_ms),
        ("closed_connections", "Closed at the limit.", driver.connection_limit.closed),
        ("refused_connections", "Refused there.", driver.connection_limit.refused),
    )
    for name, text, value in gauges:
        family = GaugeMetricFamily(f"bluebellbeam_{name}", text)
        family.add_metric([], value)
        yield family
    yield from _feeds(driver, state)


def _feeds(driver, state):
    """Yield the version held of each feed and the time since it was last read."""
    from prometheus_client.core import GaugeMetricFamily

    now_ms = driver.clock.now_ms()
    versions = GaugeMetricFamily(
        "bluebellbeam_feed_version", "Version held of a feed.", labels=["feed"]
    )
    ages = GaugeMetricFamily(
        "bluebellbeam_feed_read_age_ms",
        "Time since the platform last responded to a read of a feed.",
        labels=["feed"],
    )
    for key, feed in sorted(state.feeds.items()):
        versions.add_metric([key], feed.version)
        read_ms = state.feed_response_ms.get(key)
        if read_ms is not None:
            ages.add_metric([key], now_ms - read_ms)
    yield versions
    yield ages


def _count_unreached(state):
    rows = state.replicas.rows.values()
    return sum(1 for row in rows if not (row.identified or row.leaving))


def _count_limited(state):
    rows = state.replicas.rows.values()
    return sum(1 for row in rows if row.limit_per_s is not None)


def _count_paused(state):
    return sum(1 for row in state.replicas.rows.values() if row.paused_until_ms)


def _pools(state):
    from prometheus_client.core import GaugeMetricFamily

    slots = GaugeMetricFamily(
        "bluebellbeam_pool_slots", "Usable slots by pool.", labels=["pool"]
    )
    queued = GaugeMetricFamily(
        "bluebellbeam_pool_queued_requests", "Waiting requests.", labels=["pool"]
    )
    waits = GaugeMetricFamily(
        "bluebellbeam_pool_wait_seconds", "Expected wait by pool.", labels=["pool"]
    )
    names = [name for name in sorted(state.replicas.pools) if "@" not in name]
    for pool in names[:MAX_POOL_LABELS] if state.config else ():
        slots.add_metric([pool], pool_slots(state, pool))
        queue = state.queues.get(pool)
        queued.add_metric([pool], queue.size if queue else 0)
        waits.add_metric([pool], (local_wait_ms(state, pool) or 0.0) / 1000.0)
    if state.regional_loads:
        shares = GaugeMetricFamily(
            "bluebellbeam_pool_offloaded_share",
            "Share of requests sent to other regions to relieve this one.",
            labels=["pool"],
        )
        for pool, load in sorted(state.regional_loads.items())[:MAX_POOL_LABELS]:
            shares.add_metric([pool], load.share)
        yield shares
    yield slots
    yield queued
    yield waits


class ListenerCollector:
    """Collector of the connections of each listener.

    Attributes
    ----------
    activities : dict of str to ListenerActivity
        By name of the listener.
    clock : Clock
    """

    __slots__ = ("activities", "clock")

    def __init__(self, clock):
        self.activities = {}
        self.clock = clock

    def collect(self):
        """Yield the metric families."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        prefix, labels = "bluebellbeam_listener", ["listener"]
        accepted = CounterMetricFamily(
            f"{prefix}_accepted", "Connections accepted.", labels=labels
        )
        open_now = GaugeMetricFamily(
            f"{prefix}_open", "Connections that are open.", labels=labels
        )
        age = GaugeMetricFamily(
            f"{prefix}_last_accept_seconds",
            "Time since the last accepted connection.",
            labels=labels,
        )
        for name, activity in self.activities.items():
            accepted.add_metric([name], activity.accepted)
            open_now.add_metric([name], activity.open)
            if activity.accepted_ms is not None:
                age_ms = self.clock.now_ms() - activity.accepted_ms
                age.add_metric([name], age_ms / 1000.0)
        yield from (accepted, open_now, age)


class LatencyHistogram:
    """Counts of latencies by kind of request.

    Attributes
    ----------
    counts : dict of str to list of int
        Number of latencies in each bucket of `LATENCY_BUCKETS_S` and above the last
        one, by kind.
    sums_s : dict of str to float
        Total of the latencies by kind.
    """

    __slots__ = ("counts", "sums_s")

    def __init__(self):
        self.counts = {}
        self.sums_s = {}

    def observe(self, kind, seconds):
        """Count one latency."""
        counts = self.counts.get(kind)
        if counts is None:
            counts = self.counts[kind] = [0] * (len(LATENCY_BUCKETS_S) + 1)
            self.sums_s[kind] = 0.0
        counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.sums_s[kind] += seconds

    def collect(self):
        """Yield the metric family with cumulative buckets."""
        from prometheus_client.core import HistogramMetricFamily

        family = HistogramMetricFamily(
            "bluebellbeam_first_token_seconds",
            "Time from arrival to the first part of the answer.",
            labels=["kind"],
        )
        bounds = [*map(str, map(float, LATENCY_BUCKETS_S)), "+Inf"]
        for kind, counts in sorted(self.counts.items()):
            buckets = list(zip(bounds, accumulate(counts), strict=True))
            family.add_metric([kind], buckets, self.sums_s[kind])
        yield family


class Metrics:
    """Metrics of one daemon.

    Attributes
    ----------
    first_token_seconds : LatencyHistogram
        Time from the arrival of a request to the first byte of its response, by
        kind of request.
    listeners : ListenerCollector
    """

    __slots__ = ("first_token_seconds", "listeners", "_collector", "_registry")

    def __init__(self, driver):
        self.first_token_seconds = LatencyHistogram()
        self.listeners = ListenerCollector(driver.clock)
        self._collector = NodeCollector(driver)
        self._registry = None

    def observe_first_token(self, kind, seconds):
        """Record the time to the first byte of a response."""
        self.first_token_seconds.observe(kind, seconds)

    def render(self):
        """Return the metrics in Prometheus' text format."""
        from prometheus_client import (
            CollectorRegistry,
            ProcessCollector,
            generate_latest,
        )

        if self._registry is None:
            self._registry = CollectorRegistry()
            # Its process_open_fds and process_max_fds tell a lack of descriptors.
            ProcessCollector(registry=self._registry)
            self._registry.register(self._collector)
            self._registry.register(self.first_token_seconds)
            self._registry.register(self.listeners)
        return generate_latest(self._registry)


def make_metrics(driver):
    """Return the metrics of `driver`."""
    return Metrics(driver)
