"""Capacity that a daemon lends to daemons of other regions, as short leases.

A process grants leases out of its own share of the region's free slots. A lease
ends with the process that granted it and expires without a message, so a borrower
with outdated information about the region never uses more slots than were granted.
"""

from msgspec import Struct

__all__ = [
    "GrantedLease",
    "LenderTable",
    "expire_granted_leases",
    "find_granted_lease",
    "grant_lease",
    "leased_slots",
    "make_lender_table",
]

RESERVE_SHARE = 0.1
"""Share of the slots of a pool that is reserved for the region's own callers."""

EXPIRY_GRACE_MS = 1000
"""Time after the expiry of a lease during which requests sent before the expiry are
still accepted."""


class GrantedLease(Struct):
    """A lease of slots granted to a borrower.

    Parameters
    ----------
    lease_id, borrower, pool, workspace : str
        The lease, the daemon that borrows, and the pool and workspace that the
        lease is for.
    slots : int
        Slots granted.
    used : int
        Requests running under the lease.
    expires_ms : int
        Time at which the lease expires.
    """

    lease_id: str
    borrower: str
    pool: str
    workspace: str
    slots: int
    used: int
    expires_ms: int


class LenderTable:
    """Granted leases and the time of the last lease request of each workspace.

    Attributes
    ----------
    rows : dict of str to GrantedLease
        Granted leases by id.
    last_request_ms : dict of str to dict of str to int
        Time of the last lease request in ms, by pool and workspace.
    granted, refused : int
        Number of lease requests granted and refused.
    """

    __slots__ = ("rows", "last_request_ms", "granted", "refused")

    def __init__(self):
        self.rows = {}
        self.last_request_ms = {}
        self.granted = 0
        self.refused = 0


def make_lender_table():
    """Return an empty table."""
    return LenderTable()


def grant_lease(table, lease_id, lease_request, spare, now_ms, lease_ms):
    """Grant a lease out of `spare` slots, shared equally between workspaces.

    The share counts every workspace that has requested a lease of the pool within
    the last two lease durations.

    Parameters
    ----------
    table : LenderTable
    lease_id : str
    lease_request : LeaseRequest
        Borrower, pool, workspace and number of slots.
    spare : float
        Free slots of this daemon that are neither leased nor reserved.
    now_ms : int
    lease_ms : int
        Duration of a lease.

    Returns
    -------
    GrantedLease or None
        None when less than one slot can be granted.
    """
    last_request_ms = table.last_request_ms.setdefault(lease_request.pool, {})
    last_request_ms[lease_request.workspace] = now_ms
    for name in [n for n, at in last_request_ms.items() if now_ms - at > 2 * lease_ms]:
        del last_request_ms[name]
    held = sum(
        lease.slots
        for lease in table.rows.values()
        if lease.pool == lease_request.pool
        and lease.workspace == lease_request.workspace
    )
    total = spare + leased_slots(table, lease_request.pool)
    fair = max(1, round(total / len(last_request_ms)))
    slots = min(lease_request.slots, round(spare), fair - held)
    if slots < 1:
        table.refused += 1
        return None
    lease = GrantedLease(
        lease_id,
        lease_request.borrower,
        lease_request.pool,
        lease_request.workspace,
        slots,
        0,
        now_ms + lease_ms,
    )
    table.rows[lease_id] = lease
    table.granted += 1
    return lease


def leased_slots(table, pool):
    """Return the slots of `pool` that are granted but not in use."""
    return sum(
        max(0, lease.slots - lease.used)
        for lease in table.rows.values()
        if lease.pool == pool
    )


def find_granted_lease(table, lease_id, pool, workspace, now_ms):
    """Return lease `lease_id` if it allows one more request, else None."""
    lease = table.rows.get(lease_id)
    if lease is None or lease.pool != pool or lease.workspace != workspace:
        return None
    if now_ms > lease.expires_ms + EXPIRY_GRACE_MS or lease.used >= lease.slots:
        return None
    return lease


def expire_granted_leases(table, now_ms):
    """Remove expired leases, even when requests still run under them."""
    ended = [
        lease_id
        for lease_id, lease in table.rows.items()
        if now_ms > lease.expires_ms + EXPIRY_GRACE_MS
    ]
    for lease_id in ended:
        del table.rows[lease_id]
