"""Introductions: how daemons find each other where no list shows them.

A daemon that starts tells its seed peers of itself and is told of everybody
they know. What is new is passed on with probes a number of times that grows
with the logarithm of the members, as rumors are.
"""

import math

from bluebellbeam.membership import apply_announcement
from bluebellbeam.node.command import Log, SendToPeer
from bluebellbeam.node.message import Announce
from bluebellbeam.provider.records import VmRecord

__all__ = ["handle_announce", "own_announcement", "take_announcements"]

RECORDS_PER_MESSAGE = 8
"""Introductions that ride on one probe, so that its size is bounded."""


GREET_MS = 5_000
"""Time after its start for which a daemon introduces itself to whom it hears of;
then probes have reached a small region."""

MOST_GREETED = 16
"""Members greeted for one message; in a large fleet the others hear by probes."""


def own_announcement(state):
    """Return the message that introduces this daemon, or nothing."""
    if state.identity.lists_entries:
        return ()
    return (Announce((_own_record(state),), request_all=True),)


def _own_record(state):
    return _entry_record(state.identity, state.identity.vm, state.leaving)


def _entry_record(place, name, leaving):
    """Return the record of an entry VM from its identity or its member row."""
    return VmRecord(
        name=name,
        incarnation=place.incarnation,
        role="entry",
        region=place.region,
        failure_domain=place.failure_domain,
        state="leaving" if leaving else "live",
        peer_address=place.peer_address,
        caller_address=place.caller_address,
    )


def take_announcements(state):
    """Return the message that passes on entry VMs heard of lately, or nothing."""
    if not state.pending_announcements:
        return ()
    limit = 3 * max(1, math.ceil(math.log2(len(state.members.rows) + 2)))
    records = []
    for name, entry in list(state.pending_announcements.items())[:RECORDS_PER_MESSAGE]:
        records.append(entry[0])
        entry[1] += 1
        if entry[1] >= limit:
            del state.pending_announcements[name]
    return (Announce(tuple(records)),)


def handle_announce(state, sender, message, now_ms):
    """Take in entry VMs that a peer tells of; answer one that knows nobody."""
    news = []
    for record in message.records:
        if record.name == state.identity.vm:
            continue
        if apply_announcement(state.members, record, now_ms):
            news.append(record)
            state.pending_announcements[record.name] = [record, 0]
            fields = {"source": sender, "incarnation": record.incarnation}
            state.emit(Log("membership", f"hear of {record.name}", fields=fields))
    if now_ms - state.started_ms <= GREET_MS:
        _greet(state, [record for record in news if record.name != sender])
    if message.request_all:
        _answer_all(state, sender)


def _greet(state, records):
    """Introduce this daemon to members that it has just heard of.

    They take callers and forwards to it at once, and not when a probe comes by.
    """
    message = Announce((_own_record(state),))
    for record in records[:MOST_GREETED]:
        state.emit(SendToPeer(record.name, record.peer_address, (message,)))


def _answer_all(state, sender):
    records = [_own_record(state)]
    for row in state.members.rows.values():
        if row.name != sender and row.status != "dead":
            records.append(_entry_record(row, row.name, row.leaving))
    row = state.members.rows.get(sender)
    address = row.peer_address if row is not None else ""
    state.emit(SendToPeer(sender, address, (Announce(tuple(records)),)))
