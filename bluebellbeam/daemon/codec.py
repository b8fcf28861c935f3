"""Translation between HTTP headers and the fields that the daemon uses.

A codec is a set of functions for one set of header names. The native codec is
defined here; the adapter of a platform defines its own.
"""

import itertools

from msgspec import Struct

from bluebellbeam.provider.records import (
    BrittleStatement,
    LimitStatement,
    LoadHeader,
    parse_load_header,
)
from bluebellbeam.utils.counts import parse_count
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
    "shared_part_names",
    "states_not_run",
]

MAX_PART_NAMES = 64
"""Largest number of parts of a prompt whose names are kept."""

MAX_PART_NAME_LENGTH = 64
"""Longest name of a part that is kept as it is; a longer one is replaced by its hash,
so that the memory for names is bounded."""

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
"""Headers of a single connection, or set anew on each hop; never forwarded."""


class RequestHead(Struct, frozen=True):
    """Fields decoded from the headers of a caller's request.

    Parameters
    ----------
    request_id : str
        Id chosen by the caller; empty if it gave none.
    left_ms : int or None
        Time until the caller's deadline; None if it gave none.
    parts : tuple of (str, int)
        Names of the prompt's parts, in order, with their numbers of tokens.
    prompt_tokens, max_output_tokens : int
        Length of the prompt and limit of the output; 0 if the caller gave none.
    resume_after : str
        Id of the last event that the caller received of the stream that it resumes;
        empty if it resumes none.
    resumes : str
        Id of the request that brought the first event of that stream, or empty.
    passed : tuple of (str, str)
        Headers forwarded to the backend server unchanged.
    key_digest : str
        SHA-256 digest of the key of the caller, in hexadecimal; empty without one.
    key_fault : {"", "missing", "repeated", "empty", "oversized"}
        Why there is no `key_digest`.
    """

    request_id: str
    left_ms: int | None = None
    parts: tuple[tuple[str, int], ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    resume_after: str = ""
    resumes: str = ""
    passed: tuple[tuple[str, str], ...] = ()
    key_digest: str = ""
    key_fault: str = ""


class UpstreamHead(Struct, frozen=True):
    """Fields that the daemon adds to the headers of a request to a server.

    Parameters
    ----------
    server : str
        Name of the target server; no other server may run the request.
    incarnation : int
        Incarnation of the target server.
    left_ms : int
        Time until the deadline.
    urgency : int
        Urgency of the request; 0 is the most urgent.
    resume_after : str
        Id of the last event that the caller received; empty for a new stream.
    prefix_source : str
        Address of a server to copy the cached prompt prefix from, or empty.
    tenant : str
        Workspace that the key of the caller belongs to; empty if it needs no key.
    """

    server: str
    incarnation: int
    left_ms: int
    urgency: int
    resume_after: str = ""
    prefix_source: str = ""
    tenant: str = ""


class ResponseHead(Struct, frozen=True):
    """Fields decoded from the headers of a backend server's response.

    Parameters
    ----------
    request_id : str or None
        Id of the request that the response belongs to; None if the server sent none.
    not_run : bool
        Whether the server confirmed that it did not run the request, also by
        status 421.
    other_server : bool
        Whether the request reached a server other than its target (status 421).
    load : LoadHeader or None
        Load that the server reported; None if it reported none.
    passed : tuple of (str, str)
        Headers forwarded to the caller.
    limit : LimitStatement or None
        Limit that the server stated or did not state; None if that cannot be read.
    brittle : BrittleStatement or None
        How many refusals the server bears, or None if that cannot be read.
    leaving : bool
        Whether the server stated that it is leaving.
    pause_ms : int
        Time in which the server wants no request of this daemon; 0 for none.
    malformed_load : str
        Beginning of a load header that cannot be read; empty otherwise.
    """

    request_id: str | None
    not_run: bool
    other_server: bool
    load: LoadHeader | None
    passed: tuple[tuple[str, str], ...]
    limit: LimitStatement | None = LimitStatement()
    brittle: BrittleStatement | None = BrittleStatement()
    leaving: bool = False
    pause_ms: int = 0
    malformed_load: str = ""


class Codec(Struct, frozen=True):
    """Functions that decode and encode headers with one set of names.

    Parameters
    ----------
    read_request : callable
        Maps a list of (name, value) pairs to a :class:`RequestHead`.
    write_request : callable
        Maps a :class:`RequestHead` and an :class:`UpstreamHead` to the list of
        pairs of the request to a server.
    read_answer : callable
        Maps a status and a list of pairs to a :class:`ResponseHead`.
    own_answer : callable
        Maps a request id to the list of pairs of a response that the daemon itself
        generates.
    without_credentials : callable
        Maps a tuple of pairs to those that are neither the key of the caller nor the
        name of its workspace.
    """

    read_request: object
    write_request: object
    read_answer: object
    own_answer: object
    without_credentials: object


def chain_blocks(parts):
    """Return the hash and the length of each prefix of a prompt.

    A prefix ends with each part. Its hash covers all parts up to there, because a
    cached part can only be reused after the same preceding parts.

    Parameters
    ----------
    parts : tuple of (str, int)
        Name and number of tokens of each part, in order.

    Returns
    -------
    blocks : tuple of int
        Hash of each prefix.
    ends : tuple of int
        Number of tokens in each prefix.
    """
    blocks = []
    chained = ""
    for name, _ in parts:
        block = hash_text(f"{chained}/{name}")
        chained = f"{block:x}"
        blocks.append(block)
    ends = tuple(itertools.accumulate(tokens for _, tokens in parts))
    return tuple(blocks), ends


def shared_part_names(parts):
    """Return the names of the parts that a prompt may have in common with others.

    These are all but the last one, which belongs to the request itself. At most
    `MAX_PART_NAMES` are returned.

    Parameters
    ----------
    parts : tuple of (str, int)
        Name and number of tokens of each part, in order.
    """
    return tuple(
        name if len(name) <= MAX_PART_NAME_LENGTH else f"{hash_text(name):x}"
        for name, _ in parts[:-1][:MAX_PART_NAMES]
    )


def states_not_run(status, outcome):
    """Return whether a response with the given outcome denies that its request ran.

    A success contradicts that outcome.

    Parameters
    ----------
    status : int
    outcome : str or None
    """
    return status == 421 or (status >= 400 and outcome == "not_run")


def make_native_codec():
    """Return the codec of the native header names."""
    return Codec(
        _read_request, _write_request, _read_response, _own_response_headers, tuple
    )


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
        left_ms=parse_count(left),
        parts=tuple(parse_prompt_parts(first.get("x-prompt-parts", ""))),
        prompt_tokens=_parse_count(tokens, 0),
        max_output_tokens=_parse_count(tokens, 1),
        resume_after=first.get("last-event-id", ""),
        resumes=first.get("x-resumes", ""),
        passed=tuple(
            p for p in pairs if p[0] not in HOP_BY_HOP_HEADERS | _RESERVED_HEADERS
        ),
    )


def _parse_count(fields, index):
    text = fields[index].strip() if index < len(fields) else ""
    return parse_count(text, 0)


def parse_prompt_parts(text):
    """Yield the ``(name, tokens)`` pairs of comma-separated ``NAME:TOKENS`` items.

    Malformed items are skipped.
    """
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        count = parse_count(tokens)
        if name and count is not None:
            yield name, count


def _write_request(head, upstream):
    pairs = list(head.passed)
    pairs.append(("x-expect-server", f"{upstream.server}/{upstream.incarnation}"))
    pairs.append(("x-time-left-ms", str(upstream.left_ms)))
    pairs.append(("x-urgency", str(upstream.urgency)))
    if upstream.resume_after:
        pairs.append(("last-event-id", upstream.resume_after))
    if upstream.prefix_source:
        pairs.append(("x-prefix-source", upstream.prefix_source))
    return pairs


def _read_response(status, pairs):
    first = dict(reversed(pairs))
    return ResponseHead(
        request_id=first.get("x-request-id"),
        not_run=states_not_run(status, first.get("x-outcome")),
        other_server=status == 421,
        load=parse_load_header(first.get("x-load", "")),
        passed=tuple(p for p in pairs if p[0] not in HOP_BY_HOP_HEADERS),
    )


def _own_response_headers(request_id):
    return [("x-request-id", request_id)] if request_id else []
