"""Versioned documents that daemons replicate among themselves.

A feed is a set of named parts under one version number, which only increases.
Daemons exchange increments, each of which starts at the version where the one
before it ended, and fall back to a snapshot, as in the updates graph of RFC
9569 [1]_. The digest of the parts verifies that a version has the same content
however it was reached.

References
----------
.. [1] RFC 9569, sections 3.1 and 3.2 (updates graph, continuity).
"""

from collections import deque

import msgspec
from msgspec import Struct

from bluebellbeam.config.bundle import bundle_digest, canonical_json
from bluebellbeam.feeds.patch import apply_patch, make_patch

__all__ = [
    "Delta",
    "Feed",
    "Snapshot",
    "adopt_delta",
    "adopt_snapshot",
    "deltas_since",
    "diff_parts",
    "make_feed",
    "prepare_delta",
]

MAX_DELTAS = 64
"""Maximum number of recent increments kept for peers that hold older versions."""


class Delta(Struct, frozen=True, array_like=True, tag="fd"):
    """An increment from `from_version` to `to_version`.

    Parameters
    ----------
    key : str
        Feed that the increment belongs to.
    from_version, to_version : int
    digest : str
        Digest of all parts at `to_version`.
    patches : dict of str to object
        Merge patch of each changed or added part.
    removed : tuple of str
        Parts that `to_version` does not have.
    """

    key: str
    from_version: int
    to_version: int
    digest: str
    patches: dict[str, msgspec.Raw]
    removed: tuple[str, ...] = ()


class Snapshot(Struct, frozen=True, array_like=True, tag="fs"):
    """All parts of a feed at one version."""

    key: str
    version: int
    digest: str
    parts: dict[str, msgspec.Raw]


class Feed:
    """One feed as held by a daemon.

    Attributes
    ----------
    key : str
    version : int
        Version held; 0 before the first.
    digest : str
        Digest of `parts`.
    parts : dict of str to bytes
        Canonical JSON of each part.
    deltas : deque of Delta
        Recent increments, oldest first, each contiguous with the next.
    ignored_lower : int
        Number of snapshots ignored because their version was lower.
    refused_version, refused_reason : int, str
        Last version that was refused as invalid, and the first fault in it.
    changed_ms : int
        Time at which `version` was adopted.
    source : str
        VM that sent the version, or ``service`` if it was read from the
        platform.
    """

    __slots__ = (
        "key",
        "version",
        "digest",
        "parts",
        "deltas",
        "ignored_lower",
        "refused_version",
        "refused_reason",
        "changed_ms",
        "source",
    )

    def __init__(self, key):
        self.key = key
        self.version = 0
        self.digest = ""
        self.parts = {}
        self.deltas = deque(maxlen=MAX_DELTAS)
        self.ignored_lower = 0
        self.refused_version = 0
        self.refused_reason = ""
        self.changed_ms = 0
        self.source = ""


def make_feed(key):
    """Return an empty feed at version 0."""
    return Feed(key)


def diff_parts(key, old, new, old_version, new_version):
    """Return the :class:`Delta` that turns parts `old` into parts `new`."""
    patches = {}
    for name, raw in new.items():
        if old.get(name) == raw:
            continue
        before = msgspec.json.decode(old[name]) if name in old else {}
        patch = make_patch(before, msgspec.json.decode(raw))
        patches[name] = msgspec.Raw(canonical_json(patch))
    removed = tuple(sorted(name for name in old if name not in new))
    digest = bundle_digest(new)
    return Delta(key, old_version, new_version, digest, patches, removed)


def prepare_delta(feed, delta):
    """Return the parts that result from applying `delta` to `feed`.

    Parameters
    ----------
    feed : Feed
    delta : Delta

    Returns
    -------
    dict of str to bytes or None
        None if the increment starts at another version or the digest of the
        result differs; a snapshot is needed then.
    """
    if delta.from_version != feed.version:
        return None
    parts = {n: raw for n, raw in feed.parts.items() if n not in delta.removed}
    for name, patch in delta.patches.items():
        before = msgspec.json.decode(parts[name]) if name in parts else {}
        after = apply_patch(before, msgspec.json.decode(patch))
        parts[name] = canonical_json(after)
    if bundle_digest(parts) != delta.digest:
        return None
    return parts


def adopt_delta(feed, delta, parts, now_ms, source):
    """Adopt `parts`, returned by :func:`prepare_delta` for `delta`."""
    feed.deltas.append(delta)
    _adopt(feed, delta.to_version, delta.digest, parts, now_ms, source)


def adopt_snapshot(feed, version, parts, now_ms, source):
    """Adopt `parts` as `version`, keeping the increment from the version held."""
    if feed.version:
        delta = diff_parts(feed.key, feed.parts, parts, feed.version, version)
        feed.deltas.append(delta)
    _adopt(feed, version, bundle_digest(parts), parts, now_ms, source)


def deltas_since(feed, version):
    """Return the increments from `version` to the version held.

    Returns
    -------
    list of Delta or None
        None if no kept increment starts at `version`.
    """
    if version == feed.version:
        return []
    chain = [delta for delta in feed.deltas if delta.from_version >= version]
    if not chain or chain[0].from_version != version:
        return None
    return chain


def _adopt(feed, version, digest, parts, now_ms, source):
    feed.version = version
    feed.digest = digest
    feed.parts = parts
    feed.changed_ms = now_ms
    feed.source = source
