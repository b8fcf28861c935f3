"""HTTP clients of the platform's feeds and client directory."""

import hashlib

import aiohttp
import msgspec
from msgspec import Struct

from bluebellbeam.config.bundle import bundle_digest, hash_part
from bluebellbeam.exception import PlatformError
from bluebellbeam.feeds import Snapshot
from bluebellbeam.utils.decoding import decode_json
from bluebellbeam.utils.http_body import read_body

__all__ = [
    "DirectoryClient",
    "FeedClient",
    "make_directory_client",
    "make_feed_client",
]

READ_TIMEOUT_S = 5.0
"""Timeout of a read, in addition to the time for which the service may delay its
response to a watch."""

WATCH_MS = 25_000
"""Longest time for which the service may delay the response to a watch until there is
a newer version."""

KEY_TTL_MS = 30_000
"""Time for which the workspace of a key is cached."""

UNKNOWN_KEY_TTL_MS = 5_000
"""Time for which the refusal of an unknown key is cached."""

MAX_FEED_BODY_BYTES = 64 * 1024 * 1024
"""Largest manifest or part of a feed that is read."""

MAX_DIRECTORY_BODY_BYTES = 64 * 1024
"""Largest response of the directory that is read."""

MAX_KEYS = 20_000
"""Largest number of cached keys."""


class FeedManifest(Struct, frozen=True):
    """The manifest of one version of a feed.

    Parameters
    ----------
    key : str
        Key of the feed.
    version : int
    parts : dict of str to str
        Hash of each part, by name.
    """

    key: str
    version: int
    parts: dict[str, str]


class FeedClient:
    """Client that reads versioned feeds at one address.

    Parts are fetched by their hash; cached parts are not fetched again.

    Attributes
    ----------
    address : str
        Address of the service as ``ip:port``.
    session : aiohttp.ClientSession
    cached_parts : dict of str to dict of str to bytes
        Parts of the last version read, by feed and hash.
    calls : int
        Number of HTTP requests sent.
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
            Key of the feed.
        after_version : int
            Version that has already been read; 0 for none.
        wait : bool
            Whether to wait up to `WATCH_MS` for a version after `after_version`.

        Raises
        ------
        PlatformError
            If the service does not respond, or a part is missing or does not match
            its hash.
        """
        wait_ms = WATCH_MS if wait else 0
        timeout_s = READ_TIMEOUT_S + wait_ms / 1000.0
        path = f"/v1/feeds/{key}?after={after_version}&wait_ms={wait_ms}"
        raw = await self._get(path, timeout_s)
        try:
            manifest = decode_json(raw, FeedManifest)
        except msgspec.DecodeError as error:
            raise PlatformError(
                f"manifest of feed {key} is not valid: {error}"
            ) from error
        cached = self.cached_parts.get(key, {})
        fetched = {}
        for name, digest in manifest.parts.items():
            fetched[name] = cached.get(digest) or await self._get_part(digest)
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
            ) as response:
                raw = await read_body(response, MAX_FEED_BODY_BYTES)
                if response.status != 200:
                    raise PlatformError(
                        f"status {response.status} instead of 200 for {path}"
                    )
                return raw
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformError(
                f"no response from {self.address} to {path}: {type(error).__name__}"
            ) from error


class DirectoryClient:
    """Client of the directory that maps callers' keys to workspaces.

    Attributes
    ----------
    address : str
        Address of the directory as ``ip:port``.
    session : aiohttp.ClientSession
    clock : Clock
    workspaces_by_key : dict of str to (str or None, int)
        Bounded cache: workspace and time of the response in ms, by hash of the key.
    """

    __slots__ = ("address", "session", "workspaces_by_key", "clock")

    def __init__(self, session, address, clock):
        self.session = session
        self.address = address
        self.clock = clock
        self.workspaces_by_key = {}

    async def resolve(self, key):
        """Return the workspace of `key`, or None for an unknown key.

        While the directory does not respond, keys that it has resolved before stay
        valid, so that an isolated region continues to serve.

        Raises
        ------
        PlatformError
            If the directory does not respond and the key is not cached.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        now_ms = self.clock.now_ms()
        entry = self.workspaces_by_key.get(digest)
        if entry is not None:
            workspace, resolved_ms = entry
            ttl_ms = KEY_TTL_MS if workspace else UNKNOWN_KEY_TTL_MS
            if now_ms - resolved_ms < ttl_ms:
                return workspace
        try:
            workspace = await self._query(digest)
        except PlatformError:
            if entry is not None and entry[0]:
                self.workspaces_by_key[digest] = (entry[0], now_ms)
                return entry[0]
            raise
        if len(self.workspaces_by_key) >= MAX_KEYS:
            self.workspaces_by_key.pop(next(iter(self.workspaces_by_key)))
        self.workspaces_by_key[digest] = (workspace, now_ms)
        return workspace

    async def _query(self, digest):
        url = f"http://{self.address}/v1/keys/{digest}"
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self.session.get(
                url, timeout=timeout, allow_redirects=False
            ) as response:
                if response.status == 404:
                    return None
                if response.status != 200:
                    raise PlatformError(
                        f"directory status {response.status} instead of 200 or 404"
                    )
                raw = await read_body(response, MAX_DIRECTORY_BODY_BYTES)
                body = msgspec.json.decode(raw)
                return str(body["workspace"])
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.DecodeError,
            KeyError,
            TypeError,
        ) as error:
            raise PlatformError(
                f"no valid response from directory {self.address}"
            ) from error


def make_feed_client(session, address):
    """Return a client for the feeds at `address`."""
    return FeedClient(session, address)


def make_directory_client(session, address, clock):
    """Return a client for the directory at `address`."""
    return DirectoryClient(session, address, clock)
