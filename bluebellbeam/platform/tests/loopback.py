"""Daemons on the loopback interface in front of a fake platform."""

import asyncio
import unittest

import aiohttp
import uvloop

from bluebellbeam.cli.logs import configure_logs
from bluebellbeam.config import Settings, StoreAccess
from bluebellbeam.daemon.listener import bind_address, bound_address
from bluebellbeam.daemon.server import make_daemon
from bluebellbeam.platform import make_platform
from bluebellbeam.platform.tests.fake_platform import HOST, Replica, Store, config

DOMAINS = {"hall-e": "east", "hall-w": "west"}
LISTENERS = ("callers", "peers", "operators", "readiness", "directory")


class PlatformDeployment:
    """Daemons with a fake store and two services of two servers in each zone."""

    def __init__(self):
        self.store = Store()
        self.replicas = {}
        self.daemons = {}
        self.session = None

    async def start(self, daemons=("hall-e",), publish=True, home_regions=()):
        await self.store.server.start()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=20),
            auto_decompress=False,
        )
        for zone in DOMAINS:
            for service, events in (("portal", 0), ("llm", 6)):
                for number in (1, 2):
                    name = f"{service}-{zone}-{number}"
                    replica = await Replica(name, events).start()
                    self.replicas[name] = replica
                    entry = replica.entry(service, zone, born=number)
                    self.store.put(f"servers/{name}", entry)
        if publish:
            self.store.put("op/config", config(home_regions=home_regions))
        for zone in daemons:
            await self.start_daemon(zone)
        if publish:
            await self.wait(lambda: all(self.is_ready(zone) for zone in daemons))

    async def start_daemon(self, name):
        """Start daemon `name`, which is its zone or ``ZONE_NUMBER``."""
        zone = name.partition("_")[0]
        sockets = {name: bind_address("127.0.0.1:0") for name in LISTENERS}
        addresses = {name: bound_address(sock) for name, sock in sockets.items()}
        seeds = [d.address("peers") for d in self.daemons.values()]
        settings = Settings(
            vm=f"vm-{name}",
            region=DOMAINS[zone],
            failure_domain=zone,
            site=zone,
            caller_address=addresses["callers"],
            peer_address=addresses["peers"],
            operator_address=addresses["operators"],
            seed_peers=tuple(seeds),
            store=StoreAccess(
                address=self.store.server.address,
                domains=DOMAINS,
                readiness_address=addresses["readiness"],
                directory_address=addresses["directory"],
                retry_slack=56.0,
            ),
        )
        self.daemons[name] = make_daemon(settings, sockets, make_platform(settings))
        await self.daemons[name].start()

    def state(self, zone="hall-e"):
        return self.daemons[zone].driver.node.state

    def is_ready(self, zone):
        state = self.state(zone)
        usable = sum(row.identified for row in state.replicas.rows.values())
        return state.ready and usable == 4

    def now_s(self):
        return asyncio.get_running_loop().time()

    async def wait(self, test, limit_s=8.0):
        async with asyncio.timeout(limit_s):
            while not test():
                await asyncio.sleep(0.01)

    def store_failure_detected(self):
        """Return whether any daemon has detected that the store is unreachable."""
        mirrors = (d.driver.provider.mirror for d in self.daemons.values())
        return any(mirror.failure is not None for mirror in mirrors)

    def url(self, listener, path, zone="hall-e"):
        return f"http://{self.daemons[zone].address(listener)}{path}"

    def call(self, path, key="a1", zone="hall-e", method="POST", **values):
        """Return the context manager of a caller's request with id `key`."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": key,
            "X-Deadline-Ms": "5000",
            **values.pop("headers", {}),
        }
        url = self.url("callers", path, zone)
        return self.session.request(method, url, headers=headers, **values)

    async def fetch(self, path, key="a1", **values):
        """Send a caller's request; return status, headers and body of the response."""
        async with self.call(path, key, **values) as response:
            return response.status, response.headers, await response.read()

    def runs(self, key):
        """Return the names of the servers that ran the request with id `key`."""
        return [
            name
            for name, replica in self.replicas.items()
            for found, _ in replica.runs
            if found == key
        ]

    def queue_behaviours(self, service, *behaviours, zone="hall-e"):
        """Set how each server of a service in `zone` handles its next requests."""
        for number in (1, 2):
            self.replicas[f"{service}-{zone}-{number}"].behaviours.extend(behaviours)

    async def stop(self):
        for daemon in self.daemons.values():
            await daemon.close()
        for replica in self.replicas.values():
            replica.stop()
        await self.session.close()
        await self.store.server.stop()


class PlatformCase(unittest.TestCase):
    """Runs each test against its own deployment."""

    @classmethod
    def setUpClass(cls):
        configure_logs("console", "critical")

    def run_with(self, step, **values):
        async def run():
            deployment = PlatformDeployment()
            try:
                await deployment.start(**values)
                await step(deployment)
            finally:
                await deployment.stop()

        uvloop.run(run())
