import asyncio
import unittest

from bluebellbeam.daemon.exchange import (
    MAX_QUEUED_CHUNKS,
    Chunk,
    End,
    Failed,
    make_exchange,
)
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
            item = await exchange.next_item()
            expected = [str(i).encode() for i in range(MAX_QUEUED_CHUNKS)]
            self.assertEqual(list(item.events), expected)
            self.assertIsInstance(await exchange.next_item(), Failed)

        asyncio.run(run())

    def test_chunks_queued_in_a_row_are_read_as_one(self):
        async def run():
            exchange = make_exchange(None, b"", {}, "", None, 0)
            for item in (Chunk((b"a",)), Chunk((b"b", b"c")), End(), Chunk((b"d",))):
                await exchange.put(item)
            found = [await exchange.next_item() for _ in range(3)]
            expected = [Chunk((b"a", b"b", b"c")), End(), Chunk((b"d",))]
            self.assertEqual(found, expected)

        asyncio.run(run())

    def test_waiting_reader_gets_the_next_item(self):
        async def run():
            exchange = make_exchange(None, b"", {}, "", None, 0)
            reader = asyncio.create_task(exchange.next_item())
            await asyncio.sleep(0)
            await exchange.put(Chunk((b"a",)))
            self.assertEqual(await reader, Chunk((b"a",)))

        asyncio.run(run())

    def test_full_queue_accepts_an_item_once_it_is_read(self):
        async def run():
            exchange = make_exchange(None, b"", {}, "", None, 0)
            for _ in range(MAX_QUEUED_CHUNKS):
                await exchange.put(Chunk((b"a",)))
            blocked = asyncio.create_task(exchange.put(End()))
            await asyncio.sleep(0)
            self.assertFalse(blocked.done())
            await exchange.next_item()
            await blocked
            self.assertEqual(await exchange.next_item(), End())

        asyncio.run(run())

    def test_reading_frees_queue_space(self):
        async def run():
            exchange = make_exchange(None, b"", {}, "", None, 0)
            for _ in range(3 * MAX_QUEUED_CHUNKS):
                await exchange.put(Chunk((b"x",)))
                await exchange.next_item()

        asyncio.run(run())
