"""Stand-ins for the store, the replicas and the clients, and start of daemons.

They use the standard library only. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
IP = "127.0.0.1"


_GIVEN = set()

PORTS = range(20_000, 32_000)
"""Ports to choose from, below those that the system gives to outgoing connections."""


def free_port():
    """Return a port of the loopback address that nothing listens on."""
    while True:
        port = random.choice(PORTS)
        if port in _GIVEN:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((IP, port))
            _GIVEN.add(port)
            return port


async def read_head(reader):
    """Return the first line and the headers of a message, None at its end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return first, {name.lower(): value.strip() for name, value in pairs}


def encode_message(first, headers, body=None):
    """Return an encoded message; it has a length unless `body` is None."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        off = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, off)
    writer.transport.abort()


class Record:
    """Lines of the record file, with the time since its start."""

    def __init__(self, path):
        self.file = Path(path).open("w", buffering=1)  # noqa: SIM115
        self.start_s = time.monotonic()

    def write(self, text):
        """Add a line."""
        self.file.write(f"{time.monotonic() - self.start_s:8.3f} {text}\n")


class Store:
    """The platform's store: ranges and watches over its items."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.server = None
        self.is_down = False

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, IP, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    def put(self, key, value):
        """Write an item; `value` is encoded as JSON."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "revision": self.revision}
        item |= {"created": self.revision, "lease": 0}
        self.items[key] = item
        self._change(item)

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._change({"key": key, "revision": self.revision, "removed": True})

    def _change(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                path, _, query = head[0].split(" ")[1].partition("?")
                values = dict(urllib.parse.parse_qsl(query, True))
                if self.is_down:
                    writer.write(encode_message("HTTP/1.1 503 Busy", {}, b""))
                    continue
                found = self._range(values)
                if path == "/kv-watch":
                    found = await self._watch(values)
                body = json.dumps(found).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(encode_message("HTTP/1.1 200 OK", kind, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _range(self, values):
        prefix, after = values["pathPrefix"], values.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:500]]
        more = len(keys) > len(page)
        return {"items": page, "hasMore": more, "storeRevision": self.revision}

    async def _watch(self, values):
        after = int(values["after"])
        end_s = time.monotonic() + int(values["waitMs"]) / 1000.0
        while not (found := self._since(after)):
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                break
        return {"events": found, "storeRevision": self.revision}

    def _since(self, after):
        return [event for event in self.history if event["revision"] > after]


class Replica:
    """A server of a service, which registers itself in the store.

    Its methods `answer` and `health` may be replaced by those of a case.
    """

    def __init__(self, store, record, name, service, zone, version="v1", slots=8):
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.version, self.slots = version, slots
        self.port = free_port()
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.server = None
        self.beats = None
        self.writers = set()

    @property
    def address(self):
        """Address as ``ip:port``."""
        return f"{IP}:{self.port}"

    async def start(self, delay_s=0.0):
        """Accept connections; write the entry `delay_s` later, then at intervals."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self._serve, IP, self.port)
        self.beats = asyncio.create_task(self._beat(delay_s))
        self.record.write(f"{self.name}: starts, version {self.version}")
        return self

    async def _beat(self, delay_s):
        await asyncio.sleep(delay_s)
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        """Write the entry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put(f"servers/{self.name}", entry)

    def crash(self):
        """End at once: reset every connection and accept none."""
        self.record.write(f"{self.name}: ends")
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self._handle(writer, first, headers, body):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, writer, first, headers, body):
        method, target, _ = first.split(" ")
        if target == "/health":
            writer.write(encode_message("HTTP/1.1 200 OK", self.health(), b""))
            return True
        key = headers.get("x-attempt-id")
        if headers.get("x-target-instance", self.name) != self.name or not key:
            not_run = {"X-Not-Executed": "1"} | ({"X-Attempt-Id": key} if key else {})
            status = "421 Misdirected" if key else "400 Bad"
            writer.write(encode_message(f"HTTP/1.1 {status}", not_run, b""))
            return True
        self.runs.append((key, method, target, body))
        self.record.write(f"{self.name} ({self.version}): runs {key}")
        return await self.answer(writer, key, headers, body)

    def health(self):
        """Return the headers of the response to a liveness check."""
        return {"X-Instance-Id": self.name, "X-Server-Load": f"0,0,{self.slots}"}

    def head(self, key):
        """Return the headers of every response to request `key`."""
        return {
            "X-Attempt-Id": key,
            "X-Response-Stamp": f"{self.name}.{self.version}.{key}",
            "X-Server-Load": f"1,0,{self.slots}",
            "Keep-Alive": "timeout=5",
        }

    async def answer(self, writer, key, headers, body):
        """Answer a request; return whether the connection is kept."""
        text = f"answer to {key}".encode()
        writer.write(encode_message("HTTP/1.1 200 OK", self.head(key), text))
        await writer.drain()
        return True


HEARTBEAT_S = 1.2
"""Interval at which a replica writes its entry (`heartbeatMs`)."""


class Daemon:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, region, zones, store_address, bounds=None):
        self.folder = folder
        self.name = name
        self.zone, self.region, self.zones = zone, region, zones
        self.store_address = store_address
        self.bounds = bounds or {}
        kinds = ("caller", "peer", "operator", "readiness", "directory")
        self.ports = {kind: free_port() for kind in kinds}
        self.seeds = []
        self.process = None
        self.starts = 0

    def address(self, kind):
        """Return the address of a listener as ``ip:port``."""
        return f"{IP}:{self.ports[kind]}"

    def start(self):
        """Write the settings as the template of the deploy file has them, and start."""
        settings = {
            "vm": self.name,
            "region": self.region,
            "failure_domain": self.zone,
            "site": self.zone,
            "caller_address": self.address("caller"),
            "peer_address": self.address("peer"),
            "operator_address": self.address("operator"),
            "seed_peers": self.seeds,
            "store": {
                "address": self.store_address,
                "domains": self.zones,
                "readiness_address": self.address("readiness"),
                "directory_address": self.address("directory"),
                "retry_share": 0.2,
                "retry_slack": 56.0,
                "grace_s": 8.0,
            },
        }
        path = Path(self.folder) / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BLUEBELLBEAM_SETTINGS"] = str(path)
        self.starts += 1
        with open(Path(self.folder) / f"{self.name}-{self.starts}.log", "w") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "bluebellbeam", "serve", "--log-format", "json"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        """End the process at once, as a loss of power does."""
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def memory_mb(self):
        """Return the resident memory of the process, or 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                pages = int(file.read().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def wait_ready(self, limit_s=20.0):
        """Wait until the platform's readiness check succeeds."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self):
        """Return whether the readiness check succeeds now."""
        try:
            reader, writer = await asyncio.open_connection(IP, self.ports["readiness"])
        except OSError:
            return False
        try:
            request = "GET /readiness HTTP/1.1"
            writer.write(encode_message(request, {"Host": "x", "Connection": "close"}))
            head = await asyncio.wait_for(read_head(reader), 1.0)
            return head is not None and " 200 " in head[0]
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


def make_config(version, routes, services, **limits):
    """Return a configuration of the operator."""
    defaults = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": defaults | limits,
    }


def make_route(name, kind, service, timeout_ms, **fields):
    """Return a route of `HOST` whose path begins with its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 1000,
        "priority": 1,
        "maxAttempts": 1,
    } | fields


def encode_chunk(data):
    """Return one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def read_response(reader):
    """Return status, headers and whole body of a response; status 0 if it is cut."""
    head = await read_head(reader)
    if head is None:
        return 0, {}, b""
    first, headers = head
    status = int(first.split(" ")[1])
    try:
        if headers.get("transfer-encoding") == "chunked":
            parts = [part async for part in read_chunks(reader)]
            return status, headers, b"".join(parts)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, headers, b""
    return status, headers, body


async def read_chunks(reader):
    """Yield the chunks of a body; raises an error if it is cut."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def request_headers(key, deadline_ms, **fields):
    """Return the headers of a client's request."""
    head = {"Host": HOST, "X-Attempt-Id": key, "X-Deadline-Ms": str(deadline_ms)}
    return head | {name.replace("_", "-"): value for name, value in fields.items()}


def finish(is_broken, text):
    """Print the verdict and return the exit status."""
    print(("BROKEN: " if is_broken else "held: ") + text)
    return 1 if is_broken else 0


async def _run_case(case):
    """Run the coroutine of a case; a signal to stop ends it, so that it cleans up."""
    task = asyncio.ensure_future(case)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task


def run(case):
    """Run the coroutine of a case and exit; the status is 2 if it could not run."""
    try:
        status = asyncio.run(_run_case(case))
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {type(error).__name__}: {error}")
        status = 2
    sys.exit(status)
