"""A replica sends bytes without end, and requests to another service wait."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.rig2.deployment import Deployment, config, main, route

BYTES = b"0\r\n\r\n"
"""What the faulty replica repeats after the head of its answers."""

STREAMS = 30
"""Streams that begin within three seconds; about a third at the faulty replica."""

TIMEOUT_S = 2.0
"""`timeoutMs` of the route of the other service; clients wait for 4 s."""

CALLS = 60
CALL_GAP_S = 0.1


async def run(deployment: Deployment):
    """Play the case; return whether the rule was broken, and a text."""
    routes = [
        route("chat", "streaming", "llm", maxAttempts=2, resumable=True),
        route("reserve", "unsafe", "portal", timeoutMs=int(1000 * TIMEOUT_S)),
    ]
    deployment.store.put("op/config", config(1, routes, ["llm", "portal"]))
    for number in (1, 2, 3):
        name = f"i-llm-{number}"
        await deployment.add_replica(name, "llm", "hall-a", events=40, gap_s=0.1)
        await deployment.add_replica(f"i-portal-{number}", "portal", "hall-a", slots=6)
    if deployment.trouble:
        replica = deployment.replicas["i-llm-1"]
        replica.stream = lambda *values: send_without_end(deployment, *values)
    deployment.add_machines({"hall-a": ["front-1"]})
    await deployment.start_machines()
    await asyncio.sleep(6.0)

    streams = asyncio.ensure_future(begin_streams(deployment))
    await asyncio.sleep(3.0)
    calls = []
    results = []
    for number in range(CALLS):
        calls.append(asyncio.ensure_future(call(deployment, f"p{number}", results)))
        await asyncio.sleep(CALL_GAP_S)
    await asyncio.gather(*calls)
    streams.cancel()
    await asyncio.gather(streams, return_exceptions=True)
    return judge(deployment, results)


async def send_without_end(deployment, request, writer, head):
    """Write a head, and bytes that are no answer until the caller closes."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in head.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    block = BYTES * (65536 // len(BYTES))
    deployment.log("server", "begins to send bytes without end")
    while True:
        writer.write(block)
        await writer.drain()


async def begin_streams(deployment):
    """Begin streams and read them until their time limit."""
    tasks = []
    try:
        for number in range(STREAMS):
            tasks.append(asyncio.ensure_future(read_stream(deployment, f"s{number}")))
            await asyncio.sleep(3.0 / STREAMS)
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


async def read_stream(deployment, key):
    """Read one stream to its end, or for 15 s."""
    size = 0
    try:
        async with asyncio.timeout(15.0):
            headers = {"X-Deadline-Ms": "15000"}
            answer, writer = await deployment.call("front-1", "/chat/1", key, headers)
            try:
                async for piece in answer.pieces():
                    size += len(piece)
            finally:
                writer.close()
        deployment.log("client", key, "has its stream", answer.status)
    except (OSError, EOFError, TimeoutError) as error:
        deployment.log("client", key, type(error).__name__, "after", size, "bytes")


async def call(deployment, key, results):
    """Send one request to the other service; note when its answer came."""
    sent_s, status = deployment.now_s(), 0
    try:
        async with asyncio.timeout(4.0):
            headers = {"X-Deadline-Ms": "4000"}
            answer, writer = await deployment.call(
                "front-1", "/reserve/1", key, headers
            )
            await answer.body()
            writer.close()
            status = answer.status
    except (OSError, EOFError, TimeoutError):
        pass
    took_s = deployment.now_s() - sent_s
    results.append((took_s, status))
    deployment.log("client", key, f"got {status} after {took_s:.2f} s")


def judge(deployment, results):
    """Apply the rule CONFIG to the requests to the other service."""
    open_then = [item for item in results if item[0] > TIMEOUT_S]
    late = [item for item in open_then if not item[1] or item[0] > TIMEOUT_S + 0.5]
    served = sum(status == 200 for _, status in results)
    broken = len(open_then) >= 8 and len(late) > len(open_then) / 2
    text = (
        f"requests to the other service: {len(results)}, served: {served}, slowest: "
        f"{max(item[0] for item in results):.1f} s; unanswered at timeoutMs: "
        f"{len(open_then)}, of these 0.5 s later: {len(late)}; "
        f"CONFIG is {'broken' if broken else 'kept'}"
    )
    return broken, text


if __name__ == "__main__":
    main(run, {"hall-a": "east"}, __file__)
