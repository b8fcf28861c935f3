import asyncio

import aiohttp

from bluebellbeam.daemon.response_buffers import MAX_BUFFERED_BYTES
from bluebellbeam.platform.tests.fake_platform import HOST
from bluebellbeam.platform.tests.loopback import PlatformCase


async def send_raw(deployment, raw):
    """Send bytes on a new connection; return all bytes received."""
    host, _, port = deployment.daemons["hall-e"].address("callers").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw)
    try:
        async with asyncio.timeout(3):
            return await reader.read()
    finally:
        writer.close()


class TestNormalLoad(PlatformCase):
    REQUESTS = 1800
    CONCURRENCY = 12

    def test_every_request_of_every_kind_gets_its_own_complete_response(self):
        kinds = {"safe": "GET", "unsafe": "POST", "chat": "POST", "audit": "POST"}
        events = "".join(f"id: {i}\ndata: piece {i}\n\n" for i in range(1, 7))

        async def check_request(deployment, number):
            name, method = list(kinds.items())[number % 4]
            key = f"k{number}"
            zone = "hall-e" if number % 8 < 4 else "hall-w"
            values = {"data": b"x" * (number % 700)} if method == "POST" else {}
            status, headers, body = await deployment.fetch(
                f"/{name}/{number}?q=1", key, zone=zone, method=method, **values
            )
            self.assertEqual((status, headers["X-Attempt-Id"]), (200, key))
            self.assertEqual(headers["X-Response-Stamp"], f"stamp-{key}")
            expected = events if name in ("chat", "audit") else f"body of {key}"
            self.assertEqual(body.decode(), expected)
            self.assertEqual(len(deployment.runs(key)), 1)

        async def step(deployment):
            numbers = iter(range(self.REQUESTS))

            async def worker():
                for number in numbers:
                    await check_request(deployment, number)

            await asyncio.gather(*(worker() for _ in range(self.CONCURRENCY)))
            method, target, body = deployment.replicas[deployment.runs("k5")[0]].bodies[
                "k5"
            ]
            self.assertEqual((method, target), ("POST", "/unsafe/5?q=1"))
            self.assertEqual(body, b"x" * 5)

        self.run_with(step, daemons=("hall-e", "hall-w"))


class TestResponses(PlatformCase):
    def test_resumable_stream_continues_with_the_next_event(self):
        async def step(deployment):
            deployment.queue_behaviours("llm", "truncate")
            for replica in deployment.replicas.values():
                replica.pause_ms = 20
            task = asyncio.create_task(deployment.fetch("/chat/1", "c1"))
            await deployment.wait(lambda: deployment.runs("c1"))
            for replica in deployment.replicas.values():
                replica.behaviours.clear()
            status, headers, body = await task
            ids = [line for line in body.split(b"\n") if line.startswith(b"id:")]
            self.assertEqual(ids, [b"id: %d" % i for i in range(1, 7)])
            self.assertEqual(status, 200)
            self.assertEqual(len(deployment.runs("c1")), 2)

        self.run_with(step)

    def test_interrupted_stream_that_is_not_resumable_ends_truncated(self):
        async def step(deployment):
            deployment.queue_behaviours("llm", "truncate")
            with self.assertRaises(aiohttp.ClientPayloadError):
                await deployment.fetch("/audit/1", "c1")
            self.assertEqual(len(deployment.runs("c1")), 1)

        self.run_with(step)

    def test_lost_response_of_an_unsafe_request_is_never_reported_as_not_run(self):
        async def step(deployment):
            for behaviour in ("reset", "garbage", "truncate", "foreign"):
                deployment.queue_behaviours("portal", behaviour)
                key = f"u-{behaviour}"
                status, _, _ = await deployment.fetch("/unsafe/1", key)
                self.assertEqual((behaviour, status), (behaviour, 502))
                self.assertEqual(len(deployment.runs(key)), 1)
                for replica in deployment.replicas.values():
                    replica.behaviours.clear()
                await deployment.wait(lambda: deployment.is_ready("hall-e"))

        self.run_with(step)

    def test_lost_response_of_a_safe_request_is_retried(self):
        async def step(deployment):
            for i, behaviour in enumerate(("reset", "garbage", "truncate", "error")):
                deployment.replicas["portal-hall-e-1"].behaviours = [behaviour]
                key = f"s{i}"
                status, _, body = await deployment.fetch("/safe/1", key, method="GET")
                self.assertEqual((status, body), (200, f"body of {key}".encode()))
                await deployment.wait(lambda: deployment.is_ready("hall-e"))

        self.run_with(step)

    def test_server_error_is_passed_on_unchanged_after_the_last_attempt(self):
        async def step(deployment):
            deployment.queue_behaviours("portal", "error", "error")
            for path, method in (("/safe/1", "GET"), ("/unsafe/1", "POST")):
                status, headers, body = await deployment.fetch(
                    path, path, method=method
                )
                self.assertEqual((status, body), (500, b"failed"))
                self.assertEqual(headers["X-Response-Stamp"], f"stamp-{path}")

        self.run_with(step)

    def test_invalid_status_is_a_failure_at_once(self):
        async def step(deployment):
            for status in ("000", "099", "600", "999"):
                deployment.queue_behaviours("portal", f"status {status}")
                async with asyncio.timeout(1.0):
                    found = await deployment.fetch("/unsafe/1", f"u{status}")
                self.assertEqual(found[0], 502)
                self.assertNotIn("X-Response-Stamp", found[1])
                for replica in deployment.replicas.values():
                    replica.behaviours.clear()
                deployment.replicas["portal-hall-e-1"].behaviours = [f"status {status}"]
                for number in range(4):
                    found = await deployment.fetch(
                        "/safe/1", f"s{status}{number}", method="GET"
                    )
                    self.assertEqual(found[0], 200)

        self.run_with(step)

    def test_second_response_is_discarded(self):
        async def step(deployment):
            deployment.queue_behaviours("portal", *["extra"] * 10)
            for i in range(20):
                status, headers, body = await deployment.fetch("/unsafe/1", f"e{i}")
                self.assertEqual((status, body), (200, f"body of e{i}".encode()))

        self.run_with(step)

    def test_overloaded_server_gives_503_with_retry_after(self):
        async def step(deployment):
            deployment.queue_behaviours("portal", "full", "full")
            status, headers, _ = await deployment.fetch("/unsafe/1", "f1")
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0)
            self.assertEqual(headers["X-Attempt-Id"], "f1")
            self.assertEqual(deployment.runs("f1"), [])

        self.run_with(step)

    def test_refusal_with_a_body_without_end_is_a_refusal(self):
        async def step(deployment):
            for number in range(4):
                deployment.queue_behaviours("portal", "full endless", "full endless")
                started_s = asyncio.get_running_loop().time()
                status, _, _ = await deployment.fetch("/unsafe/1", f"f{number}")
                took_s = asyncio.get_running_loop().time() - started_s
                self.assertEqual(status, 503)
                self.assertLess(took_s, 1.5)
                self.assertEqual(deployment.runs(f"f{number}"), [])
                for replica in deployment.replicas.values():
                    replica.behaviours.clear()
            replicas = [deployment.replicas[f"portal-hall-e-{i}"] for i in (1, 2)]
            sent = sum(len(replica.arrivals) for replica in replicas)
            self.assertGreater(sent, 1)
            await deployment.wait(
                lambda: sum(replica.disconnects for replica in replicas) >= sent
            )

        self.run_with(step)

    def test_response_without_end_fails_and_frees_its_memory(self):
        async def step(deployment):
            deployment.queue_behaviours("portal", "endless", "endless")
            keys = ("u1", "u2")
            found = await asyncio.gather(
                *(deployment.fetch("/unsafe/1", key) for key in keys)
            )
            self.assertEqual([status for status, _, _ in found], [502, 502])
            driver = deployment.daemons["hall-e"].driver
            self.assertEqual(driver.response_buffers.used_bytes, 0)
            most_bytes = driver.response_buffers.most_bytes
            self.assertLessEqual(most_bytes, MAX_BUFFERED_BYTES)
            self.assertGreater(most_bytes, MAX_BUFFERED_BYTES - 1_000_000)

        self.run_with(step)

    def test_route_timeout_ends_the_request_on_time(self):
        async def step(deployment):
            deployment.queue_behaviours("portal", "hang", "hang")
            started = asyncio.get_running_loop().time()
            status, _, _ = await deployment.fetch("/unsafe/1", "t1")
            took = asyncio.get_running_loop().time() - started
            self.assertEqual(status, 504)
            self.assertTrue(2.9 < took < 3.4, took)

        self.run_with(step)


class TestUnusualRequests(PlatformCase):
    """Guards against proper requests that are turned away as if they were wrong."""

    def check_served(self, target="/safe/1", host=HOST, rest=None, received="/safe/1"):
        async def step(deployment):
            head = f"POST {target} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: u1\r\n"
            head += "Connection: close\r\n"
            raw = head + (rest or "Content-Length: 2\r\n\r\n{}")
            response = await send_raw(deployment, raw.encode())
            self.assertIn(b" 200 ", response.split(b"\r\n")[0])
            [name] = deployment.runs("u1")
            self.assertEqual(deployment.replicas[name].bodies["u1"][1], received)

        self.run_with(step)

    def test_request_line_with_a_whole_url(self):
        self.check_served(f"http://{HOST}/safe/1?a=b", received="/safe/1?a=b")

    def test_host_of_a_whole_url_goes_before_the_header(self):
        self.check_served(f"HTTP://{HOST}:80/safe/1", host="other.example")

    def test_host_with_port_capitals_and_final_dot(self):
        self.check_served(host=f"{HOST.upper()}.:8144")

    def test_chunks_with_extensions_and_leading_zeros(self):
        chunks = "0002;name=value\r\n{}\r\n000;last\r\n\r\n"
        self.check_served(rest=f"Transfer-Encoding: chunked\r\n\r\n{chunks}")

    def test_escaped_characters_are_passed_on_unchanged(self):
        target = "/safe/%41%2fb?x=%00&y=[z]"
        self.check_served(target, received=target)


class TestCallerRequests(PlatformCase):
    def test_headers_of_the_caller_are_forwarded_except_reserved_ones(self):
        async def step(deployment):
            headers = {
                "X-Model": "m",
                "X-Token-Count": "1460,80",
                "X-Prompt-Prefix": "5c:800,91:410,e4:250",
                "X-Hold": "forged",
                "Kv-Fetch": "forged",
                "X-Request-Priority": "0",
                "X-Target-Instance": "forged",
                "Connection": "X-Dropped",
            }
            await deployment.fetch("/audit/1", "h1", headers=headers)
            _, seen = deployment.replicas[deployment.runs("h1")[0]].runs[-1]
            self.assertEqual(seen["x-prompt-prefix"], headers["X-Prompt-Prefix"])
            self.assertEqual(seen["x-token-count"], "1460,80")
            self.assertEqual(seen["x-target-instance"], deployment.runs("h1")[0])
            self.assertEqual(seen["x-request-priority"], "2")
            self.assertNotIn("x-hold", seen)
            self.assertNotIn("kv-fetch", seen)
            self.assertLessEqual(int(seen["x-deadline-ms"]), 3000)
            state = deployment.state()
            self.assertEqual(state.counters.answered, 1)

        self.run_with(step)

    def test_request_without_an_id_or_route_is_rejected(self):
        async def step(deployment):
            status, _, _ = await deployment.fetch("/unsafe/1", "")
            self.assertEqual(status, 400)
            status, headers, _ = await deployment.fetch("/nothing/1", "n1")
            self.assertEqual((status, headers["X-Attempt-Id"]), (404, "n1"))

        self.run_with(step)

    def test_smuggled_request_is_never_run(self):
        inner = b"POST /unsafe/2 HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: in\r\n\r\n"
        heads = (
            b"Content-Length : %d\r\n" % len(inner),
            b"Content-Length: %d\r\nContent-Length: 0\r\n" % len(inner),
            b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
            b"X-A: b\r\n Content-Length: 3\r\n",
        )

        async def step(deployment):
            for head in heads:
                raw = b"POST /unsafe/1 HTTP/1.1\r\nHost: shop.example\r\n"
                raw += b"X-Attempt-Id: out\r\n" + head + b"\r\n" + inner
                response = await send_raw(deployment, raw)
                self.assertTrue(response.startswith(b"HTTP/1.1 400"), response[:80])
                self.assertEqual(response.count(b"HTTP/1.1"), 1)
            self.assertEqual(deployment.runs("in"), [])

        self.run_with(step)

    def test_body_over_the_limit_is_rejected(self):
        async def step(deployment):
            status, _, _ = await deployment.fetch("/unsafe/1", "b1", data=b"x" * 70_000)
            self.assertEqual(status, 413)
            self.assertEqual(deployment.runs("b1"), [])

        self.run_with(step)

    def test_close_after_a_large_body_cancels_its_request(self):
        async def step(deployment):
            deployment.queue_behaviours("portal", "hang", "hang")
            address = deployment.daemons["hall-e"].address("callers")
            host, _, port = address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"POST /unsafe/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: g1\r\n"
                "X-Deadline-Ms: 5000\r\nContent-Length: 65536\r\n\r\n"
            )
            writer.write(head.encode() + b"x" * 65_536)
            await deployment.wait(lambda: deployment.runs("g1"))
            (name,) = deployment.runs("g1")
            writer.transport.abort()
            replica = deployment.replicas[name]
            await deployment.wait(lambda: replica.disconnects > 0, 1.0)
            self.assertEqual(deployment.state().requests, {})

        self.run_with(step)

    def test_disconnecting_caller_cancels_its_request(self):
        async def step(deployment):
            deployment.queue_behaviours("portal", "hang", "hang")
            task = asyncio.create_task(deployment.fetch("/safe/1", "g1", method="GET"))
            await deployment.wait(lambda: deployment.runs("g1"))
            task.cancel()
            replica = deployment.replicas[deployment.runs("g1")[0]]
            await deployment.wait(lambda: replica.disconnects, 0.5)
            self.assertEqual(deployment.state().requests, {})

        self.run_with(step)


class TestRegions(PlatformCase):
    def test_request_limited_to_a_home_region_is_served_by_one_forward(self):
        async def step(deployment):
            await deployment.wait(
                lambda: len(deployment.state("hall-w").members.rows) == 1
            )
            await deployment.wait(
                lambda: len(deployment.state("hall-e").members.rows) == 1
            )
            status, headers, body = await deployment.fetch(
                "/chat/1", "w1", zone="hall-w", data=b"hello"
            )
            self.assertEqual((status, body.count(b"id: ")), (200, 6))
            self.assertEqual(headers["X-Response-Stamp"], "stamp-w1")
            self.assertFalse([name for name in headers if "bluebellbeam" in name])
            self.assertIn("hall-e", deployment.runs("w1")[0])
            self.assertEqual(deployment.state("hall-w").counters.forwarded, 1)

        self.run_with(step, daemons=("hall-e", "hall-w"), home_regions=("east",))

    def test_request_with_large_headers_is_forwarded_whole(self):
        async def step(deployment):
            await deployment.wait(
                lambda: len(deployment.state("hall-w").members.rows) == 1
            )
            for size, character in ((1000, "h"), (15_900, "h"), (9000, '"')):
                headers = {"X-Large": character * size}
                status, _, _ = await deployment.fetch(
                    "/chat/1", f"h{size}", zone="hall-w", headers=headers, data=b"body"
                )
                self.assertEqual(status, 200, size)
                (name,) = deployment.runs(f"h{size}")
                replica = deployment.replicas[name]
                self.assertEqual(replica.bodies[f"h{size}"][2], b"body")
                found = dict(replica.runs)[f"h{size}"]["x-large"]
                self.assertEqual(found, headers["X-Large"])

        self.run_with(step, daemons=("hall-e", "hall-w"), home_regions=("east",))

    def test_server_error_in_another_region_is_passed_on_unchanged(self):
        async def step(deployment):
            await deployment.wait(
                lambda: len(deployment.state("hall-w").members.rows) == 1
            )
            deployment.store.put("op/evacuate/hall-w", {})
            await deployment.wait(lambda: deployment.state("hall-w").evacuated, 2.0)
            offers = deployment.state("hall-w").borrower.offers
            await deployment.wait(lambda: ("vm-hall-e", "s/portal") in offers, 5.0)
            deployment.queue_behaviours("portal", "error", "error", "error")
            status, headers, body = await deployment.fetch(
                "/safe/1", "p1", zone="hall-w", method="GET"
            )
            self.assertEqual((status, body), (500, b"failed"))
            self.assertEqual(headers["X-Response-Stamp"], "stamp-p1")
            self.assertEqual(len(deployment.runs("p1")), 2)

        self.run_with(step, daemons=("hall-e", "hall-w"))

    def test_refusal_of_a_peer_is_reported_as_not_run(self):
        async def step(deployment):
            await deployment.wait(
                lambda: len(deployment.state("hall-w").members.rows) == 1
            )
            deployment.queue_behaviours("llm", *["full"] * 6)
            status, headers, _ = await deployment.fetch("/chat/1", "w2", zone="hall-w")
            self.assertEqual(status, 503)
            self.assertIn("Retry-After", headers)
            self.assertEqual(deployment.runs("w2"), [])

        self.run_with(step, daemons=("hall-e", "hall-w"), home_regions=("east",))
