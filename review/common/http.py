"""Minimal HTTP/1.1 over asyncio streams for the stand-ins and their clients."""

import asyncio
import contextlib


class Request:
    """A request as received by a stand-in.

    Header names are in lower case; `raw_headers` keeps the bytes of the values.
    """

    def __init__(self, method, target, raw_headers, body):
        self.method = method
        self.target = target
        self.raw_headers = raw_headers
        self.headers = {k: v.decode("latin-1") for k, v in raw_headers.items()}
        self.body = body


async def read_request(reader):
    """Read and return the next request of a connection; its body needs a length."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].split(b"\r\n")
    method, target, _ = lines[0].decode("latin-1").split(" ")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.decode("latin-1").lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", b"0")))
    return Request(method, target, headers, body)


def encode_head(status, headers, length=None):
    """Return the status line and headers of a response, in chunks without a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def encode_chunk(data):
    """Return a part of a chunked body; an empty one ends it."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Answer:
    """What a client got.

    Attributes
    ----------
    status : int or None
        None if no complete head arrived.
    headers : dict of str to str
    body : bytes
    complete : bool
        Whether the whole body arrived.
    problem : str
        How the exchange ended early; empty if it did not.
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.problem = ""


async def fetch(address, method, target, headers, body=b"", limit_s=10.0):
    """Send one request on a new connection and return the :class:`Answer`.

    `headers` is a dict of str to str or bytes. The connection is closed at the end.
    """
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1".encode()]
            for name, value in headers.items():
                raw = value if isinstance(value, bytes) else value.encode()
                lines.append(name.encode() + b": " + raw)
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}".encode())
            writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
            await _read_answer(reader, answer)
    except TimeoutError:
        answer.problem = "time limit of the client"
    except (OSError, EOFError, ValueError) as error:
        answer.problem = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            with contextlib.suppress(Exception):
                writer.transport.abort()
    return answer


async def _read_answer(reader, answer):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    for line in lines[1:]:
        name, _, value = line.partition(":")
        answer.headers[name.lower()] = value.strip()
    answer.status = int(lines[0].split(" ")[1])
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    answer.complete = True
