import asyncio
import unittest

from bluebellbeam.platform.tests.fake_platform import HOST
from bluebellbeam.platform.tests.loopback import PlatformCase

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 7))


class TestCallerOfHttp10(PlatformCase):
    """Guards against chunks sent to callers that cannot read them (RFC 9112, 6.1)."""

    async def fetch(self, deployment, path):
        """Return the head and the body of the response, up to the end of file."""
        host, port = deployment.daemons["hall-e"].address("callers").split(":")
        reader, writer = await asyncio.open_connection(host, port)
        head = f"POST {path} HTTP/1.0\r\nHost: {HOST}\r\nX-Attempt-Id: a1\r\n"
        writer.write(f"{head}X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n".encode())
        try:
            async with asyncio.timeout(5):
                raw = await reader.read()
        finally:
            writer.close()
        found, _, body = raw.partition(b"\r\n\r\n")
        return found, body

    def test_response_arrives_whole(self):
        async def step(deployment):
            head, body = await self.fetch(deployment, "/safe/1")
            self.assertIn(b" 200 ", head)
            self.assertEqual(body, b"body of a1")

        self.run_with(step)

    def test_stream_is_not_sent_in_chunks(self):
        async def step(deployment):
            head, body = await self.fetch(deployment, "/chat/1")
            self.assertNotIn(b"chunked", head.lower())
            self.assertEqual(body, EVENTS)

        self.run_with(step)

    def test_broken_stream_does_not_end_like_a_whole_one(self):
        async def step(deployment):
            for replica in deployment.replicas.values():
                replica.behaviours = ["truncate"] * 3
            with self.assertRaises(ConnectionResetError):
                await self.fetch(deployment, "/chat/1")

        self.run_with(step)


class TestResponseWithoutContentType(PlatformCase):
    """Guards against a content type that the server did not state."""

    def test_response_gains_no_content_type(self):
        async def step(deployment):
            status, headers, _ = await deployment.fetch("/safe/1")
            self.assertEqual((status, headers.get("content-type")), (200, None))

        self.run_with(step)


if __name__ == "__main__":
    unittest.main()
