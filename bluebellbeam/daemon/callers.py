"""HTTP listener for callers.

Serves completions, calls of plain services, routed requests, the list of models and
the list of entry VMs.
"""

import secrets

import msgspec
from sanic import response

from bluebellbeam.daemon.exchange import Chunk, End, Failed
from bluebellbeam.daemon.listener import error_response, make_listener_app, read_on
from bluebellbeam.daemon.relay import collect_service_response, relay_stream
from bluebellbeam.daemon.routed import METHODS, serve_routed_request
from bluebellbeam.daemon.upstream import FORWARDED_REQUEST_HEADERS
from bluebellbeam.daemon.wire import (
    BYTES_PER_TOKEN,
    decode_chat,
    prompt_bytes,
)
from bluebellbeam.exception import PlatformError
from bluebellbeam.node import (
    CallerError,
    Request,
    entry_addresses_for_workspace,
    make_error,
)
from bluebellbeam.node.state import BLOCK_TOKENS
from bluebellbeam.quarantine import request_names
from bluebellbeam.routing import match_route
from bluebellbeam.utils.hashing import hash_text, prefix_blocks

__all__ = ["make_caller_app"]

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_BLOCKS = 256
"""Largest number of prefix blocks hashed per prompt; they cover 16,384 tokens."""

REQUEST_ID_HEADER = "x-request-id"
OPERATION_HEADER = "x-operation-id"
PRIORITY_HEADER = "x-priority"
SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD")


def make_caller_app(driver):
    """Return the sanic application of the caller listener."""
    app = make_listener_app("callers", driver.settings.vm, MAX_BODY_BYTES)

    async def complete(request):
        return await _with_workspace(driver, request, _complete)

    async def call_service(request, service, path=""):
        async def call(driver, request, workspace, request_id):
            return await _call_service(
                driver, request, workspace, request_id, service, path
            )

        return await _with_workspace(driver, request, call)

    async def models(request):
        return await _with_workspace(driver, request, _models)

    async def entry(request):
        return await _with_workspace(driver, request, _entry)

    async def routed(request, path=""):
        if not _has_route(driver, request):
            return error_response(make_error("not_found"), "")

        async def serve(driver, request, workspace, request_id):
            return await serve_routed_request(driver, request, workspace)

        return await _with_workspace(driver, request, serve)

    app.add_route(routed, "/<path:path>", METHODS, name="routed")
    app.add_route(complete, "/v1/chat/completions", ["POST"], name="chat")
    app.add_route(complete, "/v1/completions", ["POST"], name="completions")
    app.add_route(models, "/v1/models", ["GET"], name="models")
    app.add_route(entry, "/v1/entry", ["GET"], name="entry")
    service_path = "/v1/services/<service:str>/<path:path>"
    app.add_route(call_service, service_path, SERVICE_METHODS, name="service")
    return app


def _has_route(driver, request):
    config = driver.node.state.config
    host = request.headers.get("host", "")
    return config is not None and bool(match_route(config.routes, host, request.path))


def _new_request_id(driver):
    return f"{driver.settings.vm}-{secrets.token_hex(8)}"


async def _with_workspace(driver, request, handler):
    """Authenticate the caller and run `handler` for its workspace."""
    read_on(request)
    request_id = _new_request_id(driver)
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return error_response(make_error("unauthorized"), request_id)
    try:
        workspace = await driver.provider.directory.resolve(key.strip())
    except PlatformError:
        return error_response(make_error("directory_unavailable"), request_id)
    if workspace is None:
        return error_response(make_error("unauthorized"), request_id)
    return await handler(driver, request, workspace, request_id)


async def _models(driver, request, workspace, request_id):
    config = driver.node.state.config
    if config is None:
        return error_response(make_error("not_ready"), request_id)
    entry = config.base.workspaces.get(workspace)
    names = entry.models if entry else ()
    data = [{"id": name, "object": "model", "owned_by": workspace} for name in names]
    return response.raw(
        msgspec.json.encode({"object": "list", "data": data}),
        content_type="application/json",
    )


async def _entry(driver, request, workspace, request_id):
    state = driver.node.state
    if state.config is None:
        return error_response(make_error("not_ready"), request_id)
    body = {
        "workspace": workspace,
        "entries": entry_addresses_for_workspace(
            state, workspace, include_self=not state.leaving
        ),
        "ttl_ms": state.policy.entry_ttl_ms,
        "vm": state.identity.vm,
    }
    if state.ready:
        now_ms = driver.clock.now_ms()
        body["operation_id"] = driver.node.issue_operation(workspace, now_ms)
    return response.raw(msgspec.json.encode(body), content_type="application/json")


async def _complete(driver, request, workspace, request_id):
    try:
        body = decode_chat(request.body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return error_response(make_error("bad_request", message=str(error)), request_id)
    text = prompt_bytes(body)
    blocks = prefix_blocks(text, BLOCK_TOKENS * BYTES_PER_TOKEN, MAX_BLOCKS)
    requested = request.headers.get(PRIORITY_HEADER, "")
    node_request = Request(
        request_id,
        workspace,
        model=body.model,
        path=request.path,
        prompt_tokens=max(1, len(text) // BYTES_PER_TOKEN),
        max_output_tokens=body.expected_output_tokens(),
        blocks=blocks,
        content_names=request_names(
            workspace, request.method, "", request.path, request.body
        ),
        priority="batch" if requested == "batch" else "interactive",
    )
    exchange = driver.accept(node_request, request.body, {}, "", body)
    try:
        if body.stream:
            return await _stream(request, exchange, request_id)
        return await _collect(request, exchange, body, request_id)
    finally:
        driver.release(request_id)


async def _stream(request, exchange, request_id):
    headers = {REQUEST_ID_HEADER: request_id, "cache-control": "no-store"}
    return await relay_stream(request, exchange, request_id, headers)


async def _collect(request, exchange, body, request_id):
    text = []
    finish = None
    usage = None
    while True:
        match await exchange.next_item():
            case Chunk(events):
                for event in map(msgspec.json.decode, events):
                    usage = event.get("usage") or usage
                    for choice in event.get("choices", ())[:1]:
                        delta = choice.get("delta") or {}
                        text.append(delta.get("content") or choice.get("text") or "")
                        finish = choice.get("finish_reason") or finish
            case End():
                break
            case Failed(error):
                return error_response(error, request_id)
    chat = body.messages is not None
    document = _completion_document(
        chat, body.model, "".join(text), finish, usage, request_id
    )
    return response.raw(
        msgspec.json.encode(document),
        content_type="application/json",
        headers={REQUEST_ID_HEADER: request_id},
    )


def _completion_document(chat, model, text, finish, usage, request_id):
    choice = {"index": 0, "finish_reason": finish or "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request_id,
        "object": "chat.completion" if chat else "text_completion",
        "model": model,
        "choices": [choice],
        "usage": usage,
    }


async def _call_service(driver, request, workspace, request_id, service, path):
    headers = {
        name: request.headers[name]
        for name in FORWARDED_REQUEST_HEADERS
        if name in request.headers
    }
    full_path = f"/{path}"
    parts = (request.method, full_path, request.query_string)
    fingerprint = hash_text("\n".join(parts).encode() + b"\n" + request.body)
    node_request = Request(
        request_id,
        workspace,
        service=service,
        method=request.method,
        path=full_path,
        operation_id=request.headers.get(OPERATION_HEADER, ""),
        fingerprint=fingerprint,
        content_names=request_names(
            workspace,
            request.method,
            service,
            f"{full_path}?{request.query_string}",
            request.body,
        ),
    )
    exchange = driver.accept(
        node_request, request.body, headers, request.query_string, None
    )
    try:
        return await _service_response(exchange, request_id)
    finally:
        driver.release(request_id)


async def _service_response(exchange, request_id):
    match await collect_service_response(exchange):
        case CallerError() as error:
            return error_response(error, request_id)
        case head, payload:
            headers = dict(head.headers)
            content_type = headers.pop("content-type", "application/octet-stream")
            headers[REQUEST_ID_HEADER] = request_id
            return response.raw(payload, head.status, headers, content_type)
