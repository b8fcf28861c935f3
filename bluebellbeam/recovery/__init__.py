"""Retry and hedge budgets, and outlier ejection of backend servers."""

from bluebellbeam.recovery.budget import (
    Budget,
    add_credit,
    make_budget,
    set_burst,
    take_credit,
)
from bluebellbeam.recovery.outlier import note_failure, note_latency, note_success

__all__ = [
    "Budget",
    "add_credit",
    "make_budget",
    "note_failure",
    "note_latency",
    "note_success",
    "set_burst",
    "take_credit",
]
