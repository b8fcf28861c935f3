"""Attempts to run requests at engines, plain services and lending daemons.

An attempt is reported to the node when its response begins and when it ends. A
call that is not idempotent is sent through a separate session that cannot retry
it; see :mod:`bluebellbeam.daemon.single_use`. Attempts of routed requests are in
:mod:`bluebellbeam.daemon.routed_attempt`.
"""

import asyncio
import contextlib

import aiohttp
import msgspec

from bluebellbeam.daemon.auth import AUTH_HEADER
from bluebellbeam.daemon.codec import states_not_run
from bluebellbeam.daemon.exchange import Chunk, End, Head
from bluebellbeam.daemon.listener import NOT_RUN_STATUSES
from bluebellbeam.daemon.response_buffers import MAX_BUFFERED_BYTES
from bluebellbeam.daemon.single_use import single_use_session
from bluebellbeam.daemon.sse import MAX_EVENT_BYTES
from bluebellbeam.daemon.wire import ForwardRequest, ForwardResponse, decode_error
from bluebellbeam.exception import UpstreamError
from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import ERRORS, make_error
from bluebellbeam.operations import MAX_RECORDED_RESPONSE_BYTES
from bluebellbeam.provider.records import parse_load_header
from bluebellbeam.utils.decoding import decode_json
from bluebellbeam.utils.http_body import read_body

__all__ = ["RecordedResponse", "run_attempt"]

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 120.0
"""Socket read timeout, which bounds the wait for the first byte; the node normally
cancels or moves the attempt earlier."""

MAX_ERROR_BODY_BYTES = 64 * 1024
"""Largest body of an error response that is read."""

MAX_FORWARDED_BODY_BYTES = 2 * MAX_BUFFERED_BYTES
"""Largest response of a peer to a forwarded call, whose body is encoded as base64."""

STREAM_STALL_TIMEOUT_S = 4.0
"""Longest time without a complete event after a stream has begun. Comments and blank
lines do not count, since a server that has stalled may go on sending them."""

FORWARD_PATH = "/peer/v1/forward"
EXPECTED_SERVER_HEADER = "x-expect-server"
SERVER_HEADER = "x-backend-server"
LOAD_HEADER = "x-load"
OUTCOME_HEADER = "x-outcome"

FORWARDED_REQUEST_HEADERS = (
    "content-type",
    "accept",
    "accept-language",
    "if-none-match",
)
"""Request headers of a caller that are forwarded to a plain service."""

FORWARDED_RESPONSE_HEADERS = ("content-type", "etag", "cache-control", "location")
"""Response headers of a plain service that are forwarded to the caller."""


class RecordedResponse(msgspec.Struct, frozen=True):
    """Response to a non-idempotent call, kept for repeats of the call."""

    status: int
    headers: dict[str, str]
    payload: bytes


class Progress:
    """Progress of an attempt.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have been sent.
    response_started : bool
        Whether the start of the response has been reported to the node.
    settled : bool
        Whether the end has been reported to the node, or no longer matters.
    """

    __slots__ = ("sent", "response_started", "settled")

    def __init__(self):
        self.sent = False
        self.response_started = False
        self.settled = False


async def run_attempt(driver, command):
    """Run the attempt of a :class:`StartAttempt` and report its result.

    Parameters
    ----------
    driver : Driver
    command : StartAttempt
    """
    exchange = driver.exchanges.get(command.request.request_id)
    if exchange is None:
        return
    progress = Progress()
    reason = "failed"
    try:
        if driver.clock.now_ms() >= command.expires_ms and not exchange.emitted:
            reason = "timeout"
        elif command.peer:
            await _run_forwarded(driver, command, exchange, progress)
        elif command.request.service:
            await _run_service(driver, command, exchange, progress)
        else:
            await _run_engine(driver, command, exchange, progress)
    except (
        aiohttp.ConnectionTimeoutError,
        aiohttp.ClientConnectorError,
        ConnectionRefusedError,
    ):
        progress.sent = False
    except TimeoutError:
        reason = "timeout"
    except (aiohttp.ClientError, OSError, ValueError, msgspec.DecodeError) as error:
        reason = type(error).__name__
    except UpstreamError as error:
        reason = str(error)
    except Exception:
        driver.log.exception(
            "upstream: attempt raised an exception", vm=driver.settings.vm
        )
        reason = "internal"
    if not progress.settled:
        driver.handle(
            ev.AttemptFailed(
                command.attempt_id, progress.sent, exchange.emitted, reason
            )
        )


def _timeout():
    return aiohttp.ClientTimeout(
        total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
    )


def _target_headers(command):
    return {
        EXPECTED_SERVER_HEADER: f"{command.server}/{command.incarnation}",
        "x-request-id": command.request.request_id,
    }


async def _run_engine(driver, command, exchange, progress):
    request = command.request
    url = f"http://{command.address}{request.path}"
    headers = _target_headers(command)
    headers["content-type"] = "application/json"
    headers["x-priority"] = request.priority
    body = _engine_body(exchange, command.resume_tokens)
    progress.sent = True
    async with driver.session.post(
        url, data=body, headers=headers, timeout=_timeout(), allow_redirects=False
    ) as response:
        if not await _check_response(driver, command, response, progress):
            return
        await _relay_stream(driver, command, exchange, response, progress)


def _engine_body(exchange, resume_tokens):
    body = msgspec.json.decode(exchange.payload)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    if resume_tokens:
        body["resume"] = {"tokens": resume_tokens, "text": "".join(exchange.text)}
    return msgspec.json.encode(body)


async def _check_response(driver, command, response, progress):
    """Check the response to an attempt; return whether to read its body.

    An error response is reported to the node as a refusal. A successful response of
    another server than the target counts as a failed attempt.
    """
    load = _read_load_header(response)
    if response.status == 200:
        served_by = response.headers.get(SERVER_HEADER, "")
        if command.peer or served_by == f"{command.server}/{command.incarnation}":
            return True
        progress.sent = True
        return False
    raw = await read_body(response, MAX_ERROR_BODY_BYTES)
    outcome = response.headers.get(OUTCOME_HEADER, "")
    error = refusal_error(raw, response.status, outcome)
    progress.settled = True
    driver.handle(ev.AttemptRefused(command.attempt_id, error, load))
    return False


def refusal_error(raw, status, reported_outcome):
    """Return the :class:`CallerError` of an error response to an attempt.

    A code that this daemon does not know is replaced: a server that another one was
    expected at has changed, any other has failed.

    Parameters
    ----------
    raw : bytes
        Body of the response.
    status : int
    reported_outcome : str
        Outcome in the headers of the response, or empty.
    """
    error = decode_error(raw, status)
    if error is not None and error.code in ERRORS:
        return error
    not_run = states_not_run(status, reported_outcome)
    if error is not None:
        not_run = not_run or error.outcome == "not_run"
    code = "server_changed" if status == 421 else "upstream_failed"
    return make_error(code, outcome="not_run" if not_run else "unknown")


def _read_load_header(response):
    return parse_load_header(response.headers.get(LOAD_HEADER, ""))


async def _relay_stream(driver, command, exchange, response, progress):
    """Pass on events as they arrive.

    A response that ends without ``[DONE]`` counts as failed.
    """
    load = _read_load_header(response)
    async for batch in _events(response, progress):
        if not _report_start(driver, command, progress):
            progress.settled = True
            return
        complete = batch[-1] == b"[DONE]"
        events = batch[:-1] if complete else batch
        for raw in events:
            text = _event_text(raw)
            if text:
                exchange.text.append(text)
                exchange.emitted += 1
        if events:
            await exchange.put(Chunk(tuple(events)))
        if complete:
            progress.settled = True
            driver.handle(
                ev.AttemptFinished(command.attempt_id, exchange.emitted, None, load)
            )
            await exchange.put(End())
            return


async def _events(response, progress):
    """Yield lists of event data, one for each read from the socket.

    Raises TimeoutError if a stream that has begun delivers no event for
    `STREAM_STALL_TIMEOUT_S`. The time that the caller takes to read does not count.
    """
    rest = bytearray()
    loop = asyncio.get_running_loop()
    waiting_since_s = loop.time()
    while True:
        started = progress.response_started
        limit_s = waiting_since_s + STREAM_STALL_TIMEOUT_S if started else None
        async with asyncio.timeout_at(limit_s):
            raw = await response.content.readany()
        if not raw:
            return
        rest += raw
        lines = []
        if b"\n" in raw:
            *lines, last = bytes(rest).split(b"\n")
            rest = bytearray(last)
        if len(rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        found = [line[6:].rstrip(b"\r") for line in lines if line[:6] == b"data: "]
        if found:
            yield found
            waiting_since_s = loop.time()


def _report_start(driver, command, progress):
    """Report the first byte to the node; return whether the attempt still runs.

    The node cancels it if another attempt of the request was faster.
    """
    if not progress.response_started:
        progress.response_started = True
        driver.handle(ev.AttemptStarted(command.attempt_id))
        driver.record_first_token(command.request)
    return command.attempt_id in driver.node.state.attempts


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []


_EVENT_DECODER = msgspec.json.Decoder(_Event)


def _event_text(raw):
    choices = decode_json(raw, _EVENT_DECODER).choices
    if not choices:
        return ""
    first = choices[0]
    if first.delta is not None:
        return first.delta.content or ""
    return first.text or ""


async def _run_service(driver, command, exchange, progress):
    request = command.request
    url = f"http://{command.address}{request.path}"
    if exchange.query:
        url = f"{url}?{exchange.query}"
    headers = {
        name: value
        for name, value in exchange.headers.items()
        if name in FORWARDED_REQUEST_HEADERS
    }
    headers |= _target_headers(command)
    left_s = max(0.05, (request.deadline_ms - driver.clock.now_ms()) / 1000.0)
    timeout = aiohttp.ClientTimeout(total=left_s, sock_connect=CONNECT_TIMEOUT_S)
    progress.sent = True
    async with (
        _session(driver, request) as session,
        session.request(
            request.method,
            url,
            data=exchange.payload,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response,
    ):
        if states_not_run(response.status, response.headers.get(OUTCOME_HEADER)):
            await read_body(response, MAX_ERROR_BODY_BYTES)
            progress.settled = True
            error = make_error("upstream_failed", outcome="not_run")
            driver.handle(ev.AttemptRefused(command.attempt_id, error, None))
            return
        payload = await read_body(response, MAX_BUFFERED_BYTES)
        response_headers = {
            n: response.headers[n]
            for n in FORWARDED_RESPONSE_HEADERS
            if n in response.headers
        }
        await _finish_service(
            driver,
            command,
            exchange,
            progress,
            response.status,
            response_headers,
            payload,
        )


async def _finish_service(
    driver, command, exchange, progress, status, headers, payload
):
    if status in NOT_RUN_STATUSES:
        text = f"the response with status {status} does not deny that the call has run"
        raise UpstreamError(text)
    if not _report_start(driver, command, progress):
        progress.settled = True
        return
    recorded = None
    if not command.request.idempotent and len(payload) <= MAX_RECORDED_RESPONSE_BYTES:
        recorded = RecordedResponse(status, headers, payload)
    progress.settled = True
    driver.handle(ev.AttemptFinished(command.attempt_id, 0, recorded, None))
    await exchange.put(Head(status, headers))
    await exchange.put(Chunk((payload,)))
    await exchange.put(End())


@contextlib.asynccontextmanager
async def _session(driver, request):
    """Yield the shared session, or a single-use one for a non-idempotent call."""
    if request.idempotent:
        yield driver.session
        return
    async with single_use_session() as session:
        yield session


async def _run_forwarded(driver, command, exchange, progress):
    body = msgspec.json.encode(_make_forward(driver, command, exchange))
    url = f"http://{command.peer_address}{FORWARD_PATH}"
    own = driver.settings.vm
    headers = {
        AUTH_HEADER: driver.auth.sign(FORWARD_PATH, own, body),
        "content-type": "application/json",
    }
    progress.sent = True
    async with (
        _session(driver, command.request) as session,
        session.post(
            url, data=body, headers=headers, timeout=_timeout(), allow_redirects=False
        ) as response,
    ):
        if not await _check_response(driver, command, response, progress):
            return
        if command.request.service:
            raw = await read_body(response, MAX_FORWARDED_BODY_BYTES)
            found = decode_json(raw, ForwardResponse)
            await _finish_service(
                driver,
                command,
                exchange,
                progress,
                found.status,
                found.headers,
                found.payload,
            )
            return
        await _relay_stream(driver, command, exchange, response, progress)


def _make_forward(driver, command, exchange):
    request = command.request
    return ForwardRequest(
        request_id=request.request_id,
        workspace=request.workspace,
        lease_id=command.lease_id,
        revision=driver.node.state.config.revision,
        left_ms=max(0, request.deadline_ms - driver.clock.now_ms()),
        allowed=tuple(sorted(request.allowed)),
        priority=request.priority,
        model=request.model,
        adapter=request.adapter,
        service=request.service,
        method=request.method,
        path=request.path,
        query=exchange.query,
        prompt_tokens=request.prompt_tokens,
        max_output_tokens=request.max_output_tokens,
        blocks=request.blocks,
        content_names=request.content_names,
        retried_names=command.retried_names,
        resume_tokens=command.resume_tokens,
        resume_text="".join(exchange.text) if command.resume_tokens else "",
        headers={
            n: v for n, v in exchange.headers.items() if n in FORWARDED_REQUEST_HEADERS
        },
        payload=exchange.payload,
    )
