"""Ejection of failing backend servers, and estimates of slow ones."""

from bluebellbeam.routing.replica import EWMA_WEIGHT, reindex

__all__ = ["record_failure", "record_success", "update_slowness"]

MAX_EJECTION_FACTOR = 8
"""Duration of the longest ejection, relative to the first."""

SLOWER_SAMPLE_WEIGHT = 0.5
"""Weight of a latency sample above the current estimate; that of any other sample
is `EWMA_WEIGHT`."""

MAX_SLOWNESS = 20.0
"""Upper bound of the slowness estimate."""


def record_success(replica):
    """Record a successful response of `replica`, which resets its failure counts."""
    replica.failures = 0
    replica.ejections = 0


def record_failure(table, replica, policy, now_ms, rng):
    """Record a failure of `replica`; eject it after `policy.eject_failures` in a row.

    At least the share `policy.eject_floor` of every pool stays in use regardless of
    how many servers fail, so that a fault of this daemon cannot eject them all. The
    duration doubles with each ejection, up to `MAX_EJECTION_FACTOR` times
    `policy.eject_ms`, and is multiplied by a random factor from 0.5 to 1.5.

    Returns
    -------
    bool
        Whether the server has been ejected.
    """
    replica.failures += 1
    if replica.failures < policy.eject_failures:
        return False
    if not _may_eject(table, replica, policy, now_ms):
        return False
    factor = min(MAX_EJECTION_FACTOR, 2**replica.ejections)
    replica.ejections += 1
    replica.failures = 0
    jitter = 0.5 + rng.random()
    replica.ejected_until_ms = now_ms + int(policy.eject_ms * factor * jitter)
    return True


def update_slowness(table, replica, observed_ms, expected_ms):
    """Update the slowness of `replica` with the ratio of observed to expected latency.

    `expected_ms` already includes the current slowness, which is divided out. A
    constant of 20 ms is added to both latencies, so that short ones do not give
    extreme ratios.
    """
    ratio = (observed_ms + 20.0) / (expected_ms / replica.slowness + 20.0)
    ratio = min(MAX_SLOWNESS, max(0.2, ratio))
    step = SLOWER_SAMPLE_WEIGHT if ratio > replica.slowness else EWMA_WEIGHT
    replica.slowness += (ratio - replica.slowness) * step
    replica.slowness = max(1.0, replica.slowness)
    reindex(table, replica)


def _may_eject(table, replica, policy, now_ms):
    for pool in replica.pools:
        replicas = table.pools[pool]
        active = sum(1 for other in replicas if other.ejected_until_ms <= now_ms)
        if active - 1 < len(replicas) * policy.eject_floor:
            return False
    return True
