"""Synchronization of feeds with the platform and among peers.

A version is activated only if it is higher than the one held, its digest
matches and, for the configuration, every check passes. A lower version never
replaces the active one.
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
from bluebellbeam.node.caller_keys import record_revoked_keys
from bluebellbeam.node.command import Log, ReadFeed
from bluebellbeam.node.message import FeedPull
from bluebellbeam.node.peer_send import send_to_member
from bluebellbeam.node.state import CONFIG_FEED, ENTRIES_FEED, backends_feed
from bluebellbeam.provider.records import EVACUATED_PREFIX, VmRecord
from bluebellbeam.recovery import set_burst
from bluebellbeam.routing import require_confirmation

__all__ = [
    "handle_delta",
    "handle_feed_pull",
    "handle_feed_read",
    "handle_feed_read_failed",
    "handle_snapshot",
    "offer_config",
    "reconcile_versions",
    "request_config",
    "tick_feeds",
]

READ_TIMEOUT_MS = 40_000
"""Time after which a read without a response is repeated."""

PULL_INTERVAL_MS = 1_000
"""Minimum time between two pulls of a feed, from the same or different peers."""

READ_RETRY_MS = 2_000
"""Time after a failed read before the next one."""

FIRST_READ_RETRY_MS = 500
"""Time after a failed read of a feed without any version; the daemon serves no
requests until it has one."""

PUSH_FANOUT = 2
"""Number of members that a new increment is sent to at once."""


def tick_feeds(state, now_ms):
    """Read the feeds for which a read from the platform is due.

    A daemon reads the feeds that it watches or has no version of, and every feed
    while their source does not respond to any daemon.
    """
    for key, feed in state.feeds.items():
        if not _is_read_due(state, key, now_ms):
            continue
        if (
            feed.version == 0
            or _is_feed_watcher(state, key)
            or state.is_list_stale(now_ms)
        ):
            state.feed_requested_ms[key] = now_ms
            wait = feed.version > 0
            state.emit(ReadFeed(key, feed.version, wait))


def _is_read_due(state, key, now_ms):
    """Return whether feed `key` may be read again.

    The last read must have ended or timed out, and after a failure the retry delay
    must have passed.
    """
    requested_ms = state.feed_requested_ms.get(key)
    if requested_ms is None:
        return True
    failed_ms = state.feed_failed_ms.get(key)
    if failed_ms is not None and failed_ms >= requested_ms:
        retry_ms = READ_RETRY_MS if state.feeds[key].version else FIRST_READ_RETRY_MS
        return now_ms - failed_ms >= retry_ms
    response_ms = state.feed_response_ms.get(key)
    if response_ms is not None and response_ms >= requested_ms:
        return True
    return now_ms - requested_ms >= READ_TIMEOUT_MS


def _is_feed_watcher(state, key):
    """Return whether this daemon watches feed `key` at the platform."""
    depends_on = (state.members.generation, state.policy.watchers_per_domain)
    return state.cached(
        ("watch", key), depends_on, lambda: _compute_feed_watcher(state, key)
    )


def _compute_feed_watcher(state, key):
    own = state.identity
    rows = usable_members(state.members, own.region, own.failure_domain)
    names = {row.name for row in rows if row.status == "alive"}
    names.add(own.vm)
    # With a key-value store one poll reads every feed, so the same daemons watch
    # all of them.
    watched = key if own.lists_entries else "store"
    return is_watcher(own.vm, watched, names, state.policy.watchers_per_domain)


def handle_feed_read(state, snapshot, now_ms):
    """Apply a snapshot read from the platform.

    A version that is refused would be read again at once, so it counts as a failure.
    """
    state.feed_response_ms[snapshot.key] = now_ms
    handle_snapshot(state, "service", snapshot, now_ms)
    feed = state.feeds.get(snapshot.key)
    if feed is not None and feed.version < snapshot.version:
        handle_feed_read_failed(state, snapshot.key, now_ms)


def handle_feed_read_failed(state, key, now_ms):
    """Record a failed read from the platform."""
    state.feed_failed_ms[key] = now_ms


def reconcile_versions(state, sender, versions, now_ms):
    """Pull newer versions from a peer, and send it increments that it lacks.

    Increments are sent without a request. A snapshot is only sent on request,
    and requested from one peer at a time.

    Parameters
    ----------
    state : NodeState
    sender : str
        The peer.
    versions : dict of str to int
        Version that the peer holds of each feed.
    now_ms : int
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
    if pulled_ms is not None and now_ms - pulled_ms < PULL_INTERVAL_MS:
        return
    state.feed_pulled_ms[feed.key] = now_ms
    send_to_member(state, sender, (FeedPull(feed.key, feed.version),))


def request_config(state, name):
    """Request a newer configuration from member `name`."""
    feed = state.feeds[CONFIG_FEED]
    send_to_member(state, name, (FeedPull(feed.key, feed.version),))


def offer_config(state, name, version, now_ms):
    """Send member `name`, which holds `version`, the newer configuration.

    It is sent at most once in `PULL_INTERVAL_MS`.
    """
    feed = state.feeds[CONFIG_FEED]
    offered_ms = state.config_offered_ms.get(name)
    if offered_ms is not None and now_ms - offered_ms < PULL_INTERVAL_MS:
        return
    state.config_offered_ms[name] = now_ms
    _send_newer(state, name, feed, version)


def handle_feed_pull(state, sender, pull):
    """Send a peer the versions that it lacks of the requested feed."""
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
    """Apply an increment from a peer, or pull the feed if it does not apply."""
    feed = state.feeds.get(delta.key)
    if feed is None or delta.to_version <= feed.version:
        return
    parts = prepare_delta(feed, delta)
    if parts is None:
        _pull(state, sender, feed, now_ms)
        return
    if _accept_version(state, feed, delta.to_version, parts, now_ms):
        adopt_delta(feed, delta, parts, now_ms, sender)
        _activate_version(state, feed, now_ms)
        _push(state, feed, sender, (delta,))


def handle_snapshot(state, sender, snapshot, now_ms):
    """Apply a snapshot from a peer or the platform."""
    feed = state.feeds.get(snapshot.key)
    if feed is None or snapshot.version == feed.version:
        return
    if snapshot.version < feed.version:
        feed.ignored_lower += 1
        return
    parts = {name: bytes(raw) for name, raw in snapshot.parts.items()}
    if not _accept_version(state, feed, snapshot.version, parts, now_ms):
        return
    before = feed.version
    adopt_snapshot(feed, snapshot.version, parts, now_ms, sender)
    _activate_version(state, feed, now_ms)
    if before and feed.deltas and feed.deltas[-1].to_version == feed.version:
        _push(state, feed, sender, (feed.deltas[-1],))


def _push(state, feed, sender, messages):
    """Send a new increment to `PUSH_FANOUT` members.

    The others learn of the new version from gossip.
    """
    rows = [
        row.name
        for row in usable_members(state.members)
        if row.name not in (sender, state.identity.vm)
        and (row.region == state.region or feed.key in (CONFIG_FEED, ENTRIES_FEED))
    ]
    state.rng.shuffle(rows)
    for name in rows[:PUSH_FANOUT]:
        send_to_member(state, name, messages)


def _accept_version(state, feed, version, parts, now_ms):
    """Return whether `version` passes the checks; a configuration is also loaded."""
    if feed.key != CONFIG_FEED:
        return True
    match effective_from_parts(version, parts, state.identity.site, state.part_cache):
        case Success(effective):
            record_revoked_keys(state, effective)
            state.config = effective
            return True
        case Failure(faults):
            document, fault = faults[0]
            feed.refused_version = version
            feed.refused_reason = f"{document}: {fault}"
            state.emit(Log("config", f"refuse revision {version}: {fault}"))
            return False


def _activate_version(state, feed, now_ms):
    """Apply the new version of `feed` to the state."""
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
        _update_evacuated(state, feed)


def _update_evacuated(state, feed):
    """Update the evacuated failure domains from the list of backend servers.

    Servers of a domain that is no longer evacuated may need to warm up again,
    so they are checked before they are used.
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
    """Return the records of the listed backend servers of this region."""
    return _records(state.feeds[backends_feed(state.region)])
