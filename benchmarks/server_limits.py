"""Ways to keep the limit of a server for all daemons together, compared.

Daemons of one region in virtual time, with their messages, in front of one server that
states a limit of 1 request per second. ``python -m benchmarks.server_limits`` prints
the table of docs/design/server_limits.md.
"""

from concurrent.futures import ProcessPoolExecutor
from itertools import product
from unittest import mock

import click

from bluebellbeam.node.tests.limited_region import (
    LEARN_MS,
    LimitedRegion,
    allowed_requests,
)

DAEMONS = (2, 9, 62, 195, 350)
LIMIT_PER_S = 1.0
CALLS_PER_DAEMON_S = 1.0
"""Requests of callers per second and daemon, more than its share of the limit."""

LEARN_AND_SETTLE_MS = LEARN_MS + 2000
MEASURED_MS = 80_000


def _few_senders(original):
    return original


def _equal_shares(original):
    return lambda name, limit_per_s, turn, members: frozenset(members)


def _each_alone(original):
    """Return a choice under which every daemon sends the whole limit."""
    return lambda name, limit_per_s, turn, members: _Everyone()


class _Everyone(frozenset):
    """Set with one item that contains every name."""

    def __contains__(self, name):
        return True

    def __len__(self):
        return 1


WAYS = {
    "each daemon alone": _each_alone,
    "equal shares": _equal_shares,
    "few senders": _few_senders,
}


def run_way(way, count, seed=1):
    """Return the requests in the worst window and the share of the limit used.

    Parameters
    ----------
    way : str
        Key of `WAYS`.
    count : int
        Number of daemons.
    seed : int
    """
    from bluebellbeam.routing import server_limit

    chosen = WAYS[way](server_limit._choose_senders)
    with mock.patch.object(server_limit, "_choose_senders", chosen):
        region = LimitedRegion(count, 1, CALLS_PER_DAEMON_S * count, seed)
        region.run(1000)
        found = region.servers["s1"]
        found.limit_per_s = LIMIT_PER_S
        region.run(LEARN_AND_SETTLE_MS)
        from_ms = region.now_ms
        region.run(MEASURED_MS)
    used = sum(1 for at_ms, _ in found.arrivals if at_ms >= from_ms)
    share = used / (LIMIT_PER_S * MEASURED_MS / 1000)
    return found.worst_window(from_ms), share


def _run_case(case):
    return case, run_way(*case)


@click.command()
@click.option("--jobs", default=3, show_default=True)
@click.option("--daemons", type=int, multiple=True, default=DAEMONS)
def main(jobs, daemons):
    """Print a table of the ways, by number of daemons."""
    cases = list(product(WAYS, sorted(daemons, reverse=True)))
    with ProcessPoolExecutor(jobs) as executor:
        results = dict(executor.map(_run_case, cases))
    allowed = allowed_requests(LIMIT_PER_S)
    click.echo(f"allowed in 4 s: {allowed:.0f}")
    click.echo("| way | daemons | worst 4 s | share of the limit used |")
    click.echo("|---|---:|---:|---:|")
    for way, count in product(WAYS, sorted(daemons)):
        worst, share = results[way, count]
        click.echo(f"| {way} | {count} | {worst} | {share:.2f} |")


if __name__ == "__main__":
    main()
