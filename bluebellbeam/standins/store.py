"""Stand-ins of the platform's configuration service, VM list and directory.

All three publish versioned values that can only be read and watched. Every
call is counted, a waiting watch as one.
"""

import msgspec

from bluebellbeam.config.bundle import bundle_digest, canonical_json, split_documents
from bluebellbeam.feeds import Snapshot

__all__ = [
    "Directory",
    "Store",
    "make_directory",
    "make_store",
]

VALUE_LIMIT_BYTES = 1_000_000
"""Largest value that the configuration service holds."""


class Store:
    """Published feeds by key, and the switches of the faults.

    Attributes
    ----------
    feeds : dict of str to list of (int, dict)
        Every published version and its parts, oldest first.
    calls : int
    down : bool
        Fault: no call is answered.
    stale_version : dict of str to int
        Fault: hand out this version instead of the newest.
    unreadable_parts : set of str
        Fault: parts that the manifest names and that cannot be read yet.
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
                raise ValueError(f"part {name} is larger than a value may be")
        self.feeds.setdefault(key, []).append((version, dict(parts)))

    def publish_config(self, revision, base, overlays=None):
        """Publish a base document and overlays as a configuration."""
        self.publish("config", revision, split_documents(base, overlays or {}))

    def publish_vms(self, key, records):
        """Publish VM records as the next version of a list; return it."""
        version = self.newest(key)[0] + 1
        parts = {
            record.name: canonical_json(msgspec.to_builtins(record))
            for record in records
        }
        self.publish(key, version, parts)
        return version

    def newest(self, key):
        """Return ``(version, parts)`` of the newest version."""
        versions = self.feeds.get(key)
        return versions[-1] if versions else (0, {})

    def read(self, key):
        """Return the :class:`Snapshot` of a feed, or None while down."""
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
    """Client directory: which key belongs to which workspace.

    Attributes
    ----------
    keys : dict of str to str
        Workspace by key; revoked keys are absent.
    calls : int
    down : bool
    """

    __slots__ = ("keys", "calls", "down")

    def __init__(self, keys):
        self.keys = dict(keys)
        self.calls = 0
        self.down = False

    def resolve(self, key):
        """Return the workspace of `key`, or None."""
        self.calls += 1
        return self.keys.get(key)


def make_store():
    """Return a store without any value."""
    return Store()


def make_directory(keys):
    """Return a directory that knows `keys`, a dict of key to workspace."""
    return Directory(keys)
