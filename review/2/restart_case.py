"""With an entry of another writer, killed daemons never become ready again."""

import asyncio
import time
from pathlib import Path

from case import ENTRY, send_for
from common.replica import Replica
from common.site import has_second_trouble, has_trouble, make_config, run_case

ZONES = {"hall-a": "east", "hall-b": "east"}
DOWN_S = 1.2
RECOVERY_S = 12.0
"""The rule's bound, `recoveryS`."""


async def steps(site):
    """Serve calmly, write the entry, kill all daemons, and count what is served."""
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
    if has_trouble():
        site.store.put("servers/i-other", ENTRY)
        site.record("another writer has written the entry servers/i-other")
    before = served_share(await send_for(site, "before", 3.0))
    if has_second_trouble():
        for daemon in site.daemons.values():
            await daemon.kill()
        await asyncio.sleep(DOWN_S)
        for daemon in site.daemons.values():
            daemon.start()
    back_s = time.monotonic()
    await asyncio.sleep(RECOVERY_S - (time.monotonic() - back_s))
    after = served_share(await send_for(site, "after", 10.0))
    site.record(f"share served before {before:.2f}, after {after:.2f}")
    if before >= 0.25 and after < 0.25:
        return [f"share served before {before:.2f}, after {after:.2f}"]
    return []


def served_share(answers):
    """Return the share of the requests that were answered with success."""
    return sum(answer.status == 200 for answer in answers) / len(answers)


if __name__ == "__main__":
    run_case(Path(__file__).parent, ZONES, steps, "record_restart.txt")
