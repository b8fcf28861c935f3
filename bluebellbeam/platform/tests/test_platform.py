import asyncio
import unittest
from pathlib import Path
from unittest import mock

import bluebellbeam
from bluebellbeam.daemon.connection_pool import make_connection_pool
from bluebellbeam.platform.store import make_store_mirror
from bluebellbeam.platform.tests.fake_platform import HOST, config
from bluebellbeam.platform.tests.loopback import PlatformCase
from bluebellbeam.utils.clock import monotonic_clock


class TestStoreMirror(PlatformCase):
    def test_new_configuration_takes_effect_and_an_invalid_one_is_ignored(self):
        async def step(deployment):
            route = {
                "name": "r-new",
                "host": HOST,
                "pathPrefix": "/safe/deep/",
                "kind": "safe",
                "service": "llm",
                "timeoutMs": 1000,
            }
            deployment.store.put("op/config", config(2, routes=[route]))
            await deployment.wait(lambda: len(deployment.state().base.routes) == 5, 1.0)
            await deployment.fetch("/safe/deep/1", "d1", method="GET")
            self.assertIn("llm", deployment.runs("d1")[0])
            deployment.store.put("op/config", b"not a configuration")
            deployment.store.put("op/evacuate/hall-w", {})
            await asyncio.sleep(0.2)
            self.assertEqual(len(deployment.state().base.routes), 5)

        self.run_with(step)

    def test_invalid_entry_is_ignored_without_affecting_others(self):
        async def step(deployment):
            replica = deployment.replicas["portal-hall-e-2"]
            entry = replica.entry("portal", "hall-e")
            bad = (
                b"\xff\xfe",
                b"{}",
                b'{"other": ' + b"[" * 2000 + b"]" * 2000 + b"}",
                b'{"service": 3, "address": "10.0.0.1:80"}',
                {"service": "portal", "address": "x", "zone": "hall-e", "slots": 1},
                replica.entry("portal", "hall-e", version=""),
                replica.entry("portal", "hall-e", version=2),
                {k: v for k, v in entry.items() if k != "version"},
            )
            for i, value in enumerate(bad):
                deployment.store.put(f"servers/bad-{i}", value)
            deployment.store.put("servers/odd", {"state": "asleep", "zone": "nowhere"})
            deployment.store.remove("servers/portal-hall-e-1")
            rows = deployment.state().replicas.rows
            await deployment.wait(lambda: "portal-hall-e-1" not in rows, 1.0)
            self.assertEqual(len(rows), 3)
            self.assertEqual((await deployment.fetch("/unsafe/1", "x1"))[0], 200)

        self.run_with(step)

    def test_draining_server_gets_no_requests(self):
        async def step(deployment):
            replica = deployment.replicas["portal-hall-e-1"]
            entry = replica.entry("portal", "hall-e", born=1, state="draining")
            deployment.store.put("servers/portal-hall-e-1", entry)
            row = deployment.state().replicas.rows["portal-hall-e-1"]
            await deployment.wait(lambda: row.leaving, 1.0)
            for i in range(6):
                await deployment.fetch("/unsafe/1", f"d{i}")
            self.assertEqual(replica.runs, [])

        self.run_with(step)

    def test_evacuated_domain_gets_no_requests_until_the_evacuation_ends(self):
        async def step(deployment):
            deployment.store.put("op/evacuate/hall-e", {})
            await deployment.wait(lambda: deployment.state().evacuated, 1.0)
            status, headers, _ = await deployment.fetch("/unsafe/1", "e1")
            self.assertEqual((status, deployment.runs("e1")), (503, []))
            self.assertIn("Retry-After", headers)
            deployment.store.remove("op/evacuate/hall-e")
            await deployment.wait(lambda: not deployment.state().evacuated, 2.0)
            await deployment.wait(lambda: deployment.is_ready("hall-e"), 2.0)
            self.assertEqual((await deployment.fetch("/unsafe/1", "e2"))[0], 200)

        self.run_with(step)

    def test_store_is_read_again_after_its_history_was_discarded(self):
        async def step(deployment):
            before = deployment.store.calls.count("range")
            deployment.store.compacted = True
            deployment.store.put("op/evacuate/hall-w", {})
            await deployment.wait(lambda: not deployment.store.compacted)
            deployment.store.put("op/evacuate/hall-e", {})
            evacuated = {"hall-e", "hall-w"}
            await deployment.wait(
                lambda: deployment.state().evacuated == evacuated, 6.0
            )
            self.assertGreater(deployment.store.calls.count("range"), before)

        self.run_with(step)

    def test_mirror_without_reads_sends_no_requests(self):
        async def step(deployment):
            access = deployment.daemons["hall-e"].driver.settings.store
            connections = make_connection_pool(monotonic_clock())
            mirror = make_store_mirror(connections, access, "west", lambda: None)
            with mock.patch("bluebellbeam.platform.store.IDLE_STOP_S", 0.0):
                first = await mirror.read("config", 0, wait=False)
                await deployment.wait(lambda: mirror.task is None, 5.0)
            calls = mirror.client.calls
            await asyncio.sleep(0.2)
            self.assertEqual(mirror.client.calls, calls)
            deployment.store.put("op/config", config(2))
            again = await mirror.read("config", first.version, wait=True)
            self.assertGreater(again.version, first.version)
            mirror.close()
            connections.close()

        self.run_with(step)

    def test_unreachable_store_is_tolerated_and_its_recovery_is_detected(self):
        async def step(deployment):
            deployment.store.fault = "busy"
            deployment.store.changed.set()
            await deployment.wait(lambda: deployment.store_failure_detected(), 5.0)
            self.assertEqual((await deployment.fetch("/unsafe/1", "l1"))[0], 200)
            deployment.store.put("op/evacuate/hall-e", {})
            deployment.store.fault = ""
            await deployment.wait(lambda: deployment.state().evacuated, 5.0)

        self.run_with(step)

    def test_daemon_without_the_store_gets_its_configuration_from_a_peer(self):
        async def step(deployment):
            await deployment.wait(lambda: deployment.is_ready("hall-e"))
            deployment.store.fault = "silent"
            await deployment.start_daemon("hall-w")
            await deployment.wait(
                lambda: deployment.state("hall-w").config is not None, 5.0
            )
            self.assertEqual(len(deployment.state("hall-w").base.routes), 4)

        self.run_with(step)


class TestStart(PlatformCase):
    def test_without_a_configuration_every_request_gets_503_with_retry_after(self):
        async def step(deployment):
            for path in ("/unsafe/1", "/nothing/1"):
                status, headers, _ = await deployment.fetch(path, "n1")
                self.assertEqual(status, 503)
                self.assertGreater(float(headers["Retry-After"]), 0)
            async with deployment.session.get(
                deployment.url("readiness", "/readiness")
            ) as response:
                self.assertEqual(response.status, 503)
            async with deployment.session.get(
                deployment.url("directory", "/resolve")
            ) as response:
                self.assertEqual(response.status, 503)

        self.run_with(step, publish=False)

    def test_directory_returns_daemons_of_the_requested_region(self):
        async def step(deployment):
            await deployment.wait(
                lambda: len(deployment.state("hall-e").members.rows) == 1
            )
            for zone, region in (("hall-e", "east"), ("hall-w", "west")):
                url = deployment.url("directory", "/resolve", "hall-e")
                query = {"name": HOST, "region": region, "zone": zone}
                async with deployment.session.get(url, params=query) as response:
                    found = await response.json()
                self.assertEqual(
                    found["addresses"], [deployment.daemons[zone].address("callers")]
                )
                self.assertLessEqual(found["ttlS"], 5)

        self.run_with(step, daemons=("hall-e", "hall-w"))


class TestMetrics(PlatformCase):
    def test_latency_is_reported_by_kind_of_route(self):
        async def step(deployment):
            await deployment.fetch("/unsafe/1", "m1")
            await deployment.fetch("/chat/1", "m2")
            async with deployment.session.get(
                deployment.url("operators", "/metrics")
            ) as response:
                text = await response.text()
            name = "bluebellbeam_first_token_seconds_count"
            self.assertIn(f'{name}{{kind="non_idempotent"}} 1.0', text)
            self.assertIn(f'{name}{{kind="stream"}} 1.0', text)
            self.assertIn("bluebellbeam_answered_total 2.0", text)

        self.run_with(step)


class TestStop(PlatformCase):
    def test_requests_in_flight_finish_before_the_process_stops(self):
        async def step(deployment):
            for replica in deployment.replicas.values():
                replica.pause_ms = 100
            task = asyncio.create_task(deployment.fetch("/chat/1", "s1"))
            await deployment.wait(lambda: deployment.runs("s1"))
            daemon = deployment.daemons["hall-e"]
            daemon.request_stop()
            async with deployment.session.get(
                deployment.url("readiness", "/readiness")
            ) as response:
                self.assertEqual(response.status, 503)
            status, headers, _ = await deployment.fetch("/unsafe/1", "s2")
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
        "Api-Key",
        "X-Tenant",
        "apiKeys",
        "ratePerS",
        "plainTokens",
        "token_stream",
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
