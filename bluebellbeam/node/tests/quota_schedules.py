"""Seeded schedules of load and faults for :class:`QuotaRegions`.

``python -m bluebellbeam.node.tests.quota_schedules FIRST LAST`` runs the seeds from
FIRST to LAST and prints those that exceed the bound, and the largest use of it.
"""

import random
import sys
from collections import deque
from types import SimpleNamespace

from bluebellbeam.node.tests.quota_region import QuotaRegions

DURATION_MS = 22_000
WINDOW_MS = 8000
LOWERED_MS = 5000
"""Time after which a lowered limit applies to the windows that begin later."""

FAULTS = ("start", "isolate", "kill", "partition", "heal", "lower", "raise")


def workspace(rate, burst):
    """Return the fields of a workspace that the quota code reads."""
    return SimpleNamespace(
        rate_tokens_per_s=rate,
        burst_tokens=burst,
        plain_request_tokens=200,
        quota_unit="token",
    )


def run_schedule(seed):
    """Run one schedule; return the largest use of the bound by any window, about 1."""
    rng = random.Random(f"schedule {seed}")
    rate = 29_000 * (1_300_000 / 29_000) ** rng.random()
    burst = rate * rng.choice((0.25, 1, 2, 4))
    names = {"w": workspace(rate, burst)}
    sim = QuotaRegions(rng.randint(1, 6), names, seed)
    factor = rng.choice((0.8, 1.5, 7.0, 7.0))
    start_ms = sim.now_ms
    limits = [(start_ms, rate, burst)]
    sizes = rng.choice(((200, 45_000), (200, 2000), (8000, 12_000)))
    entries = list(sim.region)
    next_fault_ms = start_ms + rng.randint(1000, 5000)
    next_ms = start_ms
    while sim.now_ms < start_ms + DURATION_MS:
        if sim.now_ms >= next_fault_ms:
            next_fault_ms += rng.randint(300, 4000)
            limit = limits[-1][1:]
            changed = _inject(sim, rng, rng.choice(FAULTS), limit)
            if changed != limit:
                limits.append((sim.now_ms, *changed))
            if rng.random() < 0.5:
                entries = rng.sample(list(sim.region), min(3, len(sim.region)))
        while next_ms <= sim.now_ms:
            cost = rng.randint(*sizes)
            sim.send(rng.choice(entries), "w", cost)
            next_ms += rng.expovariate(1) * 1000 * cost / (rate * factor)
        sim.step()
    return largest_use(sim.admitted, limits)


def _inject(sim, rng, fault, limit):
    """Apply a fault or change; return the rate and burst that then apply."""
    name = rng.choice(list(sim.region))
    match fault:
        case "start" if sim.daemons[name] is None:
            sim.start(name)
        case "isolate":
            sim.group[name] = name
        case "kill":
            sim.kill(name)
        case "partition":
            sim.group = dict(sim.region)
        case "heal":
            sim.group = dict.fromkeys(sim.region, 0)
        case "lower" | "raise":
            factor = 0.4 if fault == "lower" else 2.0
            rate = min(1_300_000, max(29_000, limit[0] * factor))
            limit = rate, limit[1] * rate / limit[0]
            for state in sim.daemons.values():
                if state is not None:
                    delay_ms = rng.randint(0, 3000)
                    due = (sim.now_ms + delay_ms, state, {"w": workspace(*limit)})
                    sim.changes.append(due)
            sim.workspaces = {"w": workspace(*limit)}
    return limit


def largest_use(admitted, limits):
    """Return the largest part of the bound that a window of admitted tokens uses."""
    worst = total = 0
    window = deque()
    for at_ms, tokens in admitted:
        window.append((at_ms, tokens))
        total += tokens
        while window[0][0] <= at_ms - WINDOW_MS:
            total -= window.popleft()[1]
        bound = _bound(limits, window[0][0], at_ms)
        worst = max(worst, total / bound)
    return worst


def _bound(limits, first_ms, last_ms):
    """Return the bound of a window: that of the largest limit which may apply in it."""
    ends = [at_ms for at_ms, *_ in limits[1:]] + [last_ms + 1]
    sizes = [
        (rate * WINDOW_MS / 1000 + burst) * 1.25 + 110_000
        for (at_ms, rate, burst), end_ms in zip(limits, ends, strict=True)
        if at_ms <= last_ms and end_ms + LOWERED_MS > first_ms
    ]
    return max(sizes)


if __name__ == "__main__":
    uses = {s: run_schedule(s) for s in range(int(sys.argv[1]), int(sys.argv[2]) + 1)}
    for seed, use in uses.items():
        if use > 1.0:
            print(f"seed {seed}: {use:.3f} of the bound")
    print(f"{len(uses)} schedules, largest use {max(uses.values()):.3f}")
