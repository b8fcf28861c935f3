import asyncio
import random
import unittest

import aiohttp

from bluebellbeam.platform.records import PREFILL_TOKENS_PER_S
from bluebellbeam.platform.tests.fake_platform import config
from bluebellbeam.platform.tests.loopback import PlatformCase

DAEMONS = ("hall-e", "hall-e_2", "hall-e_3")
REFUSALS = 3
LEARN_S = 5.0
"""Time after which brittle servers let fewer requests wait."""

DOWN_S = 2.0
ALLOWED_FALLS = 2
RESPONSE_DELAY_MS = 500


def prompt_headers(key):
    """Return the headers of a prompt that is expected to take a fifth of its time."""
    tokens = round(PREFILL_TOKENS_PER_S * RESPONSE_DELAY_MS / 1000 / 5)
    return {
        "X-Prompt-Prefix": f"{key}:{tokens}",
        "X-Token-Count": f"{tokens},20",
        "X-Model": "m",
    }


class TestBrittleServers(PlatformCase):
    def test_real_daemons_make_few_of_them_end(self):
        async def step(deployment):
            await self.allow_slow_responses(deployment)
            falls = []
            servers = [r for n, r in deployment.replicas.items() if "llm-hall-e" in n]
            for replica in servers:
                replica.response_delay_ms = RESPONSE_DELAY_MS
                replica.room = 24
                replica.brittle = str(REFUSALS)
                replica.on_crash = self.make_restart(replica.address, falls)
            deadline_s = deployment.now_s() + LEARN_S
            tasks = await self.send_until(deployment, deadline_s, 30)
            falls.clear()
            for replica in servers:
                replica.room = 9
            deadline_s = deployment.now_s() + 8.0
            tasks += await self.send_until(deployment, deadline_s, 30)
            served = sum(await asyncio.gather(*tasks))
            self.assertLessEqual(len(falls), ALLOWED_FALLS)
            self.assertGreater(served, 0.5 * len(tasks))

        self.run_with(step, daemons=DAEMONS)

    async def allow_slow_responses(self, deployment):
        """Publish routes whose objective is far above the time of a response."""
        document = config(version=2)
        for route in document["routes"]:
            route["targetLatencyMs"] = 3000
        deployment.store.put("op/config", document)
        for name in deployment.daemons:
            state = deployment.state(name)
            await deployment.wait(lambda state=state: state.config.revision == 2)

    def make_restart(self, address, falls):
        """Return the callback by which a server that has ended returns there."""

        async def start(replica):
            await asyncio.sleep(DOWN_S)
            host, _, port = address.rpartition(":")
            replica.server = await asyncio.start_server(replica._serve, host, port)

        return lambda replica: falls.append(asyncio.ensure_future(start(replica)))

    async def send_until(self, deployment, deadline_s, rate_per_s):
        """Send prompts to random daemons, with bursts of twice the rate."""
        rng = random.Random(7)
        tasks = []
        while deployment.now_s() < deadline_s:
            factor = 2 if deployment.now_s() % 2.0 < 0.6 else 1
            await asyncio.sleep(rng.expovariate(rate_per_s * factor))
            key = f"p{deployment.now_s()}-{len(tasks)}"
            send = self.send(deployment, rng.choice(DAEMONS), key)
            tasks.append(asyncio.ensure_future(send))
        return tasks

    async def send(self, deployment, zone, key):
        try:
            status, _, _ = await deployment.fetch(
                "/audit/1", key, zone=zone, headers=prompt_headers(key)
            )
        except aiohttp.ClientError:
            return False
        return status == 200


if __name__ == "__main__":
    unittest.main()
