import unittest

from bluebellbeam.daemon.sse import make_event_splitter


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


if __name__ == "__main__":
    unittest.main()
