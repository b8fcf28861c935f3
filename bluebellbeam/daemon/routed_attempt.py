"""A single attempt to run a routed request at a backend server or a peer.

The request is sent on a connection that never retries by itself. Only complete units
of a response are passed on: the single events of an event stream, or the whole body
of any other response.
"""

import asyncio

import msgspec

from bluebellbeam.daemon.codec import UpstreamHead
from bluebellbeam.daemon.connection import UpstreamConnectionError, encode_request
from bluebellbeam.daemon.exchange import Chunk, End, FullResponse, Head
from bluebellbeam.daemon.listener import NOT_RUN_STATUSES
from bluebellbeam.daemon.request_bodies import release_body
from bluebellbeam.daemon.response_buffers import read_full
from bluebellbeam.daemon.routed_forward import (
    CODE_HEADER,
    OUTCOME_HEADER,
    RETRY_AFTER_HEADER,
    ROUTED_PATH,
    encode_forward,
    read_peer_head,
    read_peer_headers,
    without_credentials,
    without_gateway_headers,
)
from bluebellbeam.daemon.sse import EventBlock, is_comment, make_event_splitter
from bluebellbeam.exception import UpstreamError
from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import ERRORS, make_error
from bluebellbeam.node.routed import key_workspace
from bluebellbeam.node.urgency import engine_urgency
from bluebellbeam.utils.counts import parse_count

__all__ = ["run_routed_attempt"]

MAX_REFUSAL_BYTES = 64 * 1024
"""Largest body of a refusal that is read so that its connection can be reused."""

REFUSAL_BODY_TIMEOUT_S = 0.2
"""Longest time to read that body; the refusal is known from the head."""

EVENT_REPORT_INTERVAL_MS = 250
"""Interval at which the events of a stream are reported to the node."""

CHECKED_BYTES = 4 * 1024
"""Largest part of a continued stream whose events are checked one by one before other
work gets its turn."""

EVENT_STREAM = "text/event-stream"

MAX_ID_DIGITS = 18
"""Longest id of an event that is compared as a number."""


class _Progress:
    """Progress of an attempt.

    Attributes
    ----------
    sends : int or None
        Number of servers that the request may have been sent to; None if the peer
        has not reported it.
    sent : bool
        Whether any byte of the request may have been sent.
    response_started : bool
        Whether the start of the response has been reported to the node.
    settled : bool
        Whether the end has been reported to the node, or no longer matters.
    origin : StreamOrigin or None
        Where the stream in a peer's response began; None if it has not said so.
    """

    __slots__ = ("sends", "sent", "response_started", "settled", "origin")

    def __init__(self, sends):
        self.sends = sends
        self.sent = False
        self.response_started = False
        self.settled = False
        self.origin = None


class _EventMeter:
    """Reports the events of a stream to the node at short intervals.

    The load in the header of a stream is reported with its first event, since it is
    seconds old when the stream ends.
    """

    __slots__ = ("driver", "attempt_id", "load", "since_ms", "last_ms", "events", "gap")

    def __init__(self, driver, attempt_id, load):
        self.driver = driver
        self.attempt_id = attempt_id
        self.load = load
        self.since_ms = self.last_ms = None
        self.events = self.gap = 0

    def count(self, events):
        """Count events that have just arrived."""
        now_ms = self.driver.clock.now_ms()
        if self.last_ms is None:
            self.since_ms = self.last_ms = now_ms
            self._report(now_ms)
            return
        self.events += events
        self.gap = max(self.gap, now_ms - self.last_ms)
        self.last_ms = now_ms
        if now_ms - self.since_ms >= EVENT_REPORT_INTERVAL_MS:
            self._report(now_ms)

    def _report(self, now_ms):
        elapsed_ms = now_ms - self.since_ms
        self.driver.handle(
            ev.StreamProgressed(
                self.attempt_id, self.events, elapsed_ms, self.gap, self.load
            )
        )
        self.load = None
        self.since_ms = now_ms
        self.events = self.gap = 0


def _make_event_meter(driver, command, response):
    """Return a meter for a server that reports the duration of its work, or None."""
    load = response.load
    if not command.server or load is None or not load.duration_percent:
        return None
    return _EventMeter(driver, command.attempt_id, load)


async def run_routed_attempt(driver, command):
    """Run the attempt of a :class:`StartAttempt` and report its result.

    Parameters
    ----------
    driver : Driver
    command : StartAttempt
    """
    exchange = driver.exchanges.get(command.request.request_id)
    if exchange is None:
        return
    progress = _Progress(None if command.peer else 1)
    reason, lost, refused = "failed", False, False
    try:
        await _run(driver, command, exchange, progress)
    except UpstreamConnectionError as error:
        reason, lost, refused = str(error), error.lost, error.refused
    except (UpstreamError, ValueError, msgspec.DecodeError) as error:
        reason = str(error)
    except Exception:
        driver.log.exception(
            "upstream: attempt raised an exception", vm=driver.settings.vm
        )
        reason = "internal"
    if progress.settled:
        return
    driver.handle(
        ev.AttemptFailed(
            command.attempt_id,
            progress.sent,
            exchange.emitted,
            reason,
            lost,
            progress.sends,
            refused,
        )
    )


async def _run(driver, command, exchange, progress):
    key = (command.server or command.peer, command.incarnation)
    address = command.address or command.peer_address
    connection = await driver.connection_pool.acquire(
        key,
        address,
        cross_region=bool(command.peer),
        once=not command.request.idempotent,
    )
    try:
        message = _encode(driver, command, exchange)
        progress.sent = True
        sent_ms = driver.clock.now_ms()
        connection.send(*message)
        del message  # holds the body
        await connection.read_head()
        response = _read_response_head(driver, command, connection)
        if response.request_id is None:
            connection.unidentified = True
        if command.peer:
            read_peer_headers(driver, command, connection, progress)
        _check_request_id(command, connection, response)
        if command.server and not response.other_server:
            _report_limit(driver, command, response.limit, sent_ms)
            _report_brittle(driver, command, response.brittle, sent_ms)
            _report_statements(driver, command, response)
        if response.not_run:
            await _report_refusal(driver, command, connection, response, progress)
        elif _is_stream(connection):
            await _relay_events(
                driver, command, exchange, connection, response, progress
            )
        else:
            await _relay_full(driver, command, exchange, connection, response, progress)
    finally:
        driver.connection_pool.release(connection)


def _encode(driver, command, exchange):
    """Return the method, the encoded headers and the body of the request to send."""
    request = command.request
    left_ms = max(1, request.response_deadline_ms - driver.clock.now_ms())
    if command.peer:
        pairs, payload = encode_forward(driver, command, exchange, left_ms)
        address = command.peer_address
        raw = encode_request("POST", ROUTED_PATH, address, pairs, payload)
        return "POST", raw, payload
    upstream = UpstreamHead(
        server=command.server,
        incarnation=command.incarnation,
        left_ms=left_ms,
        urgency=engine_urgency(driver.node.state.config, request),
        resume_after=exchange.last_event_id,
        prefix_source=command.prefix_source,
        tenant=key_workspace(request),
    )
    passed = without_credentials(driver, exchange.head.passed)
    head = msgspec.structs.replace(exchange.head, passed=passed)
    pairs = driver.codec.write_request(head, upstream)
    payload = exchange.payload
    raw = encode_request(request.method, exchange.target, request.host, pairs, payload)
    return request.method, raw, payload


def _read_response_head(driver, command, connection):
    if command.peer:
        return read_peer_head(connection)
    head = driver.codec.read_answer(connection.status, connection.headers)
    return msgspec.structs.replace(head, passed=without_gateway_headers(head.passed))


def _report_limit(driver, command, limit, sent_ms):
    """Report the limit that a server has stated, or that it states none any longer."""
    if limit is not None and limit.limit_per_s is None:
        row = driver.node.state.replicas.rows.get(command.server)
        if row is None or row.limit_per_s is None:
            return
    incarnation = command.incarnation
    driver.handle(ev.LimitStated(command.server, incarnation, limit, sent_ms))


def _report_brittle(driver, command, statement, sent_ms):
    """Report that a server is brittle, or that its service may no longer be."""
    sound = statement is not None and statement.refusals_per_s is None
    if sound and not driver.node.state.brittle:
        return
    incarnation = command.incarnation
    driver.handle(ev.BrittleStated(command.server, incarnation, statement, sent_ms))


def _report_statements(driver, command, response):
    server, incarnation = command.server, command.incarnation
    if response.leaving:
        driver.handle(ev.LeavingStated(server, incarnation))
    if response.malformed_load:
        driver.handle(ev.LoadMalformed(server, incarnation, response.malformed_load))
    if response.pause_ms:
        driver.handle(ev.PauseStated(server, incarnation, response.pause_ms))


def _check_request_id(command, connection, response):
    """Raise an error if the response belongs to another request.

    The connection is closed then, since the response to this request may follow. A
    response without a request id is accepted only if it states that the request
    did not run.
    """
    request = command.request
    expected = request.request_id if command.peer else request.attempt_key
    if response.request_id == expected or (
        response.request_id is None and response.not_run
    ):
        return
    connection.close()
    raise UpstreamError("the response belongs to another request")


def _is_stream(connection):
    kind = dict(reversed(connection.headers)).get("content-type", "")
    return connection.status == 200 and kind.lower().startswith(EVENT_STREAM)


async def _report_refusal(driver, command, connection, response, progress):
    first = dict(reversed(connection.headers))
    await _skip_refusal_body(driver, command, connection)
    code = first.get(CODE_HEADER, "") if command.peer else ""
    if code not in ERRORS:
        code = "server_changed" if response.other_server else "upstream_failed"
    retry = first.get(RETRY_AFTER_HEADER, "")
    error = make_error(
        code,
        outcome="not_run",
        retry_after_ms=parse_count(retry, 0),
    )
    progress.settled = True
    driver.handle(
        ev.AttemptRefused(command.attempt_id, error, response.load, progress.sends)
    )


async def _skip_refusal_body(driver, command, connection):
    """Read the body of a refusal; one that is long or incomplete ends its connection.

    That is not an error, since the head has said that the request did not run.
    """
    try:
        async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
            await connection.read_all(MAX_REFUSAL_BYTES)
    except (UpstreamConnectionError, TimeoutError) as error:
        driver.log.info(
            "upstream: leave the body of a refusal unread",
            vm=driver.settings.vm,
            request_id=command.request.request_id,
            target=command.server or command.peer,
            reason=str(error) or "timeout",
        )


async def _relay_full(driver, command, exchange, connection, response, progress):
    """Pass on a whole response.

    Raises
    ------
    UpstreamConnectionError
        If the response is truncated or malformed.
    UpstreamError
        If a retry may succeed, or if the caller would take the status for the promise
        that the request has not run.
    """
    payload = await read_full(driver.response_buffers, connection)
    if not connection.is_framed:
        _log_unframed_end(driver, command, 0, 0)
    first = dict(reversed(connection.headers))
    if command.peer and OUTCOME_HEADER in first:
        raise UpstreamError(f"the peer returned {first.get(CODE_HEADER, 'an error')}")
    full = FullResponse(connection.status, response.passed, payload)
    if exchange.head_sent:
        raise UpstreamError("the response to a resumed stream is not an event stream")
    if connection.status in NOT_RUN_STATUSES:
        raise UpstreamError(
            f"the response with status {connection.status} does not deny that the "
            "request has run"
        )
    if connection.status >= 500 and command.request.idempotent:
        exchange.failed_response = full
        raise UpstreamError(f"the server returned status {connection.status}")
    if not _report_start(driver, command, progress):
        return
    progress.settled = True
    _report_finish(driver, command, connection, 0, response.load)
    exchange.head_sent = True
    await exchange.put(full)


async def _relay_events(driver, command, exchange, connection, response, progress):
    """Pass on complete events as they arrive.

    Raises
    ------
    UpstreamConnectionError
        If the stream was broken off.
    UpstreamError
        If a peer continued a stream at another software version, or if the events do
        not continue the stream.
    """
    bound = command.request.stream_origin
    if command.peer and bound is not None and progress.origin != bound:
        raise UpstreamError("the peer continued the stream at another version")
    splitter = make_event_splitter()
    meter = _make_event_meter(driver, command, response)
    continues = bool(exchange.last_event_id or exchange.emitted)
    async for block in _read_events(connection, splitter, exchange, continues):
        if not _report_start(driver, command, progress):
            return
        if meter is not None:
            meter.count(block.count)
        await _put_events(exchange, connection.status, response, block)
    if not connection.is_framed:
        _log_unframed_end(driver, command, exchange.emitted, len(splitter.rest))
    _check_stream_end(connection, splitter, exchange)
    if not _report_start(driver, command, progress):
        return
    if splitter.rest:
        rest = EventBlock(splitter.rest)
        await _put_events(exchange, connection.status, response, rest)
    progress.settled = True
    load = response.load if meter is None else None
    _report_finish(driver, command, connection, exchange.emitted, load)
    if not exchange.head_sent:
        exchange.head_sent = True
        await exchange.put(Head(connection.status, response.passed))
    await exchange.put(End())


async def _read_events(connection, splitter, exchange, continues):
    """Yield the events of a response in blocks, as they arrive.

    Those that continue a stream are checked one by one.
    """
    while data := await connection.read_some():
        if not continues:
            block = splitter.feed_block(data)
            if block is not None:
                yield block
            continue
        for start in range(0, len(data), CHECKED_BYTES):
            events = splitter.feed(data[start : start + CHECKED_BYTES])
            if events:
                _check_continuation(exchange.last_event_id, events)
                yield EventBlock(b"".join(raw for _, raw in events))
            await asyncio.sleep(0)


def _check_continuation(last_id, events):
    """Raise an error unless `events` follow the event with id `last_id`.

    The ids of a stream increase, so that an event without one, or with one that the
    caller has, is not part of it. Without the id of the last event no event is known to
    follow it. Comments are not events.
    """
    if not last_id:
        raise UpstreamError("a stream without ids cannot be continued")
    for event_id, raw in events:
        if not event_id:
            if is_comment(raw):
                continue
            raise UpstreamError("an event without an id continues the stream")
        if _is_number(last_id) and _is_number(event_id):
            if int(event_id) <= int(last_id):
                raise UpstreamError("the ids of events do not increase")
        elif event_id == last_id:
            raise UpstreamError("the id of an event is repeated")
        last_id = event_id


def _is_number(event_id):
    return (
        event_id.isascii() and event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS
    )


def _report_finish(driver, command, connection, emitted, load):
    delimited = connection.is_framed
    driver.handle(
        ev.AttemptFinished(command.attempt_id, emitted, None, load, delimited)
    )


def _check_stream_end(connection, splitter, exchange):
    """Raise an error if the end of the response shows that the stream is incomplete.

    A stream that ends inside an event is, however the response is delimited. So is
    one that only the close of its connection delimits and that has no event, unless
    it resumes a stream, which may have had no other event.
    """
    if splitter.is_inside_event:
        raise UpstreamConnectionError(
            "the stream ended inside an event", lost=not connection.is_framed
        )
    if not (connection.is_framed or exchange.last_event_id or exchange.emitted):
        raise UpstreamConnectionError(
            "the connection ended before the first event", lost=True
        )


def _log_unframed_end(driver, command, events, incomplete_bytes):
    """Log that a response without a length or chunks ended with its connection."""
    driver.log.info(
        "upstream: response ended with its connection",
        vm=driver.settings.vm,
        request_id=command.request.request_id,
        target=command.server or command.peer,
        events=events,
        incomplete_bytes=incomplete_bytes,
    )


async def _put_events(exchange, status, response, block):
    if not exchange.head_sent:
        exchange.head_sent = True
        await exchange.put(Head(status, response.passed))
    exchange.emitted += block.count
    exchange.last_event_id = block.last_id or exchange.last_event_id
    await exchange.put(Chunk((block.raw,)))


def _report_start(driver, command, progress):
    """Report the first bytes to the node; return whether the attempt still runs."""
    if not progress.response_started:
        progress.response_started = True
        driver.handle(ev.AttemptStarted(command.attempt_id, progress.origin))
        driver.record_first_token(command.request)
        if not _may_be_resumed(command.request):
            _release_body(driver, command)
    running = command.attempt_id in driver.node.state.attempts
    progress.settled = progress.settled or not running
    return running


def _may_be_resumed(request):
    return request.route.kind == "stream" and request.route.resumable


def _release_body(driver, command):
    """Drop the body of a request that is not sent again, since it is being answered."""
    exchange = driver.exchanges.get(command.request.request_id)
    if exchange is not None:
        release_body(driver.request_bodies, exchange)
