"""What the start-up of a daemon takes from the adapter."""

from bluebellbeam.platform.headers import make_platform_codec
from bluebellbeam.platform.health import check_health
from bluebellbeam.platform.listeners import make_directory_app, make_readiness_app
from bluebellbeam.platform.store import make_store_mirror

__all__ = ["Platform", "make_platform"]


class Platform:
    """The platform as a provider of feeds and backend servers.

    Attributes
    ----------
    codec : Codec
    access : StoreAccess
    mirror : StoreMirror or None
        None until :meth:`open`.
    """

    __slots__ = ("codec", "access", "region", "mirror")

    def __init__(self, access, region):
        self.codec = make_platform_codec()
        self.access = access
        self.region = region
        self.mirror = None

    def open(self, session, on_response):
        """Begin to use the platform.

        Parameters
        ----------
        session : aiohttp.ClientSession
        on_response : callable
            To be called with each sign that what is published is up to date.
        """
        self.mirror = make_store_mirror(session, self.access, self.region, on_response)

    def feed_client(self, key):
        """Return the client of feed `key`."""
        return self.mirror

    async def poll_server(self, session, command):
        """Ask a backend server about itself; return the event for the node."""
        return await check_health(session, command)

    def listeners(self):
        """Return addresses and application factories of further listeners."""
        return {
            "readiness": (self.access.readiness_address, make_readiness_app),
            "directory": (self.access.directory_address, make_directory_app),
        }

    def reload(self, settings):
        """Take new settings into use."""
        self.access = settings.store
        if self.mirror is not None:
            self.mirror.access = settings.store

    def close(self):
        """Stop using the platform."""
        if self.mirror is not None:
            self.mirror.close()


def make_platform(settings):
    """Return the platform for process settings that name a store."""
    return Platform(settings.store, settings.region)
