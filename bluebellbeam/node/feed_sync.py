"""Feed system: reading the platform and passing feeds on among peers.

A version is put in force only when it is higher than the one held, its
digest matches and, for the configuration, every check passes. Nothing lower
ever replaces what is in force.
"""

import msgspec
from returns.result import Failure, Success

from bluebellbeam.config.bundle import effective_from_parts
from bluebellbeam.feeds import (
    Snapshot,
    adopt_delta,
    adopt_snapshot,
    deltas_since,
    is_watcher,
    prepare_delta,
)
from bluebellbeam.membership import update_listed, usable_members
from bluebellbeam.node.command import Log, ReadFeed
from bluebellbeam.node.gossip import send_to_member
from bluebellbeam.node.message import FeedPull
from bluebellbeam.node.state import CONFIG_FEED, ENTRIES_FEED, backends_feed
from bluebellbeam.provider.records import EVACUATED_PREFIX, VmRecord
from bluebellbeam.recovery import set_burst
from bluebellbeam.routing import require_confirmation

__all__ = [
    "request_config",
    "reconcile_versions",
    "handle_delta",
    "handle_feed_pull",
    "handle_snapshot",
    "handle_feed_read",
    "handle_feed_read_failed",
    "tick_feeds",
]

READ_TIMEOUT_MS = 40_000
"""A read without an answer is repeated after this time."""

PULL_MS = 1_000
"""A feed is not asked for again at another peer before this time."""

RETRY_MS = 2_000
"""Pause after a failed read."""

FIRST_RETRY_MS = 500
"""The same for a daemon that has no version of a feed yet and serves nobody."""

PUSH_FANOUT = 2
"""Members that are told at once of a new version."""


def tick_feeds(state, now_ms):
    """Read the feeds that this daemon is to watch."""
    for key, feed in state.feeds.items():
        if not _may_ask(state, key, now_ms):
            continue
        if feed.version == 0 or _watches(state, key) or state.is_list_stale(now_ms):
            state.feed_requested_ms[key] = now_ms
            wait = feed.version > 0
            state.emit(ReadFeed(key, feed.version, wait))


def _may_ask(state, key, now_ms):
    asked_ms = state.feed_requested_ms.get(key)
    if asked_ms is None:
        return True
    failed_ms = state.feed_failed_ms.get(key)
    if failed_ms is not None and failed_ms >= asked_ms:
        pause_ms = RETRY_MS if state.feeds[key].version else FIRST_RETRY_MS
        return now_ms - failed_ms >= pause_ms
    answered_ms = state.feed_response_ms.get(key)
    if answered_ms is not None and answered_ms >= asked_ms:
        return True
    return now_ms - asked_ms >= READ_TIMEOUT_MS


def _watches(state, key):
    basis = (state.members.generation, state.policy.watchers_per_domain)
    return state.cached(("watch", key), basis, lambda: _is_chosen(state, key))


def _is_chosen(state, key):
    own = state.identity
    rows = usable_members(state.members, own.region, own.failure_domain)
    names = {row.name for row in rows if row.status == "alive"}
    names.add(own.vm)
    # Behind a store one poll serves every feed, so the same daemons watch all.
    what = key if own.lists_entries else "store"
    return is_watcher(own.vm, what, names, state.policy.watchers_per_domain)


def handle_feed_read(state, snapshot, now_ms):
    """Take in what the platform has answered."""
    state.feed_response_ms[snapshot.key] = now_ms
    handle_snapshot(state, "service", snapshot, now_ms)


def handle_feed_read_failed(state, key, now_ms):
    """Record that the platform has not answered."""
    state.feed_failed_ms[key] = now_ms


def reconcile_versions(state, sender, versions, now_ms):
    """Fetch from, or send to, a peer whose versions differ from ours.

    Increments are sent unasked. A whole snapshot is only sent to a peer that
    asks for it, and is asked for at one peer at a time.
    """
    for key, version in versions.items():
        feed = state.feeds.get(key)
        if feed is None:
            continue
        if version > feed.version and version != feed.refused_version:
            _pull(state, sender, feed, now_ms)
        elif version < feed.version:
            chain = deltas_since(feed, version)
            if chain:
                send_to_member(state, sender, chain)


def _pull(state, sender, feed, now_ms):
    pulled_ms = state.feed_pulled_ms.get(feed.key)
    if pulled_ms is not None and now_ms - pulled_ms < PULL_MS:
        return
    state.feed_pulled_ms[feed.key] = now_ms
    send_to_member(state, sender, (FeedPull(feed.key, feed.version),))


def request_config(state, name):
    """Ask member `name` for a newer configuration."""
    feed = state.feeds[CONFIG_FEED]
    send_to_member(state, name, (FeedPull(feed.key, feed.version),))


def handle_feed_pull(state, sender, pull):
    """Answer a peer that is behind."""
    feed = state.feeds.get(pull.key)
    if feed is not None and feed.version > pull.version:
        _send_newer(state, sender, feed, pull.version)


def _send_newer(state, sender, feed, version):
    chain = deltas_since(feed, version)
    if chain:
        send_to_member(state, sender, chain)
        return
    parts = {name: msgspec.Raw(raw) for name, raw in feed.parts.items()}
    snapshot = Snapshot(feed.key, feed.version, feed.digest, parts)
    send_to_member(state, sender, (snapshot,))


def handle_delta(state, sender, delta, now_ms):
    """Take in an increment from a peer."""
    feed = state.feeds.get(delta.key)
    if feed is None or delta.to_version <= feed.version:
        return
    parts = prepare_delta(feed, delta)
    if parts is None:
        _pull(state, sender, feed, now_ms)
        return
    if _accept(state, feed, delta.to_version, parts, now_ms):
        adopt_delta(feed, delta, parts, now_ms, sender)
        _put_in_force(state, feed, now_ms)
        _pass_on(state, feed, sender, (delta,))


def handle_snapshot(state, sender, snapshot, now_ms):
    """Take in a whole version, from a peer or the platform."""
    feed = state.feeds.get(snapshot.key)
    if feed is None or snapshot.version == feed.version:
        return
    if snapshot.version < feed.version:
        feed.ignored_lower += 1
        return
    parts = {name: bytes(raw) for name, raw in snapshot.parts.items()}
    if not _accept(state, feed, snapshot.version, parts, now_ms):
        return
    before = feed.version
    adopt_snapshot(feed, snapshot.version, parts, now_ms, sender)
    _put_in_force(state, feed, now_ms)
    if before and feed.deltas and feed.deltas[-1].to_version == feed.version:
        _pass_on(state, feed, sender, (feed.deltas[-1],))


def _pass_on(state, feed, sender, messages):
    """Push a fresh increment to a few members; probes carry it to the rest."""
    rows = [
        row.name
        for row in usable_members(state.members)
        if row.name not in (sender, state.identity.vm)
        and (row.region == state.region or feed.key in (CONFIG_FEED, ENTRIES_FEED))
    ]
    state.rng.shuffle(rows)
    for name in rows[:PUSH_FANOUT]:
        send_to_member(state, name, messages)


def _accept(state, feed, version, parts, now_ms):
    if feed.key != CONFIG_FEED:
        return True
    match effective_from_parts(version, parts, state.identity.site, state.part_cache):
        case Success(effective):
            state.config = effective
            return True
        case Failure(faults):
            document, fault = faults[0]
            feed.refused_version = version
            feed.refused_reason = f"{document}: {fault}"
            state.emit(Log("config", f"refuse revision {version}: {fault}"))
            return False


def _put_in_force(state, feed, now_ms):
    if feed.key == CONFIG_FEED:
        fields = {"version": feed.version, "source": feed.source}
        state.emit(Log("config", f"adopt revision {feed.version}", fields=fields))
        state.ledger.max_rows = state.policy.max_operations
        state.retries.share = state.policy.retry_share
        set_burst(state.retries, state.policy.retry_burst)
        state.hedges.share = state.objective.hedge_share
        state.subset_key = None
    elif feed.key == ENTRIES_FEED:
        records = _records(feed)
        update_listed(state.members, records, now_ms)
        state.subset_key = None
    else:
        state.subset_key = None
        fields = {"version": feed.version, "source": feed.source}
        fields["parts"] = len(feed.parts)
        state.emit(Log("routing", "adopt a list of backend servers", fields=fields))
        _note_evacuated(state, feed)


def _note_evacuated(state, feed):
    """Take in which failure domains are evacuated.

    The servers of one that is taken back may have become cold meanwhile; they
    are asked before they are used.
    """
    length = len(EVACUATED_PREFIX)
    now = frozenset(n[length:] for n in feed.parts if n.startswith(EVACUATED_PREFIX))
    before = state.evacuated
    if now == before:
        return
    state.evacuated = now
    for row in state.replicas.rows.values():
        if row.failure_domain in before - now:
            require_confirmation(state.replicas, row)
    names = ", ".join(sorted(now)) or "none"
    fields = {"version": feed.version, "source": feed.source}
    state.emit(Log("routing", f"evacuated failure domains: {names}", fields=fields))


def _records(feed):
    return [
        msgspec.json.decode(raw, type=VmRecord)
        for name, raw in feed.parts.items()
        if not name.startswith(EVACUATED_PREFIX)
    ]


def listed_backends(state):
    """Return the backend servers that the VM list shows in the own region."""
    return _records(state.feeds[backends_feed(state.region)])
