"""Assembly and life cycle of a daemon: its node, driver and listeners."""

import asyncio
import contextlib
import secrets
import signal

import structlog

from bluebellbeam.daemon.callers import make_caller_app
from bluebellbeam.daemon.driver import make_driver
from bluebellbeam.daemon.listener import (
    REQUEST_TIMEOUT_S,
    bind_address,
    bound_address,
    close_unused_connections,
    start_listener,
    stop_listener,
)
from bluebellbeam.daemon.metrics import make_metrics
from bluebellbeam.daemon.native_provider import make_native_provider
from bluebellbeam.daemon.operators import make_operator_app
from bluebellbeam.daemon.peers import make_peer_app
from bluebellbeam.daemon.reload import watch_settings
from bluebellbeam.daemon.routed import make_routed_app
from bluebellbeam.node import NodeIdentity, make_node
from bluebellbeam.node.event import StopRequested
from bluebellbeam.utils.clock import monotonic_clock, wall_clock

__all__ = ["Daemon", "make_daemon", "run_daemon"]

OPERATION_KEY_BYTES = 32
"""Length of the random key that authenticates the operation ids of this process."""


DRAIN_TIMEOUT_S = REQUEST_TIMEOUT_S + 2
"""Longest time to send the last responses at the end of the process. Long enough to
reject a request that arrives slowly, so that its caller knows that it did not run."""

DRAIN_INTERVAL_S = 0.01


class Daemon:
    """A daemon with its bound sockets and HTTP servers.

    Attributes
    ----------
    driver : Driver
    metrics : Metrics
    sockets : dict of str to socket
        Bound sockets by listener: callers, peers, operators and those of the
        provider.
    servers : list of AsyncioServer
        HTTP servers that have been started.
    """

    __slots__ = ("driver", "metrics", "sockets", "servers")

    def __init__(self, driver, sockets):
        self.driver = driver
        self.metrics = make_metrics(driver)
        driver.observe_first_token = self.metrics.observe_first_token
        self.sockets = sockets
        self.servers = []

    def address(self, listener):
        """Return the bound address of `listener` as ``ip:port``."""
        return bound_address(self.sockets[listener])

    async def start(self):
        """Open the HTTP clients and start every listener."""
        await self.driver.open()
        uses_store = self.driver.settings.store is not None
        make_public_app = make_routed_app if uses_store else make_caller_app
        apps = {
            "callers": make_public_app(self.driver),
            "peers": make_peer_app(self.driver),
            "operators": make_operator_app(self.driver, self.metrics),
        }
        for name, (_, make_app) in self.driver.provider.listeners().items():
            apps[name] = make_app(self.driver)
        self.metrics.listeners.activities = {
            name: app.ctx.activity for name, app in apps.items()
        }
        limit = self.driver.connection_limit
        limit.activities = [app.ctx.activity for app in apps.values()]
        for name, app in apps.items():
            app.ctx.connection_limit = limit
            self.servers.append(await start_listener(app, self.sockets[name]))

    def request_stop(self):
        """Begin a graceful shutdown."""
        self.driver.handle(StopRequested())

    async def wait_stopped(self):
        """Wait until no request is in flight or the grace period has expired."""
        await self.driver.stopped.wait()

    async def drain(self):
        """Stop accepting connections, and send the responses that are still due.

        The node has no request any longer, but responses may not be written yet, and
        requests may have been read since. Those are refused.
        """
        for server in self.servers:
            server.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                while sum(map(close_unused_connections, self.servers)):
                    await asyncio.sleep(DRAIN_INTERVAL_S)

    async def close(self):
        """Close the listeners and the clients without waiting for requests."""
        for server in self.servers:
            with contextlib.suppress(Exception):
                await stop_listener(server)
        await self.driver.close()


def make_daemon(settings, sockets=None, provider=None):
    """Return a daemon whose sockets are bound but not served yet.

    Parameters
    ----------
    settings : Settings
    sockets : dict of str to socket, optional
        Bound sockets by listener; bound to the configured addresses by default.
    provider : Platform, optional
        Adapter to a platform; the native provider by default.
    """
    clock = monotonic_clock()
    provider = provider or make_native_provider(settings.platform, clock)
    if sockets is None:
        addresses = {
            "callers": settings.caller_address,
            "peers": settings.peer_address,
            "operators": settings.operator_address,
        }
        for name, (address, _) in provider.listeners().items():
            addresses[name] = address
        sockets = {name: bind_address(item) for name, item in addresses.items()}
    identity = NodeIdentity(
        vm=settings.vm,
        incarnation=wall_clock().now_ms(),
        region=settings.region,
        failure_domain=settings.failure_domain,
        site=settings.site,
        seed_peers=settings.seed_peers,
        peer_address=settings.peer_address,
        caller_address=settings.caller_address,
        lists_entries=settings.store is None,
    )
    seed = secrets.randbits(64)
    node = make_node(identity, seed, secrets.token_bytes(OPERATION_KEY_BYTES))
    return Daemon(make_driver(node, settings, provider, clock), sockets)


async def run_daemon(settings, provider=None, path=None, flush_logs=None, sockets=None):
    """Run a daemon until a signal stops it.

    Parameters
    ----------
    settings : Settings
    provider : Platform, optional
    path : str, optional
        Settings file, read again on SIGHUP and at regular intervals.
    flush_logs : callable, optional
        Writes buffered log lines.
    sockets : dict of str to socket, optional
        Bound sockets by listener, as for :func:`make_daemon`.
    """
    daemon = make_daemon(settings, sockets, provider)
    if flush_logs is not None:
        daemon.driver.flush_logs = flush_logs
    log = structlog.get_logger()
    log.info("daemon: starting", vm=settings.vm, region=settings.region)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_stop)
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    loop.set_exception_handler(_log_loop_exception)
    await daemon.start()
    settings_watcher = None
    if path is not None:
        settings_watcher = loop.create_task(
            watch_settings(daemon.driver, path, reload_requested)
        )
    try:
        await daemon.wait_stopped()
        await daemon.drain()
    finally:
        if settings_watcher is not None:
            settings_watcher.cancel()
        await daemon.close()
        log.info("daemon: stopped", vm=settings.vm)


def _log_loop_exception(loop, context):
    """Log an exception that no task or callback has handled."""
    structlog.get_logger().error(
        "daemon: unhandled exception in the event loop",
        message=context.get("message", ""),
        exc_info=context.get("exception"),
    )
