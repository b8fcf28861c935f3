"""Translation between HTTP heads and what the daemon knows of a request.

A codec is a set of functions for one spelling of the headers. The product's
own is made here; an adapter makes another for its platform.
"""

import itertools

from msgspec import Struct

from bluebellbeam.provider.records import LoadHeader, parse_load_header
from bluebellbeam.utils.hashing import hash_text

__all__ = [
    "ResponseHead",
    "Codec",
    "HOP_BY_HOP_HEADERS",
    "RequestHead",
    "UpstreamHead",
    "chain_blocks",
    "make_native_codec",
    "parse_prompt_parts",
]

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection, or that each side sets itself."""


class RequestHead(Struct, frozen=True):
    """What the head of a caller's request says.

    Parameters
    ----------
    request_id : str
        Empty where the caller gave none.
    left_ms : int or None
        How long the caller waits.
    parts : tuple of (str, int)
        Parts of the prompt in order and the tokens of each.
    prompt_tokens, max_output_tokens : int
    resume_after : str
        Id of the last event that the caller has of a stream.
    passed : tuple of (str, str)
        Headers that a backend server gets to see as they came.
    """

    request_id: str
    left_ms: int | None = None
    parts: tuple[tuple[str, int], ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    resume_after: str = ""
    passed: tuple[tuple[str, str], ...] = ()


class UpstreamHead(Struct, frozen=True):
    """What the daemon itself says in the head of a request to a server.

    Parameters
    ----------
    server : str
        Server that is meant; no other may run the request.
    incarnation : int
    left_ms : int
    urgency : int
    resume_after : str
    prefix_source : str
        Address of a server that shared parts of the prompt are copied from.
    """

    server: str
    incarnation: int
    left_ms: int
    urgency: int
    resume_after: str = ""
    prefix_source: str = ""


class ResponseHead(Struct, frozen=True):
    """What the head of a backend server's answer says.

    Parameters
    ----------
    request_id : str or None
        Request that the answer belongs to, as far as it tells.
    not_run : bool
        Whether the server says that it did not run the request.
    other_server : bool
        Whether another server than the one meant has answered.
    load : LoadHeader or None
    passed : tuple of (str, str)
        Headers that the caller gets to see.
    """

    request_id: str | None
    not_run: bool
    other_server: bool
    load: LoadHeader | None
    passed: tuple[tuple[str, str], ...]


class Codec(Struct, frozen=True):
    """The functions of one spelling of the headers.

    Parameters
    ----------
    read_request : callable
        Of a list of (name, value) pairs; returns a :class:`RequestHead`.
    write_request : callable
        Of a :class:`RequestHead` and a :class:`UpstreamHead`; returns the pairs of
        the request to a server.
    read_answer : callable
        Of a status and pairs; returns an :class:`ResponseHead`.
    own_answer : callable
        Of a request id; returns the pairs of an answer of the daemon itself.
    """

    read_request: object
    write_request: object
    read_answer: object
    own_answer: object


def chain_blocks(parts):
    """Return ``(blocks, ends)`` of prompt parts.

    A block's hash names all parts up to it, since a part is only of use behind
    the same parts; `ends` tells the tokens up to each.
    """
    blocks = []
    chained = ""
    for name, _ in parts:
        block = hash_text(f"{chained}/{name}")
        chained = f"{block:x}"
        blocks.append(block)
    ends = tuple(itertools.accumulate(tokens for _, tokens in parts))
    return tuple(blocks), ends


def make_native_codec():
    """Return the codec of the product's own header names."""
    return Codec(_read_request, _write_request, _read_answer, _own_answer)


_RESERVED_HEADERS = frozenset(
    {
        "x-expect-server",
        "x-time-left-ms",
        "x-urgency",
        "x-prefix-source",
        "last-event-id",
    }
)


def _read_request(pairs):
    first = dict(reversed(pairs))
    left = first.get("x-time-left-ms", "")
    tokens = first.get("x-tokens", "").split(",")
    return RequestHead(
        request_id=first.get("x-request-id", ""),
        left_ms=int(left) if left.isdecimal() else None,
        parts=tuple(parse_prompt_parts(first.get("x-prompt-parts", ""))),
        prompt_tokens=_count(tokens, 0),
        max_output_tokens=_count(tokens, 1),
        resume_after=first.get("last-event-id", ""),
        passed=tuple(
            p for p in pairs if p[0] not in HOP_BY_HOP_HEADERS | _RESERVED_HEADERS
        ),
    )


def _count(fields, at):
    text = fields[at].strip() if at < len(fields) else ""
    return int(text) if text.isdecimal() else 0


def parse_prompt_parts(text):
    """Yield the ``(name, tokens)`` pairs of ``NAME:TOKENS`` items."""
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        if name and tokens.isdecimal():
            yield name, int(tokens)


def _write_request(head, send):
    pairs = list(head.passed)
    pairs.append(("x-expect-server", f"{send.server}/{send.incarnation}"))
    pairs.append(("x-time-left-ms", str(send.left_ms)))
    pairs.append(("x-urgency", str(send.urgency)))
    if send.resume_after:
        pairs.append(("last-event-id", send.resume_after))
    if send.prefix_source:
        pairs.append(("x-prefix-source", send.prefix_source))
    return pairs


def _read_answer(status, pairs):
    first = dict(reversed(pairs))
    return ResponseHead(
        request_id=first.get("x-request-id"),
        not_run=first.get("x-outcome") == "not_run" or status == 421,
        other_server=status == 421,
        load=parse_load_header(first.get("x-load", "")),
        passed=tuple(p for p in pairs if p[0] not in HOP_BY_HOP_HEADERS),
    )


def _own_answer(request_id):
    return [("x-request-id", request_id)] if request_id else []
