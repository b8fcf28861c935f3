import asyncio
import json
import unittest

import aiohttp
import uvloop

from bluebellbeam.cli.logs import configure_logs
from bluebellbeam.demo import Deployment
from bluebellbeam.examples import read_example


class LoopbackCase(unittest.TestCase):
    """Runs each test against its own deployment on the loopback interface."""

    @classmethod
    def setUpClass(cls):
        configure_logs("json", "critical")

    def run_with(self, step, name="fraserleaf"):
        self.run_deployment(step, *read_example(name))

    def run_deployment(self, step, base, overlays):
        async def run():
            deployment = Deployment(base, overlays)
            await deployment.start()
            timeout = aiohttp.ClientTimeout(total=20)
            try:
                async with aiohttp.ClientSession(timeout=timeout) as session:
                    await step(deployment, session)
            finally:
                await deployment.stop()

        uvloop.run(run())


def caller_url(deployment, path, vm="burnaby-hall-1"):
    return f"http://{deployment.fleet.entry_vms[vm].caller_address}{path}"


def auth_headers(workspace):
    return {"authorization": f"Bearer key-{workspace}"}


def chat_body(prompt, stream, max_tokens=8):
    return {
        "model": "inspect",
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
        "max_tokens": max_tokens,
    }


async def stream_text(response):
    text, complete, error = [], False, None
    async for line in response.content:
        if line.startswith(b"data: [DONE]"):
            complete = True
        elif line.startswith(b"data: "):
            event = json.loads(line[6:])
            error = event.get("error") or error
            for choice in event.get("choices", ()):
                text.append(choice["delta"]["content"])
    return "".join(text), complete, error


class TestRoutes(LoopbackCase):
    """Routed requests with the native provider."""

    ROUTE = {
        "name": "portal",
        "host": "farm.example",
        "path_prefix": "/status/",
        "services": [{"service": "portal"}],
        "workspace": "field-notes",
        "kind": "idempotent",
        "timeout_ms": 3000,
        "objective_ms": 1000,
    }

    def send_request(self, session, deployment, workspace, path="/status/7", **headers):
        headers = {"host": "farm.example", "x-request-id": "r-7", **headers}
        url = caller_url(deployment, path)
        return session.get(url, headers=auth_headers(workspace) | headers)

    def test_route_is_served_with_the_key_of_its_workspace(self):
        base, overlays = read_example("fraserleaf")
        base["routes"] = [self.ROUTE]

        async def step(deployment, session):
            async with self.send_request(
                session, deployment, "field-notes"
            ) as response:
                self.assertEqual(response.status, 200)
                self.assertEqual(response.headers["x-request-id"], "r-7")
                self.assertEqual((await response.json())["path"], "/status/7")
            async with self.send_request(
                session, deployment, "farm-audits"
            ) as response:
                self.assertEqual(response.status, 403)
            path = "/other/7"
            async with self.send_request(
                session, deployment, "field-notes", path
            ) as response:
                self.assertEqual(response.status, 404)

        self.run_deployment(step, base, overlays)


class TestCallers(LoopbackCase):
    def test_streamed_text_equals_the_text_of_a_single_response(self):
        async def step(deployment, session):
            url = caller_url(deployment, "/v1/chat/completions")
            headers = auth_headers("field-notes")
            async with session.post(
                url, json=chat_body("abc", True), headers=headers
            ) as response:
                text, complete, _ = await stream_text(response)
            async with session.post(
                url, json=chat_body("abc", False), headers=headers
            ) as response:
                found = await response.json()
            self.assertTrue(complete)
            self.assertEqual(found["choices"][0]["message"]["content"], text)
            self.assertEqual(found["usage"]["completion_tokens"], 8)

        self.run_with(step)

    def test_unknown_key_is_rejected_without_a_backend_request(self):
        async def step(deployment, session):
            url = caller_url(deployment, "/v1/chat/completions")
            for headers in ({}, {"authorization": "Bearer nobody"}):
                async with session.post(
                    url, json=chat_body("abc", True), headers=headers
                ) as response:
                    found = await response.json()
                self.assertEqual(response.status, 401)
                self.assertEqual(found["error"]["outcome"], "not_run")
            runs = [
                run
                for e in deployment.fleet.engines.values()
                for run in e.accepted_work
            ]
            self.assertEqual(runs, [])

        self.run_with(step)

    def test_invalid_requests_share_one_error_format(self):
        async def step(deployment, session):
            headers = auth_headers("field-notes")
            cases = (
                ("/v1/chat/completions", b"{", 400, "bad_request"),
                ("/v1/chat/completions", b'{"model": "inspect"}', 400, "bad_request"),
                (
                    "/v1/completions",
                    b'{"model": "other", "prompt": "a"}',
                    404,
                    "unknown_model",
                ),
                ("/v1/services/other/x", b"", 404, "unknown_service"),
                ("/nowhere", b"", 404, "not_found"),
            )
            for path, body, status, code in cases:
                async with session.post(
                    caller_url(deployment, path), data=body, headers=headers
                ) as response:
                    found = await response.json()
                self.assertEqual(
                    (response.status, found["error"]["code"]), (status, code)
                )
                self.assertEqual(found["error"]["outcome"], "not_run")

        self.run_with(step)

    def test_entry_lists_the_home_region_first_and_models_include_adapters(self):
        async def step(deployment, session):
            headers = auth_headers("okanagan-orchards")
            async with session.get(
                caller_url(deployment, "/v1/entry"), headers=headers
            ) as response:
                found = await response.json()
            okanagan = {
                record.caller_address
                for record in deployment.fleet.entry_vms.values()
                if record.region == "okanagan"
            }
            self.assertEqual(set(found["entries"][:2]), okanagan)
            async with session.get(
                caller_url(deployment, "/v1/models"), headers=headers
            ) as response:
                models = await response.json()
            self.assertEqual(
                [item["id"] for item in models["data"]], ["inspect", "inspect-organic"]
            )

        self.run_with(step)

    def test_listeners_reject_requests_of_other_listeners(self):
        async def step(deployment, session):
            daemon = deployment.daemons["burnaby-hall-1"]
            record = deployment.fleet.entry_vms["burnaby-hall-1"]
            headers = auth_headers("field-notes")
            cases = (
                (record.peer_address, "/v1/chat/completions"),
                (record.caller_address, "/peer/v1/forward"),
                (daemon.address("operators"), "/v1/chat/completions"),
            )
            for address, path in cases:
                async with session.post(
                    f"http://{address}{path}",
                    json=chat_body("abc", True),
                    headers=headers,
                ) as response:
                    self.assertEqual(response.status, 404)
            async with session.post(
                f"http://{record.peer_address}/peer/v1/forward", data=b"{}"
            ) as response:
                self.assertEqual(response.status, 401)

        self.run_with(step)


class TestOperations(LoopbackCase):
    def test_operation_runs_once_and_replays_its_response(self):
        async def step(deployment, session):
            url = caller_url(deployment, "/v1/services/portal/status/7")
            headers = auth_headers("certificates")
            async with session.put(url, data=b"on", headers=headers) as response:
                found = await response.json()
                self.assertEqual(response.status, 428)
            headers["x-operation-id"] = found["error"]["operation_id"]
            bodies = []
            for _ in range(3):
                async with session.put(url, data=b"on", headers=headers) as response:
                    self.assertEqual(response.status, 200)
                    bodies.append(await response.read())
            self.assertEqual(len(set(bodies)), 1)
            async with session.put(url, data=b"off", headers=headers) as response:
                self.assertEqual(response.status, 422)
            other = caller_url(
                deployment, "/v1/services/portal/status/7", "burnaby-hall-2"
            )
            async with session.put(other, data=b"on", headers=headers) as response:
                found = await response.json()
            self.assertEqual(found["error"]["code"], "operation_foreign")
            self.assertEqual(found["error"]["outcome"], "unknown")
            effects = [s.effects for s in deployment.fleet.services.values()]
            self.assertEqual(sum(sum(e.values()) for e in effects), 1)

        self.run_with(step)

    def test_lost_response_is_unknown_and_never_retried(self):
        self.check_lost_response("responses_to_drop")

    def test_reset_response_without_a_length_is_unknown_and_never_retried(self):
        self.check_lost_response("responses_to_reset")

    def test_failure_that_would_promise_not_to_have_run_is_unknown(self):
        # Guards against a call that has run and is answered as if it had not.
        for status in (408, 429, 503):
            with self.subTest(status):
                self.check_lost_response("statuses", [status])

    def check_lost_response(self, fault, value=1):
        async def step(deployment, session):
            for name, server in deployment.servers.items():
                if name in deployment.fleet.services:
                    server.app[fault] = value
            url = caller_url(deployment, "/v1/services/portal/status/8")
            headers = auth_headers("certificates")
            async with session.put(url, headers=headers) as response:
                found = await response.json()
            headers["x-operation-id"] = found["error"]["operation_id"]
            codes = []
            for _ in range(2):
                async with session.put(url, headers=headers) as response:
                    self.assertNotEqual(response.status, 200)
                    codes.append((await response.json())["error"]["code"])
            self.assertEqual(codes, ["upstream_failed", "operation_unknown"])
            effects = [s.effects for s in deployment.fleet.services.values()]
            self.assertEqual(sum(sum(e.values()) for e in effects), 1)

        self.run_with(step)


class TestStreams(LoopbackCase):
    def test_interrupted_stream_is_resumed_completely(self):
        async def step(deployment, session):
            url = caller_url(deployment, "/v1/chat/completions")
            headers = auth_headers("field-notes")
            body = chat_body("resume me", True, 20)
            async with session.post(url, json=body, headers=headers) as response:
                expected, _, _ = await stream_text(response)
            for name, engine in deployment.fleet.engines.items():
                if engine.accepted_work:
                    deployment.servers[name].app["abort_after_tokens"] = 5
            texts = []
            for _ in range(4):
                async with session.post(url, json=body, headers=headers) as response:
                    text, complete, error = await stream_text(response)
                self.assertTrue(complete or error)
                if complete:
                    texts.append(text)
            self.assertTrue(texts)
            self.assertEqual(set(texts), {expected})
            state = deployment.daemons["burnaby-hall-1"].driver.node.state
            self.assertGreater(state.counters.resumes, 0)

        self.run_with(step)

    def test_disconnecting_caller_cancels_its_stream(self):
        async def step(deployment, session):
            url = caller_url(deployment, "/v1/chat/completions")
            body = chat_body("long", True, 400)
            response = await session.post(
                url, json=body, headers=auth_headers("field-notes")
            )
            await response.content.readline()
            response.close()
            engines = deployment.fleet.engines.values()
            for _ in range(100):
                if sum(engine.cancelled for engine in engines):
                    break
                await asyncio.sleep(0.05)
            self.assertEqual(sum(engine.cancelled for engine in engines), 1)
            state = deployment.daemons["burnaby-hall-1"].driver.node.state
            self.assertEqual(state.requests, {})

        self.run_with(step)


class TestShutdown(LoopbackCase):
    def test_graceful_stop_finishes_requests_in_flight(self):
        async def step(deployment, session):
            daemon = deployment.daemons["burnaby-hall-1"]
            url = caller_url(deployment, "/v1/chat/completions")
            headers = auth_headers("field-notes")
            body = chat_body("finish me", True, 40)
            response = await session.post(url, json=body, headers=headers)
            await response.content.readline()
            daemon.request_stop()
            async with session.post(url, json=body, headers=headers) as refused:
                found = await refused.json()
            self.assertEqual(found["error"]["code"], "leaving")
            self.assertTrue(found["error"]["entries"])
            _, complete, _ = await stream_text(response)
            self.assertTrue(complete)
            await asyncio.wait_for(daemon.wait_stopped(), 10)

        self.run_with(step)


class TestOperators(LoopbackCase):
    def test_operator_endpoints_report_health_metrics_state_and_explanations(self):
        async def step(deployment, session):
            daemon = deployment.daemons["burnaby-hall-1"]
            base = f"http://{daemon.address('operators')}"
            url = caller_url(deployment, "/v1/chat/completions")
            headers = auth_headers("field-notes")
            body = chat_body("why", False)
            async with session.post(url, json=body, headers=headers) as response:
                request_id = response.headers["x-request-id"]
            texts = {}
            for path in ("/livez", "/readyz", "/metrics", "/state?table=feeds"):
                async with session.get(base + path) as response:
                    self.assertEqual(response.status, 200, path)
                    texts[path] = await response.text()
            self.assertIn("bluebellbeam_answered_total 1.0", texts["/metrics"])
            count = 'first_token_seconds_count{kind="interactive"} 1.0'
            self.assertIn(count, texts["/metrics"])
            self.assertNotIn("key-field-notes", "".join(texts.values()))
            feeds = json.loads(texts["/state?table=feeds"])["feeds"]
            self.assertIn("config", [row["key"] for row in feeds])
            async with session.get(f"{base}/explain/{request_id}") as response:
                steps = await response.json()
            self.assertEqual([s["kind"] for s in steps], ["server", "answered"])
            async with session.get(f"{base}/state?table=fees") as response:
                self.assertEqual(response.status, 400)

        self.run_with(step)
