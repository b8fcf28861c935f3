"""Feeds of versioned documents: increments, snapshots and choice of watchers."""

from bluebellbeam.feeds.feed import (
    Delta,
    Feed,
    Snapshot,
    adopt_delta,
    adopt_snapshot,
    deltas_since,
    diff_parts,
    make_feed,
    prepare_delta,
)
from bluebellbeam.feeds.patch import apply_patch, make_patch
from bluebellbeam.feeds.watchers import is_watcher

__all__ = [
    "Delta",
    "Feed",
    "Snapshot",
    "adopt_delta",
    "adopt_snapshot",
    "apply_patch",
    "deltas_since",
    "diff_parts",
    "is_watcher",
    "make_feed",
    "make_patch",
    "prepare_delta",
]
