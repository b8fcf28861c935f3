"""Memory of full responses, which are buffered until they are complete."""

from bluebellbeam.daemon.connection import UpstreamConnectionError

__all__ = [
    "MAX_BUFFERED_BYTES",
    "ResponseBuffers",
    "make_response_buffers",
    "read_full",
]

MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""Largest total size of the full responses that a daemon buffers, so that servers that
send without end do not use up the memory of its VM."""

SMALL_RESPONSE_BYTES = 64 * 1024
"""Size up to which a response is buffered even if others have used up the total."""


class ResponseBuffers:
    """Sizes of the buffered responses of a daemon.

    Attributes
    ----------
    used_bytes, most_bytes : int
        Total size now, and the largest so far.
    """

    __slots__ = ("used_bytes", "most_bytes")

    def __init__(self):
        self.used_bytes = 0
        self.most_bytes = 0


def make_response_buffers():
    """Return the sizes for a daemon without buffered responses."""
    return ResponseBuffers()


async def read_full(buffers, connection):
    """Read and return the whole body of the response on `connection`.

    Raises
    ------
    UpstreamConnectionError
        If the response is truncated or malformed, or if the buffered responses exceed
        `MAX_BUFFERED_BYTES`.
    """
    parts = []
    size = 0
    try:
        while data := await connection.read_some():
            total_bytes = buffers.used_bytes + len(data)
            small = size + len(data) <= SMALL_RESPONSE_BYTES
            if total_bytes > MAX_BUFFERED_BYTES and not small:
                raise UpstreamConnectionError(
                    f"{total_bytes} bytes of buffered responses exceed "
                    f"{MAX_BUFFERED_BYTES}"
                )
            parts.append(data)
            size += len(data)
            buffers.used_bytes = total_bytes
            buffers.most_bytes = max(buffers.most_bytes, total_bytes)
        return b"".join(parts)
    finally:
        buffers.used_bytes -= size
