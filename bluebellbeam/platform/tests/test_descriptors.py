import asyncio
import contextlib
import json
import resource
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp
import uvloop

from bluebellbeam.daemon.listener import bind_address, bound_address
from bluebellbeam.platform.tests.fake_platform import HOST, Replica, Store, config

MAX_DESCRIPTORS = 260
"""Descriptors that the process of the daemon may use."""

WANTED = 2 * MAX_DESCRIPTORS
"""Connections that clients try to keep open."""

CONTACT_S = 5.0
"""Time within which a new connection has to be taken by a daemon that is ready."""

LISTENERS = ("callers", "peers", "operators", "readiness", "directory")


class DaemonProcess:
    """A daemon with few descriptors in front of a fake platform."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.store = Store()
        self.replicas = []
        self.addresses = {}
        self.process = None
        self.held = set()
        self.session = None

    async def start(self):
        self.session = aiohttp.ClientSession()
        await self.store.server.start()
        for service, events in (("portal", 0), ("llm", 6)):
            replica = await Replica(f"{service}-1", events).start()
            self.replicas.append(replica)
            entry = replica.entry(service, "hall-e", born=1)
            self.store.put(f"servers/{replica.name}", entry)
        self.store.put("op/config", config())
        async with asyncio.timeout(30):
            while not await self.start_process():
                pass

    async def start_process(self):
        """Start the daemon; return whether it serves, not whether a port was taken."""
        sockets = {name: bind_address("127.0.0.1:0") for name in LISTENERS}
        self.addresses = {name: bound_address(sock) for name, sock in sockets.items()}
        for sock in sockets.values():
            sock.close()
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.settings()))
        limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "bluebellbeam", "serve", str(path)),
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
            )
        while await self.read_readiness() != 200:
            if self.process.returncode is not None:
                return False
            await asyncio.sleep(0.05)
        while await self.send_request("first") != 200:
            await asyncio.sleep(0.05)
        return True

    def settings(self):
        return {
            "vm": "vm-1",
            "region": "east",
            "failure_domain": "hall-e",
            "site": "hall-e",
            "caller_address": self.addresses["callers"],
            "peer_address": self.addresses["peers"],
            "operator_address": self.addresses["operators"],
            "store": {
                "address": self.store.server.address,
                "domains": {"hall-e": "east"},
                "readiness_address": self.addresses["readiness"],
                "directory_address": self.addresses["directory"],
            },
        }

    def last_lines(self, count=40):
        """Return the end of the log, without answered requests."""
        lines = (self.folder / "log").read_text().splitlines()
        kept = [line for line in lines if "send to" not in line]
        kept = [line for line in kept if "answered" not in line]
        return "\n".join(kept[-count:])

    async def read_readiness(self):
        """Return the status of the readiness check, on a connection that is kept."""
        url = f"http://{self.addresses['readiness']}/readiness"
        with contextlib.suppress(aiohttp.ClientError):
            async with self.session.get(url) as response:
                await response.read()
                return response.status
        return None

    async def send_request(self, key):
        """Return the status of a request on a connection of its own, or None."""
        url = f"http://{self.addresses['callers']}/safe/{key}"
        headers = {"Host": HOST, "X-Attempt-Id": key, "Connection": "close"}
        timeout = aiohttp.ClientTimeout(total=CONTACT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, headers=headers) as response,
            ):
                return response.status
        except (TimeoutError, aiohttp.ClientError):
            return None

    async def hold_connections(self, listener, sent):
        """Keep `WANTED` connections open, on each of which `sent` has been sent."""

        async def hold():
            host, port = self.addresses[listener].split(":")
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(host, port)
                    try:
                        writer.write(sent)
                        while await reader.read(4096):
                            pass
                    finally:
                        writer.close()
                await asyncio.sleep(0.2)

        for _ in range(WANTED):
            self.held.add(asyncio.ensure_future(hold()))
            await asyncio.sleep(0.002)

    async def stop(self):
        for task in self.held:
            task.cancel()
        await asyncio.gather(*self.held, return_exceptions=True)
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for replica in self.replicas:
            replica.stop()
        await self.session.close()
        await self.store.server.stop()


class TestManyConnections(unittest.TestCase):
    """Guards against a daemon that says ready and takes no connection."""

    REQUESTS = 40

    async def measure_delay(self):
        """Record the longest time by which the loop of this process is late."""
        loop = asyncio.get_running_loop()
        while True:
            since_s = loop.time()
            await asyncio.sleep(0.05)
            self.delay_s = max(self.delay_s, loop.time() - since_s - 0.05)

    def check_served(self, sent, listener="callers"):
        async def run():
            self.delay_s = 0.0
            delay = asyncio.ensure_future(self.measure_delay())
            with tempfile.TemporaryDirectory() as folder:
                daemon = DaemonProcess(folder)
                try:
                    await daemon.start()
                    await daemon.hold_connections(listener, sent)
                    found = []
                    for number in range(self.REQUESTS):
                        found.append(daemon.send_request(f"n{number}"))
                        await asyncio.sleep(0.05)
                    found = await asyncio.gather(*found)
                    readiness = await daemon.read_readiness()
                finally:
                    delay.cancel()
                    await daemon.stop()
                log = f"late by {self.delay_s:.2f} s at most\n{daemon.last_lines()}"
            served = found.count(200)
            self.assertEqual((readiness, served), (200, self.REQUESTS), log)

        uvloop.run(run())

    def test_connections_without_a_request_leave_room_for_new_ones(self):
        self.check_served(b"")

    def test_connections_kept_after_a_request_leave_room_for_new_ones(self):
        head = f"POST /safe/k HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: k\r\n"
        self.check_served(f"{head}Content-Length: 0\r\n\r\n".encode())

    def test_heads_that_never_end_leave_room_for_new_connections(self):
        self.check_served(f"POST /safe/h HTTP/1.1\r\nHost: {HOST}\r\n".encode())

    def test_connections_to_the_directory_leave_room_for_new_ones(self):
        self.check_served(b"", "directory")


if __name__ == "__main__":
    unittest.main()
