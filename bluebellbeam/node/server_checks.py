"""Load system: which backend servers are used and what is known of them."""

from bluebellbeam.membership import StatusUpdate, queue_update
from bluebellbeam.node.command import Log, ReadLoad
from bluebellbeam.node.feed_sync import listed_backends
from bluebellbeam.node.state import backends_feed
from bluebellbeam.recovery import note_failure
from bluebellbeam.routing import (
    apply_load,
    apply_load_header,
    confirm_replica,
    mark_leaving,
    note_miss,
    note_warm_up,
    reindex,
    remove_server_blocks,
    server_subset,
    update_replicas,
)

__all__ = [
    "check_unconfirmed",
    "handle_health_check",
    "handle_load_report",
    "handle_load_read_failed",
    "poll_interval_ms",
    "apply_response_load",
    "take_load",
    "tick_server_checks",
]

ASK_AGAIN_MS = 250
"""A server that does not answer is asked again after this time."""

LAPSE_MS = 2200
"""Servers that a disturbed source dropped are listed again within two seconds
of its return, or are gone."""

DISTURBED_MS = 3000
"""A list is doubted this long after its source last failed."""

ANSWERED_MS = 1500
"""Age of an answer to a request that still shows that a server runs."""

MAX_ASKED = 4
"""Servers asked at once before a request is sent."""


def tick_server_checks(state, now_ms):
    """Choose the servers to use and ask those that have said nothing lately."""
    _refresh_subset(state, now_ms)
    _expire_lapsed(state, now_ms)
    policy = state.policy
    interval_ms = poll_interval_ms(policy, len(state.replicas.rows))
    stale = state.is_list_stale(now_ms)
    for row in state.replicas.rows.values():
        if row.listed and row.identified and not stale:
            continue
        due_ms = policy.stale_check_ms if row.listed else interval_ms
        known_ms = max(row.checked_ms, row.reported_ms or -due_ms)
        if row.leaving and row.identified and row.inflight == 0:
            due_ms *= 4
        if row.checked_ms < 0 or now_ms - known_ms >= due_ms:
            row.checked_ms = now_ms
            state.emit(_read_load(state, row))


def _read_load(state, row):
    service = state.base.services.get(row.service)
    path = service.health_path if service is not None else ""
    return ReadLoad(row.name, row.address, row.incarnation, path)


def poll_interval_ms(policy, servers):
    """Return the time between two questions to one server.

    The questions to all `servers` together keep to `policy.load_polls_per_s`;
    servers that answer requests tell their load on the answers meanwhile.
    """
    spread_ms = 1000.0 * servers / policy.load_polls_per_s
    return max(policy.load_interval_ms, spread_ms)


def _refresh_subset(state, now_ms):
    feed = state.feeds[backends_feed(state.region)]
    members = state.region_members()
    key = (feed.version, state.policy.subset_size)
    if (key, members) == state.subset_key:
        return
    state.subset_key = (key, members)
    own = state.identity.vm
    records = listed_backends(state)
    chosen = []
    for kind in sorted({(item.role, item.service) for item in records}):
        names = sorted(i.name for i in records if (i.role, i.service) == kind)
        size = state.policy.subset_size
        chosen.extend(server_subset(own, members, names, size))
    wanted = set(chosen)
    before = {row.name: row.incarnation for row in state.replicas.rows.values()}
    used = [record for record in records if record.name in wanted]
    lapsed = _lapsed_servers(state, {record.name for record in records}, now_ms)
    update_replicas(state.replicas, used, now_ms, lapsed)
    for name, incarnation in before.items():
        row = state.replicas.rows.get(name)
        if row is None or row.incarnation != incarnation:
            remove_server_blocks(state.prefixes, name)


def _lapsed_servers(state, listed, now_ms):
    """Return servers that vanished while the source of the list was disturbed.

    A source that was away may have dropped servers that still run. They come
    back to the list within `LAPSE_MS`, or are gone.
    """
    feed = state.feeds[backends_feed(state.region)]
    failed_ms = state.feed_failed_ms.get(feed.key)
    for name in [name for name in state.unlisted_since_ms if name in listed]:
        del state.unlisted_since_ms[name]
    if failed_ms is None or now_ms - failed_ms > DISTURBED_MS:
        state.unlisted_since_ms.clear()
        return frozenset()
    for row in state.replicas.rows.values():
        if row.name not in listed and not row.leaving:
            state.unlisted_since_ms.setdefault(row.name, now_ms)
    return frozenset(state.unlisted_since_ms)


def _expire_lapsed(state, now_ms):
    for name, since_ms in list(state.unlisted_since_ms.items()):
        if now_ms - since_ms >= LAPSE_MS:
            del state.unlisted_since_ms[name]
            state.subset_key = None
            row = state.replicas.rows.get(name)
            if row is not None:
                row.leaving = True
                reindex(state.replicas, row)
            text = f"take {name} as gone: it is still not listed"
            state.emit(Log("routing", text, fields={"age_ms": now_ms - since_ms}))


def handle_load_report(state, event, now_ms):
    """Take in the answer of a backend server's address."""
    row = state.replicas.rows.get(event.server)
    if row is not None:
        take_load(state, row, event.report, now_ms)


def handle_health_check(state, event, now_ms):
    """Take in that a server has answered, without a load report."""
    row = state.replicas.rows.get(event.server)
    if row is None:
        return
    note_warm_up(row, event.warm_up_left_ms, now_ms)
    was_used = row.identified
    same = confirm_replica(state.replicas, row, event.name, event.incarnation, now_ms)
    if row.identified != was_used:
        text = "use again" if row.identified else "leave alone: another server answers"
        left_ms = event.warm_up_left_ms
        state.log_server(row, text, answered=event.name, warm_up_left_ms=left_ms)
    if not same:
        state.counters.identity_mismatches += 1


def check_unconfirmed(state, pool, now_ms):
    """Ask servers of `pool` that must answer before they are used."""
    asked = 0
    for row in state.replicas.pool(pool):
        if row.is_confirmed(now_ms, state.policy.confirm_ms):
            continue
        if now_ms - row.checked_ms < ASK_AGAIN_MS:
            continue
        row.checked_ms = now_ms
        state.emit(_read_load(state, row))
        asked += 1
        if asked == MAX_ASKED:
            return


def take_load(state, row, report, now_ms):
    """Apply a load report and pass on that the server is leaving."""
    if not apply_load(state.replicas, row, report, now_ms):
        state.counters.identity_mismatches += 1
        return
    if report.region != state.region:
        state.counters.region_refusals += 1
        row.identified = False
        reindex(state.replicas, row)
        return
    if report.leaving:
        note_leaving(state, row)


def apply_response_load(state, row, load, now_ms):
    """Apply the load that a server has told on an answer."""
    apply_load_header(state.replicas, row, load, now_ms)
    if load.leaving:
        note_leaving(state, row)


def note_leaving(state, row):
    """Give a leaving server no new work and tell the peers, once."""
    if mark_leaving(state.replicas, row.name, row.incarnation):
        spread_leaving(state, row)


def spread_leaving(state, row):
    """Tell the peers that a backend server takes no new work."""
    update = StatusUpdate("s", row.name, row.incarnation, 0, "leaving")
    queue_update(state.members, update)
    state.emit(Log("routing", f"stop new work to leaving {row.name}"))


def _has_just_answered(row, now_ms):
    """Return whether a listed server's answers to requests outweigh a miss.

    A health check waits for a slot like a request, so a full server may miss
    one.
    """
    if not (row.listed and row.identified) or row.confirmed_ms is None:
        return False
    return now_ms - row.confirmed_ms <= ANSWERED_MS


def handle_load_read_failed(state, server, now_ms):
    """Count a load question without an answer as a failure."""
    row = state.replicas.rows.get(server)
    if row is not None and not _has_just_answered(row, now_ms):
        if row.identified:
            state.log_server(row, "no answer to a health check", misses=row.misses)
        note_miss(state.replicas, row)
        note_failure(state.replicas, row, state.policy, now_ms, state.rng)
