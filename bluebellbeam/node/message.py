"""Messages between daemons; they travel as JSON over HTTP.

Every type is encoded as an array whose first item is its tag.
"""

import msgspec
from msgspec import Struct

from bluebellbeam.feeds.feed import Delta, Snapshot
from bluebellbeam.membership.table import StatusUpdate
from bluebellbeam.provider.records import VmRecord

__all__ = [
    "Envelope",
    "FeedPull",
    "Announce",
    "LeaseResponse",
    "LeaseRequest",
    "Ping",
    "Pong",
    "IndirectProbe",
    "ServerLoads",
    "decode_envelope",
    "encode_envelope",
]


class Ping(Struct, frozen=True, array_like=True, tag="pi"):
    """Ask a member whether it runs.

    Parameters
    ----------
    versions : dict of str to int
        Version held of each feed.
    updates : tuple of Rumor
    offers : dict of str to (float, float)
        Spare slots and wait in ms by pool; sent to other regions.
    demand : dict of str to (float, float)
        Weights of waiting interactive and batch work by pool; sent within
        the region.
    on_behalf_of : str
        Member that asked for this probe.
    source_age_ms : int
        Age of the last news from the source of the lists; -1 for none.
    """

    versions: dict[str, int]
    updates: tuple[StatusUpdate, ...] = ()
    offers: dict[str, tuple[float, float]] = {}
    demand: dict[str, tuple[float, float]] = {}
    on_behalf_of: str = ""
    source_age_ms: int = -1


class Pong(Struct, frozen=True, array_like=True, tag="po"):
    """Answer to :class:`Ping`; fields as there."""

    versions: dict[str, int]
    updates: tuple[StatusUpdate, ...] = ()
    offers: dict[str, tuple[float, float]] = {}
    demand: dict[str, tuple[float, float]] = {}
    on_behalf_of: str = ""
    source_age_ms: int = -1


class IndirectProbe(Struct, frozen=True, array_like=True, tag="pf"):
    """Ask a member to probe `target` for the sender."""

    target: str


class IndirectAck(Struct, frozen=True, array_like=True, tag="ta"):
    """Tell the member that asked that `target` has answered."""

    target: str
    incarnation: int


class FeedPull(Struct, frozen=True, array_like=True, tag="fp"):
    """Ask for what follows `version` of a feed."""

    key: str
    version: int


class Announce(Struct, frozen=True, array_like=True, tag="in"):
    """Tell of entry VMs that no list shows.

    Parameters
    ----------
    records : tuple of VmRecord
        The incarnation of each is the start of its process.
    request_all : bool
        Whether the sender knows nobody yet.
    """

    records: tuple[VmRecord, ...]
    request_all: bool = False


class ServerLoads(Struct, frozen=True, array_like=True, tag="sl"):
    """Tell what the sender has at the servers of the region.

    Parameters
    ----------
    servers : dict of str to (int, int)
        Requests in flight and prompt tokens that wait, by server.
    """

    servers: dict[str, tuple[int, int]]


class LeaseRequest(Struct, frozen=True, array_like=True, tag="lw"):
    """Ask a lender for slots.

    Parameters
    ----------
    borrower, pool, workspace : str
    slots : int
    revision : int
        Configuration revision of the borrower.
    """

    borrower: str
    pool: str
    workspace: str
    slots: int
    revision: int


class LeaseResponse(Struct, frozen=True, array_like=True, tag="la"):
    """Answer of a lender; `slots` of 0 is a refusal.

    Parameters
    ----------
    duration_ms : int
        How long the lease lasts, counted from the lender's answer.
    retry_after_ms : int
        When to ask again after a refusal.
    offer : (float, float)
        Spare slots and wait in ms that remain.
    """

    pool: str
    workspace: str
    lease_id: str
    slots: int
    duration_ms: int
    retry_after_ms: int = 0
    offer: tuple[float, float] = (0.0, 0.0)


Message = (
    Ping
    | Pong
    | IndirectProbe
    | IndirectAck
    | FeedPull
    | Announce
    | LeaseRequest
    | LeaseResponse
    | ServerLoads
    | Delta
    | Snapshot
)


class Envelope(Struct, frozen=True, array_like=True):
    """Messages of one process to another.

    Parameters
    ----------
    sender : str
        VM of the sending process.
    incarnation : int
    messages : tuple of Message
    """

    sender: str
    incarnation: int
    messages: tuple[Message, ...]


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Envelope)


def encode_envelope(envelope):
    """Return the JSON bytes of `envelope`."""
    return _ENCODER.encode(envelope)


def decode_envelope(raw):
    """Return the envelope in `raw`.

    Raises
    ------
    msgspec.DecodeError
        If `raw` is not an envelope.
    """
    return _DECODER.decode(raw)
