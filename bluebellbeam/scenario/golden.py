"""Golden files of scenario scripts.

A golden file holds the trace, the requests, the routing decisions and the final
state dumps of one run.

``python -m bluebellbeam.scenario.golden`` regenerates them.
"""

import sys
from importlib import resources
from pathlib import Path

import msgspec

from bluebellbeam.node import dump_state, explain_request
from bluebellbeam.scenario.script import read_script, run_script, script_names

__all__ = ["golden_path", "golden_lines", "write_golden"]

GOLDEN_SCRIPTS = ("whole_path", "at_most_once", "one_forward", "truncated_stream")
"""Scripts that have a golden file; the tests compare a new run with it."""


def golden_lines(name):
    """Run script `name` and return the lines of its golden file."""
    sim = run_script(read_script(name)).sim
    lines = [{"trace": line} for line in sim.trace]
    for request in sim.caller_requests.values():
        lines.append({"request": _request_row(request)})
        host = sim.hosts[request.vm]
        if host.node is not None:
            steps = explain_request(host.node.state, request.request_id) or []
            lines.extend({"decision": request.request_id, "step": s} for s in steps)
    for vm, host in sorted(sim.hosts.items()):
        if host.node is None:
            continue
        tables = dump_state(host.node.state, int(sim.now_ms))
        for table, rows in tables.items():
            lines.extend({"vm": vm, "table": table, "row": row} for row in rows)
    return [msgspec.json.encode(line).decode() for line in lines]


def _request_row(request):
    return {
        "id": request.request_id,
        "workspace": request.workspace,
        "vm": request.vm,
        "kind": request.kind,
        "result": request.result,
        "outcome": request.outcome,
        "tokens": request.tokens,
        "first_ms": request.first_ms and round(request.first_ms, 1),
        "done_ms": request.done_ms and round(request.done_ms, 1),
        "regions": request.regions,
    }


def golden_path(name):
    """Return the path of the golden file of script `name`."""
    folder = resources.files("bluebellbeam.scenario") / "golden"
    return Path(str(folder)) / f"{name}.jsonl"


def write_golden(names=GOLDEN_SCRIPTS):
    """Run the scripts `names` and write their golden files."""
    for name in names:
        golden_path(name).write_text("\n".join(golden_lines(name)) + "\n")


if __name__ == "__main__":
    write_golden(sys.argv[1:] or GOLDEN_SCRIPTS)
    print(f"{len(script_names())} scripts, {len(GOLDEN_SCRIPTS)} golden files")
