"""HTTP requests of the command line to a running daemon."""

import asyncio
import json

import aiohttp
import click

__all__ = ["fetch_json", "run_client", "send_chat", "send_call"]

REQUEST_TIMEOUT_S = 130
"""Time limit of one HTTP request, streaming of the response included."""


def run_client(coroutine):
    """Run `coroutine` and return its result.

    Raises
    ------
    click.ClickException
        If the daemon cannot be reached or does not respond in time.
    """
    try:
        return asyncio.run(coroutine)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise click.ClickException(f"no answer from the daemon: {error}") from error


def _session(key=""):
    headers = {"authorization": f"Bearer {key}"} if key else {}
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    return aiohttp.ClientSession(timeout=timeout, headers=headers)


async def fetch_json(address, path, key=""):
    """Fetch `path` from the daemon at `address` and return the decoded JSON document.

    Parameters
    ----------
    address : str
        ``ip:port``.
    path : str
    key : str
        Bearer key, or empty for a request without one.

    Raises
    ------
    click.ClickException
        If the status is not 200.
    """
    async with (
        _session(key) as session,
        session.get(f"http://{address}{path}") as response,
    ):
        text = await response.text()
        if response.status != 200:
            raise click.ClickException(_error_text(text, response.status))
        return json.loads(text)


async def send_chat(address, key, model, prompt, max_tokens, write):
    """Send one chat and call `write` with each piece of the streamed response.

    Raises
    ------
    click.ClickException
        If the daemon responds with an error, or the stream ends before its last
        event.
    """
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": True,
        "max_tokens": max_tokens,
    }
    url = f"http://{address}/v1/chat/completions"
    async with _session(key) as session, session.post(url, json=body) as response:
        if response.status != 200:
            raise click.ClickException(
                _error_text(await response.text(), response.status)
            )
        async for line in response.content:
            if not line.startswith(b"data: "):
                continue
            raw = line[6:].strip()
            if raw == b"[DONE]":
                return
            event = json.loads(raw)
            if "error" in event:
                raise click.ClickException(_error_text(raw.decode(), 502))
            for choice in event.get("choices", ()):
                write((choice.get("delta") or {}).get("content") or "")
        raise click.ClickException("the stream ended before [DONE]")


async def send_call(address, key, method, service, path, data, operation_id):
    """Call a service and return the body of the response.

    If the daemon requires an operation id (status 428), the call is repeated
    with the id that the daemon issued in its error.

    Raises
    ------
    click.ClickException
        If the last response is an error.
    """
    url = f"http://{address}/v1/services/{service}/{path.lstrip('/')}"
    headers = {"x-operation-id": operation_id} if operation_id else {}
    async with _session(key) as session:
        for _ in range(2):
            async with session.request(
                method, url, data=data, headers=headers
            ) as response:
                text = await response.text()
                if response.status != 428:
                    break
                issued = json.loads(text)["error"]["operation_id"]
                headers["x-operation-id"] = issued
    if response.status >= 400:
        raise click.ClickException(_error_text(text, response.status))
    return text


def _error_text(text, status):
    try:
        error = json.loads(text)["error"]
        return f"{error['code']} ({status}, {error['outcome']}): {error['message']}"
    except (ValueError, KeyError, TypeError):
        return f"status {status}: {text[:200]}"
