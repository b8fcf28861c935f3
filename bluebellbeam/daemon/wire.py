"""JSON bodies of completion requests, forwarded requests and errors."""

from typing import Any

import msgspec
from msgspec import Struct

from bluebellbeam.node.errors import CallerError
from bluebellbeam.utils.decoding import decode_json

__all__ = [
    "ChatBody",
    "ForwardResponse",
    "ForwardRequest",
    "decode_chat",
    "decode_error",
    "encode_error",
    "prompt_bytes",
]

BYTES_PER_TOKEN = 4
"""Estimated bytes of text per token."""

DEFAULT_OUTPUT_TOKENS = 256
"""Expected number of output tokens if the caller sets no limit."""


class ChatBody(Struct):
    """Fields of a completion request that the gateway reads.

    Parameters
    ----------
    model : str
        Name of a model or an adapter.
    messages : list, optional
        Messages of a chat completion.
    prompt : str or list of str, optional
        Prompt of a plain completion.
    stream : bool
        Whether the caller requested an event stream.
    max_tokens, max_completion_tokens : int, optional
        Limit of the output tokens; the second takes precedence.
    """

    model: str
    messages: list[Any] | None = None
    prompt: str | list[str] | None = None
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    def expected_output_tokens(self):
        """Return the expected number of output tokens."""
        limit = self.max_completion_tokens or self.max_tokens
        return limit or DEFAULT_OUTPUT_TOKENS


class ForwardRequest(Struct, frozen=True):
    """A request forwarded to a lending daemon.

    Parameters
    ----------
    request_id : str
        Id of the request at the sending daemon.
    lease_id : str
        Lease that the request uses, or empty.
    revision : int
        Configuration revision of the sender.
    left_ms : int
        Time left until the deadline when the request was forwarded.
    allowed : tuple of str
        Regions that the sender's configuration allows.
    hops : int
        Number of forwards so far. A receiver rejects more than one and never
        forwards a request itself.
    model, adapter, service : str, str or None, str
        Model and adapter of a completion, or name of a plain service.
    blocks : tuple of int
        Hashes of the leading blocks of the prompt, for prefix caching.
    content_names : tuple of str
        Names of the request by its content.
    retried_names : tuple of str
        Those of them under which a server was lost.
    resume_tokens : int
        Tokens that the caller has received already, whose text is `resume_text`.
    headers : dict of str to str
        Headers forwarded to a plain service.
    payload : bytes
        Body of the caller's request.
    """

    request_id: str
    workspace: str
    lease_id: str
    revision: int
    left_ms: int
    allowed: tuple[str, ...]
    priority: str
    hops: int = 1
    model: str = ""
    adapter: str | None = None
    service: str = ""
    method: str = "POST"
    path: str = ""
    query: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    blocks: tuple[int, ...] = ()
    content_names: tuple[str, ...] = ()
    retried_names: tuple[str, ...] = ()
    resume_tokens: int = 0
    resume_text: str = ""
    headers: dict[str, str] = {}
    payload: bytes = b""


class ForwardResponse(Struct, frozen=True):
    """Response of a plain service to a forwarded call."""

    status: int
    headers: dict[str, str]
    payload: bytes


def decode_chat(raw):
    """Return the :class:`ChatBody` in `raw`.

    Raises
    ------
    msgspec.DecodeError
        If `raw` is not a valid completion request.
    """
    body = decode_json(raw, ChatBody)
    if body.messages is None and body.prompt is None:
        raise msgspec.ValidationError("Object missing `messages` or `prompt`")
    limit = body.expected_output_tokens()
    if limit < 1:
        raise msgspec.ValidationError("`max_tokens` must be positive")
    return body


def prompt_bytes(body):
    """Return the text of a prompt as bytes.

    Prompts that begin with the same messages or text have a common prefix.
    """
    if body.messages is not None:
        return msgspec.json.encode(body.messages)
    if isinstance(body.prompt, str):
        return body.prompt.encode()
    return "\n".join(body.prompt).encode()


def encode_error(error, request_id):
    """Return the JSON body of an error response."""
    body = {
        "code": error.code,
        "message": error.message,
        "outcome": error.outcome,
        "request_id": request_id,
    }
    if error.retry_after_ms:
        body["retry_after_ms"] = error.retry_after_ms
    if error.entries:
        body["entries"] = list(error.entries)
    if error.operation_id:
        body["operation_id"] = error.operation_id
    return msgspec.json.encode({"error": body})


class _ErrorBody(Struct):
    code: str
    message: str
    outcome: str
    request_id: str = ""
    retry_after_ms: int = 0
    entries: tuple[str, ...] = ()
    operation_id: str = ""


class _ErrorDocument(Struct):
    error: _ErrorBody


def decode_error(raw, status):
    """Return the :class:`CallerError` in an error response, or None."""
    try:
        body = decode_json(raw, _ErrorDocument).error
    except msgspec.DecodeError:
        return None
    return CallerError(
        body.code,
        status,
        body.outcome,
        body.message,
        body.retry_after_ms,
        body.entries,
        body.operation_id,
    )
