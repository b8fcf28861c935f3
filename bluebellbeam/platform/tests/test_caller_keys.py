import json

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
            # The home regions of the route and those of the workspace are disjoint.
            made = with_tenants(3, home_regions=["east"])
            await self.publish(deployment, made)
            found = await self.fetch(deployment, "/chat/1", "f2", "west-secret")
            self.assertEqual((found[0], deployment.runs("f2")), (403, []))

        self.run_with(step, daemons=("hall-e", "hall-w"))
