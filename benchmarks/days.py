"""Write docs/DAYS.md: days played on the users' test bench, by disturbance.

``python -m benchmarks.days --commit ID --commit ID`` counts the days that
journal/ records for these commits. A day is one run of the bench with changes
of the deployment and faults.
"""

import json
from collections import Counter
from pathlib import Path

import click
from msgspec import Struct

__all__ = ["DayCounts", "count_days", "main", "table_lines"]

ROOT = Path(__file__).parent.parent
NOT_DISCLOSED = "not disclosed (recorded days)"
"""Label of days whose disturbances the test bench does not disclose."""

NOT_ITEMIZED = "not itemized (the journal keeps 64 days of a hunt)"
"""Label of days of which the journal records only the number."""


class DayCounts(Struct):
    """Number of days played at one site.

    Parameters
    ----------
    played : int
        Number of days.
    broken : int
        Number of days on which at least one rule was broken.
    by_kind : Counter
        Number of days by disturbance; a day counts once for each of its
        disturbances.
    rules : Counter
        Number of days by disturbance and rule broken on them.
    """

    played: int
    broken: int
    by_kind: Counter
    rules: Counter


def count_days(entries):
    """Count the days of each site.

    Parameters
    ----------
    entries : iterable of dict
        Journal entries.

    Returns
    -------
    dict of str to DayCounts
    """
    by_site = {}
    for entry in entries:
        counts = by_site.setdefault(
            entry["site"], DayCounts(0, 0, Counter(), Counter())
        )
        for day in entry["days"]:
            _count_day(counts, day)
        counts.played += entry["days_left_out"]
        counts.by_kind[NOT_ITEMIZED] += entry["days_left_out"]
    return by_site


def _count_day(counts, day):
    counts.played += 1
    counts.broken += bool(day["rules"])
    for kind in set(day["troubles"] or [NOT_DISCLOSED]):
        counts.by_kind[kind] += 1
        for rule in day["rules"]:
            counts.rules[kind, rule] += 1


def table_lines(counts):
    """Return the number of days by disturbance as a Markdown table.

    Parameters
    ----------
    counts : dict of str to DayCounts
    """
    sites = sorted(counts)
    lines = ["| disturbance | " + " | ".join(sites) + " | rules broken |"]
    lines.append("|---|" + "---:|" * len(sites) + "---|")
    kinds = sorted({kind for item in counts.values() for kind in item.by_kind})
    for kind in kinds:
        cells = [str(counts[site].by_kind[kind]) for site in sites]
        broken = sum((counts[site].rules for site in sites), Counter())
        rules = [f"{r} {n}" for (k, r), n in sorted(broken.items()) if k == kind]
        lines.append(f"| {kind} | {' | '.join(cells)} | {', '.join(rules) or 'none'} |")
    total = [f"{counts[s].played} ({counts[s].broken} broken)" for s in sites]
    lines.append(f"| all days | {' | '.join(total)} | |")
    return lines


def _read_entries(commits):
    for path in sorted((ROOT / "journal").glob("*.json")):
        entry = json.loads(path.read_text())
        if _is_counted(entry, commits):
            yield entry


def _is_counted(entry, commits):
    """Return True for a complete run on one of `commits` without local changes."""
    complete = entry["ok"] and entry["cmd"] in ("hunt", "score", "incident")
    clean = complete and not entry["dirty"]
    return clean and any(entry["head"].startswith(commit) for commit in commits)


@click.command()
@click.option("--commit", "commits", multiple=True, required=True)
def main(commits):
    """Count the days that were played on the commits, and write docs/DAYS.md."""
    counts = count_days(_read_entries(commits))
    lines = [
        "# Days played",
        "",
        "Runs of the users' test bench (hunt, score, incident) on the commits "
        + ", ".join(commits)
        + ",",
        "from journal/, by disturbance; a day counts once for each disturbance that it",
        "had. Rules that are not listed were broken on none of these days.",
        "",
        *table_lines(counts),
        "",
    ]
    (ROOT / "docs" / "DAYS.md").write_text("\n".join(lines))
    for site, item in sorted(counts.items()):
        click.echo(f"{site}: {item.played} days, {item.broken} with a broken rule")


if __name__ == "__main__":
    main()
