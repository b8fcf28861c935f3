"""Copies of the origins of streams, spread among the daemons of a region.

The holders of a stream are told its origin at once. Its copies follow in the messages
that the daemons of a region exchange anyway, so that also the only daemon that is left
after a loss of all others knows it. Copies are bounded in each message, are never told
again when members change, and name a stream by a part of its key only.
"""

import base64
import binascii
from collections import OrderedDict

from bluebellbeam.origins.table import ORIGIN_TTL_MS
from bluebellbeam.routing import StreamOrigin

__all__ = [
    "MAX_COPIES_PER_MESSAGE",
    "CopyTable",
    "decode_copies",
    "find_copy",
    "make_copy_table",
    "merge_copies",
    "prune_copies",
    "queue_copy",
    "take_copies",
]

MAX_COPIES = 20_000
"""Largest number of copies in the table; the oldest one is dropped beyond it."""

MAX_COPIES_PER_MESSAGE = 40
"""Largest number of copies in one message, which take some 300 bytes."""

MAX_OUTGOING = 10 * MAX_COPIES_PER_MESSAGE
"""Largest number of copies that wait for a message; the oldest ones are dropped."""

COPY_KEY_BYTES = 5
"""Length of the part of a stream's key. Of a million lookups of streams without a copy,
less than one finds that of another one in a full table."""

_DROPPED_KEY_BITS = 64 - 8 * COPY_KEY_BYTES


class CopyTable:
    """Copies of the origins of streams.

    Attributes
    ----------
    rows : OrderedDict of int to (StreamOrigin, int)
        Origin, and the time at which its copy arrived, by part of the stream's key; the
        one that arrived last at the end.
    outgoing : OrderedDict of int to (StreamOrigin, int)
        Origins to be spread, and the number of messages that still take each of them,
        by part of the key; the newest one at the end.
    """

    __slots__ = ("rows", "outgoing")

    def __init__(self):
        self.rows = OrderedDict()
        self.outgoing = OrderedDict()


def make_copy_table():
    """Return an empty table."""
    return CopyTable()


def queue_copy(table, key, origin, messages):
    """Let the next `messages` messages take a copy of an origin.

    Parameters
    ----------
    table : CopyTable
    key : int
        Key of the stream.
    origin : StreamOrigin
    messages : int
    """
    _queue(table, key >> _DROPPED_KEY_BITS, origin, messages)


def _queue(table, part, origin, messages):
    if messages <= 0:
        return
    table.outgoing[part] = (origin, messages)
    table.outgoing.move_to_end(part)
    if len(table.outgoing) > MAX_OUTGOING:
        table.outgoing.popitem(last=False)


def take_copies(table):
    """Return the copies for the next message, the newest ones first.

    Returns
    -------
    dict of str to dict of str to str
        Encoded parts of keys by service and software version.
    """
    parts = {}
    for part in list(reversed(table.outgoing))[:MAX_COPIES_PER_MESSAGE]:
        origin, messages = table.outgoing[part]
        if messages > 1:
            table.outgoing[part] = (origin, messages - 1)
        else:
            del table.outgoing[part]
        versions = parts.setdefault(origin.service, {})
        raw = part.to_bytes(COPY_KEY_BYTES, "big")
        versions[origin.version] = versions.get(origin.version, b"") + raw
    return {
        service: {
            version: base64.b64encode(raw).decode() for version, raw in versions.items()
        }
        for service, versions in parts.items()
    }


def decode_copies(copies):
    """Yield the part of the key and the origin of each copy in a message.

    Parts that cannot be decoded are left out.
    """
    for service, versions in copies.items():
        for version, text in versions.items():
            origin = StreamOrigin(service, version)
            try:
                raw = base64.b64decode(text, validate=True)
            except (binascii.Error, ValueError):
                continue
            for start in range(0, len(raw) - COPY_KEY_BYTES + 1, COPY_KEY_BYTES):
                yield int.from_bytes(raw[start : start + COPY_KEY_BYTES], "big"), origin


def merge_copies(table, copies, now_ms, messages=0):
    """Record the copies in a message.

    Parameters
    ----------
    table : CopyTable
    copies : dict of str to dict of str to str
        As returned by :func:`take_copies` of another daemon.
    now_ms : int
    messages : int
        Number of messages that take each new copy on.
    """
    for part, origin in decode_copies(copies):
        if part in table.rows:
            continue
        table.rows[part] = (origin, now_ms)
        _queue(table, part, origin, messages)
        if len(table.rows) > MAX_COPIES:
            table.rows.popitem(last=False)


def find_copy(table, key, now_ms):
    """Return the :class:`StreamOrigin` of a stream, or None if there is no copy."""
    found = table.rows.get(key >> _DROPPED_KEY_BITS)
    if found is None or now_ms - found[1] > ORIGIN_TTL_MS:
        return None
    return found[0]


def prune_copies(table, now_ms):
    """Remove the copies that are older than `ORIGIN_TTL_MS`."""
    while table.rows:
        part, (_, arrived_ms) = next(iter(table.rows.items()))
        if now_ms - arrived_ms <= ORIGIN_TTL_MS:
            return
        del table.rows[part]
