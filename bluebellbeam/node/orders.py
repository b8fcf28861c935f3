"""Orders to engines to load models and adapters."""

import msgspec

from bluebellbeam.node.command import Log, ReadLoad, SendOrder
from bluebellbeam.node.feed_sync import listed_backends
from bluebellbeam.node.state import backends_feed
from bluebellbeam.orders import pending_orders, plan_placement, responsible_member

__all__ = ["handle_order_response", "send_pending_order", "tick_orders"]

MAX_LOAD_READ_AGE_MS = 500
"""Age up to which a load report may cause an order, and time within which the
order must then be sent: an order must not act on an older state of the engine."""

ORDER_REPEAT_INTERVAL_MS = 5000
"""Shortest time between two orders to the same engine."""


def tick_orders(state, now_ms):
    """Read the load of engines with a pending order, before the order is sent."""
    if not _may_send_orders(state, now_ms):
        return
    _refresh_placement(state)
    for order in _pending_orders(state):
        sent_ms = state.order_sent_ms.get(order.server, -ORDER_REPEAT_INTERVAL_MS)
        if (
            now_ms - sent_ms < ORDER_REPEAT_INTERVAL_MS
            or order.server in state.order_read_ms
        ):
            continue
        row = state.replicas.rows[order.server]
        state.order_read_ms[order.server] = now_ms
        state.emit(ReadLoad(row.name, row.address))


def _refresh_placement(state):
    """Recompute the placement of models if the configuration or server list changed."""
    feed = state.feeds[backends_feed(state.region)]
    key = (state.config.revision, feed.version)
    if key == state.placement_key:
        return
    state.placement_key = key
    engines = sorted(
        record.name
        for record in listed_backends(state)
        if record.role == "engine" and record.state == "live"
    )
    state.placement = plan_placement(state.base, state.region, engines)


def _may_send_orders(state, now_ms):
    """Return whether this daemon may send orders.

    It must be ready and have run for one probe interval. By then it knows the
    published state well enough to act on it.
    """
    if state.config is None or not state.ready or state.leaving:
        return False
    return now_ms - state.started_ms >= state.policy.probe_interval_ms


def _pending_orders(state):
    """Return the orders that this daemon has to send.

    The loads that the policy's `weight_store_loads` allows at the same time are
    divided among the daemons of the region.
    """
    names = state.cached(
        "responsible",
        (state.members.generation, state.subset_key),
        lambda: _responsible_engines(state),
    )
    rows = [state.replicas.rows[n] for n in names if n in state.replicas.rows]
    max_loading = max(1, state.policy.weight_store_loads // len(state.region_members()))
    own_vm = state.identity.vm
    revision = state.config.revision
    return pending_orders(
        state.base, revision, state.placement, rows, own_vm, max_loading
    )


def _responsible_engines(state):
    """Return the names of engines that this daemon sends orders to."""
    members = state.region_members()
    own_vm = state.identity.vm
    return [
        row.name
        for row in state.replicas.rows.values()
        if row.role == "engine" and responsible_member(row.name, members) == own_vm
    ]


def send_pending_order(state, server, now_ms):
    """Send an engine the order that is still pending after its load was read."""
    read_ms = state.order_read_ms.pop(server, None)
    if (
        read_ms is None
        or now_ms - read_ms > MAX_LOAD_READ_AGE_MS
        or not _may_send_orders(state, now_ms)
    ):
        return
    for order in _pending_orders(state):
        if order.server != server:
            continue
        row = state.replicas.rows[server]
        state.order_sent_ms[server] = now_ms
        state.counters.orders += 1
        state.emit(SendOrder(row.address, order, now_ms + MAX_LOAD_READ_AGE_MS))
        state.emit(Log("orders", f"order {server} to load {order.load}"))


def handle_order_response(state, event, now_ms):
    """Log a refused order and schedule another read of the engine's load."""
    if event.accepted:
        return
    row = state.replicas.rows.get(event.server)
    if row is not None:
        row.checked_ms = -1
    reason = msgspec.json.encode(event.reason).decode()
    state.emit(Log("orders", f"order refused by {event.server}: {reason}"))
