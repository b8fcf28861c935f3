"""A call that has run is answered 503, which promises that it has not."""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig3"))

import stand_ins  # noqa: E402
from stand_ins import IP, Daemon, Record, Replica, Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALLS = 60
GREY_S = 4.0
PROMISES = (408, 421, 429, 503)


class Service(Replica):
    """A replica of a plain service that may fail part of its requests.

    A request that fails has run: the replica says so by leaving out `X-Not-Executed`.
    """

    is_grey = False
    calls = 0

    async def answer(self, writer, key, headers, body):
        """Run the request; fail part of them."""
        await asyncio.sleep(0.03)
        # Never more than 0.4 of the calls so far: the third and the fifth of each five.
        self.calls += self.is_grey
        if not self.is_grey or self.calls % 5 not in (3, 0):
            return await super().answer(writer, key, headers, body)
        first = "HTTP/1.1 503 Service Unavailable"
        writer.write(stand_ins.encode_message(first, self.head(key), b"failed"))
        await writer.drain()
        return True


async def call(daemon, record, key):
    """Send a call; return the status of its answer."""
    reader, writer = await asyncio.open_connection(IP, daemon.ports["caller"])
    head = stand_ins.request_headers(key, 6000)
    record.write(f"client: sends {key} to {daemon.name}")
    request = "POST /change/status HTTP/1.1"
    writer.write(stand_ins.encode_message(request, head, key.encode()))
    status, headers, _ = await stand_ins.read_response(reader)
    writer.close()
    stamp = headers.get("x-response-stamp", "none")
    record.write(f"client: {key} is answered {status}, stamp {stamp}")
    return status


async def change(daemons, record, index):
    """Make one change as a client does: once more after a promise."""
    statuses = {}
    for attempt in (1, 2):
        key = f"change{index}.{attempt}"
        daemon = daemons[(index + attempt) % len(daemons)]
        statuses[key] = await call(daemon, record, key)
        if statuses[key] not in PROMISES:
            break
        await asyncio.sleep(0.5)
    return statuses


async def main():
    """Start the deployment, play the case and return the exit status."""
    record = Record(FOLDER / "record.txt")
    folder = tempfile.mkdtemp()
    store = await Store().start()
    replicas = [
        await Service(store, record, f"portal-{i}", "portal", "hall", slots=6).start()
        for i in range(3)
    ]
    zones = {"hall": "region"}
    daemons = [
        Daemon(folder, f"front-{i}", "hall", "region", zones, store.address)
        for i in range(2)
    ]
    for daemon in daemons:
        daemon.seeds = [item.address("peer") for item in daemons]
        daemon.start()
    route = stand_ins.make_route("change", "unsafe", "portal", 3000)
    service = {"name": "portal", "healthPath": "/health", "maxConnections": 110}
    store.put("op/config", stand_ins.make_config(1, [route], [service]))
    try:
        for daemon in daemons:
            if not await daemon.wait_ready():
                raise RuntimeError(f"{daemon.name} is not ready")
        if TROUBLE:
            replicas[0].is_grey = True
        end_s = time.monotonic() + GREY_S
        tasks = []
        for index in range(CALLS):
            if time.monotonic() > end_s:
                replicas[0].is_grey = False
            task = asyncio.create_task(change(daemons, record, index))
            tasks.append(task)
            await asyncio.sleep(0.1)
        found = await asyncio.gather(*tasks)
    finally:
        for daemon in daemons:
            daemon.kill()
    return judge(record, replicas, found)


def judge(record, replicas, found):
    """Compare the answers with what the replicas have run."""
    ran = {key for replica in replicas for key, *_ in replica.runs}
    denied = [
        key
        for statuses in found
        for key, status in statuses.items()
        if status in PROMISES and key in ran
    ]
    again = [
        index
        for index, statuses in enumerate(found)
        if sum(key in ran for key in statuses) > 1
    ]
    text = (
        f"{len(denied)} calls that have run were answered with a promise that they "
        f"have not: {denied}; changes made twice: {again}"
    )
    record.write(text)
    return stand_ins.finish(bool(denied), text)


stand_ins.run(main())
