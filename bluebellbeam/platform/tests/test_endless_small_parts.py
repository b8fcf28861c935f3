import asyncio
import socket
import threading
import unittest

from bluebellbeam.platform.tests.loopback import PlatformCase

TARGET_S = 1.0
"""`targetLatencyMs` of the route of the sound service."""

CALLS = 30
CALL_GAP_S = 0.05
STREAMS = 16

EVENT_STREAM = "text/event-stream"
PLAIN = "text/plain"

# What servers send without end: content type, whether it is in chunks, and the bytes.
SMALL_PARTS = {
    "events of a zero": (EVENT_STREAM, False, b"0\r\n\r\n"),
    "proper small events": (EVENT_STREAM, False, b"id: 1\n\n"),
    "proper small events in chunks": (EVENT_STREAM, True, b"7\r\nid: 1\n\n\r\n"),
    "comments": (EVENT_STREAM, False, b":\n\n"),
    "chunks of one byte": (PLAIN, True, b"1\r\nz\r\n"),
    "events in chunks of one byte": (EVENT_STREAM, True, b"1\r\n:\r\n1\r\n\n\r\n" * 2),
}


class EndlessServer:
    """Server in threads of its own that repeats bytes after the head of responses.

    Attributes
    ----------
    name, address : str
    """

    def __init__(self, name, content_type, chunked, unit):
        self.name = name
        self.content_type = content_type
        self.chunked = chunked
        self.block = unit * (65_536 // len(unit))
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            try:
                raw = b""
                while b"\r\n\r\n" not in raw:
                    received = connection.recv(65_536)
                    if not received:
                        return
                    raw += received
                self._respond(connection, raw.decode("latin-1"))
            except OSError:
                return

    def _respond(self, connection, raw):
        lines = raw.split("\r\n")
        pairs = (line.split(": ", 1) for line in lines[1:] if ": " in line)
        headers = {name.lower(): value for name, value in pairs}
        head = ["HTTP/1.1 200 OK", f"X-Instance-Id: {self.name}"]
        if " /health " in lines[0]:
            head.append("Content-Length: 0\r\n\r\n")
            connection.sendall("\r\n".join(head).encode())
            return
        head.append(f"X-Attempt-Id: {headers['x-attempt-id']}")
        head.append("X-Response-Stamp: s\r\nX-Server-Load: 1,0,8")
        head.append(f"Content-Type: {self.content_type}")
        if self.chunked:
            head.append("Transfer-Encoding: chunked")
        connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
        while True:
            connection.sendall(self.block)

    def entry(self):
        """Return the entry of the server in the store."""
        return {
            "service": "llm",
            "address": self.address,
            "zone": "hall-e",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    def close(self):
        self.listener.close()


class TestSoundServiceBesideEndlessParts(PlatformCase):
    """Guards against small events and chunks that keep the event loop busy."""

    def test_requests_to_another_service_are_answered_in_time(self):
        for name, values in SMALL_PARTS.items():
            with self.subTest(name):
                self.run_with(lambda deployment, v=values: self.play(deployment, *v))

    async def play(self, deployment, content_type, chunked, unit):
        for zone in ("hall-e", "hall-w"):
            for number in (1, 2):
                deployment.store.remove(f"servers/llm-{zone}-{number}")
        servers = [
            EndlessServer(f"bad-{i}", content_type, chunked, unit) for i in (1, 2)
        ]
        for server in servers:
            deployment.store.put(f"servers/{server.name}", server.entry())
            self.addCleanup(server.close)
        rows = deployment.state().replicas.rows
        await deployment.wait(lambda: {"bad-1", "bad-2"} <= rows.keys())
        streams = [
            asyncio.ensure_future(self.read_stream(deployment, f"s{i}"))
            for i in range(STREAMS)
        ]
        await asyncio.sleep(0.3)
        calls = []
        for i in range(CALLS):
            calls.append(asyncio.ensure_future(self.call(deployment, f"p{i}")))
            await asyncio.sleep(CALL_GAP_S)
        results = await asyncio.gather(*calls)
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)
        late = [(status, s) for status, s in results if status != 200 or s > TARGET_S]
        self.assertEqual(late, [])

    async def call(self, deployment, key):
        """Return the status of a request to the sound service, and its time in s."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        status, _, _ = await deployment.fetch("/unsafe/x", key, data=b"{}")
        return status, loop.time() - started_s

    async def read_stream(self, deployment, key):
        async with deployment.call("/chat/x", key, data=b"{}") as response:
            async for _ in response.content.iter_any():
                pass


if __name__ == "__main__":
    unittest.main()
