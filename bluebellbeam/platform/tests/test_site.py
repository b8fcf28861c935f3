import asyncio
import unittest
from pathlib import Path
from unittest import mock

import bluebellbeam
from bluebellbeam.platform.store import make_store_mirror
from bluebellbeam.platform.tests.fake_platform import HOST, config
from bluebellbeam.platform.tests.loopback import SiteCase


class TestStoreMirror(SiteCase):
    def test_new_configuration_takes_effect_and_an_invalid_one_is_ignored(self):
        async def step(site):
            route = {
                "name": "r-new",
                "host": HOST,
                "pathPrefix": "/safe/deep/",
                "kind": "safe",
                "service": "llm",
                "timeoutMs": 1000,
            }
            site.store.put("op/config", config(2, routes=[route]))
            await site.wait(lambda: len(site.state().base.routes) == 5, 1.0)
            await site.fetch("/safe/deep/1", "d1", method="GET")
            self.assertIn("llm", site.runs("d1")[0])
            site.store.put("op/config", b"not a configuration")
            site.store.put("op/evacuate/hall-w", {})
            await asyncio.sleep(0.2)
            self.assertEqual(len(site.state().base.routes), 5)

        self.run_with(step)

    def test_invalid_entry_is_ignored_without_affecting_others(self):
        async def step(site):
            bad = (
                b"\xff\xfe",
                b"{}",
                b'{"service": 3, "address": "10.0.0.1:80"}',
                {"service": "portal", "address": "x", "zone": "hall-e", "slots": 1},
            )
            for i, value in enumerate(bad):
                site.store.put(f"servers/bad-{i}", value)
            site.store.put("servers/odd", {"state": "asleep", "zone": "nowhere"})
            site.store.remove("servers/portal-hall-e-1")
            rows = site.state().replicas.rows
            await site.wait(lambda: "portal-hall-e-1" not in rows, 1.0)
            self.assertEqual(len(rows), 3)
            self.assertEqual((await site.fetch("/unsafe/1", "x1"))[0], 200)

        self.run_with(step)

    def test_draining_server_gets_no_requests(self):
        async def step(site):
            replica = site.replicas["portal-hall-e-1"]
            entry = replica.entry("portal", "hall-e", born=1, state="draining")
            site.store.put("servers/portal-hall-e-1", entry)
            row = site.state().replicas.rows["portal-hall-e-1"]
            await site.wait(lambda: row.leaving, 1.0)
            for i in range(6):
                await site.fetch("/unsafe/1", f"d{i}")
            self.assertEqual(replica.runs, [])

        self.run_with(step)

    def test_evacuated_domain_gets_no_requests_until_the_evacuation_ends(self):
        async def step(site):
            site.store.put("op/evacuate/hall-e", {})
            await site.wait(lambda: site.state().evacuated, 1.0)
            status, headers, _ = await site.fetch("/unsafe/1", "e1")
            self.assertEqual((status, site.runs("e1")), (503, []))
            self.assertIn("Retry-After", headers)
            site.store.remove("op/evacuate/hall-e")
            await site.wait(lambda: not site.state().evacuated, 2.0)
            await site.wait(lambda: site.is_ready("hall-e"), 2.0)
            self.assertEqual((await site.fetch("/unsafe/1", "e2"))[0], 200)

        self.run_with(step)

    def test_store_is_read_again_after_its_history_was_discarded(self):
        async def step(site):
            before = site.store.calls.count("range")
            site.store.compacted = True
            site.store.put("op/evacuate/hall-w", {})
            await site.wait(lambda: not site.store.compacted)
            site.store.put("op/evacuate/hall-e", {})
            await site.wait(lambda: site.state().evacuated, 6.0)
            self.assertGreater(site.store.calls.count("range"), before)

        self.run_with(step)

    def test_mirror_without_reads_sends_no_requests(self):
        async def step(site):
            access = site.daemons["hall-e"].driver.settings.store
            mirror = make_store_mirror(site.session, access, "west", lambda: None)
            with mock.patch("bluebellbeam.platform.store.IDLE_STOP_S", 0.0):
                first = await mirror.read("config", 0, wait=False)
                await site.wait(lambda: mirror.task is None, 5.0)
            calls = mirror.calls
            await asyncio.sleep(0.2)
            self.assertEqual(mirror.calls, calls)
            site.store.put("op/config", config(2))
            again = await mirror.read("config", first.version, wait=True)
            self.assertGreater(again.version, first.version)
            mirror.close()

        self.run_with(step)

    def test_unreachable_store_is_tolerated_and_its_recovery_is_detected(self):
        async def step(site):
            site.store.fault = "busy"
            site.store.changed.set()
            await site.wait(lambda: site.store_failure_detected(), 5.0)
            self.assertEqual((await site.fetch("/unsafe/1", "l1"))[0], 200)
            site.store.put("op/evacuate/hall-e", {})
            site.store.fault = ""
            await site.wait(lambda: site.state().evacuated, 5.0)

        self.run_with(step)

    def test_daemon_without_the_store_gets_its_configuration_from_a_peer(self):
        async def step(site):
            await site.wait(lambda: site.is_ready("hall-e"))
            site.store.fault = "silent"
            await site.start_daemon("hall-w")
            await site.wait(lambda: site.state("hall-w").config is not None, 5.0)
            self.assertEqual(len(site.state("hall-w").base.routes), 4)

        self.run_with(step)


class TestStart(SiteCase):
    def test_without_a_configuration_every_request_gets_503_with_retry_after(self):
        async def step(site):
            for path in ("/unsafe/1", "/nothing/1"):
                status, headers, _ = await site.fetch(path, "n1")
                self.assertEqual(status, 503)
                self.assertGreater(float(headers["Retry-After"]), 0)
            async with site.session.get(
                site.url("readiness", "/readiness")
            ) as response:
                self.assertEqual(response.status, 503)
            async with site.session.get(site.url("directory", "/resolve")) as response:
                self.assertEqual(response.status, 503)

        self.run_with(step, publish=False)

    def test_directory_returns_daemons_of_the_requested_region(self):
        async def step(site):
            await site.wait(lambda: len(site.state("hall-e").members.rows) == 1)
            for zone, region in (("hall-e", "east"), ("hall-w", "west")):
                url = site.url("directory", "/resolve", "hall-e")
                query = {"name": HOST, "region": region, "zone": zone}
                async with site.session.get(url, params=query) as response:
                    found = await response.json()
                self.assertEqual(
                    found["addresses"], [site.daemons[zone].address("callers")]
                )
                self.assertLessEqual(found["ttlS"], 5)

        self.run_with(step, daemons=("hall-e", "hall-w"))


class TestMetrics(SiteCase):
    def test_latency_is_reported_by_kind_of_route(self):
        async def step(site):
            await site.fetch("/unsafe/1", "m1")
            await site.fetch("/chat/1", "m2")
            async with site.session.get(site.url("operators", "/metrics")) as response:
                text = await response.text()
            name = "bluebellbeam_first_token_seconds_count"
            self.assertIn(f'{name}{{kind="non_idempotent"}} 1.0', text)
            self.assertIn(f'{name}{{kind="stream"}} 1.0', text)
            self.assertIn("bluebellbeam_answered_total 2.0", text)

        self.run_with(step)


class TestStop(SiteCase):
    def test_requests_in_flight_finish_before_the_process_stops(self):
        async def step(site):
            for replica in site.replicas.values():
                replica.pause_ms = 100
            task = asyncio.create_task(site.fetch("/chat/1", "s1"))
            await site.wait(lambda: site.runs("s1"))
            daemon = site.daemons["hall-e"]
            daemon.request_stop()
            async with site.session.get(
                site.url("readiness", "/readiness")
            ) as response:
                self.assertEqual(response.status, 503)
            status, headers, _ = await site.fetch("/unsafe/1", "s2")
            self.assertEqual((status, headers["Connection"]), (200, "close"))
            status, _, body = await task
            self.assertEqual((status, body.count(b"id: ")), (200, 6))
            async with asyncio.timeout(6):
                await daemon.wait_stopped()

        self.run_with(step)


class TestPlatformNames(unittest.TestCase):
    """The platform's names are used only in this package."""

    NAMES = (
        "X-Attempt-Id",
        "X-Deadline-Ms",
        "X-Prompt-Prefix",
        "X-Token-Count",
        "X-Target-Instance",
        "X-Not-Executed",
        "X-Response-Stamp",
        "X-Server-Load",
        "X-Instance-Id",
        "X-Warmup-Ms",
        "X-Request-Priority",
        "kv-range",
        "kv-watch",
        "storeRevision",
        "serializable",
        "op/config",
        "op/evacuate",
        "pathPrefix",
        "weightedServices",
        "homeRegions",
        "targetLatencyMs",
        "gapTargetMs",
        "maxAttempts",
        "warmupLeftMs",
        "ttlS",
    )

    def test_no_platform_name_appears_outside_the_adapter(self):
        root = Path(bluebellbeam.__file__).parent
        for path in sorted(root.rglob("*.py")):
            if path.is_relative_to(root / "platform"):
                continue
            text = path.read_text().lower()
            found = [name for name in self.NAMES if name.lower() in text]
            self.assertEqual(found, [], str(path))

    def test_only_the_start_up_imports_the_adapter(self):
        root = Path(bluebellbeam.__file__).parent
        importing = [
            str(path.relative_to(root))
            for path in sorted(root.rglob("*.py"))
            if not path.is_relative_to(root / "platform")
            and "bluebellbeam.platform" in path.read_text()
        ]
        self.assertEqual(importing, ["cli/main.py"])
