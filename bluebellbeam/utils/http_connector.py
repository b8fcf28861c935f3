"""Connector of client sessions that reuses only connections without unread bytes."""

import aiohttp
import structlog

__all__ = ["CheckedConnector"]

MAX_DISCARDED = 100
"""Largest number of connections in a row that a request finds with unread bytes."""


class CheckedConnector(aiohttp.TCPConnector):
    """A connector that closes idle connections on which bytes have arrived.

    aiohttp keeps such bytes and takes them for the response to the next request.
    """

    async def connect(self, req, traces, timeout):
        """Return a connection without unread bytes.

        Raises
        ------
        aiohttp.ClientConnectionError
            If `MAX_DISCARDED` connections in a row have unread bytes.
        """
        for _ in range(MAX_DISCARDED):
            connection = await super().connect(req, traces, timeout)
            if not connection.protocol.should_close:
                return connection
            structlog.get_logger().warning(
                "upstream: close a connection with bytes after a complete response",
                target=f"{req.url.host}:{req.url.port}",
            )
            connection.close()
        raise aiohttp.ClientConnectionError("every connection has unread bytes")
