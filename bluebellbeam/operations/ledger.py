"""Operation ids and records that give non-idempotent calls at-most-once execution.

An operation id is issued by the process that will send the call. It contains the
VM, the incarnation of the process and an expiry time, and is authenticated with a
key that only this process has. No other process accepts the id, and this one sends
the call at most once.
"""

import hashlib
import hmac

from msgspec import Struct

__all__ = [
    "Busy",
    "Claimed",
    "Expired",
    "Foreign",
    "Invalid",
    "Ledger",
    "LedgerFull",
    "Operation",
    "Recorded",
    "claim_operation",
    "expire_operations",
    "issue_operation",
    "make_ledger",
    "mark_not_run",
    "mark_sent",
    "may_have_run",
    "record_outcome",
    "release_operation",
]

_MAC_CHARACTERS = 32
RECORD_RETENTION_MS = 60_000
"""Time after the expiry of an operation id for which its record is kept."""

MAX_RECORDED_RESPONSE_BYTES = 64 * 1024
"""Largest response that is stored for a repeated call."""


class Claimed(Struct, frozen=True):
    """The operation has not been sent and is now claimed by this request."""


class Recorded(Struct, frozen=True):
    """The operation has ended.

    Parameters
    ----------
    outcome : {"ran", "unknown"}
    answer : object or None
        Stored response; None if there was none or it was too large.
    """

    outcome: str
    answer: object


class Busy(Struct, frozen=True):
    """Another request with the same operation id is queued or running."""


class Foreign(Struct, frozen=True):
    """The id was issued by another process; whether the operation ran is unknown."""


class Expired(Struct, frozen=True):
    """The id has expired.

    Parameters
    ----------
    not_run : bool
        Whether it is certain that the operation was never sent.
    """

    not_run: bool


class Invalid(Struct, frozen=True):
    """The id is malformed, altered or was issued for another workspace or call."""


class LedgerFull(Struct, frozen=True):
    """The ledger already has its maximum number of records."""


class Operation:
    """The record of a claimed operation id.

    Attributes
    ----------
    state : {"claimed", "sent", "ran", "unknown", "released"}
        ``claimed`` while queued, ``sent`` once it may run, ``ran`` or ``unknown``
        at its end, ``released`` when it certainly did not run.
    fingerprint : int
        Hash of the call; a repeat with another hash is refused.
    expiry_ms : int
        Time after which the id can no longer be claimed.
    response : object or None
        Response stored for a repeat.
    """

    __slots__ = ("state", "fingerprint", "expiry_ms", "response")

    def __init__(self, fingerprint, expiry_ms):
        self.state = "claimed"
        self.fingerprint = fingerprint
        self.expiry_ms = expiry_ms
        self.response = None


class Ledger:
    """Operations issued and recorded by one process.

    Attributes
    ----------
    vm, incarnation : str, int
        Identity of the process.
    rows : dict of str to Operation
        Records of claimed operations by id.
    issued : int
        Number of ids issued.
    max_rows : int
        Largest number of records.
    """

    __slots__ = ("vm", "incarnation", "rows", "issued", "max_rows", "_key")

    def __init__(self, vm, incarnation, key, max_rows):
        self.vm = vm
        self.incarnation = incarnation
        self.rows = {}
        self.issued = 0
        self.max_rows = max_rows
        self._key = key

    def sign(self, text):
        """Return the message authentication code (MAC) of `text`."""
        digest = hmac.new(self._key, text.encode(), hashlib.sha256)
        return digest.hexdigest()[:_MAC_CHARACTERS]


def make_ledger(vm, incarnation, key, max_rows):
    """Return an empty ledger.

    Parameters
    ----------
    vm : str
    incarnation : int
    key : bytes
        Random secret known only to this process.
    max_rows : int
        Largest number of records.
    """
    return Ledger(vm, incarnation, key, max_rows)


def issue_operation(ledger, workspace, now_ms, ttl_ms):
    """Return a new operation id for `workspace`, valid for `ttl_ms`."""
    ledger.issued += 1
    head = f"{ledger.vm}.{ledger.incarnation}.{ledger.issued}.{now_ms + ttl_ms}"
    return f"{head}.{ledger.sign(f'{head}|{workspace}')}"


def claim_operation(ledger, op_id, workspace, fingerprint, now_ms):
    """Claim operation `op_id` for a request that is about to be queued.

    Parameters
    ----------
    ledger : Ledger
    op_id : str
    workspace : str
        Workspace of the request; part of what the id authenticates.
    fingerprint : int
        Hash of the call.
    now_ms : int

    Returns
    -------
    Claimed, Recorded, Busy, Foreign, Expired, Invalid or LedgerFull
        The request may be queued only with `Claimed`.
    """
    fields = op_id.rsplit(".", 4)
    if len(fields) != 5:
        return Invalid()
    vm, incarnation, _, expiry, mac = fields
    if vm != ledger.vm or incarnation != str(ledger.incarnation):
        return Foreign()
    head = op_id[: -len(mac) - 1]
    expected = ledger.sign(f"{head}|{workspace}")
    if not mac.isascii() or not hmac.compare_digest(mac, expected):
        return Invalid()
    expiry_ms = int(expiry)
    operation = ledger.rows.get(op_id)
    if operation is not None:
        return _claim_again(operation, fingerprint, now_ms)
    if now_ms > expiry_ms:
        return Expired(not_run=now_ms <= expiry_ms + RECORD_RETENTION_MS)
    if len(ledger.rows) >= ledger.max_rows:
        return LedgerFull()
    ledger.rows[op_id] = Operation(fingerprint, expiry_ms)
    return Claimed()


def _claim_again(operation, fingerprint, now_ms):
    if operation.fingerprint != fingerprint:
        return Invalid()
    match operation.state:
        case "claimed" | "sent":
            return Busy()
        case "released":
            if now_ms > operation.expiry_ms:
                return Expired(not_run=True)
            operation.state = "claimed"
            return Claimed()
        case state:
            return Recorded(state, operation.response)


def may_have_run(ledger, op_id):
    """Return whether an earlier request may have run the operation.

    True for an id of another process, which may have run it, and for an id that
    this process has claimed and not released.
    """
    fields = op_id.rsplit(".", 4)
    if len(fields) != 5:
        return False
    if (fields[0], fields[1]) != (ledger.vm, str(ledger.incarnation)):
        return True
    operation = ledger.rows.get(op_id)
    return operation is not None and operation.state != "released"


def mark_sent(ledger, op_id):
    """Record that the operation is about to be sent.

    Returns
    -------
    bool
        Whether it may be sent: only a claimed operation that has not been sent.
    """
    operation = ledger.rows.get(op_id)
    if operation is None or operation.state != "claimed":
        return False
    operation.state = "sent"
    return True


def mark_not_run(ledger, op_id):
    """Record that a sent call certainly did not run, so its request may retry."""
    operation = ledger.rows.get(op_id)
    if operation is not None and operation.state == "sent":
        operation.state = "claimed"


def release_operation(ledger, op_id):
    """Record that the operation certainly did not run, so it may be claimed again."""
    operation = ledger.rows.get(op_id)
    if operation is not None and operation.state in ("claimed", "sent"):
        operation.state = "released"


def record_outcome(ledger, op_id, outcome, response):
    """Store the `outcome` (``ran`` or ``unknown``) and response of an operation."""
    operation = ledger.rows.get(op_id)
    if operation is None or operation.state == "ran":
        return
    operation.state = outcome
    operation.response = response


def expire_operations(ledger, now_ms):
    """Remove the records of operations whose retention time has passed.

    An operation that is still claimed or sent is kept until it ends.
    """
    ended = [
        op_id
        for op_id, operation in ledger.rows.items()
        if now_ms > operation.expiry_ms + RECORD_RETENTION_MS
        and operation.state not in ("claimed", "sent")
    ]
    for op_id in ended:
        del ledger.rows[op_id]
