"""Soak of configuration changes: daemons as processes, disturbances in random order.

``python -m bluebellbeam.platform.tests.config_soak --seed 1 --seconds 60`` starts
daemons in three regions in front of a store and servers, changes the configuration all
the time, disturbs daemons, their paths to the store and to each other, and judges each
response by the configurations that may have been in force. The exit code is 1 if any
response violates them.
"""

import argparse
import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web

from bluebellbeam.platform.tests.config_judgement import (
    Bounds,
    Probe,
    RouteSpec,
    Version,
    find_violations,
)
from bluebellbeam.platform.tests.fake_platform import HOST, Replica, Store, config

__all__ = ["DISTURBANCES", "SoakSite", "run_soak"]

ZONES = {"hall-n": "north", "hall-e": "east", "hall-s": "south"}
SERVICES = ("alpha", "beta", "gamma")
LISTENERS = ("callers", "operators", "readiness", "directory")
PROBES_PER_S = 180
"""Requests a second to all daemons together."""

RECENT_VERSIONS = 6
READY_LIMIT_S = 30.0
PROBE_LIMIT_S = 6.0


PORT_RANGE = (10_000, 30_000)
PORTS_PER_SOAK = 1000


class PortRange:
    """Ports below those that the system gives to outgoing connections.

    Soaks that run side by side take them from different parts of `PORT_RANGE`. The
    first port of a part is held as long as it is in use.
    """

    def __init__(self):
        self.lock = None
        self.given = set()

    def take(self):
        """Return a port that is free."""
        if self.lock is None:
            self._hold_part()
        first = self.lock.getsockname()[1] + 1
        for port in range(first, first + PORTS_PER_SOAK - 1):
            if port in self.given:
                continue
            self.given.add(port)
            with socket.socket() as sock, contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                return port
        raise OSError(f"none of {PORTS_PER_SOAK} ports is left")

    def _hold_part(self):
        firsts = list(range(*PORT_RANGE, PORTS_PER_SOAK))
        random.shuffle(firsts)
        for first in firsts:
            sock = socket.socket()
            try:
                sock.bind(("127.0.0.1", first))
            except OSError:
                sock.close()
                continue
            self.lock = sock
            return
        raise OSError("no part of the ports is free")

    def release(self):
        """Let others use the ports."""
        if self.lock is not None:
            self.lock.close()


class SoakStore(Store):
    """Store that each daemon reaches at an address of its own.

    Attributes
    ----------
    faults : dict of str to str
        Fault of the path of a daemon, as for :class:`Store`, or ``reset``.
    delay_s : float
        Time until each response.
    """

    def __init__(self, ports):
        super().__init__()
        self.ports = ports
        self.faults = {}
        self.daemons = {}
        self.delay_s = 0.004
        self.page_size = 500

    async def listen(self, daemon):
        """Return the address of the store for `daemon`."""
        port = self.ports.take()
        await web.TCPSite(self.server.runner, "127.0.0.1", port).start()
        self.daemons[port] = daemon
        return f"127.0.0.1:{port}"

    async def range(self, request):
        return await self._serve(request, super().range)

    async def watch(self, request):
        return await self._serve(request, super().watch)

    async def _serve(self, request, handler):
        port = request.transport.get_extra_info("sockname")[1]
        daemon = self.daemons.get(port, "")
        await asyncio.sleep(self.delay_s)
        if not self.faults.get(daemon):
            response = await handler(request)
            if not self.faults.get(daemon):
                return response
        match self.faults.get(daemon):
            case "silent":
                await asyncio.sleep(30)
            case "reset" if request.transport is not None:
                request.transport.abort()
            case "many":
                return web.Response(status=429)
        return web.Response(status=503)


class PeerProxy:
    """Proxy in front of the peer listener of one daemon.

    Attributes
    ----------
    fault : str
        ``refuse`` closes connections, ``hang`` passes nothing on, ``slow`` delays each
        part by 400 ms; empty for none.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.fault = ""
        self.server = None
        self.tasks = set()

    async def start(self):
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            if self.fault == "refuse":
                return
            onward = await asyncio.open_connection("127.0.0.1", self.target_port)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, onward[1]))
                group.create_task(self._pump(onward[0], writer))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.fault == "refuse":
                    raise ConnectionResetError
                while self.fault == "hang":
                    await asyncio.sleep(0.05)
                if self.fault == "slow":
                    await asyncio.sleep(0.4)
                writer.write(data)
                await writer.drain()
        finally:
            writer.transport.abort()

    def close(self):
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class DaemonProcess:
    """One daemon as a process, restarted after its end."""

    def __init__(self, site, name, zone):
        self.site = site
        self.name = name
        self.zone = zone
        self.ports = {listener: site.ports.take() for listener in LISTENERS}
        self.peer_port = site.ports.take()
        self.proxy = PeerProxy(self.peer_port)
        self.process = None
        self.starts = 0
        self.is_signalled = False
        self.disturbed_until_s = 0.0
        self.store_address = ""
        self.peer_address = ""

    async def prepare(self):
        """Open the paths of the daemon."""
        self.peer_address = await self.proxy.start()
        self.store_address = await self.site.store.listen(self.name)

    def write_settings(self, seeds):
        """Write the settings file."""
        at = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        settings = {
            "vm": self.name,
            "region": ZONES[self.zone],
            "failure_domain": self.zone,
            "site": self.zone,
            "caller_address": at["callers"],
            "peer_address": self.peer_address,
            "operator_address": at["operators"],
            "seed_peers": seeds,
            "store": {
                "address": self.store_address,
                "domains": ZONES,
                "readiness_address": at["readiness"],
                "directory_address": at["directory"],
                "retry_slack": 56.0,
                "retry_share": 0.2,
                "grace_s": 8,
            },
        }
        self.path.write_text(json.dumps(settings))

    @property
    def path(self):
        """Path of the settings file."""
        return self.site.folder / f"{self.name}.json"

    @property
    def lifetime(self):
        """Name of the daemon and number of its starts."""
        return f"{self.name}/{self.starts}"

    async def start(self):
        """Start the process."""
        self.starts += 1
        words = [sys.executable, "-m", "bluebellbeam.platform.tests.soak_daemon"]
        words += [str(self.path), f"127.0.0.1:{self.peer_port}"]
        with (self.site.folder / f"{self.name}-{self.starts}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, stdout=log, stderr=log
            )

    def disturb(self, until_s):
        """Note that the daemon is disturbed until a time."""
        self.disturbed_until_s = max(self.disturbed_until_s, until_s)

    def is_bound(self, at_s):
        """Return whether the daemon has been undisturbed for long enough."""
        return at_s - self.disturbed_until_s >= self.site.bounds.contact_s

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def end(self):
        """End the process and close its paths."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
        self.proxy.close()


class SoakSite:
    """Daemons, servers, a store, and what was seen of them.

    Attributes
    ----------
    rng : random.Random
    folder : Path
        Where settings and logs are kept.
    versions : list of Version
    probes : list of Probe
    notes : list of (float, str)
        Disturbances by time.
    is_operator_away : bool
        Whether the configuration is not changed for the moment.
    """

    def __init__(self, seed, folder, daemons_per_zone):
        self.rng = random.Random(seed)
        self.folder = Path(folder)
        self.bounds = Bounds()
        self.ports = PortRange()
        self.store = SoakStore(self.ports)
        self.replicas = {}
        self.daemons = {}
        self.daemons_per_zone = daemons_per_zone
        self.versions = []
        self.probes = []
        self.notes = []
        self.tasks = set()
        self.session = None
        self.is_operator_away = False
        self.begin_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the soak."""
        return time.monotonic() - self.begin_s

    def note(self, text):
        """Record a disturbance."""
        self.notes.append((self.now_s(), text))

    async def start(self):
        """Start the store, servers and daemons, and wait until all are ready."""
        await self.store.server.start()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        for zone in ZONES:
            for service in SERVICES:
                for number in (1, 2):
                    name = f"{service}-{zone}-{number}"
                    replica = await Replica(name).start()
                    self.replicas[name] = (replica, service, ZONES[zone])
                    entry = replica.entry(service, zone, slots=64)
                    self.store.put(f"servers/{name}", entry)
        routes = {f"/first{i}/": self.draw_route() for i in range(6)}
        self._publish(routes)
        for zone in ZONES:
            for number in range(self.daemons_per_zone):
                name = f"{zone}-{number + 1}"
                self.daemons[name] = DaemonProcess(self, name, zone)
        for daemon in self.daemons.values():
            await daemon.prepare()
        seeds = [d.peer_address for d in self.daemons.values()]
        self.seeds = seeds[:: max(1, self.daemons_per_zone)][:3]
        for daemon in self.daemons.values():
            daemon.write_settings(self.seeds)
            await daemon.start()
        for daemon in self.daemons.values():
            await self.wait_ready(daemon)
            daemon.disturb(self.now_s())

    async def wait_ready(self, daemon):
        """Wait until the readiness check of a daemon succeeds."""
        url = f"http://127.0.0.1:{daemon.ports['readiness']}/readiness"
        async with asyncio.timeout(READY_LIMIT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    limit = aiohttp.ClientTimeout(total=1.0)
                    async with self.session.get(url, timeout=limit) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.05)

    async def stop(self):
        """End all processes and tasks."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for daemon in self.daemons.values():
            daemon.end()
        for daemon in self.daemons.values():
            if daemon.process is not None:
                await daemon.process.wait()
        for replica, _, _ in self.replicas.values():
            replica.stop()
        await self.session.close()
        await self.store.server.stop()
        self.ports.release()

    def spawn(self, coroutine):
        """Run a coroutine beside the others."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # The operator.

    def draw_route(self):
        """Return a random route."""
        count = self.rng.choice((1, 1, 1, 2))
        services = frozenset(self.rng.sample(SERVICES, count))
        homes = self.rng.choice((0, 0, 1, 1, 2))
        regions = frozenset(self.rng.sample(sorted(ZONES.values()), homes))
        return RouteSpec(services, regions, self.rng.choice((1.0, 2.0, 3.0)))

    def _publish(self, routes):
        number = (self.versions[-1].number if self.versions else 0) + self.rng.choice(
            (1, 1, 3, 10)
        )
        made = [_encode_route(prefix, route) for prefix, route in routes.items()]
        document = config(version=number, routes=made)
        document["services"] += [
            {"name": name, "healthPath": "/health", "maxConnections": 370}
            for name in SERVICES
        ]
        self.store.put("op/config", document)
        self.versions.append(Version(number, self.now_s(), routes))

    def change_configuration(self):
        """Publish the next version, in which one or two routes differ."""
        if self.is_operator_away:
            return
        routes = dict(self.versions[-1].routes)
        for _ in range(self.rng.choice((1, 1, 2))):
            match self.rng.choice(("add", "add", "drop", "move", "home")):
                case "add":
                    prefix = f"/added{len(self.versions)}x{self.rng.randrange(99)}/"
                    routes[prefix] = self.draw_route()
                case "drop" if len(routes) > 4:
                    del routes[self.rng.choice(sorted(routes))]
                case _:
                    routes[self.rng.choice(sorted(routes))] = self.draw_route()
        self._publish(routes)

    async def operate(self, until_s):
        """Change the configuration again and again."""
        while self.now_s() < until_s:
            await asyncio.sleep(self.rng.choice((0.2, 0.5, 1.0, 2.0, 3.5)))
            self.change_configuration()

    # The clients.

    async def send_probes(self, daemon, until_s):
        """Ask one daemon for routes of the last versions."""
        rng = random.Random(f"{daemon.name}{self.rng.random()}")
        number = 0
        while self.now_s() < until_s:
            await asyncio.sleep(
                rng.uniform(0.5, 1.5) * len(self.daemons) / PROBES_PER_S
            )
            number += 1
            known = set()
            for version in self.versions[-RECENT_VERSIONS:]:
                known.update(version.routes)
            known.add("/never/")
            prefix = rng.choice(sorted(known))
            key = f"{daemon.name}.{daemon.starts}.{number}"
            self.spawn(self._send_probe(daemon, key, prefix))

    async def _send_probe(self, daemon, key, prefix):
        probe = Probe(key, daemon.lifetime, prefix, self.now_s())
        url = f"http://127.0.0.1:{daemon.ports['callers']}{prefix}1"
        headers = {"Host": HOST, "X-Attempt-Id": key, "X-Deadline-Ms": "5000"}
        limit = aiohttp.ClientTimeout(total=PROBE_LIMIT_S)
        try:
            async with self.session.post(
                url, headers=headers, data=b"{}", timeout=limit
            ) as response:
                await response.read()
                probe.status = response.status
                probe.is_own = "X-Response-Stamp" not in response.headers
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        probe.ended_s = self.now_s()
        probe.is_bound = (
            daemon.is_bound(probe.sent_s)
            and daemon.is_bound(probe.ended_s)
            and daemon.lifetime == probe.daemon
        )
        self.probes.append(probe)

    def collect_runs(self):
        """Add to each probe where it ran."""
        offset_s = asyncio.get_running_loop().time() - self.now_s()
        runs = {}
        for replica, service, region in self.replicas.values():
            pairs = zip(replica.runs, replica.runs_s, strict=True)
            for (key, _), at_s in pairs:
                runs.setdefault(key, []).append((at_s - offset_s, service, region))
        for probe in self.probes:
            probe.runs = tuple(sorted(runs.get(probe.key, ())))


def _encode_route(prefix, route):
    made = {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "safe",
        "maxAttempts": 2,
        "timeoutMs": int(route.timeout_s * 1000),
        "targetLatencyMs": 900,
        "priority": 1,
        "homeRegions": sorted(route.home_regions),
    }
    names = sorted(route.services)
    if len(names) == 1:
        return made | {"service": names[0]}
    return made | {
        "weightedServices": [{"service": name, "weight": 50} for name in names]
    }


# Disturbances. Each lasts for a time, and marks the daemons that it concerns.


async def _break_store_path(site, how, length_s, daemons):
    for daemon in daemons:
        site.store.faults[daemon.name] = how
    try:
        await _hold(site, length_s, daemons)
    finally:
        for daemon in daemons:
            site.store.faults.pop(daemon.name, None)


async def _break_peer_path(site, how, length_s, daemons):
    for daemon in daemons:
        daemon.proxy.fault = how
    try:
        await _hold(site, length_s, daemons)
    finally:
        for daemon in daemons:
            daemon.proxy.fault = ""


async def _hold(site, length_s, daemons):
    end_s = site.now_s() + length_s
    while site.now_s() < end_s:
        for daemon in daemons:
            daemon.disturb(site.now_s() + 0.2)
        await asyncio.sleep(0.1)


async def _freeze(site, how, length_s, daemons):
    for daemon in daemons:
        daemon.send_signal(signal.SIGSTOP)
    try:
        await _hold(site, length_s, daemons)
    finally:
        for daemon in daemons:
            daemon.send_signal(signal.SIGCONT)


async def _restart(site, how, length_s, daemons):
    number = signal.SIGTERM if how == "term" else signal.SIGKILL
    for daemon in daemons:
        daemon.send_signal(signal.SIGCONT)
        daemon.send_signal(number)
    waits = [asyncio.ensure_future(daemon.process.wait()) for daemon in daemons]
    while not all(wait.done() for wait in waits):
        await _hold(site, 0.1, daemons)
    await _hold(site, length_s / 8, daemons)
    for daemon in daemons:
        daemon.disturb(site.now_s())
        await daemon.start()
    while True:
        await _hold(site, 0.2, daemons)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                for daemon in daemons:
                    await site.wait_ready(daemon)
                return


async def _reload(site, how, length_s, daemons):
    for daemon in daemons:
        if how == "move":
            daemon.store_address = await site.store.listen(daemon.name)
        elif how == "partial":
            daemon.path.write_text('{"vm": "')
            daemon.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
        daemon.write_settings(site.seeds)
        daemon.send_signal(signal.SIGHUP)


async def _compact(site, how, length_s, daemons):
    site.store.compacted = True
    site.store.changed.set()
    site.store.changed = asyncio.Event()


async def _restore(site, how, length_s, daemons):
    """Restore the store from a copy; what was written since is then written again."""
    site.store.keep_copy()
    await asyncio.sleep(min(length_s, 3.0))
    site.is_operator_away = True
    written = dict(site.store.items)
    site.store.restore()
    await _hold(site, 0.7, list(site.daemons.values()))
    for key, item in written.items():
        if site.store.items.get(key, {}).get("value") != item["value"]:
            site.store.put(key, base64.b64decode(item["value"]))
    await _hold(site, 0.1, list(site.daemons.values()))
    site.is_operator_away = False


async def _slow_store(site, how, length_s, daemons):
    site.store.delay_s = 0.25
    try:
        await asyncio.sleep(length_s)
    finally:
        site.store.delay_s = 0.004


async def _storm(site, how, length_s, daemons):
    end_s = site.now_s() + min(length_s, 4.0)
    while site.now_s() < end_s:
        site.change_configuration()
        await asyncio.sleep(0.15)


async def _write_beside(site, how, length_s, daemons):
    """Write entries that no decoder expects, as another program might."""
    values = {
        "bytes": b"\xff\xfe\x00",
        "nested": b"[" * 100_000 + b"]" * 100_000,
        "huge": b'{"service": "alpha", "address": "127.0.0.1:9", "zone": "hall-n", '
        b'"state": "ready", "slots": 4, "version": "v1", "warmupLeftMs": 1e300}',
    }
    for prefix in ("servers/", "other/"):
        site.store.put(f"{prefix}odd-{how}", values[how])


async def _publish_invalid(site, how, length_s, daemons):
    """Publish a configuration with a fault; the last valid one stays in force.

    The next valid one may have the same version number as the invalid one, or a lower
    one.
    """
    if site.is_operator_away:
        return
    last = site.versions[-1]
    made = [_encode_route(prefix, route) for prefix, route in last.routes.items()]
    step = site.rng.choice((1, 1, 2, 1000))
    document = config(version=last.number + step, routes=made[1:])
    document["services"] += [{"name": name} for name in SERVICES]
    wrong = _encode_route("/invalid/", site.draw_route())
    match site.rng.choice(("service", "prefix", "timeout", "repeated", "type", "home")):
        case "service":
            wrong |= {"service": "nobody", "weightedServices": []}
        case "prefix":
            wrong |= {"pathPrefix": "invalid"}
        case "timeout":
            wrong |= {"timeoutMs": -5}
        case "repeated":
            wrong = made[-1]
        case "type":
            wrong |= {"maxAttempts": "two"}
        case "home":
            wrong |= {"homeRegions": ["nowhere"]}
    document["routes"].append(wrong)
    site.store.put("op/config", document)


async def _hang_servers(site, how, length_s, daemons):
    """Let servers give no response, so that requests reach their timeout."""
    names = site.rng.sample(sorted(site.replicas), 4)
    for name in names:
        site.replicas[name][0].behaviours = ["hang"] * 50
    await asyncio.sleep(length_s)
    for name in names:
        site.replicas[name][0].behaviours = []


async def _grow(site, how, length_s, daemons):
    routes = dict(site.versions[-1].routes)
    if site.is_operator_away:
        return
    for i in range(600):
        routes[f"/big{len(site.versions)}x{i}/"] = site.draw_route()
    site._publish(routes)
    await asyncio.sleep(length_s)
    while site.is_operator_away:
        await asyncio.sleep(0.1)
    routes = {p: r for p, r in site.versions[-1].routes.items() if "/big" not in p}
    site._publish(routes)


DISTURBANCES = {
    "store busy": (_break_store_path, "busy"),
    "store many": (_break_store_path, "many"),
    "store silent": (_break_store_path, "silent"),
    "store reset": (_break_store_path, "reset"),
    "peers refused": (_break_peer_path, "refuse"),
    "peers hang": (_break_peer_path, "hang"),
    "peers slow": (_break_peer_path, "slow"),
    "freeze": (_freeze, ""),
    "kill": (_restart, "kill"),
    "term": (_restart, "term"),
    "reload": (_reload, ""),
    "moved store": (_reload, "move"),
    "partial settings": (_reload, "partial"),
    "compact": (_compact, ""),
    "slow store": (_slow_store, ""),
    "restore": (_restore, ""),
    "storm": (_storm, ""),
    "odd bytes": (_write_beside, "bytes"),
    "odd huge": (_write_beside, "huge"),
    "odd nested": (_write_beside, "nested"),
    "many routes": (_grow, ""),
    "invalid": (_publish_invalid, ""),
    "servers hang": (_hang_servers, ""),
    "herd": (_restart, "herd"),
}
"""Function of each kind of disturbance, and its variant."""


SIGNALLING = (_restart, _freeze)
"""Disturbances of which a daemon is in one at a time."""


async def _disturb(site, kinds, until_s):
    """Start disturbances one after the other; they may overlap."""
    while site.now_s() < until_s:
        await asyncio.sleep(site.rng.uniform(0.3, 2.5))
        kind = site.rng.choice(kinds)
        function, how = DISTURBANCES[kind]
        length_s = site.rng.choice((1.0, 3.0, 6.0, 9.0))
        names = sorted(site.daemons)
        count = site.rng.choice((1, 1, 2, max(1, len(names) // 2)))
        chosen = [site.daemons[name] for name in site.rng.sample(names, count)]
        if how == "herd":
            chosen = list(site.daemons.values())
        if function in SIGNALLING:
            chosen = [daemon for daemon in chosen if not daemon.is_signalled]
        if not chosen:
            continue
        who = ", ".join(d.name for d in chosen)
        site.note(f"{kind} for {length_s} s at {who}")
        site.spawn(_run_one(site, function, how, length_s, chosen))


async def _run_one(site, function, how, length_s, chosen):
    if function not in SIGNALLING:
        await function(site, how, length_s, chosen)
        return
    for daemon in chosen:
        daemon.is_signalled = True
    try:
        await function(site, how, length_s, chosen)
    finally:
        for daemon in chosen:
            daemon.is_signalled = False


async def run_soak(seed, seconds, folder, kinds=(), daemons_per_zone=2):
    """Run one soak; return the site and its violations.

    Parameters
    ----------
    seed : int
    seconds : float
        Time for which the configuration changes.
    folder : str
        Where settings and logs are kept.
    kinds : tuple of str
        Keys of `DISTURBANCES`; by default all.
    daemons_per_zone : int
    """
    site = SoakSite(seed, folder, daemons_per_zone)
    try:
        await site.start()
        until_s = site.now_s() + seconds
        tasks = [site.spawn(site.operate(until_s))]
        if kinds != ("none",):
            chosen = kinds or tuple(DISTURBANCES)
            tasks.append(site.spawn(_disturb(site, chosen, until_s - 8.0)))
        for daemon in site.daemons.values():
            tasks.append(site.spawn(site.send_probes(daemon, until_s)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(PROBE_LIMIT_S)
        site.collect_runs()
        return site, find_violations(site.versions, site.probes, site.bounds)
    finally:
        await site.stop()


@contextlib.contextmanager
def busy_processes(count):
    """Run `count` processes beside the daemons that use all the time they get."""
    words = [sys.executable, "-c", "while True: pass"]
    processes = [subprocess.Popen(words) for _ in range(count)]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


def main():
    """Run a soak, print what was found and exit with 1 if there is a violation."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--kinds", default="", help="comma-separated; none for calm")
    parser.add_argument("--daemons", type=int, default=2, help="in each zone")
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside")
    parser.add_argument("--logs", help="folder in which the logs are kept")
    options = parser.parse_args()
    kinds = tuple(filter(None, options.kinds.split(",")))
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        if options.logs:
            folder = options.logs
            os.makedirs(folder, exist_ok=True)
        with busy_processes(options.busy):
            site, found = asyncio.run(
                run_soak(options.seed, options.seconds, folder, kinds, options.daemons)
            )
    statuses = {}
    for probe in site.probes:
        key = f"{probe.status}{' own' if probe.is_own else ''}"
        statuses[key] = statuses.get(key, 0) + 1
    if found:
        for at_s, text in site.notes:
            print(f"{at_s:8.2f} {text}")
        for version in site.versions:
            print(f"{version.acknowledged_s:8.2f} version {version.number}")
    for text in found[:60]:
        print(text)
    bound = sum(probe.is_bound for probe in site.probes)
    print(
        f"seed {options.seed}: {len(site.versions)} versions, {len(site.probes)} "
        f"probes, {bound} of them at undisturbed daemons, {statuses}"
    )
    print(f"{len(found)} violations")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
