"""Memory of the bodies of open requests, kept while they may be sent again."""

__all__ = [
    "MAX_HELD_BYTES",
    "RequestBodies",
    "hold_body",
    "make_request_bodies",
    "release_body",
]

MAX_HELD_BYTES = 64 * 1024 * 1024
"""Largest total size of the bodies that a daemon holds, so that many long requests do
not use up the memory of its VM."""

SMALL_BODY_BYTES = 64 * 1024
"""Size up to which a body is held even if others have used up the total."""


class RequestBodies:
    """Sizes of the held bodies of a daemon.

    Attributes
    ----------
    used_bytes, most_bytes : int
        Total size now, and the largest so far.
    """

    __slots__ = ("used_bytes", "most_bytes")

    def __init__(self):
        self.used_bytes = 0
        self.most_bytes = 0


def make_request_bodies():
    """Return the sizes for a daemon without open requests."""
    return RequestBodies()


def hold_body(bodies, exchange):
    """Count the body of a new request; return False if it exceeds `MAX_HELD_BYTES`.

    Parameters
    ----------
    bodies : RequestBodies
    exchange : RoutedExchange
    """
    size = len(exchange.payload)
    total_bytes = bodies.used_bytes + size
    if total_bytes > MAX_HELD_BYTES and size > SMALL_BODY_BYTES:
        return False
    bodies.used_bytes = total_bytes
    bodies.most_bytes = max(bodies.most_bytes, total_bytes)
    return True


def release_body(bodies, exchange):
    """Drop the body of a held request, which is not sent any more."""
    bodies.used_bytes -= len(exchange.payload)
    exchange.payload = b""
