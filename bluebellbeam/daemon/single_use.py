"""Client sessions that send a request at most once.

aiohttp retries a PUT or DELETE by itself when the connection closes before the
response, even on a new connection. A connector that opens only one connection makes
that retry fail.
"""

import aiohttp

from bluebellbeam.exception import UpstreamError
from bluebellbeam.utils.http_body import CheckedResponse

__all__ = ["SingleUseConnector", "single_use_session"]


class SingleUseConnector(aiohttp.TCPConnector):
    """A connector that opens one connection and refuses every further one."""

    def __init__(self):
        super().__init__(limit=1, force_close=True)
        self._used = False

    async def connect(self, req, traces, timeout):
        """Open the only connection and return it.

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
    return aiohttp.ClientSession(
        connector=SingleUseConnector(),
        response_class=CheckedResponse,
        auto_decompress=False,
    )
