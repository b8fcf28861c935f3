"""HTTP handling of routed requests, from callers and forwarded by peers.

A routed request is any HTTP request whose host and path match a route of the
configuration. The route selects the service, which gets the method and path of the
caller's request.
"""

import re

import msgspec
from sanic import response

from bluebellbeam.daemon.codec import (
    HOP_BY_HOP_HEADERS,
    chain_blocks,
    shared_part_names,
)
from bluebellbeam.daemon.exchange import (
    Chunk,
    End,
    Failed,
    FullResponse,
    Head,
    RoutedExchange,
)
from bluebellbeam.daemon.listener import make_listener_app, read_on, status_of_outcome
from bluebellbeam.daemon.request_bodies import hold_body, release_body
from bluebellbeam.daemon.routed_forward import (
    CODE_HEADER,
    FORWARD_HEADER,
    OFFER_HEADER,
    ORIGIN_HEADER,
    OUTCOME_HEADER,
    RETRY_AFTER_HEADER,
    SENDS_HEADER,
    without_credentials,
)
from bluebellbeam.daemon.wire import encode_error
from bluebellbeam.node import Request, current_offer, make_error
from bluebellbeam.quarantine import request_names
from bluebellbeam.utils.header_bytes import to_listener

__all__ = [
    "METHODS",
    "run_routed_request",
    "apply_limits",
    "make_forwarded_routed_request",
    "make_routed_app",
    "peer_header_factory",
    "routed_error_response",
    "serve_routed_request",
]

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Limit of the listener; the limit of the configuration is checked per request."""

_ABSOLUTE_URL = re.compile(r"https?://(?P<host>[^/?#]+)(?P<path>.*)", re.IGNORECASE)
_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n\x00]*")


def make_routed_app(driver):
    """Return the sanic application of a caller listener for routed requests only."""
    app = make_listener_app("routed", driver.settings.vm, MAX_BODY_BYTES)
    driver.on_caller_limits = lambda limits: apply_limits(app, limits)

    async def serve(request, path=""):
        return await serve_routed_request(driver, request)

    app.add_route(serve, "/", METHODS, name="root")
    app.add_route(serve, "/<path:path>", METHODS, name="any")
    return app


def apply_limits(app, limits):
    """Apply the configured timeouts of callers to new connections.

    Parameters
    ----------
    app : sanic.Sanic
    limits : CallerLimits
    """
    app.config.REQUEST_TIMEOUT = limits.header_timeout_ms / 1000.0
    app.config.KEEP_ALIVE_TIMEOUT = limits.idle_timeout_ms / 1000.0


async def serve_routed_request(driver, request, workspace=""):
    """Serve a caller's request according to its route.

    Parameters
    ----------
    driver : Driver
    request : sanic.Request
    workspace : str
        Workspace of the caller, to whose routes the request is limited. Empty if
        callers do not identify a workspace.
    """
    head = driver.codec.read_request(_header_pairs(request.head))
    # Removed on arrival as well as before each attempt: the configuration may lose
    # its keys while the request waits.
    passed = without_credentials(driver, head.passed)
    head = msgspec.structs.replace(head, passed=passed)
    request_id = head.request_id
    if not _is_well_formed(request.head):
        request.stream.keep_alive = False
        return routed_error_response(driver, make_error("bad_request"), request_id)
    host, target = _host_and_target(request)
    if not request_id or not host:
        text = "The request has no id of its own or names no host."
        error = make_error("bad_request", message=text)
        return routed_error_response(driver, error, request_id)
    error = _check_limits(driver, request)
    if error is not None:
        return routed_error_response(driver, error, request_id)
    node_request = _make_request(driver, request, head, host, target, workspace)
    exchange = RoutedExchange(
        node_request, request.body, head, target, driver.clock.now_ms()
    )
    request.body = b""
    return await run_routed_request(driver, request, exchange, _no_headers)


def _host_and_target(request):
    """Return the host of a request, and its path with the query.

    A request line may hold a whole URL (RFC 9112, section 3.2.2), whose host then goes
    before the header.
    """
    host = request.headers.get("host", "")
    target = request.raw_url.decode("latin-1")
    url = _ABSOLUTE_URL.fullmatch(target)
    if url is None:
        return host, target
    path = url["path"]
    return url["host"], path if path.startswith("/") else f"/{path}"


def _header_pairs(head):
    """Return the headers in the bytes of a request's head, with names in lower case.

    Values hold one character for each byte. Only spaces and tabs around them are
    removed (RFC 9110, section 5.5); sanic removes all white space of Unicode.
    """
    fields = (line.partition(b":") for line in head.split(b"\r\n")[1:] if line)
    return [
        (name.decode("latin-1").lower(), value.strip(b" \t").decode("latin-1"))
        for name, _, value in fields
    ]


def _is_well_formed(head):
    """Return whether every header line has the form ``NAME:VALUE``.

    Servers disagree on a space after the name, a folded line or a bare line feed, which
    would allow request smuggling.
    """
    lines = head.split(b"\r\n")[1:]
    return all(_HEADER_LINE.fullmatch(line) for line in lines if line)


def _check_limits(driver, request):
    config = driver.node.state.config
    if config is None:
        return None
    limits = config.base.caller_limits
    if len(request.head) > limits.max_header_bytes:
        return make_error("headers_too_large")
    if len(request.body) > limits.max_body_bytes:
        return make_error("too_large")
    return None


def _make_request(driver, request, head, host, target, workspace):
    blocks, ends = chain_blocks(head.parts)
    now_ms = driver.clock.now_ms()
    return Request(
        driver.new_routed_id(head.request_id),
        workspace,
        host=host,
        method=request.method,
        path=target.partition("?")[0],
        attempt_key=head.request_id,
        response_deadline_ms=now_ms + head.left_ms if head.left_ms is not None else 0,
        prompt_tokens=head.prompt_tokens,
        max_output_tokens=head.max_output_tokens,
        blocks=blocks,
        block_ends=ends,
        prompt_parts=shared_part_names(head.parts),
        content_names=request_names(
            head.key_digest or workspace,
            request.method,
            host,
            target,
            request.body,
            head.parts,
        ),
        resume_after=head.resume_after,
        resumes=head.resumes,
        key_digest=head.key_digest,
        key_fault=head.key_fault,
    )


def make_forwarded_routed_request(driver, forward, vm, request_id):
    """Return the node's :class:`Request` for a forward from daemon `vm`."""
    now_ms = driver.clock.now_ms()
    parts = driver.codec.read_request(forward.passed).parts
    return Request(
        request_id,
        forward.workspace or "",
        origin=vm,
        host=forward.host,
        method=forward.method,
        path=forward.target.partition("?")[0],
        attempt_key=forward.attempt_key,
        response_deadline_ms=now_ms + forward.left_ms,
        prompt_tokens=forward.prompt_tokens,
        max_output_tokens=forward.max_output_tokens,
        blocks=forward.blocks,
        block_ends=forward.block_ends,
        prompt_parts=shared_part_names(parts),
        allowed=frozenset(forward.allowed),
        revision=forward.revision,
        decided_service=forward.service,
        sends=forward.sends,
        stream_origin=forward.stream_origin,
        content_names=forward.content_names,
        retried_names=forward.retried_names,
        trial_part=forward.trial_part,
    )


async def run_routed_request(driver, request, exchange, make_headers):
    """Run a routed request and send its response.

    Parameters
    ----------
    driver : Driver
    request : sanic.Request
    exchange : RoutedExchange
    make_headers : callable
        Maps the `CallerError` of a failed request, or None, to the list of (name,
        value) pairs to add to the response.
    """
    request_id = exchange.request.request_id
    if not hold_body(driver.request_bodies, exchange):
        return _refuse_body(driver, exchange, make_headers)
    read_on(request)
    try:
        driver.accept_routed(exchange)
        item = await exchange.next_item()
        if driver.node.state.leaving:
            request.stream.keep_alive = False
        match item:
            case Failed(error):
                return _failure_response(driver, exchange, error, make_headers)
            case FullResponse(status, headers, payload):
                return _full_response(status, headers, payload, make_headers(None))
            case Head(status, headers):
                await _stream(request, exchange, status, headers, make_headers(None))
                return None
    finally:
        driver.release(request_id)
        release_body(driver.request_bodies, exchange)


def _refuse_body(driver, exchange, make_headers):
    """Return the response to a request whose body would take too much memory."""
    error = make_error("bodies_full")
    request_id = exchange.request.attempt_key
    driver.log.info(
        "routed: refuse a request for want of memory",
        vm=driver.settings.vm,
        request_id=request_id,
        body_bytes=len(exchange.payload),
        held_bytes=driver.request_bodies.used_bytes,
    )
    return routed_error_response(driver, error, request_id, make_headers(error))


def _failure_response(driver, exchange, error, make_headers):
    """Return the response for a failed request.

    A 5xx response of a server is passed on unchanged, unless the request counts
    as not run.
    """
    if exchange.failed_response is not None and error.outcome != "not_run":
        failed = exchange.failed_response
        extra = make_headers(None)
        return _full_response(failed.status, failed.headers, failed.payload, extra)
    request_id = exchange.request.attempt_key
    return routed_error_response(driver, error, request_id, make_headers(error))


def _full_response(status, headers, payload, extra):
    pairs, content_type = _split_content_type((*headers, *extra))
    return response.raw(payload, status, pairs, content_type)


def _split_content_type(pairs):
    """Return the forwarded headers as a dict, and the content type or None."""
    headers = {}
    content_type = None
    for name, value in pairs:
        value = to_listener(value)
        if name == "content-type":
            content_type = value
        elif name not in HOP_BY_HOP_HEADERS:
            headers[name] = (
                value if name not in headers else f"{headers[name]}, {value}"
            )
    return headers, content_type


async def _stream(request, exchange, status, headers, extra):
    pairs, content_type = _split_content_type((*headers, *extra))
    stream = await request.respond(
        status=status, headers=pairs, content_type=content_type
    )
    try:
        while True:
            match await exchange.next_item():
                case Chunk(events):
                    await stream.send(b"".join(events))
                case End():
                    await stream.eof()
                    return
                case Failed():
                    _abort_response(request)
                    return
    except BaseException:
        _abort_response(request)
        raise


def _abort_response(request):
    """Close the connection so that the caller sees a truncated response.

    If the handler returned or raised instead, sanic would end the response as if
    it were complete.
    """
    request.stream.keep_alive = False
    if request.transport is not None:
        request.transport.close()


def routed_error_response(driver, error, request_id, extra=()):
    """Return the response for an error of the daemon itself, not of a server."""
    status = _outcome_status(error)
    headers = dict(driver.codec.own_answer(request_id))
    headers.update(extra)
    if error.retry_after_ms and error.outcome == "not_run":
        headers["retry-after"] = f"{error.retry_after_ms / 1000.0:.1f}"
    body = encode_error(error, request_id)
    return response.raw(body, status, headers, "application/json")


def _outcome_status(error):
    """Return a status of `error` that does not contradict its outcome.

    A request that did not run never gets a 5xx status other than 503. One that may
    have run never gets a status of `NOT_RUN_STATUSES`.
    """
    if error.outcome == "not_run" and error.status >= 500:
        return 503
    return status_of_outcome(error)


def _no_headers(error):
    """Return no additional headers, as for every response to a caller."""
    return []


def _send_count(node_request):
    """Return how many servers this daemon may have sent a forwarded request to."""
    return (
        node_request.sends
        - node_request.sends_before_arrival
        + len(node_request.running_attempts)
    )


def peer_header_factory(driver, node_request, request_id):
    """Return the function that makes the headers of a response to a peer.

    Parameters
    ----------
    driver : Driver
    node_request : Request
        The forwarded request at this daemon.
    request_id : str
        Id of the request at the peer.
    """

    def make_headers(error):
        pairs = [
            (FORWARD_HEADER, request_id),
            (SENDS_HEADER, str(_send_count(node_request))),
        ]
        if node_request.pool and driver.node.state.config is not None:
            now_ms = driver.clock.now_ms()
            spare, wait_ms = current_offer(driver.node.state, node_request.pool, now_ms)
            pairs.append((OFFER_HEADER, f"{spare} {wait_ms}"))
        if node_request.stream_origin is not None:
            origin = msgspec.json.encode(node_request.stream_origin).decode()
            pairs.append((ORIGIN_HEADER, origin))
        if error is not None:
            pairs.append((OUTCOME_HEADER, error.outcome))
            pairs.append((CODE_HEADER, error.code))
            pairs.append((RETRY_AFTER_HEADER, str(error.retry_after_ms)))
        return pairs

    return make_headers
