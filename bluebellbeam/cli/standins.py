"""Command that serves the stand-ins of one example deployment."""

import asyncio

import click
import msgspec

from bluebellbeam.examples import read_example
from bluebellbeam.standins import make_directory, make_feed_store
from bluebellbeam.standins.deployment import make_fleet, publish_vm_lists
from bluebellbeam.standins.http import (
    make_engine_server,
    make_platform_server,
    make_service_server,
)

__all__ = ["run_standins"]


async def run_standins(user, port):
    """Serve the platform on `port` and each backend server on a free port.

    The VM list has one entry VM, whose daemon the operator starts on ports 7080
    (callers) and 7081 (peers). Runs until it is cancelled.
    """
    base, overlays = read_example(user)
    fleet = make_fleet(base)
    store = make_feed_store()
    directory = make_directory({f"key-{name}": name for name in base["workspaces"]})
    servers = {n: make_engine_server(e) for n, e in fleet.engines.items()}
    for name, service in fleet.services.items():
        servers[name] = make_service_server(service, lambda method, _: method == "GET")
    for name, server in servers.items():
        await server.start()
        record = msgspec.structs.replace(fleet.backends[name], address=server.address)
        fleet.backends[name] = record
    site = next(iter(base["sites"]))
    entry_vm = msgspec.structs.replace(
        fleet.entry_vms[f"{site}-1"],
        peer_address="127.0.0.1:7081",
        caller_address="127.0.0.1:7080",
    )
    fleet.entry_vms = {entry_vm.name: entry_vm}
    publish_vm_lists(store, fleet)
    store.publish_config(1, base, overlays)
    platform = make_platform_server(store, directory)
    await platform.start(port)
    click.echo(f"platform of {user} on {platform.address}")
    click.echo("the key of a workspace is key-<workspace>")
    await asyncio.Event().wait()
