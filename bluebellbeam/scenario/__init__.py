"""Scripted scenarios over real nodes in virtual time."""

from bluebellbeam.scenario.promises import PROMISES, broken_promises
from bluebellbeam.scenario.script import (
    parse_script,
    read_script,
    run_script,
    script_names,
)
from bluebellbeam.scenario.world import World, make_world

__all__ = [
    "PROMISES",
    "World",
    "broken_promises",
    "make_world",
    "parse_script",
    "read_script",
    "run_script",
    "script_names",
]
