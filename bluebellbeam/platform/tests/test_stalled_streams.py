import asyncio
import unittest
from unittest.mock import patch

import aiohttp

from bluebellbeam.daemon.exchange import RoutedExchange
from bluebellbeam.platform.tests.test_broken_streams import WHOLE, BrokenStreamCase

TIMEOUT_S = 3.0
"""Time that the routes of the fake platform allow for a response."""

REGIONS = {"daemons": ("hall-e", "hall-w"), "home_regions": ("east",)}


class StalledStreamCase(BrokenStreamCase):
    async def read_timed(self, deployment, path, zone="hall-e"):
        """Return whether the response is complete, and the seconds it took."""
        started_s = deployment.now_s()
        async with asyncio.timeout(15):
            _, complete = await self.read(deployment, path, zone)
        return complete, deployment.now_s() - started_s

    def check_end(self, complete, took_s):
        """Check that the route's timeout ended the stream, not an earlier limit."""
        self.assertFalse(complete)
        self.assertGreater(took_s, TIMEOUT_S - 0.2)

    async def meet(self, deployment):
        await deployment.wait(lambda: len(deployment.state("hall-w").members.rows) == 1)


class TestStreamThatSendsOnlyComments(StalledStreamCase):
    """Guards against a stalled stream that lives on by bytes that are no events."""

    def test_stream_of_a_server_ends_at_the_timeout_of_its_route(self):
        async def step(deployment):
            self.break_off(deployment, "drip", framed=True, count=4)
            for path in ("/audit/1", "/chat/1"):
                self.check_end(*await self.read_timed(deployment, path))

        self.run_with(step)

    def test_forwarded_stream_ends_at_the_timeout_of_its_route(self):
        async def step(deployment):
            await self.meet(deployment)
            self.break_off(deployment, "drip", framed=True, count=4)
            self.check_end(*await self.read_timed(deployment, "/chat/1", "hall-w"))

        self.run_with(step, **REGIONS)

    def test_second_attempt_ends_at_the_timeout_of_its_route(self):
        async def step(deployment):
            self.break_off(deployment, "truncate", framed=True)
            for replica in deployment.replicas.values():
                replica.behaviours.extend(["drip"] * 3)
            first, second = (deployment.replicas[f"llm-hall-e-{i}"] for i in (1, 2))
            second.behaviours = ["drip"] * 4
            first.behaviours = ["truncate"] + ["drip"] * 3
            self.check_end(*await self.read_timed(deployment, "/chat/1"))

        self.run_with(step)


class TestSlowStream(StalledStreamCase):
    """Guards against the abort of a stream that keeps the time of its route."""

    def check(self, delay_ms, pause_ms, path, zone):
        async def step(deployment):
            await self.meet(deployment)
            for replica in deployment.replicas.values():
                replica.response_delay_ms = delay_ms
                replica.pause_ms = pause_ms
            received = await self.read(deployment, path, zone)
            self.assertEqual(received, (WHOLE, True))

        self.run_with(step, **REGIONS)

    def test_long_gaps_between_events_are_kept(self):
        self.check(1, 300, "/audit/1", "hall-e")
        self.check(1, 300, "/chat/1", "hall-w")

    def test_long_wait_for_the_first_event_is_kept(self):
        self.check(1500, 0, "/audit/1", "hall-e")
        self.check(1500, 0, "/chat/1", "hall-w")


class TestExceptionWithinAStream(StalledStreamCase):
    """Guards against a response that ends as if complete after an exception."""

    def test_response_is_incomplete(self):
        original = RoutedExchange.next_item
        calls = []

        async def next_item(exchange):
            calls.append(exchange)
            if len(calls) == 3:
                raise RuntimeError("planted")
            return await original(exchange)

        async def step(deployment):
            for replica in deployment.replicas.values():
                replica.pause_ms = 50
            with patch.object(RoutedExchange, "next_item", next_item):
                try:
                    received, complete = await self.read(deployment, "/audit/1")
                except aiohttp.ClientError:
                    return
            self.assertLess(len(received), len(WHOLE))
            self.assertFalse(complete)

        self.run_with(step)


if __name__ == "__main__":
    unittest.main()
