"""Run seeded fault schedules and print which promises held.

``python -m benchmarks.faults --count 10000`` runs random schedules;
``python -m benchmarks.faults --table`` runs every named fault and every pair
of them and prints a table of promise by fault.
"""

import itertools
import os
import time
from concurrent.futures import ProcessPoolExecutor

import click

from bluebellbeam.examples import EXAMPLES
from bluebellbeam.scenario.faults import FAULTS, run_faults, run_schedule
from bluebellbeam.scenario.invariants import INVARIANTS

__all__ = ["fault_table", "main"]

NAMED_FAULTS = (
    "capacity loss",
    "partition",
    "configuration down or stale",
    "pause",
    "return with cold caches",
)
"""The faults that the brief names."""


def _run_seeded_schedule(seed):
    return seed, run_schedule(seed)


def _run_fault_case(case):
    name, kinds, seed = case
    return kinds, run_faults(name, kinds, seed)


def fault_cases(seeds, kinds=NAMED_FAULTS):
    """Return the cases of every fault and every pair, for both deployments."""
    groups = [(kind,) for kind in kinds]
    groups += list(itertools.combinations(kinds, 2))
    return [
        (name, group, seed)
        for name in EXAMPLES
        for group in groups
        for seed in range(seeds)
    ]


def fault_table(results):
    """Return lines that show each promise by fault.

    Parameters
    ----------
    results : list of (tuple of str, dict)
        Kinds of fault, and the broken promises of one session.
    """
    broken = {}
    counts = {}
    for kinds, found in results:
        counts[kinds] = counts.get(kinds, 0) + 1
        for promise in found:
            broken[(kinds, promise)] = broken.get((kinds, promise), 0) + 1
    lines = [f"{'faults':<60} sessions  promises held"]
    for kinds in counts:
        failed = [promise for promise in INVARIANTS if (kinds, promise) in broken]
        held = f"{len(INVARIANTS) - len(failed)} of {len(INVARIANTS)}"
        detail = f"  NOT HELD: {', '.join(failed)}" if failed else ""
        lines.append(f"{' + '.join(kinds):<60} {counts[kinds]:>8}  {held}{detail}")
    return lines


@click.command()
@click.option("--count", default=10_000, show_default=True, help="Random schedules.")
@click.option("--first", default=0, show_default=True, help="First seed.")
@click.option("--jobs", default=max(1, (os.cpu_count() or 2) - 2), show_default=True)
@click.option("--table", is_flag=True, help="Named faults and pairs instead.")
@click.option("--seeds", default=5, show_default=True, help="Seeds of each case.")
def main(count, first, jobs, table, seeds):
    """Check every promise under faults."""
    start_s = time.monotonic()
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        if table:
            results = list(pool.map(_run_fault_case, fault_cases(seeds), chunksize=4))
            for line in fault_table(results):
                click.echo(line)
            failed = sum(1 for _, found in results if found)
        else:
            seeds_range = range(first, first + count)
            for seed, found in pool.map(
                _run_seeded_schedule, seeds_range, chunksize=20
            ):
                if found:
                    failed += 1
                    click.echo(f"seed {seed}: {found}")
            click.echo(f"{count} schedules of {len(FAULTS)} kinds of fault")
    took_s = time.monotonic() - start_s
    click.echo(f"{failed} sessions broke a promise ({took_s:.0f} s)")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
