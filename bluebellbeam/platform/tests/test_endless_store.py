import asyncio
import socket
import threading
import time
import types
import unittest

import uvloop

from bluebellbeam.daemon.connection_pool import make_connection_pool
from bluebellbeam.daemon.tests.test_endless_responses import ENDLESS
from bluebellbeam.exception import PlatformError
from bluebellbeam.platform.store_client import MAX_STORE_BODY_BYTES, make_store_client
from bluebellbeam.utils.clock import monotonic_clock

TIMEOUT_MS = 1500
MAX_DELAY_S = 0.25
"""Longest time for which the event loop may be held; callers' requests wait as long."""

KERNEL_BYTES = 16_000_000
"""Bytes that the buffers of both sockets may hold beside those that are read."""


class FloodServer:
    """Server in a thread that repeats bytes after the head of a response."""

    def __init__(self, first, repeated):
        self.first = first
        self.block = repeated * (65_536 // len(repeated))
        self.sent_bytes = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        try:
            connection, _ = self.listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(self.first)
                while True:
                    self.sent_bytes += connection.send(self.block)
        except OSError:
            return


async def longest_delay_s(work):
    """Return by how much `work` delays the event loop at most."""
    task = asyncio.ensure_future(work)
    longest_s = 0.0
    while not task.done():
        started_s = time.perf_counter()
        await asyncio.sleep(0.005)
        longest_s = max(longest_s, time.perf_counter() - started_s - 0.005)
    await task
    return longest_s


class TestResponseOfTheStoreWithoutEnd(unittest.TestCase):
    """Guards against a response that uses up the memory or holds the event loop."""

    def test_response_fails_and_holds_neither_memory_nor_event_loop(self):
        for place, (first, repeated) in ENDLESS.items():
            with self.subTest(place):
                flood = FloodServer(first, repeated)
                self.addCleanup(flood.listener.close)
                delay_s = uvloop.run(longest_delay_s(self.read(flood)))
                self.assertLess(delay_s, MAX_DELAY_S)
                body_share = 1 / 6 if place == "body in tiny chunks" else 1
                limit = MAX_STORE_BODY_BYTES + KERNEL_BYTES
                self.assertLess(body_share * flood.sent_bytes, limit)

    async def read(self, flood):
        connections = make_connection_pool(monotonic_clock())
        access = types.SimpleNamespace(address=flood.address)
        client = make_store_client(connections, access, lambda: None)
        with self.assertRaises(PlatformError):
            query = {"pathPrefix": ""}
            await client.get("/kv-range", query, TIMEOUT_MS, lambda era: None)
        connections.close()


if __name__ == "__main__":
    unittest.main()
