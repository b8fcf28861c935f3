"""HTTP/1.1 on asyncio streams, for the stand-ins of clients, servers and the store."""

import asyncio
import contextlib
import socket

__all__ = ["Answer", "Request", "read_answer_head", "read_request", "send", "serve"]

MAX_LINE_BYTES = 128 * 1024


class Request:
    """A request as a stand-in has read it.

    Attributes
    ----------
    method, path : str
    query : dict of str to str
    headers : dict of str to str
        Names in lower case.
    body : bytes
    """

    __slots__ = ("method", "path", "query", "headers", "body")

    def __init__(self, method, target, headers):
        self.method = method
        self.path, _, raw = target.partition("?")
        pairs = (item.partition("=") for item in raw.split("&") if item)
        self.query = {name: _unquote(value) for name, _, value in pairs}
        self.headers = headers
        self.body = b""


def _unquote(text):
    raw = bytearray()
    index = 0
    while index < len(text):
        if text[index] == "%":
            raw.append(int(text[index + 1 : index + 3], 16))
            index += 3
        else:
            raw += text[index].encode()
            index += 1
    return raw.decode()


def _parse_headers(lines):
    found = {}
    for line in lines:
        name, _, value = line.partition(":")
        found[name.strip().lower()] = value.strip()
    return found


async def read_request(reader):
    """Return the next request of a connection, or None at its end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    request = Request(method, target, _parse_headers(lines))
    try:
        length = int(request.headers.get("content-length", 0))
        request.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


def send(writer, status, headers, body=b"", reason="X"):
    """Write a complete answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


class Answer:
    """Head of an answer, and a reader of its body in pieces.

    Attributes
    ----------
    status : int
    headers : dict of str to str
    """

    __slots__ = ("status", "headers", "_reader")

    def __init__(self, status, headers, reader):
        self.status = status
        self.headers = headers
        self._reader = reader

    async def pieces(self):
        """Yield the pieces of the body; raises an error if it is broken off."""
        if self.headers.get("transfer-encoding", "") == "chunked":
            while True:
                line = await self._reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                data = await self._reader.readexactly(size + 2)
                if not size:
                    return
                yield data[:-2]
        elif "content-length" in self.headers:
            yield await self._reader.readexactly(int(self.headers["content-length"]))
        else:
            while data := await self._reader.read(65536):
                yield data

    async def body(self):
        """Return the whole body."""
        return b"".join([piece async for piece in self.pieces()])


async def read_answer_head(reader):
    """Return the :class:`Answer` that begins on a connection."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    return Answer(int(first.split(" ")[1]), _parse_headers(lines), reader)


async def serve(handle, host, port=0):
    """Return a server that calls `handle(request, reader, writer)` for each request.

    A connection ends when the handler returns False.
    """

    async def run(reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                if await handle(request, reader, writer) is False:
                    break
        writer.close()

    return await asyncio.start_server(run, host, port, limit=MAX_LINE_BYTES)
