"""Load exchange: daemons of a region tell what each has at the servers they share.

A server tells its load on the head of an answer, which for a stream comes when
its first event does: under load, seconds after the state that it shows. What
daemons tell each other is younger, and it tells the prompt tokens that wait.
"""

from bluebellbeam.node.command import SendToPeer
from bluebellbeam.node.message import ServerLoads
from bluebellbeam.routing import note_peer_load
from bluebellbeam.routing.estimate import prefill_speed

__all__ = ["handle_server_loads", "announce_long_prompt", "tick_load_exchange"]

EXCHANGE_MS = 200
"""Interval of the exchange: below the time to a first event on a busy server."""

FANOUT = 4
"""Members told in one interval, so that the cost does not grow with the region."""

MOST_MEMBERS = 16
"""Members of a region above which nothing is told: a server is then shared by
few of them, and what it tells on its answers has to do."""

FRESH_MS = 2000
"""Age at which what a member has told no longer counts."""

MAX_SERVERS = 64
"""Servers named in one message, so that its size is bounded."""


def tick_load_exchange(state, now_ms):
    """Tell a few members of the region what this daemon has at its servers."""
    if now_ms < state.next_exchange_ms:
        return
    _tell_server_loads(state, now_ms)


def announce_long_prompt(state, request, tokens, now_ms):
    """Tell of a prompt at once that the next exchange would tell too late.

    Parameters
    ----------
    state : NodeState
    request : Request
    tokens : int
        Prompt tokens that its server has to compute.
    now_ms : int
    """
    speed = prefill_speed(state.base, request)
    if speed and 1000.0 * tokens / speed >= EXCHANGE_MS:
        _tell_server_loads(state, now_ms)


def _tell_server_loads(state, now_ms):
    """Tell the members whose turn it is, at once."""
    state.next_exchange_ms = now_ms + EXCHANGE_MS
    names = [name for name in state.region_members() if name != state.identity.vm]
    loads = _own_loads(state)
    if not names or len(names) >= MOST_MEMBERS:
        return
    if not loads and not state.sent_loads:
        return
    state.sent_loads = bool(loads)
    message = ServerLoads(loads)
    for offset in range(min(FANOUT, len(names))):
        name = names[(state.exchange_offset + offset) % len(names)]
        row = state.members.rows.get(name)
        if row is not None and row.status == "alive":
            state.emit(SendToPeer(name, row.peer_address, (message,)))
    state.exchange_offset += FANOUT


def _own_loads(state):
    loads = {}
    for row in state.replicas.rows.values():
        if row.inflight or row.inflight_tokens:
            loads[row.name] = (row.inflight, row.inflight_tokens)
            if len(loads) == MAX_SERVERS:
                break
    return loads


def handle_server_loads(state, sender, message, now_ms):
    """Take in what a member of the region has at the servers."""
    state.peer_loads[sender] = (now_ms, message.servers)
    fresh = [
        servers
        for name, (told_ms, servers) in list(state.peer_loads.items())
        if now_ms - told_ms <= FRESH_MS and name in state.members.rows
    ]
    others = max(1, len(state.region_members()) - 1)
    # In a large region only some members are heard of: they stand for all.
    factor = max(1.0, others / len(fresh)) if fresh else 1.0
    for row in state.replicas.rows.values():
        running = sum(item.get(row.name, _NONE)[0] for item in fresh)
        tokens = sum(item.get(row.name, _NONE)[1] for item in fresh)
        note_peer_load(state.replicas, row, running * factor, tokens * factor, now_ms)


_NONE = (0, 0)
