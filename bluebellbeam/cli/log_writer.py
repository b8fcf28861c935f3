"""Rate-limited log stream that never blocks the process."""

import os
from collections import deque
from itertools import islice

from bluebellbeam.utils.clock import monotonic_clock

__all__ = ["LogWriter", "make_log_writer"]

LINES_PER_S = 500
"""Sustained rate limit, about 150 kB/s at 300 bytes per line."""

BURST_LINES = 4000
"""Burst above the rate limit, as when every request of a VM fails at once."""

MAX_BUFFERED_LINES = 4000
"""Lines buffered for a slow reader; further lines are dropped."""

FLUSH_MS = 50
"""Minimum interval between two writes, which batches lines into few system calls."""

LINES_PER_WRITE = 100
"""Limit of the lines joined into one write."""


class LogWriter:
    """Writes lines to a non-blocking file descriptor, limited by a token bucket.

    Attributes
    ----------
    unreported_drops : int
        Lines dropped since the last ``logs: dropped lines`` line.
    total_dropped : int
        Lines dropped since the start.
    """

    __slots__ = (
        "_fd",
        "_clock",
        "_tokens",
        "_refilled_ms",
        "_buffer",
        "_last_drain_ms",
        "__weakref__",
        "unreported_drops",
        "total_dropped",
    )

    def __init__(self, fd, clock):
        self._fd = fd
        self._clock = clock
        self._tokens = float(BURST_LINES)
        self._refilled_ms = clock.now_ms()
        self._buffer = deque()
        self._last_drain_ms = self._refilled_ms
        self.unreported_drops = 0
        self.total_dropped = 0

    def write(self, text):
        """Buffer one line, which ends with a line break, or drop it.

        A line is dropped above the rate limit or while the buffer is full.
        """
        if not self._take_token() or len(self._buffer) >= MAX_BUFFERED_LINES:
            self.unreported_drops += 1
            self.total_dropped += 1
            return
        if self.unreported_drops:
            report = (
                '{"event": "logs: dropped lines", '
                f'"count": {self.unreported_drops}}}\n'
            )
            self._buffer.append(report.encode())
            self.unreported_drops = 0
        self._buffer.append(text.encode(errors="replace"))

    def flush(self):
        """Write the buffered lines, unless the last write was within `FLUSH_MS`."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_drain_ms >= FLUSH_MS:
            self.drain()

    def drain(self):
        """Write as many buffered lines as possible without blocking."""
        self._last_drain_ms = self._clock.now_ms()
        while self._buffer:
            raw = b"".join(islice(self._buffer, LINES_PER_WRITE))
            try:
                count = os.write(self._fd, raw)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the log, so the error cannot be logged either.
                self._buffer.clear()
                return
            self._discard(count)
            if count < len(raw):
                return

    def _discard(self, count):
        """Remove the first `count` bytes of the buffer, which have been written."""
        while count:
            raw = self._buffer[0]
            if count < len(raw):
                self._buffer[0] = raw[count:]
                return
            count -= len(raw)
            self._buffer.popleft()

    def _take_token(self):
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._refilled_ms) * LINES_PER_S / 1000.0
        self._tokens = min(float(BURST_LINES), self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def make_log_writer(fd, clock=None):
    """Return a writer to `fd`, which is made non-blocking unless it is a terminal."""
    if not os.isatty(fd):
        os.set_blocking(fd, False)
    return LogWriter(fd, clock or monotonic_clock())
