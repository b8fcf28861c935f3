"""What a node wants done: the outputs of its decisions."""

from msgspec import Struct

from bluebellbeam.node.errors import CallerError
from bluebellbeam.provider.records import Order

__all__ = [
    "SendErrorResponse",
    "SendRecordedResponse",
    "CancelAttempt",
    "Exit",
    "SendOrder",
    "Log",
    "ReadFeed",
    "ReadLoad",
    "SendToPeer",
    "StartAttempt",
]


class StartAttempt(Struct, frozen=True):
    """Send a request to a backend server, or forward it to a lender.

    Parameters
    ----------
    attempt_id : int
    request : Request
    server, incarnation, address : str, int, str
        Backend server, or empty.
    peer, peer_address : str
        Lender, or empty.
    lease_id : str
    resume_tokens : int
        Tokens that the caller already has.
    expires_ms : int
        The first byte must not leave after this time.
    prefix_source : str
        Address of a server to copy shared parts of the prompt from, or empty.
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


class CancelAttempt(Struct, frozen=True):
    """Stop an attempt and cancel its work at the backend server."""

    attempt_id: int


class SendErrorResponse(Struct, frozen=True):
    """Give a request its final error."""

    request_id: str
    error: CallerError


class SendRecordedResponse(Struct, frozen=True):
    """Give a repeated operation its recorded answer."""

    request_id: str
    answer: object


class SendToPeer(Struct, frozen=True):
    """Send messages to a peer."""

    vm: str
    address: str
    messages: tuple


class ReadFeed(Struct, frozen=True):
    """Read a feed of the platform.

    Parameters
    ----------
    after_version : int
        The answer may wait until there is a newer version.
    wait : bool
        False asks for an answer at once.
    """

    key: str
    after_version: int
    wait: bool


class ReadLoad(Struct, frozen=True):
    """Ask a backend server whether it runs, and for its load.

    Parameters
    ----------
    server, incarnation : str, int
        The server that is expected at the address.
    health_path : str
        Path of the health check of its service, if it offers one.
    """

    server: str
    address: str
    incarnation: int = 0
    health_path: str = ""


class SendOrder(Struct, frozen=True):
    """Give an order to an engine.

    Parameters
    ----------
    expires_ms : int
        The order must not leave after this time.
    """

    address: str
    order: Order
    expires_ms: int


class Log(Struct, frozen=True):
    """Write a log line.

    Parameters
    ----------
    part : str
        Fixed prefix of the part that speaks.
    sentence : str
    request_id : str
    fields : dict of str to object
        What was decided on, its age or version, and the outcome.
    """

    part: str
    sentence: str
    request_id: str = ""
    fields: dict[str, object] = {}


class Exit(Struct, frozen=True):
    """Everything in flight has ended; the process may end."""
