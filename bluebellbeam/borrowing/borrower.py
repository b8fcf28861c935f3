"""Capacity that a daemon borrows from daemons of other regions."""

from msgspec import Struct

__all__ = [
    "MIN_SPARE_SLOTS",
    "BorrowerTable",
    "CapacityOffer",
    "HeldLease",
    "best_offer",
    "borrowed_slots",
    "count_shortages",
    "drop_lender",
    "expire_held_leases",
    "find_held_lease",
    "make_borrower_table",
    "record_shortage",
    "replace_offers",
]

OFFER_STALE_MS = 12_000
"""Age from which an offer is ignored."""

MIN_SPARE_SLOTS = 0.5
"""Fewest spare slots with which a pool is offered and a lease is requested; half a
slot is rounded up."""

EXPIRY_MARGIN_MS = 200
"""Time before the expiry of a lease from which no request is sent under it, so that
a request arrives before the lender ends it."""


MAX_SHORTAGES = 1000
"""Largest number of refusals that are kept of a lender for one pool."""


class CapacityOffer(Struct):
    """The latest offer of a lender for one pool.

    Parameters
    ----------
    lender, region, pool : str
        Daemon that lends, its region and the pool offered.
    spare : float
        Number of slots that the lender can lend.
    wait_ms : float
        Queueing delay that the lender expects in this pool.
    heard_ms : int
        Time at which the offer was received.
    """

    lender: str
    region: str
    pool: str
    spare: float
    wait_ms: float
    heard_ms: int


class HeldLease(Struct):
    """A lease of slots that a lender has granted to this daemon.

    Parameters
    ----------
    lease_id, lender, region, pool, workspace : str
        The lease, the daemon that granted it, its region, and the pool and
        workspace that the lease is for.
    slots, used : int
        Slots granted, and requests in flight under the lease.
    expires_ms : int
        Time at which the lease expires.
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
    """Offers received, leases held and lease requests sent by this daemon.

    Attributes
    ----------
    offers : dict of (str, str) to CapacityOffer
        Latest offer by lender and pool.
    rows : dict of str to HeldLease
        Held leases by id.
    requested_ms : dict of (str, str) to int
        Time of the last lease request, by pool and workspace.
    refused_until_ms : dict of (str, str) to int
        Time until which no lease is requested after a refusal, by lender and pool.
    unable_until_ms : dict of (str, str) to int
        The same for refusals of a lender that could not serve any such request.
    shortages_ms : dict of (str, str) to list of int
        Times until which refusals for want of room count, by lender and pool.
    last_borrow_ms : dict of (str, str) to int
        Time of the last lease request, by pool and workspace, of those that borrow
        now. They stop at another threshold than that at which they started
        (hysteresis).
    switches : int
        Number of times that a workspace started or stopped borrowing in a pool.
    forwarded_requests : dict of (str, str) to int
        Requests in flight in other regions, by pool and workspace.
    """

    __slots__ = (
        "offers",
        "rows",
        "requested_ms",
        "refused_until_ms",
        "unable_until_ms",
        "shortages_ms",
        "last_borrow_ms",
        "switches",
        "forwarded_requests",
    )

    def __init__(self):
        self.offers = {}
        self.rows = {}
        self.requested_ms = {}
        self.refused_until_ms = {}
        self.unable_until_ms = {}
        self.shortages_ms = {}
        self.last_borrow_ms = {}
        self.switches = 0
        self.forwarded_requests = {}


def make_borrower_table():
    """Return an empty table."""
    return BorrowerTable()


def replace_offers(table, lender, region, offers, now_ms):
    """Replace all offers of a lender by `offers`.

    Parameters
    ----------
    table : BorrowerTable
    lender, region : str
        Daemon that lends and its region.
    offers : dict of str to (float, float)
        Spare slots and expected queueing delay in ms, by pool.
    now_ms : int
    """
    for key in [key for key in table.offers if key[0] == lender]:
        if key[1] not in offers:
            del table.offers[key]
    for pool, (spare, wait_ms) in offers.items():
        record_offer(table, lender, region, pool, spare, wait_ms, now_ms)


def record_offer(table, lender, region, pool, spare, wait_ms, now_ms):
    """Record the offer of a lender for one pool; see :class:`CapacityOffer`."""
    offer = CapacityOffer(lender, region, pool, spare, wait_ms, now_ms)
    table.offers[(lender, pool)] = offer


def fresh_offers(table, pool, allowed, now_ms):
    """Return the offers for `pool` in `allowed` regions that are not stale."""
    return [
        offer
        for offer in table.offers.values()
        if offer.pool == pool
        and offer.region in allowed
        and now_ms - offer.heard_ms <= OFFER_STALE_MS
    ]


def usable_offers(table, pool, allowed, now_ms):
    """Return the fresh offers with spare slots whose lender has not refused lately."""
    return [
        offer
        for offer in fresh_offers(table, pool, allowed, now_ms)
        if offer.spare >= MIN_SPARE_SLOTS
        and table.refused_until_ms.get((offer.lender, pool), 0) <= now_ms
    ]


def best_offer(offers, score):
    """Return ``(score, offer)`` of the offer with the lowest score, or None.

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
    """Return a held lease with an unused slot in an allowed region, or None."""
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
    """Return the slots of `pool` that `workspace` holds or uses in other regions."""
    held = sum(
        max(0, lease.slots - lease.used)
        for lease in table.rows.values()
        if lease.workspace == workspace and lease.pool == pool
    )
    return held + table.forwarded_requests.get((pool, workspace), 0)


def count_forwarded(table, pool, workspace, change):
    """Count the start (`change` is 1) or end (-1) of a forwarded request."""
    key = (pool, workspace)
    count = table.forwarded_requests.get(key, 0) + change
    if count > 0:
        table.forwarded_requests[key] = count
    else:
        table.forwarded_requests.pop(key, None)


def expire_held_leases(table, now_ms):
    """Remove held leases that have expired."""
    ended = [k for k, lease in table.rows.items() if now_ms >= lease.expires_ms]
    for lease_id in ended:
        del table.rows[lease_id]


def record_shortage(table, lender, pool, until_ms):
    """Count a refusal for want of room until the time `until_ms`."""
    times = table.shortages_ms.setdefault((lender, pool), [])
    times.append(until_ms)
    del times[:-MAX_SHORTAGES]


def count_shortages(table, lender, pool, now_ms):
    """Return the number of recent refusals of a lender for want of room in `pool`."""
    key = (lender, pool)
    times = [
        until_ms for until_ms in table.shortages_ms.get(key, ()) if until_ms > now_ms
    ]
    if times:
        table.shortages_ms[key] = times
    else:
        table.shortages_ms.pop(key, None)
    return len(times)


def drop_lender(table, lender):
    """Remove the leases and offers of a lender that cannot be reached."""
    for lease_id in [k for k, v in table.rows.items() if v.lender == lender]:
        del table.rows[lease_id]
    for key in [key for key in table.offers if key[0] == lender]:
        del table.offers[key]
