"""A machine restarts during an evacuation, and reads the store page by page."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.rig2.deployment import BOUNDS, Deployment, config, main, route

ROUTES = 4300
"""Routes of the configuration. Its entry is below `valueBytes`, but fills a page."""

LAG_S = 3.0
"""Age of the copy that answers every second read that may be stale."""

REQUESTS_PER_S = 20
CONTACT_S = BOUNDS["contactMs"] / 1000.0
EVACUATE_S = BOUNDS["evacuateMs"] / 1000.0


async def run(deployment: Deployment):
    """Play the case; return whether the rule was broken, and a text."""
    store = deployment.store
    store.lag_s = LAG_S
    store.on_read = lambda stale, after, revision, newest, keys: deployment.log(
        "store",
        f"range after={after!r} serializable={stale} revision={revision} of {newest}:",
        len(keys),
        "items",
        [key for key in keys if key.startswith("op/")],
    )
    routes = [route("status", "unsafe", "portal")]
    routes += [route(f"list-{n:05d}", "safe", "portal") for n in range(ROUTES)]
    store.put("op/config", config(1, routes, ["portal"]))
    changed = [route("status", "unsafe", "portal", timeoutMs=14000), *routes[1:]]
    deployment.log("configuration:", len(store.items["op/config"]["value"]) * 3 // 4)
    for number, zone in enumerate(("hall-a", "hall-a", "hall-b", "hall-b"), 1):
        await deployment.add_replica(f"i-{number}", "portal", zone, slots=6)
    deployment.add_machines({"hall-a": ["front-1"], "hall-b": ["front-2"]})
    await asyncio.sleep(LAG_S + 0.5)
    await deployment.start_machines()
    await asyncio.sleep(CONTACT_S + 1.0)

    sent = {}
    traffic = [
        asyncio.ensure_future(send_requests(deployment, name, sent))
        for name in deployment.machines
    ]
    await asyncio.sleep(1.0)
    if deployment.trouble:
        await deployment.stop_planned("front-1")
    store.put("op/evacuate/hall-b", {})
    acknowledged_s = deployment.now_s()
    deployment.log("operator: evacuation of hall-b acknowledged")
    await asyncio.sleep(0.2)
    store.put("op/config", config(4, changed, ["portal"]))
    deployment.log("operator: configuration 4 acknowledged")
    await asyncio.sleep(0.3)
    if deployment.trouble:
        await deployment.start_machine("front-1")
        await deployment.wait_ready("front-1")
    await asyncio.sleep(EVACUATE_S + CONTACT_S + 4.0)
    for task in traffic:
        task.cancel()
    return judge(deployment, sent, acknowledged_s)


async def send_requests(deployment, name, sent):
    """Send requests to one machine at a steady rate."""
    number = 0
    tasks = set()
    while True:
        number += 1
        task = asyncio.ensure_future(send(deployment, name, f"{name}-{number}", sent))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def send(deployment, name, key, sent):
    """Send one request, and note when and what came back."""
    sent_s, status = deployment.now_s(), 0
    try:
        async with asyncio.timeout(4.0):
            headers = {"X-Deadline-Ms": "4000"}
            answer, writer = await deployment.call(name, "/status/1", key, headers)
            await answer.body()
            status = answer.status
            writer.close()
    except (OSError, EOFError, TimeoutError):
        pass
    sent[key] = (name, sent_s, status)
    deployment.log("client", key, "got", status)


def judge(deployment, sent, acknowledged_s):
    """Apply the rule EVAC to what the replicas of the zone got."""
    start_s = deployment.started_s
    late = {}
    for replica in deployment.replicas.values():
        for key, loop_s in replica.arrivals:
            at_s = loop_s - start_s
            if replica.zone != "hall-b" or at_s <= acknowledged_s + EVACUATE_S:
                continue
            name = key.rpartition("-")[0]
            machine = deployment.machines[name]
            spans = [*machine.spans, (machine.started_s, machine.started_s)]
            if all(not a <= at_s < b + CONTACT_S for a, b in spans):
                late[name] = late.get(name, 0) + 1
    broken = bool(late)
    text = (
        f"requests sent: {len(sent)}; requests that reached the evacuated zone later "
        f"than evacuateMs, from machines in touch: {late or 0}; "
        f"EVAC is {'broken' if broken else 'kept'}"
    )
    return broken, text


if __name__ == "__main__":
    main(run, {"hall-a": "east", "hall-b": "east"}, __file__)
