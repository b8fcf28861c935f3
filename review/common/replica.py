"""Stand-in for a backend server (replica) of the platform."""

import asyncio
import time

from common.http import encode_chunk, encode_head, read_request


class Replica:
    """Server that registers itself in the store and answers requests.

    Attributes
    ----------
    service, zone, version : str
    name : str
        Its id; kept at a restart.
    events : int
        Number of events of its streams; 0 for a service with plain answers.
    work_s : float
        Time for a plain answer, or until the first event of a stream.
    pause_s : float
        Time between two events.
    health_headers : dict of str to str
        Headers of its answers to health checks.
    on_request : callable or None
        Called with the replica and each request before it runs; a true result means
        that the replica has ended under it.
    arrivals : list of (float, str, str, str)
        Time, attempt id, lifetime and outcome of each request that arrived. The
        outcome is ``run`` or the status of a refusal.
    """

    def __init__(self, store, name, service, zone, **values):
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.version = values.get("version", "v1")
        self.events = values.get("events", 0)
        self.work_s = values.get("work_s", 0.03)
        self.pause_s = values.get("pause_s", 0.05)
        self.slots = values.get("slots", 64)
        self.health_headers = {}
        self.answer_headers = {}
        self.on_request = None
        self.arrivals = []
        self.requests = {}
        self.running = 0
        self.lifetime = 0
        self.born = 0
        self.port = 0
        self.server = None
        self.calls = {}
        self.warm_up_left_ms = 0

    async def start(self, register=True):
        """Start a new lifetime, at the address of the last one if there was any."""
        self.lifetime += 1
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if register:
            self.register()
        return self

    @property
    def address(self):
        """Address as in its entry."""
        return f"127.0.0.1:{self.port}"

    def register(self, state="ready"):
        """Write its entry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "warmupLeftMs": self.warm_up_left_ms,
            "sequence": 1,
            "born": self.born,
        }
        self.store.put(f"servers/{self.name}", entry)

    def crash(self):
        """End at once: reset every connection and refuse new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task, writer in list(self.calls.items()):
            writer.transport.abort()
            if task is not asyncio.current_task():
                task.cancel()
        self.running = 0

    async def _serve(self, reader, writer):
        self.calls[asyncio.current_task()] = writer
        try:
            while True:
                await self._handle(await read_request(reader), writer)
        except (EOFError, OSError):
            pass
        finally:
            self.calls.pop(asyncio.current_task(), None)
            writer.close()

    async def _handle(self, request, writer):
        if request.target == "/health":
            head = {"X-Instance-Id": self.name} | self.health_headers
            writer.write(encode_head(200, head, 0))
            return
        key = request.headers.get("x-attempt-id", "")
        head = {"X-Attempt-Id": key} | self.answer_headers
        if request.headers.get("x-target-instance", self.name) != self.name:
            self._record(key, "421")
            writer.write(encode_head(421, head | {"X-Not-Executed": "1"}, 0))
            return
        self._record(key, "run")
        self.requests[key] = request
        self.running += 1
        try:
            if self.on_request is not None and self.on_request(self, request):
                raise ConnectionResetError
            head["X-Response-Stamp"] = f"{self.name}.{self.lifetime}.{key}"
            head["X-Server-Load"] = f"{self.running},0,{self.slots}"
            await asyncio.sleep(self.work_s)
            if self.events:
                await self._stream(request, writer, head)
            else:
                body = f"body of {key}".encode()
                writer.write(encode_head(200, head, len(body)) + body)
        finally:
            self.running = max(0, self.running - 1)

    async def _stream(self, request, writer, head):
        head["Content-Type"] = "text/event-stream"
        writer.write(encode_head(200, head))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {number} {self.name} {self.version}\n\n"
            writer.write(encode_chunk(event.encode()))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(encode_chunk(b""))

    def _record(self, key, outcome):
        life = f"{self.name}/{self.lifetime}"
        self.arrivals.append((time.monotonic(), key, life, outcome))
