import unittest

import aiohttp

from bluebellbeam.platform.tests.loopback import PlatformCase

WHOLE = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 7))
FIRST_TWO = WHOLE[: WHOLE.index(b"id: 3")]
FIRST_FOUR = WHOLE[: WHOLE.index(b"id: 5")]


class BrokenStreamCase(PlatformCase):
    """Streams of servers that break them off with a regular close."""

    def break_off(self, deployment, how, framed, count=1):
        for name, replica in deployment.replicas.items():
            if name.startswith("llm"):
                replica.framed = framed
        for zone in ("hall-e", "hall-w"):
            deployment.queue_behaviours("llm", *[how] * count, zone=zone)

    async def read(self, deployment, path, zone="hall-e", key="c1"):
        """Return what the caller receives, and whether its response is complete."""
        received = bytearray()
        async with deployment.call(path, key, zone) as response:
            try:
                async for part in response.content.iter_any():
                    received += part
            except aiohttp.ClientError:
                return bytes(received), False
        return bytes(received), response.status == 200


class TestStreamThatEndsInsideAnEvent(BrokenStreamCase):
    def test_stream_without_framing_that_closes_inside_an_event_is_not_complete(self):
        async def step(deployment):
            self.break_off(deployment, "cut", framed=False)
            received = await self.read(deployment, "/audit/1")
            self.assertEqual(received, (FIRST_TWO, False))
            self.assertEqual(len(deployment.runs("c1")), 1)

        self.run_with(step)

    def test_chunked_stream_that_ends_inside_an_event_is_not_complete(self):
        async def step(deployment):
            self.break_off(deployment, "cut", framed=True)
            received = await self.read(deployment, "/audit/1")
            self.assertEqual(received, (FIRST_TWO, False))
            self.assertEqual(len(deployment.runs("c1")), 1)

        self.run_with(step)

    def test_forwarded_stream_that_closes_inside_an_event_is_not_complete(self):
        async def step(deployment):
            await deployment.wait(
                lambda: len(deployment.state("hall-w").members.rows) == 1
            )
            self.break_off(deployment, "cut", framed=False, count=4)
            received = await self.read(deployment, "/chat/1", zone="hall-w")
            self.assertEqual(received, (FIRST_FOUR, False))

        self.run_with(step, daemons=("hall-e", "hall-w"), home_regions=("east",))

    def test_resumable_stream_that_closes_inside_an_event_is_resumed(self):
        async def step(deployment):
            self.break_off(deployment, "cut", framed=False)
            replicas = [deployment.replicas[f"llm-hall-e-{i}"] for i in (1, 2)]
            replicas[0].behaviours, replicas[1].behaviours = ["cut"], []
            for number in range(8):
                async with deployment.call("/chat/1", f"r{number}") as response:
                    received = await response.content.read()
                self.assertEqual(received, WHOLE)
            self.assertEqual(replicas[0].behaviours, [])

        self.run_with(step)

    def test_stream_without_framing_that_closes_before_its_first_event_has_failed(self):
        async def step(deployment):
            self.break_off(deployment, "empty", framed=False)
            async with deployment.call("/audit/1", "c1") as response:
                self.assertEqual(response.status, 502)
            status, _, body = await deployment.fetch("/chat/1", "c2")
            self.assertEqual((status, body), (200, WHOLE))

        self.run_with(step)

    def test_stream_that_resumes_after_its_last_event_may_be_empty(self):
        async def step(deployment):
            self.break_off(deployment, "ok", framed=False)
            # As after 30 s, when the daemon knows that there is one version only.
            deployment.state().versions.complete_ms = 0
            headers = {"Last-Event-Id": "6"}
            found = await deployment.fetch("/chat/1", "c1", headers=headers)
            self.assertEqual((found[0], found[2]), (200, b""))

        self.run_with(step)

    def test_whole_stream_without_framing_is_complete(self):
        async def step(deployment):
            self.break_off(deployment, "ok", framed=False)
            received = await self.read(deployment, "/audit/1")
            self.assertEqual(received, (WHOLE, True))

        self.run_with(step)


class TestContinuationThatDoesNotFollow(BrokenStreamCase):
    """Guards against a stream that is joined to what is not its continuation."""

    def check_not_joined(self, how, framed):
        async def step(deployment):
            self.break_off(deployment, "cut", framed=framed)
            replicas = [deployment.replicas[f"llm-hall-e-{i}"] for i in (1, 2)]
            for number in range(4):
                replicas[number % 2].behaviours = ["cut"]
                replicas[1 - number % 2].behaviours = [how]
                found = await self.read(deployment, "/chat/1", key=f"j{number}")
                received, complete = found
                self.assertEqual(received, WHOLE[: len(received)])
                self.assertEqual(complete, received == WHOLE)

        self.run_with(step)

    def test_event_without_an_id_is_not_joined_to_an_unframed_stream(self):
        self.check_not_joined("strange", framed=False)

    def test_event_without_an_id_is_not_joined_to_a_chunked_stream(self):
        self.check_not_joined("strange", framed=True)

    def test_events_that_the_caller_has_are_not_sent_again(self):
        self.check_not_joined("again", framed=True)

    def test_stream_without_ids_is_not_begun_anew(self):
        async def step(deployment):
            for replica in deployment.replicas.values():
                replica.with_ids = False
            self.break_off(deployment, "cut", framed=True)
            received = await self.read(deployment, "/chat/1")
            two = b"data: piece 1\n\ndata: piece 2\n\n"
            self.assertEqual(received, (two, False))

        self.run_with(step)

    def test_stream_that_a_caller_resumes_is_not_continued_by_an_event_without_id(self):
        async def step(deployment):
            headers = {"Last-Event-Id": "2", "Resumes": "first"}
            received = await self.read(deployment, "/chat/1", key="first")
            self.assertEqual(received, (WHOLE, True))
            self.break_off(deployment, "strange", framed=True, count=4)
            async with deployment.call("/chat/1", "c2", headers=headers) as response:
                self.assertNotEqual(response.status, 200)

        self.run_with(step)


if __name__ == "__main__":
    unittest.main()
