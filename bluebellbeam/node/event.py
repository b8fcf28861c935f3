"""Events that a node handles, as reported by the I/O layer."""

from msgspec import Struct

from bluebellbeam.feeds.feed import Snapshot
from bluebellbeam.node.errors import CallerError
from bluebellbeam.provider.records import (
    BrittleStatement,
    CacheEvents,
    LimitStatement,
    LoadHeader,
    LoadReport,
)
from bluebellbeam.routing import StreamOrigin

__all__ = [
    "AttemptFailed",
    "AttemptFinished",
    "AttemptRefused",
    "AttemptStarted",
    "BrittleStated",
    "CacheEventsReceived",
    "CallerDisconnected",
    "CapacityOfferReceived",
    "FeedRead",
    "FeedReadFailed",
    "FeedSourceResponded",
    "HealthCheckAnswered",
    "ConnectionsLost",
    "LeavingStated",
    "LimitStated",
    "LoadReadFailed",
    "LoadReported",
    "OrderAnswered",
    "PauseStated",
    "PeerMessagesReceived",
    "PeerUnreachable",
    "RequestArrived",
    "StopRequested",
]


class RequestArrived(Struct):
    """A request has arrived from a caller or, forwarded, from a peer.

    Parameters
    ----------
    request : Request
    """

    request: object


class CallerDisconnected(Struct, frozen=True):
    """The caller of a request has closed its connection."""

    request_id: str


class AttemptStarted(Struct, frozen=True):
    """The response to an attempt has begun.

    Parameters
    ----------
    attempt_id : int
    origin : StreamOrigin or None
        Where the stream in the response of a peer began, as far as it reports that.
    """

    attempt_id: int
    origin: StreamOrigin | None = None


class StreamProgressed(Struct, frozen=True):
    """Events of a stream of a backend server that reports the duration of its work.

    Parameters
    ----------
    attempt_id : int
    events : int
        Events received since the previous report of this attempt.
    elapsed_ms, longest_gap_ms : int
        Time since then, and longest time between two events.
    load : LoadHeader or None
        Load in the header of the response, with the first report only.
    """

    attempt_id: int
    events: int
    elapsed_ms: int
    longest_gap_ms: int
    load: LoadHeader | None = None


class AttemptFinished(Struct, frozen=True):
    """The complete response to an attempt has been received.

    Parameters
    ----------
    attempt_id : int
    output_tokens : int
    answer : object
        Response recorded for repeats of a non-idempotent call, or None.
    load : LoadHeader or None
        Load that the backend server reported with its response.
    delimited : bool
        Whether a length or chunks delimited the response. Otherwise it ended with
        its connection, as it also does when the server ends.
    """

    attempt_id: int
    output_tokens: int = 0
    answer: object = None
    load: LoadHeader | None = None
    delimited: bool = True


class AttemptFailed(Struct, frozen=True):
    """An attempt has ended without a complete response.

    Parameters
    ----------
    attempt_id : int
    sent : bool
        Whether any byte of the request may have been sent.
    emitted_tokens : int
        Output tokens of this request sent to the caller so far.
    reason : str
    lost_connection : bool
        Whether the connection was refused, reset or closed before a response.
    sends : int or None
        Number of servers that may have received the request; None if the peer
        that it was forwarded to did not report it.
    refused_connection : bool
        Whether nothing accepts connections at the address.
    """

    attempt_id: int
    sent: bool
    emitted_tokens: int = 0
    reason: str = "failed"
    lost_connection: bool = False
    sends: int | None = 1
    refused_connection: bool = False


class AttemptRefused(Struct, frozen=True):
    """The backend server or peer has responded to an attempt with an error.

    Parameters
    ----------
    attempt_id : int
    error : CallerError
        Its outcome is the one stated by the server or peer.
    load : LoadHeader or None
        Load that the backend server reported with its response.
    sends : int or None
        Number of servers that received the request; None if the peer that it
        was forwarded to did not report it.
    """

    attempt_id: int
    error: CallerError
    load: LoadHeader | None = None
    sends: int | None = 1


class FeedRead(Struct, frozen=True):
    """A read of a feed from the platform has returned a snapshot."""

    snapshot: Snapshot


class FeedReadFailed(Struct, frozen=True):
    """A read of a feed from the platform has failed."""

    key: str
    reason: str


class CapacityOfferReceived(Struct, frozen=True):
    """A peer has sent a capacity offer with its response to a forwarded request.

    Parameters
    ----------
    vm : str
        Peer that sent the offer, a daemon of another region.
    pool : str
    spare : float
        Slots that it can lend.
    wait_ms : float
        Expected wait for a slot of the pool in its region.
    """

    vm: str
    pool: str
    spare: float
    wait_ms: float


class FeedSourceResponded(Struct, frozen=True):
    """The source of the feeds has responded, with or without a new version."""


class PauseStated(Struct, frozen=True):
    """A backend server has refused a request and asked for a pause.

    Parameters
    ----------
    server, incarnation : str, int
    pause_ms : int
        Time in which it wants no request of this daemon.
    """

    server: str
    incarnation: int
    pause_ms: int


class LoadReported(Struct, frozen=True):
    """A load report has been received from the address of a backend server.

    Parameters
    ----------
    server : str
        Server expected at the address. The report names another one if the
        address has been reused.
    report : LoadReport
    """

    server: str
    report: LoadReport


class LoadReadFailed(Struct, frozen=True):
    """A load read or health check of a backend server has failed.

    Parameters
    ----------
    server : str
    incarnation : int
        Incarnation that was expected.
    refused_connection : bool
        Whether nothing accepts connections at its address.
    """

    server: str
    incarnation: int = 0
    refused_connection: bool = False


class ConnectionsLost(Struct, frozen=True):
    """All connections to a process are gone, the last one closed or reset by it.

    Parameters
    ----------
    server : str
    incarnation : int
    """

    server: str
    incarnation: int


class LoadMalformed(Struct, frozen=True):
    """A response of a backend server has a load header that cannot be read.

    Parameters
    ----------
    server, incarnation : str, int
        The server that the request was sent to.
    text : str
        Beginning of the value of the header.
    """

    server: str
    incarnation: int
    text: str


class HealthCheckAnswered(Struct, frozen=True):
    """The address of a backend server has responded without a load report.

    Parameters
    ----------
    server : str
        Server expected at the address.
    name, incarnation : str, int
        Server that responded.
    warm_up_left_ms : int
        Remaining warm-up time that it reports.
    limit : LimitStatement or None
        Limit that it states; None if that cannot be read.
    sent_ms : int
        Time at which the health check was sent.
    leaving : bool
        Whether it states that it is leaving.
    brittle : BrittleStatement or None
        How many refusals it states to bear; None if that cannot be read.
    """

    server: str
    name: str
    incarnation: int
    warm_up_left_ms: int = 0
    limit: LimitStatement | None = None
    sent_ms: int = 0
    leaving: bool = False
    brittle: BrittleStatement | None = BrittleStatement()


class BrittleStated(Struct, frozen=True):
    """A response of a backend server has stated that it is brittle, or no longer.

    Parameters
    ----------
    server, incarnation : str, int
    statement : BrittleStatement or None
        None if it cannot be read.
    sent_ms : int
        Time at which the request was sent to which the server responded.
    """

    server: str
    incarnation: int
    statement: BrittleStatement | None
    sent_ms: int


class LeavingStated(Struct, frozen=True):
    """A response of a backend server has stated that the server is leaving."""

    server: str
    incarnation: int


class LimitStated(Struct, frozen=True):
    """A response of a backend server has stated a limit, none, or a malformed one.

    Parameters
    ----------
    server, incarnation : str, int
    limit : LimitStatement or None
        None if it is malformed.
    sent_ms : int
        Time at which the request was sent to which the server responded.
    """

    server: str
    incarnation: int
    limit: LimitStatement | None
    sent_ms: int


class CacheEventsReceived(Struct, frozen=True):
    """An engine has published cache events."""

    events: CacheEvents


class OrderAnswered(Struct, frozen=True):
    """An engine has accepted or rejected an order, or did not respond to it."""

    server: str
    accepted: bool
    reason: str = ""


class PeerMessagesReceived(Struct, frozen=True):
    """Messages of a peer have been received.

    Parameters
    ----------
    envelope : Envelope
    answer : bool
        Whether they came in the response to a message of this daemon. They then
        show that messages arrive in both directions.
    """

    envelope: object
    answer: bool = False


class PeerUnreachable(Struct, frozen=True):
    """A message to a peer could not be delivered."""

    vm: str


class StopRequested(Struct, frozen=True):
    """A graceful shutdown has been requested."""
