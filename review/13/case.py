"""Streams cannot be taken up again after most machines have lost power."""

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
ZONES = {
    "burnaby-hall": "lower-mainland",
    "kelowna-hall": "okanagan",
    "fsj-hall": "peace-river",
}
MACHINES = {"burnaby-hall": 3, "kelowna-hall": 3, "fsj-hall": 2}
VERSIONS = ("v1", "v1", "v2", "v2")
STREAMS_PER_MACHINE = 10
NEW_STREAMS = 20
EVENTS = 80
EVENT_S = 0.1
MIN_TAKEN_UP = 12
MAX_TRIES = 3


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
    """A client that takes up a broken stream at a machine that still runs."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.events = []
        self.is_taken_up = False
        self.goes_on = False

    async def run(self, daemon, others):
        """Read a stream at `daemon`, and after a break at one of `others`."""
        first = f"{self.name}.1"
        await self._attempt(daemon, first, {})
        if not self.events or len(self.events) == EVENTS:
            return
        for number in range(2, 2 + MAX_TRIES):
            running = [item for item in others if item.is_running]
            self.is_taken_up = True
            before = len(self.events)
            last = {"Last-Event-Id": str(before), "Resumes": first}
            await self._attempt(running[0], f"{self.name}.{number}", last)
            if len(self.events) > before:
                self.goes_on = True
                return
            await asyncio.sleep(0.5)

    async def _attempt(self, daemon, key, fields):
        head = stand_ins.request_headers(key, 15000) | fields
        head |= {"X-Model": "m", "X-Token-Count": "100,320"}
        head["X-Prompt-Prefix"] = f"{abs(hash(self.name)) % 2**32:x}:100"
        self.record.write(f"client: sends {key} to {daemon.name} {fields or ''}")
        request = "POST /chat/complete HTTP/1.1"
        status, text = "none", b""
        try:
            reader, writer = await asyncio.open_connection(IP, daemon.ports["caller"])
            writer.write(stand_ins.encode_message(request, head, b"prompt"))
            found = await stand_ins.read_head(reader)
            if found is not None:
                status = found[0].split(" ")[1]
                if status == "200":
                    await self._read_events(reader)
                else:
                    size = int(found[1].get("content-length", 0))
                    text = await reader.readexactly(size)
            writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.record.write(
            f"client: {key} gets status {status}, has {len(self.events)} events "
            f"{text.decode()[:80]}"
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
    for zone in ZONES:
        for number, version in enumerate(VERSIONS):
            name = f"model-{zone}-{number}"
            replica = Model(store, record, name, "llm", zone, version, slots=64)
            await replica.start()
    daemons = [
        Daemon(folder, f"front-{zone}-{i}", zone, region, ZONES, store.address)
        for zone, region in ZONES.items()
        for i in range(MACHINES[zone])
    ]
    seeds = {daemon.zone: daemon.address("peer") for daemon in daemons}
    route = stand_ins.make_route(
        "chat",
        "streaming",
        "llm",
        15000,
        resumable=True,
        sticky=True,
        maxAttempts=2,
        gapTargetMs=300,
    )
    service = {"name": "llm", "healthPath": "/health", "maxConnections": 370}
    service["engine"] = {"slots": 64}
    store.put("op/config", stand_ins.make_config(1, [route], [service]))
    try:
        for daemon in daemons:
            daemon.seeds = list(seeds.values())
            daemon.start()
        for daemon in daemons:
            if not await daemon.wait_ready():
                raise RuntimeError(f"{daemon.name} is not ready")
        return await play(record, daemons)
    finally:
        for daemon in daemons:
            daemon.kill()


async def play(record, daemons):
    """Begin streams, end all machines but one, and count the streams that go on."""
    # The traffic starts 12 s after the machines do.
    await asyncio.sleep(10.0)
    survivor = daemons[-1]
    callers = []
    tasks = []
    for number in range(STREAMS_PER_MACHINE):
        for daemon in daemons:
            caller = Caller(record, f"{daemon.name}-stream{number}")
            callers.append(caller)
            tasks.append(asyncio.create_task(caller.run(daemon, [survivor])))
            await asyncio.sleep(0.02)
    await asyncio.sleep(1.5)
    if TROUBLE:
        for daemon in daemons[:-1]:
            daemon.kill()
            record.write(f"{daemon.name}: loses power")
    new = []
    for number in range(NEW_STREAMS):
        caller = Caller(record, f"new{number}")
        new.append(caller)
        tasks.append(asyncio.create_task(caller.run(survivor, [survivor])))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    taken_up = [caller for caller in callers if caller.is_taken_up]
    going_on = sum(caller.goes_on for caller in taken_up)
    begun = sum(bool(caller.events) for caller in new)
    text = (
        f"{going_on} of {len(taken_up)} streams that were taken up again go on; "
        f"{begun} of {len(new)} new streams begin"
    )
    record.write(text)
    is_broken = len(taken_up) >= MIN_TAKEN_UP and (
        going_on / len(taken_up) < 0.5 * begun / len(new)
    )
    return stand_ins.finish(is_broken, text)


stand_ins.run(main())
