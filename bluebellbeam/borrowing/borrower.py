"""Capacity that a daemon borrows from daemons of other regions."""

from msgspec import Struct

__all__ = [
    "MIN_SPARE_SLOTS",
    "BorrowerTable",
    "HeldLease",
    "CapacityOffer",
    "best_offer",
    "drop_lender",
    "expire_held_leases",
    "find_held_lease",
    "make_borrower_table",
    "note_offers",
    "borrowed_slots",
]

OFFER_STALE_MS = 12_000
"""Age at which an offer is no longer believed."""

MIN_SPARE_SLOTS = 0.5
"""Spare slots at which a lender is asked; half a slot is rounded up."""

EXPIRY_MARGIN_MS = 200
"""A lease is used up to this long before its end, to arrive in time."""


class CapacityOffer(Struct):
    """What a lender last said it could spare of one pool.

    Parameters
    ----------
    lender, region, pool : str
    spare : float
        Free slots.
    wait_ms : float
        Wait that the lender expects for its own callers.
    heard_ms : int
    """

    lender: str
    region: str
    pool: str
    spare: float
    wait_ms: float
    heard_ms: int


class HeldLease(Struct):
    """Slots that a lender has promised to this daemon.

    Parameters
    ----------
    lease_id, lender, region, pool, workspace : str
    slots, used : int
    expires_ms : int
    """

    lease_id: str
    lender: str
    region: str
    pool: str
    workspace: str
    slots: int
    used: int
    expires_ms: int


class BorrowerTable:
    """Offers heard, leases held and requests for leases without an answer.

    Attributes
    ----------
    offers : dict of (str, str) to CapacityOffer
        By lender and pool.
    rows : dict of str to HeldLease
    requested_ms : dict of (str, str) to int
        Last lease request, by pool and workspace.
    refused_until_ms : dict of (str, str) to int
        By lender and pool.
    last_borrow_ms : dict of (str, str) to int
        Since when a pool and workspace borrow, for hysteresis.
    switches : int
        Times that a workspace began or ended to borrow.
    """

    __slots__ = (
        "offers",
        "rows",
        "requested_ms",
        "refused_until_ms",
        "last_borrow_ms",
        "switches",
        "forwarded_requests",
    )

    def __init__(self):
        self.offers = {}
        self.rows = {}
        self.requested_ms = {}
        self.refused_until_ms = {}
        self.last_borrow_ms = {}
        self.switches = 0
        self.forwarded_requests = {}


def make_borrower_table():
    """Return an empty table."""
    return BorrowerTable()


def note_offers(table, lender, region, offers, now_ms):
    """Take the offers of a lender, in place of what it said before."""
    for key in [key for key in table.offers if key[0] == lender]:
        if key[1] not in offers:
            del table.offers[key]
    for pool, (spare, wait_ms) in offers.items():
        note_offer(table, lender, region, pool, spare, wait_ms, now_ms)


def note_offer(table, lender, region, pool, spare, wait_ms, now_ms):
    """Take what a lender has said of one pool."""
    offer = CapacityOffer(lender, region, pool, spare, wait_ms, now_ms)
    table.offers[(lender, pool)] = offer


def fresh_offers(table, pool, allowed, now_ms):
    """Return believable offers for `pool` in the `allowed` regions."""
    return [
        offer
        for offer in table.offers.values()
        if offer.pool == pool
        and offer.region in allowed
        and now_ms - offer.heard_ms <= OFFER_STALE_MS
    ]


def usable_offers(table, pool, allowed, now_ms):
    """Return the fresh offers of lenders that have not just refused."""
    return [
        offer
        for offer in fresh_offers(table, pool, allowed, now_ms)
        if offer.spare >= MIN_SPARE_SLOTS
        and table.refused_until_ms.get((offer.lender, pool), 0) <= now_ms
    ]


def best_offer(offers, score):
    """Return ``(score, offer)`` of the lowest score, or None.

    Parameters
    ----------
    offers : list of CapacityOffer
    score : callable
        Returns the score of an offer in ms.
    """
    scored = [(score(offer), offer.lender, offer) for offer in offers]
    if not scored:
        return None
    value, _, offer = min(scored, key=lambda item: item[:2])
    return value, offer


def find_held_lease(table, pool, workspace, allowed, now_ms):
    """Return a held lease with a free slot in an allowed region, or None."""
    for lease in table.rows.values():
        if (
            lease.pool == pool
            and lease.workspace == workspace
            and lease.region in allowed
            and lease.used < lease.slots
            and now_ms < lease.expires_ms - EXPIRY_MARGIN_MS
        ):
            return lease
    return None


def borrowed_slots(table, pool, workspace):
    """Return the slots that `workspace` holds or runs on in other regions."""
    held = sum(
        max(0, lease.slots - lease.used)
        for lease in table.rows.values()
        if lease.workspace == workspace and lease.pool == pool
    )
    return held + table.forwarded_requests.get((pool, workspace), 0)


def count_forwarded(table, pool, workspace, change):
    """Count a forwarded request that began (+1) or ended (-1)."""
    key = (pool, workspace)
    count = table.forwarded_requests.get(key, 0) + change
    if count > 0:
        table.forwarded_requests[key] = count
    else:
        table.forwarded_requests.pop(key, None)


def expire_held_leases(table, now_ms):
    """Forget leases that have ended."""
    ended = [k for k, lease in table.rows.items() if now_ms >= lease.expires_ms]
    for lease_id in ended:
        del table.rows[lease_id]


def drop_lender(table, lender):
    """Forget what a lender that cannot be reached has promised."""
    for lease_id in [k for k, v in table.rows.items() if v.lender == lender]:
        del table.rows[lease_id]
    for key in [key for key in table.offers if key[0] == lender]:
        del table.offers[key]
