"""A request that crashes each replica under it comes again every six seconds."""

import asyncio
import time
from pathlib import Path

from common.replica import Replica
from common.site import has_trouble, make_config, run_case

ZONES = {"hall-a": "east", "hall-b": "west", "hall-c": "north"}
PLACES = [(f"front-{zone[-1]}-{i}", zone) for zone in ZONES for i in (1, 2)]
CONTACT_S = 5.0
"""`contactMs` of the sheet."""

BACK_AFTER_S = 3.0
AGAIN_S = 6.0
TIMES = 4
MOST_RETRIES = 3
"""Retries that the rule allows later than `contactMs` after the third crash."""

POISON_PATH = "/schedule/farm-17"


async def steps(site):
    """Send sound requests all the time, and the harmful one four times."""
    crashes = []
    for zone in ZONES:
        replica = Replica(site.store, f"i-{zone}", "portal", zone, slots=6)
        replica.on_request = lambda it, request: crash_under(site, crashes, it, request)
        site.add_replica(await replica.start())
    routes = [
        {"name": "schedule", "kind": "safe", "service": "portal", "maxAttempts": 2},
        {"name": "change", "kind": "unsafe", "service": "portal"},
    ]
    services = [{"name": "portal", "warmupPerS": 0}]
    site.store.put("op/config", make_config(1, routes, services))
    await site.start_daemons(PLACES)
    sound = asyncio.create_task(send_sound(site, 3.0 + AGAIN_S * TIMES))
    await asyncio.sleep(3.0)
    for number in range(TIMES):
        await send_poison(site, number)
        await asyncio.sleep(AGAIN_S)
    lost = await sound
    site.record(f"sound changes with neither an answer nor a promise: {lost}")
    site.record(f"crashes: {len(crashes)}")
    if len(crashes) < 3:
        return []
    from_s = sorted(crashes)[2] + CONTACT_S
    late = [
        f"{key} reached {life} {at_s - from_s:.1f} s after the bound"
        for replica in site.replicas.values()
        for at_s, key, life, outcome in replica.arrivals
        if key.startswith("poison") and at_s > from_s
    ]
    site.record(f"harmful requests that reached replicas after the bound: {len(late)}")
    return late if len(late) > MOST_RETRIES else []


def crash_under(site, crashes, replica, request):
    """Crash a replica that begins to run the harmful request; it comes back later."""
    if request.target != POISON_PATH or not has_trouble():
        return False
    crashes.append(time.monotonic())
    site.record(f"{replica.name} crashes")
    replica.crash()
    asyncio.create_task(come_back(replica))
    return True


async def come_back(replica):
    """Start a new lifetime under the same id."""
    await asyncio.sleep(BACK_AFTER_S)
    await replica.start()


async def send_poison(site, number):
    """Send the harmful request at some daemon, and once more after a failure."""
    names = list(site.daemons)
    for attempt in range(2):
        daemon = site.daemons[names[(2 * number + 3 * attempt) % len(names)]]
        key = f"poison-{number}-{attempt}"
        answer = await site.call(daemon, POISON_PATH, key, method="GET", body=b"")
        if answer.status is not None and answer.status < 400:
            return


async def send_sound(site, length_s):
    """Send four changes a second; return how many were cut off or got 502 or 504."""
    tasks = []
    daemons = list(site.daemons.values())
    for number in range(int(length_s * 4)):
        daemon = daemons[number % len(daemons)]
        call = site.call(daemon, "/change/1", f"sound-{number:03d}")
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(0.25)
    answers = await asyncio.gather(*tasks)
    return sum(a.status in (None, 502, 504) or not a.complete for a in answers)


if __name__ == "__main__":
    run_case(Path(__file__).parent, ZONES, steps)
