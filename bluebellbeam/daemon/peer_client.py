"""Calls to the peer listeners of other daemons."""

import asyncio

from msgspec import Struct

from bluebellbeam.daemon.auth import AUTH_HEADER
from bluebellbeam.daemon.connection import encode_request

__all__ = ["PeerResponse", "post_to_peer"]

PEER_TIMEOUT_S = 2.0

MAX_PEER_RESPONSE_BYTES = 64 * 1024 * 1024
"""Largest response to messages that is read; large enough for a snapshot of a whole
feed."""


class PeerResponse(Struct, frozen=True):
    """Response of a peer.

    Parameters
    ----------
    status : int
    signature : str or None
        Value of its authentication header.
    payload : bytes
    """

    status: int
    signature: str | None
    payload: bytes


async def post_to_peer(pool, address, path, signature, payload):
    """Send `payload` to a peer and return its :class:`PeerResponse`.

    The message is sent at most once, whatever happens to the connection.

    Parameters
    ----------
    pool : ConnectionPool
    address : str
        Peer listener of the other daemon.
    path : str
    signature : str
        Value of the authentication header.
    payload : bytes

    Raises
    ------
    UpstreamConnectionError
        If there is no connection or no complete, valid response.
    TimeoutError
        If the response is not complete within `PEER_TIMEOUT_S`.
    """
    raw = encode_request("POST", path, address, [(AUTH_HEADER, signature)], payload)
    async with asyncio.timeout(PEER_TIMEOUT_S):
        connection = await pool.acquire(address, address, cross_region=True)
        try:
            connection.send("POST", raw, payload)
            await connection.read_head()
            body = await connection.read_all(MAX_PEER_RESPONSE_BYTES)
            headers = dict(reversed(connection.headers))
            return PeerResponse(connection.status, headers.get(AUTH_HEADER), body)
        finally:
            pool.release(connection)
