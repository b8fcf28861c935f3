import asyncio
import unittest

from bluebellbeam.daemon.exchange import MAX_QUEUED_CHUNKS, Chunk, Failed, make_exchange
from bluebellbeam.node import make_error


class TestExchange(unittest.TestCase):
    def test_error_comes_behind_every_chunk_of_a_slow_caller(self):
        async def run():
            exchange = make_exchange(None, b"", {}, "", None, 0)
            for i in range(MAX_QUEUED_CHUNKS):
                await exchange.put(Chunk((str(i).encode(),)))
            held_back = asyncio.create_task(exchange.put(Chunk((b"late",))))
            await asyncio.sleep(0)
            self.assertFalse(held_back.done())
            held_back.cancel()
            exchange.fail(make_error("upstream_truncated"))
            for i in range(MAX_QUEUED_CHUNKS):
                item = await exchange.next_item()
                self.assertEqual(item.events, (str(i).encode(),))
            self.assertIsInstance(await exchange.next_item(), Failed)

        asyncio.run(run())

    def test_reader_makes_room(self):
        async def run():
            exchange = make_exchange(None, b"", {}, "", None, 0)
            for _ in range(3 * MAX_QUEUED_CHUNKS):
                await exchange.put(Chunk((b"x",)))
                await exchange.next_item()

        asyncio.run(run())
