"""Table of the streams of which this daemon knows where they began."""

from collections import OrderedDict

from msgspec import Struct

from bluebellbeam.routing import UNKNOWN_VERSION, StreamOrigin
from bluebellbeam.utils.hashing import hash_text

__all__ = [
    "MAX_ORIGINS",
    "ORIGIN_TTL_MS",
    "OriginRow",
    "OriginTable",
    "ServingDaemon",
    "UnconfirmedVersion",
    "confirm_origin",
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


class ServingDaemon(Struct, frozen=True, array_like=True):
    """Process of a daemon that serves a stream.

    Parameters
    ----------
    name : str
    incarnation : int
    region, failure_domain : str
    """

    name: str
    incarnation: int
    region: str
    failure_domain: str


class UnconfirmedVersion(Struct, frozen=True, array_like=True):
    """Version of a server that may have started again before the stream began.

    Parameters
    ----------
    version : str
        Software version that the server had when its entry was last read.
    server : str
    incarnation : int
        Incarnation of the server in that entry. If it is still the same in a list
        that is up to date again, the stream began at `version`.
    """

    version: str
    server: str
    incarnation: int


class OriginRow:
    """Origin of one stream.

    Attributes
    ----------
    origin : StreamOrigin
    served_by : ServingDaemon
        Daemon that passed on the first event of the last response.
    recorded_ms : int
        Time of that event.
    unconfirmed : UnconfirmedVersion or None
        Where the stream began if the version of `origin` is unknown as yet.
    holders : dict of str to int
        Incarnation of each holder that this daemon has told the origin. Empty if it is
        up to another daemon to tell it.
    """

    __slots__ = ("origin", "served_by", "recorded_ms", "unconfirmed", "holders")

    def __init__(self, origin, served_by, recorded_ms, unconfirmed):
        self.origin = origin
        self.served_by = served_by
        self.recorded_ms = recorded_ms
        self.unconfirmed = unconfirmed
        self.holders = {}


class OriginTable:
    """Origins of streams, the one recorded last at the end.

    Attributes
    ----------
    rows : OrderedDict of int to OriginRow
        By key of the stream.
    unconfirmed_keys : dict of int to None
        Keys of the rows with an unconfirmed version, the oldest first.
    members : dict of str to int
        Incarnation of each member that holders are chosen from.
    members_key : tuple
        State that `members` was taken from.
    joined, left : frozenset of str
        Members added to `members` and removed from it by the last change of it; those
        that were not reached count as removed.
    unvisited_keys : list of int
        Keys of the rows whose holders do not reflect that change yet.
    unreached : set of str
        Members that a message could not be delivered to since then; they may lack
        origins.
    dropped : int
        Number of origins dropped because the table was full, since that was last
        logged.
    """

    __slots__ = (
        "rows",
        "unconfirmed_keys",
        "members",
        "members_key",
        "joined",
        "left",
        "unvisited_keys",
        "unreached",
        "dropped",
    )

    def __init__(self):
        self.rows = OrderedDict()
        self.unconfirmed_keys = {}
        self.members = {}
        self.members_key = ()
        self.joined = self.left = frozenset()
        self.unvisited_keys = []
        self.unreached = set()
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


def record_origin(table, key, origin, served_by, now_ms, unconfirmed=None):
    """Record where a stream began, or that it is still known.

    A known version is not replaced by an unknown one.

    Parameters
    ----------
    table : OriginTable
    key : int
    origin : StreamOrigin
    served_by : ServingDaemon
        Daemon that passed on the first event.
    now_ms : int
        Time of that event.
    unconfirmed : UnconfirmedVersion, optional
        Where the stream began if the version of `origin` is unknown as yet.

    Returns
    -------
    OriginRow
    """
    known = table.rows.pop(key, None)
    row = OriginRow(origin, served_by, now_ms, unconfirmed)
    if known is not None:
        if known.recorded_ms > now_ms:
            row.recorded_ms, row.served_by = known.recorded_ms, known.served_by
        row.holders = known.holders
        if origin.version == UNKNOWN_VERSION:
            row.origin = known.origin
            row.unconfirmed = known.unconfirmed
    table.rows[key] = row
    if row.unconfirmed is None:
        table.unconfirmed_keys.pop(key, None)
    else:
        table.unconfirmed_keys[key] = None
    if len(table.rows) > MAX_ORIGINS:
        oldest, _ = table.rows.popitem(last=False)
        table.unconfirmed_keys.pop(oldest, None)
        table.dropped += 1
    return row


def confirm_origin(table, key):
    """Record that the unconfirmed version of a stream is that at which it began.

    Returns
    -------
    StreamOrigin
    """
    row = table.rows[key]
    row.origin = StreamOrigin(row.origin.service, row.unconfirmed.version)
    row.unconfirmed = None
    row.holders = {}
    del table.unconfirmed_keys[key]
    return row.origin


def find_origin(table, key, now_ms):
    """Return the :class:`StreamOrigin` of a stream, or None if it is not known."""
    row = table.rows.get(key)
    if row is None or now_ms - row.recorded_ms > ORIGIN_TTL_MS:
        return None
    return row.origin


def prune_origins(table, now_ms):
    """Remove the origins that are older than `ORIGIN_TTL_MS`."""
    while table.rows:
        key, row = next(iter(table.rows.items()))
        if now_ms - row.recorded_ms <= ORIGIN_TTL_MS:
            return
        del table.rows[key]
        table.unconfirmed_keys.pop(key, None)
