"""A small deployment: daemons as processes, a store, replicas and a record."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from common.http import fetch
from common.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "site.example"

BOUNDS = {
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 56,
}


PORT_RANGE = (10_000, 30_000)
PORTS_OF_SCRIPT = 200

BROKEN = 10
"""Exit code for a broken rule; unlike 1, no failure of Python has it."""

_given_ports = set()


class CannotRun(Exception):
    """Raised when the case could not be set up."""


def has_trouble():
    """Return whether all disruptions are to be brought about."""
    return os.environ.get("TROUBLE", "1") not in ("0", "part")


def has_second_trouble():
    """Return whether the lesser of two disruptions is; with `TROUBLE=part` alone."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """Return free ports below those that the system gives to outgoing connections.

    Scripts that run side by side take them from different parts of the range, since a
    daemon binds its ports only some time after they were chosen.
    """
    first, end, size = *PORT_RANGE, PORTS_OF_SCRIPT
    first += os.getpid() * size % (end - first)
    found = []
    while len(found) < count:
        port = random.randrange(first, first + size)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            found.append(port)
    return found


def fill_template(text, values):
    """Return a settings template with its placeholders filled in.

    Knows values, ``|json`` and sections over lists of texts.
    """

    def look_up(name):
        found = values
        for part in name.split("."):
            found = found[part]
        return found

    def section(match):
        items = look_up(match[1])
        made = [
            match[2].replace("{{.}}", item).replace("{{,}}", "," * (i + 1 < len(items)))
            for i, item in enumerate(items)
        ]
        return "".join(made)

    def value(match):
        name, _, form = match[1].partition("|")
        found = look_up(name)
        return json.dumps(found) if form == "json" else str(found)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.|]+)\}\}", value, text)


class Daemon:
    """One daemon process, started with the command of the deploy file."""

    def __init__(self, site, name, zone):
        self.site = site
        self.name = name
        self.zone = zone
        ports = free_ports(5)
        names = ("front", "readiness", "control", "directory", "operators")
        self.addresses = {
            name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)
        }
        self.process = None
        self.starts = 0

    @property
    def front(self):
        """Address for clients."""
        return self.addresses["front"]

    def write_settings(self, store_address, seeds):
        """Write the settings file from the template of the deploy file."""
        zones = self.site.zones
        values = {
            "nodeName": self.name,
            "region": zones[self.zone],
            "zone": self.zone,
            "zones": zones,
            "ip": "127.0.0.1",
            "listen": self.addresses,
            "seeds": seeds,
            "platform": {"address": store_address},
            "bounds": BOUNDS,
        }
        template = self.site.deploy["roles"]["entry"]["template"]
        text = fill_template((ROOT / template).read_text(), values)
        settings = json.loads(text)
        # Every daemon of this machine needs a port of its own for operators.
        settings["operator_address"] = self.addresses["operators"]
        self.path.write_text(json.dumps(settings))

    @property
    def path(self):
        """Path of the settings file."""
        return Path(self.site.folder.name) / f"{self.name}.json"

    def start(self):
        """Start the process."""
        self.starts += 1
        log_path = Path(self.site.folder.name) / f"{self.name}-{self.starts}.log"
        words = self.site.deploy["roles"]["entry"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BLUEBELLBEAM_SETTINGS": str(self.path),
        }
        with log_path.open("wb") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )
        self.site.record(f"start daemon {self.name}")

    def log_lines(self):
        """Return the log lines of all starts."""
        lines = []
        for number in range(1, self.starts + 1):
            path = Path(self.site.folder.name) / f"{self.name}-{number}.log"
            lines += path.read_text(errors="replace").splitlines()
        return lines

    def signal(self, number):
        """Send a signal to the process."""
        self.site.record(f"send {number.name} to daemon {self.name}")
        self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.process.wait)

    async def is_ready(self):
        """Return whether the readiness check succeeds."""
        answer = await fetch(
            self.addresses["readiness"], "GET", "/readiness", {"Host": "r"}, limit_s=1.0
        )
        return answer.status == 200

    def end(self):
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Site:
    """Store, replicas, daemons and the record of a case.

    Attributes
    ----------
    zones : dict of str to str
        Region of each zone.
    """

    def __init__(self, folder, zones, record_name):
        self.record_path = Path(folder) / record_name
        self.lines = []
        self.sent_s = {}
        self.zones = zones
        self.begin_s = time.monotonic()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.store = Store()
        self.daemons = {}
        self.replicas = {}
        self.record(f"trouble: {has_trouble()}, second: {has_second_trouble()}")

    def record(self, text, at_s=None):
        """Add a line to the record."""
        at_s = time.monotonic() if at_s is None else at_s
        self.lines.append((at_s - self.begin_s, text))

    def add_replica(self, replica):
        """Keep `replica` for the record and the end."""
        self.replicas[replica.name] = replica
        return replica

    async def start_daemons(self, places):
        """Start a daemon for each ``(name, zone)`` and wait until all are ready."""
        for name, zone in places:
            self.daemons[name] = Daemon(self, name, zone)
        seeds = [d.addresses["control"] for d in list(self.daemons.values())[:3]]
        for daemon in self.daemons.values():
            address = await self.store.listen(daemon.name)
            daemon.write_settings(address, seeds)
            daemon.start()
        await self.wait_ready(self.daemons.values(), 25.0)

    async def wait_ready(self, daemons, limit_s):
        """Wait until the daemons are ready; or raise :class:`CannotRun`."""
        end_s = time.monotonic() + limit_s
        for daemon in daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end_s or daemon.process.poll() is not None:
                    for line in daemon.log_lines()[-5:]:
                        self.record(f"log of {daemon.name}: {line}")
                    raise CannotRun(f"daemon {daemon.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("daemons are ready")

    async def call(self, daemon, path, key, **values):
        """Send a client's request to `daemon`; record and return the answer."""
        deadline_ms = values.get("deadline_ms", 5000)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": key,
            "X-Deadline-Ms": str(int(deadline_ms)),
        } | values.get("headers", {})
        method, body = values.get("method", "POST"), values.get("body", b"{}")
        self.sent_s[key] = time.monotonic()
        self.record(f"sent {key} {method} {path} to {daemon.name}")
        answer = await fetch(
            daemon.front, method, path, headers, body, deadline_ms / 1000.0
        )
        text = f"answered {key} status={answer.status} complete={answer.complete}"
        stamp = answer.headers.get("x-response-stamp", "-")
        self.record(f"{text} stamp={stamp} {answer.problem}".rstrip())
        return answer

    async def end(self):
        """End all processes and write the record."""
        for daemon in self.daemons.values():
            daemon.end()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0.1)
        for replica in self.replicas.values():
            if replica.server is not None:
                replica.crash()
            for at_s, key, life, outcome in replica.arrivals:
                self.record(f"arrived {key} at {life}: {outcome}", at_s)
        self.store.close()
        self.lines.sort()
        text = "".join(f"{at_s:8.3f} {line}\n" for at_s, line in self.lines)
        self.record_path.write_text(text)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(self.folder.name).glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()


def run_case(folder, zones, steps, record_name="record.txt"):
    """Run ``steps(site)`` and exit: `BROKEN` if the rule was broken, 0 if it held.

    Any other code, also that of an unexpected exception, means that the case could not
    run. `steps` returns a list of texts, one for each violation.
    """

    async def run():
        site = Site(folder, zones, record_name)
        try:
            async with asyncio.timeout(115.0):
                broken = await steps(site)
            for text in broken[:20]:
                site.record(f"VIOLATION {text}")
            site.record(f"result: {len(broken)} violations")
            print("broken" if broken else "held", len(broken), *broken[:3], sep="\n  ")
            return BROKEN if broken else 0
        except (CannotRun, TimeoutError, OSError) as error:
            site.record(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            return 2
        finally:
            await site.end()

    sys.exit(asyncio.run(run()))


def make_config(version, routes, services):
    """Return a configuration as the operator writes it."""
    made = [
        {
            "host": HOST,
            "pathPrefix": f"/{route['name']}/",
            "timeoutMs": 5000,
            "targetLatencyMs": 1000,
            "priority": 1,
            "maxAttempts": 1,
            "homeRegions": [],
        }
        | route
        for route in routes
    ]
    listed = [
        {"healthPath": "/health", "maxConnections": 370, "warmupS": 3.0} | service
        for service in services
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeoutMs": 5000,
        "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": made, "services": listed, "limits": limits}
