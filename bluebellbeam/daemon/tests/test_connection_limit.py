import asyncio
import unittest
from unittest.mock import patch

import uvloop
from sanic import response

from bluebellbeam.daemon.connection_limit import (
    has_refused_lately,
    make_connection_limit,
)
from bluebellbeam.daemon.listener import (
    bind_address,
    make_listener_app,
    start_listener,
    stop_listener,
)
from bluebellbeam.utils.clock import monotonic_clock

MAX_OPEN = 4
WAIT_S = 2.0
REQUEST = b"GET /ping HTTP/1.1\r\nHost: a\r\n\r\n"


class TestConnectionLimit(unittest.TestCase):
    def run_with(self, step):
        async def run():
            limit = make_connection_limit(monotonic_clock(), "vm-1")
            self.hold = asyncio.Event()
            servers, self.sockets = [], {}
            for name in ("callers", "directory"):
                app = make_listener_app(name, "vm-1", 1024)
                app.add_route(self.ping, "/ping", name="ping")
                app.add_route(self.wait, "/wait", name="wait")
                app.ctx.connection_limit = limit
                limit.activities.append(app.ctx.activity)
                self.sockets[name] = bind_address("127.0.0.1:0")
                servers.append(await start_listener(app, self.sockets[name]))
            self.writers = []
            try:
                await step(limit)
            finally:
                self.hold.set()
                for writer in self.writers:
                    writer.close()
                for server in servers:
                    await stop_listener(server)

        limits = (2 * MAX_OPEN, 2 * MAX_OPEN)
        name = "bluebellbeam.daemon.connection_limit.resource.getrlimit"
        with patch(name, return_value=limits):
            uvloop.run(run())

    async def ping(self, request):
        return response.text("pong")

    async def wait(self, request):
        await self.hold.wait()
        return response.text("done")

    async def connect(self, sent=b"", listener="callers"):
        """Return a reader of a new connection on which `sent` has been sent."""
        address = self.sockets[listener].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        self.writers.append(writer)
        writer.write(sent)
        await asyncio.sleep(0.05)
        return reader

    async def is_closed(self, reader):
        try:
            async with asyncio.timeout(0.1):
                while await reader.read(4096):
                    pass
                return True
        except TimeoutError:
            return False

    def test_connection_that_was_used_least_recently_is_closed_first(self):
        async def step(limit):
            readers = [await self.connect() for _ in range(MAX_OPEN)]
            self.writers[0].write(REQUEST)
            await readers[0].readuntil(b"pong")
            readers.append(await self.connect())
            closed = [await self.is_closed(reader) for reader in readers]
            self.assertEqual(closed, [False, True, False, False, False])
            self.assertEqual((limit.closed, limit.refused), (1, 0))

        self.run_with(step)

    def test_listener_with_most_connections_gives_one_up(self):
        async def step(limit):
            caller = await self.connect()
            others = [await self.connect(listener="directory") for _ in range(MAX_OPEN)]
            self.assertFalse(await self.is_closed(caller))
            self.assertTrue(await self.is_closed(others[0]))

        self.run_with(step)

    def test_requests_are_not_given_up_for_new_connections(self):
        async def step(limit):
            head = REQUEST.replace(b"ping", b"wait")
            readers = [await self.connect(head) for _ in range(MAX_OPEN)]
            self.assertFalse(has_refused_lately(limit))
            self.assertTrue(await self.is_closed(await self.connect()))
            self.assertTrue(has_refused_lately(limit))
            self.hold.set()
            for reader in readers:
                async with asyncio.timeout(WAIT_S):
                    await reader.readuntil(b"done")

        self.run_with(step)

    def test_connection_may_be_used_again_after_a_new_one_was_served(self):
        async def step(limit):
            first = await self.connect(REQUEST)
            for _ in range(3 * MAX_OPEN):
                await (await self.connect(REQUEST)).readuntil(b"pong")
                self.writers[0].write(REQUEST)
                async with asyncio.timeout(WAIT_S):
                    await first.readuntil(b"pong")

        self.run_with(step)


if __name__ == "__main__":
    unittest.main()
