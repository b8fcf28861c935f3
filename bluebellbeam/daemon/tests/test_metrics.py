import unittest
from types import SimpleNamespace

from prometheus_client import CollectorRegistry, Histogram, generate_latest

from bluebellbeam.daemon.connection_limit import make_connection_limit
from bluebellbeam.daemon.metrics import (
    LATENCY_BUCKETS_S,
    LatencyHistogram,
    _feeds,
    make_metrics,
)
from bluebellbeam.node.tests.harness import Harness
from bluebellbeam.utils.clock import manual_clock

LATENCIES_S = (0.004, 0.01, 0.0101, 0.3, 0.3, 7, 121, 4000)


class TestLatencyHistogram(unittest.TestCase):
    def samples(self, collector):
        registry = CollectorRegistry()
        registry.register(collector)
        lines = generate_latest(registry).decode().splitlines()
        return {line for line in lines if "_created" not in line and line[0] != "#"}

    def test_samples_equal_those_of_the_library(self):
        found = LatencyHistogram()
        expected = Histogram(
            "bluebellbeam_first_token_seconds",
            "Time from arrival to the first part of the answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=None,
        )
        for kind in ("stream", "service"):
            for seconds in LATENCIES_S:
                found.observe(kind, seconds)
                expected.labels(kind).observe(seconds)
        self.assertEqual(self.samples(found), self.samples(expected))

    def test_histogram_without_latencies_has_no_samples(self):
        self.assertEqual(self.samples(LatencyHistogram()), set())


class TestFeedMetrics(unittest.TestCase):
    def test_age_counts_from_the_last_response_of_the_platform(self):
        harness = Harness()
        clock = manual_clock()
        clock.advance(harness.now_ms + 1500)
        driver = SimpleNamespace(clock=clock)
        found = {}
        harness.state.feed_response_ms = {"config": harness.now_ms}
        for family in _feeds(driver, harness.state):
            for sample in family.samples:
                found[sample.name, sample.labels["feed"]] = sample.value
        self.assertEqual(found["bluebellbeam_feed_read_age_ms", "config"], 1500)
        self.assertEqual(found["bluebellbeam_feed_version", "config"], 1)
        self.assertNotIn(("bluebellbeam_feed_read_age_ms", "backends/east"), found)


class TestProcessMetrics(unittest.TestCase):
    def test_open_and_permitted_descriptors_are_exported(self):
        driver = SimpleNamespace(
            node=Harness().node,
            clock=manual_clock(),
            connection_limit=make_connection_limit(manual_clock(), "vm-1"),
            peer_bytes_sent=0,
            peer_bytes_received=0,
            max_tick_delay_ms=0,
        )
        text = make_metrics(driver).render().decode()
        for name in ("process_open_fds", "process_max_fds"):
            self.assertIn(f"\n{name} ", text)


if __name__ == "__main__":
    unittest.main()
