"""Provider that reads the platform's store; created when a daemon starts."""

from bluebellbeam.daemon.connection_pool import make_connection_pool
from bluebellbeam.platform.headers import make_platform_codec
from bluebellbeam.platform.health import check_health
from bluebellbeam.platform.listeners import make_directory_app, make_readiness_app
from bluebellbeam.platform.store import make_store_mirror
from bluebellbeam.utils.clock import monotonic_clock

__all__ = ["Platform", "make_platform"]

STORE_MAX_IDLE_MS = 15_000
"""Largest idle time for which a connection to the store is reused."""


class Platform:
    """Provider whose feeds are built from the platform's store.

    It has the methods of :class:`NativeProvider`.

    Attributes
    ----------
    codec : Codec
        Codec of the platform's header names.
    access : StoreAccess
        Addresses and limits from the settings.
    region : str
        Region of the daemon.
    mirror : StoreMirror or None
        Local copy of the store; None until :meth:`open`.
    checks : ConnectionPool
        Connections of health checks.
    store_connections : ConnectionPool
    """

    __slots__ = ("codec", "access", "region", "mirror", "checks", "store_connections")

    def __init__(self, access, region):
        self.codec = make_platform_codec()
        self.access = access
        self.region = region
        self.mirror = None
        self.checks = make_connection_pool(monotonic_clock())
        self.store_connections = make_connection_pool(
            monotonic_clock(), STORE_MAX_IDLE_MS
        )

    def open(self, session, on_response):
        """Create the store mirror, which connects on its first read.

        Parameters
        ----------
        session : aiohttp.ClientSession
            Not used: all requests go over connections that bound what they receive.
        on_response : callable
            Called without arguments after each successful response of the store.
        """
        self.mirror = make_store_mirror(
            self.store_connections, self.access, self.region, on_response
        )

    def feed_client(self, key):
        """Return the client of feed `key`."""
        return self.mirror

    async def poll_server(self, session, command):
        """Check the health of a backend server; return the event for the node."""
        return await check_health(self.checks, command)

    def listeners(self):
        """Return the additional listeners.

        Returns
        -------
        dict of str to (str, callable)
            Address, and function that returns the sanic application for a driver, by
            name of the listener.
        """
        return {
            "readiness": (self.access.readiness_address, make_readiness_app),
            "directory": (self.access.directory_address, make_directory_app),
        }

    def reload(self, settings):
        """Apply reloaded settings."""
        self.access = settings.store
        if self.mirror is not None:
            self.mirror.reload(settings.store)

    def close(self):
        """Stop the store mirror and close all idle connections."""
        self.checks.close()
        if self.mirror is not None:
            self.mirror.close()
        self.store_connections.close()


def make_platform(settings):
    """Return the platform provider for settings that have a store."""
    return Platform(settings.store, settings.region)
