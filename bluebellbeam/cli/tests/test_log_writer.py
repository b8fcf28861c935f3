import os
import unittest

from bluebellbeam.cli.log_writer import BURST_LINES, LINES_PER_S, make_log_writer
from bluebellbeam.utils.clock import manual_clock


class TestLogWriter(unittest.TestCase):
    def setUp(self):
        self.reader, fd = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, fd)
        self.clock = manual_clock()
        self.writer = make_log_writer(fd, self.clock)

    def read(self):
        os.set_blocking(self.reader, False)
        found = b""
        try:
            while raw := os.read(self.reader, 65536):
                found += raw
        except BlockingIOError:
            pass
        return found.decode().splitlines()

    def empty(self):
        """Let the reader take all that waits."""
        self.writer.drain()
        while self.read():
            self.writer.drain()

    def test_lines_come_whole_and_in_order(self):
        for i in range(250):
            self.writer.write(f"line {i}\n")
        self.writer.drain()
        self.assertEqual(self.read(), [f"line {i}" for i in range(250)])

    def test_reader_that_stands_still_holds_up_nothing_and_loses_no_half_line(self):
        lines = [f"{i:05d} " + "x" * 200 for i in range(2000)]
        for line in lines:
            self.writer.write(f"{line}\n")
            self.writer.drain()
        found = []
        while len(found) < len(lines):
            more = self.read()
            self.writer.drain()
            if not more:
                break
            if found and len(found[-1]) < 206:
                found[-1] += more.pop(0)
            found += more
        self.assertEqual(found, lines)

    def test_volume_is_bounded_and_what_is_left_out_is_told(self):
        for i in range(BURST_LINES + 500):
            self.writer.write(f"{i}\n")
        self.assertEqual(self.writer.total_dropped, 500)
        self.empty()
        self.clock.advance(1000)
        for i in range(LINES_PER_S + 5):
            self.writer.write(f"again {i}\n")
        self.assertEqual(self.writer.total_dropped, 505)

    def test_drop_is_told_by_a_line_of_its_own(self):
        for _ in range(BURST_LINES + 7):
            self.writer.write("x\n")
        self.empty()
        self.clock.advance(1000)
        self.writer.write("after\n")
        self.writer.drain()
        found = self.read()
        self.assertIn('"count": 7', found[0])
        self.assertEqual(found[1], "after")
