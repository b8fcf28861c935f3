import asyncio
import unittest

from bluebellbeam.daemon.connection import (
    UpstreamConnectionError,
    open_upstream_connection,
)

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS = {
    "bytes that are no response": (b"", b"\x00\x07noise"),
    "status line": (b"HTTP/1.1 200 ", b"OK and "),
    "header line": (HEAD + b"X-A: ", b"aaaaaaaa"),
    "header lines": (HEAD, b"X-A: aaaa\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"a=b;"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: aaaa\r\n"),
    "trailer line": (CHUNKED + b"0\r\nX-A: ", b"aaaaaaaa"),
    "body": (HEAD + b"\r\n", b"aaaaaaaa"),
    "body in tiny chunks": (CHUNKED, b"1\r\na\r\n"),
}
BLOCK_BYTES = 8192
MAX_BODY_BYTES = 200_000


class EndlessServer:
    """Server that sends the same bytes until its peer closes the connection."""

    def __init__(self, first, repeated):
        self.first = first
        self.block = repeated * (BLOCK_BYTES // len(repeated))
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.first)
            while True:
                writer.write(self.block)
                self.sent_bytes += len(self.block)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed.set()
        except asyncio.CancelledError:
            return


class TestResponseWithoutEnd(unittest.IsolatedAsyncioTestCase):
    async def open(self, first, repeated):
        endless = EndlessServer(first, repeated)
        server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        connection = await open_upstream_connection("s", f"{host}:{port}", 1000)
        self.addCleanup(connection.close)
        connection.send("GET", REQUEST, b"")
        return endless, connection

    async def test_endless_response_fails_and_its_connection_is_closed(self):
        for place, (first, repeated) in ENDLESS.items():
            with self.subTest(place):
                endless, connection = await self.open(first, repeated)
                async with asyncio.timeout(5):
                    with self.assertRaises(UpstreamConnectionError):
                        await connection.read_head()
                        await connection.read_all(MAX_BODY_BYTES)
                    connection.finish(0)
                    await endless.closed.wait()
                self.assertLess(endless.sent_bytes, 16_000_000)

    async def test_bytes_after_the_end_close_the_connection(self):
        first = HEAD + b"Content-Length: 2\r\n\r\nhi"
        endless, connection = await self.open(first, b"HTTP/1.1 200 OK\r\n")
        async with asyncio.timeout(5):
            await connection.read_head()
            self.assertEqual(await connection.read_all(10), b"hi")
            connection.finish(0)
            await endless.closed.wait()

    async def test_small_chunks_with_much_framing_are_a_whole_response(self):
        body = b"".join(b"1;%s\r\na\r\n" % (b"x" * 40) for _ in range(20_000))
        raw = CHUNKED + body + b"0\r\nX-A: b\r\n\r\n"

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(raw)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        connection = await open_upstream_connection("s", f"{host}:{port}", 1000)
        self.addCleanup(connection.close)
        connection.send("GET", REQUEST, b"")
        await connection.read_head()
        self.assertEqual(await connection.read_all(MAX_BODY_BYTES), b"a" * 20_000)


if __name__ == "__main__":
    unittest.main()
