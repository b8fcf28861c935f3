"""Headers between daemons for a routed request that one forwards to another."""

import msgspec
from msgspec import UNSET, Struct, UnsetType

from bluebellbeam.daemon.auth import AUTH_HEADER
from bluebellbeam.daemon.codec import HOP_BY_HOP_HEADERS, ResponseHead
from bluebellbeam.node import event as ev
from bluebellbeam.node.routed import key_workspace
from bluebellbeam.routing import StreamOrigin
from bluebellbeam.utils.counts import parse_count
from bluebellbeam.utils.decoding import decode_json

__all__ = [
    "CODE_HEADER",
    "FORWARD_BYTES_HEADER",
    "FORWARD_HEADER",
    "OFFER_HEADER",
    "ORIGIN_HEADER",
    "OUTCOME_HEADER",
    "RETRY_AFTER_HEADER",
    "ROUTED_PATH",
    "SENDS_HEADER",
    "RoutedForward",
    "encode_forward",
    "read_forward",
    "read_peer_head",
    "read_peer_headers",
    "without_credentials",
    "without_gateway_headers",
]

ROUTED_PATH = "/peer/v1/routed"
FORWARD_HEADER = "x-bluebellbeam-forward"
FORWARD_BYTES_HEADER = "x-bluebellbeam-forward-bytes"
OUTCOME_HEADER = "x-bluebellbeam-outcome"
CODE_HEADER = "x-bluebellbeam-code"
RETRY_AFTER_HEADER = "x-bluebellbeam-retry-after-ms"
OFFER_HEADER = "x-bluebellbeam-offer"
SENDS_HEADER = "x-bluebellbeam-sends"
ORIGIN_HEADER = "x-bluebellbeam-stream-origin"

MAX_FORWARD_HEADER_BYTES = 12 * 1024
"""Largest metadata of a forward that is sent in a header. Larger ones go before the
body: a peer accepts 16 KiB of headers, which those of a caller may take up alone."""

_GATEWAY_HEADER_PREFIX = "x-bluebellbeam-"


class RoutedForward(Struct, frozen=True):
    """Metadata of a routed request that is forwarded to another daemon.

    Parameters
    ----------
    request_id, attempt_key : str
        Id of the request at the sending daemon, and the id that the caller chose.
    revision : int
        Configuration revision of the sender.
    left_ms : int
        Time left for the whole response when the request was forwarded.
    allowed : tuple of str
        Regions that the sender's configuration allows.
    sends : int
        Number of servers to which the request may have been sent already.
    method, host, target : str
        Method, host, and path with query string of the caller's request.
    prompt_tokens, max_output_tokens : int
        Length of the prompt and limit of the output; 0 if unknown.
    blocks, block_ends : tuple of int
        Hash and number of tokens of each prefix of the prompt; see `chain_blocks`.
    last_event_id : str
        Id of the last event that the caller received; empty for a new stream.
    passed : tuple of (str, str)
        Headers forwarded to the backend server unchanged.
    stream_origin : StreamOrigin or None
        Where the stream that the request continues began; None for a new one.
    content_names : tuple of str
        Names of the request by its content.
    trial_part : str
        Part of the prompt in quarantine that the request is a trial of, or empty.
    workspace : str
        Workspace that the key of the caller belongs to; not sent if there is none.
    service : str
        Service that the sender's configuration selects.
    retried_names : tuple of str
        Those of them under which a server was lost.
    """

    request_id: str
    attempt_key: str
    revision: int
    left_ms: int
    allowed: tuple[str, ...]
    sends: int
    method: str
    host: str
    target: str
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    blocks: tuple[int, ...] = ()
    block_ends: tuple[int, ...] = ()
    last_event_id: str = ""
    passed: tuple[tuple[str, str], ...] = ()
    stream_origin: StreamOrigin | None = None
    content_names: tuple[str, ...] = ()
    trial_part: str = ""
    workspace: str | UnsetType = UNSET
    service: str = ""
    retried_names: tuple[str, ...] = ()


def without_credentials(driver, passed):
    """Return the headers to pass on, without keys if the configuration has keys.

    Parameters
    ----------
    driver : Driver
    passed : tuple of (str, str)
        Headers of the caller's request.
    """
    config = driver.node.state.config
    if config is None or not config.has_keys:
        return passed
    return driver.codec.without_credentials(passed)


def encode_forward(driver, command, exchange, left_ms):
    """Return the headers, as (name, value) pairs, and the body of a forward."""
    request = command.request
    forward = RoutedForward(
        request_id=request.request_id,
        attempt_key=request.attempt_key,
        revision=driver.node.state.config.revision,
        left_ms=left_ms,
        allowed=tuple(sorted(request.allowed)),
        sends=request.sends,
        method=request.method,
        host=request.host,
        target=exchange.target,
        prompt_tokens=request.prompt_tokens,
        max_output_tokens=request.max_output_tokens,
        blocks=request.blocks,
        block_ends=request.block_ends,
        last_event_id=exchange.last_event_id,
        passed=without_credentials(driver, exchange.head.passed),
        stream_origin=request.stream_origin,
        content_names=request.content_names,
        trial_part=request.trial_part,
        workspace=key_workspace(request) or UNSET,
        service=request.service,
        retried_names=command.retried_names,
    )
    raw = msgspec.json.encode(forward)
    body = raw + exchange.payload
    signed = driver.auth.sign(ROUTED_PATH, driver.settings.vm, body)
    pairs = [(AUTH_HEADER, signed)]
    if len(raw) <= MAX_FORWARD_HEADER_BYTES:
        pairs.append((FORWARD_HEADER, raw.decode("latin-1")))
        return pairs, exchange.payload
    pairs.append((FORWARD_BYTES_HEADER, str(len(raw))))
    return pairs, body


def read_forward(headers, body):
    """Return the encoded metadata of a forward and the body of its request.

    Parameters
    ----------
    headers : mapping of str to str
    body : bytes
    """
    size = parse_count(headers.get(FORWARD_BYTES_HEADER, ""))
    if size is not None:
        return body[:size], body[size:]
    raw = headers.get(FORWARD_HEADER, "").encode("utf-8", "surrogateescape")
    return raw, body


def read_peer_head(connection):
    """Return the :class:`ResponseHead` of a peer's response to a forward."""
    first = dict(reversed(connection.headers))
    passed = tuple(p for p in connection.headers if p[0] not in HOP_BY_HOP_HEADERS)
    return ResponseHead(
        request_id=first.get(FORWARD_HEADER),
        not_run=first.get(OUTCOME_HEADER) == "not_run",
        other_server=False,
        load=None,
        passed=without_gateway_headers(passed),
    )


def without_gateway_headers(pairs):
    """Return the headers that are not those between daemons.

    Passed on to a peer, one that a backend server has sent would be taken for that of
    the daemon.

    Parameters
    ----------
    pairs : tuple of (str, str)
    """
    if not any(name.startswith(_GATEWAY_HEADER_PREFIX) for name, _ in pairs):
        return pairs
    return tuple(p for p in pairs if not p[0].startswith(_GATEWAY_HEADER_PREFIX))


def read_peer_headers(driver, command, connection, progress):
    """Report the peer's offer; record its sends and where its stream began."""
    first = dict(reversed(connection.headers))
    _report_offer(driver, command, first.get(OFFER_HEADER, ""))
    sends = first.get(SENDS_HEADER, "")
    progress.sends = parse_count(sends)
    if ORIGIN_HEADER in first:
        progress.origin = decode_json(first[ORIGIN_HEADER], StreamOrigin)


def _report_offer(driver, command, value):
    spare, _, wait_ms = value.partition(" ")
    try:
        offer = (float(spare), float(wait_ms))
    except ValueError:
        # A peer without a configuration or without a pool for the request sends
        # no offer.
        return
    driver.handle(ev.CapacityOfferReceived(command.peer, command.request.pool, *offer))
