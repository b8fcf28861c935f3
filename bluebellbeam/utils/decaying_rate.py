"""Rate of events, weighted towards the last ones."""

import math

__all__ = ["DecayingRate", "make_decaying_rate", "read_rate", "record_event"]


class DecayingRate:
    """Events per second, averaged with exponentially decreasing weights.

    Attributes
    ----------
    constant_ms : float
        Time constant of the average.
    rate_per_s : float
        Rate at `at_ms`.
    at_ms : int
        Time of the last event.
    """

    __slots__ = ("constant_ms", "rate_per_s", "at_ms")

    def __init__(self, constant_ms):
        self.constant_ms = constant_ms
        self.rate_per_s = 0.0
        self.at_ms = 0


def make_decaying_rate(constant_ms):
    """Return a rate of 0 with a time constant in ms."""
    return DecayingRate(constant_ms)


def record_event(rate, now_ms, amount=1.0):
    """Count `amount` events at `now_ms`."""
    current = read_rate(rate, now_ms)
    rate.rate_per_s = current + 1000.0 * amount / rate.constant_ms
    rate.at_ms = max(rate.at_ms, now_ms)


def read_rate(rate, now_ms):
    """Return the events per second at `now_ms`."""
    age_ms = max(0, now_ms - rate.at_ms)
    return rate.rate_per_s * math.exp(-age_ms / rate.constant_ms)
