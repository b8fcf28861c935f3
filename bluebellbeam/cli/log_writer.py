"""A log stream that is bounded and never blocks the process."""

import os
from collections import deque
from itertools import islice

from bluebellbeam.utils.clock import monotonic_clock

__all__ = ["LogWriter", "make_log_writer"]

LINES_PER_S = 500
"""Long-run bound of the volume; a line is about 300 bytes."""

BURST_LINES = 4000
"""Lines that may come at once, as when every request of a VM fails."""

MAX_BUFFERED_LINES = 4000
"""Lines that wait for a slow reader of the log before more are dropped."""

FLUSH_MS = 50
"""Lines are written together this often, to save calls."""

LINES_PER_WRITE = 100


class LogWriter:
    """Writes lines to a file descriptor without waiting for its reader.

    Attributes
    ----------
    unreported_drops : int
        Lines not written since the last line that told so.
    total_dropped : int
        All lines not written so far.
    """

    __slots__ = (
        "_fd",
        "_clock",
        "_level",
        "_at_ms",
        "_waiting",
        "_drained_ms",
        "__weakref__",
        "unreported_drops",
        "total_dropped",
    )

    def __init__(self, fd, clock):
        self._fd = fd
        self._clock = clock
        self._level = float(BURST_LINES)
        self._at_ms = clock.now_ms()
        self._waiting = deque()
        self._drained_ms = self._at_ms
        self.unreported_drops = 0
        self.total_dropped = 0

    def write(self, text):
        """Take one line, with its line end."""
        if not self._take() or len(self._waiting) >= MAX_BUFFERED_LINES:
            self.unreported_drops += 1
            self.total_dropped += 1
            return
        if self.unreported_drops:
            note = f'{{"event": "logs: dropped lines", "count": {self.unreported_drops}}}\n'
            self._waiting.append(note.encode())
            self.unreported_drops = 0
        self._waiting.append(text.encode(errors="replace"))

    def flush(self):
        """Write what waits, unless that was done a moment ago."""
        now_ms = self._clock.now_ms()
        if now_ms - self._drained_ms >= FLUSH_MS:
            self.drain()

    def drain(self):
        """Write as much as the reader takes now."""
        self._drained_ms = self._clock.now_ms()
        while self._waiting:
            raw = b"".join(islice(self._waiting, LINES_PER_WRITE))
            try:
                count = os.write(self._fd, raw)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to tell it.
                self._waiting.clear()
                return
            self._forget(count)
            if count < len(raw):
                return

    def _forget(self, count):
        """Drop the first `count` bytes of what waits."""
        while count:
            raw = self._waiting[0]
            if count < len(raw):
                self._waiting[0] = raw[count:]
                return
            count -= len(raw)
            self._waiting.popleft()

    def _take(self):
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._at_ms) * LINES_PER_S / 1000.0
        self._level = min(float(BURST_LINES), self._level + earned)
        self._at_ms = now_ms
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


def make_log_writer(fd, clock=None):
    """Return a writer to `fd`, which is made non-blocking unless a terminal."""
    if not os.isatty(fd):
        os.set_blocking(fd, False)
    return LogWriter(fd, clock or monotonic_clock())
