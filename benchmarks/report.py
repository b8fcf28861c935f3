"""Write docs/MEASUREMENTS.md and its plots from the result files.

``python -m benchmarks.report`` needs no new measurement.
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
    """Return the results in a file."""
    return [msgspec.convert(row, Result) for row in json.loads(path.read_text())]


def table_lines(results):
    """Return the results as a Markdown table."""
    lines = [
        "| case | policy | first token p50 / p95 / p99 ms | batch p99 ms "
        "| service p99 ms | good of offered /s | cost | away % | fair "
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
    """Return what the rounds did to the p99 of our policy, as a table."""
    rounds = {path.stem: read_results(path) for path in files}
    names = list(rounds)
    lines = ["| deployment, case | " + " | ".join(names) + " |"]
    lines.append("|---|" + "---:|" * len(names))
    newest = rounds[names[-1]]
    for r in newest:
        if r.policy != "ours":
            continue
        cells = []
        for name in names:
            same = [
                o
                for o in rounds[name]
                if (o.user, o.case, o.policy) == (r.user, r.case, "ours")
            ]
            value = same[0].first_ms["interactive"][2] if same else None
            cells.append("" if value is None else f"{value:.0f}")
        lines.append(f"| {r.user}, {r.case} | " + " | ".join(cells) + " |")
    return lines


def plot_p99(results, user, target):
    """Draw p99 of first tokens by case and policy into `target`."""
    cases = list(dict.fromkeys(r.case for r in results))
    policies = list(dict.fromkeys(r.policy for r in results))
    figure, axes = plt.subplots(figsize=(9, 4.5))
    policies = [p for p in policies if p != OTHER_OBJECTIVE]
    width = 0.8 / len(policies)
    for i, policy in enumerate(policies):
        rows = {r.case: r for r in results if r.policy == policy and r.user == user}
        heights = [rows[case].first_ms["interactive"][2] / 1000 for case in cases]
        places = [j + i * width for j in range(len(cases))]
        axes.bar(places, heights, width, label=policy)
    axes.set_xticks([j + 0.4 - width / 2 for j in range(len(cases))])
    axes.set_xticklabels(cases, rotation=35, ha="right")
    axes.set_ylabel("p99 of first tokens, s")
    axes.set_title(user)
    axes.legend()
    figure.tight_layout()
    figure.savefig(target, metadata={"Date": None})
    plt.close(figure)


def main():
    """Write the page and its plots."""
    files = sorted(RESULTS_DIR.glob("*.json"))
    newest = read_results(files[-1])
    lines = ["# Measurements", ""]
    lines += [
        "Written by `python -m benchmarks.report` from `benchmarks/results/`; do "
        "not edit. `python -m benchmarks.policy --label NAME` measures again: same "
        "seeds, same figures.",
        "",
        "First tokens are those of interactive requests unless a column says "
        "otherwise. `good` counts answers that were whole and whose first token "
        "came before the deadline. `away` is the share sent to another region. "
        "`fair` tells how much more service for its weight any of the members that "
        "are to be treated alike got than one whose demand was not met. `switches` "
        "counts begins and ends of borrowing. Three seeded sessions of 90 s each.",
        "",
    ]
    for user in dict.fromkeys(r.user for r in newest):
        rows = [r for r in newest if r.user == user]
        plot_p99(newest, user, DOCS_DIR / f"p99-{user}.svg")
        lines += [f"## {user}", "", f"![p99 by case](p99-{user}.svg)", ""]
        lines += [*table_lines(rows), ""]
    lines += ["## Rounds: p99 of first tokens of our policy, ms", ""]
    lines += ["The first file holds one session for each case, later ones three.", ""]
    lines += [*history_lines(files), ""]
    lines += [(RESULTS_DIR / "platform.md").read_text().rstrip(), ""]
    lines += ["## Cost of a decision and of a request", ""]
    lines += ["Timed by `python -m benchmarks.decision --write`, in one run:", ""]
    lines += ["```", TIMINGS_FILE.read_text().rstrip(), "```", ""]
    lines += [
        "The bounds are 50 µs for a choice among 32, 100 µs among 200, and 2% of a "
        "core for the ticks of a daemon at today's size.",
        "",
    ]
    missed = check_bounds(newest)
    lines += [f"## Bounds missed: {len(missed)}", ""]
    lines += [f"- {line}" for line in missed]
    lines += [
        "",
        "Bounds: p99 of interactive first tokens at most half of round robin's and "
        "below least requests' in every faulted case; under 2% sent away when "
        "steady; equal members within 5%; no request outside its regions; at twice "
        "the capacity at least 95% of the goodput at capacity and at most 1.1 "
        "attempts a request. What is missed stands in `KNOWN-RED.txt`.",
        "",
    ]
    (DOCS_DIR / "MEASUREMENTS.md").write_text("\n".join(lines))


if __name__ == "__main__":
    main()
