"""HTTP clients of the platform: feeds, client directory, weight store."""

import hashlib

import aiohttp
import msgspec
from msgspec import Struct

from bluebellbeam.config.bundle import bundle_digest, hash_part
from bluebellbeam.exception import PlatformError
from bluebellbeam.feeds import Snapshot

__all__ = [
    "DirectoryClient",
    "FeedClient",
    "make_directory_client",
    "make_feed_client",
]

READ_TIMEOUT_S = 5.0
"""Time for a read that does not wait."""

WATCH_MS = 25_000
"""Time that a watch waits for a newer version."""

KEY_TTL_MS = 30_000
"""Time for which a resolved key is used without asking again."""

UNKNOWN_KEY_TTL_MS = 5_000
"""Time for which an unknown key is refused without asking again."""

MAX_KEYS = 20_000
"""Keys that are remembered."""


class FeedManifest(Struct, frozen=True):
    """What the configuration service shows of a feed.

    Parameters
    ----------
    key : str
    version : int
    parts : dict of str to str
        Hash of each part.
    """

    key: str
    version: int
    parts: dict[str, str]


class FeedClient:
    """Reader of versioned feeds at one address.

    Parts are fetched by their hash; those already held are not read again.

    Attributes
    ----------
    address : str
    cached_parts : dict of str to dict of str to bytes
        Parts by hash, by feed.
    calls : int
    """

    __slots__ = ("address", "session", "cached_parts", "calls")

    def __init__(self, session, address):
        self.session = session
        self.address = address
        self.cached_parts = {}
        self.calls = 0

    async def read(self, key, after_version, wait):
        """Return the :class:`Snapshot` of a feed.

        Parameters
        ----------
        key : str
        after_version : int
        wait : bool
            Whether to wait for a version after `after_version`.

        Raises
        ------
        PlatformError
            If the service does not answer, or a part is missing or altered.
        """
        wait_ms = WATCH_MS if wait else 0
        timeout_s = READ_TIMEOUT_S + wait_ms / 1000.0
        path = f"/v1/feeds/{key}?after={after_version}&wait_ms={wait_ms}"
        raw = await self._get(path, timeout_s)
        try:
            manifest = msgspec.json.decode(raw, type=FeedManifest)
        except msgspec.DecodeError as error:
            raise PlatformError(f"manifest of {key} is not valid") from error
        held = self.cached_parts.get(key, {})
        fetched = {}
        for name, digest in manifest.parts.items():
            fetched[name] = held.get(digest) or await self._get_part(digest)
        self.cached_parts[key] = {manifest.parts[n]: raw for n, raw in fetched.items()}
        parts = {name: msgspec.Raw(part) for name, part in fetched.items()}
        return Snapshot(key, manifest.version, bundle_digest(fetched), parts)

    async def _get_part(self, digest):
        raw = await self._get(f"/v1/parts/{digest}", READ_TIMEOUT_S)
        if hash_part(raw) != digest:
            raise PlatformError(f"part {digest} does not match its hash")
        return raw

    async def _get(self, path, timeout_s):
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"http://{self.address}{path}"
        try:
            async with self.session.get(
                url, timeout=timeout, allow_redirects=False
            ) as answer:
                raw = await answer.read()
                if answer.status != 200:
                    raise PlatformError(f"status {answer.status} for {path}")
                return raw
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformError(f"no answer for {path}") from error


class DirectoryClient:
    """Reader of the client directory, with a bounded memory of its answers.

    Attributes
    ----------
    workspaces_by_key : dict of str to (str or None, int)
        Workspace and time of the answer in ms, by hash of the key.
    """

    __slots__ = ("address", "session", "workspaces_by_key", "clock")

    def __init__(self, session, address, clock):
        self.session = session
        self.address = address
        self.clock = clock
        self.workspaces_by_key = {}

    async def resolve(self, key):
        """Return the workspace of `key`, or None for a key that is not valid.

        While the directory does not answer, keys that it has resolved before
        stay valid, so that an isolated region keeps serving.

        Raises
        ------
        PlatformError
            If the directory does not answer and the key is not known.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        now_ms = self.clock.now_ms()
        entry = self.workspaces_by_key.get(digest)
        if entry is not None:
            workspace, asked_ms = entry
            ttl_ms = KEY_TTL_MS if workspace else UNKNOWN_KEY_TTL_MS
            if now_ms - asked_ms < ttl_ms:
                return workspace
        try:
            workspace = await self._ask(digest)
        except PlatformError:
            if entry is not None and entry[0]:
                self.workspaces_by_key[digest] = (entry[0], now_ms)
                return entry[0]
            raise
        if len(self.workspaces_by_key) >= MAX_KEYS:
            self.workspaces_by_key.pop(next(iter(self.workspaces_by_key)))
        self.workspaces_by_key[digest] = (workspace, now_ms)
        return workspace

    async def _ask(self, digest):
        url = f"http://{self.address}/v1/keys/{digest}"
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self.session.get(
                url, timeout=timeout, allow_redirects=False
            ) as answer:
                if answer.status == 404:
                    return None
                if answer.status != 200:
                    raise PlatformError(f"directory status {answer.status}")
                found = msgspec.json.decode(await answer.read())
                return str(found["workspace"])
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.DecodeError,
            KeyError,
            TypeError,
        ) as error:
            raise PlatformError("the directory does not answer") from error


def make_feed_client(session, address):
    """Return a client of the feeds at `address`."""
    return FeedClient(session, address)


def make_directory_client(session, address, clock):
    """Return a client of the directory at `address`."""
    return DirectoryClient(session, address, clock)
