"""Services whose servers end when they have to refuse too many requests.

Such a server states how many requests it may refuse in a second. To keep below that,
each daemon of the region uses an equal part of its slots and sends nothing that would
have to wait there: daemons learn of each other's requests too late to share the slots
by need. With more daemons than slots, some of them send nothing to a server, chosen by
rendezvous hash.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = [
    "BrittleService",
    "has_brittle_room",
    "is_brittle",
    "merge_brittle",
    "record_brittle",
]

BRITTLE_TTL_MS = 10_000
"""Time after its last statement for which a service counts as brittle if none of its
servers has responded without one."""

MERGE_MARGIN_MS = 500
"""What another daemon reports is newer only beyond this margin, since the time of a
message shifts what it reports."""


class BrittleService:
    """What is known about the brittleness of a service.

    Attributes
    ----------
    refusals_per_s : float
        Refusals per second that one of its servers bears.
    stated_ms : int
        Time of the last statement.
    ended_ms : int
        Time at which a response without one was requested; 0 if there was none since
        `stated_ms`.
    """

    __slots__ = ("refusals_per_s", "stated_ms", "ended_ms")

    def __init__(self):
        self.refusals_per_s = 0.0
        self.stated_ms = 0
        self.ended_ms = 0


def record_brittle(table, service, refusals_per_s, sent_ms, now_ms):
    """Record what a response of a server of `service` states.

    Parameters
    ----------
    table : dict of str to BrittleService
    service : str
    refusals_per_s : float or None
        None if the response states nothing.
    sent_ms : int
        Time at which the request was sent.
    now_ms : int

    Returns
    -------
    bool
        Whether the service has become brittle or sound by it.
    """
    before = is_brittle(table, service, now_ms)
    row = table.get(service)
    if refusals_per_s is None:
        if before and sent_ms > row.stated_ms:
            row.ended_ms = sent_ms
    else:
        if row is None:
            row = table[service] = BrittleService()
        row.refusals_per_s = refusals_per_s
        row.stated_ms = now_ms
        row.ended_ms = 0
    return is_brittle(table, service, now_ms) != before


def merge_brittle(table, service, refusals_per_s, stated_ms, now_ms):
    """Record what another daemon knows; return whether the service became brittle."""
    before = is_brittle(table, service, now_ms)
    row = table.get(service)
    known_ms = max(row.stated_ms, row.ended_ms) if row is not None else 0
    if row is not None and stated_ms <= known_ms + MERGE_MARGIN_MS:
        return False
    if row is None:
        row = table[service] = BrittleService()
    row.refusals_per_s = refusals_per_s
    row.stated_ms = stated_ms
    row.ended_ms = 0
    return is_brittle(table, service, now_ms) != before


def is_brittle(table, service, now_ms):
    """Return whether the servers of `service` are brittle."""
    row = table.get(service)
    if row is None or row.ended_ms:
        return False
    return now_ms - row.stated_ms < BRITTLE_TTL_MS


def has_brittle_room(state, replica):
    """Return whether this daemon may send another request to a brittle server.

    Parameters
    ----------
    state : NodeState
    replica : Replica
    """
    if replica.free_slots() < 1.0:
        return False
    return replica.inflight < _own_slots(state, replica)


def _own_slots(state, replica):
    """Return the slots of a server that this daemon may use."""
    members = state.region_members()
    if replica.slots >= len(members):
        return replica.slots // len(members)
    key = (state.members.generation, replica.slots)
    senders = state.cached(
        ("brittle senders", replica.name),
        key,
        lambda: frozenset(
            rendezvous_order(f"brittle:{replica.name}", members)[: replica.slots]
        ),
    )
    return 1 if state.identity.vm in senders else 0
