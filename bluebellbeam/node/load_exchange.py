"""Load exchange between the daemons of a region that share backend servers.

A server reports its load in the headers of a response. For a stream they arrive
with its first event, which on a busy server is seconds after the load was read.
What daemons report to each other is more recent and includes the prompt tokens
still to be computed. Their messages also spread copies of the origins of streams.
"""

import math

from bluebellbeam.node.brittle_services import known_brittle, merge_brittle_services
from bluebellbeam.node.command import SendToPeer
from bluebellbeam.node.message import ServerLoads
from bluebellbeam.node.peer_send import send_to_member
from bluebellbeam.node.server_limits import known_limits, merge_limits
from bluebellbeam.origins import merge_copies, take_copies
from bluebellbeam.routing import record_peer_load
from bluebellbeam.routing.estimate import prefill_speed

__all__ = [
    "announce_long_prompt",
    "handle_server_loads",
    "messages_to_region",
    "tick_load_exchange",
]

EXCHANGE_INTERVAL_MS = 200
"""Interval of the exchange, below the time to a first event on a busy server."""

EXCHANGE_FANOUT = 4
"""Number of members of a small region that receive the loads in one interval."""

MAX_DIRECT_MEMBERS = 8
"""Largest number of other members of a region with which loads are exchanged directly,
so that each is reached within two intervals. In a larger region loads are relayed."""

MAX_RELAYED_MEMBERS = 48
"""Largest number of members whose loads are relayed in one message, the most recent
first, which bounds its size."""

MAX_LOAD_AGE_MS = 2000
"""Age above which the loads received from a member are ignored."""

RELAYED_COPY_MESSAGES = 2
"""Number of messages in which a daemon of a large region takes on each copy of an
origin. Each daemon then gets four in five of them."""

MAX_SERVERS_PER_MESSAGE = 64
"""Maximum number of servers in one message, which bounds its size."""


def tick_load_exchange(state, now_ms):
    """Send the loads of this daemon to a few members when an exchange is due."""
    if now_ms < state.next_exchange_ms:
        return
    _exchange_loads(state, now_ms)


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
        _exchange_loads(state, now_ms)


def _exchange_loads(state, now_ms):
    state.next_exchange_ms = now_ms + EXCHANGE_INTERVAL_MS
    names = [name for name in state.region_members() if name != state.identity.vm]
    loads = _own_loads(state)
    limits = known_limits(state, now_ms)
    brittle = known_brittle(state, now_ms)
    if len(names) > MAX_DIRECT_MEMBERS:
        _relay_loads(state, names, loads, now_ms)
    elif names and (
        loads
        or limits
        or brittle
        or state.last_loads_nonempty
        or state.origin_copies.outgoing
    ):
        copies = take_copies(state.origin_copies)
        message = ServerLoads(loads, limits=limits, brittle=brittle, copies=copies)
        _send_loads(state, names, message)
    state.last_loads_nonempty = bool(loads)


def messages_to_region(state):
    """Return the number of exchanges in which something reaches the region.

    In a large region, they are those that each daemon which has received it adds.
    """
    others = len(state.region_members()) - 1
    if others > MAX_DIRECT_MEMBERS:
        return RELAYED_COPY_MESSAGES
    return math.ceil(others / EXCHANGE_FANOUT)


def _send_loads(state, names, message):
    """Send the loads to the next `EXCHANGE_FANOUT` members in turn."""
    for offset in range(min(EXCHANGE_FANOUT, len(names))):
        name = names[(state.exchange_offset + offset) % len(names)]
        row = state.members.rows.get(name)
        if row is not None and row.status == "alive":
            state.emit(SendToPeer(name, row.peer_address, (message,)))
    state.exchange_offset += EXCHANGE_FANOUT


def _relay_loads(state, names, loads, now_ms):
    """Exchange the loads of all known members with one random member.

    Each exchange merges what two members know, so that loads reach every member
    after a number of intervals that grows with the logarithm of their number, while
    the messages of a daemon do not grow.
    """
    alive = [name for name in names if state.members.rows[name].status == "alive"]
    if not alive:
        return
    message = _known_loads(state, loads, now_ms, reply=True)
    if loads or message.relayed or message.limits or message.copies:
        send_to_member(state, state.rng.choice(alive), (message,))


def _known_loads(state, loads, now_ms, reply):
    recent = sorted(
        (now_ms - at_ms, name)
        for name, (at_ms, _) in state.peer_loads.items()
        if now_ms - at_ms <= MAX_LOAD_AGE_MS
    )
    relayed = {
        name: (age_ms, state.peer_loads[name][1])
        for age_ms, name in recent[:MAX_RELAYED_MEMBERS]
    }
    limits = known_limits(state, now_ms)
    brittle = known_brittle(state, now_ms)
    copies = take_copies(state.origin_copies)
    return ServerLoads(loads, relayed, reply, limits, brittle, copies)


def _own_loads(state):
    loads = {}
    for row in state.replicas.rows.values():
        if row.inflight or row.inflight_tokens:
            loads[row.name] = (row.inflight, row.inflight_tokens)
            if len(loads) == MAX_SERVERS_PER_MESSAGE:
                break
    return loads


def handle_server_loads(state, sender, message, now_ms):
    """Apply the loads that members of the region put on the servers.

    The limits of servers and the copies of origins that the sender knows are recorded
    too.
    """
    _merge_copies(state, message.copies, now_ms)
    merge_limits(state, sender, message.limits, now_ms)
    merge_brittle_services(state, sender, message.brittle, now_ms)
    state.peer_loads[sender] = (now_ms, message.servers)
    for name, (age_ms, servers) in message.relayed.items():
        known = state.peer_loads.get(name)
        at_ms = now_ms - age_ms
        if name != state.identity.vm and (known is None or known[0] < at_ms):
            state.peer_loads[name] = (at_ms, servers)
    if message.reply:
        reply = _known_loads(state, _own_loads(state), now_ms, reply=False)
        send_to_member(state, sender, (reply,))
    _record_loads(state, now_ms)


def _merge_copies(state, copies, now_ms):
    """Record copies of origins; those of a large region are taken on."""
    if copies:
        others = len(state.region_members()) - 1
        is_relayed = others > MAX_DIRECT_MEMBERS
        messages = RELAYED_COPY_MESSAGES if is_relayed else 0
        merge_copies(state.origin_copies, copies, now_ms, messages)


def _record_loads(state, now_ms):
    """Record the sum of the members' recent loads at each server."""
    for name, (at_ms, _) in list(state.peer_loads.items()):
        if now_ms - at_ms > MAX_LOAD_AGE_MS or name not in state.members.rows:
            del state.peer_loads[name]
    totals = {}
    for _, servers in state.peer_loads.values():
        for server, (running, tokens) in servers.items():
            sums = totals.get(server, _NO_LOAD)
            totals[server] = (sums[0] + running, sums[1] + tokens)
    factor = _missing_members_factor(state)
    for row in state.replicas.rows.values():
        running, tokens = totals.get(row.name, _NO_LOAD)
        record_peer_load(state.replicas, row, running * factor, tokens * factor, now_ms)


def _missing_members_factor(state):
    """Return the factor that scales the loads received up to all members.

    With direct exchange, those of some members are missing. Relayed loads are those
    of all members that have any.
    """
    others = max(1, len(state.region_members()) - 1)
    if others > MAX_DIRECT_MEMBERS or not state.peer_loads:
        return 1.0
    return max(1.0, others / len(state.peer_loads))


_NO_LOAD = (0, 0)
