import asyncio
import unittest

import aiohttp

from bluebellbeam.examples import read_example
from bluebellbeam.exception import PlatformError
from bluebellbeam.provider import LoadHeader, format_load_header, parse_load_header
from bluebellbeam.provider.clients import (
    KEY_TTL_MS,
    make_directory_client,
    make_feed_client,
)
from bluebellbeam.standins import make_directory, make_feed_store
from bluebellbeam.standins.http import make_platform_server
from bluebellbeam.utils import manual_clock


class PlatformCase(unittest.TestCase):
    def setUp(self):
        self.store = make_feed_store()
        self.store.publish_config(1, *read_example("fraserleaf"))
        self.directory = make_directory({"key-a": "farm-audits"})

    def run_with(self, step):
        async def run():
            server = make_platform_server(self.store, self.directory)
            await server.start()
            try:
                async with aiohttp.ClientSession() as session:
                    await step(session, server.address)
            finally:
                await server.stop()

        asyncio.run(run())


class TestFeedClient(PlatformCase):
    def test_only_changed_parts_are_fetched(self):
        async def step(session, address):
            client = make_feed_client(session, address)
            first = await client.read("config", 0, False)
            self.assertEqual(first.version, 1)
            calls = client.calls
            base, overlays = read_example("fraserleaf")
            overlays["fsj-hall"]["workspaces"] = {}
            self.store.publish_config(2, base, overlays)
            second = await client.read("config", 1, True)
            self.assertEqual((second.version, client.calls - calls), (2, 2))

        self.run_with(step)

    def test_revision_with_a_missing_part_is_not_returned(self):
        async def step(session, address):
            client = make_feed_client(session, address)
            self.store.unreadable_parts.add("deployment")
            with self.assertRaises(PlatformError):
                await client.read("config", 0, False)
            self.store.unreadable_parts.clear()
            snapshot = await client.read("config", 0, False)
            self.assertIn("deployment", snapshot.parts)

        self.run_with(step)

    def test_unavailable_service_raises(self):
        async def step(session, address):
            self.store.down = True
            with self.assertRaises(PlatformError):
                await make_feed_client(session, address).read("config", 0, False)

        self.run_with(step)

    def test_unknown_part_is_refused(self):
        async def step(session, address):
            client = make_feed_client(session, address)
            with self.assertRaises(PlatformError):
                await client._get_part("0" * 32)

        self.run_with(step)


class TestDirectoryClient(PlatformCase):
    def test_resolved_keys_stay_valid_while_the_directory_is_down(self):
        async def step(session, address):
            clock = manual_clock()
            client = make_directory_client(session, address, clock)
            self.assertEqual(await client.resolve("key-a"), "farm-audits")
            self.assertIsNone(await client.resolve("key-b"))
            self.directory.down = True
            clock.advance(KEY_TTL_MS + 1)
            self.assertEqual(await client.resolve("key-a"), "farm-audits")
            with self.assertRaises(PlatformError):
                await client.resolve("key-c")

        self.run_with(step)

    def test_keys_are_not_stored_in_plain_text(self):
        async def step(session, address):
            client = make_directory_client(session, address, manual_clock())
            await client.resolve("key-a")
            self.assertNotIn("key-a", str(client.workspaces_by_key))

        self.run_with(step)


class TestLoadHeader(unittest.TestCase):
    def test_formatted_header_is_parsed_back(self):
        load = LoadHeader(3, 0, 1200, True)
        self.assertEqual(parse_load_header(format_load_header(load)), load)

    def test_malformed_header_is_refused(self):
        for text in ("", "1 2", "1 2 x live", "-1 0 0 live", "1 2 3 4 5"):
            self.assertIsNone(parse_load_header(text))
