"""Retry-After times for requests refused because a pool is overloaded.

How long an overload will last is not known; it is expected to last about as long
again as it already has. The Retry-After time is that long, so that a caller is
not refused twice in the same burst, with jitter, so that callers do not return
at the same time.
"""

__all__ = [
    "SHUTDOWN_RETRY_AFTER_MS",
    "RefusalTable",
    "make_refusal_table",
    "record_refusal",
    "start_retry_after_ms",
    "usable_retry_after_ms",
]

MIN_RETRY_AFTER_MS = 700
"""Shortest Retry-After time: about the duration of one response on a full server."""

MAX_RETRY_AFTER_MS = 5000
"""Longest Retry-After time. Callers wait at most a third of the time they have left,
and few have more than 15 s."""

REFUSAL_GAP_MS = 1500
"""Time without a refusal after which the overload of a pool counts as over."""

MIN_START_RETRY_AFTER_MS = 300
"""Shortest Retry-After time of a daemon that starts: most are ready by then."""

MAX_START_RETRY_AFTER_MS = 2000
"""Longest Retry-After time of a daemon that starts."""

SHUTDOWN_RETRY_AFTER_MS = 100
"""Delay for a caller that a leaving daemon rejects; short, since another daemon can
serve the request at once."""

START_MS = 5000
"""Time after its start by which a daemon knows the members and servers that it can
reach; until then, that it knows none does not last."""

MAX_WAIT_FRACTION = 3.0
"""Callers wait at most the time they have left divided by this."""

JITTER_SHARE = 0.5
"""Width of the jitter, relative to the Retry-After time and centred on it."""


class RefusalTable:
    """Times of the refusals of each pool.

    Attributes
    ----------
    overload_since_ms : dict of str to int
        Start of the current overload, by pool.
    last_refusal_ms : dict of str to int
        Latest refusal, by pool.
    """

    __slots__ = ("overload_since_ms", "last_refusal_ms")

    def __init__(self):
        self.overload_since_ms = {}
        self.last_refusal_ms = {}


def make_refusal_table():
    """Return a table without any refusal."""
    return RefusalTable()


def record_refusal(table, pool, wait_ms, now_ms, rng):
    """Record a refusal for lack of capacity; return the Retry-After time in ms.

    Parameters
    ----------
    table : RefusalTable
    pool : str
    wait_ms : float
        Time in ms by which the expected wait exceeds the caller's limit.
    now_ms : int
    rng : random.Random
    """
    last_ms = table.last_refusal_ms.get(pool)
    if last_ms is None or now_ms - last_ms > REFUSAL_GAP_MS:
        table.overload_since_ms[pool] = now_ms
    table.last_refusal_ms[pool] = now_ms
    lasted_ms = now_ms - table.overload_since_ms[pool]
    delay_ms = max(MIN_RETRY_AFTER_MS, wait_ms, lasted_ms)
    return int(min(MAX_RETRY_AFTER_MS, _jittered(delay_ms, rng)))


def usable_retry_after_ms(table, pool, wait_ms, left_ms, is_growing, now_ms, rng):
    """Record a refusal; return a Retry-After time in ms that its caller can use.

    Parameters
    ----------
    table : RefusalTable
    pool : str
    wait_ms : float
        Time in ms by which the expected wait exceeds the caller's limit.
    left_ms : float
        Time in ms to the deadline of the caller, which waits a third of it at most.
    is_growing : bool
        Whether the wait grows: requests arrive faster than they are served.
    now_ms : int
    rng : random.Random

    Returns
    -------
    int
        At most a third of `left_ms` if the pool can be expected to serve the request
        then; otherwise the time after which it can.
    """
    delay_ms = record_refusal(table, pool, wait_ms, now_ms, rng)
    lasted_ms = now_ms - table.overload_since_ms[pool]
    expected_ms = max(wait_ms, lasted_ms) if is_growing else wait_ms
    usable_ms = left_ms / MAX_WAIT_FRACTION
    if expected_ms > usable_ms:
        return max(delay_ms, int(min(MAX_RETRY_AFTER_MS, expected_ms)))
    delay_ms = _jittered(max(MIN_RETRY_AFTER_MS, expected_ms), rng)
    return int(min(usable_ms, max(expected_ms, delay_ms)))


def start_retry_after_ms(age_ms, rng):
    """Return the Retry-After time in ms of a daemon that cannot serve requests yet.

    Its start is expected to last as long again as it already has.

    Parameters
    ----------
    age_ms : int
        Time since its start.
    rng : random.Random
    """
    delay_ms = min(MAX_START_RETRY_AFTER_MS, max(MIN_START_RETRY_AFTER_MS, age_ms))
    return int(_jittered(delay_ms, rng))


def _jittered(delay_ms, rng):
    return delay_ms * (1.0 + JITTER_SHARE * (rng.random() - 0.5))
