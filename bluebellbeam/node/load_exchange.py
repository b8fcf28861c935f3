"""Load exchange between the daemons of a region that share backend servers.

A server reports its load in the headers of a response. For a stream they arrive
with its first event, which on a busy server is seconds after the load was read.
What daemons report to each other is more recent and includes the prompt tokens
still to be computed.
"""

from bluebellbeam.node.command import SendToPeer
from bluebellbeam.node.message import ServerLoads
from bluebellbeam.routing import record_peer_load
from bluebellbeam.routing.estimate import prefill_speed

__all__ = [
    "announce_long_prompt",
    "handle_server_loads",
    "tick_load_exchange",
]

EXCHANGE_INTERVAL_MS = 200
"""Interval of the exchange, below the time to a first event on a busy server."""

EXCHANGE_FANOUT = 4
"""Number of members that receive the loads in one interval, so that the cost does
not grow with the region."""

MAX_REGION_MEMBERS = 16
"""Members of a region, this daemon included, above which no loads are exchanged:
in a larger region few members share a server, and its own reports suffice."""

MAX_LOAD_AGE_MS = 2000
"""Age above which the loads received from a member are ignored."""

MAX_SERVERS_PER_MESSAGE = 64
"""Maximum number of servers in one message, which bounds its size."""


def tick_load_exchange(state, now_ms):
    """Send the loads of this daemon to a few members when an exchange is due."""
    if now_ms < state.next_exchange_ms:
        return
    _send_server_loads(state, now_ms)


def announce_long_prompt(state, request, tokens, now_ms):
    """Send the loads at once if a prompt takes longer than the exchange interval.

    Parameters
    ----------
    state : NodeState
    request : Request
    tokens : int
        Uncached prompt tokens that its server has to compute.
    now_ms : int
    """
    speed = prefill_speed(state.base, request)
    if speed and 1000.0 * tokens / speed >= EXCHANGE_INTERVAL_MS:
        _send_server_loads(state, now_ms)


def _send_server_loads(state, now_ms):
    """Send the loads to the next `EXCHANGE_FANOUT` members in turn."""
    state.next_exchange_ms = now_ms + EXCHANGE_INTERVAL_MS
    names = [name for name in state.region_members() if name != state.identity.vm]
    loads = _own_loads(state)
    if not names or len(names) >= MAX_REGION_MEMBERS:
        return
    if not loads and not state.last_loads_nonempty:
        return
    state.last_loads_nonempty = bool(loads)
    message = ServerLoads(loads)
    for offset in range(min(EXCHANGE_FANOUT, len(names))):
        name = names[(state.exchange_offset + offset) % len(names)]
        row = state.members.rows.get(name)
        if row is not None and row.status == "alive":
            state.emit(SendToPeer(name, row.peer_address, (message,)))
    state.exchange_offset += EXCHANGE_FANOUT


def _own_loads(state):
    loads = {}
    for row in state.replicas.rows.values():
        if row.inflight or row.inflight_tokens:
            loads[row.name] = (row.inflight, row.inflight_tokens)
            if len(loads) == MAX_SERVERS_PER_MESSAGE:
                break
    return loads


def handle_server_loads(state, sender, message, now_ms):
    """Apply the loads that a member of the region puts on the servers."""
    state.peer_loads[sender] = (now_ms, message.servers)
    fresh = [
        servers
        for name, (received_ms, servers) in list(state.peer_loads.items())
        if now_ms - received_ms <= MAX_LOAD_AGE_MS and name in state.members.rows
    ]
    others = max(1, len(state.region_members()) - 1)
    # In a large region the loads of some members are missing; those received are
    # scaled up to all members.
    factor = max(1.0, others / len(fresh)) if fresh else 1.0
    for row in state.replicas.rows.values():
        running = sum(item.get(row.name, _NO_LOAD)[0] for item in fresh)
        tokens = sum(item.get(row.name, _NO_LOAD)[1] for item in fresh)
        record_peer_load(state.replicas, row, running * factor, tokens * factor, now_ms)


_NO_LOAD = (0, 0)
