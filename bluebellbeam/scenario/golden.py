"""Golden files of whole sessions: requests, answers, decisions, final dump.

``python -m bluebellbeam.scenario.golden`` writes them again.
"""

import sys
from importlib import resources
from pathlib import Path

import msgspec

from bluebellbeam.node import dump_state, explain_request
from bluebellbeam.scenario.script import read_script, run_script, script_names

__all__ = ["golden_path", "session_lines", "write_golden"]

GOLDEN_SCRIPTS = ("whole_path", "at_most_once", "one_forward", "truncated_stream")
"""Scripts whose whole sessions are kept."""


def session_lines(name):
    """Return the session of script `name`, one JSON document a line."""
    world = run_script(read_script(name)).world
    lines = [{"trace": line} for line in world.trace]
    for ticket in world.tickets.values():
        lines.append({"request": _ticket(ticket)})
        host = world.hosts[ticket.vm]
        if host.node is not None:
            steps = explain_request(host.node.state, ticket.ticket_id) or []
            lines.extend({"decision": ticket.ticket_id, "step": s} for s in steps)
    for vm, host in sorted(world.hosts.items()):
        if host.node is None:
            continue
        tables = dump_state(host.node.state, int(world.now_ms))
        for table, rows in tables.items():
            lines.extend({"vm": vm, "table": table, "row": row} for row in rows)
    return [msgspec.json.encode(line).decode() for line in lines]


def _ticket(ticket):
    return {
        "id": ticket.ticket_id,
        "workspace": ticket.workspace,
        "vm": ticket.vm,
        "kind": ticket.kind,
        "result": ticket.result,
        "outcome": ticket.outcome,
        "tokens": ticket.tokens,
        "first_ms": ticket.first_ms and round(ticket.first_ms, 1),
        "done_ms": ticket.done_ms and round(ticket.done_ms, 1),
        "regions": ticket.regions,
    }


def golden_path(name):
    """Return the path of the golden file of script `name`."""
    folder = resources.files("bluebellbeam.scenario") / "golden"
    return Path(str(folder)) / f"{name}.jsonl"


def write_golden(names=GOLDEN_SCRIPTS):
    """Write the golden files of `names`."""
    for name in names:
        golden_path(name).write_text("\n".join(session_lines(name)) + "\n")


if __name__ == "__main__":
    write_golden(sys.argv[1:] or GOLDEN_SCRIPTS)
    print(f"{len(script_names())} scripts, {len(GOLDEN_SCRIPTS)} golden files")
