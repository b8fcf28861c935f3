"""Fake platform for tests: its store, its configuration and its backend servers."""

import asyncio
import base64
import json

from aiohttp import web

from bluebellbeam.platform.tests.response_forms import write_response
from bluebellbeam.standins.http import StandinServer

HOST = "shop.example"


class Store:
    """Versioned key-value store that can simulate faults.

    Attributes
    ----------
    fault : str
        Simulated fault: empty for none, ``busy`` (status 503), ``many`` (status 429)
        or ``silent`` (no response).
    calls : list of str
        Kinds of the requests received, ``range`` or ``watch``.
    compacted : bool
        Whether the next watch fails with status 410, as for discarded history.
    page_size : int
        Largest number of items of a range response.
    era : int
        Number of times that the store was restored from a copy, plus one.
    copy : tuple
        Items, history and revision kept by :meth:`keep_copy`.
    stale_pages : set of int
        Pages that reads which may be stale get from that copy, counted from 0.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.compacted = False
        self.fault = ""
        self.page_size = 3
        self.calls = []
        self.era = 1
        self.copy = ({}, [], 1)
        self.stale_pages = set()
        self.changed = asyncio.Event()
        app = web.Application()
        app.add_routes(
            [web.get("/kv-range", self.range), web.get("/kv-watch", self.watch)]
        )
        self.server = StandinServer(app)

    def keep_copy(self):
        """Keep a copy of the content for :meth:`restore`."""
        self.copy = (dict(self.items), list(self.history), self.revision)

    def restore(self):
        """Return to the copy, as after a loss: later changes are gone."""
        items, history, self.revision = self.copy
        self.items, self.history = dict(items), list(history)
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def _json_response(self, body):
        return web.json_response(body, headers={"Store-Era": str(self.era)})

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._change({"key": key, "value": base64.b64encode(raw).decode()})

    def remove(self, key):
        self._change({"key": key, "removed": True})

    def _change(self, event):
        self.revision += 1
        event |= {"revision": self.revision, "created": self.revision, "lease": 0}
        self.history.append(event)
        if event.get("removed"):
            self.items.pop(event["key"], None)
        else:
            self.items[event["key"]] = event
        self.changed.set()
        self.changed = asyncio.Event()

    async def _fail(self):
        if self.fault == "silent":
            await asyncio.sleep(30)
        return web.Response(status=429 if self.fault == "many" else 503)

    async def range(self, request):
        self.calls.append("range")
        if self.fault:
            return await self._fail()
        prefix, after = request.query["pathPrefix"], request.query.get("after", "")
        items, revision = self.items, self.revision
        number = sum(key <= after for key in items) // self.page_size
        if "serializable" in request.query and number in self.stale_pages:
            items, _, revision = self.copy
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        page = [items[key] for key in keys[: self.page_size]]
        more = len(keys) > self.page_size
        body = {"items": page, "hasMore": more, "storeRevision": revision}
        return self._json_response(body)

    async def watch(self, request):
        self.calls.append("watch")
        if self.fault:
            return await self._fail()
        after = int(request.query["after"])
        if self.compacted or after > self.revision:
            self.compacted = False
            headers = {"Store-Era": str(self.era)}
            return web.Response(status=410, headers=headers)
        wait_s = int(request.query["waitMs"]) / 1000.0
        if not self._since(after):
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if self.fault:
            return await self._fail()
        body = {"events": self._since(after), "storeRevision": self.revision}
        return self._json_response(body)

    def _since(self, after):
        return [event for event in self.history if event["revision"] > after]


class Replica:
    """Backend server that follows the platform's specification.

    Attributes
    ----------
    events : int
        Number of events of a response; 0 for a response that is not a stream.
    response_delay_ms, pause_ms : int
        Delay before a response, and pause after each event of a stream.
    behaviours : list of str
        How the next requests are handled, in order; ``ok`` once it is empty. They
        are answered with a refusal (``full``), status 500 (``error``), a malformed
        response (``garbage``), a truncated one (``truncate``), a second response
        (``extra``), the response to another request (``foreign``), a connection
        reset (``reset``) or nothing (``hang``). A stream may also end inside its
        third event (``cut``) or before its first one (``empty``), or send comments
        without end after its first event (``drip``). One that is to be continued may
        get an event without an id (``strange``) or begin anew (``again``). A response
        may have any status (``status 600``), and a form of `response_forms` as well
        (``status 503 chunked``). Bytes without end may follow the head of a refusal
        (``full endless``) or of a response (``endless``). The connection of a refusal
        may be kept for seconds (``full kept``), and the refusal may be written once
        more on it before the response to a later request (``copy``).
    version : str
        Version of its software.
    framed : bool
        Whether streams are sent in chunks; others end with their connection.
    with_ids : bool
        Whether the events of streams have ids.
    runs : list of (str, dict)
        Id and headers of each request that was run.
    runs_s : list of float
        Time of the event loop at which each of them arrived.
    bodies : dict of str to (str, str, bytes)
        Method, target and body of each request that was run, by id.
    arrivals : list of float
        Time of the event loop at which each request, health checks excepted, arrived.
    stated : list of (float, str, str)
        Time, name and value of each statement in a response.
    warm_up_ms : int
        Remaining warm-up time reported by health checks.
    healthy : bool
        Whether health checks succeed.
    limit : str
        Limit stated in responses; none is stated if it is empty.
    brittle : str
        Number of refusals that it states to bear; none is stated if it is empty.
    leaving : str
        Value of the header that states that the server leaves; absent if empty.
    retry_after : str
        Seconds in which it wants no request, stated with a refusal if not empty.
    disconnects : int
        Number of connections that the daemon closed.
    connections : int
        Number of connections that were accepted.
    room : int
        Number of requests that it holds at most, of which `slots` run; it refuses
        others. 0 for no limit.
    slots : int
    refusals_s : list of float
        Times at which it refused requests for want of room in the last second. If
        `brittle` is set, it ends when there are more of them.
    crash_part : str
        Name of a part of a prompt; the server ends when it begins to answer a prompt
        with it. Empty for none.
    crash_body : bytes
        Body of a request; the server ends when it begins to answer it. Empty for none.
    on_crash : callable or None
        Called with the server when it has ended in this way.
    kept_refusals : set of asyncio.StreamWriter
        Connections that were kept after a refusal.
    """

    def __init__(self, name, events=0, response_delay_ms=2):
        self.name = name
        self.events = events
        self.response_delay_ms = response_delay_ms
        self.pause_ms = 0
        self.behaviours = []
        self.version = "v1"
        self.framed = True
        self.with_ids = True
        self.runs = []
        self.runs_s = []
        self.bodies = {}
        self.arrivals = []
        self.stated = []
        self.warm_up_ms = 0
        self.healthy = True
        self.limit = ""
        self.brittle = ""
        self.leaving = ""
        self.retry_after = ""
        self.disconnects = 0
        self.connections = 0
        self.room = 0
        self.slots = 8
        self.held = 0
        self.running = asyncio.Semaphore(self.slots)
        self.refusals_s = []
        self.crash_part = ""
        self.crash_body = b""
        self.on_crash = None
        self.calls = {}
        self.kept_refusals = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    @property
    def address(self):
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    def entry(self, service, zone, **values):
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            **values,
        }

    def stop(self):
        self.server.close()

    def crash(self):
        """End at once: close every connection and accept none."""
        self.stop()
        for task, writer in list(self.calls.items()):
            writer.transport.abort()
            if task is not asyncio.current_task():
                task.cancel()
        if self.on_crash is not None:
            self.on_crash(self)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.calls[asyncio.current_task()] = writer
        try:
            while await self._handle_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            self.disconnects += 1
        except RuntimeError:
            # uvloop's error for a write after the daemon has reset the connection.
            if not writer.transport.is_closing():
                raise
            self.disconnects += 1
        except asyncio.CancelledError:
            return
        finally:
            self.calls.pop(asyncio.current_task(), None)
        writer.close()

    async def _handle_request(self, reader, writer):
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        pairs = (line.split(": ", 1) for line in lines[1:] if line)
        headers = {name.lower(): value for name, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if target == "/health":
            return self._health(writer)
        self.arrivals.append(asyncio.get_running_loop().time())
        if headers.get("x-target-instance") != self.name:
            head = {"X-Instance-Id": self.name}
            return self._write(writer, 421, head, b"")
        behaviour = self.behaviours.pop(0) if self.behaviours else "ok"
        if self.room and self.held >= self.room:
            behaviour = "full"
            self._count_refusal()
        if behaviour.startswith("full"):
            head = {"X-Not-Executed": "1"} | self._statements()
            if self.retry_after:
                head["Retry-After"] = self.retry_after
                self._record("Retry-After", self.retry_after)
            if behaviour == "full kept":
                head["Keep-Alive"] = "timeout=5"
                self.kept_refusals.add(writer)
            if behaviour == "full endless":
                return await self._write_endless(writer, 503, head)
            return self._write(writer, 503, head, b"")
        key = headers["x-attempt-id"]
        self.runs.append((key, headers))
        self.runs_s.append(self.arrivals[-1])
        self.bodies[key] = (method, target, body)
        if not self.room:
            return await self._respond(reader, writer, headers, behaviour)
        self.held += 1
        try:
            async with self.running:
                return await self._respond(reader, writer, headers, behaviour)
        finally:
            self.held -= 1

    def _count_refusal(self):
        now_s = asyncio.get_running_loop().time()
        recent = [at_s for at_s in self.refusals_s if at_s > now_s - 1.0]
        self.refusals_s = [*recent, now_s]
        if self.brittle and len(self.refusals_s) > int(self.brittle):
            self.refusals_s = []
            self.crash()

    def _health(self, writer):
        head = {"X-Instance-Id": self.name, "X-Warmup-Ms": str(self.warm_up_ms)}
        head |= self._statements()
        return self._write(writer, 200 if self.healthy else 503, head, b"")

    def _statements(self):
        """Return the headers in which the server states something about itself."""
        head = {"Server-Limit": self.limit, "Server-Leaving": self.leaving}
        head["Server-Brittle"] = self.brittle
        head = {name: value for name, value in head.items() if value}
        for name, value in head.items():
            self._record(name, value)
        return head

    def _record(self, name, value):
        self.stated.append((asyncio.get_running_loop().time(), name, value))

    def _write(self, writer, status, headers, body, length=None):
        head = [f"HTTP/1.1 {status} X"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        head.append(f"Content-Length: {len(body) if length is None else length}")
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body)
        return True

    async def _write_endless(self, writer, status, headers):
        """Write a head without a length, and bytes until the daemon closes."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        while True:
            writer.write(b"x" * 65_536)
            await writer.drain()

    async def _respond(self, reader, writer, headers, behaviour):
        key = headers["x-attempt-id"]
        head = {
            "X-Attempt-Id": "0000" if behaviour == "foreign" else key,
            "X-Response-Stamp": f"stamp-{key}",
            "X-Server-Load": "1,0,8",
            "Keep-Alive": "timeout=5",
        }
        if "x-model" in headers:
            head["X-Echo"] = headers["x-model"]
        head |= self._statements()
        if behaviour == "hang":
            await reader.read(1)
            raise ConnectionResetError
        if behaviour == "copy" and writer in self.kept_refusals:
            self._write(writer, 503, {"X-Not-Executed": "1"}, b"")
        await asyncio.sleep(self.response_delay_ms / 1000.0)
        if self.crash_part and f"{self.crash_part}:" in headers.get(
            "x-prompt-prefix", ""
        ):
            self.crash()
            return False
        if self.crash_body and self.bodies[key][2] == self.crash_body:
            self.crash()
            return False
        if behaviour == "reset":
            writer.transport.abort()
            return False
        if behaviour == "garbage":
            writer.write(b"\x00\x07 these bytes are no answer\r\n\r\n")
            return False
        if behaviour == "endless":
            return await self._write_endless(writer, 200, head)
        body = f"body of {key}".encode()
        if behaviour.startswith("status "):
            _, status, *form = behaviour.split(" ", 2)
            return await write_response(writer, status, "".join(form), head, body)
        if self.events:
            return await self._stream(writer, headers, head, behaviour)
        if behaviour == "error":
            return self._write(writer, 500, head, b"failed")
        if behaviour == "truncate":
            self._write(writer, 200, head, body[:4], len(body))
            return False
        self._write(writer, 200, head, body)
        if behaviour == "extra":
            self._write(writer, 200, head, body)
        return True

    async def _stream(self, writer, headers, head, behaviour):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        if self.framed:
            lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
        first = int(headers.get("last-event-id", 0)) + 1
        continues = "last-event-id" in headers
        if continues and behaviour == "strange":
            self._write_part(writer, b"data: the server failed\n\n")
            first = self.events + 1
        if continues and behaviour == "again":
            first = 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if not self.with_ids:
                event = event[event.index(b"data") :]
            if behaviour == "empty":
                break
            if behaviour == "truncate" and number == first + 2:
                writer.write(b"%x\r\n%b" % (len(event), event[:9]))
                await writer.drain()
                writer.transport.abort()
                return False
            if behaviour == "drip" and number == first + 1:
                while True:
                    self._write_part(writer, b": alive\n\n")
                    await writer.drain()
                    await asyncio.sleep(0.1)
            if behaviour == "cut" and number == first + 2:
                self._write_part(writer, event[:9])
                break
            self._write_part(writer, event)
            await writer.drain()
            await asyncio.sleep(self.pause_ms / 1000.0)
        if self.framed:
            writer.write(b"0\r\n\r\n")
        return self.framed

    def _write_part(self, writer, part):
        writer.write(b"%x\r\n%b\r\n" % (len(part), part) if self.framed else part)


def config(version=1, routes=(), timeout_ms=3000, home_regions=()):
    """Return a platform configuration with one route of each kind."""
    kinds = {
        "safe": {"kind": "safe", "service": "portal", "maxAttempts": 2},
        "unsafe": {"kind": "unsafe", "service": "portal", "maxAttempts": 1},
        "chat": {
            "kind": "streaming",
            "service": "llm",
            "maxAttempts": 2,
            "resumable": True,
            "sticky": True,
            "homeRegions": list(home_regions),
        },
        "audit": {
            "kind": "streaming",
            "service": "llm",
            "maxAttempts": 1,
            "resumable": False,
            "sticky": True,
        },
    }
    made = [
        {
            "name": f"r-{name}",
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 1000,
            "priority": 1,
            **fields,
        }
        for name, fields in kinds.items()
    ]
    services = [
        {"name": name, "healthPath": "/health", "maxConnections": 100, "warmupPerS": 2}
        for name in ("portal", "llm")
    ]
    services[1]["engine"] = {"slots": 8, "kvCapacity": 1000}
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 65536,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": [*made, *routes],
        "services": services,
        "limits": limits,
    }
