"""Bounded reading of the bodies of HTTP responses."""

import aiohttp

__all__ = ["read_body"]


async def read_body(response, limit_bytes):
    """Return the body of an aiohttp response.

    Parameters
    ----------
    response : aiohttp.ClientResponse
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
    return b"".join(parts)
