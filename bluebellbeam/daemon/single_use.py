"""HTTP calls that leave at most once.

The HTTP client repeats a PUT or DELETE by itself when the connection closes
before the answer, also on a connection that has not been used before. A
connector that connects only once makes the repeat fail instead.
"""

import aiohttp

from bluebellbeam.exception import UpstreamError

__all__ = ["SingleUseConnector", "single_use_session"]


class SingleUseConnector(aiohttp.TCPConnector):
    """A connector that gives out a single connection."""

    def __init__(self):
        super().__init__(limit=1, force_close=True)
        self._used = False

    async def connect(self, req, traces, timeout):
        """Return the only connection.

        Raises
        ------
        UpstreamError
            On any call after the first.
        """
        if self._used:
            raise UpstreamError("a call that is not idempotent would be repeated")
        self._used = True
        return await super().connect(req, traces, timeout)


def single_use_session():
    """Return a client session for one call that must not be repeated."""
    return aiohttp.ClientSession(connector=SingleUseConnector(), auto_decompress=False)
