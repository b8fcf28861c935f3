"""Discovery of entry VMs by announcements, for providers that do not list them.

A daemon that starts announces itself to its seed peers and receives the
records of all members they know. New records are forwarded with probes, at most a
number of times that grows with the logarithm of the number of members, and until a
peer is found that knows the same members [1]_. Probes carry a digest of the members
that their sender knows; a daemon whose digest differs pulls the records that it lacks.

References
----------
.. [1] Demers et al., "Epidemic algorithms for replicated database maintenance",
   PODC 1987: rumor mongering with feedback, backed by anti-entropy.
"""

import math

from bluebellbeam.membership import apply_announcement
from bluebellbeam.node.command import Log, SendToPeer
from bluebellbeam.node.message import Announce, MemberPull
from bluebellbeam.node.peer_send import send_to_member
from bluebellbeam.provider.records import VmRecord
from bluebellbeam.utils.hashing import hash_text

__all__ = [
    "handle_announce",
    "handle_member_pull",
    "member_digest",
    "own_announcement",
    "reconcile_members",
    "take_announcements",
]

RECORDS_PER_MESSAGE = 8
"""Maximum number of records forwarded with one probe, which bounds its size."""


DIRECT_ANNOUNCE_MS = 5_000
"""Time after its start during which a daemon announces itself directly to new
members; by its end, probes have reached every member of a small region."""

MAX_DIRECT_ANNOUNCES = 16
"""Maximum number of direct announcements of one process; in a large fleet the other
members learn of the daemon from probes."""

MEMBER_PULL_INTERVAL_MS = 1_000
"""Minimum time between two pulls of member records, from the same or different
peers."""

HASH_MASK = (1 << 32) - 1
"""Keeps hashes of members short. A collision hides one member from one pull; the
digest differs again once another member starts."""


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
            # The sender of many records has gathered them, so they are not news.
            if len(message.records) <= RECORDS_PER_MESSAGE:
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
    """Announce this daemon to the members in `records`, those of its region first.

    They can then direct callers and forward requests to this daemon at once instead
    of after the next probe.
    """
    message = Announce((_own_record(state),))
    records = sorted(records, key=lambda record: record.region != state.region)
    for record in records[: state.direct_announces_left]:
        state.emit(SendToPeer(record.name, record.peer_address, (message,)))
        state.direct_announces_left -= 1


def member_digest(state):
    """Return a hash of the members known, or 0 if the provider lists them."""
    if state.identity.lists_entries:
        return 0
    return state.cached(
        "member digest", state.members.generation, lambda: _digest(state)
    )


def _digest(state):
    digest = _member_hash(state.identity.vm, state.identity.incarnation)
    for row in state.members.rows.values():
        if row.status != "dead":
            digest ^= _member_hash(row.name, row.incarnation)
    return digest or 1


def _member_hash(name, incarnation):
    return hash_text(f"{name}\x00{incarnation}") & HASH_MASK


def reconcile_members(state, sender, digest, now_ms):
    """Pull the members that `sender` may know in addition, if its digest differs.

    If it is the same, announcements are not forwarded any longer.
    """
    own = member_digest(state)
    if not digest or not own:
        return
    if digest == own:
        state.pending_announcements.clear()
        return
    if now_ms - state.members_pulled_ms < MEMBER_PULL_INTERVAL_MS:
        return
    state.members_pulled_ms = now_ms
    rows = state.members.rows.values()
    known = [_member_hash(row.name, row.incarnation) for row in rows]
    known.append(_member_hash(state.identity.vm, state.identity.incarnation))
    send_to_member(state, sender, (MemberPull(tuple(known)),))


def handle_member_pull(state, sender, message):
    """Send `sender` the records of the members that it does not know."""
    known = set(message.known)
    records = [
        record
        for record in _all_records(state, sender)
        if _member_hash(record.name, record.incarnation) not in known
    ]
    if records:
        send_to_member(state, sender, (Announce(tuple(records)),))


def _send_all_records(state, sender):
    records = tuple(_all_records(state, sender))
    send_to_member(state, sender, (Announce(records),))


def _all_records(state, recipient):
    """Return the records of this daemon and of all live members but `recipient`."""
    records = [_own_record(state)]
    for row in state.members.rows.values():
        if row.name != recipient and row.status != "dead":
            records.append(_entry_record(row, row.name, row.leaving))
    return records
