import asyncio
import unittest

import aiohttp

from bluebellbeam.daemon.connection import UpstreamConnectionError
from bluebellbeam.node import event as ev
from bluebellbeam.platform.tests.fake_platform import Replica
from bluebellbeam.platform.tests.loopback import PlatformCase

REQUESTS = 40
CONNECT_TIMEOUT_S = 0.4

SHARE_OF_OTHERS = 2 / 3
"""Share of the requests served at a daemon that lost its servers, relative to that at
the others, which it must not fall short of."""


def cut_from_servers(deployment, name, how="refused"):
    """Let daemon `name` reach no server any more.

    New connections are refused or, if `how` is ``hang``, time out; existing ones are
    lost. If `how` is ``live on``, these still work.
    """
    driver = deployment.daemons[name].driver
    pool = driver.connection_pool
    acquire = pool.acquire

    async def acquire_cut(key, address, cross_region=False, once=False):
        idle = how == "live on" and pool.idle.get(key)
        if key[0] not in deployment.replicas or idle:
            return await acquire(key, address, cross_region, once)
        if how == "hang":
            await asyncio.sleep(CONNECT_TIMEOUT_S)
        text = f"no connection to {address}: cut"
        raise UpstreamConnectionError(text, True, how != "hang")

    async def poll_cut(session, command):
        return ev.LoadReadFailed(command.server)

    driver.connection_pool = _CutPool(pool, acquire_cut)
    driver.provider = _CutProvider(driver.provider, poll_cut)
    if how != "live on":
        for key, connections in pool.idle.items():
            if key[0] in deployment.replicas:
                for connection in connections:
                    connection.close()


class _CutPool:
    def __init__(self, pool, acquire):
        self.pool = pool
        self.acquire = acquire

    def __getattr__(self, name):
        return getattr(self.pool, name)


class _CutProvider:
    def __init__(self, provider, poll_server):
        self.provider = provider
        self.poll_server = poll_server

    def __getattr__(self, name):
        return getattr(self.provider, name)


class CutCase(PlatformCase):
    """Daemons of which some reach no server."""

    async def count_served(self, deployment, zone, path="/audit/1", count=REQUESTS):
        """Return how many of `count` requests to a daemon are served."""
        served = 0
        tasks = []
        for number in range(count):
            key = f"{zone}-{path[1:3]}-{deployment.now_s():.3f}-{number}"
            tasks.append(asyncio.ensure_future(self.is_served(deployment, zone, key)))
            await asyncio.sleep(0.03)
        for found in await asyncio.gather(*tasks):
            served += found
        return served

    async def is_served(self, deployment, zone, key, path="/audit/1"):
        try:
            status, _, body = await deployment.fetch(path, key, zone=zone)
        except aiohttp.ClientError:
            return False
        return status == 200 and body.count(b"id:") == 6

    async def wait_until_known(self, deployment):
        """Wait until the daemons know each other and all servers of their region."""
        for name in deployment.daemons:
            await deployment.wait(lambda name=name: self.knows_all(deployment, name))

    def knows_all(self, deployment, name):
        rows = deployment.state(name).members.rows
        return len(rows) == len(deployment.daemons) - 1

    def fill_servers(self, deployment, zone):
        """Let the servers of a zone refuse everything, as if they were full."""
        for name, replica in deployment.replicas.items():
            if zone in name:
                replica.behaviours = ["full"] * 1000


class TestDaemonThatReachesNoServer(CutCase):
    def check_served(self, how):
        async def step(deployment):
            await self.wait_until_known(deployment)
            self.fill_servers(deployment, "hall-w")
            cut_from_servers(deployment, "hall-e", how)
            await self.count_served(deployment, "hall-e", count=20)
            found = await asyncio.gather(
                self.count_served(deployment, "hall-e"),
                self.count_served(deployment, "hall-e_2"),
            )
            self.assertGreaterEqual(found[1], 0.9 * REQUESTS)
            self.assertGreaterEqual(found[0], SHARE_OF_OTHERS * found[1])

        self.run_with(step, daemons=("hall-e", "hall-e_2", "hall-w"))

    def test_its_neighbour_serves_its_callers_while_connections_are_refused(self):
        self.check_served("refused")

    def test_its_neighbour_serves_its_callers_while_connections_hang(self):
        self.check_served("hang")

    def test_its_neighbour_serves_its_callers_while_old_connections_live_on(self):
        self.check_served("live on")

    def test_daemons_of_other_regions_serve_a_zone_without_its_servers(self):
        async def step(deployment):
            await self.wait_until_known(deployment)
            for name in ("hall-e", "hall-e_2"):
                cut_from_servers(deployment, name)
            await self.count_served(deployment, "hall-e", count=20)
            found = await asyncio.gather(
                *(self.count_served(deployment, name) for name in deployment.daemons)
            )
            self.assertGreaterEqual(found[2], 0.9 * REQUESTS)
            for served in found[:2]:
                self.assertGreaterEqual(served, SHARE_OF_OTHERS * found[2], found)

        self.run_with(step, daemons=("hall-e", "hall-e_2", "hall-w"))


class TestCutWhileServersAreReplaced(CutCase):
    async def replace_servers(self, deployment, duration_s, interval_s=0.15):
        """Replace the servers of a model in turn, without an interruption."""
        names = ["llm-hall-e-1", "llm-hall-e-2"]
        end_s = deployment.now_s() + duration_s
        number = 2
        while deployment.now_s() < end_s:
            number += 1
            names.append(f"llm-hall-e-{number}")
            replica = await Replica(names[-1], events=6).start()
            deployment.replicas[replica.name] = replica
            entry = replica.entry("llm", "hall-e", born=number)
            deployment.store.put(f"servers/{replica.name}", entry)
            deployment.store.remove(f"servers/{names.pop(0)}")
            await asyncio.sleep(interval_s)

    def test_neighbours_that_are_cut_off_as_well_do_not_hide_one_that_is_not(self):
        async def step(deployment):
            await self.wait_until_known(deployment)
            self.fill_servers(deployment, "hall-w")
            for name in ("hall-e", "hall-e_2", "hall-e_3"):
                cut_from_servers(deployment, name, "hang")
            replaced = asyncio.ensure_future(self.replace_servers(deployment, 4.0))
            await self.count_served(deployment, "hall-e", count=20)
            names = ("hall-e", "hall-e_2", "hall-e_3", "hall-e_4")
            found = await asyncio.gather(
                *(self.count_served(deployment, name) for name in names)
            )
            await replaced
            self.assertGreaterEqual(found[3], 0.9 * REQUESTS, found)
            self.assertGreaterEqual(min(found[:3]), SHARE_OF_OTHERS * found[3], found)

        self.run_with(
            step, daemons=("hall-e", "hall-e_2", "hall-e_3", "hall-e_4", "hall-w")
        )


class TestRegionCutOffInAShortage(CutCase):
    """All daemons of a region lose their servers while the other one has no room."""

    INTERVAL_S = 1 / 14
    LATER_S = 0.04
    CONTACT_S = 5.0
    DURATION_S = 12.0
    ROUTES = ("/safe/1", "/unsafe/1", "/chat/1", "/audit/1")

    async def call_in_turn(self, deployment, zone, start_s):
        """Send requests at equal intervals; return whether each was served.

        Those to the daemons without servers follow those to the others.
        """
        tasks = []
        await asyncio.sleep(self.LATER_S if "hall-w" in zone else 0)
        while (since_s := deployment.now_s() - start_s) < self.DURATION_S:
            path = self.ROUTES[len(tasks) % len(self.ROUTES)]
            call = self.is_answered(deployment, zone, f"{zone}-{len(tasks)}", path)
            tasks.append((since_s, asyncio.ensure_future(call)))
            await asyncio.sleep(self.INTERVAL_S)
        found = [(since_s, await task) for since_s, task in tasks]
        return [served for since_s, served in found if since_s >= self.CONTACT_S]

    async def is_answered(self, deployment, zone, key, path):
        try:
            headers = {"Connection": "close"}
            found = await deployment.fetch(path, key, zone=zone, headers=headers)
        except aiohttp.ClientError:
            return False
        return found[0] == 200

    def check_served(self, how):
        async def step(deployment):
            await self.wait_until_known(deployment)
            for replica in deployment.replicas.values():
                replica.response_delay_ms = 1000
            zones = list(deployment.daemons)
            for zone in ("hall-w", "hall-w_2"):
                cut_from_servers(deployment, zone, how)
            start_s = deployment.now_s()
            found = await asyncio.gather(
                *(self.call_in_turn(deployment, zone, start_s) for zone in zones)
            )
            by_region = {"hall-e": [], "hall-w": []}
            for zone, served in zip(zones, found, strict=True):
                by_region[zone.partition("_")[0]] += served
            others, cut = (sum(row) / len(row) for row in by_region.values())
            self.assertLess(others, 0.9, "not short of room")
            self.assertGreaterEqual(cut, SHARE_OF_OTHERS * others)
            self.assertGreaterEqual(others, SHARE_OF_OTHERS * cut)

        names = ("hall-e", "hall-e_2", "hall-e_3", "hall-e_4", "hall-w", "hall-w_2")
        self.run_with(step, daemons=names)

    def test_its_callers_are_served_like_others_while_connections_are_refused(self):
        self.check_served("refused")

    def test_its_callers_are_served_like_others_while_connections_hang(self):
        self.check_served("hang")


class TestForwardToADaemonWithoutServers(CutCase):
    def test_it_refuses_at_once_and_another_daemon_serves_the_request(self):
        async def step(deployment):
            await self.wait_until_known(deployment)
            cut_from_servers(deployment, "hall-e")
            await self.count_served(deployment, "hall-e", count=20)
            took_s = []
            for number in range(REQUESTS):
                start_s = deployment.now_s()
                served = await self.is_served(
                    deployment, "hall-w", f"f{number}", "/chat/1"
                )
                self.assertTrue(served)
                took_s.append(deployment.now_s() - start_s)
            self.assertLess(max(took_s), 0.4)

        self.run_with(
            step, daemons=("hall-e", "hall-e_2", "hall-w"), home_regions=("east",)
        )


if __name__ == "__main__":
    unittest.main()
