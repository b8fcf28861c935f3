"""Policies that choose where a request runs.

The product uses :class:`EstimatePolicy`. The others are baselines that the
benchmarks run beside it.
"""

from msgspec import Struct

__all__ = [
    "EstimatePolicy",
    "LeastRequestsPolicy",
    "LocalOnlyPolicy",
    "RoundRobinPolicy",
    "is_baseline",
    "choose_baseline_target",
]


class EstimatePolicy(Struct, frozen=True):
    """Expected time, cost and share sent away, with queueing and leases."""


class LocalOnlyPolicy(Struct, frozen=True):
    """As :class:`EstimatePolicy`, without ever borrowing."""


class RoundRobinPolicy(Struct, frozen=True):
    """Every permitted target in turn; requests queue at the engines."""


class LeastRequestsPolicy(Struct, frozen=True):
    """The permitted target with the fewest requests of this daemon."""


def is_baseline(policy):
    """Return whether `policy` sends at once, without queue or lease."""
    match policy:
        case RoundRobinPolicy() | LeastRequestsPolicy():
            return True
        case _:
            return False


def choose_baseline_target(policy, targets, turn):
    """Return the target that a baseline uses.

    Parameters
    ----------
    policy : RoundRobinPolicy or LeastRequestsPolicy
    targets : list of (str, int)
        Name and own requests in flight of each target, sorted by name.
    turn : int
        Count of choices made so far.
    """
    match policy:
        case RoundRobinPolicy():
            return targets[turn % len(targets)][0]
        case _:
            offset = turn % len(targets)
            rotated = targets[offset:] + targets[:offset]
            return min(rotated, key=lambda item: item[1])[0]
