"""Helpers shared by every subpackage."""

from bluebellbeam.utils.clock import Clock, manual_clock, monotonic_clock, wall_clock
from bluebellbeam.utils.hashing import (
    hash_text,
    prefix_blocks,
    rendezvous_order,
    rendezvous_score,
)

__all__ = [
    "Clock",
    "hash_text",
    "manual_clock",
    "monotonic_clock",
    "prefix_blocks",
    "rendezvous_order",
    "rendezvous_score",
    "wall_clock",
]
