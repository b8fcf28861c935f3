"""Identifiers and records that keep non-idempotent calls to one run.

An operation id is issued by the process that will run the call. It names the
VM, the incarnation of the process and an expiry, and is authenticated with a
key that only this process holds. No other process can run the call, and this
one sends it at most once.
"""

import hashlib
import hmac

from msgspec import Struct

__all__ = [
    "Busy",
    "Expired",
    "Foreign",
    "Fresh",
    "Full",
    "Invalid",
    "Ledger",
    "Operation",
    "Recorded",
    "claim_operation",
    "expire_operations",
    "issue_operation",
    "make_ledger",
    "mark_not_run",
    "mark_sent",
    "may_have_run",
    "record_answer",
    "release_operation",
]

_MAC_CHARACTERS = 32
RECORD_RETENTION_MS = 60_000
"""Time after expiry during which a record is still kept."""

MAX_ANSWER_BYTES = 64 * 1024
"""Largest answer that is kept for a repeat."""


class Fresh(Struct, frozen=True):
    """The operation has not been sent; it is now claimed by this request."""


class Recorded(Struct, frozen=True):
    """The operation has ended; `answer` is kept, or None if it was too large.

    `outcome` is ``ran`` or ``unknown``.
    """

    outcome: str
    answer: object


class Busy(Struct, frozen=True):
    """The same operation is queued or running now."""


class Foreign(Struct, frozen=True):
    """Another process issued the id; whether the operation ran is unknown."""


class Expired(Struct, frozen=True):
    """The id is past its expiry.

    `not_run` tells that this process knows it never sent the operation.
    """

    not_run: bool


class Invalid(Struct, frozen=True):
    """The id is malformed, altered, of another workspace or another call."""


class Full(Struct, frozen=True):
    """The table has no room for another operation."""


class Operation:
    """One used operation id.

    Attributes
    ----------
    state : {"claimed", "sent", "ran", "unknown", "released"}
    fingerprint : int
        Hash of the call; a repeat must be the same call.
    expiry_ms : int
    answer : object or None
    """

    __slots__ = ("state", "fingerprint", "expiry_ms", "answer")

    def __init__(self, fingerprint, expiry_ms):
        self.state = "claimed"
        self.fingerprint = fingerprint
        self.expiry_ms = expiry_ms
        self.answer = None


class Ledger:
    """Operations of one process.

    Attributes
    ----------
    vm, incarnation : str, int
    rows : dict of str to Operation
    issued : int
    max_rows : int
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
        """Return the authentication code of `text`."""
        digest = hmac.new(self._key, text.encode(), hashlib.sha256)
        return digest.hexdigest()[:_MAC_CHARACTERS]


def make_ledger(vm, incarnation, key, max_rows):
    """Return an empty ledger.

    Parameters
    ----------
    vm : str
    incarnation : int
    key : bytes
        Random secret of this process only.
    max_rows : int
    """
    return Ledger(vm, incarnation, key, max_rows)


def issue_operation(ledger, workspace, now_ms, ttl_ms):
    """Return a new operation id for `workspace`."""
    ledger.issued += 1
    head = f"{ledger.vm}.{ledger.incarnation}.{ledger.issued}.{now_ms + ttl_ms}"
    return f"{head}.{ledger.sign(f'{head}|{workspace}')}"


def claim_operation(ledger, op_id, workspace, fingerprint, now_ms):
    """Claim operation `op_id` for a request that is about to queue.

    Returns
    -------
    Fresh, Recorded, Busy, Foreign, Expired, Invalid or Full
    """
    fields = op_id.rsplit(".", 4)
    if len(fields) != 5:
        return Invalid()
    vm, incarnation, _, expiry, mac = fields
    if vm != ledger.vm or incarnation != str(ledger.incarnation):
        return Foreign()
    head = op_id[: -len(mac) - 1]
    genuine = ledger.sign(f"{head}|{workspace}")
    if not mac.isascii() or not hmac.compare_digest(mac, genuine):
        return Invalid()
    expiry_ms = int(expiry)
    row = ledger.rows.get(op_id)
    if row is not None:
        return _claim_again(row, fingerprint, now_ms)
    if now_ms > expiry_ms:
        return Expired(not_run=now_ms <= expiry_ms + RECORD_RETENTION_MS)
    if len(ledger.rows) >= ledger.max_rows:
        return Full()
    ledger.rows[op_id] = Operation(fingerprint, expiry_ms)
    return Fresh()


def _claim_again(row, fingerprint, now_ms):
    if row.fingerprint != fingerprint:
        return Invalid()
    match row.state:
        case "claimed" | "sent":
            return Busy()
        case "released":
            if now_ms > row.expiry_ms:
                return Expired(not_run=True)
            row.state = "claimed"
            return Fresh()
        case state:
            return Recorded(state, row.answer)


def may_have_run(ledger, op_id):
    """Return whether the operation may have been run by an earlier request.

    True for an id of another process, which may have run it, and for one that
    this process has claimed before and not released.
    """
    fields = op_id.rsplit(".", 4)
    if len(fields) != 5:
        return False
    if (fields[0], fields[1]) != (ledger.vm, str(ledger.incarnation)):
        return True
    row = ledger.rows.get(op_id)
    return row is not None and row.state != "released"


def mark_sent(ledger, op_id):
    """Record that the operation is about to be sent.

    Returns
    -------
    bool
        Whether it may be sent. False once it has been sent before.
    """
    row = ledger.rows.get(op_id)
    if row is None or row.state != "claimed":
        return False
    row.state = "sent"
    return True


def mark_not_run(ledger, op_id):
    """Record that a send was certainly not run; the same request may retry."""
    row = ledger.rows.get(op_id)
    if row is not None and row.state == "sent":
        row.state = "claimed"


def release_operation(ledger, op_id):
    """Record that the operation was certainly not run, so it may be tried."""
    row = ledger.rows.get(op_id)
    if row is not None and row.state in ("claimed", "sent"):
        row.state = "released"


def record_answer(ledger, op_id, outcome, answer):
    """Keep the final `answer` and `outcome` (``ran`` or ``unknown``)."""
    row = ledger.rows.get(op_id)
    if row is None or row.state == "ran":
        return
    row.state = outcome
    row.answer = answer


def expire_operations(ledger, now_ms):
    """Forget operations whose expiry and grace have passed.

    An operation that is still claimed or sent is kept until it ends.
    """
    ended = [
        op_id
        for op_id, row in ledger.rows.items()
        if now_ms > row.expiry_ms + RECORD_RETENTION_MS
        and row.state not in ("claimed", "sent")
    ]
    for op_id in ended:
        del ledger.rows[op_id]
