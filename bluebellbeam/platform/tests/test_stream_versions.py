import asyncio
import unittest

import aiohttp

from bluebellbeam.platform.tests.loopback import DOMAINS, PlatformCase

IDS = [b"id: %d" % i for i in range(1, 7)]
STREAMS = 8


class StreamVersionCase(PlatformCase):
    """Two daemons, and servers of two software versions in each region."""

    async def start_versions(self, deployment, versions=("v1", "v2")):
        """Give the two servers of each zone these versions."""
        for zone in DOMAINS:
            for number, version in enumerate(versions, 1):
                self.publish(deployment, f"llm-{zone}-{number}", zone, version)
        for zone in deployment.daemons:
            names = [f"llm-{zone}-{number}" for number in (1, 2)]
            rows = deployment.state(zone).replicas.rows
            await deployment.wait(
                lambda rows=rows, names=names: (
                    len({rows[n].version for n in names}) == len(set(versions))
                )
            )
            await deployment.wait(
                lambda zone=zone: (
                    len(deployment.state(zone).members.rows)
                    == len(deployment.daemons) - 1
                )
            )

    def publish(self, deployment, name, zone, version):
        replica = deployment.replicas[name]
        replica.version = version
        born = int(name.rpartition("-")[2])
        entry = replica.entry("llm", zone, born=born)
        deployment.store.put(f"servers/{name}", entry)

    def set_replicas(self, deployment, **values):
        for name, replica in deployment.replicas.items():
            if name.startswith("llm"):
                for field, value in values.items():
                    setattr(replica, field, value)

    def versions(self, deployment, *keys):
        """Return the versions of the servers that ran the requests `keys`."""
        names = [name for key in keys for name in deployment.runs(key)]
        return {deployment.replicas[name].version for name in names}

    async def begin(self, deployment, key, zone="hall-e"):
        """Read two events of a new stream, and leave it."""
        async with deployment.call("/chat/1", key, zone) as response:
            for _ in range(6):
                await response.content.readline()

    async def resume(self, deployment, key, resumes, zone="hall-e", after="2"):
        """Resume a stream; return the status and the ids of the events."""
        headers = {"Last-Event-Id": after}
        if resumes:
            headers["Resumes"] = resumes
        status, _, body = await deployment.fetch(
            "/chat/1", key, zone=zone, headers=headers
        )
        return status, [line for line in body.split(b"\n") if line[:3] == b"id:"]


class TestVersionOfAResumedStream(StreamVersionCase):
    def test_broken_stream_is_not_continued_at_another_version(self):
        async def step(deployment):
            await self.start_versions(deployment)
            for number in range(STREAMS):
                key = f"c{number}"
                name = f"llm-hall-e-{number % 2 + 1}"
                deployment.replicas[name].behaviours = ["truncate"]
                status, _, body = await deployment.fetch("/chat/1", key)
                ids = [line for line in body.split(b"\n") if line[:3] == b"id:"]
                self.assertEqual((status, ids), (200, IDS))
                self.assertEqual(len(self.versions(deployment, key)), 1, key)

        self.run_with(step, daemons=("hall-e", "hall-w"))

    def test_version_that_is_no_short_name_is_compared_all_the_same(self):
        async def step(deployment):
            await self.start_versions(deployment, ("versjon \u00e6\r\n" * 9, "v2"))
            name = "llm-hall-e-1"
            deployment.replicas["llm-hall-e-2"].behaviours = ["full"]
            deployment.replicas[name].behaviours = ["truncate"]
            status, _, body = await deployment.fetch("/chat/1", "c1")
            self.assertEqual((status, body.count(b"id:")), (200, 6))
            self.assertEqual(deployment.runs("c1"), [name, "llm-hall-w-1"])

        self.run_with(step, daemons=("hall-e", "hall-w"))

    def test_stream_whose_version_has_no_other_server_ends_at_once(self):
        async def step(deployment):
            await self.start_versions(deployment)
            deployment.replicas["llm-hall-e-2"].behaviours = ["full"]
            deployment.replicas["llm-hall-e-1"].behaviours = ["truncate"]
            deployment.store.remove("servers/llm-hall-w-1")
            rows = deployment.state("hall-w").replicas.rows
            await deployment.wait(lambda: "llm-hall-w-1" not in rows)
            started_s = asyncio.get_running_loop().time()
            with self.assertRaises(aiohttp.ClientPayloadError):
                await deployment.fetch("/chat/1", "c1")
            took_s = asyncio.get_running_loop().time() - started_s
            self.assertLess(took_s, 1.0)
            self.assertEqual(deployment.runs("c1"), ["llm-hall-e-1"])

        self.run_with(step, daemons=("hall-e", "hall-w"))

    def test_stream_that_a_caller_resumes_stays_at_its_version(self):
        async def step(deployment):
            await self.start_versions(deployment)
            keys = await self.begin_streams(deployment)
            for key in keys:
                for zone in DOMAINS:
                    await self.check_resumed(deployment, key, zone)

        self.run_with(step, daemons=("hall-e", "hall-w"))

    def test_stream_whose_daemon_is_gone_stays_at_its_version(self):
        async def step(deployment):
            await self.start_versions(deployment)
            keys = await self.begin_streams(deployment)
            await asyncio.sleep(0.1)
            await deployment.daemons.pop("hall-e").close()
            for key in keys:
                await self.check_resumed(deployment, key, "hall-w")

        self.run_with(step, daemons=("hall-e", "hall-w"))

    async def begin_streams(self, deployment):
        """Begin streams at both versions; return the ids of their requests."""
        keys = [f"a{number}" for number in range(STREAMS)]
        self.set_replicas(deployment, pause_ms=20)
        await asyncio.gather(*(self.begin(deployment, key) for key in keys))
        self.set_replicas(deployment, pause_ms=0)
        self.assertEqual(self.versions(deployment, *keys), {"v1", "v2"})
        return keys

    async def check_resumed(self, deployment, first, zone):
        key = f"{first}-{zone}"
        found = await self.resume(deployment, key, first, zone)
        self.assertEqual(found, (200, IDS[2:]))
        self.assertEqual(len(self.versions(deployment, first, key)), 1, key)


class TestRestartOfAllDaemons(StreamVersionCase):
    def test_stream_of_a_version_that_has_left_is_not_joined_to_another(self):
        async def step(deployment):
            await self.start_versions(deployment)
            keys = [f"a{number}" for number in range(STREAMS)]
            self.set_replicas(deployment, pause_ms=20)
            await asyncio.gather(*(self.begin(deployment, key) for key in keys))
            self.set_replicas(deployment, pause_ms=0)
            self.assertEqual(self.versions(deployment, *keys), {"v1", "v2"})
            for zone in DOMAINS:
                deployment.store.remove(f"servers/llm-{zone}-1")
            for zone in DOMAINS:
                await deployment.daemons.pop(zone).close()
            for zone in DOMAINS:
                await deployment.start_daemon(zone)
            await deployment.wait(
                lambda: all(deployment.state(zone).ready for zone in DOMAINS)
            )
            joined = []
            for key in keys:
                await self.resume(deployment, f"{key}-2", key, "hall-w")
                if len(self.versions(deployment, key, f"{key}-2")) > 1:
                    joined.append(key)
            self.assertEqual(joined, [])

        self.run_with(step, daemons=("hall-e", "hall-w"))


class TestStreamOfUnknownOrigin(StreamVersionCase):
    def test_stream_is_refused_while_two_versions_serve(self):
        async def step(deployment):
            await self.start_versions(deployment)
            for resumes in ("nobody", ""):
                key = f"b-{resumes}"
                headers = {"Last-Event-Id": "2", "Resumes": resumes}
                status, _, body = await deployment.fetch(
                    "/chat/1", key, headers=headers
                )
                self.assertEqual(status, 503)
                self.assertIn(b"stream_origin_unknown", body)
                self.assertEqual(deployment.runs(key), [])

        self.run_with(step, daemons=("hall-e", "hall-w"))

    def check_one_version(self, watched, expected):
        """Check streams of unknown origin while servers have one version.

        `watched` are the daemons that have run for long enough to know that.
        """

        async def step(deployment):
            await self.start_versions(deployment, ("v1", "v1"))
            for name in watched:
                deployment.state(name).versions.complete_ms = 0
            for resumes in ("nobody", ""):
                found = await self.resume(deployment, f"b-{resumes}", resumes)
                self.assertEqual(found, expected[resumes])

        self.run_with(step, daemons=("hall-e", "hall-w"))

    def test_stream_is_continued_while_one_version_serves(self):
        done = (200, IDS[2:])
        self.check_one_version(("hall-e", "hall-w"), {"nobody": done, "": done})

    def test_stream_is_continued_if_another_daemon_knows_the_only_version(self):
        done = (200, IDS[2:])
        self.check_one_version(("hall-w",), {"nobody": done, "": done})

    def test_stream_is_refused_while_no_daemon_knows_earlier_versions(self):
        refused = (503, [])
        self.check_one_version((), {"nobody": refused, "": refused})


if __name__ == "__main__":
    unittest.main()
