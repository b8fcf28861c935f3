"""Token-rate limits of workspaces, kept without a shared counter.

The daemons that share a workspace's work each enforce an equal part of its
limit; any other daemon grants a small part. With ``k`` daemons that share and
``n`` in the region, the sum stays within ``1 + (n - k) * OUTSIDE_SHARE / k`` of
the limit.
"""

__all__ = ["OUTSIDE_SHARE", "RateTable", "make_rate_table", "take_tokens"]

OUTSIDE_SHARE = 0.05
"""Share granted by a daemon outside the entry set, relative to one inside."""

BURST_S = 4.0
"""Seconds of the rate that may be used at once."""


class Bucket:
    """A token bucket.

    Attributes
    ----------
    level : float
        Tokens that may be used now; negative after a large request.
    updated_ms : int
    """

    __slots__ = ("level", "updated_ms")

    def __init__(self, level, updated_ms):
        self.level = level
        self.updated_ms = updated_ms


class RateTable:
    """Buckets by workspace; only limited workspaces with recent use have one."""

    __slots__ = ("rows",)

    def __init__(self):
        self.rows = {}


def make_rate_table():
    """Return an empty table."""
    return RateTable()


def local_rate(limit_tokens_per_s, spread, inside):
    """Return this daemon's share of a workspace's limit, in tokens a second."""
    share = limit_tokens_per_s / max(1, spread)
    return share if inside else share * OUTSIDE_SHARE


def take_tokens(table, workspace, rate_tokens_per_s, cost, now_ms):
    """Charge `cost` tokens to `workspace`.

    A request is let through while the level is positive and may overdraw it,
    so a request larger than the burst still runs.

    Returns
    -------
    int
        0 when let through, else the time in ms until the next may pass.
    """
    burst = rate_tokens_per_s * BURST_S
    bucket = table.rows.get(workspace)
    if bucket is None:
        bucket = table.rows[workspace] = Bucket(burst, now_ms)
    earned = rate_tokens_per_s * (now_ms - bucket.updated_ms) / 1000.0
    bucket.level = min(burst, bucket.level + earned)
    bucket.updated_ms = now_ms
    if bucket.level <= 0:
        return max(1, int(-bucket.level / rate_tokens_per_s * 1000.0) + 1)
    bucket.level -= cost
    return 0


def prune_buckets(table, now_ms, idle_ms=60_000):
    """Forget buckets that have been idle and are full again."""
    idle = [n for n, b in table.rows.items() if now_ms - b.updated_ms > idle_ms]
    for name in idle:
        if table.rows[name].level >= 0:
            del table.rows[name]
