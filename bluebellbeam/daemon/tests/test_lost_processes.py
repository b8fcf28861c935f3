import asyncio
import unittest

from bluebellbeam.daemon.connection import encode_request
from bluebellbeam.daemon.connection_pool import make_connection_pool
from bluebellbeam.utils.clock import manual_clock

KEY = ("s", 1)
WHOLE = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nhi"
PART = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhi"


class TestLastConnectionToAProcess(unittest.IsolatedAsyncioTestCase):
    """Guards against the end of a process that no request shows."""

    async def asyncSetUp(self):
        self.lost = []
        self.writers = []
        self.responses = []
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.pool = make_connection_pool(manual_clock())
        self.pool.on_all_lost = self.lost.append
        self.addCleanup(self.pool.close)

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.responses.pop(0))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            return

    async def request(self, response):
        """Return a connection with the head of a response read."""
        self.responses.append(response)
        connection = await self.pool.acquire(KEY, self.address)
        raw = encode_request("GET", "/", "a", (), b"")
        connection.send("GET", raw, b"")
        await connection.read_head()
        return connection

    async def check(self, expected):
        await asyncio.sleep(0.02)
        self.assertEqual(self.lost, expected)

    async def test_idle_connection_that_is_the_last_one(self):
        connection = await self.request(WHOLE)
        await connection.read_all(10)
        self.pool.release(connection)
        self.writers[0].transport.abort()
        await self.check([KEY])

    async def test_incomplete_response_on_the_last_connection(self):
        await self.request(PART)
        self.writers[0].transport.abort()
        await self.check([KEY])

    async def test_another_connection_shows_that_the_process_runs(self):
        await self.request(PART)
        await self.request(PART)
        self.writers[0].transport.abort()
        await self.check([])
        self.writers[1].transport.abort()
        await self.check([KEY])

    async def test_close_by_the_daemon_or_after_a_response_is_no_sign(self):
        connection = await self.request(PART)
        connection.close()
        await self.check([])
        connection = await self.request(UNFRAMED)
        self.writers[1].write_eof()
        self.assertEqual(await connection.read_all(10), b"hi")
        self.pool.release(connection)
        await self.check([])
        self.assertEqual(self.pool.open, {})


if __name__ == "__main__":
    unittest.main()
