"""Transfer of responses from the queue of an exchange to an HTTP response.

Used for callers and for peers that forwarded a request.
"""

from bluebellbeam.daemon.exchange import Chunk, End, Failed, Head
from bluebellbeam.daemon.listener import error_response
from bluebellbeam.daemon.wire import encode_error

__all__ = ["collect_service_response", "relay_stream"]


_SEPARATOR = b"\n\ndata: "


async def relay_stream(request, exchange, request_id, headers=None):
    """Send the events of a completion as they arrive.

    A response that fails midway ends with an error event and without the final
    ``[DONE]``.

    Returns
    -------
    HTTPResponse or None
        An error response if the request failed before the first event; otherwise None,
        since the response has been sent.
    """
    item = await exchange.next_item()
    if isinstance(item, Failed):
        return error_response(item.error, request_id)
    stream = await request.respond(
        content_type="text/event-stream", headers=headers or {}
    )
    while True:
        match item:
            case Chunk(events):
                await stream.send(b"data: " + _SEPARATOR.join(events) + b"\n\n")
            case End():
                await stream.send(b"data: [DONE]\n\n")
                break
            case Failed(error):
                raw = encode_error(error, request_id)
                await stream.send(b"event: error\ndata: " + raw + b"\n\n")
                break
        item = await exchange.next_item()
    await stream.eof()
    return None


async def collect_service_response(exchange):
    """Wait for the complete response of a plain service and return it.

    Returns
    -------
    tuple of (Head, bytes) or CallerError
        Head and body of the response, or the error if the call failed.
    """
    head = None
    payload = b""
    while True:
        match await exchange.next_item():
            case Head() as found:
                head = found
            case Chunk(events):
                payload = events[0]
            case End():
                return head, payload
            case Failed(error):
                return error
