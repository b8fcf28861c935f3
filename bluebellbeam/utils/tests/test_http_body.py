import asyncio
import socket
import struct
import unittest

import aiohttp
from aiohttp import web

from bluebellbeam.standins.http import StandinServer
from bluebellbeam.utils.http_body import CheckedResponse, read_body

BLOCK = b"x" * 65_536


class EndlessServer:
    """Server of responses with bodies without end."""

    def __init__(self, headers):
        self.headers = headers
        self.sent_bytes = 0
        self.closed = asyncio.Event()
        app = web.Application()
        app.router.add_get("/{path:.*}", self.respond)
        self.server = StandinServer(app)

    async def respond(self, request):
        response = web.StreamResponse(headers=self.headers)
        await response.prepare(request)
        try:
            while True:
                await response.write(BLOCK)
                self.sent_bytes += len(BLOCK)
        except ConnectionError:
            self.closed.set()
        return response


class EndlessBodyCase(unittest.IsolatedAsyncioTestCase):
    HEADERS = {}

    async def asyncSetUp(self):
        self.endless = EndlessServer(self.HEADERS)
        await self.endless.server.start()
        self.addAsyncCleanup(self.endless.server.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def check_closed(self):
        async with asyncio.timeout(2):
            await self.endless.closed.wait()
        self.assertLess(self.endless.sent_bytes, 16_000_000)


class TestBodyWithoutEnd(EndlessBodyCase):
    async def test_body_is_read_up_to_its_limit(self):
        url = f"http://{self.endless.server.address}/x"
        async with self.session.get(url) as response:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await read_body(response, 100_000)
        await self.check_closed()


class TestBodyWithoutLength(unittest.IsolatedAsyncioTestCase):
    async def fetch(self, reset):
        """Read a body without a length whose connection is closed or reset."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
            await writer.drain()
            await asyncio.sleep(0.02)
            if reset:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        async with (
            aiohttp.ClientSession(response_class=CheckedResponse) as session,
            session.get(f"http://{host}:{port}/") as response,
        ):
            return await read_body(response, 1000)

    async def test_close_ends_the_body(self):
        self.assertEqual(await self.fetch(reset=False), b"part")

    async def test_reset_within_the_body_is_an_error(self):
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.fetch(reset=True)


if __name__ == "__main__":
    unittest.main()
