"""Requests to cold backend servers, bounded over daemons that share no state.

A cold server bears a few requests a second from all daemons together. One
daemon of the region, the first in rendezvous order for the server, sends them
and paces itself; the others leave the server alone. While two daemons differ
over the members there may be two such owners, which the bound leaves room for.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["is_cold", "may_send_cold", "may_send_unchecked", "note_send"]

START_DELAY_MS = 1000
"""A new process sends nothing to cold servers until what a former process of
its VM may have sent has left the one-second window of the bound."""

MAX_UNCHECKED_SENDS = 4
"""Requests that all daemons together send to a server between two of its health
checks while its list is stale: below what a cold one bears in a second."""

UNCHECKED_SEND_INTERVAL_MS = 300
"""Time after which one more is sent to a server too busy for a health check."""

OWNER_RATE_SHARE = 0.8
"""Share of the rate that a server bears which its owner uses."""


def is_cold(row, now_ms):
    """Return whether the server of `row` is cold."""
    return now_ms < row.cold_until_ms


def may_send_cold(view, row, now_ms):
    """Return whether this daemon may send a request to cold server `row` now.

    Parameters
    ----------
    view : RoutingView
    row : Replica
    now_ms : int
    """
    service = view.base.services.get(row.service)
    rate_per_s = service.warm_up_per_s if service is not None else 0.0
    if rate_per_s <= 0:
        return True
    if now_ms - view.started_ms < START_DELAY_MS:
        return False
    if now_ms - row.last_sent_ms < 1000.0 / (rate_per_s * OWNER_RATE_SHARE):
        return False
    owner = rendezvous_order(f"warmup:{row.name}", view.region_members())[0]
    return owner == view.identity.vm


def may_send_unchecked(view, row, now_ms):
    """Return whether a server that may have turned cold may be sent a request.

    While the list is stale a server tells of it in a health check alone, so
    requests between two checks are few.
    """
    if not row.listed or not view.is_list_stale(now_ms):
        return True
    service = view.base.services.get(row.service)
    if service is None or service.warm_up_per_s <= 0:
        return True
    daemons = max(1, len(view.region_members()))
    if row.unchecked_sends < max(1, MAX_UNCHECKED_SENDS // daemons):
        return True
    return now_ms - row.last_sent_ms >= UNCHECKED_SEND_INTERVAL_MS


def note_send(row, now_ms):
    """Record that a request is sent to `row`, which may be cold."""
    row.last_sent_ms = now_ms
    row.unchecked_sends += 1
