import asyncio
import unittest

from bluebellbeam.daemon.exchange import MAX_QUEUED_CHUNKS, Chunk, Failed, make_exchange
from bluebellbeam.node import make_error


class TestExchange(unittest.TestCase):
    def test_error_follows_all_queued_chunks(self):
        async def run():
            exchange = make_exchange(None, b"", {}, "", None, 0)
            for i in range(MAX_QUEUED_CHUNKS):
                await exchange.put(Chunk((str(i).encode(),)))
            blocked = asyncio.create_task(exchange.put(Chunk((b"late",))))
            await asyncio.sleep(0)
            self.assertFalse(blocked.done())
            blocked.cancel()
            exchange.fail(make_error("upstream_truncated"))
            for i in range(MAX_QUEUED_CHUNKS):
                item = await exchange.next_item()
                self.assertEqual(item.events, (str(i).encode(),))
            self.assertIsInstance(await exchange.next_item(), Failed)

        asyncio.run(run())

    def test_reading_frees_queue_space(self):
        async def run():
            exchange = make_exchange(None, b"", {}, "", None, 0)
            for _ in range(3 * MAX_QUEUED_CHUNKS):
                await exchange.put(Chunk((b"x",)))
                await exchange.next_item()

        asyncio.run(run())
