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

    def drain_all(self):
        """Write and read until nothing is buffered."""
        self.writer.drain()
        while self.read():
            self.writer.drain()

    def test_lines_are_complete_and_in_order(self):
        for i in range(250):
            self.writer.write(f"line {i}\n")
        self.writer.drain()
        self.assertEqual(self.read(), [f"line {i}" for i in range(250)])

    def test_slow_reader_neither_blocks_nor_truncates_lines(self):
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

    def test_rate_is_limited_and_drops_are_counted(self):
        for i in range(BURST_LINES + 500):
            self.writer.write(f"{i}\n")
        self.assertEqual(self.writer.total_dropped, 500)
        self.drain_all()
        self.clock.advance(1000)
        for i in range(LINES_PER_S + 5):
            self.writer.write(f"again {i}\n")
        self.assertEqual(self.writer.total_dropped, 505)

    def test_drops_are_reported_in_a_separate_line(self):
        for _ in range(BURST_LINES + 7):
            self.writer.write("x\n")
        self.drain_all()
        self.clock.advance(1000)
        self.writer.write("after\n")
        self.writer.drain()
        found = self.read()
        self.assertIn('"count": 7', found[0])
        self.assertEqual(found[1], "after")
