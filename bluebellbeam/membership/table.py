"""The table of known entry VMs and their status."""

from typing import Literal

from msgspec import Struct

__all__ = [
    "alive_peers",
    "Member",
    "MemberTable",
    "StatusUpdate",
    "apply_announcement",
    "apply_update",
    "make_member_table",
    "record_contact",
    "responsive_peers",
    "update_listed",
    "usable_members",
]

_STATUS_RANK = {"alive": 0, "suspect": 1, "dead": 2}


class StatusUpdate(Struct, frozen=True, array_like=True):
    """Status of a VM, disseminated by gossip.

    Parameters
    ----------
    kind : {"m", "s"}
        Whether the VM is a member (an entry VM) or a backend server. The only
        status of a backend server is ``leaving``.
    name : str
    incarnation : int
        Start of the process in ms since 1970.
    refutation : int
        Number of times the process has refuted a status of suspect or dead. Of
        the updates of one incarnation, the one with the highest number prevails,
        and among those with the same number the one with the worst status.
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
        As in the newest :class:`StatusUpdate` of the VM; older ones are
        ignored.
    status : {"alive", "suspect", "dead"}
    leaving : bool
        Once set, it stays set for the same incarnation.
    listed : bool
        Whether the VM list contains it.
    heard_ms : int
        Time of the last message received from it.
    answered_ms : int
        Time of its last response to a message of this daemon, which shows
        that both directions work; 0 for none or after a failed delivery.
    suspected_since_ms : int
        Start of the latest suspicion.
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
    """Members by name, and the status updates still to be disseminated.

    Attributes
    ----------
    rows : dict of str to Member
    updates : dict of (str, str) to [StatusUpdate, int]
        Each update and the number of times it has been sent, by kind and name.
    generation : int
        Incremented whenever the set of usable members may have changed.
    """

    __slots__ = ("rows", "updates", "generation")

    def __init__(self):
        self.rows = {}
        self.updates = {}
        self.generation = 0


def make_member_table():
    """Return an empty table."""
    return MemberTable()


def queue_update(table, update):
    """Queue `update` for dissemination, replacing an older one of the same VM."""
    table.updates[(update.kind, update.name)] = [update, 0]


def update_listed(table, records, now_ms):
    """Apply the VM list to the table.

    The list lags behind gossip. It adds members, addresses and the leaving
    mark, and dead members that it no longer contains are removed, but it never
    overrides what a process has reported about itself.

    Parameters
    ----------
    table : MemberTable
    records : iterable of VmRecord
        All listed entry VMs.
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
    """Add or update the member announced by `record`.

    Returns
    -------
    bool
        Whether the table changed, so that the announcement is to be forwarded.
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


def record_contact(table, name, incarnation, now_ms, is_response):
    """Record a message from process `incarnation` of member `name`.

    Parameters
    ----------
    table : MemberTable
    name : str
    incarnation : int
    now_ms : int
    is_response : bool
        Whether it came in the response to a message of this daemon.

    Returns
    -------
    bool
        False if the message is of an older incarnation and must be ignored.
    """
    row = table.rows.get(name)
    if row is None:
        return True
    if incarnation < row.incarnation:
        return False
    if incarnation > row.incarnation:
        _begin_incarnation(table, row, incarnation)
    row.heard_ms = now_ms
    if is_response:
        row.answered_ms = now_ms
    if row.status != "alive":
        row.status = "alive"
        table.generation += 1
        alive = StatusUpdate("m", name, row.incarnation, row.refutation, "alive")
        queue_update(table, alive)
    return True


def apply_update(table, update, now_ms):
    """Apply a status update about a member.

    Returns
    -------
    bool
        Whether the status or leaving mark of the member changed. The update
        is then queued for dissemination.
    """
    row = table.rows.get(update.name)
    if row is None or update.incarnation < row.incarnation:
        return False
    if update.incarnation > row.incarnation:
        _begin_incarnation(table, row, update.incarnation)
    if update.status == "leaving":
        return _apply_leaving(table, row, update)
    if update.refutation < row.refutation:
        return False
    worse = _STATUS_RANK[update.status] > _STATUS_RANK[row.status]
    if update.refutation == row.refutation and not worse:
        return False
    row.refutation = update.refutation
    changed = update.status != row.status
    row.status = update.status
    if update.status == "suspect":
        row.suspected_since_ms = now_ms
    if changed:
        table.generation += 1
        queue_update(table, update)
    return changed


def usable_members(table, region=None, failure_domain=None):
    """Return the members that accept new requests, sorted by name.

    Suspected members are included: a suspicion alone does not shift load.
    """
    return [
        row
        for _, row in sorted(table.rows.items())
        if row.status != "dead"
        and not row.leaving
        and (region is None or row.region == region)
        and (failure_domain is None or row.failure_domain == failure_domain)
    ]


def alive_peers(table, own):
    """Return the usable members that are not suspected, without member `own`."""
    return [
        row
        for row in usable_members(table)
        if row.status == "alive" and row.name != own
    ]


def responsive_peers(table, own):
    """Return the members that are not suspected, leaving or not, without `own`."""
    return [
        row
        for _, row in sorted(table.rows.items())
        if row.status == "alive" and row.name != own
    ]


def _apply_leaving(table, row, update):
    if row.leaving:
        return False
    row.leaving = True
    table.generation += 1
    queue_update(table, update)
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
