"""Table of the streams of which this daemon knows where they began."""

from collections import OrderedDict

from bluebellbeam.utils.hashing import hash_text

__all__ = [
    "MAX_ORIGINS",
    "OriginTable",
    "find_origin",
    "make_origin_table",
    "prune_origins",
    "record_origin",
    "stream_key",
]

MAX_ORIGINS = 20_000
"""Largest number of streams in the table; the oldest one is dropped beyond it."""

ORIGIN_TTL_MS = 60_000
"""Time for which a stream is kept after the first event of a response to it; callers
give up a stream long before."""


class OriginTable:
    """Origins of streams, the one recorded last at the end.

    Attributes
    ----------
    rows : OrderedDict of int to (StreamOrigin, int)
        Origin and time of recording in ms, by key of the stream.
    dropped : int
        Number of origins dropped because the table was full, since that was last
        logged.
    """

    __slots__ = ("rows", "dropped")

    def __init__(self):
        self.rows = OrderedDict()
        self.dropped = 0


def make_origin_table():
    """Return an empty table."""
    return OriginTable()


def stream_key(host, request_id):
    """Return the key of the stream whose first event came with request `request_id`.

    Parameters
    ----------
    host : str
        Host that the request was sent to.
    request_id : str
        Id that the caller gave to that request.
    """
    return hash_text(f"{host.lower()}\x00{request_id}")


def record_origin(table, key, origin, now_ms):
    """Record where a stream began, or that it is still known."""
    table.rows.pop(key, None)
    table.rows[key] = (origin, now_ms)
    if len(table.rows) > MAX_ORIGINS:
        table.rows.popitem(last=False)
        table.dropped += 1


def find_origin(table, key, now_ms):
    """Return the :class:`StreamOrigin` of a stream, or None if it is not known."""
    origin, recorded_ms = table.rows.get(key, (None, 0))
    if origin is None or now_ms - recorded_ms > ORIGIN_TTL_MS:
        return None
    return origin


def prune_origins(table, now_ms):
    """Remove the origins that are older than `ORIGIN_TTL_MS`."""
    while table.rows:
        key, (_, recorded_ms) = next(iter(table.rows.items()))
        if now_ms - recorded_ms <= ORIGIN_TTL_MS:
            return
        del table.rows[key]
