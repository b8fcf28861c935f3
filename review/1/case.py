"""A server in trouble sends blank lines without end in the body of a stream."""

import asyncio
import time
from pathlib import Path

from common.http import encode_head
from common.replica import Replica
from common.site import CannotRun, has_trouble, make_config, run_case

ZONES = {"hall-a": "east", "hall-b": "east"}
PLACES = [("front-1", "hall-a"), ("front-2", "hall-b")]
TIMEOUT_S = 3.0
"""Timeout of the route of the plain requests, `timeoutMs`."""

LATE_S = 0.5
"""Time after it by which at least half of the open requests must be answered."""

LIMIT_S = 6.0
TROUBLE_S = 12.0
BLANK_LINES = b"\n" * 65536


class TroubledReplica(Replica):
    """Replica that, once in trouble, sends blank lines until its caller closes."""

    in_trouble = False
    has_begun = False

    async def _stream(self, request, writer, head):
        if not self.in_trouble:
            await super()._stream(request, writer, head)
            return
        self.has_begun = True
        head["Content-Type"] = "text/event-stream"
        # With neither a length nor chunks.
        raw = encode_head(200, head).replace(b"Transfer-Encoding: chunked\r\n", b"")
        writer.write(raw)
        while True:
            writer.write(BLANK_LINES)
            await writer.drain()
            await asyncio.sleep(0.001)


async def steps(site):
    """Serve calmly, let one of four engines get in trouble, and time plain requests."""
    for number in range(1, 5):
        zone = sorted(ZONES)[number % 2]
        name = f"i-model-{number}"
        engine = TroubledReplica(site.store, name, "model", zone, events=13)
        site.add_replica(await engine.start())
        portal = Replica(site.store, f"i-portal-{number}", "portal", zone, slots=6)
        site.add_replica(await portal.start())
    routes = [
        {
            "name": "draft",
            "kind": "streaming",
            "service": "model",
            "gapTargetMs": 300,
            "timeoutMs": 5000,
        },
        {
            "name": "status",
            "kind": "unsafe",
            "service": "portal",
            "timeoutMs": int(TIMEOUT_S * 1000),
        },
    ]
    services = [
        {"name": "model", "warmupPerS": 2.3, "engine": {"slots": 64}},
        {"name": "portal", "warmupPerS": 0},
    ]
    site.store.put("op/config", make_config(1, routes, services))
    await site.start_daemons(PLACES)
    times = []
    await send_for(site, times, "calm", 3.0)
    if has_trouble():
        engines = [r for r in site.replicas.values() if r.service == "model"]
        busiest = max(engines, key=lambda engine: len(engine.arrivals))
        busiest.in_trouble = True
        site.record(f"{busiest.name} is in trouble")
    await send_for(site, times, "trouble", TROUBLE_S)
    if has_trouble() and not busiest.has_begun:
        raise CannotRun("no stream has reached the engine in trouble")
    slow = [item for item in times if item[1] > TIMEOUT_S]
    late = [item for item in slow if item[1] > TIMEOUT_S + LATE_S]
    text = f"{len(times)} plain requests, {len(slow)} without an answer at the timeout"
    site.record(text)
    site.record(f"{len(late)} of them without an answer {LATE_S} s later")
    if 2 * len(late) <= len(slow):
        return []
    return [f"{key}: {text} after {took_s:.1f} s" for key, took_s, text in late]


async def send_for(site, times, name, length_s):
    """Send ten plain requests and four streams a second, to the daemons in turn."""

    async def send(daemon, key):
        begin_s = time.monotonic()
        answer = await site.call(daemon, "/status/1", key, deadline_ms=LIMIT_S * 1000)
        text = f"status {answer.status} {answer.problem}".rstrip()
        times.append((key, time.monotonic() - begin_s, text))

    tasks = []
    daemons = list(site.daemons.values())
    for number in range(int(length_s * 20)):
        daemon = daemons[number // 2 % 2]
        if number % 5 == 0:
            headers = {
                "X-Model": "m",
                "X-Token-Count": "300,52",
                "X-Prompt-Prefix": f"{number % 7:08x}:200,{number + 900:08x}:100",
            }
            key = f"stream-{name}-{number:03d}"
            call = site.call(daemon, "/draft/1", key, headers=headers, deadline_ms=4000)
            tasks.append(asyncio.create_task(call))
        elif number % 2 == 0:
            key = f"plain-{name}-{number:03d}"
            tasks.append(asyncio.create_task(send(daemon, key)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    run_case(Path(__file__).parent, ZONES, steps)
