import asyncio
import unittest

from bluebellbeam.platform.tests.fake_platform import HOST, config
from bluebellbeam.platform.tests.loopback import PlatformCase
from bluebellbeam.routing import match_route

ROUTE = {
    "name": "r-far",
    "host": HOST,
    "pathPrefix": "/far/",
    "timeoutMs": 3000,
    "targetLatencyMs": 1000,
    "priority": 1,
    "kind": "unsafe",
    "service": "portal",
    "maxAttempts": 2,
    "homeRegions": ["east"],
}
DAEMONS = ("hall-e", "hall-e_2", "hall-w")


class TestDaemonKilledWithinAForward(PlatformCase):
    """Guards against a second run, or the report that the first has not happened."""

    async def prepare(self, deployment):
        for zone in DAEMONS:
            await deployment.start_daemon(zone)
        await deployment.wait(
            lambda: all(
                deployment.is_ready(zone)
                and len(deployment.state(zone).members.rows) == len(DAEMONS) - 1
                for zone in DAEMONS
            )
        )
        deployment.store.put("op/config", config(version=2, routes=[ROUTE]))
        await deployment.wait(
            lambda: all(
                match_route(deployment.state(zone).config.routes, HOST, "/far/1")
                for zone in DAEMONS
            )
        )

    def kill(self, deployment, zone):
        """Abort all connections of a daemon and accept none, as if it were killed."""
        daemon = deployment.daemons[zone]
        for server in daemon.servers:
            server.close()
            for connection in list(server.connections):
                if connection.transport is not None:
                    connection.transport.abort()

    def check(self, *behaviours):
        async def step(deployment):
            await self.prepare(deployment)
            # The servers share the list, so that any of them handles the first request.
            shared = [*behaviours, "hang"]
            for replica in deployment.replicas.values():
                replica.behaviours = shared
            call = asyncio.create_task(deployment.fetch("/far/1", "k1", zone="hall-w"))
            await deployment.wait(lambda: deployment.runs("k1"))
            for zone in ("hall-e", "hall-e_2"):
                self.kill(deployment, zone)
            async with asyncio.timeout(10):
                status, _, _ = await call
            self.assertEqual(status, 502)
            self.assertEqual(len(deployment.runs("k1")), 1)
            self.assertGreaterEqual(deployment.state("hall-w").counters.forwarded, 1)
            arrivals = sum(len(r.arrivals) for r in deployment.replicas.values())
            self.assertEqual(arrivals, len(behaviours) + 1)

        self.run_with(step, daemons=())

    def test_first_attempt_is_unknown_and_not_repeated(self):
        self.check()

    def test_second_attempt_after_a_refusal_is_unknown_and_not_repeated(self):
        self.check("full")


if __name__ == "__main__":
    unittest.main()
