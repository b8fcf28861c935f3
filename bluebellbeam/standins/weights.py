"""Stand-in of the weight store, from which engines load models.

Daemons do not access it; they only limit how many engines load at once.
"""

__all__ = ["WeightStore", "make_weight_store"]


class WeightStore:
    """Rate-limited store of model weights.

    Attributes
    ----------
    rate_mb_per_s : float
        Transfer rate; transfers run one after the other at this rate.
    busy_until_ms : float
        Time in ms at which the last queued transfer ends.
    slow_factor : float
        Fault: factor by which transfers take longer.
    """

    __slots__ = ("rate_mb_per_s", "busy_until_ms", "slow_factor")

    def __init__(self, rate_mb_per_s):
        self.rate_mb_per_s = rate_mb_per_s
        self.busy_until_ms = 0.0
        self.slow_factor = 1.0

    def transfer_ms(self, size_mb, now_ms):
        """Queue a transfer and return the time in ms until it ends."""
        start_ms = max(now_ms, self.busy_until_ms)
        transfer_ms = 1000.0 * size_mb / self.rate_mb_per_s * self.slow_factor
        self.busy_until_ms = start_ms + transfer_ms
        return self.busy_until_ms - now_ms


def make_weight_store(rate_mb_per_s=14_000.0):
    """Return a weight store without transfers."""
    return WeightStore(rate_mb_per_s)
