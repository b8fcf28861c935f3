"""Where event streams began, kept so that any daemon can continue them.

A caller may resume a stream at another daemon, often because the one that served it is
gone. The daemon that serves the first event therefore tells a few others where the
stream began, chosen by rendezvous hash of the stream, and the daemon that the caller
resumes at asks those that would have been told. Every daemon that knows an origin tells
it again when the members change and others are to know it, and when a version that was
unknown at first has been confirmed. Copies of it spread among the daemons of a region.
"""

from bluebellbeam.origins.copies import (
    CopyTable,
    find_copy,
    make_copy_table,
    merge_copies,
    prune_copies,
    queue_copy,
    take_copies,
)
from bluebellbeam.origins.holders import choose_holders, choose_sources, holder_count
from bluebellbeam.origins.table import (
    MAX_ORIGINS,
    OriginRow,
    OriginTable,
    ServingDaemon,
    UnconfirmedVersion,
    confirm_origin,
    find_origin,
    make_origin_table,
    prune_origins,
    record_origin,
    stream_key,
)
from bluebellbeam.origins.versions import (
    VersionTable,
    is_complete,
    live_versions,
    make_version_table,
    merge_seen_versions,
    only_version,
    prune_versions,
    record_live_versions,
    record_version,
    seen_versions,
    start_watch,
)

__all__ = [
    "MAX_ORIGINS",
    "CopyTable",
    "OriginRow",
    "OriginTable",
    "ServingDaemon",
    "UnconfirmedVersion",
    "VersionTable",
    "choose_holders",
    "choose_sources",
    "confirm_origin",
    "find_copy",
    "find_origin",
    "holder_count",
    "is_complete",
    "live_versions",
    "make_copy_table",
    "make_origin_table",
    "make_version_table",
    "merge_copies",
    "merge_seen_versions",
    "only_version",
    "prune_copies",
    "prune_origins",
    "prune_versions",
    "queue_copy",
    "record_live_versions",
    "record_origin",
    "record_version",
    "seen_versions",
    "start_watch",
    "stream_key",
    "take_copies",
]
