"""An entry of another writer stops every daemon from reading the list of servers."""

import asyncio
import time
from pathlib import Path

from common.replica import Replica
from common.site import has_trouble, make_config, run_case

ZONES = {"hall-a": "east", "hall-b": "east"}
EVACUATE_S = 5.0
"""The rule's bound, `evacuateMs`."""

EVACUATED_S = 9.0

ENTRY = b'{"service":"portal","notes":' + b"[" * 2000 + b"]" * 2000 + b"}"
"""Valid JSON of 4 kB without the fields of an entry, as another program may write."""


async def steps(site):
    """Serve calmly, write the entry, evacuate a zone, and look where requests run."""
    for zone in ZONES:
        for number in (1, 2):
            replica = Replica(site.store, f"i-{zone}-{number}", "portal", zone)
            site.add_replica(await replica.start())
    routes = [
        {"name": "status", "kind": "unsafe", "service": "portal", "timeoutMs": 3000}
    ]
    services = [{"name": "portal", "warmupPerS": 0}]
    site.store.put("op/config", make_config(1, routes, services))
    await site.start_daemons([("front-1", "hall-a"), ("front-2", "hall-b")])
    await send_for(site, "calm", 3.0)
    if has_trouble():
        site.store.put("servers/i-other", ENTRY)
        site.record("another writer has written the entry servers/i-other")
    await send_for(site, "after-entry", 3.0)
    site.store.put("op/evacuate/hall-b", {})
    acknowledged_s = time.monotonic()
    site.record("evacuation of hall-b acknowledged")
    await send_for(site, "evacuated", EVACUATED_S)
    site.store.remove("op/evacuate/hall-b")
    return [
        f"{key} reached {life} {at_s - acknowledged_s:.1f} s after the evacuation"
        for replica in site.replicas.values()
        if replica.zone == "hall-b"
        for at_s, key, life, outcome in replica.arrivals
        if at_s > acknowledged_s + EVACUATE_S and outcome != "421"
    ]


async def send_for(site, name, length_s):
    """Send ten requests a second, to the daemons in turn; return the answers."""
    tasks = []
    daemons = list(site.daemons.values())
    for number in range(int(length_s * 10)):
        daemon = daemons[number % len(daemons)]
        key = f"{name}-{number:03d}"
        tasks.append(asyncio.create_task(site.call(daemon, "/status/1", key)))
        await asyncio.sleep(0.1)
    return await asyncio.gather(*tasks)


if __name__ == "__main__":
    run_case(Path(__file__).parent, ZONES, steps)
