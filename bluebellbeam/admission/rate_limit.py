"""Token-rate limits of workspaces, enforced without a shared counter.

Each of the ``k`` active daemons of a workspace enforces ``1 / k`` of its limit; any
other daemon of the region grants `INACTIVE_RATE_SHARE` of that. With ``n`` daemons
in the region, the total is at most ``1 + (n - k) * INACTIVE_RATE_SHARE / k`` times
the limit.
"""

__all__ = ["INACTIVE_RATE_SHARE", "RateTable", "make_rate_table", "take_tokens"]

INACTIVE_RATE_SHARE = 0.05
"""Rate granted by a daemon that is not active for a workspace, relative to an
active one."""

BURST_S = 4.0
"""Capacity of a token bucket, in seconds of its rate."""


class Bucket:
    """A token bucket.

    Attributes
    ----------
    level : float
        Tokens available; negative after a request that cost more than the level.
    updated_ms : int
        Time of the last refill.
    """

    __slots__ = ("level", "updated_ms")

    def __init__(self, level, updated_ms):
        self.level = level
        self.updated_ms = updated_ms


class RateTable:
    """Token buckets by workspace.

    Only workspaces with a rate limit and recent requests have one.

    Attributes
    ----------
    rows : dict of str to Bucket
        Buckets by workspace.
    """

    __slots__ = ("rows",)

    def __init__(self):
        self.rows = {}


def make_rate_table():
    """Return an empty table."""
    return RateTable()


def local_rate(limit_tokens_per_s, active_count, is_active):
    """Return this daemon's part of a workspace's limit, in tokens per second.

    Parameters
    ----------
    limit_tokens_per_s : float
    active_count : int
        Number of active daemons of the workspace.
    is_active : bool
        Whether this daemon is one of them.
    """
    share = limit_tokens_per_s / max(1, active_count)
    return share if is_active else share * INACTIVE_RATE_SHARE


def take_tokens(table, workspace, rate_tokens_per_s, cost, now_ms):
    """Charge `cost` tokens to the bucket of `workspace`.

    A request is admitted while the level is positive and may make it negative, so
    a request larger than the burst is not refused forever.

    Returns
    -------
    int
        0 when admitted, else the time in ms until a request can be admitted.
    """
    burst = rate_tokens_per_s * BURST_S
    bucket = table.rows.get(workspace)
    if bucket is None:
        bucket = table.rows[workspace] = Bucket(burst, now_ms)
    refill = rate_tokens_per_s * (now_ms - bucket.updated_ms) / 1000.0
    bucket.level = min(burst, bucket.level + refill)
    bucket.updated_ms = now_ms
    if bucket.level <= 0:
        return max(1, int(-bucket.level / rate_tokens_per_s * 1000.0) + 1)
    bucket.level -= cost
    return 0


def prune_buckets(table, now_ms, idle_ms=60_000):
    """Remove buckets without a request for `idle_ms` whose level is not negative."""
    idle = [n for n, b in table.rows.items() if now_ms - b.updated_ms > idle_ms]
    for name in idle:
        if table.rows[name].level >= 0:
            del table.rows[name]
