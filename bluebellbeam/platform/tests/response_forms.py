"""Forms in which a backend server may write the same response."""

import asyncio

__all__ = ["FORMS", "TRAILER_FORMS", "write_response"]

FORMS = ("", "empty", "chunked", "unframed", "events", "paused", "unstamped")
"""Forms without any statement that the request did not run."""

TRAILER_FORMS = ("trailer", "late trailer")
"""Chunked forms with `X-Not-Executed` behind the body, in the same write or later."""

LATE_S = 0.2


async def write_response(writer, status, form, head, body):
    """Write a response; return whether the connection is kept.

    Parameters
    ----------
    writer : asyncio.StreamWriter
    status : str
    form : str
        Empty for a response with a length, otherwise a name of `FORMS` or
        `TRAILER_FORMS`, or ``HEADER: VALUE`` for one with a further header.
    head : dict of str to str
    body : bytes
    """
    head = dict(head)
    if form == "unstamped":
        del head["X-Response-Stamp"]
    elif form == "events":
        head["Content-Type"] = "text/event-stream"
    elif form == "paused":
        head["Retry-After"] = "0.1"
    elif form == "empty":
        body = b""
    elif ": " in form:
        name, _, value = form.partition(": ")
        head[name] = value
    if form == "chunked" or form in TRAILER_FORMS:
        head["Transfer-Encoding"] = "chunked"
    elif form != "unframed":
        head["Content-Length"] = str(len(body))
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in head.items())]
    raw = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    if "Transfer-Encoding" not in head:
        writer.write(raw + body)
        return form != "unframed"
    raw += b"%x\r\n%b\r\n0\r\n" % (len(body), body)
    if form == "late trailer":
        writer.write(raw)
        await writer.drain()
        await asyncio.sleep(LATE_S)
        raw = b""
    trailer = b"X-Not-Executed: 1\r\n" if form in TRAILER_FORMS else b""
    writer.write(raw + trailer + b"\r\n")
    return True
