"""Commands returned by a node for the I/O layer to carry out."""

from msgspec import Struct

from bluebellbeam.node.errors import CallerError
from bluebellbeam.provider.records import Order

__all__ = [
    "CancelAttempt",
    "Exit",
    "Log",
    "ReadFeed",
    "ReadLoad",
    "SendErrorResponse",
    "SendOrder",
    "SendRecordedResponse",
    "SendToPeer",
    "StartAttempt",
]


class StartAttempt(Struct, frozen=True):
    """Send a request to a backend server, or forward it to a peer.

    Parameters
    ----------
    attempt_id : int
    request : Request
    server, incarnation, address : str, int, str
        Target backend server; empty when the request is forwarded.
    peer, peer_address : str
        Peer that the request is forwarded to, or empty.
    lease_id : str
        Lease that the forwarded request uses, or empty.
    resume_tokens : int
        Output tokens already sent to the caller by earlier attempts.
    expires_ms : int
        Time after which the first byte must not be sent.
    prefix_source : str
        Address of a server to copy the prompt prefix from, or empty.
    retried_names : tuple of str
        Names of a forwarded request under which a server was lost before.
    """

    attempt_id: int
    request: object
    server: str = ""
    incarnation: int = 0
    address: str = ""
    peer: str = ""
    peer_address: str = ""
    lease_id: str = ""
    resume_tokens: int = 0
    expires_ms: int = 0
    prefix_source: str = ""
    retried_names: tuple[str, ...] = ()


class CancelAttempt(Struct, frozen=True):
    """Stop an attempt and cancel its work at the backend server."""

    attempt_id: int


class SendErrorResponse(Struct, frozen=True):
    """Send the final error response of a request."""

    request_id: str
    error: CallerError


class SendRecordedResponse(Struct, frozen=True):
    """Respond to a repeated operation with the recorded response."""

    request_id: str
    answer: object


class SendToPeer(Struct, frozen=True):
    """Send messages to a peer.

    Parameters
    ----------
    vm : str
        Name of the peer; empty when only its address is known.
    address : str
        Peer address; empty when the messages can only be returned in the
        response to a message of that peer.
    messages : tuple of Message
    """

    vm: str
    address: str
    messages: tuple


class ReadFeed(Struct, frozen=True):
    """Read a feed from the platform.

    Parameters
    ----------
    key : str
    after_version : int
        Version held; only a newer one is of interest.
    wait : bool
        Whether the platform may hold the response until there is a newer
        version (long poll).
    """

    key: str
    after_version: int
    wait: bool


class ReadLoad(Struct, frozen=True):
    """Read the load of a backend server, or run its health check.

    Parameters
    ----------
    server, incarnation : str, int
        Server expected at `address`.
    address : str
    health_path : str
        Path of the service's health check, or empty.
    sent_ms : int
        Time of the command.
    """

    server: str
    address: str
    incarnation: int = 0
    health_path: str = ""
    sent_ms: int = 0


class SendOrder(Struct, frozen=True):
    """Send an order to load or unload models to an engine.

    Parameters
    ----------
    address : str
    order : Order
    expires_ms : int
        Time after which the order must not be sent.
    """

    address: str
    order: Order
    expires_ms: int


class Log(Struct, frozen=True):
    """Write a log line.

    Parameters
    ----------
    part : str
        Subsystem that logs; written before the sentence.
    sentence : str
    request_id : str
    fields : dict of str to object
        Structured fields, such as the values a decision was based on, their
        age or version, and the outcome.
    """

    part: str
    sentence: str
    request_id: str = ""
    fields: dict[str, object] = {}


class Exit(Struct, frozen=True):
    """End the process: no requests are in flight, or the grace period is over."""
