"""Discovery of entry VMs by announcements, for providers that do not list them.

A daemon that starts announces itself to its seed peers and receives the
records of all members they know. New records are forwarded with probes. Each is
sent a number of times that grows with the logarithm of the number of members,
like a status update.
"""

import math

from bluebellbeam.membership import apply_announcement
from bluebellbeam.node.command import Log, SendToPeer
from bluebellbeam.node.message import Announce
from bluebellbeam.provider.records import VmRecord

__all__ = ["handle_announce", "own_announcement", "take_announcements"]

RECORDS_PER_MESSAGE = 8
"""Maximum number of records forwarded with one probe, which bounds its size."""


DIRECT_ANNOUNCE_MS = 5_000
"""Time after its start during which a daemon announces itself directly to new
members; by its end, probes have reached every member of a small region."""

MAX_DIRECT_ANNOUNCES = 16
"""Maximum number of direct announcements for one received message; in a large fleet
the other members learn of the daemon from probes."""


def own_announcement(state):
    """Return a tuple of the message that announces this daemon.

    The tuple is empty if the provider lists the entry VMs.
    """
    if state.identity.lists_entries:
        return ()
    return (Announce((_own_record(state),), request_all=True),)


def _own_record(state):
    return _entry_record(state.identity, state.identity.vm, state.leaving)


def _entry_record(source, name, leaving):
    """Return the record of entry VM `name` from its identity or member row."""
    return VmRecord(
        name=name,
        incarnation=source.incarnation,
        role="entry",
        region=source.region,
        failure_domain=source.failure_domain,
        state="leaving" if leaving else "live",
        peer_address=source.peer_address,
        caller_address=source.caller_address,
    )


def take_announcements(state):
    """Return a tuple of the message that forwards recent announcements.

    The tuple is empty if there are none to forward.
    """
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
    """Apply announced entry VMs, and send all known ones if requested."""
    new_records = []
    for record in message.records:
        if record.name == state.identity.vm:
            continue
        if apply_announcement(state.members, record, now_ms):
            new_records.append(record)
            state.pending_announcements[record.name] = [record, 0]
            fields = {"source": sender, "incarnation": record.incarnation}
            state.emit(
                Log("membership", f"entry VM {record.name} announced", fields=fields)
            )
    if now_ms - state.started_ms <= DIRECT_ANNOUNCE_MS:
        _announce_to(state, [r for r in new_records if r.name != sender])
    if message.request_all:
        _send_all_records(state, sender)


def _announce_to(state, records):
    """Announce this daemon to the members in `records`.

    They can then direct callers and forward requests to this daemon at once instead
    of after the next probe.
    """
    message = Announce((_own_record(state),))
    for record in records[:MAX_DIRECT_ANNOUNCES]:
        state.emit(SendToPeer(record.name, record.peer_address, (message,)))


def _send_all_records(state, sender):
    records = [_own_record(state)]
    for row in state.members.rows.values():
        if row.name != sender and row.status != "dead":
            records.append(_entry_record(row, row.name, row.leaving))
    row = state.members.rows.get(sender)
    address = row.peer_address if row is not None else ""
    state.emit(SendToPeer(sender, address, (Announce(tuple(records)),)))
