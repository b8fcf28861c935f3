"""Ejection of backend servers that fail or have become slow."""

from bluebellbeam.routing.replica import EWMA_WEIGHT, reindex

__all__ = ["note_failure", "note_latency", "note_success"]

MAX_EJECTION_FACTOR = 8
"""Longest ejection, relative to the first."""

SLOWER_SAMPLE_WEIGHT = 0.5
"""Weight of a sample that shows a server slower than believed."""

MAX_SLOWNESS = 20.0
"""Bound of the slowness estimate."""


def note_success(row):
    """Record an answer of `row`: its failures no longer count."""
    row.failures = 0
    row.ejections = 0


def note_failure(table, row, policy, now_ms, rng):
    """Record a failure of `row` and eject it after several in sequence.

    At least a share `policy.eject_floor` of every pool stays in use, however
    many servers fail, so that a fault of our own cannot eject them all.

    Returns
    -------
    bool
        Whether the server was ejected.
    """
    row.failures += 1
    if row.failures < policy.eject_failures:
        return False
    if not _may_eject(table, row, policy, now_ms):
        return False
    factor = min(MAX_EJECTION_FACTOR, 2**row.ejections)
    row.ejections += 1
    row.failures = 0
    jitter = 0.5 + rng.random()
    row.ejected_until_ms = now_ms + int(policy.eject_ms * factor * jitter)
    return True


def note_latency(table, row, observed_ms, expected_ms):
    """Compare an observed time with the one expected and keep the ratio."""
    ratio = (observed_ms + 20.0) / (expected_ms / row.slowness + 20.0)
    ratio = min(MAX_SLOWNESS, max(0.2, ratio))
    step = SLOWER_SAMPLE_WEIGHT if ratio > row.slowness else EWMA_WEIGHT
    row.slowness += (ratio - row.slowness) * step
    row.slowness = max(1.0, row.slowness)
    reindex(table, row)


def _may_eject(table, row, policy, now_ms):
    for pool in row.pools:
        rows = table.pools[pool]
        active = sum(1 for other in rows if other.ejected_until_ms <= now_ms)
        if active - 1 < len(rows) * policy.eject_floor:
            return False
    return True
