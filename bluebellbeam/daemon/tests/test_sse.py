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


if __name__ == "__main__":
    unittest.main()
