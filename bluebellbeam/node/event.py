"""What happens to a node: the inputs of its decisions."""

from msgspec import Struct

from bluebellbeam.feeds.feed import Snapshot
from bluebellbeam.node.errors import CallerError
from bluebellbeam.provider.records import CacheEvents, LoadHeader, LoadReport

__all__ = [
    "AttemptFailed",
    "AttemptFinished",
    "AttemptRefused",
    "AttemptStarted",
    "CacheEventsReceived",
    "CallerDisconnected",
    "FeedRead",
    "FeedReadFailed",
    "LoadReadFailed",
    "LoadReported",
    "CapacityOfferReceived",
    "OrderAnswered",
    "PeerMessagesReceived",
    "PeerUnreachable",
    "RequestArrived",
    "HealthCheckAnswered",
    "FeedSourceResponded",
    "StopRequested",
]


class RequestArrived(Struct):
    """A request came through the caller or the peer listener.

    Parameters
    ----------
    request : Request
    """

    request: object


class CallerDisconnected(Struct, frozen=True):
    """The caller of a request has closed its connection."""

    request_id: str


class AttemptStarted(Struct, frozen=True):
    """The answer of an attempt has begun."""

    attempt_id: int


class AttemptFinished(Struct, frozen=True):
    """The whole answer of an attempt has been received.

    Parameters
    ----------
    output_tokens : int
    answer : object
        Answer kept for a repeat of a non-idempotent call, or None.
    load : LoadHeader or None
        Load that the backend server told on its answer.
    """

    attempt_id: int
    output_tokens: int = 0
    answer: object = None
    load: LoadHeader | None = None


class AttemptFailed(Struct, frozen=True):
    """An attempt gave no whole answer.

    Parameters
    ----------
    sent : bool
        Whether a byte of the request may have left.
    emitted_tokens : int
        Tokens of this request passed on to the caller so far.
    reason : str
    lost_connection : bool
        Whether the connection was refused, reset or closed without an answer.
    sends : int or None
        Servers that it may have been sent to; None where a peer has not told.
    """

    attempt_id: int
    sent: bool
    emitted_tokens: int = 0
    reason: str = "failed"
    lost_connection: bool = False
    sends: int | None = 1


class AttemptRefused(Struct, frozen=True):
    """The far side has answered with an error.

    Parameters
    ----------
    error : CallerError
        With the outcome that the far side has said.
    sends : int or None
        Servers that it was sent to; None where a peer has not told.
    """

    attempt_id: int
    error: CallerError
    load: LoadHeader | None = None
    sends: int | None = 1


class FeedRead(Struct, frozen=True):
    """The platform has answered a read or watch of a feed."""

    snapshot: Snapshot


class FeedReadFailed(Struct, frozen=True):
    """The platform has not answered a read or watch of a feed."""

    key: str
    reason: str


class CapacityOfferReceived(Struct, frozen=True):
    """A daemon of another region has told its room with a forwarded answer.

    Parameters
    ----------
    vm, pool : str
    spare : float
        Free slots.
    wait_ms : float
    """

    vm: str
    pool: str
    spare: float
    wait_ms: float


class FeedSourceResponded(Struct, frozen=True):
    """The publisher of the feeds has answered, with or without news."""


class LoadReported(Struct, frozen=True):
    """The address of a backend server has answered with a load report.

    Parameters
    ----------
    server : str
        The server that was asked; the report may name another.
    """

    server: str
    report: LoadReport


class LoadReadFailed(Struct, frozen=True):
    """A backend server has not answered for its load."""

    server: str


class HealthCheckAnswered(Struct, frozen=True):
    """The address of a backend server has answered, without a load report.

    Parameters
    ----------
    server : str
        The server that was asked.
    name, incarnation : str, int
        The server that has answered.
    warm_up_left_ms : int
        How much longer it says that it stays cold.
    """

    server: str
    name: str
    incarnation: int
    warm_up_left_ms: int = 0


class CacheEventsReceived(Struct, frozen=True):
    """An engine has published cache events."""

    events: CacheEvents


class OrderAnswered(Struct, frozen=True):
    """An engine has answered an order."""

    server: str
    accepted: bool
    reason: str = ""


class PeerMessagesReceived(Struct, frozen=True):
    """Messages of a peer have been received.

    Parameters
    ----------
    envelope : Envelope
    answer : bool
        Whether they answer a message of ours.
    """

    envelope: object
    answer: bool = False


class PeerUnreachable(Struct, frozen=True):
    """A message to a peer could not be delivered."""

    vm: str


class StopRequested(Struct, frozen=True):
    """The operator has asked for a graceful shutdown."""
