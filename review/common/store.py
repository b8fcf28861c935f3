"""Stand-in for the platform's metadata store."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from common.http import encode_head, read_request

STORE_DELAY_S = 0.004


class Store:
    """Versioned store that each daemon reaches at an address of its own.

    Attributes
    ----------
    faults : dict of str to str
        What the store does to the machine of that name: ``busy`` (status 503) or
        ``reset`` (it ends the channel). Others are served.
    delay_s : float
        Time until an answer.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.faults = {}
        self.delay_s = STORE_DELAY_S
        self.changed = asyncio.Event()
        self.servers = []

    async def listen(self, machine):
        """Return the address of the store for `machine`."""

        async def serve(reader, writer):
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, key, value):
        """Store `value`, given as bytes or as an object to be encoded as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        text = base64.b64encode(raw).decode()
        self._change({"key": key, "value": text})

    def remove(self, key):
        """Remove `key` if it is there."""
        if key in self.items:
            self._change({"key": key, "removed": True})

    def _change(self, event):
        self.revision += 1
        event |= {"revision": self.revision, "created": self.revision, "lease": 0}
        self.history.append(event)
        if event.get("removed"):
            del self.items[event["key"]]
        else:
            self.items[event["key"]] = event
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, machine, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                status, body = await self._answer(machine, request)
                raw = json.dumps(body).encode()
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(encode_head(status, headers, len(raw)) + raw)
                await writer.drain()
        except (EOFError, OSError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, machine, request):
        if self.faults.get(machine) == "reset":
            raise ConnectionResetError
        if self.faults.get(machine):
            return 503, {}
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("pathPrefix", "")
        if parts.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            body = {"items": [self.items[key] for key in keys], "hasMore": False}
        elif parts.path == "/kv-watch":
            events = await self._watch(prefix, query)
            body = {"events": events}
        else:
            return 404, {}
        body["storeRevision"] = self.revision
        await asyncio.sleep(self.delay_s)
        if self.faults.get(machine):
            return 503, {}
        return 200, body

    async def _watch(self, prefix, query):
        after = int(query["after"])
        ends_s = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000.0
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return events
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                return []

    def close(self):
        """Stop listening."""
        for server in self.servers:
            server.close()
