"""The channel between an attempt and the caller that waits for its answer."""

import asyncio

from msgspec import Struct

__all__ = [
    "Chunk",
    "End",
    "Exchange",
    "Failed",
    "Head",
    "RoutedExchange",
    "FullResponse",
    "make_exchange",
]

MAX_QUEUED_CHUNKS = 64
"""Chunks that may wait for a slow caller before the engine is held back."""


class Head(Struct, frozen=True):
    """Status and headers of an answer."""

    status: int
    headers: dict[str, str]


class Chunk(Struct, frozen=True):
    """A piece of the answer's body.

    Parameters
    ----------
    events : tuple of bytes
        For a model, JSON events without their framing; for a plain service
        the whole body.
    """

    events: tuple[bytes, ...]


class End(Struct, frozen=True):
    """The answer is whole."""


class FullResponse(Struct, frozen=True):
    """A whole answer of a routed request.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
    payload : bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    payload: bytes


class Failed(Struct, frozen=True):
    """The request has a final error.

    Parameters
    ----------
    error : CallerError
    """

    error: object


class Exchange:
    """What is known of a caller's request outside the node.

    Attributes
    ----------
    payload : bytes
        Body as the caller sent it.
    headers : dict of str to str
        Headers that are passed on to a plain service.
    query : str
    body : ChatBody or None
    text : list of str
        Text given to the caller so far, for a resume.
    emitted : int
        Tokens given to the caller so far.
    """

    __slots__ = (
        "request",
        "payload",
        "headers",
        "query",
        "body",
        "text",
        "emitted",
        "items",
        "_free_chunks",
        "arrived_ms",
    )

    def __init__(self, request, payload, headers, query, body, arrived_ms):
        self.request = request
        self.payload = payload
        self.headers = headers
        self.query = query
        self.body = body
        self.text = []
        self.emitted = 0
        self.items = asyncio.Queue()
        self._free_chunks = asyncio.Semaphore(MAX_QUEUED_CHUNKS)
        self.arrived_ms = arrived_ms

    async def put(self, item):
        """Give the caller an item, waiting while it is slow to read."""
        await self._free_chunks.acquire()
        self.items.put_nowait(item)

    def replay(self, items):
        """Give the caller an answer that has been kept, all at once."""
        for item in items:
            self.items.put_nowait(item)

    def fail(self, error):
        """Give the caller its final error, behind all that it already has."""
        self.items.put_nowait(Failed(error))

    async def next_item(self):
        """Return the next item for the caller."""
        item = await self.items.get()
        self._free_chunks.release()
        return item


class RoutedExchange(Exchange):
    """What is known of a routed request outside the node.

    Attributes
    ----------
    head : RequestHead
    target : str
        Path and query as the caller sent them.
    last_event_id : str
        Last event that the caller has, from this answer or before it.
    head_sent : bool
        Whether the caller has been given a status.
    failed_response : Whole or None
        Failure that a server has answered and that may be tried elsewhere.
    """

    __slots__ = ("head", "target", "last_event_id", "head_sent", "failed_response")

    def __init__(self, request, payload, head, target, arrived_ms):
        super().__init__(request, payload, {}, "", None, arrived_ms)
        self.head = head
        self.target = target
        self.last_event_id = head.resume_after
        self.head_sent = False
        self.failed_response = None


def make_exchange(request, payload, headers, query, body, arrived_ms):
    """Return the exchange of a request that has just arrived."""
    return Exchange(request, payload, headers, query, body, arrived_ms)
