"""Client sessions that send a request at most once.

aiohttp retries a PUT or DELETE by itself when the connection closes before the
response, even on a new connection. A connector that allows a single connection
makes that retry fail.
"""

import aiohttp

from bluebellbeam.exception import UpstreamError

__all__ = ["SingleUseConnector", "single_use_session"]


class SingleUseConnector(aiohttp.TCPConnector):
    """A connector that allows a single connection."""

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
            raise UpstreamError("refused to retry a call that is not idempotent")
        self._used = True
        return await super().connect(req, traces, timeout)


def single_use_session():
    """Return a client session for one call that must not be retried."""
    return aiohttp.ClientSession(connector=SingleUseConnector(), auto_decompress=False)
