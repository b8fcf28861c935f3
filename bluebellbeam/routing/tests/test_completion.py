import unittest

from bluebellbeam.node.request import Request
from bluebellbeam.node.tests.harness import server
from bluebellbeam.provider.records import LoadHeader
from bluebellbeam.routing.completion import (
    completion_ms,
    exceeds_gap,
    expected_interval_ms,
    may_complete,
    record_events,
    record_stream_end,
)
from bluebellbeam.routing.load_estimate import apply_load_header
from bluebellbeam.routing.replica import make_replica_table, update_replicas

NOW_MS = 20_000


def make_row(percent=100, slots=64):
    table = make_replica_table()
    update_replicas(table, [server("s1", service="llm", slots=slots)])
    row = table.rows["s1"]
    load = LoadHeader(0, 0, 0, duration_percent=percent)
    apply_load_header(table, row, load, NOW_MS)
    return row


def stream(left_ms=10_300, tokens=288):
    request = Request("r1", "", max_output_tokens=tokens)
    request.response_deadline_ms = NOW_MS + left_ms
    return request


class TestExpectedCompletion(unittest.TestCase):
    """Servers must not be given more streams than they can complete in time."""

    def test_stream_is_refused_where_events_are_too_far_apart(self):
        row = make_row()
        record_events(row, 1, 200, 200, NOW_MS)
        self.assertAlmostEqual(completion_ms(row, stream(), 100.0, NOW_MS), 6300.0)
        self.assertTrue(may_complete(row, stream(), 100.0, NOW_MS))
        row.inflight = 32
        record_events(row, 1, 400, 400, NOW_MS)
        self.assertFalse(may_complete(row, stream(), 100.0, NOW_MS))
        self.assertTrue(may_complete(row, stream(tokens=54), 100.0, NOW_MS))

    def test_stream_without_events_counts_with_the_time_waited(self):
        row = make_row()
        record_events(row, 0, 2_000, 2_000, NOW_MS)
        self.assertFalse(may_complete(row, stream(), 0.0, NOW_MS))

    def test_higher_occupancy_is_extrapolated_from_a_lower_one(self):
        row = make_row()
        record_events(row, 1, 100, 100, NOW_MS)
        self.assertAlmostEqual(expected_interval_ms(row, 24, NOW_MS), 400.0)

    def test_reported_duration_scales_the_interval_for_one_second(self):
        row = make_row(percent=100)
        record_events(row, 1, 100, 100, NOW_MS)
        row.event_pace.percent = 300
        self.assertAlmostEqual(expected_interval_ms(row, 1, NOW_MS), 300.0)
        self.assertAlmostEqual(expected_interval_ms(row, 1, NOW_MS + 1_001), 100.0)

    def test_server_is_used_again_without_recent_events(self):
        row = make_row()
        record_events(row, 1, 5_000, 5_000, NOW_MS)
        self.assertFalse(may_complete(row, stream(), 0.0, NOW_MS))
        self.assertTrue(may_complete(row, stream(20_000), 0.0, NOW_MS + 5_001))

    def test_server_without_a_fourth_figure_is_not_limited(self):
        row = make_row(percent=0)
        self.assertIsNone(row.event_pace)
        record_events(row, 1, 5_000, 5_000, NOW_MS)
        self.assertTrue(may_complete(row, stream(), 0.0, NOW_MS))

    def test_stream_that_has_begun_may_always_be_resumed(self):
        row = make_row()
        record_events(row, 1, 5_000, 5_000, NOW_MS)
        request = stream()
        request.response_started = True
        self.assertTrue(may_complete(row, request, 0.0, NOW_MS))

    def test_tokens_per_event_are_learned_from_complete_streams(self):
        row = make_row()
        for _ in range(40):
            record_stream_end(row, 10, 200)
        self.assertAlmostEqual(row.event_pace.tokens_per_event, 20.0, places=1)


class TestGapRule(unittest.TestCase):
    """Long prompts must not lengthen gaps that already exceed their objective."""

    def test_long_prompt_is_kept_from_a_server_with_long_gaps(self):
        row = make_row()
        record_events(row, 2, 900, 700, NOW_MS)
        self.assertTrue(exceeds_gap(row, 2_890, 600, NOW_MS))
        self.assertFalse(exceeds_gap(row, 2_890, 0, NOW_MS))
        self.assertFalse(exceeds_gap(row, 826, 600, NOW_MS))
        self.assertFalse(exceeds_gap(row, 2_890, 600, NOW_MS + 2_001))
