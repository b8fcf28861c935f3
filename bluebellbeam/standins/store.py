"""Stand-ins of the platform's configuration service, VM list and directory.

The configuration service and the VM list publish versioned feeds, which
daemons can only read and watch. Every call is counted; a pending watch counts
as one call.
"""

import msgspec

from bluebellbeam.config.bundle import bundle_digest, canonical_json, split_documents
from bluebellbeam.feeds import Snapshot

__all__ = [
    "Directory",
    "FeedStore",
    "make_directory",
    "make_feed_store",
]

VALUE_LIMIT_BYTES = 1_000_000
"""Size limit of one part of a feed in the configuration service."""


class FeedStore:
    """Published feeds and injected faults of the configuration service and VM list.

    Attributes
    ----------
    feeds : dict of str to list of (int, dict)
        Versions of each feed and their parts, oldest first.
    calls : int
        Number of calls received.
    down : bool
        Fault: no call is answered.
    stale_version : dict of str to int
        Fault: version of each feed that is served instead of the newest.
    unreadable_parts : set of str
        Fault: names of parts that manifests list but that cannot be read.
    """

    __slots__ = ("feeds", "calls", "down", "stale_version", "unreadable_parts")

    def __init__(self):
        self.feeds = {}
        self.calls = 0
        self.down = False
        self.stale_version = {}
        self.unreadable_parts = set()

    def publish(self, key, version, parts):
        """Publish `parts`, a dict of name to bytes, as `version` of a feed."""
        for name, raw in parts.items():
            if len(raw) > VALUE_LIMIT_BYTES:
                raise ValueError(
                    f"part {name}: {len(raw)} bytes, limit {VALUE_LIMIT_BYTES} bytes"
                )
        self.feeds.setdefault(key, []).append((version, dict(parts)))

    def publish_config(self, revision, base, overlays=None):
        """Publish a base document and overlays as a configuration."""
        self.publish("config", revision, split_documents(base, overlays or {}))

    def publish_vms(self, key, records):
        """Publish VM records as the next version of feed `key`; return the version."""
        version = self.newest(key)[0] + 1
        parts = {
            record.name: canonical_json(msgspec.to_builtins(record))
            for record in records
        }
        self.publish(key, version, parts)
        return version

    def newest(self, key):
        """Return the newest version of a feed and its parts, or ``(0, {})``."""
        versions = self.feeds.get(key)
        return versions[-1] if versions else (0, {})

    def read(self, key):
        """Return the :class:`Snapshot` of a feed, or None if it cannot be read."""
        self.calls += 1
        if self.down or key not in self.feeds:
            return None
        version, parts = self._served_version(key)
        raw = {name: msgspec.Raw(part) for name, part in parts.items()}
        return Snapshot(key, version, bundle_digest(parts), raw)

    def _served_version(self, key):
        stale = self.stale_version.get(key)
        if stale is not None:
            for version, parts in self.feeds[key]:
                if version == stale:
                    return version, parts
        return self.newest(key)


class Directory:
    """Client directory, which maps bearer keys to workspaces.

    Attributes
    ----------
    keys : dict of str to str
        Workspace by key; revoked keys are absent.
    calls : int
        Number of calls received.
    down : bool
        Fault: no call is answered.
    """

    __slots__ = ("keys", "calls", "down")

    def __init__(self, keys):
        self.keys = dict(keys)
        self.calls = 0
        self.down = False

    def resolve(self, key):
        """Return the workspace of `key`, or None if the key is unknown."""
        self.calls += 1
        return self.keys.get(key)


def make_feed_store():
    """Return a store without published feeds."""
    return FeedStore()


def make_directory(keys):
    """Return a directory with `keys`, a dict of key to workspace."""
    return Directory(keys)
