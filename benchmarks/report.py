"""Write docs/MEASUREMENTS.md and its plots from the stored result files.

``python -m benchmarks.report`` runs no measurement.
"""

import json
from pathlib import Path

import matplotlib as mpl
import msgspec

from benchmarks.decision import TIMINGS_FILE
from benchmarks.policy import OTHER_OBJECTIVE, RESULTS_DIR, Result, check_bounds

mpl.use("svg")
mpl.rcParams["svg.hashsalt"] = "bluebellbeam"
from matplotlib import pyplot as plt  # noqa: E402

__all__ = ["main"]

DOCS_DIR = Path(__file__).parent.parent / "docs"


def read_results(path):
    """Return the list of :class:`Result` in a result file."""
    return [msgspec.convert(row, Result) for row in json.loads(path.read_text())]


def table_lines(results):
    """Return the results as a Markdown table."""
    lines = [
        "| case | policy | time to first token p50 / p95 / p99 ms | batch p99 ms "
        "| service p99 ms | goodput of offered /s | cost | remote % | fairness "
        "| attempts | prefix hits % | switches | recovery s |",
        "|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|",
    ]
    for r in results:
        first = " / ".join(f"{value:.0f}" for value in r.first_ms["interactive"])
        lines.append(
            f"| {r.case} | {r.policy} | {first} | {r.first_ms['batch'][2]:.0f} "
            f"| {r.first_ms['service'][2]:.0f} | {r.goodput:.2f} of {r.offered:.2f} "
            f"| {r.cost:.2f} | {100 * r.away_share:.1f} | {r.fairness:.2f} "
            f"| {r.attempts:.2f} | {100 * r.prefix_hits:.0f} | {r.switches} "
            f"| {r.recovery_ms / 1000:.0f} |"
        )
    return lines


def history_lines(files):
    """Return the p99 of our policy in each result file as a Markdown table.

    The last file decides the rows; a file without a case has an empty cell there.
    """
    by_file = {path.stem: read_results(path) for path in files}
    names = list(by_file)
    lines = ["| deployment, case | " + " | ".join(names) + " |"]
    lines.append("|---|" + "---:|" * len(names))
    newest = by_file[names[-1]]
    for r in newest:
        if r.policy != "ours":
            continue
        cells = []
        for name in names:
            matching = [
                o
                for o in by_file[name]
                if (o.user, o.case, o.policy) == (r.user, r.case, "ours")
            ]
            value = matching[0].first_ms["interactive"][2] if matching else None
            cells.append("" if value is None else f"{value:.0f}")
        lines.append(f"| {r.user}, {r.case} | " + " | ".join(cells) + " |")
    return lines


def plot_p99(results, user, target):
    """Write a bar chart of p99 time to first token by case and policy to `target`."""
    cases = list(dict.fromkeys(r.case for r in results))
    policies = list(dict.fromkeys(r.policy for r in results))
    figure, axes = plt.subplots(figsize=(9, 4.5))
    policies = [p for p in policies if p != OTHER_OBJECTIVE]
    width = 0.8 / len(policies)
    for i, policy in enumerate(policies):
        rows = {r.case: r for r in results if r.policy == policy and r.user == user}
        heights = [rows[case].first_ms["interactive"][2] / 1000 for case in cases]
        positions = [j + i * width for j in range(len(cases))]
        axes.bar(positions, heights, width, label=policy)
    axes.set_xticks([j + 0.4 - width / 2 for j in range(len(cases))])
    axes.set_xticklabels(cases, rotation=35, ha="right")
    axes.set_ylabel("p99 time to first token, s")
    axes.set_title(user)
    axes.legend()
    figure.tight_layout()
    figure.savefig(target, metadata={"Date": None})
    plt.close(figure)


def main():
    """Write docs/MEASUREMENTS.md and its plots."""
    files = sorted(RESULTS_DIR.glob("*.json"))
    newest = read_results(files[-1])
    lines = ["# Measurements", ""]
    lines += [
        "Written by `python -m benchmarks.report` from `benchmarks/results/`; do "
        "not edit. `python -m benchmarks.policy --label NAME` measures again; the "
        "same seeds give the same figures.",
        "",
        "Times to first token are those of interactive requests unless a column says "
        "otherwise. `goodput` counts complete answers whose first token arrived "
        "before the deadline. `remote` is the share of requests forwarded to another "
        "region. `fairness` is the highest ratio of the service per weight of a "
        "member that must be treated equally to that of another whose demand was "
        "not met. `switches` counts starts and ends of borrowing. Each figure "
        "covers three seeded simulation runs of 90 s each.",
        "",
    ]
    for user in dict.fromkeys(r.user for r in newest):
        rows = [r for r in newest if r.user == user]
        plot_p99(newest, user, DOCS_DIR / f"p99-{user}.svg")
        lines += [f"## {user}", "", f"![p99 by case](p99-{user}.svg)", ""]
        lines += [*table_lines(rows), ""]
    lines += ["## p99 time to first token of our policy by result file, ms", ""]
    lines += [
        "The first file has one simulation run for each case, later ones three.",
        "",
    ]
    lines += [*history_lines(files), ""]
    lines += [(RESULTS_DIR / "platform.md").read_text().rstrip(), ""]
    lines += ["## Processor time of a decision and of a request", ""]
    lines += ["Measured by `python -m benchmarks.decision --write` in one run:", ""]
    lines += ["```", TIMINGS_FILE.read_text().rstrip(), "```", ""]
    lines += [
        "The bounds are 50 µs for a decision among 32 replicas, 100 µs among 200, and "
        "2% of a core for the ticks of a daemon in an example deployment.",
        "",
    ]
    missed = check_bounds(newest)
    lines += [f"## Bounds missed: {len(missed)}", ""]
    lines += [f"- {line}" for line in missed]
    lines += [
        "",
        "Bounds: p99 of the interactive time to first token at most half of round "
        "robin's and below least requests' in every case with a fault, load peak or "
        "noisy workspace; under 2% of requests forwarded in the steady case; service "
        "per weight of equal members within 5%; no request outside its allowed "
        "regions; at twice the capacity at least 95% of the goodput at capacity and "
        "at most 1.1 attempts per request. Missed bounds are listed in "
        "`KNOWN-RED.txt`.",
        "",
    ]
    (DOCS_DIR / "MEASUREMENTS.md").write_text("\n".join(lines))


if __name__ == "__main__":
    main()
