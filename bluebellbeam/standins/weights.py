"""Stand-in of the weight store, from which engines load, and its faults.

Daemons do not read it: they bound how many engines load at a time.
"""

__all__ = ["WeightStore", "make_weight_store"]


class WeightStore:
    """Rate-limited store of model weights.

    Attributes
    ----------
    rate_mb_per_s : float
    busy_until_ms : float
        When the last transfer ends.
    slow_factor : float
        Fault: transfers take this many times as long.
    """

    __slots__ = ("rate_mb_per_s", "busy_until_ms", "slow_factor")

    def __init__(self, rate_mb_per_s):
        self.rate_mb_per_s = rate_mb_per_s
        self.busy_until_ms = 0.0
        self.slow_factor = 1.0

    def transfer_ms(self, size_mb, now_ms):
        """Return how long a transfer that begins now takes, queue included."""
        begin_ms = max(now_ms, self.busy_until_ms)
        own_ms = 1000.0 * size_mb / self.rate_mb_per_s * self.slow_factor
        self.busy_until_ms = begin_ms + own_ms
        return self.busy_until_ms - now_ms


def make_weight_store(rate_mb_per_s=14_000.0):
    """Return an idle weight store."""
    return WeightStore(rate_mb_per_s)
