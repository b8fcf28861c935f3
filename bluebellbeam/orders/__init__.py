"""Load orders: which models engines load, decided without a leader."""

from bluebellbeam.orders.plan import (
    pending_orders,
    plan_placement,
    required_names,
    responsible_member,
)

__all__ = ["pending_orders", "plan_placement", "required_names", "responsible_member"]
