import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from bluebellbeam.daemon import upstream
from bluebellbeam.daemon.upstream import Progress


class TestStalledEvents(unittest.IsolatedAsyncioTestCase):
    """Guards against a stream that stalls and lives on by bytes without events."""

    async def read(self, parts, interval_s, consumer_s=0.0):
        """Return the number of events until the stream ends, or raise its error."""
        remaining = list(parts)

        async def readany():
            await asyncio.sleep(interval_s)
            return remaining.pop(0) if remaining else b""

        response = SimpleNamespace(content=SimpleNamespace(readany=readany))
        progress = Progress()
        progress.response_started = True
        count = 0
        async for events in upstream._events(response, progress):
            count += len(events)
            await asyncio.sleep(consumer_s)
        return count

    async def test_comments_and_blank_lines_do_not_prolong_a_stall(self):
        for part in (b": alive\n\n", b"\n", b"x"):
            with (
                self.subTest(part),
                patch.object(upstream, "STREAM_STALL_TIMEOUT_S", 0.3),
                self.assertRaises(TimeoutError),
            ):
                await self.read([b"data: 1\n\n", *[part] * 150], 0.02)

    async def test_slow_reader_does_not_count_as_a_stall(self):
        with patch.object(upstream, "STREAM_STALL_TIMEOUT_S", 2.0):
            parts = [b"data: 1\n\n"] * 4
            self.assertEqual(await self.read(parts, 0.0, consumer_s=0.8), 4)


if __name__ == "__main__":
    unittest.main()
