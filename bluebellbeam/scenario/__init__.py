"""Scenarios that run real nodes in a simulation with virtual time."""

from bluebellbeam.scenario.invariants import INVARIANTS, violated_invariants
from bluebellbeam.scenario.script import (
    parse_script,
    read_script,
    run_script,
    script_names,
)
from bluebellbeam.scenario.simulation import Simulation, make_simulation

__all__ = [
    "INVARIANTS",
    "Simulation",
    "make_simulation",
    "parse_script",
    "read_script",
    "run_script",
    "script_names",
    "violated_invariants",
]
