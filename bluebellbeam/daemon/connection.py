"""One HTTP/1.1 connection to a backend server or a peer.

The connection knows what a general client hides: whether a byte of a request
has left, whether an answer without a length ended or was reset, and whether
bytes came that belong to no answer. Only a connection whose last answer was
whole and followed by nothing is used again.
"""

import asyncio
import contextlib
import socket
from collections import deque

import httptools

from bluebellbeam.exception import UpstreamError

__all__ = ["UpstreamConnection", "UpstreamConnectionError", "open_upstream_connection"]

MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes of an answer that may wait here before reading pauses."""

MAX_RESPONSE_HEADER_BYTES = 64 * 1024
"""Largest head of an answer."""

TCP_USER_TIMEOUT_MS = 2000
"""Unacknowledged bytes older than this end a connection."""

TCP_KEEPALIVE_IDLE_S = 2
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
"""A peer that is gone without a reset is noticed within about four seconds,
before a caller that waits for its stream gives up for good."""

BODILESS_STATUSES = frozenset({204, 304})


class UpstreamConnectionError(UpstreamError):
    """Raised when a connection gives no usable answer.

    Parameters
    ----------
    reason : str
    lost : bool
        Whether the connection was refused, reset or closed.
    """

    def __init__(self, reason, lost=False):
        super().__init__(reason)
        self.lost = lost


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes
    ----------
    key : hashable
        Process at the other end.
    uses : int
        Requests sent on it.
    idle_since_ms : int
        When its last answer ended.
    keep_alive_ms : int or None
        How long the other side keeps it open while idle, as last told.
    status : int
    headers : list of (str, str)
        Of the current answer, names in lower case.
    """

    __slots__ = (
        "key",
        "uses",
        "idle_since_ms",
        "keep_alive_ms",
        "status",
        "headers",
        "_transport",
        "_parser",
        "_in_flight",
        "_head_bytes",
        "_head_done",
        "_complete",
        "_framed",
        "_error",
        "_invalidated",
        "_chunks",
        "_buffered_bytes",
        "_waiter",
        "_method",
    )

    def __init__(self, key):
        self.key = key
        self.uses = 0
        self.idle_since_ms = 0
        self.keep_alive_ms = None
        self._transport = None
        self._waiter = None
        self._invalidated = False
        self._error = None
        self._reset_response("")
        self._in_flight = False

    # What the event loop calls.

    def connection_made(self, transport):
        """Keep the transport and bound how long a silent peer is believed."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_tcp_timeouts(sock)

    def data_received(self, data):
        """Parse bytes of the current answer; others spoil the connection."""
        if not self._in_flight or self._complete:
            self._invalidate()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the answer changes the protocol", lost=False)
        except httptools.HttpParserError as error:
            if self._complete:
                self._invalidate()
            else:
                self._fail(f"the answer is malformed: {error}", lost=False)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._transport.pause_reading()
        self._wake()

    def connection_lost(self, exc):
        """End the current answer: whole only where its end tells so."""
        self._invalidated = True
        if self._in_flight and not self._complete:
            unframed = self._head_done and not self._framed
            if unframed and exc is None:
                self._complete = True
            else:
                self._fail("the connection ended before the answer", lost=True)
        self._wake()

    # What the parser calls.

    def on_message_begin(self):
        """Notice a second answer behind the first."""
        if self._complete:
            self._invalidated = True

    def on_header(self, name, value):
        """Collect a header."""
        if self._complete:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_RESPONSE_HEADER_BYTES:
            self._fail("the head of the answer is too large", lost=False)
            return
        pair = (name.decode("latin-1").lower(), value.decode("latin-1"))
        self.headers.append(pair)

    def on_headers_complete(self):
        """Learn the status and how the answer is framed."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self.headers.clear()
            return
        self.status = status
        names = {name for name, _ in self.headers}
        self._framed = bool(names & {"content-length", "transfer-encoding"})
        self._framed = self._framed or status in BODILESS_STATUSES
        self._head_done = True
        if self._method == "HEAD":
            self._complete = True

    def on_body(self, data):
        """Keep a piece of the body."""
        if not self._complete:
            self._chunks.append(data)
            self._buffered_bytes += len(data)

    def on_message_complete(self):
        """Note that the answer is whole."""
        if self._head_done:
            self._complete = True

    # What the rest of the daemon calls.

    @property
    def is_reusable(self):
        """Whether another request may be sent on the connection."""
        closing = self._transport is None or self._transport.is_closing()
        return not (closing or self._invalidated or self._in_flight)

    def send(self, method, head, body):
        """Send a request.

        Parameters
        ----------
        method : str
        head : bytes
            Request line and headers with the empty line behind them.
        body : bytes
        """
        self._reset_response(method)
        self.uses += 1
        self._transport.write(head + body if body else head)

    async def read_head(self):
        """Wait for status and headers of the answer.

        Raises
        ------
        UpstreamConnectionError
            If the connection ends or the answer is malformed.
        """
        while not self._head_done:
            await self._wait()

    async def read_some(self):
        """Return the bytes of the body that have come, or b"" at its end.

        Raises
        ------
        UpstreamConnectionError
            If the answer is not whole.
        """
        while not self._chunks:
            if self._complete:
                return b""
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    async def read_all(self, limit_bytes):
        """Return the whole body.

        Raises
        ------
        UpstreamConnectionError
            If the answer is not whole or longer than `limit_bytes`.
        """
        parts = []
        size = 0
        while data := await self.read_some():
            parts.append(data)
            size += len(data)
            if size > limit_bytes:
                raise UpstreamConnectionError("the answer is too large")
        return b"".join(parts)

    def finish(self, now_ms):
        """End the current request; the connection is closed unless reusable."""
        unsent = self._transport.get_write_buffer_size() if self._transport else 0
        whole = self._complete and self._framed and not (self._chunks or unsent)
        self._in_flight = False
        self.idle_since_ms = now_ms
        if not whole or self._has_close_header():
            self.close()
            return
        self.keep_alive_ms = _keep_alive_ms(self.headers)

    def close(self):
        """Close at once; the other side sees that nobody waits any more."""
        self._invalidated = True
        if self._transport is not None:
            self._transport.abort()

    def _has_close_header(self):
        return any(
            name == "connection" and "close" in value.lower()
            for name, value in self.headers
        )

    def _reset_response(self, method):
        self._parser = httptools.HttpResponseParser(self)
        self._method = method
        self._in_flight = True
        self.status = 0
        self.headers = []
        self._head_bytes = 0
        self._head_done = False
        self._complete = False
        self._framed = False
        self._error = None
        self._chunks = deque()
        self._buffered_bytes = 0

    def _fail(self, reason, lost):
        self._invalidated = True
        if self._error is None:
            self._error = UpstreamConnectionError(reason, lost)

    def _invalidate(self):
        """Close a connection on which bytes came that nobody waits for."""
        self._invalidated = True
        if not self._in_flight and self._transport is not None:
            self._transport.abort()

    async def _wait(self):
        if self._error is not None:
            raise self._error
        if self._transport is None or self._transport.is_closing():
            raise UpstreamConnectionError("the connection is closed", lost=True)
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
        if self._error is not None and not self._chunks:
            raise self._error

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _keep_alive_ms(headers):
    for name, value in headers:
        if name != "keep-alive":
            continue
        for item in value.split(","):
            key, _, seconds = item.strip().partition("=")
            if key == "timeout" and seconds.isdecimal():
                return int(seconds) * 1000
            if key.isdecimal():
                return int(key) * 1000
    return None


def _set_tcp_timeouts(sock):
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    )
    for level, name, value in options:
        # Not every system knows every option; the request's own limit remains.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, value)


async def open_upstream_connection(key, address, timeout_ms):
    """Open a connection to ``ip:port``.

    Raises
    ------
    UpstreamConnectionError
        If it is not established within `timeout_ms`.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(key), host, int(port)
            )
    except (TimeoutError, OSError, ValueError) as error:
        text = f"no connection to {address}: {type(error).__name__}"
        raise UpstreamConnectionError(text, lost=True) from error
    return connection
