"""A stream goes on at another software version after an upgrade in place."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig3"))

import stand_ins  # noqa: E402
from stand_ins import IP, Daemon, Record, Replica, Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 24
EVENTS = 40
EVENT_S = 0.1
QUIET_S = 12.0
DOWN_S = 0.4
ENTRY_DELAY_S = 0.8
CRASH_AFTER_S = 2.5
ALLOWED = 2


class Model(Replica):
    """A replica of a model that streams events with its version."""

    async def answer(self, writer, key, headers, body):
        """Stream events, from the one after the last that the client has."""
        head = self.head(key) | {"Content-Type": "text/event-stream"}
        head["Transfer-Encoding"] = "chunked"
        writer.write(stand_ins.encode_message("HTTP/1.1 200 OK", head))
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {self.name} {self.version}\n\n".encode()
            writer.write(stand_ins.encode_chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Caller:
    """A client that takes up a broken stream once, as the pages allow."""

    def __init__(self, daemons, record, name):
        self.daemons, self.record, self.name = daemons, record, name
        self.events = []

    async def run(self, index):
        """Read a stream; `index` names the daemon of the first attempt."""
        first = f"{self.name}.1"
        await self._attempt(index, first, {})
        if self.events and len(self.events) < EVENTS:
            last = {"Last-Event-Id": str(len(self.events)), "Resumes": first}
            await self._attempt(index + 1, f"{self.name}.2", last)

    async def _attempt(self, index, key, fields):
        daemon = self.daemons[index % len(self.daemons)]
        reader, writer = await asyncio.open_connection(IP, daemon.ports["caller"])
        head = stand_ins.request_headers(key, 15000) | fields
        head |= {"X-Model": "m", "X-Token-Count": "100,160"}
        head["X-Prompt-Prefix"] = f"{abs(hash(self.name)) % 2**32:x}:100"
        self.record.write(f"client: sends {key} to {daemon.name} {fields}")
        request = "POST /chat/complete HTTP/1.1"
        writer.write(stand_ins.encode_message(request, head, b"prompt"))
        found = await stand_ins.read_head(reader)
        status = found[0].split(" ")[1] if found else "none"
        try:
            if status == "200":
                await self._read_events(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()
        self.record.write(
            f"client: {key} gets status {status}, has {len(self.events)} events"
        )

    async def _read_events(self, reader):
        rest = b""
        async for data in stand_ins.read_chunks(reader):
            *whole, rest = (rest + data).split(b"\n\n")
            self.events += [event.split(b"data: ")[1].decode() for event in whole]


async def main():
    """Start the deployment, play the case and return the exit status."""
    record = Record(FOLDER / "record.txt")
    folder = tempfile.mkdtemp()
    store = await Store().start()
    replicas = [
        await Model(store, record, f"model-{i}", "llm", "hall").start()
        for i in range(4)
    ]
    zones = {"hall": "region"}
    daemons = [
        Daemon(folder, f"front-{i}", "hall", "region", zones, store.address)
        for i in range(2)
    ]
    for daemon in daemons:
        daemon.seeds = [item.address("peer") for item in daemons]
        daemon.start()
    route = stand_ins.make_route(
        "chat",
        "streaming",
        "llm",
        15000,
        resumable=True,
        sticky=True,
        maxAttempts=3,
        gapTargetMs=300,
    )
    service = {"name": "llm", "healthPath": "/health", "maxConnections": 370}
    service["engine"] = {"slots": 8}
    store.put("op/config", stand_ins.make_config(1, [route], [service]))
    try:
        for daemon in daemons:
            if not await daemon.wait_ready():
                raise RuntimeError(f"{daemon.name} is not ready")
        return await play(record, replicas, daemons)
    finally:
        for daemon in daemons:
            daemon.kill()


async def play(record, replicas, daemons):
    """Upgrade a replica, begin streams, end that replica, and judge the streams."""
    # Streams of the day before, and a quiet time.
    before = [Caller(daemons, record, f"before{i}") for i in range(6)]
    await asyncio.gather(*(c.run(i) for i, c in enumerate(before)))
    await asyncio.sleep(QUIET_S)
    upgraded = replicas[1]
    if TROUBLE:
        upgraded.crash()
        await asyncio.sleep(DOWN_S)
        upgraded.version = "v2"
        await upgraded.start(ENTRY_DELAY_S)
    callers = [Caller(daemons, record, f"stream{i}") for i in range(STREAMS)]
    tasks = []
    for i, caller in enumerate(callers):
        tasks.append(asyncio.create_task(caller.run(i)))
        await asyncio.sleep(0.5 / STREAMS)
    if TROUBLE:
        await asyncio.sleep(CRASH_AFTER_S)
        upgraded.crash()
    await asyncio.gather(*tasks)
    mixed = []
    for caller in callers:
        versions = {event.split(" ")[1] for event in caller.events}
        count = len(caller.events)
        record.write(f"{caller.name}: {count} events of {sorted(versions)}")
        if len(versions) > 1:
            mixed.append(caller.name)
    text = f"{len(mixed)} of {STREAMS} streams hold events of two versions: {mixed}"
    record.write(text)
    return stand_ins.finish(len(mixed) > ALLOWED, text)


stand_ins.run(main())
