"""Versioned documents that daemons read once and pass on among themselves.

A feed is a set of named parts under one version number that only goes up.
Daemons exchange increments, each of which begins at the version where the one
before ended, and fall back to a snapshot, as the updates graph of RFC 9569
does [1]_. The digest of the resulting parts proves that every path gives the
same content.

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

KEPT_DELTAS = 64
"""Increments kept for peers that are behind."""


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
        Parts that are gone.
    """

    key: str
    from_version: int
    to_version: int
    digest: str
    patches: dict[str, msgspec.Raw]
    removed: tuple[str, ...] = ()


class Snapshot(Struct, frozen=True, array_like=True, tag="fs"):
    """Every part of a feed at one version."""

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
    parts : dict of str to bytes
        Canonical JSON of each part.
    deltas : deque of Delta
        Recent increments, oldest first, each contiguous with the next.
    ignored_lower : int
        Offers of a version below the one held.
    refused_version, refused_reason : int, str
        The newest version that was refused, and why.
    changed_ms : int
        When `version` was adopted.
    source : str
        VM, or ``service``, that the version came from.
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
        self.deltas = deque(maxlen=KEPT_DELTAS)
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
    """Return the parts after `delta`, or None where it does not fit.

    Parameters
    ----------
    feed : Feed
    delta : Delta

    Returns
    -------
    dict of str to bytes or None
        None when the increment starts at another version or its digest does
        not match; a snapshot is needed then.
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
    """Put `parts`, prepared from `delta`, in force."""
    feed.deltas.append(delta)
    _adopt(feed, delta.to_version, delta.digest, parts, now_ms, source)


def adopt_snapshot(feed, version, parts, now_ms, source):
    """Put `parts` in force, keeping the increment from the version held."""
    if feed.version:
        delta = diff_parts(feed.key, feed.parts, parts, feed.version, version)
        feed.deltas.append(delta)
    _adopt(feed, version, bundle_digest(parts), parts, now_ms, source)


def deltas_since(feed, version):
    """Return the increments from `version` to the one held, or None.

    None means that the increments are no longer kept.
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
