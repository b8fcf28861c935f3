"""Reading of whole and bounded bodies of HTTP responses."""

import aiohttp

__all__ = ["CheckedResponse", "read_body"]


class CheckedResponse(aiohttp.ClientResponse):
    """Response that knows whether the reset of its connection ended its body.

    aiohttp takes any end of a connection for the end of a body without a length or
    chunks.
    """

    async def start(self, connection):
        """Read the head of the response; see :class:`aiohttp.ClientResponse`."""
        self._lost_by = connection.protocol
        return await super().start(connection)

    @property
    def was_reset(self):
        """Whether the body has no length or chunks, and its connection was reset."""
        framed = "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        return not framed and isinstance(self._lost_by.exception(), OSError)


async def read_body(response, limit_bytes):
    """Return the body of an aiohttp response.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        A reset of its connection is only noticed for a :class:`CheckedResponse` or if
        the body has a length or chunks.
    limit_bytes : int

    Raises
    ------
    aiohttp.ClientPayloadError
        If the body is truncated or longer than `limit_bytes`; the connection is
        closed then.
    """
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"the body of the response exceeds {limit_bytes} bytes"
            )
        parts.append(part)
    if isinstance(response, CheckedResponse) and response.was_reset:
        raise aiohttp.ClientPayloadError("the connection was reset within the body")
    return b"".join(parts)
