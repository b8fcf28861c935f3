import asyncio
import os
import random
import unittest
from unittest.mock import patch

import msgspec

from bluebellbeam.daemon.listener import CountedProtocol
from bluebellbeam.platform.tests.fake_platform import HOST
from bluebellbeam.platform.tests.loopback import PlatformCase

MOMENTS = int(os.environ.get("BLUEBELLBEAM_STOP_MOMENTS", "3"))
"""Number of seeded moments at which the daemon is stopped; more of them by hand."""

CALLERS = 24

TRUNCATED = -1
"""Status of a response that ended after its head."""


CONSISTENT = ((200, 1), (502, 1), (502, 0), (503, 0), (TRUNCATED, 1))
"""Statuses of responses, each with the number of runs that it permits."""


def shorten_stop(deployment, grace_ms=900):
    """Stop after 0.2 to 0.9 s, so that the grace period ends within requests."""
    policy = deployment.state().policy
    msgspec.structs.force_setattr(policy, "leave_linger_ms", 200)
    msgspec.structs.force_setattr(policy, "leave_grace_ms", grace_ms)


class BytesRead:
    """Number of bytes that listeners have read, by port of the client."""

    def __init__(self):
        self.by_port = {}

    def patch(self):
        original = CountedProtocol.data_received

        def data_received(protocol, data):
            port = protocol.transport.get_extra_info("peername")[1]
            self.by_port[port] = self.by_port.get(port, 0) + len(data)
            original(protocol, data)

        return patch.object(CountedProtocol, "data_received", data_received)


class Caller:
    """Caller that sends requests on kept connections until none is accepted.

    Attributes
    ----------
    results : list of (str, int or None, int)
        Id of each request, status of its complete response or None, and number of its
        bytes that were read by the daemon if there was no response.
    paths : tuple of str
        Paths of its requests, one of which is drawn for each.
    """

    paths = ("/unsafe/1", "/safe/1", "/audit/1")

    def __init__(self, deployment, address, name, rng, read):
        self.deployment = deployment
        self.host, _, self.port = address.rpartition(":")
        self.name = name
        self.rng = rng
        self.read = read
        self.results = []

    async def run(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
            except OSError:
                return
            try:
                await self._use(reader, writer)
            finally:
                writer.close()

    async def _use(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        # An earlier connection may have had the same port.
        sent_bytes = self.read.by_port.get(port, 0)
        while True:
            key = f"{self.name}-{len(self.results)}"
            path = self.rng.choice(self.paths)
            raw = (
                f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {key}\r\n"
                "X-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody"
            ).encode()
            status = None
            try:
                half = self.rng.randrange(len(raw))
                writer.write(raw[:half])
                await asyncio.sleep(self.rng.choice((0, 0, 0.01)))
                writer.write(raw[half:])
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                status = TRUNCATED
                await self._read_body(reader, head)
                status = int(head[9:12])
                closes = b"connection: close" in head
            except (asyncio.IncompleteReadError, OSError, RuntimeError):
                closes = True
            read_bytes = self.read.by_port.get(port, 0) - sent_bytes
            sent_bytes += len(raw)
            self.results.append((key, status, read_bytes))
            if closes:
                return
            await asyncio.sleep(self.rng.random() * 0.02)

    async def _read_body(self, reader, head):
        if b"transfer-encoding: chunked" in head:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        else:
            length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
            await reader.readexactly(int(length))


class TestStopUnderLoad(PlatformCase):
    """Guards against requests that a stopping daemon reads and does not answer."""

    def test_each_request_that_was_read_is_answered(self):
        for seed in range(MOMENTS):
            with self.subTest(seed=seed):
                self.run_with(lambda deployment, seed=seed: self.stop(deployment, seed))

    def test_short_calls_in_calm_are_answered_or_refused_as_not_run(self):
        async def step(deployment):
            for replica in deployment.replicas.values():
                replica.response_delay_ms = 80
            found = await self.call_during_stop(
                deployment, 7, 1500, ("/unsafe/1", "/safe/1")
            )
            for key, status, _ in found:
                if status is not None:
                    runs = len(deployment.runs(key))
                    self.assertIn((status, runs), ((200, 1), (503, 0)), key)

        self.run_with(step)

    async def stop(self, deployment, seed):
        rng = random.Random(seed)
        for replica in deployment.replicas.values():
            replica.response_delay_ms = rng.choice((1, 20, 100))
            replica.pause_ms = rng.choice((0, 20))
        results = await self.call_during_stop(deployment, seed, 900, Caller.paths)
        for key, status, read_bytes in results:
            runs = len(deployment.runs(key))
            if status is None:
                self.assertEqual((key, read_bytes, runs), (key, 0, 0))
            else:
                self.assertIn((status, runs), CONSISTENT, key)

    async def call_during_stop(self, deployment, seed, grace_ms, paths):
        """Stop a daemon under load; return the results of all callers."""
        rng = random.Random(seed)
        shorten_stop(deployment, grace_ms)
        daemon = deployment.daemons["hall-e"]
        read = BytesRead()
        address = daemon.address("callers")
        callers = [
            Caller(deployment, address, f"c{i}", random.Random(seed * 100 + i), read)
            for i in range(CALLERS)
        ]
        for caller in callers:
            caller.paths = paths
        with read.patch():
            idle = await asyncio.open_connection(*address.rsplit(":", 1))
            tasks = [asyncio.create_task(caller.run()) for caller in callers]
            await asyncio.sleep(rng.random() * 0.5)
            daemon.request_stop()
            async with asyncio.timeout(20):
                await daemon.wait_stopped()
                await daemon.drain()
                await daemon.close()
                await asyncio.gather(*tasks)
                self.assertEqual(await idle[0].read(), b"")
        idle[1].close()
        results = [result for caller in callers for result in caller.results]
        self.assertGreater(len(results), CALLERS)
        return results

    def test_end_of_the_grace_period_is_reported_to_waiting_callers(self):
        async def step(deployment):
            deployment.queue_behaviours("portal", "hang", "hang")
            calls = [
                asyncio.create_task(deployment.fetch("/unsafe/1", f"g{i}"))
                for i in range(2)
            ]
            await deployment.wait(
                lambda: deployment.runs("g0") and deployment.runs("g1")
            )
            daemon = deployment.daemons["hall-e"]
            shorten_stop(deployment)
            daemon.request_stop()
            async with asyncio.timeout(20):
                await daemon.wait_stopped()
                await daemon.drain()
                await daemon.close()
                found = [(await call)[0] for call in calls]
            self.assertEqual(found, [502, 502])

        self.run_with(step)


if __name__ == "__main__":
    unittest.main()
