"""Processor time and memory of one daemon: its start and its relayed events.

The daemon is a process of its own behind a stand-in of the platform's store. Run with
``python -m benchmarks.daemon_cost``; the results are printed as a table.
"""

import asyncio
import os
import resource
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import click
import msgspec
import uvloop
from msgspec import Struct

from bluebellbeam.daemon.listener import bind_address, bound_address
from bluebellbeam.platform.tests.fake_platform import HOST, Replica, Store, config

__all__ = ["DaemonCost", "measure_daemon"]

LISTENERS = ("caller", "peer", "operator", "readiness", "directory")
START_TIMEOUT_S = 30.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class DaemonCost(Struct, frozen=True):
    """What one daemon process used.

    Parameters
    ----------
    ready_s : float
        Time from the start of the process until it reported ready.
    start_cpu_s : float
        Processor time used until then.
    start_rss_mb : float
        Resident memory at that time.
    request_cpu_ms : float
        Processor time of one request with a plain response.
    event_cpu_us : float
        Processor time of one relayed event of a stream, including the share of its
        request.
    """

    ready_s: float
    start_cpu_s: float
    start_rss_mb: float
    request_cpu_ms: float
    event_cpu_us: float


async def measure_daemon(request_count, stream_count, events, pause_ms):
    """Start a daemon, send requests to it and return its :class:`DaemonCost`.

    Parameters
    ----------
    request_count : int
        Number of requests with a plain response.
    stream_count, events : int
        Number of streams, and of events of each.
    pause_ms : int
        Time between two events of a stream.
    """
    store = Store()
    await store.server.start()
    replicas = [await Replica(f"llm-{number}", events).start() for number in range(2)]
    replicas += [await Replica(f"portal-{number}").start() for number in range(2)]
    for replica in replicas:
        replica.pause_ms = pause_ms
        service = replica.name.partition("-")[0]
        entry = replica.entry(service, "hall-e", born=1, slots=64)
        store.put(f"servers/{replica.name}", entry)
    store.put("op/config", config())
    settings = _make_settings(store)
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.json")
            path.write_bytes(msgspec.json.encode(settings))
            return await _measure(path, settings, (request_count, stream_count, events))
    finally:
        for replica in replicas:
            replica.stop()
        await store.server.stop()


def _make_settings(store):
    """Return the settings of a daemon on free ports of the loopback interface."""
    sockets = [bind_address("127.0.0.1:0") for _ in LISTENERS]
    addresses = dict(zip(LISTENERS, map(bound_address, sockets), strict=True))
    for sock in sockets:
        sock.close()
    return {
        "vm": "vm-1",
        "region": "east",
        "failure_domain": "hall-e",
        "site": "hall-e",
        "caller_address": addresses["caller"],
        "peer_address": addresses["peer"],
        "operator_address": addresses["operator"],
        "seed_peers": [],
        "store": {
            "address": store.server.address,
            "domains": {"hall-e": "east"},
            "readiness_address": addresses["readiness"],
            "directory_address": addresses["directory"],
        },
    }


async def _measure(path, settings, counts):
    request_count, stream_count, events = counts
    started_s = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "bluebellbeam", "serve", str(path)),
        *("--log-format", "json"),
        stdout=asyncio.subprocess.DEVNULL,
        env=_environment(),
    )
    caller = settings["caller_address"]
    try:
        async with aiohttp.ClientSession() as session:
            await _wait_ready(session, settings["store"]["readiness_address"])
            ready_s = time.monotonic() - started_s
            start_cpu_s = _cpu_s(process.pid)
            rss_mb = _rss_mb(process.pid)
            await _send_requests(session, caller, "safe", request_count)
            request_cpu_s = _cpu_s(process.pid) - start_cpu_s
            await _send_requests(session, caller, "chat", stream_count)
            event_cpu_s = _cpu_s(process.pid) - start_cpu_s - request_cpu_s
    finally:
        process.terminate()
        await process.wait()
    return DaemonCost(
        ready_s,
        start_cpu_s,
        rss_mb,
        1000.0 * request_cpu_s / request_count,
        1e6 * event_cpu_s / (stream_count * events),
    )


def _environment():
    """Return the environment of the daemon; its bytecode is cached, as on a VM."""
    name = "PYTHONDONTWRITEBYTECODE"
    return {key: value for key, value in os.environ.items() if key != name}


async def _wait_ready(session, address):
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                async with session.get(f"http://{address}/readiness") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                # The daemon does not listen yet.
                pass
            await asyncio.sleep(0.02)


async def _send_requests(session, address, route, count):
    """Send `count` requests, up to 16 at a time, and check that each is answered."""
    numbers = iter(range(count))

    async def send():
        for number in numbers:
            headers = {
                "Host": HOST,
                "X-Attempt-Id": f"{route}{number}",
                "X-Deadline-Ms": "20000",
            }
            url = f"http://{address}/{route}/{number}"
            method = session.get if route == "safe" else session.post
            async with method(url, headers=headers) as response:
                await response.read()
                if response.status != 200:
                    raise RuntimeError(f"{url} returned status {response.status}")

    await asyncio.gather(*(send() for _ in range(16)))


def _cpu_s(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _rss_mb(pid):
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


@click.command()
@click.option("--requests", default=2000, show_default=True)
@click.option("--streams", default=200, show_default=True)
@click.option("--events", default=60, show_default=True)
@click.option("--pause-ms", default=5, show_default=True)
@click.option("--repeat", default=3, show_default=True, help="Daemons to measure.")
def main(requests, streams, events, pause_ms, repeat):
    """Print the cost of each measured daemon."""
    for _ in range(repeat):
        cost = uvloop.run(measure_daemon(requests, streams, events, pause_ms))
        click.echo(
            f"ready after {cost.ready_s:.2f} s with {cost.start_cpu_s:.2f} s of "
            f"processor time and {cost.start_rss_mb:.1f} MB; a request "
            f"{cost.request_cpu_ms:.2f} ms, an event {cost.event_cpu_us:.0f} us"
        )


if __name__ == "__main__":
    main()
