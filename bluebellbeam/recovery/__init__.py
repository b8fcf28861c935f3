"""Retry and hedge budgets, and outlier ejection of backend servers."""

from bluebellbeam.recovery.budget import (
    Budget,
    add_credit,
    make_budget,
    set_burst,
    take_credit,
)
from bluebellbeam.recovery.outlier import (
    record_failure,
    record_success,
    refresh_slowness,
    update_pace,
)

__all__ = [
    "Budget",
    "add_credit",
    "make_budget",
    "record_failure",
    "record_success",
    "refresh_slowness",
    "set_burst",
    "take_credit",
    "update_pace",
]
