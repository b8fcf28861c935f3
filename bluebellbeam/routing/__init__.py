"""Entry choice, backend servers, prefix estimates and their scores."""

from bluebellbeam.routing.choose import Candidate, choose_replica, is_available
from bluebellbeam.routing.entry import (
    entry_set_size,
    is_in_entry_set,
    rank_entries,
    server_subset,
)
from bluebellbeam.routing.estimate import (
    Estimate,
    estimate_local,
    estimate_remote,
    score_estimate,
    slot_wait_ms,
)
from bluebellbeam.routing.prefix import (
    PrefixIndex,
    apply_cache_events,
    cached_blocks,
    deepest_holders,
    forget_server,
    make_prefix_index,
    note_prefix,
)
from bluebellbeam.routing.replica import (
    Replica,
    ReplicaTable,
    apply_load,
    drop_replica,
    make_replica_table,
    mark_leaving,
    note_finished,
    note_started,
    reindex,
    update_replicas,
)

__all__ = [
    "Candidate",
    "Estimate",
    "PrefixIndex",
    "Replica",
    "ReplicaTable",
    "apply_cache_events",
    "apply_load",
    "cached_blocks",
    "choose_replica",
    "deepest_holders",
    "drop_replica",
    "entry_set_size",
    "estimate_local",
    "estimate_remote",
    "forget_server",
    "is_available",
    "is_in_entry_set",
    "make_prefix_index",
    "make_replica_table",
    "mark_leaving",
    "note_finished",
    "note_prefix",
    "note_started",
    "rank_entries",
    "reindex",
    "score_estimate",
    "server_subset",
    "slot_wait_ms",
    "update_replicas",
]
