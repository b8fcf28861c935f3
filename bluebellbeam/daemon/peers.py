"""HTTP listener for peers: gossip messages and forwarded requests.

A forwarded request runs on a backend server of this daemon or fails; it is never
forwarded again.
"""

import secrets

import msgspec
from sanic import response

from bluebellbeam.daemon.auth import AUTH_HEADER
from bluebellbeam.daemon.codec import RequestHead
from bluebellbeam.daemon.driver import MESSAGES_PATH
from bluebellbeam.daemon.exchange import RoutedExchange
from bluebellbeam.daemon.listener import error_response, make_listener_app, read_on
from bluebellbeam.daemon.relay import collect_service_response, relay_stream
from bluebellbeam.daemon.routed import (
    make_forwarded_routed_request,
    peer_header_factory,
    run_routed_request,
)
from bluebellbeam.daemon.routed_forward import (
    ROUTED_PATH,
    RoutedForward,
    read_forward,
)
from bluebellbeam.daemon.upstream import FORWARD_PATH
from bluebellbeam.daemon.wire import (
    ForwardRequest,
    ForwardResponse,
    decode_chat,
)
from bluebellbeam.exception import PeerError
from bluebellbeam.node import CallerError, Request, make_error
from bluebellbeam.utils.decoding import decode_json

__all__ = ["make_peer_app"]

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_HOPS = 1
"""Largest number of forwards of a request; prevents forwarding loops."""


def make_peer_app(driver):
    """Return the sanic application of the peer listener."""
    app = make_listener_app("peers", driver.settings.vm, MAX_BODY_BYTES)

    async def messages(request):
        try:
            header = request.headers.get(AUTH_HEADER)
            vm, nonce = driver.auth.verify(MESSAGES_PATH, header, request.body)
            raw = driver.receive_messages(request.body, vm)
        except PeerError as error:
            return _reject(error)
        headers = {AUTH_HEADER: driver.auth.sign_response(nonce, raw)}
        return response.raw(raw, headers=headers, content_type="application/json")

    async def forward(request):
        try:
            header = request.headers.get(AUTH_HEADER)
            vm, _ = driver.auth.verify(FORWARD_PATH, header, request.body)
            forwarded = decode_json(request.body, ForwardRequest)
        except (PeerError, msgspec.DecodeError) as error:
            return _reject(error)
        return await _serve_forwarded(driver, request, vm, forwarded)

    async def routed(request):
        raw, payload = read_forward(request.headers, request.body)
        try:
            header = request.headers.get(AUTH_HEADER)
            vm, _ = driver.auth.verify(ROUTED_PATH, header, raw + payload)
            forwarded = decode_json(raw, RoutedForward)
        except (PeerError, msgspec.DecodeError) as error:
            return _reject(error)
        exchange = _make_routed_exchange(driver, vm, forwarded, payload)
        del payload
        request.body = b""
        make_headers = peer_header_factory(
            driver, exchange.request, forwarded.request_id
        )
        return await run_routed_request(driver, request, exchange, make_headers)

    app.add_route(routed, ROUTED_PATH, ["POST"], name="routed")
    app.add_route(messages, MESSAGES_PATH, ["POST"], name="messages")
    app.add_route(forward, FORWARD_PATH, ["POST"], name="forward")
    return app


def _reject(error):
    rejected = make_error("unauthorized", message=str(error))
    return error_response(rejected, "")


async def _serve_forwarded(driver, request, vm, forwarded):
    read_on(request)
    if forwarded.hops > MAX_HOPS:
        driver.node.state.counters.loops_refused += 1
        return error_response(make_error("bad_request"), forwarded.request_id)
    request_id = f"{vm}/{forwarded.request_id}/{secrets.token_hex(4)}"
    node_request = make_forwarded_request(
        forwarded, vm, request_id, driver.clock.now_ms()
    )
    body = decode_chat(forwarded.payload) if forwarded.model else None
    exchange = driver.accept(
        node_request, forwarded.payload, forwarded.headers, forwarded.query, body
    )
    if forwarded.resume_tokens:
        exchange.text.append(forwarded.resume_text)
        exchange.emitted = forwarded.resume_tokens
    try:
        if forwarded.service:
            return await _plain_service_response(exchange, request_id)
        return await relay_stream(request, exchange, request_id)
    finally:
        driver.release(request_id)


def _make_routed_exchange(driver, vm, forwarded, payload):
    """Return the exchange of a routed request forwarded by daemon `vm`."""
    request_id = driver.new_routed_id(forwarded.attempt_key)
    node_request = make_forwarded_routed_request(driver, forwarded, vm, request_id)
    head = RequestHead(
        forwarded.attempt_key,
        resume_after=forwarded.last_event_id,
        passed=forwarded.passed,
    )
    return RoutedExchange(
        node_request, payload, head, forwarded.target, driver.clock.now_ms()
    )


def make_forwarded_request(forwarded, vm, request_id, now_ms):
    """Return the node's :class:`Request` for a forward from daemon `vm`."""
    node_request = Request(
        request_id,
        forwarded.workspace,
        origin=vm,
        model=forwarded.model,
        adapter=forwarded.adapter,
        service=forwarded.service,
        method=forwarded.method,
        path=forwarded.path,
        prompt_tokens=forwarded.prompt_tokens,
        max_output_tokens=forwarded.max_output_tokens,
        blocks=forwarded.blocks,
        content_names=forwarded.content_names,
        retried_names=forwarded.retried_names,
        priority=forwarded.priority,
        deadline_ms=now_ms + forwarded.left_ms,
        allowed=frozenset(forwarded.allowed),
        revision=forwarded.revision,
        lease_id=forwarded.lease_id,
    )
    node_request.emitted_tokens = forwarded.resume_tokens
    return node_request


async def _plain_service_response(exchange, request_id):
    match await collect_service_response(exchange):
        case CallerError() as error:
            return error_response(error, request_id)
        case head, payload:
            result = ForwardResponse(head.status, head.headers, payload)
            raw = msgspec.json.encode(result)
            return response.raw(raw, content_type="application/json")
