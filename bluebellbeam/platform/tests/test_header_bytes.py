import asyncio

from bluebellbeam.platform.tests.fake_platform import HOST
from bluebellbeam.platform.tests.loopback import PlatformCase
from bluebellbeam.utils.header_bytes import to_listener

SPACES = ("\u0085", "\u00a0", "\u00c5", "\u00e0", "\u0420", "\u3000")
"""Characters that are white space, or whose last byte is one in Latin-1."""

VALUES = (
    b"m",
    "modell-\u00e5".encode(),
    "\u4e2d".encode(),
    b"\xe5\xff",
    b"\xc3",
    b"\xa0m\x85",
    *(f"m{space}".encode() for space in SPACES),
    *(f"{space}m".encode() for space in SPACES),
)
"""Values in ASCII, in UTF-8, and in no encoding."""


class TestHeaderBytes(PlatformCase):
    """Guards against header values that are changed on their way to a server."""

    async def fetch_raw(self, deployment, path, key, value, zone):
        """Send a request with a header of these bytes; return the response head."""
        host, _, port = deployment.daemons[zone].address("callers").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = (f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {key}")
        raw = "\r\n".join((*lines, "Content-Length: 0", "")).encode()
        writer.write(raw + b"X-Model: " + value + b"\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head

    def check(self, path, zone, **values):
        async def step(deployment):
            state = deployment.state(zone)
            others = len(deployment.daemons) - 1
            await deployment.wait(lambda: len(state.members.rows) == others)
            for number, value in enumerate(VALUES):
                key = f"k{number}"
                head = await self.fetch_raw(deployment, path, key, value, zone)
                self.assertIn(b" 200 ", head, value)
                self.assertIn(b"x-echo: " + value + b"\r\n", head.lower(), value)
                for replica in deployment.replicas.values():
                    for found, headers in replica.runs:
                        if found == key:
                            received = headers["x-model"].encode("latin-1")
                            self.assertEqual(received, value)

        self.run_with(step, **values)

    def test_values_reach_the_server_and_the_caller_unchanged(self):
        self.check("/safe/1", "hall-e")

    def test_values_of_a_forwarded_request_are_unchanged(self):
        daemons = ("hall-e", "hall-w")
        self.check("/chat/1", "hall-w", daemons=daemons, home_regions=("east",))

    def test_text_for_a_listener(self):
        for value in VALUES:
            text = value.decode("utf-8", "surrogateescape")
            self.assertEqual(to_listener(value.decode("latin-1")), text)
