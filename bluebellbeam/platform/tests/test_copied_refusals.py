import asyncio

from bluebellbeam.platform.tests.loopback import PlatformCase

SERVER = "portal-hall-e-1"


class TestCopyOfAnEarlierRefusal(PlatformCase):
    """Guards against a request that runs and is answered as not run."""

    async def serve_one(self, deployment, name):
        """Send safe requests until one is served."""
        for number in range(20):
            key = f"{name}{number}"
            status, _, _ = await deployment.fetch("/safe/1", key)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        self.fail("no request was served")

    def check_unsafe(self, served):
        """Check an unsafe request after a refusal and some `served` requests."""

        async def step(deployment):
            deployment.store.remove("servers/portal-hall-e-2")
            rows = deployment.state().replicas.rows
            await deployment.wait(lambda: "portal-hall-e-2" not in rows)
            replica = deployment.replicas[SERVER]
            replica.behaviours = ["full kept"] + ["ok"] * served + ["copy"]
            status, _, _ = await deployment.fetch("/safe/1", "refused")
            self.assertEqual(status, 503)
            for number in range(served):
                await self.serve_one(deployment, f"served{number}-")
            self.assertEqual(replica.behaviours, ["copy"])
            status, _, _ = await deployment.fetch("/unsafe/1", "unsafe")
            self.assertEqual(deployment.runs("unsafe"), [SERVER])
            self.assertNotIn(status, (408, 421, 429, 503))

        self.run_with(step)

    def test_unsafe_request_after_one_identified_response(self):
        self.check_unsafe(1)

    def test_unsafe_request_after_several_identified_responses(self):
        self.check_unsafe(3)
