"""The peers' listener: messages of other daemons and forwarded requests.

A request that arrives here runs on the own backend servers or not at all; it
is never forwarded again.
"""

import secrets

import msgspec
from sanic import Sanic, response

from bluebellbeam.daemon.auth import AUTH_HEADER
from bluebellbeam.daemon.codec import RequestHead
from bluebellbeam.daemon.driver import MESSAGES_PATH
from bluebellbeam.daemon.exchange import RoutedExchange
from bluebellbeam.daemon.listener import configure_app, error_response
from bluebellbeam.daemon.relay import collect_service_response, relay_stream
from bluebellbeam.daemon.routed import (
    make_forwarded_routed_request,
    peer_headers,
    run_routed_request,
)
from bluebellbeam.daemon.routed_attempt import (
    FORWARD_HEADER,
    ROUTED_PATH,
    RoutedForward,
)
from bluebellbeam.daemon.upstream import FORWARD_PATH
from bluebellbeam.daemon.wire import (
    ForwardRequest,
    ForwardResponse,
    decode_chat,
)
from bluebellbeam.exception import PeerError
from bluebellbeam.node import CallerError, Request, make_error

__all__ = ["make_peer_app"]

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_HOPS = 1


def make_peer_app(driver):
    """Return the sanic application of the peers' listener."""
    app = Sanic(f"peers-{driver.settings.vm}-{secrets.token_hex(4)}")
    configure_app(app, MAX_BODY_BYTES)

    async def messages(request):
        try:
            header = request.headers.get(AUTH_HEADER)
            vm, nonce = driver.auth.verify(MESSAGES_PATH, header, request.body)
            raw = driver.receive_messages(request.body, vm)
        except PeerError as error:
            return _refuse(error)
        headers = {AUTH_HEADER: driver.auth.sign_response(nonce, raw)}
        return response.raw(raw, headers=headers, content_type="application/json")

    async def forward(request):
        try:
            header = request.headers.get(AUTH_HEADER)
            vm, _ = driver.auth.verify(FORWARD_PATH, header, request.body)
            found = msgspec.json.decode(request.body, type=ForwardRequest)
        except (PeerError, msgspec.DecodeError) as error:
            return _refuse(error)
        return await _forwarded(driver, request, vm, found)

    async def routed(request):
        raw = request.headers.get(FORWARD_HEADER, "").encode("latin-1")
        try:
            header = request.headers.get(AUTH_HEADER)
            vm, _ = driver.auth.verify(ROUTED_PATH, header, raw + request.body)
            found = msgspec.json.decode(raw, type=RoutedForward)
        except (PeerError, msgspec.DecodeError) as error:
            return _refuse(error)
        return await _routed(driver, request, vm, found)

    app.add_route(routed, ROUTED_PATH, ["POST"], name="routed")
    app.add_route(messages, MESSAGES_PATH, ["POST"], name="messages")
    app.add_route(forward, FORWARD_PATH, ["POST"], name="forward")
    return app


def _refuse(error):
    refused = make_error("unauthorized", message=str(error))
    return error_response(refused, "")


async def _forwarded(driver, request, vm, found):
    if found.hops > MAX_HOPS:
        driver.node.state.counters.loops_refused += 1
        return error_response(make_error("bad_request"), found.request_id)
    request_id = f"{vm}/{found.request_id}/{secrets.token_hex(4)}"
    entity = make_forwarded_request(found, vm, request_id, driver.clock.now_ms())
    body = decode_chat(found.payload) if found.model else None
    exchange = driver.accept(entity, found.payload, found.headers, found.query, body)
    if found.resume_tokens:
        exchange.text.append(found.resume_text)
        exchange.emitted = found.resume_tokens
    try:
        if found.service:
            return await _service(exchange, request_id)
        return await relay_stream(request, exchange, request_id)
    finally:
        driver.release(request_id)


async def _routed(driver, request, vm, found):
    """Run a routed request that daemon `vm` has forwarded."""
    request_id = driver.new_routed_id(found.attempt_key)
    entity = make_forwarded_routed_request(found, vm, request_id, driver.clock.now_ms())
    head = RequestHead(
        found.attempt_key, resume_after=found.last_event_id, passed=found.passed
    )
    exchange = RoutedExchange(
        entity, request.body, head, found.target, driver.clock.now_ms()
    )
    headers_for = peer_headers(driver, entity, found.request_id)
    return await run_routed_request(driver, request, exchange, headers_for)


def make_forwarded_request(found, vm, request_id, now_ms):
    """Return the :class:`Request` for a :class:`ForwardRequest` of daemon `vm`."""
    entity = Request(
        request_id,
        found.workspace,
        origin=vm,
        model=found.model,
        adapter=found.adapter,
        service=found.service,
        method=found.method,
        path=found.path,
        prompt_tokens=found.prompt_tokens,
        max_output_tokens=found.max_output_tokens,
        blocks=found.blocks,
        priority=found.priority,
        deadline_ms=now_ms + found.left_ms,
        allowed=frozenset(found.allowed),
        revision=found.revision,
        lease_id=found.lease_id,
    )
    entity.emitted_tokens = found.resume_tokens
    return entity


async def _service(exchange, request_id):
    match await collect_service_response(exchange):
        case CallerError() as error:
            return error_response(error, request_id)
        case head, payload:
            answer = ForwardResponse(head.status, head.headers, payload)
            raw = msgspec.json.encode(answer)
            return response.raw(raw, content_type="application/json")
