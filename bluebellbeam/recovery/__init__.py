"""Retry and hedge budgets, and ejection of failing backend servers."""

from bluebellbeam.recovery.budget import Budget, earn, make_budget, set_burst, spend
from bluebellbeam.recovery.outlier import note_failure, note_speed, note_success

__all__ = [
    "Budget",
    "earn",
    "make_budget",
    "note_failure",
    "note_speed",
    "note_success",
    "set_burst",
    "spend",
]
