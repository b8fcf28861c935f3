"""HTTP listeners for the platform: readiness check and entry directory."""

import msgspec
from sanic import response

from bluebellbeam.daemon.connection_limit import has_refused_lately
from bluebellbeam.daemon.listener import make_listener_app
from bluebellbeam.node import entry_addresses_for_region

__all__ = ["make_directory_app", "make_readiness_app"]

MAX_BODY_BYTES = 64 * 1024

ADDRESS_TTL_S = 2
"""Time for which callers may cache the addresses. Some cache them three times as
long, which is still shorter than the time for which a leaving daemon serves."""


def make_readiness_app(driver):
    """Return the sanic application of the readiness check."""
    app = make_listener_app("readiness", driver.settings.vm, MAX_BODY_BYTES)

    async def readiness(request):
        state = driver.node.state
        ready = state.ready and not state.leaving
        ready = ready and not has_refused_lately(driver.connection_limit)
        return response.text("ready" if ready else "not ready", 200 if ready else 503)

    app.add_route(readiness, "/readiness", name="readiness")
    return app


def make_directory_app(driver):
    """Return the sanic application that resolves names to addresses of entry VMs."""
    app = make_listener_app("directory", driver.settings.vm, MAX_BODY_BYTES)

    async def resolve(request):
        region = request.args.get("region", driver.settings.region)
        host = request.args.get("name", "")
        now_ms = driver.clock.now_ms()
        found = entry_addresses_for_region(driver.node.state, host, region, now_ms)
        if not found:
            return response.text("no entry VM is ready", 503)
        body = msgspec.json.encode({"addresses": found, "ttlS": ADDRESS_TTL_S})
        return response.raw(body, content_type="application/json")

    app.add_route(resolve, "/resolve", name="resolve")
    return app
