"""Stand-in of a replica: streams of events and plain answers in limited slots."""

import asyncio
import contextlib

from review.rig2.http1 import send, serve

__all__ = ["Replica", "start_replica"]


class Replica:
    """A replica that follows the protocol page.

    Attributes
    ----------
    name, service, zone, version : str
    slots, queue : int
        Requests that run at once, and further ones that wait; others are refused.
    events, gap_s : int, float
        Events of a stream and the pause before each; no stream if there are none.
    work_s : float
        Duration of a request that is no stream.
    stream : callable
        Writes the answer to a request for a stream.
    log : callable
        Called with the words of a line for the record.
    runs : list of dict
        Each request that began to run.
    arrivals : list of (str, float)
        Id and time of each request that reached it, but health checks and those that
        get 421.
    """

    def __init__(self, name, service, zone, log, **values):
        self.name, self.service, self.zone = name, service, zone
        self.version = "v1"
        self.slots, self.queue = 64, 64
        self.events, self.gap_s, self.work_s = 0, 0.2, 0.05
        self.born = 1_700_000_000_000
        self.leaving = False
        self.log = log
        self.runs = []
        self.arrivals = []
        self.active = self.waiting = 0
        self.writers = {}
        self.server = None
        self.address = ""
        self.room = None
        self.stream = self._stream
        for field, value in values.items():
            setattr(self, field, value)

    def entry(self, state="ready"):
        """Return the entry that it writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def start(self, host, port=0):
        """Listen at `host`, at the same port as before if there was one."""
        self.room = asyncio.Semaphore(self.slots)
        self.active = self.waiting = 0
        self.server = await serve(self.handle, host, port)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def crash(self):
        """End at once: reset every channel and accept none."""
        self.server.close()
        for writer, task in list(self.writers.items()):
            writer.transport.abort()
            if task is not None:
                task.cancel()
        self.writers.clear()

    def _head(self, request):
        found = {
            "X-Server-Load": f"{self.active},{self.waiting},{self.slots}",
            "Keep-Alive": "timeout=20",
        }
        if "x-attempt-id" in request.headers:
            found["X-Attempt-Id"] = request.headers["x-attempt-id"]
        if self.leaving:
            found["Server-Leaving"] = "1"
        return found

    async def handle(self, request, reader, writer):
        """Answer a request; it is dropped when its channel closes."""
        self.writers[writer] = asyncio.current_task()
        head = self._head(request)
        if request.path == "/health":
            status = 503 if self.leaving else 200
            return send(writer, status, head | {"X-Instance-Id": self.name})
        if request.headers.get("x-target-instance") not in (None, self.name):
            head |= {"X-Not-Executed": "1", "X-Instance-Id": self.name}
            return send(writer, 421, head)
        self.arrivals.append((request.headers.get("x-attempt-id"), _now_s()))
        if self.waiting >= self.queue:
            return send(writer, 503, head | {"X-Not-Executed": "1"})
        self.waiting += 1
        work = asyncio.ensure_future(self._run(request, writer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.log("server", self.name, "channel closed at work", _id(request))
                work.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await work
                return False
            return work.result()
        finally:
            work.cancel()
            gone.cancel()
            with contextlib.suppress(BaseException):
                await gone

    async def _run(self, request, writer):
        waits = True
        try:
            async with self.room:
                self.waiting -= 1
                waits = False
                self.active += 1
                try:
                    return await self._work(request, writer)
                finally:
                    self.active -= 1
        finally:
            if waits:
                self.waiting -= 1

    async def _work(self, request, writer):
        run = {"id": _id(request), "at_s": _now_s(), "ended_s": None}
        run |= {"server": self.name, "version": self.version, "path": request.path}
        run["after"] = request.headers.get("last-event-id", "")
        self.runs.append(run)
        self.log("server", self.name, "runs", run["id"], f"after={run['after']}")
        head = self._head(request)
        head["X-Response-Stamp"] = f"{self.name}.{self.version}.{run['id']}"
        try:
            if self.events:
                await self.stream(request, writer, head)
            else:
                await asyncio.sleep(self.work_s)
                send(writer, 200, head, f"done {run['id']}".encode())
        finally:
            run["ended_s"] = _now_s()
        return True

    async def _stream(self, request, writer, head):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {self.version} piece {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def _id(request):
    return request.headers.get("x-attempt-id", "")


def _now_s():
    return asyncio.get_running_loop().time()


async def start_replica(host, name, service, zone, log, **values):
    """Return a running replica."""
    replica = Replica(name, service, zone, log, **values)
    await replica.start(host)
    return replica
