"""Run simulations with seeded faults and print which invariants held.

``python -m benchmarks.faults --count 10000`` runs random schedules of faults;
``python -m benchmarks.faults --table`` runs every named fault and every pair
of them and prints the number of invariants that held under each.
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
"""Faults that the requirements name; keys of `FAULTS`."""


def _run_seeded_schedule(seed):
    return seed, run_schedule(seed)


def _run_fault_case(case):
    name, kinds, seed = case
    return kinds, run_faults(name, kinds, seed)


def fault_cases(seeds, kinds=NAMED_FAULTS):
    """Return the runs of each fault and each pair of faults, for every example.

    Parameters
    ----------
    seeds : int
        Number of runs of each combination.
    kinds : iterable of str
        Keys of `FAULTS`.

    Returns
    -------
    list of (str, tuple of str, int)
        Deployment, kinds of fault and seed of each run.
    """
    groups = [(kind,) for kind in kinds]
    groups += list(itertools.combinations(kinds, 2))
    return [
        (name, group, seed)
        for name in EXAMPLES
        for group in groups
        for seed in range(seeds)
    ]


def fault_table(results):
    """Return a table of the invariants that held under each kind of fault.

    Parameters
    ----------
    results : list of (tuple of str, dict)
        Kinds of fault, and violations by name of the invariant, of each run.

    Returns
    -------
    list of str
    """
    violations = {}
    runs = {}
    for kinds, violated in results:
        runs[kinds] = runs.get(kinds, 0) + 1
        for invariant in violated:
            violations[(kinds, invariant)] = violations.get((kinds, invariant), 0) + 1
    lines = [f"{'faults':<60}     runs  invariants held"]
    for kinds in runs:
        failed = [name for name in INVARIANTS if (kinds, name) in violations]
        held = f"{len(INVARIANTS) - len(failed)} of {len(INVARIANTS)}"
        detail = f"  VIOLATED: {', '.join(failed)}" if failed else ""
        lines.append(f"{' + '.join(kinds):<60} {runs[kinds]:>8}  {held}{detail}")
    return lines


@click.command()
@click.option(
    "--count", default=10_000, show_default=True, help="Number of random schedules."
)
@click.option(
    "--first", default=0, show_default=True, help="First seed of the random schedules."
)
@click.option("--jobs", default=max(1, (os.cpu_count() or 2) - 2), show_default=True)
@click.option(
    "--table", is_flag=True, help="Run the named faults and their pairs instead."
)
@click.option(
    "--seeds",
    default=5,
    show_default=True,
    help="Runs of each combination in the table.",
)
def main(count, first, jobs, table, seeds):
    """Check every invariant in simulations with faults."""
    start_s = time.monotonic()
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        if table:
            results = list(pool.map(_run_fault_case, fault_cases(seeds), chunksize=4))
            for line in fault_table(results):
                click.echo(line)
            failed = sum(1 for _, violated in results if violated)
        else:
            seeds_range = range(first, first + count)
            for seed, violated in pool.map(
                _run_seeded_schedule, seeds_range, chunksize=20
            ):
                if violated:
                    failed += 1
                    click.echo(f"seed {seed}: {violated}")
            click.echo(f"{count} random schedules of {len(FAULTS)} kinds of fault")
    took_s = time.monotonic() - start_s
    click.echo(f"{failed} runs violated an invariant ({took_s:.0f} s)")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
