"""Rate limit on requests to cold backend servers, without shared state.

A cold server, one that is still warming up, can handle only a few requests per
second from all daemons together. For each server, the first daemon of the region
in rendezvous order owns the warm-up and sends at a limited rate; the others send
nothing. While daemons disagree about the members of the region, a server may have
two owners for a while, which the rate limit leaves room for.
"""

from bluebellbeam.routing.server_limit import spend_limit
from bluebellbeam.utils.hashing import rendezvous_order

__all__ = [
    "is_cold",
    "may_send_cold",
    "may_send_unchecked",
    "needs_check",
    "record_send",
]

START_DELAY_MS = 1000
"""Time after its start during which a process sends nothing to cold servers. By
then, requests that the previous process on its VM may have sent no longer count
against the limit of a server per second."""

MAX_UNCHECKED_SENDS = 4
"""Requests that all daemons together send to a server between two of its health
checks while the server list is stale: fewer than a cold server handles in a
second."""

UNCHECKED_SEND_INTERVAL_MS = 300
"""Interval at which further requests are sent to a server that is too busy to answer
a health check."""

OWNER_RATE_SHARE = 0.8
"""Share of the rate that a cold server can handle that its owner uses."""


def is_cold(replica, now_ms):
    """Return whether `replica` is still warming up."""
    return now_ms < replica.cold_until_ms


def may_send_cold(state, replica, now_ms):
    """Return whether this daemon may send a request to cold server `replica` now.

    Parameters
    ----------
    state : NodeState
    replica : Replica
    now_ms : int
    """
    service = state.base.services.get(replica.service)
    rate_per_s = service.warm_up_per_s if service is not None else 0.0
    if rate_per_s <= 0:
        return True
    if now_ms - state.started_ms < START_DELAY_MS:
        return False
    if now_ms - replica.last_sent_ms < 1000.0 / (rate_per_s * OWNER_RATE_SHARE):
        return False
    owner = rendezvous_order(f"warmup:{replica.name}", state.region_members())[0]
    return owner == state.identity.vm


def may_send_unchecked(state, replica, now_ms):
    """Return whether `replica`, which may have become cold, may be sent a request now.

    While the server list is stale or settles, only a health check shows that a listed
    server has become cold, so the number of requests between two checks is limited.
    """
    if not replica.listed or not state.is_list_settling(now_ms):
        return True
    if not needs_check(state, replica):
        return True
    return now_ms - replica.last_sent_ms >= UNCHECKED_SEND_INTERVAL_MS


def needs_check(state, replica):
    """Return whether this daemon has sent `replica` all that it may unchecked.

    That is limited for a service whose servers need a warm-up.
    """
    service = state.base.services.get(replica.service)
    if service is None or service.warm_up_per_s <= 0:
        return False
    daemons = max(1, len(state.region_members()))
    return replica.unchecked_sends >= max(1, MAX_UNCHECKED_SENDS // daemons)


def record_send(replica, now_ms):
    """Record that a request is sent to `replica`."""
    replica.last_sent_ms = now_ms
    replica.unchecked_sends += 1
    spend_limit(replica)
