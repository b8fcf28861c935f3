"""The table of entry VMs that a daemon knows and what it believes of each."""

from typing import Literal

from msgspec import Struct

__all__ = [
    "Member",
    "MemberTable",
    "StatusUpdate",
    "apply_update",
    "apply_announcement",
    "make_member_table",
    "record_contact",
    "update_listed",
    "usable_members",
]

_RANK = {"alive": 0, "suspect": 1, "dead": 2}


class StatusUpdate(Struct, frozen=True, array_like=True):
    """What one daemon passes on about a VM.

    Parameters
    ----------
    kind : {"m", "s"}
        Member, or backend server that is leaving.
    name : str
    incarnation : int
        Start of the process in ms since 1970.
    refutation : int
        Times the process has contradicted a suspicion.
    status : {"alive", "suspect", "dead", "leaving"}
    """

    kind: Literal["m", "s"]
    name: str
    incarnation: int
    refutation: int
    status: Literal["alive", "suspect", "dead", "leaving"]


class Member:
    """One entry VM.

    Attributes
    ----------
    name, region, failure_domain : str
    peer_address, caller_address : str
    incarnation, refutation : int
        Order of what is said about the VM.
    status : {"alive", "suspect", "dead"}
    leaving : bool
        Never taken back for the same incarnation.
    listed : bool
        Whether the VM list shows it.
    heard_ms : int
        Last message received from it.
    answered_ms : int
        Last time it answered a message of ours: evidence of both directions.
    suspected_since_ms : int
        When the suspicion began.
    """

    __slots__ = (
        "name",
        "region",
        "failure_domain",
        "peer_address",
        "caller_address",
        "incarnation",
        "refutation",
        "status",
        "leaving",
        "listed",
        "heard_ms",
        "answered_ms",
        "suspected_since_ms",
    )

    def __init__(self, name, region, failure_domain, peer_address, caller_address):
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.peer_address = peer_address
        self.caller_address = caller_address
        self.incarnation = 0
        self.refutation = 0
        self.status = "alive"
        self.leaving = False
        self.listed = False
        self.heard_ms = 0
        self.answered_ms = 0
        self.suspected_since_ms = 0


class MemberTable:
    """Members by name, and the rumors still to be passed on.

    Attributes
    ----------
    rows : dict of str to Member
    updates : dict of (str, str) to [Rumor, int]
        Rumor and how often it has been sent, by kind and name.
    generation : int
        Grows whenever the set of usable members may have changed.
    """

    __slots__ = ("rows", "updates", "generation")

    def __init__(self):
        self.rows = {}
        self.updates = {}
        self.generation = 0


def make_member_table():
    """Return an empty table."""
    return MemberTable()


def queue_update(table, rumor):
    """Queue `rumor` for the next messages, in place of an older one."""
    table.updates[(rumor.kind, rumor.name)] = [rumor, 0]


def update_listed(table, records, now_ms):
    """Take the entry VMs shown by the VM list into the table.

    Parameters
    ----------
    table : MemberTable
    records : iterable of VmRecord
        Every listed entry VM. The list lags: it adds rows and addresses, and
        a leaving mark, but it never contradicts what a process said itself.
    now_ms : int
    """
    seen = set()
    for record in records:
        seen.add(record.name)
        row = table.rows.get(record.name) or _add_member(table, record, now_ms)
        row.listed = True
        row.peer_address = record.peer_address
        row.caller_address = record.caller_address
        if record.state == "leaving" and not row.leaving:
            row.leaving = True
            table.generation += 1
    for name, row in list(table.rows.items()):
        if name in seen:
            continue
        row.listed = False
        if row.status == "dead":
            del table.rows[name]
            table.generation += 1


def apply_announcement(table, record, now_ms):
    """Take in an entry VM that a peer or the VM itself tells of.

    Returns
    -------
    bool
        Whether it was news, to be passed on.
    """
    row = table.rows.get(record.name)
    if row is not None and record.incarnation < row.incarnation:
        return False
    if row is None:
        row = _add_member(table, record, now_ms)
    elif _is_same_process(row, record):
        return False
    row.peer_address = record.peer_address
    row.caller_address = record.caller_address
    if record.incarnation > row.incarnation:
        _begin_incarnation(table, row, record.incarnation)
    row.leaving = row.leaving or record.state == "leaving"
    table.generation += 1
    return True


def record_contact(table, name, incarnation, now_ms, answered):
    """Record direct evidence that process `incarnation` of `name` runs.

    Returns
    -------
    bool
        False when the message is of an older incarnation and must be ignored.
    """
    row = table.rows.get(name)
    if row is None:
        return True
    if incarnation < row.incarnation:
        return False
    if incarnation > row.incarnation:
        _begin_incarnation(table, row, incarnation)
    row.heard_ms = now_ms
    if answered:
        row.answered_ms = now_ms
    if row.status != "alive":
        row.status = "alive"
        table.generation += 1
        alive = StatusUpdate("m", name, row.incarnation, row.refutation, "alive")
        queue_update(table, alive)
    return True


def apply_update(table, rumor, now_ms):
    """Apply what a peer says of a member.

    Returns
    -------
    bool
        Whether it was news, to be passed on.
    """
    row = table.rows.get(rumor.name)
    if row is None or rumor.incarnation < row.incarnation:
        return False
    if rumor.incarnation > row.incarnation:
        _begin_incarnation(table, row, rumor.incarnation)
    if rumor.status == "leaving":
        return _apply_leaving(table, row, rumor)
    if rumor.refutation < row.refutation:
        return False
    worse = _RANK[rumor.status] > _RANK[row.status]
    if rumor.refutation == row.refutation and not worse:
        return False
    row.refutation = rumor.refutation
    changed = rumor.status != row.status
    row.status = rumor.status
    if rumor.status == "suspect":
        row.suspected_since_ms = now_ms
    if changed:
        table.generation += 1
        queue_update(table, rumor)
    return changed


def usable_members(table, region=None, failure_domain=None):
    """Return members that take new work, sorted by name.

    Suspected members still count: a suspicion alone moves no work.
    """
    return [
        row
        for _, row in sorted(table.rows.items())
        if row.status != "dead"
        and not row.leaving
        and (region is None or row.region == region)
        and (failure_domain is None or row.failure_domain == failure_domain)
    ]


def _apply_leaving(table, row, rumor):
    if row.leaving:
        return False
    row.leaving = True
    table.generation += 1
    queue_update(table, rumor)
    return True


def _add_member(table, record, now_ms):
    row = Member(
        record.name,
        record.region,
        record.failure_domain,
        record.peer_address,
        record.caller_address,
    )
    row.heard_ms = now_ms
    table.rows[record.name] = row
    table.generation += 1
    return row


def _is_same_process(row, record):
    same_address = row.peer_address == record.peer_address
    return record.incarnation == row.incarnation and same_address


def _begin_incarnation(table, row, incarnation):
    row.incarnation = incarnation
    row.refutation = 0
    row.leaving = False
    row.status = "alive"
    table.generation += 1
