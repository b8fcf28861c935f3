"""Leases of capacity between regions: the lender's and the borrower's side."""

from bluebellbeam.borrowing.borrower import (
    BorrowerTable,
    HeldLease,
    RegionOffer,
    best_offer,
    drop_lender,
    expire_held,
    find_held,
    fresh_offers,
    make_borrower_table,
    note_offers,
    note_running,
    used_slots,
)
from bluebellbeam.borrowing.lender import (
    RESERVE_SHARE,
    GrantedLease,
    LenderTable,
    expire_granted,
    find_granted,
    grant_lease,
    leased_slots,
    make_lender_table,
)

__all__ = [
    "RESERVE_SHARE",
    "BorrowerTable",
    "GrantedLease",
    "HeldLease",
    "LenderTable",
    "RegionOffer",
    "best_offer",
    "drop_lender",
    "expire_granted",
    "expire_held",
    "find_granted",
    "find_held",
    "fresh_offers",
    "grant_lease",
    "leased_slots",
    "make_borrower_table",
    "make_lender_table",
    "note_offers",
    "note_running",
    "used_slots",
]
