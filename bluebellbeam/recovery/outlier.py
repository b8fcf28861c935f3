"""Ejection of failing backend servers, and estimates of slow ones."""

from bluebellbeam.routing.replica import EWMA_WEIGHT, reindex

__all__ = ["record_failure", "record_success", "refresh_slowness", "update_pace"]

MAX_EJECTION_FACTOR = 8
"""Duration of the longest ejection, relative to the first."""

SLOWER_SAMPLE_WEIGHT = 0.5
"""Weight of a latency sample above the current estimate; that of any other sample
is `EWMA_WEIGHT`."""

MAX_SLOWNESS = 20.0
"""Upper bound of the pace and of the slowness."""

MIN_SLOWNESS_CHANGE = 0.02
"""Change of the slowness from which on a server is sorted anew in its pools."""

MAX_ESTIMATE_AGE_MS = 3_000
"""Age of the last observation from which on an estimate is aged."""

AGED_SHARE = 0.7
"""Share of its difference from the median that an aged estimate keeps at each refresh,
so it is within a tenth after 3.5 s."""

MAX_DURATION_AGE_MS = 30_000
"""Age at which a duration is forgotten if no server of the pool has a recent one."""


def record_success(replica):
    """Record a successful response of `replica`, which resets its failure counts."""
    replica.failures = 0
    replica.ejections = 0


def record_failure(table, replica, policy, now_ms, rng):
    """Record a failure of `replica`; eject it after `policy.eject_failures` in a row.

    At least the share `policy.eject_floor` of every pool stays in use regardless of
    how many servers fail, so that a fault of this daemon cannot eject them all. The
    duration doubles with each ejection, up to `MAX_EJECTION_FACTOR` times
    `policy.eject_ms`, and is multiplied by a random factor from 0.5 to 1.5. A server in
    no pool has stopped responding: it is not used, and its failures do not count.

    Returns
    -------
    bool
        Whether the server has been ejected.
    """
    if not replica.pools:
        return False
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


def update_pace(table, replica, observed_ms, base_ms, now_ms):
    """Update the pace of `replica` with an observed time to the first token.

    A constant of 20 ms is added to both times, so that short ones do not give extreme
    ratios.

    Parameters
    ----------
    table : ReplicaTable
    replica : Replica
    observed_ms : float
    base_ms : float
        Time expected of a server of pace 1.
    now_ms : int
    """
    ratio = (observed_ms + 20.0) / (base_ms + 20.0)
    ratio = min(MAX_SLOWNESS, max(0.2, ratio))
    step = SLOWER_SAMPLE_WEIGHT if ratio > replica.pace else EWMA_WEIGHT
    replica.pace = max(1.0, replica.pace + (ratio - replica.pace) * step)
    delay_ms = observed_ms - base_ms
    replica.delay_ms = max(0.0, replica.delay_ms + (delay_ms - replica.delay_ms) * step)
    replica.paced_ms = now_ms


def refresh_slowness(table, now_ms):
    """Compare the servers of each pool with each other, and age old estimates.

    An estimate without an observation for `MAX_ESTIMATE_AGE_MS` approaches the median
    of the servers of its pool that have a recent one. Without any of these, a pace
    approaches 1 and a duration is forgotten. A server that was never observed is
    treated in the same way. So no server keeps a bad estimate that none of its
    responses can correct, since it is sent nothing.

    Parameters
    ----------
    table : ReplicaTable
    now_ms : int
    """
    for name, pool in table.pools.items():
        if "@" in name:
            continue
        rows = list(pool)
        paces = sorted(r.pace for r in rows if _is_fresh(r.paced_ms, now_ms))
        times = sorted(
            r.service_ms
            for r in rows
            if r.service_ms and _is_fresh(r.served_ms, now_ms)
        )
        for row in rows:
            if not _is_fresh(row.paced_ms, now_ms):
                target = _median(paces) or 1.0
                row.pace = target + (row.pace - target) * AGED_SHARE
                row.delay_ms *= AGED_SHARE
            if not (row.service_ms and _is_fresh(row.served_ms, now_ms)):
                if times:
                    target = _median(times)
                    known_ms = row.service_ms or target
                    row.service_ms = target + (known_ms - target) * AGED_SHARE
                elif now_ms - row.served_ms > MAX_DURATION_AGE_MS:
                    row.service_ms = 0.0
            _set_slowness(table, row, paces, times, now_ms)


def _set_slowness(table, row, paces, times, now_ms):
    slowness = 1.0
    if row.paced_ms is not None:
        fresh = _is_fresh(row.paced_ms, now_ms)
        others = _median(paces, row.pace if fresh else None)
        slowness = row.pace / others if others else 1.0
    elif row.service_ms:
        fresh = _is_fresh(row.served_ms, now_ms)
        others = _median(times, row.service_ms if fresh else None)
        slowness = (row.service_ms + 20.0) / (others + 20.0) if others else 1.0
    slowness = min(MAX_SLOWNESS, max(1.0, slowness))
    if abs(slowness - row.slowness) > MIN_SLOWNESS_CHANGE:
        row.slowness = slowness
        reindex(table, row)


def _is_fresh(at_ms, now_ms):
    return at_ms is not None and now_ms - at_ms <= MAX_ESTIMATE_AGE_MS


def _median(values, without=None):
    """Return the median of sorted `values`, less one equal to `without`; 0 if none."""
    count = len(values) - (without is not None)
    if count <= 0:
        return 0.0
    middle = (count - 1) // 2
    if without is not None and values[middle] >= without:
        middle += 1
    return values[middle]


def _may_eject(table, replica, policy, now_ms):
    for pool in replica.pools:
        replicas = table.pools[pool]
        active = sum(1 for other in replicas if other.ejected_until_ms <= now_ms)
        if active - 1 < len(replicas) * policy.eject_floor:
            return False
    return True
