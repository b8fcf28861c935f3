"""The product's own interface to a provider: feeds, directory and load reports."""

import aiohttp
import msgspec

from bluebellbeam.daemon.codec import make_native_codec
from bluebellbeam.daemon.upstream import SERVER_HEADER
from bluebellbeam.node import event as ev
from bluebellbeam.provider.clients import make_directory_client, make_feed_client
from bluebellbeam.provider.records import LoadReport

__all__ = ["LOAD_TIMEOUT_S", "NativeProvider", "make_native_provider"]

LOAD_TIMEOUT_S = 1.0


class NativeProvider:
    """A provider whose services speak the product's own interface.

    Attributes
    ----------
    codec : Codec
    addresses : PlatformAddresses
    directory : DirectoryClient or None
        None until :meth:`open`.
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
        """Begin to use the provider; see :meth:`Platform.open`."""
        self._config = make_feed_client(session, self.addresses.configuration)
        self._lists = make_feed_client(session, self.addresses.vm_list)
        self.directory = make_directory_client(
            session, self.addresses.directory, self.clock
        )

    def feed_client(self, key):
        """Return the client of feed `key`."""
        return self._config if key == "config" else self._lists

    async def poll_server(self, session, command):
        """Ask a backend server for its load; return the event for the node."""
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
        url = f"http://{command.address}/load"
        try:
            async with session.get(
                url, timeout=timeout, allow_redirects=False
            ) as response:
                raw = await response.read()
                identity = response.headers.get(SERVER_HEADER, "")
            if response.status != 200:
                return _confirmed(command.server, identity)
            report = msgspec.json.decode(raw, type=LoadReport)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return ev.LoadReadFailed(command.server)
        return ev.LoadReported(command.server, report)

    def listeners(self):
        """Return further listeners: none."""
        return {}

    def reload(self, settings):
        """Take new settings into use: nothing here can change."""

    def close(self):
        """Stop using the provider."""


def _confirmed(server, identity):
    """Return the event of an answer without a load report."""
    name, _, incarnation = identity.rpartition("/")
    if incarnation.isdigit():
        return ev.HealthCheckAnswered(server, name, int(incarnation))
    return ev.LoadReadFailed(server)


def make_native_provider(addresses, clock):
    """Return the provider at `addresses`."""
    return NativeProvider(addresses, clock)
