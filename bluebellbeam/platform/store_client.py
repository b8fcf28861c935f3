"""HTTP client of the platform's metadata store, and the errors of its calls."""

import asyncio
from urllib.parse import urlencode

from bluebellbeam.daemon.connection import UpstreamConnectionError, encode_request
from bluebellbeam.exception import PlatformError

__all__ = [
    "HistoryCompactedError",
    "StoreClient",
    "StoreRestoredError",
    "make_store_client",
    "read_era",
]

ERA_HEADER = "store-era"
"""Number of times that the store was restored; it rises by one each time."""

MAX_ERA_DIGITS = 9

MAX_STORE_BODY_BYTES = 16 * 1024 * 1024
"""Largest response that is read; a page of the store has about one megabyte."""


class HistoryCompactedError(PlatformError):
    """Raised when the store has discarded the history that a watch starts from."""


class StoreRestoredError(PlatformError):
    """Raised when the era of the store has risen.

    Attributes
    ----------
    era : int
        The new era.
    """

    def __init__(self, era):
        super().__init__(f"the store was restored from a copy, era {era}")
        self.era = era


class StoreClient:
    """Client of the store that counts its calls.

    Attributes
    ----------
    connections : ConnectionPool
    access : StoreAccess
        Address of the store, from the settings.
    on_response : callable
        Called after each successful response of the store.
    calls : int
        Number of requests sent to the store.
    """

    __slots__ = ("connections", "access", "on_response", "calls")

    def __init__(self, connections, access, on_response):
        self.connections = connections
        self.access = access
        self.on_response = on_response
        self.calls = 0

    async def get(self, path, query, timeout_ms, check_era):
        """Return the body of the response to a GET request.

        Parameters
        ----------
        path : str
        query : dict of str to str
        timeout_ms : int
        check_era : callable
            Called with the era in a response of any status, or with None if it
            states none; raises an error to discard the response.

        Raises
        ------
        HistoryCompactedError
            If the store has discarded the history that `query` starts from.
        PlatformError
            If the store does not respond, or refuses the request.
        """
        self.calls += 1
        target = f"{path}?{urlencode(query)}"
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                status, eras, raw = await self._fetch(target)
        except (TimeoutError, UpstreamConnectionError) as error:
            reason = str(error) or "timeout"
            raise PlatformError(f"no response for {path}: {reason}") from error
        check_era(read_era(eras))
        if status == 410:
            raise HistoryCompactedError(f"status 410 for {path}")
        if status != 200:
            raise PlatformError(f"status {status} for {path}")
        self.on_response()
        return raw

    async def _fetch(self, target):
        """Return status, values of `ERA_HEADER` and body of the response to a GET.

        An idle connection may have been closed by the store just before, so a request
        that is lost on one is sent once more.
        """
        address = self.access.address
        request = encode_request("GET", target, address, (), b"")
        while True:
            connection = await self.connections.acquire(address, address, True)
            was_used = connection.uses > 0
            try:
                connection.send("GET", request, b"")
                await connection.read_head()
                raw = await connection.read_all(MAX_STORE_BODY_BYTES)
                eras = [
                    value for name, value in connection.headers if name == ERA_HEADER
                ]
                return connection.status, eras, raw
            except UpstreamConnectionError as error:
                if not (was_used and error.lost and not connection.status):
                    raise
            finally:
                self.connections.release(connection)


def read_era(values):
    """Return the era in the values of the header `ERA_HEADER`, or None if malformed."""
    text = values[0].strip() if len(values) == 1 else ""
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_ERA_DIGITS:
        return None
    return int(text)


def make_store_client(connections, access, on_response):
    """Return a client of the store that `access` names."""
    return StoreClient(connections, access, on_response)
