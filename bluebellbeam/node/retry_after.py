"""When a refused caller is told to come back.

While a pool keeps refusing, how long it goes on is not known; what has lasted
for a time is expected to last about as long again. Callers are sent away for
that long, spread so that they do not return together, and are not refused a
second time in the same burst.
"""

__all__ = ["RefusalTable", "make_refusal_table", "record_refusal"]

MIN_RETRY_AFTER_MS = 700
"""Shortest time away: about that of one answer on a full server."""

MAX_RETRY_AFTER_MS = 5000
"""Longest time away; callers wait at most a third of the time they have left,
and few have more than 15 s."""

REFUSAL_GAP_MS = 1500
"""Time without a refusal after which a pool counts as calm again."""

JITTER_SHARE = 0.5
"""Share by which the time varies, so that returns are spread."""


class RefusalTable:
    """Since when and until when each pool has refused.

    Attributes
    ----------
    since_ms, last_ms : dict of str to int
        By pool.
    """

    __slots__ = ("since_ms", "last_ms")

    def __init__(self):
        self.since_ms = {}
        self.last_ms = {}


def make_refusal_table():
    """Return a table in which every pool is calm."""
    return RefusalTable()


def record_refusal(table, pool, wait_ms, now_ms, rng):
    """Note a refusal for want of room; return when to come back, in ms.

    Parameters
    ----------
    table : RefusalTable
    pool : str
    wait_ms : float
        Time by which the expected wait exceeds what the caller accepts.
    now_ms : int
    rng : random.Random
    """
    last_ms = table.last_ms.get(pool)
    if last_ms is None or now_ms - last_ms > REFUSAL_GAP_MS:
        table.since_ms[pool] = now_ms
    table.last_ms[pool] = now_ms
    lasted_ms = now_ms - table.since_ms[pool]
    away_ms = max(MIN_RETRY_AFTER_MS, wait_ms, lasted_ms)
    spread = 1.0 + JITTER_SHARE * (rng.random() - 0.5)
    return int(min(MAX_RETRY_AFTER_MS, away_ms * spread))
