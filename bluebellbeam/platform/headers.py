"""Codec of the platform's request and response headers."""

import re

from bluebellbeam.daemon.codec import (
    HOP_BY_HOP_HEADERS,
    Codec,
    RequestHead,
    ResponseHead,
    parse_prompt_parts,
)
from bluebellbeam.platform.tenants import MAX_KEY_BYTES, digest_key
from bluebellbeam.provider.records import BrittleStatement, LimitStatement, LoadHeader
from bluebellbeam.utils.counts import parse_count

__all__ = [
    "BRITTLE_HEADER",
    "LEAVING_HEADER",
    "LIMIT_HEADER",
    "MAX_PAUSE_MS",
    "make_platform_codec",
    "read_brittle",
    "read_limit",
    "states_leaving",
]

# Id of a request, chosen by the caller anew for each attempt; echoed by the server.
REQUEST_ID_HEADER = "x-attempt-id"
# Time in ms until the deadline.
TIME_LEFT_HEADER = "x-deadline-ms"
# "PROMPT,OUTPUT": tokens of the prompt and limit of the output tokens.
TOKENS_HEADER = "x-token-count"
# "NAME:TOKENS,...": parts of the prompt in order, with their numbers of tokens.
PROMPT_PARTS_HEADER = "x-prompt-prefix"
# Id of the last event that the caller received of the stream that it resumes.
RESUME_AFTER_HEADER = "last-event-id"
# Id of the request that brought the first event of that stream.
RESUMES_HEADER = "resumes"
# Name of the only server that may run the request.
TARGET_HEADER = "x-target-instance"
# "RUNNING,WAITING,SLOTS" of the responding server, and optionally the current duration
# of work on its machine in percent of the usual one.
LOAD_HEADER = "x-server-load"
# Requests per second that the server accepts from all daemons together.
LIMIT_HEADER = "server-limit"
# Refusals in a second beyond which the server ends, in all responses of the servers of
# a service while that holds.
BRITTLE_HEADER = "server-brittle"
# "1" in all responses of a server that is leaving.
LEAVING_HEADER = "server-leaving"
# Seconds, possibly with a fraction, in which a server that refuses a request with
# status 503 wants no other one from this daemon.
RETRY_AFTER_HEADER = "retry-after"
# Present in an error response if the server did not run the request.
NOT_RUN_HEADER = "x-not-executed"
# Scheduling priority at the server; `MIN_URGENCY` is the most urgent.
URGENCY_HEADER = "x-request-priority"
# Key of the caller, nothing else.
KEY_HEADER = "api-key"
# Name of the tenant that the key of the caller belongs to, for the server.
TENANT_HEADER = "x-tenant"
# Address of a server to copy the cached prompt prefix from.
PREFIX_SOURCE_HEADER = "kv-fetch"

RESERVED_HEADERS = frozenset(
    {
        TIME_LEFT_HEADER,
        RESUME_AFTER_HEADER,
        TARGET_HEADER,
        URGENCY_HEADER,
        PREFIX_SOURCE_HEADER,
        "kv-from",
        "x-expected-version",
        "x-hold",
        "x-kv-backup",
        "x-pin-ms",
    }
)
"""Headers reserved for the gateway; removed from the requests of callers."""

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
"""Form of a number; more digits than these do not come from a working server."""

MAX_REPORTED_COUNT = 100_000
"""Largest plausible number of requests or slots in a load header."""

DURATION_PERCENT_RANGE = (10, 10_000)
"""Bounds of the reported duration of work in percent; figures beyond are clamped."""

MAX_LOGGED_CHARACTERS = 64
"""Length at which a malformed header value is cut off for the log."""

MAX_PAUSE_MS = 60_000
"""Longest pause that a server gets; one that asks for more is tried again then."""

_LOAD = re.compile(r" *[0-9]{1,9} *(, *[0-9]{1,9} *){2,3}")
"""Form of a load header: three or four whole numbers without a sign."""

_NOT_RUN_DENIALS = frozenset({"", "0", "false", "no"})

_NO_LIMIT = LimitStatement()
_NOT_BRITTLE = BrittleStatement()

MIN_URGENCY = 1
MAX_URGENCY = 9


def make_platform_codec():
    """Return the codec of the platform's header names."""
    return Codec(
        _read_request,
        _write_request,
        _read_response,
        _own_response_headers,
        _without_credentials,
    )


def _read_request(pairs):
    first = dict(reversed(pairs))
    left = first.get(TIME_LEFT_HEADER, "").partition(".")[0]
    prompt, _, output = first.get(TOKENS_HEADER, "").partition(",")
    key_digest, key_fault = _read_key(pairs)
    return RequestHead(
        request_id=first.get(REQUEST_ID_HEADER, ""),
        left_ms=parse_count(left),
        parts=tuple(parse_prompt_parts(first.get(PROMPT_PARTS_HEADER, ""))),
        prompt_tokens=parse_count(prompt.strip(), 0),
        max_output_tokens=parse_count(output.strip(), 0),
        resume_after=first.get(RESUME_AFTER_HEADER, ""),
        resumes=first.get(RESUMES_HEADER, ""),
        passed=tuple(
            p for p in pairs if p[0] not in HOP_BY_HOP_HEADERS | RESERVED_HEADERS
        ),
        key_digest=key_digest,
        key_fault=key_fault,
    )


def _read_key(pairs):
    """Return the digest of the caller's key, or "" and why there is none."""
    keys = [value for name, value in pairs if name == KEY_HEADER]
    if not keys:
        return "", "missing"
    if len(keys) > 1:
        return "", "repeated"
    if not keys[0]:
        return "", "empty"
    if len(keys[0].encode(errors="surrogateescape")) > MAX_KEY_BYTES:
        return "", "oversized"
    return digest_key(keys[0]), ""


def _without_credentials(pairs):
    return tuple(p for p in pairs if p[0] not in (KEY_HEADER, TENANT_HEADER))


def _write_request(head, upstream):
    pairs = list(head.passed)
    pairs.append((TARGET_HEADER, upstream.server))
    pairs.append((TIME_LEFT_HEADER, str(upstream.left_ms)))
    if any(name == PROMPT_PARTS_HEADER for name, _ in head.passed):
        urgency = min(MAX_URGENCY, MIN_URGENCY + upstream.urgency)
        pairs.append((URGENCY_HEADER, str(urgency)))
    if upstream.resume_after:
        pairs.append((RESUME_AFTER_HEADER, upstream.resume_after))
    if upstream.prefix_source:
        pairs.append((PREFIX_SOURCE_HEADER, upstream.prefix_source))
    if upstream.tenant:
        pairs.append((TENANT_HEADER, upstream.tenant))
    return pairs


def _read_response(status, pairs):
    first = dict(reversed(pairs))
    text = first.get(LOAD_HEADER, "")
    load = _read_load(text) if text else None
    return ResponseHead(
        request_id=first.get(REQUEST_ID_HEADER),
        not_run=status == 421
        or (NOT_RUN_HEADER in first and _states_not_run(status, pairs)),
        other_server=status == 421,
        load=load,
        malformed_load=text[:MAX_LOGGED_CHARACTERS] if text and load is None else "",
        passed=tuple(p for p in pairs if p[0] not in _CONSUMED_HEADERS),
        limit=_read_limit_header(first, pairs),
        brittle=_NOT_BRITTLE
        if BRITTLE_HEADER not in first
        else read_brittle([v for name, v in pairs if name == BRITTLE_HEADER]),
        pause_ms=_read_pause_ms(status, pairs) if RETRY_AFTER_HEADER in first else 0,
        leaving=LEAVING_HEADER in first
        and states_leaving([v for name, v in pairs if name == LEAVING_HEADER]),
    )


_CONSUMED_HEADERS = HOP_BY_HOP_HEADERS | {
    LOAD_HEADER,
    LIMIT_HEADER,
    BRITTLE_HEADER,
    LEAVING_HEADER,
}
"""Headers of a response that are not passed on to the caller."""


def _states_not_run(status, pairs):
    """Return whether a response with `NOT_RUN_HEADER` states that nothing has run.

    A success contradicts that, and so does a value that denies it.
    """
    values = {value.strip().lower() for name, value in pairs if name == NOT_RUN_HEADER}
    return status >= 400 and values.isdisjoint(_NOT_RUN_DENIALS)


def _read_limit_header(first, pairs):
    if LIMIT_HEADER not in first:
        return _NO_LIMIT
    return read_limit([value for name, value in pairs if name == LIMIT_HEADER])


def _read_pause_ms(status, pairs):
    """Return the pause in ms that a refusal asks for; 0 if none or malformed."""
    values = [value for name, value in pairs if name == RETRY_AFTER_HEADER]
    seconds = _read_decimal(values) if status == 503 else None
    return min(MAX_PAUSE_MS, round(1000.0 * seconds)) if seconds else 0


def states_leaving(values):
    """Return whether the values of the header `LEAVING_HEADER` state a leaving."""
    return [value.strip() for value in values] == ["1"]


def read_limit(values):
    """Return the :class:`LimitStatement` of a response, or None if it is malformed.

    Parameters
    ----------
    values : list of str
        Values of the header `LIMIT_HEADER`, one for each time that it is present.
    """
    return _read_statement(values, LimitStatement)


def read_brittle(values):
    """Return the :class:`BrittleStatement` of a response, or None if it is malformed.

    Parameters
    ----------
    values : list of str
        Values of the header `BRITTLE_HEADER`, one for each time that it is present.
    """
    return _read_statement(values, BrittleStatement)


def _read_statement(values, make_statement):
    """Return the statement in the only one of `values`, an empty one if there is none.

    Returns None if it is malformed.
    """
    if not values:
        return make_statement()
    number = _read_decimal(values)
    return None if number is None else make_statement(number)


def _read_decimal(values):
    """Return the number in the only one of `values`, or None if it is malformed."""
    text = values[0].strip()
    if len(values) > 1 or not _DECIMAL.fullmatch(text):
        return None
    return float(text)


def _read_load(text):
    """Return the :class:`LoadHeader` of a header value, or None if it is malformed."""
    if not _LOAD.fullmatch(text):
        return None
    counts = [int(item) for item in text.split(",")]
    if max(counts[:3]) > MAX_REPORTED_COUNT:
        return None
    percent = counts[3] if len(counts) == 4 else 0
    if percent:
        lowest, highest = DURATION_PERCENT_RANGE
        percent = min(highest, max(lowest, percent))
    return LoadHeader(counts[0], counts[1], 0, duration_percent=percent)


def _own_response_headers(request_id):
    return [(REQUEST_ID_HEADER, request_id)] if request_id else []
