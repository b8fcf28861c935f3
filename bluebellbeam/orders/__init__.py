"""Orders to engines, without a leader."""

from bluebellbeam.orders.plan import (
    pending_orders,
    plan_placement,
    responsible_member,
    wanted_names,
)

__all__ = ["pending_orders", "plan_placement", "responsible_member", "wanted_names"]
