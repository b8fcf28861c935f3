import asyncio
import json
import logging
from unittest import mock

from structlog.testing import capture_logs

from bluebellbeam.cli.logs import configure_logs
from bluebellbeam.daemon.auth import NullPeerAuth
from bluebellbeam.platform.tests.fake_platform import HOST, config
from bluebellbeam.platform.tests.loopback import PlatformCase

KEYS = {
    "acme": ["acme-secret-1", "acme-secret-2"],
    "birch": ["birch-secret"],
    "West Ltd.": ["west-secret"],
}


def tenant(name, **values):
    return {"name": name, "apiKeys": KEYS[name], **values}


TENANTS = [
    tenant("acme", priority=2, unit="token_stream", ratePerS=50_000, burst=100_000),
    tenant("birch"),
    tenant("West Ltd.", homeRegions=["west"], priority=0),
]


def with_tenants(version=2, tenants=TENANTS, **values):
    """Return a configuration with keys and an anonymous route ``/open/``."""
    made = config(version, **values)
    made["routes"].append(
        made["routes"][0]
        | {"name": "r-open", "pathPrefix": "/open/", "anonymous": True}
    )
    return made | {"tenants": tenants}


class KeyCase(PlatformCase):
    def run_logged(self, step, level="info", **values):
        """Run `step` with a deployment and the list of the logged lines."""
        configure_logs("console", level)
        self.addCleanup(configure_logs, "console", "critical")
        with capture_logs() as lines:
            self.run_with(lambda deployment: step(deployment, lines), **values)

    async def publish(self, deployment, made):
        deployment.store.put("op/config", made)
        await deployment.wait(
            lambda: all(
                daemon.driver.node.state.config.revision == made["version"]
                for daemon in deployment.daemons.values()
            ),
            5.0,
        )

    async def fetch(self, deployment, path, request_id, key=None, **values):
        """Send a request with `key`; return status and code of an error."""
        headers = values.pop("headers", {})
        if key is not None:
            headers = {**headers, "Api-Key": key}
        status, _, body = await deployment.fetch(
            path, request_id, headers=headers, **values
        )
        code = json.loads(body)["error"]["code"] if status == 401 else ""
        return status, code

    def headers_at_server(self, deployment, request_id):
        """Return the headers with which the servers got a request."""
        return [
            headers
            for replica in deployment.replicas.values()
            for found, headers in replica.runs
            if found == request_id
        ]


class TestKeys(KeyCase):
    def test_only_requests_with_one_known_key_run(self):
        """Guards against requests that run without or with a wrong key."""

        async def step(deployment):
            await self.publish(deployment, with_tenants())
            for i, key in enumerate(KEYS["acme"]):
                found = await self.fetch(deployment, "/unsafe/1", f"k{i}", key)
                self.assertEqual(found, (200, ""))
            wrong = ("nobody", "", "x" * 5000, "acme-secret-1 acme-secret-2", "ACME")
            for i, key in enumerate((None, *wrong)):
                found = await self.fetch(deployment, "/unsafe/1", f"w{i}", key)
                self.assertEqual((key, found), (key, (401, "unknown_key")))
                self.assertEqual(deployment.runs(f"w{i}"), [])
            repeated = [("Api-Key", "birch-secret")] * 2
            repeated += [("Host", HOST), ("X-Attempt-Id", "r1")]
            url = deployment.url("callers", "/unsafe/1")
            async with deployment.session.post(url, headers=repeated) as response:
                self.assertEqual(response.status, 401)
            found = await self.fetch(deployment, "/none/1", "n1")
            self.assertEqual(found[0], 404)
            rejected = deployment.state().counters.rejected_keys
            expected = {"empty": 1, "missing": 1, "oversized": 1, "repeated": 1}
            self.assertEqual(rejected, expected | {"unknown": 3})

        self.run_with(step)

    def test_server_gets_the_tenant_and_never_the_key(self):
        """Guards against a forged tenant, and against keys in logs of servers."""

        async def step(deployment):
            await self.publish(deployment, with_tenants())
            forged = {"X-Tenant": "birch"}
            await self.fetch(
                deployment, "/chat/1", "c1", "acme-secret-1", headers=forged
            )
            for request_id, key in (("o1", None), ("o2", "no"), ("o3", "birch-secret")):
                values = {"method": "GET", "headers": dict(forged)}
                found = await self.fetch(
                    deployment, "/open/1", request_id, key, **values
                )
                self.assertEqual(found, (200, ""))
            for request_id, name in (
                ("c1", "acme"),
                ("o1", None),
                ("o2", None),
                ("o3", "birch"),
            ):
                (headers,) = self.headers_at_server(deployment, request_id)
                self.assertEqual(headers.get("x-tenant"), name)
                self.assertNotIn("api-key", headers)

        self.run_with(step)

    def test_headers_pass_unchanged_without_tenants(self):
        """Guards against a change of deployments whose configuration has no keys."""

        async def step(deployment):
            sent = {"X-Tenant": "mine"}
            await self.fetch(deployment, "/unsafe/1", "u1", "own", headers=sent)
            (headers,) = self.headers_at_server(deployment, "u1")
            self.assertEqual((headers["api-key"], headers["x-tenant"]), ("own", "mine"))

        self.run_with(step)

    def test_forwarded_request_keeps_its_workspace_and_home_regions(self):
        """Guards against forwards without the tenant, or to another region."""

        async def step(deployment):
            await self.publish(deployment, with_tenants())
            state = deployment.state("hall-e")
            await deployment.wait(lambda: len(state.members.rows) == 1)
            found = await self.fetch(deployment, "/safe/1", "f1", "west-secret")
            self.assertEqual(found, (200, ""))
            (headers,) = self.headers_at_server(deployment, "f1")
            self.assertEqual(headers["x-tenant"], "West Ltd.")
            self.assertNotIn("api-key", headers)
            self.assertIn("hall-w", deployment.runs("f1")[0])

        self.run_with(step, daemons=("hall-e", "hall-w"))

    def test_valid_key_without_a_common_region_is_no_error_of_the_caller(self):
        async def step(deployment):
            made = with_tenants(2, home_regions=["east"])
            await self.publish(deployment, made)
            found = await self.fetch(deployment, "/chat/1", "f2", "west-secret")
            self.assertEqual((found[0], deployment.runs("f2")), (503, []))

        self.run_with(step, daemons=("hall-e", "hall-w"))


class TestRevocation(KeyCase):
    REVOKE_S = 5.0
    """Time after which a revoked key is rejected, from the platform's rules."""

    # More daemons in one failure domain than watch the store.
    DAEMONS = (*(f"hall-e_{i}" for i in range(5)), "hall-w")

    def test_revoked_key_is_rejected_on_open_connections_of_all_daemons(self):
        """Guards against keys that are checked once for each connection only."""

        async def step(deployment, lines):
            await self.publish(deployment, with_tenants())
            zones = self.DAEMONS
            for zone in zones:
                found = await self.fetch(
                    deployment, "/unsafe/1", f"a-{zone}", "birch-secret", zone=zone
                )
                self.assertEqual(found, (200, ""))
            tenants = [TENANTS[0], TENANTS[1] | {"apiKeys": ["new"]}, TENANTS[2]]
            deployment.store.put("op/config", with_tenants(3, tenants))
            revoked_s = deployment.now_s()
            for zone in zones:
                number = 0
                found = (200, "")
                while found[0] == 200:
                    self.assertLess(deployment.now_s() - revoked_s, self.REVOKE_S)
                    number += 1
                    found = await self.fetch(
                        deployment,
                        "/unsafe/1",
                        f"b-{zone}-{number}",
                        "birch-secret",
                        zone=zone,
                    )
                self.assertEqual(found, (401, "unknown_key"))
                # The connection that was opened before serves the new key.
                found = await self.fetch(
                    deployment, "/unsafe/1", f"c-{zone}", "new", zone=zone
                )
                self.assertEqual(found, (200, ""))
            for zone in zones:
                rejected = deployment.state(zone).counters.rejected_keys
                self.assertEqual(rejected, {"revoked": 1})
                accepted = deployment.daemons[zone].metrics.listeners.activities
                self.assertLessEqual(accepted["callers"].accepted, 2)
            logged = [line for line in lines if line.get("key") == "revoked"]
            self.assertEqual({line["workspace"] for line in logged}, {"birch"})

        self.run_logged(step, daemons=self.DAEMONS)

    def test_invalid_tenants_keep_the_last_valid_configuration(self):
        """Guards against an operator's mistake that stops all requests."""

        async def step(deployment, lines):
            await self.publish(deployment, with_tenants())
            bad = [TENANTS[0], TENANTS[1] | {"apiKeys": ["acme-secret-1"]}]
            deployment.store.put("op/config", with_tenants(3, bad))
            await deployment.wait(
                lambda: any("invalid entry" in line["event"] for line in lines)
            )
            reason = next(line for line in lines if "invalid entry" in line["event"])
            self.assertIn("tenants[1].apiKeys[0]", reason["reason"])
            found = await self.fetch(deployment, "/unsafe/1", "v1", "birch-secret")
            self.assertEqual(found, (200, ""))
            await self.publish(deployment, with_tenants(4, TENANTS[:1]))
            found = await self.fetch(deployment, "/unsafe/1", "v2", "birch-secret")
            self.assertEqual(found, (401, "unknown_key"))

        self.run_logged(step)


class _RecordList(logging.Handler):
    """Keeps the text of every record of the standard library's loggers."""

    def __init__(self):
        super().__init__(logging.DEBUG)
        self.texts = []

    def emit(self, record):
        self.texts.append(self.format(record))


class TestNoKeyLeaves(KeyCase):
    """No key appears in what a daemon logs, shows, answers or sends."""

    SECRETS = [key for keys in KEYS.values() for key in keys] + ["never-valid-secret"]

    def setUp(self):
        self.records = _RecordList()
        loggers = [
            logging.getLogger(name)
            for name in ("", "sanic.root", "sanic.error", "sanic.server", "asyncio")
        ]
        for logger in loggers:
            logger.addHandler(self.records)
            self.addCleanup(logger.removeHandler, self.records)

    async def _send_all_kinds(self, deployment):
        """Send requests of all outcomes; return the bytes of the responses."""
        answers = []
        number = 0
        for key in self.SECRETS:
            for path in ("/safe/1", "/unsafe/1", "/chat/1", "/open/1", "/none/1"):
                number += 1
                method = "GET" if path in ("/safe/1", "/open/1") else "POST"
                _, headers, body = await deployment.fetch(
                    path, f"k{number}", headers={"Api-Key": key}, method=method
                )
                answers.append(repr(headers).encode() + body)
        for lines in (
            "Api-Key : {}",
            "Api-Key {}",
            "Api-Key: {}\r\n folded",
            "Api-Key: {}\r\nContent-Length: x",
            "Api-Key: {}\x00",
        ):
            head = "POST /unsafe/1 HTTP/1.1\r\nHost: shop.example\r\n"
            head += "X-Attempt-Id: raw\r\nConnection: close\r\n"
            raw = head + lines.format(self.SECRETS[0]) + "\r\n\r\n"
            answers.append(await self._send_raw(deployment, raw.encode()))
        return answers

    async def _send_raw(self, deployment, raw):
        address = deployment.daemons["hall-e"].address("callers")
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw)
        try:
            async with asyncio.timeout(5):
                return await reader.read()
        finally:
            writer.close()

    async def _operator_pages(self, deployment):
        pages = []
        for zone in deployment.daemons:
            decisions = deployment.state(zone).decisions
            paths = ["/metrics", "/state"]
            paths += [f"/explain/{found}" for found in list(decisions)]
            for path in paths:
                url = deployment.url("operators", path, zone)
                async with deployment.session.get(url) as response:
                    pages.append(await response.read())
        return pages

    def test_no_key_in_logs_pages_responses_and_messages(self):
        """Guards against a key that reaches an operator, a server or a daemon."""
        sent = []

        def sign(auth, path, vm, body):
            sent.append(bytes(body))
            return vm

        def sign_response(auth, nonce, body):
            sent.append(bytes(body))
            return "open"

        async def step(deployment, lines):
            await self.publish(deployment, with_tenants())
            answers = await self._send_all_kinds(deployment)
            deployment.queue_behaviours("portal", "reset", "garbage", "error")
            answers += await self._send_all_kinds(deployment)
            bad = [TENANTS[0], TENANTS[1] | {"apiKeys": ["acme-secret-1"]}]
            deployment.store.put("op/config", with_tenants(3, bad))
            bad = [TENANTS[0] | {"apiKeys": ["never-valid-secret\n"]}]
            deployment.store.put("op/config", with_tenants(4, bad))
            text = json.dumps(with_tenants(5))
            deployment.store.put("op/config", text[:-1].encode())
            await self.publish(deployment, with_tenants(6, TENANTS[:1]))
            answers += await self._send_all_kinds(deployment)
            pages = await self._operator_pages(deployment)
            self.assertIn(b'"workspace":"acme"', b"".join(pages))
            self.assertIn(b"West Ltd.", b"".join(pages))
            name = b'bluebellbeam_workspace_requests_total{workspace="acme"}'
            self.assertIn(name, b"".join(pages))
            name = b'bluebellbeam_rejected_keys_total{reason="revoked"}'
            self.assertIn(name, b"".join(pages))
            servers = [
                repr(headers).encode()
                for replica in deployment.replicas.values()
                for _, headers in replica.runs
            ]
            self.assertTrue(any(b"West Ltd." in raw for raw in sent))
            self.assertIn(
                "refuse: unknown_key", {line["event"][-19:] for line in lines}
            )
            for kind, texts in {
                "logs": [repr(line).encode() for line in lines],
                "records": [text.encode() for text in self.records.texts],
                "pages": pages,
                "answers": answers,
                "messages": sent,
                "servers": servers,
            }.items():
                self.assertTrue(texts or kind == "records", kind)
                for secret in self.SECRETS:
                    found = [text for text in texts if secret.encode() in text]
                    self.assertEqual((kind, found[:1]), (kind, []))

        with (
            mock.patch.object(NullPeerAuth, "sign", sign),
            mock.patch.object(NullPeerAuth, "sign_response", sign_response),
        ):
            self.run_logged(step, "debug", daemons=("hall-e", "hall-w"))
