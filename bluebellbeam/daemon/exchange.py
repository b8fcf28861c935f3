"""Exchanges: requests in progress with the queue of their response.

An upstream attempt puts the parts of a response into the queue, and the listener
that received the request sends them to the caller or to the forwarding peer.
"""

import asyncio
from collections import deque

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
"""Items queued for a slow caller before reading from the server pauses."""


class Head(Struct, frozen=True):
    """Status and headers, sent before the chunks of a response."""

    status: int
    headers: dict[str, str]


class Chunk(Struct, frozen=True):
    """A part of a response body.

    Parameters
    ----------
    events : tuple of bytes
        For a model, the JSON data of events without their framing; for a routed
        request, raw events; for a plain service, the whole body.
    """

    events: tuple[bytes, ...]


class End(Struct, frozen=True):
    """Marks the end of a complete response."""


class FullResponse(Struct, frozen=True):
    """A complete response to a routed request, sent in one piece.

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
    """Ends a response with the final error of the request.

    Parameters
    ----------
    error : CallerError
    """

    error: object


class Exchange:
    """A request in progress and the queue of its response.

    Attributes
    ----------
    request : Request
        Request as the node knows it.
    payload : bytes
        Request body as received.
    headers : dict of str to str
        Request headers forwarded to a plain service.
    query : str
        Query string of a call to a plain service.
    body : ChatBody or None
        Decoded body of a completion request.
    text : list of str
        Text queued for the caller so far, needed to resume on another server.
    emitted : int
        Tokens, or events of a routed request, queued for the caller so far.
    items : collections.deque
        Parts of the response that the caller has not been sent yet.
    arrived_ms : int
        Time at which the request arrived.
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
        "_reader",
        "_writer",
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
        self.items = deque()
        self._reader = None
        self._writer = None
        self.arrived_ms = arrived_ms

    async def put(self, item):
        """Queue an item for the caller; wait while the queue is full.

        Only one task at a time may wait here.
        """
        while len(self.items) >= MAX_QUEUED_CHUNKS:
            self._writer = asyncio.get_running_loop().create_future()
            await self._writer
        self._append(item)

    def replay(self, items):
        """Queue the items of a recorded response without waiting."""
        for item in items:
            self._append(item)

    def fail(self, error):
        """Queue the final error after the items already queued."""
        self._append(Failed(error))

    async def next_item(self):
        """Wait for the next item and return it.

        Chunks that are queued in a row are returned as one, so that the events that
        are ready together are sent in one write.
        """
        while not self.items:
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        item = self.items.popleft()
        if isinstance(item, Chunk) and self.items:
            item = self._join_chunks(item)
        _wake(self._writer)
        return item

    def _append(self, item):
        self.items.append(item)
        _wake(self._reader)

    def _join_chunks(self, first):
        events = list(first.events)
        while self.items and isinstance(self.items[0], Chunk):
            events.extend(self.items.popleft().events)
        return Chunk(tuple(events))


def _wake(waiter):
    """Resume the task that waits for the future `waiter`, if there is one."""
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


class RoutedExchange(Exchange):
    """A routed request in progress and the queue of its response.

    Attributes
    ----------
    head : RequestHead
        Fields decoded from the request headers.
    target : str
        Path and query string as received.
    last_event_id : str
        Id of the last event queued for the caller, or the one it resumes after.
    head_sent : bool
        Whether the status and headers have been queued for the caller.
    failed_response : FullResponse or None
        Last 5xx response of a server to an idempotent request; passed on if no
        retry succeeds.
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
    """Return the exchange of a new request."""
    return Exchange(request, payload, headers, query, body, arrived_ms)
