"""Turns at which connections parse what they have received.

The cost of a response follows its chunks, fields and events rather than its bytes, so
one server could keep the event loop busy with bytes that mean little. Connections that
have received more than a few bytes therefore take turns: in each round of the event
loop they parse for a short time and pass on a limited number of bytes in all, and other
work goes on in between.
"""

import asyncio
import time
from collections import deque

__all__ = ["ReceiveTurns", "make_receive_turns"]

ROUND_S = 0.001
"""Time after which no further turn begins in a round of the event loop."""

TURNS_PER_ROUND = 16
"""Largest number of turns in a round. It bounds the bytes that are passed on, whose
further handling takes longer than parsing them."""


class ReceiveTurns:
    """Connections that wait for their turn.

    Attributes
    ----------
    waiting : collections.deque of callable
        Functions that parse some of the bytes of a connection and return whether it
        has more, the next one first.
    """

    __slots__ = ("waiting", "_is_scheduled")

    def __init__(self):
        self.waiting = deque()
        self._is_scheduled = False

    def add(self, parse_some):
        """Let a connection take turns until `parse_some` returns False."""
        self.waiting.append(parse_some)
        self._schedule()

    def _schedule(self):
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_round)

    def _run_round(self):
        self._is_scheduled = False
        try:
            self._take_turns()
        finally:
            if self.waiting:
                self._schedule()

    def _take_turns(self):
        end_s = time.perf_counter() + ROUND_S
        for _ in range(TURNS_PER_ROUND):
            if not self.waiting:
                return
            parse_some = self.waiting.popleft()
            if parse_some():
                self.waiting.append(parse_some)
            if time.perf_counter() >= end_s:
                return


def make_receive_turns():
    """Return turns that no connection waits for."""
    return ReceiveTurns()
