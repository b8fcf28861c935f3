"""Clocks that count whole milliseconds."""

import time

__all__ = ["Clock", "manual_clock", "monotonic_clock", "wall_clock"]

_NS_PER_MS = 1_000_000


class Clock:
    """A source of time in milliseconds.

    Parameters
    ----------
    read_ms : callable or None
        Function that returns the time in ms. If None, the clock is manual and
        only moves when :meth:`advance` is called.
    """

    __slots__ = ("_read_ms", "_manual_ms")

    def __init__(self, read_ms=None):
        self._read_ms = read_ms
        self._manual_ms = 0

    def now_ms(self):
        """Return the current time in milliseconds."""
        if self._read_ms is not None:
            return self._read_ms()
        return self._manual_ms

    def advance(self, delta_ms):
        """Move a manual clock forward by `delta_ms`."""
        self._manual_ms += delta_ms


def monotonic_clock():
    """Return a clock that never goes backwards, with an arbitrary origin.

    Where the system offers such a clock, it includes the time during which the
    VM was suspended, since leases and cached state age in that time too.
    """
    source = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return Clock(lambda: time.clock_gettime_ns(source) // _NS_PER_MS)


def wall_clock():
    """Return a clock of ms since 1970, for values that other processes read."""
    return Clock(lambda: time.time_ns() // _NS_PER_MS)


def manual_clock():
    """Return a manual clock that starts at 0 ms."""
    return Clock()
