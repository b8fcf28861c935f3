import asyncio
import unittest

import aiohttp
import structlog
from structlog.testing import capture_logs

from bluebellbeam.daemon.connection_pool import make_connection_pool
from bluebellbeam.utils.clock import manual_clock
from bluebellbeam.utils.http_connector import CheckedConnector

REQUEST = b"%s / HTTP/1.1\r\nHost: a\r\n\r\n"
FRAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EMPTY = b"HTTP/1.1 204 No Content\r\n\r\n"

RESPONSES = {
    "length": ("GET", FRAMED + b"first", b"first"),
    "chunked": ("GET", CHUNKED + b"5\r\nfirst\r\n0\r\n\r\n", b"first"),
    "interim responses": ("GET", CONTINUE + EARLY_HINTS + FRAMED + b"first", b"first"),
    "no content": ("GET", EMPTY, b""),
    "HEAD": ("HEAD", FRAMED, b""),
}
"""Method, response and body by kind of response."""

UNEXPECTED = {
    "duplicate": lambda raw: raw,
    "start of a duplicate": lambda raw: raw[:7],
    "interim response": lambda raw: EARLY_HINTS,
    "body": lambda raw: b"first",
}
"""Bytes that follow a response, given the response."""


class DuplicatingServer:
    """Server that repeats bytes after the first response of a connection.

    Attributes
    ----------
    closed : asyncio.Event
        Set when the first connection has been closed by the client.
    """

    def __init__(self, response, extra, when):
        self.response = response
        self.extra = extra
        self.when = when
        self.closed = asyncio.Event()
        self.send_extra = asyncio.Event()
        self.connections = 0

    async def start(self, case):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        case.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        self.connections += 1
        duplicates = self.connections == 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not duplicates:
                    writer.write(FRAMED + (b"" if head[:4] == b"HEAD" else b"other"))
                    continue
                writer.write(
                    self.response + (self.extra if self.when == "same read" else b"")
                )
                if self.when == "idle":
                    await self.send_extra.wait()
                    writer.write(self.extra)
        except (asyncio.IncompleteReadError, ConnectionError):
            if duplicates:
                self.closed.set()
        except asyncio.CancelledError:
            return
        writer.close()


class TestDuplicateResponse(unittest.IsolatedAsyncioTestCase):
    """Guards against a caller that gets bytes of a response to another request."""

    def setUp(self):
        # A command that ran before may have raised the log level of this process.
        self.addCleanup(structlog.configure, **structlog.get_config())
        structlog.reset_defaults()

    async def fetch_twice(self, method, response, extra, when):
        """Return the body of two requests in a row, the server and the log lines."""
        server = DuplicatingServer(response, extra, when)
        address = await server.start(self)
        pool = make_connection_pool(manual_clock())
        self.addCleanup(pool.close)
        bodies = []
        with capture_logs() as lines:
            for _ in range(2):
                connection = await pool.acquire("s", address)
                connection.send(method, REQUEST % method.encode(), b"")
                await connection.read_head()
                bodies.append(await connection.read_all(1000))
                pool.release(connection)
                server.send_extra.set()
                async with asyncio.timeout(10):
                    await server.closed.wait()
        return bodies, server, lines

    async def test_connection_is_closed_and_the_failure_is_logged_once(self):
        for kind, (method, response, body) in RESPONSES.items():
            for name, make_extra in UNEXPECTED.items():
                for when in ("same read", "idle"):
                    with self.subTest(response=kind, extra=name, when=when):
                        found = await self.fetch_twice(
                            method, response, make_extra(response), when
                        )
                        bodies, server, lines = found
                        other = b"" if method == "HEAD" else b"other"
                        self.assertEqual(bodies, [body, other])
                        self.assertEqual(server.connections, 2)
                        logged = [
                            line for line in lines if "complete response" in str(line)
                        ]
                        self.assertEqual(len(logged), 1)

    async def test_response_after_a_timeout_reaches_no_other_request(self):
        server = DuplicatingServer(FRAMED + b"fi", b"rst" + FRAMED + b"first", "idle")
        address = await server.start(self)
        pool = make_connection_pool(manual_clock())
        self.addCleanup(pool.close)
        connection = await pool.acquire("s", address)
        connection.send("GET", REQUEST % b"GET", b"")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await connection.read_head()
                await connection.read_all(1000)
                await connection.read_all(1000)
        pool.release(connection)
        server.send_extra.set()
        connection = await pool.acquire("s", address)
        connection.send("GET", REQUEST % b"GET", b"")
        await connection.read_head()
        self.assertEqual(await connection.read_all(1000), b"other")


class TestDuplicateResponseToSession(unittest.IsolatedAsyncioTestCase):
    """Guards against a health check or a read of the store that gets another's."""

    async def test_bytes_on_an_idle_connection_reach_no_other_request(self):
        for when in ("same read", "idle"):
            with self.subTest(when):
                server = DuplicatingServer(FRAMED + b"first", FRAMED + b"first", when)
                address = await server.start(self)
                connector = CheckedConnector(limit=0, keepalive_timeout=30)
                async with aiohttp.ClientSession(connector=connector) as session:
                    bodies = []
                    for _ in range(2):
                        async with session.get(f"http://{address}/") as response:
                            bodies.append(await response.read())
                        server.send_extra.set()
                        await asyncio.sleep(0.1)
                self.assertEqual(bodies, [b"first", b"other"])


if __name__ == "__main__":
    unittest.main()
