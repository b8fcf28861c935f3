import asyncio
import json
import unittest
from unittest import mock

from bluebellbeam.daemon import listener
from bluebellbeam.daemon.exchange import MAX_QUEUED_CHUNKS
from bluebellbeam.daemon.listener import MAX_HEADER_BYTES
from bluebellbeam.daemon.tests.test_loopback import (
    LoopbackCase,
    auth_headers,
    caller_url,
    chat_body,
)


async def send_raw(address, raw):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw)
    await writer.drain()
    response = await asyncio.wait_for(reader.read(), 15)
    writer.close()
    return response


class TestHostileInput(LoopbackCase):
    """Malformed input is rejected and never reaches an engine."""

    def _runs(self, deployment):
        return [
            run for e in deployment.fleet.engines.values() for run in e.accepted_work
        ]

    def test_smuggled_and_malformed_requests_are_rejected(self):
        head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
        key = "authorization: Bearer key-field-notes\r\n"
        body = json.dumps(chat_body("x", False))
        cases = (
            f"{head}{key}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"
            f"0\r\n\r\n{body}",
            f"{head}{key}content-length: abc\r\n\r\n{body}",
            f"{head}{key}content-length: -1\r\n\r\n{body}",
            "NOT HTTP AT ALL\r\n\r\n",
            f"{head}{key}x: {'a' * (MAX_HEADER_BYTES + 1)}\r\n\r\n",
        )

        async def step(deployment, session):
            address = deployment.fleet.entry_vms["burnaby-hall-1"].caller_address
            for raw in cases:
                closing = raw.replace("host: a", "host: a\r\nconnection: close")
                response = await send_raw(address, closing.encode())
                status = response.split(b" ", 2)[1:2]
                self.assertNotEqual(status, [b"200"], raw[:80])
            self.assertEqual(self._runs(deployment), [])

        self.run_with(step)

    def test_oversized_body_is_rejected(self):
        async def step(deployment, session):
            url = caller_url(deployment, "/v1/chat/completions")
            headers = auth_headers("field-notes") | {"content-length": str(64 << 20)}
            address = url.split("/")[2]
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            raw = f"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n{lines}\r\n"
            response = await send_raw(address, raw.encode())
            self.assertIn(b" 413 ", response.split(b"\r\n")[0])
            self.assertIn(b'"code":"too_large"', response)
            self.assertEqual(self._runs(deployment), [])

        self.run_with(step)

    def test_slow_request_times_out(self):
        async def step(deployment, session):
            address = deployment.fleet.entry_vms["burnaby-hall-1"].caller_address
            raw = b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
            response = await send_raw(address, raw)
            self.assertIn(b" 408 ", response.split(b"\r\n")[0])
            self.assertIn(b'"code":"request_timeout"', response)
            self.assertEqual(self._runs(deployment), [])

        with mock.patch.object(listener, "REQUEST_TIMEOUT_S", 1):
            self.run_with(step)

    def test_slow_reader_delays_only_its_own_stream(self):
        async def step(deployment, session):
            url = caller_url(deployment, "/v1/chat/completions")
            headers = auth_headers("field-notes")
            body = chat_body("slow", True, 300)
            slow = await session.post(url, json=body, headers=headers)
            await slow.content.readline()
            async with session.post(
                url, json=chat_body("fast", False), headers=headers
            ) as response:
                self.assertEqual(response.status, 200)
            driver = deployment.daemons["burnaby-hall-1"].driver
            for exchange in driver.exchanges.values():
                self.assertLessEqual(len(exchange.items), MAX_QUEUED_CHUNKS)
            slow.close()

        self.run_with(step)


if __name__ == "__main__":
    unittest.main()
