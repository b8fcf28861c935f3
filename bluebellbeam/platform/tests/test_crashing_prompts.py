import asyncio
import random
import unittest

import aiohttp

from bluebellbeam.platform.tests.loopback import PlatformCase

BAD_PART = "bad0"
DAEMONS = ("hall-e", "hall-e_2", "hall-w")

CONTACT_S = 5.0
"""Time after the fifth end by which the daemons have to know the part."""

MAX_LATE_ARRIVALS = 3
"""Requests with the part that may reach servers after that time."""

LEASE_S = 2.0
"""Time after its end at which a server is removed from the list."""

RESTART_S = 2.5
"""Time after which a server that ended is replaced."""

HARMLESS_INTERVAL_S = 0.06
BAD_INTERVAL_S = 0.4


class CrashingFleet:
    """Servers that end when they begin to answer a prompt with `BAD_PART`.

    Each is replaced some seconds later by one with another name.

    Attributes
    ----------
    service : str
        Service of these servers.
    path : str
        Path of the requests.
    first_bytes : bytes
        Start of a response.
    ends_s : list of float
        Times of the ends.
    bad_arrivals_s : list of float
        Times at which requests with the part reached a server.
    harmless : list of (float, bool)
        Time at which each harmless request was sent, and whether its response began.
    """

    service = "llm"
    path = "/audit/1"
    first_bytes = b"id:"

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.ends_s = []
        self.bad_arrivals_s = []
        self.harmless = []
        self.tasks = []
        self.numbers = iter(range(3, 1000))
        for name, replica in deployment.replicas.items():
            if name.startswith(self.service):
                self.prepare(replica)

    def prepare(self, replica):
        replica.crash_part = BAD_PART
        replica.response_delay_ms = 40
        replica.pause_ms = 30
        replica.on_crash = self.replace

    def now_s(self):
        return asyncio.get_running_loop().time()

    def replace(self, replica):
        """Record the end of a server and start another one in its place."""
        self.ends_s.append(self.now_s())
        self.spawn(self._replace(replica.name))

    async def _replace(self, name):
        store = self.deployment.store
        zone = name.removeprefix(f"{self.service}-").rpartition("-")[0]
        await asyncio.sleep(LEASE_S)
        store.remove(f"servers/{name}")
        await asyncio.sleep(RESTART_S - LEASE_S)
        number = next(self.numbers)
        replica = self.deployment.replicas[name]
        replica.name = f"{self.service}-{zone}-{number}"
        self.deployment.replicas[replica.name] = await replica.start()
        entry = replica.entry(self.service, zone, born=number)
        store.put(f"servers/{replica.name}", entry)

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def run(self, duration_s, with_bad=True):
        """Send harmless requests, and such with the part, for `duration_s`."""
        end_s = self.now_s() + duration_s
        last_bad_s = self.now_s()
        number = 0
        while self.now_s() < end_s:
            number += 1
            self.spawn(self.send_harmless(f"s{self.now_s()}-{number}"))
            if with_bad and self.now_s() - last_bad_s >= BAD_INTERVAL_S:
                last_bad_s = self.now_s()
                self.spawn(self.send_bad(f"b{self.now_s()}-{number}"))
            await asyncio.sleep(HARMLESS_INTERVAL_S)

    async def finish(self):
        await asyncio.gather(*self.tasks)

    def headers(self, parts):
        text = ",".join(f"{name}:20" for name in parts)
        return {"X-Prompt-Prefix": text, "X-Token-Count": "80,6", "X-Model": "m"}

    async def send_harmless(self, key):
        sent_s = self.now_s()
        companion = f"c{self.rng.randrange(4)}"
        begun = await self.send(key, ("shared", companion, f"own-{key}"))
        self.harmless.append((sent_s, begun))

    async def send_bad(self, key):
        companion = f"c{self.rng.randrange(4)}"
        await self.send(key, ("shared", companion, BAD_PART, f"own-{key}"))

    async def send(self, key, parts):
        """Send a request to a random daemon; return whether its response began."""
        begun = await self.call(key, headers=self.headers(parts))
        if BAD_PART in parts:
            self.record_arrivals(key)
        return begun

    async def call(self, key, **values):
        """Send a request to a random daemon; return whether its response began."""
        zone = self.rng.choice(DAEMONS)
        try:
            async with self.deployment.call(self.path, key, zone, **values) as response:
                first = await response.content.readline()
                await response.read()
                return response.status == 200 and first.startswith(self.first_bytes)
        except aiohttp.ClientError:
            return False

    def record_arrivals(self, key):
        for replica in set(self.deployment.replicas.values()):
            for (found, _), at_s in zip(replica.runs, replica.runs_s, strict=True):
                if found == key:
                    self.bad_arrivals_s.append(at_s)

    def share_begun(self, from_s, to_s):
        found = [begun for sent_s, begun in self.harmless if from_s <= sent_s < to_s]
        return len(found), sum(found) / max(1, len(found))


class CrashingFleetCase(PlatformCase):
    """Plays a fleet, and checks what reaches its servers late and what is served."""

    def check_fleet(self, fleet_type, seed, ends):
        """Check that few bad requests come later than `CONTACT_S` after so many ends.

        Harmless ones must be served half as often as before from twice that time on.
        """

        async def step(deployment):
            fleet = fleet_type(deployment, seed)
            await fleet.run(2.0, with_bad=False)
            calm_s = fleet.now_s()
            await fleet.run(17.0)
            end_s = fleet.now_s()
            await fleet.finish()
            known_s = sorted(fleet.ends_s)[:ends][-1]
            late = [at for at in fleet.bad_arrivals_s if at > known_s + CONTACT_S]
            self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, len(fleet.ends_s))
            calm, calm_share = fleet.share_begun(0.0, calm_s)
            sent, share = fleet.share_begun(known_s + 2 * CONTACT_S, end_s)
            self.assertGreaterEqual(min(calm, sent), 20)
            self.assertGreaterEqual(share, 0.5 * calm_share)

        self.run_with(step, daemons=DAEMONS)


class TestPartThatEndsServers(CrashingFleetCase):
    def test_prompts_with_a_part_that_ended_five_servers_reach_no_further_ones(self):
        self.check_fleet(CrashingFleet, seed=41, ends=5)


if __name__ == "__main__":
    unittest.main()
