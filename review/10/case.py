"""Streams begin while the store is down; after it is back their machine restarts."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.rig2.deployment import BOUNDS, Deployment, config, main, route
from review.rig2.streams import StreamClients

OUTAGE_S = 6.0
"""Time for which the store turns every call away; the site file has up to 8 s."""

STREAMS = 60
CONTACT_S = BOUNDS["contactMs"] / 1000.0


async def run(deployment: Deployment):
    """Play the case; return whether the rule was broken, and a text."""
    routes = [route("chat", "streaming", "llm", maxAttempts=2, resumable=True)]
    deployment.store.put("op/config", config(1, routes, ["llm"]))
    for number in (1, 2, 3):
        name = f"i-llm-{number}"
        await deployment.add_replica(name, "llm", "hall-a", events=70, gap_s=0.2)
    deployment.add_machines({"hall-a": ["front-1"], "hall-b": ["front-2"]})
    await deployment.start_machines()
    await asyncio.sleep(32.0)

    clients = StreamClients(deployment, "/chat/1", limit_s=16.0)
    began_s = deployment.now_s()
    if deployment.trouble:
        deployment.log("store: down")
        deployment.store.set_down(True)
    await deployment.until(began_s + OUTAGE_S - 1.5)
    for number in range(STREAMS):
        clients.start(f"s{number}")
        await asyncio.sleep(1.0 / STREAMS)
    await deployment.until(began_s + OUTAGE_S)
    deployment.log("store: up")
    deployment.store.set_down(False)
    back_s = deployment.now_s()
    await deployment.until(back_s + 1.0)
    stop = asyncio.ensure_future(deployment.stop_planned("front-1"))
    await deployment.until(back_s + CONTACT_S + 2.0)
    for number in range(20):
        clients.start(f"t{number}", "front-2")
        await asyncio.sleep(0.05)
    await stop
    await asyncio.gather(*clients.tasks, return_exceptions=True)
    return judge(clients, back_s)


def judge(clients, back_s):
    """Apply the rule LOST of addition 3 to what clients saw at the other machine."""
    in_touch_s = back_s + CONTACT_S
    first = {}
    for at_s, name, key, _, goes_on in clients.taken:
        if at_s >= in_touch_s and name == "front-2":
            first[key] = first.get(key, False) or goes_on
    begun = [i for i in clients.begun if i[0] >= in_touch_s and i[1] == "front-2"]
    count = len(first)
    share = sum(first.values()) / count if count else 1.0
    new = sum(item[2] == 200 for item in begun) / len(begun) if begun else 0.0
    broken = count >= 12 and share < 0.5 * new
    text = (
        f"streams taken up at the machine in touch: {count}, go on: {share:.2f}; "
        f"new streams there: {len(begun)}, begin: {new:.2f}; "
        f"LOST is {'broken' if broken else 'kept'}"
    )
    return broken, text


if __name__ == "__main__":
    main(run, {"hall-a": "east", "hall-b": "east"}, __file__)
