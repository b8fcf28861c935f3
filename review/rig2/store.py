"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import json

from review.rig2.http1 import send, serve

__all__ = ["Store", "start_store"]

MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
"""Limits of a page of a range, from the protocol page."""


class Store:
    """Key-value store with revisions, of which daemons only read.

    Attributes
    ----------
    era : int
    down : bool
        Whether it turns every call away with 503.
    lag_s : float
        Age of the copy that answers every second call of those that may be stale; 0
        if all calls get the newest state.
    address : str
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.era = 1
        self.down = False
        self.lag_s = 0.0
        self.stale_calls = 0
        self.versions = []
        self.changed = asyncio.Event()
        self.server = None
        self.address = ""
        self.on_read = None

    def put(self, key, value):
        """Write an entry, given as an object; the answer acknowledges it."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        self._change({"key": key, "value": raw})

    def remove(self, key):
        """Remove an entry."""
        self._change({"key": key, "removed": True})

    def _change(self, event):
        now_s = asyncio.get_running_loop().time()
        self.versions.append((now_s, self.revision, dict(self.items)))
        self.revision += 1
        event |= {"revision": self.revision, "created": self.revision, "lease": 0}
        self.history.append(event)
        if event.get("removed"):
            self.items.pop(event["key"], None)
        else:
            self.items[event["key"]] = event
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down):
        """Turn every call away from now on, or no more."""
        self.down = down
        self.changed.set()
        self.changed = asyncio.Event()

    def _state(self, may_be_stale):
        """Return the revision and the items that a range is read from."""
        if may_be_stale and self.lag_s:
            self.stale_calls += 1
            if self.stale_calls % 2 == 0:
                before_s = asyncio.get_running_loop().time() - self.lag_s
                for ended_s, revision, items in self.versions:
                    if ended_s > before_s:
                        return revision, items
        return self.revision, self.items

    async def handle(self, request, reader, writer):
        """Answer a call."""
        head = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        if self.down:
            return send(writer, 503, head)
        match request.path:
            case "/kv-range":
                body = self._range(request.query)
            case "/kv-watch":
                body = await self._watch(request.query)
            case "/kv-key":
                body = self.items.get(request.query["key"])
            case _:
                body = None
        if self.down:
            return send(writer, 503, head)
        if body is None:
            return send(writer, 404, head)
        return send(writer, 200, head, json.dumps(body).encode())

    def _range(self, query):
        may_be_stale = query.get("serializable") == "1"
        revision, items = self._state(may_be_stale)
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        page, size, more = [], 0, False
        for key in sorted(k for k in items if k.startswith(prefix) and k > after):
            size += len(items[key].get("value", ""))
            if page and (len(page) >= MAX_PAGE_ITEMS or size > MAX_PAGE_BYTES):
                more = True
                break
            page.append(items[key])
        if self.on_read is not None:
            keys = [item["key"] for item in page]
            self.on_read(may_be_stale, after, revision, self.revision, keys)
        return {"items": page, "hasMore": more, "storeRevision": revision}

    async def _watch(self, query):
        after = int(query["after"])
        ends_s = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000.0
        while not (found := self._since(query.get("pathPrefix", ""), after)):
            left_s = ends_s - asyncio.get_running_loop().time()
            if left_s <= 0 or self.down:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                break
        return {"events": found, "storeRevision": self.revision}

    def _since(self, prefix, after):
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]


async def start_store(host):
    """Return a running store."""
    store = Store()
    store.server = await serve(store.handle, host)
    _, port = store.server.sockets[0].getsockname()[:2]
    store.address = f"{host}:{port}"
    return store
