import asyncio
import contextlib
import time
import unittest

from bluebellbeam.daemon.connection_pool import make_connection_pool
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.platform.health import check_health
from bluebellbeam.utils.clock import monotonic_clock
from bluebellbeam.utils.tests.test_http_body import EndlessBodyCase


class TestHealthCheckWithoutEnd(EndlessBodyCase):
    HEADERS = {"X-Instance-Id": "s1"}

    def setUp(self):
        self.pool = make_connection_pool(monotonic_clock())
        self.addCleanup(self.pool.close)

    async def test_health_check_fails_and_closes_its_connection(self):
        command = cmd.ReadLoad("s1", self.endless.server.address, 1, "/health", 0)
        async with asyncio.timeout(0.9):
            found = await check_health(self.pool, command)
        self.assertIsInstance(found, ev.LoadReadFailed)
        await self.check_closed()


class TestServerOfAnUnknownService(unittest.IsolatedAsyncioTestCase):
    async def test_request_line_has_a_path(self):
        lines = []

        async def serve(reader, writer):
            lines.append(await reader.readline())
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        pool = make_connection_pool(monotonic_clock())
        self.addCleanup(pool.close)
        await check_health(pool, cmd.ReadLoad("s1", f"{host}:{port}", 1, "", 0))
        self.assertEqual(lines, [b"GET / HTTP/1.1\r\n"])


class TestInterimResponsesWithoutEnd(unittest.IsolatedAsyncioTestCase):
    """Guards against a health check that blocks the event loop."""

    async def serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" * 2600)
                await writer.drain()

    async def longest_delay_s(self, check):
        """Return by how much the event loop was late while `check` ran."""
        delays = []
        while not check.done():
            slept_from_s = time.monotonic()
            await asyncio.sleep(0.005)
            delays.append(time.monotonic() - slept_from_s - 0.005)
        return max(delays)

    async def test_health_check_fails_and_the_event_loop_is_not_blocked(self):
        self.writers = []
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        command = cmd.ReadLoad("s1", f"{host}:{port}", 1, "/health", 0)
        pool = make_connection_pool(monotonic_clock())
        self.addCleanup(pool.close)
        check = asyncio.ensure_future(check_health(pool, command))
        self.assertLess(await self.longest_delay_s(check), 0.1)
        self.assertIsInstance(check.result(), ev.LoadReadFailed)
        for writer in self.writers:
            writer.transport.abort()


if __name__ == "__main__":
    unittest.main()
