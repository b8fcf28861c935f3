import random
import time
import unittest

from bluebellbeam.daemon.sse import MAX_EVENT_BYTES, make_event_splitter


class TestEndOfEventStream(unittest.TestCase):
    def test_only_a_stream_cut_after_an_event_is_not_inside_one(self):
        for end_of_line in (b"\n", b"\r\n"):
            events = [
                b"id: 1\ndata: a\n\n",
                "data: æøå\ndata: second line\n\n".encode(),
                b": comment\n\n",
            ]
            events = [event.replace(b"\n", end_of_line) for event in events]
            stream = b"".join(events)
            ends = {sum(map(len, events[:count])) for count in range(4)}
            for size in range(len(stream) + 1):
                splitter = make_event_splitter()
                found = splitter.feed(stream[:size])
                whole = b"".join(raw for _, raw in found)
                self.assertEqual(whole + splitter.rest, stream[:size])
                self.assertEqual(splitter.is_inside_event, size not in ends, size)

    def test_blank_lines_between_events_are_not_an_event(self):
        splitter = make_event_splitter()
        splitter.feed(b"data: a\n\n\n")
        self.assertFalse(splitter.is_inside_event)


class TestBlocksOfEvents(unittest.TestCase):
    """Guards against work that grows with the number of events."""

    def test_blocks_hold_the_same_events(self):
        rng = random.Random(64)
        parts = (b"\n", b"\r", b"\r\n", b":", b"id: 1", b"id: 22\n", b"id:", b"\n\n")
        for _ in range(400):
            stream = b"".join(rng.choice(parts) for _ in range(rng.randrange(60)))
            single, joined = make_event_splitter(), make_event_splitter()
            for start in range(0, len(stream), 9):
                events = single.feed(stream[start : start + 9])
                block = joined.feed_block(stream[start : start + 9])
                raw = b"".join(raw for _, raw in events)
                self.assertEqual(block.raw if block else b"", raw, stream)
                self.assertEqual(block.count if block else 0, len(events), stream)
            self.assertEqual(joined.rest, single.rest, stream)

    def test_block_names_the_last_id(self):
        for stream, last_id in (
            (b"id: 1\ndata: a\n\nid: 2\r\ndata: b\n\n", "2"),
            (b"id: 1\n\n: comment\n\ndata: id: 9\n\n", "1"),
            (b"id: 1\n\nid:\n\n", "1"),
            (b"data: a\n\n", ""),
        ):
            self.assertEqual(make_event_splitter().feed_block(stream).last_id, last_id)

    def test_small_events_cost_little_more_than_large_ones(self):
        times = {}
        for unit in (b"0\r\n\r\n", b"data: %s\n\n" % (b"x" * 4000)):
            raw = unit * (65_536 // len(unit))
            spent = []
            for _ in range(5):
                started_s = time.process_time()
                make_event_splitter().feed_block(raw)
                spent.append(time.process_time() - started_s)
            times[unit] = min(spent)
        self.assertLess(max(times.values()), 0.01, times)


class TestEventInSmallParts(unittest.TestCase):
    def test_event_without_end_costs_little_and_ends_at_the_limit(self):
        splitter = make_event_splitter()
        started_s = time.process_time()
        with self.assertRaises(ValueError):
            for _ in range(MAX_EVENT_BYTES // 16 + 1):
                splitter.feed(b"x" * 16)
        self.assertLess(time.process_time() - started_s, 1.0)

    def test_events_do_not_depend_on_the_parts(self):
        rng = random.Random(30)
        for _ in range(300):
            end = rng.choice((b"\n", b"\r\n"))
            lines = [rng.choice((b"id: 7", b"data: x", b"", b"")) for _ in range(30)]
            stream = end.join(lines)
            whole = make_event_splitter()
            expected = whole.feed(stream)
            splitter = make_event_splitter()
            found, position = [], 0
            while position < len(stream):
                size = rng.randrange(1, 6)
                found += splitter.feed(stream[position : position + size])
                position += size
            self.assertEqual((found, splitter.rest), (expected, whole.rest))


def reference_events(stream):
    """Return the events of a stream and its incomplete end, by plain search."""
    events, start = [], 0
    for end in range(len(stream) + 1):
        event = stream[start:end]
        if event.strip(b"\r\n") and event.endswith((b"\n\n", b"\r\n\r\n")):
            events.append(event)
            start = end
    return events, stream[start:]


class TestHostileStream(unittest.TestCase):
    """Guards against bytes that block the event loop."""

    def test_events_equal_those_of_a_plain_search(self):
        rng = random.Random(52)
        parts = (b"\n", b"\r", b"\r\n", b":", b"id: 1", b"data: x", b"\x00", b"\n\n")
        for _ in range(400):
            stream = b"".join(rng.choice(parts) for _ in range(rng.randrange(60)))
            splitter = make_event_splitter()
            found, position = [], 0
            while position < len(stream):
                size = rng.choice((1, 2, 7, 60))
                found += splitter.feed(stream[position : position + size])
                position += size
            events, rest = reference_events(stream)
            self.assertEqual([raw for _, raw in found], events, stream)
            self.assertEqual(splitter.rest, rest, stream)
            self.assertEqual(splitter.is_inside_event, bool(rest.strip(b"\r\n")))

    def test_time_grows_no_faster_than_the_bytes(self):
        for unit in (b"\n", b"\r", b"\r\n", b":\n\n", b"x", b"data: x\n\n"):
            with self.subTest(unit):
                small = self.measure(unit, 60_000)
                large = self.measure(unit, 240_000)
                self.assertLess(large, 4 * 2.2 * small + 0.005)

    def measure(self, unit, size):
        """Return the shortest of three times in s to split `size` bytes."""
        times = []
        for _ in range(3):
            splitter = make_event_splitter()
            raw = unit * (size // len(unit))
            started_s = time.process_time()
            splitter.feed(raw)
            times.append(time.process_time() - started_s)
        return min(times)

    def test_blank_lines_without_end_are_rejected(self):
        splitter = make_event_splitter()
        with self.assertRaises(ValueError):
            for _ in range(5):
                splitter.feed(b"\n" * 65_536)


if __name__ == "__main__":
    unittest.main()
