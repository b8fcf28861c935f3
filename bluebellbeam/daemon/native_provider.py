"""Native provider interface: versioned feeds, client directory and load reports."""

import aiohttp

from bluebellbeam.daemon.codec import make_native_codec
from bluebellbeam.daemon.upstream import SERVER_HEADER
from bluebellbeam.node import event as ev
from bluebellbeam.provider.clients import make_directory_client, make_feed_client
from bluebellbeam.provider.records import LoadReport
from bluebellbeam.utils.decoding import decode_json
from bluebellbeam.utils.http_body import read_body

__all__ = ["SERVER_CALL_TIMEOUT_S", "NativeProvider", "make_native_provider"]

SERVER_CALL_TIMEOUT_S = 1.0
"""Timeout of a load report, cache events or an order requested from a server."""

MAX_LOAD_BODY_BYTES = 1024 * 1024
"""Largest load report that is read."""


class NativeProvider:
    """Provider whose services implement the native HTTP interface.

    Attributes
    ----------
    codec : Codec
        Codec of the native header names.
    addresses : PlatformAddresses
        Addresses of the configuration, the VM list and the directory.
    directory : DirectoryClient or None
        Resolves the keys of callers; None until :meth:`open`.
    """

    __slots__ = ("codec", "addresses", "clock", "directory", "_config", "_lists")

    def __init__(self, addresses, clock):
        self.codec = make_native_codec()
        self.addresses = addresses
        self.clock = clock
        self.directory = None
        self._config = None
        self._lists = None

    def open(self, session, on_response):
        """Create the clients of the feeds and of the directory.

        Parameters
        ----------
        session : aiohttp.ClientSession
        on_response : callable
            Not used; see :meth:`Platform.open`.
        """
        self._config = make_feed_client(session, self.addresses.configuration)
        self._lists = make_feed_client(session, self.addresses.vm_list)
        self.directory = make_directory_client(
            session, self.addresses.directory, self.clock
        )

    def feed_client(self, key):
        """Return the client of feed `key`."""
        return self._config if key == "config" else self._lists

    async def poll_server(self, session, command):
        """Request the load of a backend server; return the event for the node."""
        timeout = aiohttp.ClientTimeout(total=SERVER_CALL_TIMEOUT_S)
        url = f"http://{command.address}/load"
        try:
            async with session.get(
                url, timeout=timeout, allow_redirects=False
            ) as response:
                raw = await read_body(response, MAX_LOAD_BODY_BYTES)
                identity = response.headers.get(SERVER_HEADER, "")
            if response.status != 200:
                return _identity_event(command.server, identity)
            report = decode_json(raw, LoadReport)
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return ev.LoadReadFailed(command.server, command.incarnation, refused)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return ev.LoadReadFailed(command.server)
        return ev.LoadReported(command.server, report)

    def listeners(self):
        """Return additional listeners; this provider has none."""
        return {}

    def reload(self, settings):
        """Apply reloaded settings; none of this provider's can change."""

    def close(self):
        """Release resources; the clients hold none."""


def _identity_event(server, identity):
    """Return the event for a response without a load report.

    A response with the name and incarnation of a server still confirms which server
    runs at the address.
    """
    name, _, incarnation = identity.rpartition("/")
    if incarnation.isdigit():
        return ev.HealthCheckAnswered(server, name, int(incarnation))
    return ev.LoadReadFailed(server)


def make_native_provider(addresses, clock):
    """Return the provider whose services are at `addresses`."""
    return NativeProvider(addresses, clock)
