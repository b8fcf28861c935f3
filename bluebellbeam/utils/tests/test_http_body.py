import asyncio
import unittest

import aiohttp
from aiohttp import web

from bluebellbeam.standins.http import StandinServer
from bluebellbeam.utils.http_body import read_body

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


if __name__ == "__main__":
    unittest.main()
