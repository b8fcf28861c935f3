"""Routing policies: how the target of a request is chosen.

Daemons use :class:`EstimatePolicy`. The others are baselines for comparison in
the benchmarks.
"""

from msgspec import Struct

__all__ = [
    "EstimatePolicy",
    "LeastRequestsPolicy",
    "LocalOnlyPolicy",
    "RoundRobinPolicy",
    "choose_baseline_target",
    "is_baseline",
]


class EstimatePolicy(Struct, frozen=True):
    """Minimise the score of expected time, cost and use of other regions.

    Requests are queued, and capacity is borrowed with leases.
    """


class LocalOnlyPolicy(Struct, frozen=True):
    """Like :class:`EstimatePolicy`, but never borrow capacity."""


class RoundRobinPolicy(Struct, frozen=True):
    """Use the permitted targets in turn; requests queue at the engines."""


class LeastRequestsPolicy(Struct, frozen=True):
    """Use the permitted target with the fewest requests of this daemon in flight."""


def is_baseline(policy):
    """Return whether `policy` sends requests immediately, without queue or lease."""
    match policy:
        case RoundRobinPolicy() | LeastRequestsPolicy():
            return True
        case _:
            return False


def choose_baseline_target(policy, targets, turn):
    """Return the name of the target that a baseline policy chooses.

    Parameters
    ----------
    policy : RoundRobinPolicy or LeastRequestsPolicy
    targets : list of (str, int)
        Name and number of requests in flight of each target, sorted by name.
    turn : int
        Number of choices made so far.
    """
    match policy:
        case RoundRobinPolicy():
            return targets[turn % len(targets)][0]
        case _:
            offset = turn % len(targets)
            rotated = targets[offset:] + targets[:offset]
            return min(rotated, key=lambda item: item[1])[0]
