"""A small deployment: the project's daemons as processes, and its stand-ins."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from review.rig2.http1 import MAX_LINE_BYTES, read_answer_head
from review.rig2.replica import start_replica
from review.rig2.store import start_store

__all__ = ["HOST", "Deployment", "main", "route"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"

BOUNDS = {
    "drainMs": 3000,
    "contactMs": 5000,
    "evacuateMs": 5000,
    "configApplyMs": 3000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 52,
}
"""Bounds of a small deployment, from the deploy page."""

READY_TIMEOUT_S = 25.0

KEPT = 0
BROKEN = 10
COULD_NOT_RUN = 2
"""Exit codes of a case; an exception of Python itself exits with 1."""


class Machine:
    """A front machine, its addresses and the process on it.

    Attributes
    ----------
    name, zone, ip : str
    listen : dict of str to str
    process : asyncio.subprocess.Process or None
    started_s : float
        Start of the process, since the start of the script.
    spans : list of (float, float)
        From each signal to a process until the start of the next one.
    """

    def __init__(self, name, zone, ip, listen):
        self.name, self.zone, self.ip, self.listen = name, zone, ip, listen
        self.process = None
        self.started_s = 0.0
        self.spans = []


class Deployment:
    """Daemons, a store and replicas on loopback addresses.

    Attributes
    ----------
    trouble : bool
        Whether the disruption is to happen.
    store : Store
    machines : dict of str to Machine
    replicas : dict of str to Replica
    """

    def __init__(self, folder, zones):
        self.folder = Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zones = zones
        self.record = (self.folder / "record.txt").open("w")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.next_host = 10
        self.machines = {}
        self.replicas = {}
        self.store = None
        self.started_s = None
        self.ports = None

    def log(self, *words):
        """Write a line to the record."""
        at_s = asyncio.get_running_loop().time() - self.started_s
        self.record.write(f"{at_s:8.3f} " + " ".join(str(word) for word in words))
        self.record.write("\n")
        self.record.flush()

    def now_s(self):
        """Return the time since the start of the script."""
        return asyncio.get_running_loop().time() - self.started_s

    async def until(self, at_s):
        """Wait until `at_s` after the start of the script."""
        await asyncio.sleep(max(0.0, at_s - self.now_s()))

    async def start(self):
        """Start the store."""
        self.started_s = asyncio.get_running_loop().time()
        self.store = await start_store(f"{self.net}.2")

    async def add_replica(self, name, service, zone, **values):
        """Start a replica and register it in the store."""
        self.next_host += 1
        host = f"{self.net}.{self.next_host}"
        replica = await start_replica(host, name, service, zone, self.log, **values)
        self.replicas[name] = replica
        self.store.put(f"servers/{name}", replica.entry())
        return replica

    def add_machines(self, names):
        """Add machines, given as names by zone; ports are the same on all."""
        self.ports = self.ports or _free_ports(self.net, 4)
        kinds = ("front", "readiness", "control", "directory")
        for zone, found in names.items():
            for name in found:
                self.next_host += 1
                ip = f"{self.net}.{self.next_host}"
                ports = zip(kinds, self.ports, strict=True)
                listen = {kind: f"{ip}:{port}" for kind, port in ports}
                self.machines[name] = Machine(name, zone, ip, listen)

    async def start_machine(self, name):
        """Start the process of a machine as the deploy file says."""
        machine = self.machines[name]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        path = self.temporary / f"{name}.json"
        path.write_text(_fill(template, [self._settings(machine)]))
        program, *arguments = role["run"].split(" ")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BLUEBELLBEAM_SETTINGS"] = str(path)
        logs = (self.temporary / f"{name}.log").open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            program, *arguments, cwd=ROOT, env=environment, stdout=logs, stderr=logs
        )
        logs.close()
        machine.started_s = self.now_s()
        machine.spans = [
            (start, min(end, machine.started_s)) for start, end in machine.spans
        ]
        self.log("machine", name, "started")

    async def start_machines(self):
        """Start all machines and wait until they are ready."""
        await asyncio.gather(*map(self.start_machine, self.machines))
        await asyncio.gather(*map(self.wait_ready, self.machines))

    async def is_ready(self, name):
        """Return whether the readiness check of a machine gets 200."""
        try:
            async with asyncio.timeout(1.0):
                address = self.machines[name].listen["readiness"]
                answer, writer = await request(address, "GET", "/readiness", {})
                writer.close()
                return answer.status == 200
        except (OSError, TimeoutError, EOFError):
            return False

    async def wait_ready(self, name):
        """Wait until a machine is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready(name):
                await asyncio.sleep(0.1)
        self.log("machine", name, "ready")

    def signal(self, name, number):
        """Send a signal to the process of a machine."""
        self.log("machine", name, "gets", signal.Signals(number).name)
        self.machines[name].spans.append((self.now_s(), float("inf")))
        self.machines[name].process.send_signal(number)

    async def stop_planned(self, name):
        """Stop a machine as the platform does: SIGTERM, and SIGKILL after graceS."""
        process = self.machines[name].process
        self.signal(name, signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS["graceS"]):
                await process.wait()
        except TimeoutError:
            self.signal(name, signal.SIGKILL)
            await process.wait()
        self.log("machine", name, "has ended", process.returncode)

    async def call(self, name, path, key, headers=(), body=b"", method="POST"):
        """Send a client's request to a machine on a new channel.

        Returns
        -------
        tuple of (Answer, asyncio.StreamWriter)
        """
        values = {"Host": HOST, "X-Attempt-Id": key, **dict(headers)}
        address = self.machines[name].listen["front"]
        return await request(address, method, path, values, body)

    async def resolve(self, name, zone):
        """Return the front addresses that the directory of a machine names."""
        address = self.machines[name].listen["directory"]
        target = f"/resolve?name={HOST}&region={self.zones[zone]}&zone={zone}"
        async with asyncio.timeout(1.0):
            answer, writer = await request(address, "GET", target, {})
            body = await answer.body()
        writer.close()
        return json.loads(body)["addresses"] if answer.status == 200 else []

    async def close(self):
        """End every process that was started."""
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()

    def _settings(self, machine):
        """Return the fields of the deploy page for a machine."""
        seeds = [other.listen["control"] for other in self.machines.values()]
        return {
            "nodeName": machine.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": self.zones[machine.zone],
            "zones": self.zones,
            "listen": machine.listen,
            "seeds": seeds[:3],
            "bounds": BOUNDS,
            "platform": {"address": self.store.address, "form": "read"},
        }


def route(name, kind, service, **values):
    """Return a route of the platform's configuration."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 15000,
        "targetLatencyMs": 800,
        "priority": 1,
        "maxAttempts": 1,
        "homeRegions": [],
        **values,
    }


def config(version, routes, services):
    """Return a configuration for `op/config`."""
    made = [
        {
            "name": name,
            "healthPath": "/health",
            "maxConnections": 360,
            "warmupS": 0.0,
            "warmupPerS": 0.0,
        }
        for name in services
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": routes, "services": made, "limits": limits}


async def request(address, method, target, headers, body=b""):
    """Send a request on a new channel; return the head of its answer and the writer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=MAX_LINE_BYTES
        )
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if "Host" not in headers:
        lines.append(f"Host: {address}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    try:
        return await read_answer_head(reader), writer
    except BaseException:
        writer.close()
        raise


def _free_ports(net, count):
    """Return ports that are free at an address of the script's own."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((f"{net}.3", 0))
    found = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return found


_SECTION = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_PLACE = re.compile(r"\{\{([^#/}]+)\}\}")


def _fill(template, scopes):
    """Fill the placeholders of a template as the deploy page tells."""

    def fill_section(match):
        value = _look_up(match[1], scopes)
        items = value if isinstance(value, list) else [value] if value else []
        parts = []
        for index, item in enumerate(items):
            comma = "," if index + 1 < len(items) else ""
            text = match[2].replace("{{,}}", comma)
            parts.append(_fill(text, [item, *scopes]))
        return "".join(parts)

    def fill_place(match):
        name, _, form = match[1].partition("|")
        value = _look_up(name, scopes)
        if form == "json" or isinstance(value, dict):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return _PLACE.sub(fill_place, _SECTION.sub(fill_section, template))


def _look_up(name, scopes):
    if name == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None


async def _run(make, zones, folder, limit_s):
    deployment = Deployment(folder, zones)
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(limit_s):
            await deployment.start()
            broken, text = await make(deployment)
        verdict = BROKEN if broken else KEPT
    except (Exception, asyncio.CancelledError) as error:
        verdict, text = (
            COULD_NOT_RUN,
            f"the case could not run: {type(error).__name__} {error}",
        )
    finally:
        if deployment.started_s is not None:
            deployment.log("end of the script")
        await deployment.close()
    with (deployment.folder / "record.txt").open("a") as record:
        record.write(text + "\n")
    print(text)
    return verdict


def main(make, zones, path, limit_s=110.0):
    """Run a case and exit with its verdict.

    Parameters
    ----------
    make : callable
        Coroutine function of a :class:`Deployment`; returns whether the rule was
        broken, and a text.
    zones : dict of str to str
        Region of each zone.
    path : str
        File of the case; the record is written beside it.
    limit_s : float
    """
    started_s = time.monotonic()
    folder = Path(path).resolve().parent
    verdict = asyncio.run(_run(make, zones, folder, limit_s))
    print(f"took {time.monotonic() - started_s:.0f} s")
    sys.exit(verdict)
