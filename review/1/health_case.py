"""A server in trouble answers with interim responses without end."""

import asyncio
import time
from pathlib import Path

from common.replica import Replica
from common.site import has_trouble, make_config, run_case

ZONES = {"hall-a": "east", "hall-b": "east"}
PLACES = [("front-1", "hall-a"), ("front-2", "hall-b")]
TIMEOUT_S = 3.0
"""Timeout of the route, `timeoutMs`."""

LATE_S = 0.5
"""Time after it by which at least half of the open requests must be answered."""

LIMIT_S = 6.0
TROUBLE_S = 15.0
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 2600


class TroubledReplica(Replica):
    """Replica that, once in trouble, sends bytes that are no answer until it is closed.

    It resets the channel of the first request that it gets in trouble.
    """

    in_trouble = False
    has_reset = False

    async def _handle(self, request, writer):
        if not self.in_trouble:
            await super()._handle(request, writer)
            return
        self._record(request.headers.get("x-attempt-id", "health-check"), "endless")
        if not self.has_reset:
            self.has_reset = True
            raise ConnectionResetError
        while True:
            writer.write(INTERIM)
            await writer.drain()


async def steps(site):
    """Serve calmly, let one of four servers get in trouble, and time the answers."""
    for number in range(1, 5):
        zone = sorted(ZONES)[number % 2]
        kind = TroubledReplica if number == 1 else Replica
        replica = kind(site.store, f"i-{number}", "portal", zone, slots=6, work_s=0.2)
        site.add_replica(await replica.start())
    routes = [
        {
            "name": "status",
            "kind": "unsafe",
            "service": "portal",
            "timeoutMs": int(TIMEOUT_S * 1000),
        }
    ]
    services = [{"name": "portal", "warmupPerS": 0}]
    site.store.put("op/config", make_config(1, routes, services))
    await site.start_daemons(PLACES)
    times = []
    await send_for(site, times, "calm", 3.0)
    if has_trouble():
        site.replicas["i-1"].in_trouble = True
        site.record("i-1 is in trouble")
    await send_for(site, times, "trouble", TROUBLE_S)
    slow = [item for item in times if item[1] > TIMEOUT_S]
    late = [item for item in slow if item[1] > TIMEOUT_S + LATE_S]
    site.record(f"{len(times)} requests, {len(slow)} without an answer at the timeout")
    site.record(f"{len(late)} of them without an answer {LATE_S} s later")
    if 2 * len(late) <= len(slow):
        return []
    return [f"{key}: {text} after {took_s:.1f} s" for key, took_s, text in late]


async def send_for(site, times, name, length_s):
    """Send sixteen requests a second, to the daemons in turn."""

    async def send(daemon, key):
        begin_s = time.monotonic()
        answer = await site.call(daemon, "/status/1", key, deadline_ms=LIMIT_S * 1000)
        text = f"status {answer.status} {answer.problem}".rstrip()
        times.append((key, time.monotonic() - begin_s, text))

    tasks = []
    daemons = list(site.daemons.values())
    for number in range(int(length_s * 16)):
        daemon = daemons[number % len(daemons)]
        tasks.append(asyncio.create_task(send(daemon, f"{name}-{number:03d}")))
        await asyncio.sleep(1 / 16)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    run_case(Path(__file__).parent, ZONES, steps, "record_health.txt")
