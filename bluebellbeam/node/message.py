"""Messages between daemons, sent as JSON over HTTP.

Each message is encoded as an array whose first item is the tag of its type.
"""

import msgspec
from msgspec import Struct

from bluebellbeam.feeds.feed import Delta, Snapshot
from bluebellbeam.membership.table import StatusUpdate
from bluebellbeam.origins.table import ServingDaemon, UnconfirmedVersion
from bluebellbeam.provider.records import VmRecord
from bluebellbeam.utils.decoding import decode_json

__all__ = [
    "Announce",
    "EndOfServer",
    "Envelope",
    "FeedPull",
    "IndirectProbe",
    "LeaseRequest",
    "LeaseResponse",
    "MemberPull",
    "OriginQuery",
    "PromptEvidence",
    "Ping",
    "Pong",
    "QuarantinedPart",
    "QuotaReport",
    "QuotaReportRow",
    "ServerLoads",
    "StreamOrigins",
    "TokenGrant",
    "TokenRequest",
    "decode_envelope",
    "encode_envelope",
]


class Ping(Struct, frozen=True, array_like=True, tag="pi"):
    """Probe of a member, with piggybacked gossip.

    Parameters
    ----------
    versions : dict of str to int
        Version held of each feed.
    updates : tuple of StatusUpdate
    offers : dict of str to (float, float)
        Slots to lend and expected wait in ms by pool; only sent to other
        regions.
    demand : dict of str to (float, float)
        Total weights of waiting interactive and batch work by pool; only sent
        within the region.
    on_behalf_of : str
        Member that requested this probe as an indirect one, or empty.
    source_age_ms : int
        Time since the source of the feeds last responded to any daemon, as
        far as the sender knows; -1 if never.
    members : int
        Digest of the members that the sender knows; 0 if the provider lists them.
    service_versions : dict of str to tuple of str
        Software versions of the usable servers of the sender's region by service;
        only sent to other regions.
    """

    versions: dict[str, int]
    updates: tuple[StatusUpdate, ...] = ()
    offers: dict[str, tuple[float, float]] = {}
    demand: dict[str, tuple[float, float]] = {}
    on_behalf_of: str = ""
    source_age_ms: int = -1
    members: int = 0
    service_versions: dict[str, tuple[str, ...]] = {}


class Pong(Struct, frozen=True, array_like=True, tag="po"):
    """Response to :class:`Ping`, with the same fields."""

    versions: dict[str, int]
    updates: tuple[StatusUpdate, ...] = ()
    offers: dict[str, tuple[float, float]] = {}
    demand: dict[str, tuple[float, float]] = {}
    on_behalf_of: str = ""
    source_age_ms: int = -1
    members: int = 0
    service_versions: dict[str, tuple[str, ...]] = {}


class IndirectProbe(Struct, frozen=True, array_like=True, tag="pf"):
    """Request to probe `target` on behalf of the sender."""

    target: str


class IndirectAck(Struct, frozen=True, array_like=True, tag="ta"):
    """Report to the requester of an indirect probe that `target` answered it."""

    target: str
    incarnation: int


class FeedPull(Struct, frozen=True, array_like=True, tag="fp"):
    """Request for the versions of a feed after `version`."""

    key: str
    version: int


class Announce(Struct, frozen=True, array_like=True, tag="in"):
    """Announcement of entry VMs, for providers that do not list them.

    Parameters
    ----------
    records : tuple of VmRecord
        The incarnation of each is the start of its process in ms since 1970.
    request_all : bool
        Whether the sender requests the records of all known entry VMs.
    """

    records: tuple[VmRecord, ...]
    request_all: bool = False


class MemberPull(Struct, frozen=True, array_like=True, tag="mp"):
    """Request for the records of the members that the sender does not know.

    It is only sent to daemons whose probes carry a digest of their members.

    Parameters
    ----------
    known : tuple of int
        Hash of the name and incarnation of each member known to the sender.
    """

    known: tuple[int, ...]


class ServerLoads(Struct, frozen=True, array_like=True, tag="sl"):
    """Load that the sender puts on the backend servers of the region.

    Parameters
    ----------
    servers : dict of str to (int, int)
        Requests in flight, and uncached prompt tokens still to be computed,
        by server.
    relayed : dict of str to (int, dict)
        Age in ms and loads as in `servers` of other members, by name.
    reply : bool
        Whether the sender requests the loads that the receiver knows.
    limits : dict of str to (int, float or None, int, int)
        Incarnation, limit in requests per second or None, round and age in ms of
        what the sender knows about limits, by server.
    brittle : dict of str to (float, int)
        Refusals per second that a server bears, and age of that statement in ms, by
        service whose servers are brittle.
    copies : dict of str to dict of str to str
        Copies of the origins of streams; see :mod:`bluebellbeam.origins.copies`.
    """

    servers: dict[str, tuple[int, int]]
    relayed: dict[str, tuple[int, dict[str, tuple[int, int]]]] = {}
    reply: bool = False
    limits: dict[str, tuple[int, float | None, int, int]] = {}
    brittle: dict[str, tuple[float, int]] = {}
    copies: dict[str, dict[str, str]] = {}


class StreamOrigins(Struct, frozen=True, array_like=True, tag="so"):
    """Where streams began, told to their holders and in answer to a query.

    Parameters
    ----------
    origins : tuple of (int, str, str)
        Key, service and software version of each stream.
    unknown : tuple of int
        Keys that the receiver has asked for and that the sender does not know.
    versions : dict of str to tuple of str, or None
        With unknown keys, all versions by service that the sender has seen lately;
        None if it has not run for long enough to know them.
    recent : dict of str to tuple of str
        In that case, those that it has seen.
    ages_ms : tuple of int
        Time since the first event of each of the streams; empty if it has just arrived.
    unconfirmed : dict of int to UnconfirmedVersion
        Where streams of unknown version began, if it can still be confirmed, by key.
    served_by : ServingDaemon or None
        Daemon that serves these streams; None if it is the sender.
    """

    origins: tuple[tuple[int, str, str], ...] = ()
    unknown: tuple[int, ...] = ()
    versions: dict[str, tuple[str, ...]] | None = None
    recent: dict[str, tuple[str, ...]] = {}
    ages_ms: tuple[int, ...] = ()
    unconfirmed: dict[int, UnconfirmedVersion] = {}
    served_by: ServingDaemon | None = None


class OriginQuery(Struct, frozen=True, array_like=True, tag="oq"):
    """Request for the origins of the streams with these keys."""

    keys: tuple[int, ...]


class EndOfServer(Struct, frozen=True, array_like=True):
    """End of a backend server, as known to the sender.

    Parameters
    ----------
    server, incarnation : str, int
    age_ms : int
    parts : dict of str to int
        Position in its prompt of each part that the server may have ended under;
        negative for the names of requests.
    retried : tuple of str
        Names of requests among them that were sent there only after another server had
        ended under them.
    """

    server: str
    incarnation: int
    age_ms: int
    parts: dict[str, int]
    retried: tuple[str, ...] = ()


class QuarantinedPart(Struct, frozen=True, array_like=True):
    """Part of prompts, or request, that the sender refuses.

    Parameters
    ----------
    part : str
    age_ms : int
        Time since the start of the quarantine.
    ends : int
        Number of ends of servers that led to it.
    failed_trials : int
    retry_in_ms : int
        Time to the next trial; negative if it is due.
    trial_age_ms : int
        Time since the start of the current trial; -1 if there is none.
    """

    part: str
    age_ms: int
    ends: int
    failed_trials: int
    retry_in_ms: int
    trial_age_ms: int = -1


class PromptEvidence(Struct, frozen=True, array_like=True, tag="pe"):
    """What the sender knows of requests and prompt parts that end backend servers.

    Parameters
    ----------
    ends : tuple of EndOfServer
    served : dict of str to int
        Time in ms since a prompt with a part was last served, by part.
    quarantines : tuple of QuarantinedPart
    """

    ends: tuple[EndOfServer, ...] = ()
    served: dict[str, int] = {}
    quarantines: tuple[QuarantinedPart, ...] = ()


class LeaseRequest(Struct, frozen=True, array_like=True, tag="lw"):
    """Request for a lease on slots of a lender.

    Parameters
    ----------
    borrower, pool, workspace : str
    slots : int
        Slots requested.
    revision : int
        Configuration revision of the borrower.
    """

    borrower: str
    pool: str
    workspace: str
    slots: int
    revision: int


class LeaseResponse(Struct, frozen=True, array_like=True, tag="la"):
    """Response to :class:`LeaseRequest`.

    Parameters
    ----------
    pool, workspace, lease_id : str
    slots : int
        Slots granted; 0 if the request is refused.
    duration_ms : int
        Duration of the lease, counted from the lender's response.
    retry_after_ms : int
        Time after a refusal before the borrower may request another lease.
    offer : (float, float)
        Slots still to lend and expected wait in ms.
    """

    pool: str
    workspace: str
    lease_id: str
    slots: int
    duration_ms: int
    retry_after_ms: int = 0
    offer: tuple[float, float] = (0.0, 0.0)


class TokenRequest(Struct, frozen=True, array_like=True, tag="qr"):
    """Request for tokens of workspaces, to the daemon that holds their ledgers.

    Parameters
    ----------
    number : int
        Number of the request, repeated in its :class:`TokenGrant`; 0 if it only
        returns tokens and needs no response.
    rows : tuple of (str, tuple of int, int, int)
        Workspace, tokens of each waiting request, further tokens that the sender
        expects to need, and unused tokens that it returns.
    """

    number: int
    rows: tuple[tuple[str, tuple[int, ...], int, int], ...]


class TokenGrant(Struct, frozen=True, array_like=True, tag="qg"):
    """Response to :class:`TokenRequest`.

    Parameters
    ----------
    number : int
    rows : tuple of (str, tuple of int, int)
        Workspace; time in ms until each waiting request may be granted, 0 if it is
        granted; and further tokens granted. The order is that of the request. A
        workspace that the sender does not know has no row.
    """

    number: int
    rows: tuple[tuple[str, tuple[int, ...], int], ...]


class QuotaReportRow(Struct, frozen=True, array_like=True):
    """State of the sender's ledger of one workspace.

    Parameters
    ----------
    workspace : str
    epoch : int
    granted : int
        Tokens granted so far.
    level : int or None
        Level of the bucket; None if the ledger has no contact with some region.
    ack_epoch, ack_granted : int
        Epoch of the receiver's ledger and its grants known to the sender; epoch 0
        for none.
    """

    workspace: str
    epoch: int
    granted: int
    level: int | None
    ack_epoch: int = 0
    ack_granted: int = 0


class QuotaReport(Struct, frozen=True, array_like=True, tag="ql"):
    """Report of the sender's ledgers to those of the same workspaces elsewhere.

    Parameters
    ----------
    rows : tuple of QuotaReportRow
    reply : bool
        Whether the sender requests the report of the receiver.
    """

    rows: tuple[QuotaReportRow, ...]
    reply: bool = False


Message = (
    Ping
    | Pong
    | IndirectProbe
    | IndirectAck
    | FeedPull
    | Announce
    | MemberPull
    | LeaseRequest
    | LeaseResponse
    | ServerLoads
    | StreamOrigins
    | OriginQuery
    | PromptEvidence
    | TokenRequest
    | TokenGrant
    | QuotaReport
    | Delta
    | Snapshot
)


class Envelope(Struct, frozen=True, array_like=True):
    """Messages from one daemon to another.

    Parameters
    ----------
    sender : str
        VM of the sending daemon.
    incarnation : int
        Incarnation of the sending daemon.
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
    """Return the envelope encoded in the JSON bytes `raw`.

    Raises
    ------
    msgspec.DecodeError
        If `raw` is not a valid envelope.
    """
    return decode_json(raw, _DECODER)
