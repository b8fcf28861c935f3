import asyncio
from unittest import mock

from bluebellbeam.daemon import request_bodies
from bluebellbeam.platform.tests.loopback import PlatformCase

BODY = bytes(60_000)


class TestMemoryOfLongRequests(PlatformCase):
    """Guards against bodies of requests that use up the memory of a daemon."""

    def setUp(self):
        for name, value in (("MAX_HELD_BYTES", 150_000), ("SMALL_BODY_BYTES", 1000)):
            patch = mock.patch.object(request_bodies, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def held_bytes(self, deployment):
        return [d.driver.request_bodies.used_bytes for d in deployment.daemons.values()]

    def slow_down(self, deployment):
        for replica in deployment.replicas.values():
            replica.pause_ms = 150

    async def read_first(self, deployment, path, key, **values):
        """Return a response of which the first event has been read."""
        response = await deployment.call(path, key, data=BODY, **values)
        self.assertEqual(response.status, 200)
        self.assertIn(b"id: 1", await response.content.readline())
        return response

    def test_body_is_dropped_once_its_request_is_not_sent_again(self):
        async def step(deployment):
            self.slow_down(deployment)
            for number in range(8):
                response = await self.read_first(deployment, "/audit/1", f"a{number}")
                self.assertEqual(self.held_bytes(deployment), [0])
                response.close()

        self.run_with(step)

    def test_body_of_a_stream_that_may_be_resumed_is_kept_to_its_end(self):
        async def step(deployment):
            # The servers share the list, so that only the first request is cut.
            shared = ["truncate"]
            for replica in deployment.replicas.values():
                replica.behaviours = shared
            self.slow_down(deployment)
            response = await self.read_first(deployment, "/chat/1", "c1")
            self.assertEqual(self.held_bytes(deployment), [len(BODY)])
            rest = await response.read()
            self.assertIn(b"id: 6", rest)
            self.assertEqual(self.held_bytes(deployment), [0])
            bodies = {r.bodies["c1"][2] for r in deployment.replicas.values() if r.runs}
            self.assertEqual(bodies, {BODY})

        self.run_with(step)

    def test_bodies_over_the_limit_are_refused_at_once(self):
        async def step(deployment):
            self.slow_down(deployment)
            kept = [
                await self.read_first(deployment, "/chat/1", f"c{number}")
                for number in range(2)
            ]
            async with asyncio.timeout(0.5):
                status, headers, body = await deployment.fetch(
                    "/unsafe/1", "u1", data=BODY
                )
            self.assertEqual(status, 503)
            self.assertIn(b"bodies_full", body)
            self.assertIn("Retry-After", headers)
            self.assertEqual(deployment.runs("u1"), [])
            status, _, _ = await deployment.fetch("/unsafe/1", "u2", data=b"small")
            self.assertEqual(status, 200)
            for response in kept:
                await response.read()
            self.assertEqual(self.held_bytes(deployment), [0])
            status, _, _ = await deployment.fetch("/unsafe/1", "u3", data=BODY)
            self.assertEqual(status, 200)

        self.run_with(step)

    def test_forwarded_bodies_are_counted_at_both_daemons(self):
        async def step(deployment):
            await deployment.wait(
                lambda: all(
                    len(deployment.state(zone).members.rows) == 1
                    for zone in deployment.daemons
                )
            )
            self.slow_down(deployment)
            response = await self.read_first(deployment, "/chat/1", "c1", zone="hall-w")
            self.assertEqual(self.held_bytes(deployment), [len(BODY), len(BODY)])
            await response.read()
            self.assertEqual(self.held_bytes(deployment), [0, 0])

        self.run_with(step, daemons=("hall-e", "hall-w"), home_regions=("east",))
