"""HTTP servers of the stand-ins, with the same paths and headers as the real ones."""

import asyncio
import hashlib
import socket
import struct

import msgspec
from aiohttp import web

from bluebellbeam.config.bundle import hash_part
from bluebellbeam.provider.records import Order, format_load_header
from bluebellbeam.standins.engine import EngineJob
from bluebellbeam.utils.clock import monotonic_clock
from bluebellbeam.utils.hashing import hash_text, prefix_blocks

__all__ = [
    "StandinServer",
    "make_engine_server",
    "make_platform_server",
    "make_service_server",
    "output_token",
]

BLOCK_BYTES = 256
"""Bytes of the prompt in one prefix block."""

MODEL_LOAD_MS = 300
"""Time that an engine stand-in takes to load a model or adapter."""

POLL_S = 0.01
"""Interval at which handlers check for a new feed version or output token."""


class StandinServer:
    """HTTP server of one stand-in.

    Attributes
    ----------
    app : aiohttp.web.Application
        Handlers of the stand-in. Two of its keys are faults that tests set:
        ``abort_after_tokens`` of an engine is the number of tokens after which
        streams are aborted, or None, and ``responses_to_drop`` of a plain service
        is the number of responses still to be dropped, ``responses_to_reset`` that
        of responses without a length that are still to be reset midway.
    runner : aiohttp.web.AppRunner or None
        None while the server is stopped.
    host : str
        IP address to listen on.
    port : int
        Port that the server listens on, or 0 before the first start.
    """

    __slots__ = ("app", "runner", "port", "host")

    def __init__(self, app, host="127.0.0.1"):
        self.app = app
        self.runner = None
        self.host = host
        self.port = 0

    @property
    def address(self):
        """Address as ``ip:port``."""
        return f"{self.host}:{self.port}"

    async def start(self, port=0):
        """Listen on `port`, or on any free port if it is 0."""
        self.runner = web.AppRunner(self.app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.host, port)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self):
        """Close the listener and every connection, as a crash does."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None


def _json_response(value, status=200, headers=None):
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def _error_response(code, message, status):
    body = {"error": {"code": code, "message": message, "outcome": "not_run"}}
    return _json_response(body, status, {"x-outcome": "not_run"})


def make_platform_server(store, directory):
    """Return a server of the configuration service, VM list and directory.

    Parameters
    ----------
    store : FeedStore
    directory : Directory
    """
    app = web.Application()
    keys = {
        hashlib.sha256(key.encode()).hexdigest(): workspace
        for key, workspace in directory.keys.items()
    }

    async def feed(request):
        key = request.match_info["key"]
        after = int(request.query.get("after", 0))
        polls_left = int(request.query.get("wait_ms", 0)) / 1000.0 / POLL_S
        snapshot = store.read(key)
        while snapshot and snapshot.version == after and polls_left > 0:
            await asyncio.sleep(POLL_S)
            polls_left -= 1
            if store.newest(key)[0] != after:
                snapshot = store.read(key)
        if snapshot is None or store.down:
            return web.Response(status=503)
        parts = {name: hash_part(bytes(raw)) for name, raw in snapshot.parts.items()}
        manifest = {"key": key, "version": snapshot.version, "parts": parts}
        return _json_response(manifest)

    async def part(request):
        store.calls += 1
        if store.down:
            return web.Response(status=503)
        for versions in store.feeds.values():
            for _, parts in versions:
                for name, raw in parts.items():
                    if name in store.unreadable_parts:
                        continue
                    if hash_part(raw) == request.match_info["digest"]:
                        return web.Response(body=raw)
        return web.Response(status=404)

    async def key(request):
        directory.calls += 1
        if directory.down:
            return web.Response(status=503)
        workspace = keys.get(request.match_info["digest"])
        if workspace is None:
            return web.Response(status=404)
        return _json_response({"workspace": workspace})

    app.router.add_get("/v1/feeds/{key:.+}", feed)
    app.router.add_get("/v1/parts/{digest}", part)
    app.router.add_get("/v1/keys/{digest}", key)
    return StandinServer(app)


def output_token(payload, index):
    """Return token `index` of the response to the prompt `payload`.

    It is the same on every engine, so that a stream resumed on another engine
    continues the same text.
    """
    return f"{hash_text(payload + str(index).encode()) % 9973} "


def make_engine_server(engine, time_scale=1.0):
    """Return a server of an :class:`Engine`.

    Parameters
    ----------
    engine : Engine
    time_scale : float
        Real time per unit of the engine's time; 2 makes it run at half speed.
    """
    app = web.Application(client_max_size=64 * 1024 * 1024)
    clock = monotonic_clock()
    app["abort_after_tokens"] = None
    app["count"] = 0
    record = engine.record

    def now_ms():
        return clock.now_ms() / time_scale

    def response_headers():
        headers = {"x-backend-server": f"{record.name}/{record.incarnation}"}
        load = engine.load_header(now_ms())
        if load is not None:
            headers["x-load"] = format_load_header(load)
        return headers

    async def complete(request):
        expected = request.headers.get("x-expect-server")
        if expected not in (None, f"{record.name}/{record.incarnation}"):
            return _error_response("misdirected", "another server was expected", 421)
        body = msgspec.json.decode(await request.read())
        chat = "messages" in body
        prompt = msgspec.json.encode(body["messages"] if chat else body["prompt"])
        resume = body.get("resume") or {}
        app["count"] += 1
        job = EngineJob(
            (request.headers.get("x-request-id", ""), app["count"]),
            body["model"],
            max(1, len(prompt) // 4),
            body.get("max_tokens") or 16,
            blocks=prefix_blocks(prompt, BLOCK_BYTES, 256),
            priority=request.headers.get("x-priority", "interactive"),
            resume_tokens=resume.get("tokens", 0),
        )
        refused = engine.submit(job, now_ms())
        if refused is not None:
            return _error_response("upstream_failed", refused, 503)
        response = web.StreamResponse(headers=response_headers())
        response.content_type = "text/event-stream"
        await response.prepare(request)
        try:
            await _write_tokens(
                app, engine, job, response, request.transport, prompt, chat, now_ms
            )
        except ConnectionError:
            return response
        finally:
            engine.cancel(job.job_id, now_ms())
        return response

    async def load(request):
        engine.poll(now_ms())
        report = engine.report(now_ms())
        if report is None:
            return web.Response(status=503, headers=response_headers())
        return _json_response(report)

    async def cache_events(request):
        return _json_response(engine.pop_cache_events())

    async def export_cache(request):
        return _json_response(engine.export_blocks())

    async def import_cache(request):
        engine.import_blocks(msgspec.json.decode(await request.read()))
        return web.Response()

    async def orders(request):
        order = msgspec.json.decode(await request.read(), type=Order)
        if (order.server, order.incarnation) != (record.name, record.incarnation):
            return web.Response(status=421, text="another server was expected")
        refused = engine.accept_order(order, now_ms(), MODEL_LOAD_MS)
        return web.Response(status=409 if refused else 200, text=refused or "ok")

    app.router.add_post("/v1/chat/completions", complete)
    app.router.add_post("/v1/completions", complete)
    app.router.add_get("/load", load)
    app.router.add_get("/cache-events", cache_events)
    app.router.add_get("/cache", export_cache)
    app.router.add_post("/cache", import_cache)
    app.router.add_post("/orders", orders)
    return StandinServer(app)


async def _write_tokens(app, engine, job, response, transport, prompt, chat, now_ms):
    index = job.resume_tokens
    while True:
        engine.poll(now_ms())
        ready = job.emitted_tokens(now_ms())
        while index < ready:
            if (
                app["abort_after_tokens"] is not None
                and index >= app["abort_after_tokens"]
            ):
                transport.abort()
                raise ConnectionResetError
            text = output_token(prompt, index)
            index += 1
            last = index == job.output_tokens
            await response.write(_stream_event(job, text, chat, last))
        if index >= job.output_tokens:
            break
        await asyncio.sleep(POLL_S)
    usage = {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": job.output_tokens,
        "total_tokens": job.prompt_tokens + job.output_tokens,
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
    }
    raw = msgspec.json.encode({"model": job.name, "choices": [], "usage": usage})
    await response.write(b"data: " + raw + b"\n\ndata: [DONE]\n\n")


def _stream_event(job, text, chat, last):
    choice = {"index": 0, "finish_reason": "length" if last else None}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    kind = "chat.completion.chunk" if chat else "text_completion"
    event = {"object": kind, "model": job.name, "choices": [choice]}
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


async def _reset_midway(transport, identity):
    """Send a part of a response without a length, and reset the connection."""
    head = f"HTTP/1.1 200 OK\r\nx-backend-server: {identity}\r\n\r\n"
    transport.write(f'{head}{{"path": '.encode())
    await asyncio.sleep(POLL_S)
    linger = struct.pack("ii", 1, 0)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()
    await asyncio.sleep(POLL_S)


def make_service_server(service, is_idempotent):
    """Return a server of a :class:`PlainService`.

    Parameters
    ----------
    service : PlainService
    is_idempotent : callable
        Function of the method and path that returns True if a call is
        idempotent.
    """
    app = web.Application()
    app["responses_to_drop"] = 0
    app["responses_to_reset"] = 0
    app["statuses"] = []  # of the next responses; 200 once it is empty
    record = service.record
    identity = f"{record.name}/{record.incarnation}"

    async def call(request):
        expected = request.headers.get("x-expect-server")
        if expected not in (None, identity):
            return _error_response("misdirected", "another server was expected", 421)
        body = await request.read()
        idempotent = is_idempotent(request.method, request.path)
        key = f"{request.method} {request.path} {body.decode(errors='replace')}"
        took_ms = service.start_call(key, idempotent, 0)
        try:
            await asyncio.sleep(took_ms / 1000.0)
        finally:
            service.finish_call()
        if app["responses_to_drop"]:
            app["responses_to_drop"] -= 1
            request.transport.abort()
            await asyncio.sleep(POLL_S)
            raise web.HTTPInternalServerError
        if app["responses_to_reset"]:
            app["responses_to_reset"] -= 1
            await _reset_midway(request.transport, identity)
            raise web.HTTPInternalServerError
        value = {
            "path": request.path,
            "served_by": record.name,
            "region": record.region,
        }
        headers = {"x-backend-server": identity}
        if "x-request-id" in request.headers:
            headers["x-request-id"] = request.headers["x-request-id"]
        status = app["statuses"].pop(0) if app["statuses"] else 200
        return _json_response(value, status, headers)

    async def load(request):
        report = service.report(0)
        return _json_response(report) if report else web.Response(status=503)

    app.router.add_get("/load", load)
    app.router.add_route("*", "/{path:.*}", call)
    return StandinServer(app)
