"""Demonstration: complete example deployments in one process on loopback.

Daemons, model engines, plain services and the platform all listen on
127.0.0.1; requests go through the daemons' real listeners.
"""

import asyncio
import time

import aiohttp
import click
import msgspec

from bluebellbeam.config import PlatformAddresses, Settings
from bluebellbeam.daemon.listener import bind_address, bound_address
from bluebellbeam.daemon.server import make_daemon
from bluebellbeam.examples import EXAMPLES, read_example
from bluebellbeam.standins import make_directory, make_feed_store
from bluebellbeam.standins.deployment import make_fleet, publish_vm_lists
from bluebellbeam.standins.http import (
    make_engine_server,
    make_platform_server,
    make_service_server,
)

__all__ = ["Deployment", "run_demo"]

PEER_KEY = "demonstration-key"
READY_TIMEOUT_S = 15.0
LISTENERS = ("callers", "peers", "operators")
"""Names of the listeners of a daemon."""


class Deployment:
    """A complete deployment on loopback.

    Attributes
    ----------
    base, overlays : dict
        Configuration documents as decoded JSON.
    fleet : Fleet
        VM records and backend server stand-ins.
    store : FeedStore
        Published configuration and VM lists.
    directory : Directory
        Client directory; the key of each workspace is ``key-<workspace>``.
    platform : StandinServer or None
        Server of the platform, or None before the start.
    daemons : dict of str to Daemon
        Daemons by entry VM.
    servers : dict of str to StandinServer
        Backend servers by name.
    revision : int
        Configuration revision that the start publishes.
    """

    __slots__ = (
        "fleet",
        "store",
        "directory",
        "platform",
        "daemons",
        "servers",
        "base",
        "overlays",
        "revision",
    )

    def __init__(self, base, overlays):
        self.base = base
        self.overlays = overlays
        self.fleet = make_fleet(base)
        self.store = make_feed_store()
        names = base["workspaces"]
        self.directory = make_directory({f"key-{name}": name for name in names})
        self.platform = None
        self.daemons = {}
        self.servers = {}
        self.revision = 1

    async def start(self):
        """Start every stand-in and daemon, and wait until every daemon is ready.

        Raises
        ------
        TimeoutError
            If a daemon is not ready within `READY_TIMEOUT_S`.
        """
        await self._start_backends()
        sockets = {
            vm: {name: bind_address("127.0.0.1:0") for name in LISTENERS}
            for vm in self.fleet.entry_vms
        }
        for vm, bound in sockets.items():
            self.fleet.entry_vms[vm] = msgspec.structs.replace(
                self.fleet.entry_vms[vm],
                peer_address=bound_address(bound["peers"]),
                caller_address=bound_address(bound["callers"]),
            )
        self.platform = make_platform_server(self.store, self.directory)
        await self.platform.start()
        publish_vm_lists(self.store, self.fleet)
        self.store.publish_config(self.revision, self.base, self.overlays)
        for vm, bound in sockets.items():
            await self.start_daemon(vm, bound)
        await self.wait_ready()

    async def _start_backends(self):
        calls = {
            (service, call["method"]): call
            for service, item in self.base["services"].items()
            for call in item["calls"]
            if call.get("idempotent")
        }
        for name, engine in self.fleet.engines.items():
            self.servers[name] = make_engine_server(engine)
        for name, service in self.fleet.services.items():
            self.servers[name] = make_service_server(
                service,
                lambda method, _, kind=service.record.service: (kind, method) in calls,
            )
        for name, server in self.servers.items():
            await server.start()
            record = msgspec.structs.replace(
                self.fleet.backends[name], address=server.address
            )
            self.fleet.backends[name] = record
            self.fleet.server(name).record = record

    async def start_daemon(self, vm, sockets=None):
        """Start or restart the daemon on one entry VM.

        Parameters
        ----------
        vm : str
        sockets : dict of str to socket, optional
            Bound sockets by name of the listener; without them the daemon binds
            the addresses of its VM record.
        """
        record = self.fleet.entry_vms[vm]
        platform = self.platform.address
        settings = Settings(
            vm=vm,
            region=record.region,
            failure_domain=record.failure_domain,
            site=self.fleet.site_of_vm(vm),
            caller_address=record.caller_address,
            peer_address=record.peer_address,
            operator_address="127.0.0.1:0",
            peer_key=PEER_KEY,
            platform=PlatformAddresses(
                configuration=platform, vm_list=platform, directory=platform
            ),
        )
        daemon = make_daemon(settings, sockets)
        self.daemons[vm] = daemon
        await daemon.start()

    async def wait_ready(self):
        """Wait until every daemon is ready for requests.

        Raises
        ------
        TimeoutError
            If a daemon is not ready within `READY_TIMEOUT_S`.
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        while not all(d.driver.node.state.ready for d in self.daemons.values()):
            if time.monotonic() > end_s:
                raise TimeoutError(f"a daemon is not ready after {READY_TIMEOUT_S} s")
            await asyncio.sleep(0.05)

    async def stop(self):
        """Close the daemons, the backend servers and the platform."""
        for daemon in self.daemons.values():
            await daemon.close()
        for server in self.servers.values():
            await server.stop()
        await self.platform.stop()


class DemoResults:
    """Results of the requests of a demonstration.

    Attributes
    ----------
    rows : dict of str to list of (bool, float, str)
        Success, time in ms and status or error of each request, by phase and
        kind of request (such as ``"steady: chat"``). The time of a chat ends
        with the first line of its response.
    """

    __slots__ = ("rows",)

    def __init__(self):
        self.rows = {}

    def add(self, kind, ok, took_ms, detail):
        """Record the result of one request."""
        self.rows.setdefault(kind, []).append((ok, took_ms, detail))


async def _describe(response):
    """Return the status of a response and, if it is an error, its code."""
    if response.status == 200:
        return "200"
    error = msgspec.json.decode(await response.read())
    return f"{response.status} {error.get('code', 'without a code')}"


async def _send_chat(session, deployment, vm, workspace, model, prompt, results, kind):
    address = deployment.fleet.entry_vms[vm].caller_address
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": True,
        "max_tokens": 24,
    }
    headers = {"authorization": f"Bearer key-{workspace}"}
    start_s = time.monotonic()
    first_ms = None
    complete = False
    detail = "no answer"
    try:
        async with session.post(
            f"http://{address}/v1/chat/completions", json=body, headers=headers
        ) as response:
            detail = await _describe(response)
            async for line in response.content:
                if first_ms is None:
                    first_ms = (time.monotonic() - start_s) * 1000.0
                complete = complete or line.startswith(b"data: [DONE]")
    except (aiohttp.ClientError, msgspec.DecodeError) as error:
        detail = type(error).__name__
    results.add(kind, complete, first_ms or 0.0, detail)


async def _send_call(session, deployment, vm, workspace, method, path, results, kind):
    """Call a service, with an operation id issued first unless `method` is GET."""
    address = deployment.fleet.entry_vms[vm].caller_address
    service = next(iter(deployment.base["services"]))
    headers = {"authorization": f"Bearer key-{workspace}"}
    start_s = time.monotonic()
    try:
        if method != "GET":
            async with session.get(
                f"http://{address}/v1/entry", headers=headers
            ) as response:
                found = await response.json()
                headers["x-operation-id"] = found.get("operation_id", "")
        url = f"http://{address}/v1/services/{service}/{path}"
        async with session.request(method, url, headers=headers) as response:
            ok, detail = response.status == 200, await _describe(response)
            await response.read()
    except (aiohttp.ClientError, msgspec.DecodeError) as error:
        ok, detail = False, type(error).__name__
    results.add(kind, ok, (time.monotonic() - start_s) * 1000.0, detail)


async def _send_requests(session, deployment, results, phase, count):
    """Send `count` chats, reads and changes each, spread over the entry VMs."""
    model = next(iter(deployment.base["models"]))
    workspaces = [
        name
        for name, item in deployment.base["workspaces"].items()
        if len(item["allowed_regions"]) > 1 and item.get("services")
    ]
    service = next(iter(deployment.base["services"].values()))
    read, change = service["calls"][0], service["calls"][-1]
    vms = sorted(deployment.fleet.entry_vms)
    tasks = []
    for i in range(count):
        vm = vms[i % len(vms)]
        workspace = workspaces[i % len(workspaces)]
        prompt = f"record {i % 3} " * 60
        target = (session, deployment, vm, workspace)
        tasks.append(_send_chat(*target, model, prompt, results, f"{phase}: chat"))
        path = f"{read['path_prefix'][1:]}/{i}"
        tasks.append(_send_call(*target, "GET", path, results, f"{phase}: read"))
        path = f"{change['path_prefix'][1:]}/{phase}-{i}"
        tasks.append(
            _send_call(*target, change["method"], path, results, f"{phase}: change")
        )
    await asyncio.gather(*tasks)


async def _run_example(name):
    """Run one example in a steady phase, with a server stopped and with a region cut.

    Returns
    -------
    bool
        True if every request succeeded and no change took effect twice.
    """
    base, overlays = read_example(name)
    deployment = Deployment(base, overlays)
    await deployment.start()
    results = DemoResults()
    regions = sorted(base["regions"])
    stopped_server = f"{regions[0]}-{next(iter(base['models']))}-1"
    timeout = aiohttp.ClientTimeout(total=20)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        await _send_requests(session, deployment, results, "steady", 12)
        requests = _send_requests(session, deployment, results, "server lost", 12)
        task = asyncio.create_task(requests)
        await asyncio.sleep(0.2)
        await deployment.servers[stopped_server].stop()
        await task
        _cut_region(deployment, regions[-1])
        await _send_requests(session, deployment, results, "link cut", 12)
    effects = [
        count
        for service in deployment.fleet.services.values()
        for count in service.effects.values()
    ]
    daemons = len(deployment.daemons)
    await deployment.stop()
    _print_table(name, results, effects, daemons, stopped_server, regions[-1])
    complete = all(ok for rows in results.rows.values() for ok, _, _ in rows)
    return complete and max(effects, default=0) <= 1


def _cut_region(deployment, region):
    """Cut the daemons of `region` off from those of the other regions."""
    for daemon in deployment.daemons.values():
        state = daemon.driver.node.state
        for row in state.members.rows.values():
            if (row.region == region) != (state.region == region):
                row.peer_address = "127.0.0.1:1"


def _print_table(name, results, effects, daemons, stopped_server, region):
    click.echo(
        f"\n{name}: {daemons} daemons; stopped {stopped_server}; cut off {region}"
    )
    click.echo(f"  {'requests':<22}{'sent':>6}{'ok':>7}{'p50 ms':>9}{'max ms':>9}")
    for kind, rows in results.rows.items():
        times = sorted(took for _, took, _ in rows)
        complete = sum(1 for ok, _, _ in rows if ok)
        median_ms = times[len(times) // 2]
        click.echo(
            f"  {kind:<22}{len(rows):>6}{complete:>7}{median_ms:>9.0f}{times[-1]:>9.0f}"
        )
        for _, _, detail in (row for row in rows if not row[0]):
            click.echo(f"    no complete answer: {detail}")
    max_effects = max(effects, default=0)
    click.echo(
        f"  changes: {len(effects)} took effect, each at most {max_effects} time"
    )


async def run_demo(names=tuple(EXAMPLES)):
    """Run the examples `names` and return True if every request succeeded.

    A change that took effect more than once counts as a failure.
    """
    results = [await _run_example(name) for name in names]
    return all(results)
