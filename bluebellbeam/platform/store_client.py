"""HTTP client of the platform's metadata store, and the errors of its calls."""

import aiohttp

from bluebellbeam.exception import PlatformError
from bluebellbeam.utils.http_body import read_body

__all__ = [
    "HistoryCompactedError",
    "StoreClient",
    "StoreRestoredError",
    "make_store_client",
    "read_era",
]

ERA_HEADER = "Store-Era"
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
    session : aiohttp.ClientSession
    access : StoreAccess
        Address of the store, from the settings.
    on_response : callable
        Called after each successful response of the store.
    calls : int
        Number of requests sent to the store.
    """

    __slots__ = ("session", "access", "on_response", "calls")

    def __init__(self, session, access, on_response):
        self.session = session
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
        url = f"http://{self.access.address}{path}"
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000.0)
        try:
            async with self.session.get(
                url, params=query, timeout=timeout, allow_redirects=False
            ) as response:
                raw = await read_body(response, MAX_STORE_BODY_BYTES)
                check_era(read_era(response.headers.getall(ERA_HEADER, [])))
                if response.status == 410:
                    raise HistoryCompactedError(f"status 410 for {path}")
                if response.status != 200:
                    raise PlatformError(f"status {response.status} for {path}")
                self.on_response()
                return raw
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            text = f"no response for {path}: {type(error).__name__}"
            raise PlatformError(text) from error


def read_era(values):
    """Return the era in the values of the header `ERA_HEADER`, or None if malformed."""
    text = values[0].strip() if len(values) == 1 else ""
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_ERA_DIGITS:
        return None
    return int(text)


def make_store_client(session, access, on_response):
    """Return a client of the store that `access` names."""
    return StoreClient(session, access, on_response)
