"""Scenarios that run real nodes in a simulation with virtual time."""

from bluebellbeam.scenario.invariants import INVARIANTS, violated_invariants
from bluebellbeam.scenario.script import (
    parse_script,
    read_script,
    run_script,
    script_names,
)
from bluebellbeam.scenario.world import World, make_world

__all__ = [
    "INVARIANTS",
    "World",
    "make_world",
    "parse_script",
    "read_script",
    "run_script",
    "script_names",
    "violated_invariants",
]
