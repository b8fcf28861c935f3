"""A rolling restart of all machines: who can take up the streams that it cuts."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.rig2.deployment import BOUNDS, Deployment, config, main, route
from review.rig2.streams import StreamClients

MACHINES = {
    "hall-a": ["front-1", "front-2"],
    "hall-b": ["front-3", "front-4"],
    "hall-c": ["front-5", "front-6"],
}

GAP_S = 1.4
"""Time between the stops of two machines; the site file has 1.0 to 2.0 s."""

RUN_S = 34.0
"""Time for which the machines have run before the first is stopped."""

STREAMS_PER_S = 16
"""New streams; each lasts 14 s (70 events with pauses of 200 ms)."""

CONTACT_S = BOUNDS["contactMs"] / 1000.0


async def run(deployment: Deployment):
    """Play the case; return whether the rule was broken, and a text."""
    routes = [route("chat", "streaming", "llm", maxAttempts=2, resumable=True)]
    deployment.store.put("op/config", config(1, routes, ["llm"]))
    for number in (1, 2, 3, 4):
        name = f"i-llm-{number}"
        await deployment.add_replica(name, "llm", "hall-a", events=70, gap_s=0.2)
    deployment.add_machines(MACHINES)
    await deployment.start_machines()
    await asyncio.sleep(RUN_S)

    clients = StreamClients(deployment, "/chat/1", limit_s=16.0)
    traffic = asyncio.ensure_future(begin_streams(clients))
    await asyncio.sleep(1.0)
    if deployment.trouble:
        tasks = []
        for name in deployment.machines:
            tasks.append(asyncio.ensure_future(restart(deployment, name)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)
    else:
        await asyncio.sleep(20.0)
    await asyncio.sleep(2.0)
    traffic.cancel()
    await asyncio.gather(*clients.tasks, return_exceptions=True)
    return judge(deployment, clients)


async def restart(deployment, name):
    """Stop a machine as planned, and start it again."""
    await deployment.stop_planned(name)
    await asyncio.sleep(0.3)
    await deployment.start_machine(name)
    await deployment.wait_ready(name)


async def begin_streams(clients):
    """Begin new streams at a steady rate."""
    number = 0
    while True:
        number += 1
        clients.start(f"s{number}")
        await asyncio.sleep(1.0 / STREAMS_PER_S)


def judge(deployment, clients):
    """Apply the rule LOST of addition 3 to what clients saw."""
    taken = [item for item in clients.taken if in_touch(deployment, item[1], item[0])]
    first = {}
    for item in taken:
        goes_on = first.get(item[2], False)
        first[item[2]] = goes_on or item[4]
    begun = [item for item in clients.begun if in_touch(deployment, item[1], item[0])]
    count = len(first)
    share = sum(first.values()) / count if count else 1.0
    new = sum(item[2] == 200 for item in begun) / len(begun) if begun else 0.0
    broken = count >= 12 and share < 0.5 * new
    text = (
        f"streams taken up at machines in touch: {count}, go on: {share:.2f}; "
        f"new streams there: {len(begun)}, begin: {new:.2f}; "
        f"LOST is {'broken' if broken else 'kept'}"
    )
    return broken, text


def in_touch(deployment, name, at_s):
    """Return whether a machine was in touch: no start and no SIGTERM lately."""
    machine = deployment.machines[name]
    spans = [*machine.spans, (machine.started_s, machine.started_s)]
    return all(not start <= at_s < end + CONTACT_S for start, end in spans)


if __name__ == "__main__":
    main(run, dict.fromkeys(MACHINES, "east"), __file__)
