"""Choice of the backend servers to use, their health checks and reported load."""

from bluebellbeam.membership import StatusUpdate, queue_update
from bluebellbeam.node.brittle_services import apply_brittle
from bluebellbeam.node.command import Log, ReadLoad
from bluebellbeam.node.feed_sync import listed_backends
from bluebellbeam.node.reachability import record_failed_contact
from bluebellbeam.node.server_limits import apply_limit
from bluebellbeam.node.state import LIST_SETTLE_MS, backends_feed
from bluebellbeam.recovery import record_failure, refresh_slowness
from bluebellbeam.routing import (
    age_peer_load,
    apply_load,
    apply_load_header,
    confirm_replica,
    end_pause,
    is_brittle,
    is_cold,
    is_restart_possible,
    mark_leaving,
    may_send_limited,
    needs_check,
    pause_replica,
    record_lost_process,
    record_return,
    record_warm_up,
    reindex,
    remove_server_blocks,
    server_subset,
    spend_limit,
    update_replicas,
)

__all__ = [
    "apply_load_report",
    "apply_response_load",
    "check_unconfirmed",
    "handle_connections_lost",
    "handle_health_check",
    "handle_leaving_stated",
    "handle_load_read_failed",
    "handle_load_report",
    "handle_malformed_load",
    "handle_pause_stated",
    "record_lost_server",
    "record_server_return",
    "poll_interval_ms",
    "tick_server_checks",
]

RECHECK_INTERVAL_MS = 250
"""Minimum time between two checks of an unconfirmed server."""

OVERDUE_MS = 1000
"""Time after which a server is checked that has sent nothing since it got a request;
also the time between two such checks."""

CHECK_SPREAD_MS = 250
"""Average time between the checks of the daemons of a region of one new server."""

SLOWNESS_INTERVAL_MS = 500
"""Interval at which the servers of each pool are compared with each other."""

UNLISTED_GRACE_MS = 2200
"""Time for which a server is kept that disappeared from the list while its source
was unstable. Once the source has recovered, servers that still run are listed again
within two seconds."""

SOURCE_UNSTABLE_MS = 3000
"""Time after its last failed read for which the source of the list counts as
unstable."""

RECENT_RESPONSE_MS = 1500
"""Age up to which a response to a request shows that a server runs."""

MAX_UNCONFIRMED_CHECKS = 4
"""Maximum number of unconfirmed servers of a pool that are checked at once."""


def tick_server_checks(state, now_ms):
    """Update the servers to use and check those whose state is out of date."""
    _refresh_subset(state, now_ms)
    _expire_unlisted(state, now_ms)
    if now_ms - state.slowness_ms >= SLOWNESS_INTERVAL_MS:
        state.slowness_ms = now_ms
        refresh_slowness(state.replicas, now_ms)
    policy = state.policy
    interval_ms = poll_interval_ms(policy, len(state.replicas.rows))
    stale = state.is_list_stale(now_ms)
    if stale:
        state.list_stale_ms = now_ms
    settling = state.is_list_settling(now_ms)
    _check_overdue_servers(state, now_ms)
    for row in state.replicas.rows.values():
        row.is_version_doubtful = settling or is_restart_possible(row, now_ms)
        age_peer_load(state.replicas, row, state.queue_slack, now_ms)
        if row.paused_until_ms:
            if now_ms < row.paused_until_ms:
                continue
            end_pause(state.replicas, row)
        is_checked = stale or (settling and needs_check(state, row))
        if row.listed and row.identified and not (is_checked or row.unproven):
            continue
        if row.unproven and row.inflight:
            continue
        max_age_ms = policy.stale_check_ms if row.listed else interval_ms
        last_ms = max(row.checked_ms, row.reported_ms or -max_age_ms)
        if row.leaving and row.identified and row.inflight == 0:
            max_age_ms *= 4
        if row.checked_ms < 0 or now_ms - last_ms >= max_age_ms:
            _check_server(state, row, now_ms)


def _check_overdue_servers(state, now_ms):
    """Check servers that have sent nothing since they got a request some time ago.

    Their connections may live on though the servers are not reached any more. Cold
    and brittle servers are left out, since a check counts as a request there.
    """
    for attempt in state.attempts.values():
        waited_ms = now_ms - attempt.started_ms
        if waited_ms < OVERDUE_MS or attempt.response_started_ms is not None:
            continue
        row = state.replicas.rows.get(attempt.server)
        if (
            row is not None
            and row.incarnation == attempt.server_incarnation
            and row.identified
            and (row.confirmed_ms or 0) < attempt.started_ms
            and now_ms - row.checked_ms >= OVERDUE_MS
            and not is_cold(row, now_ms)
            and not is_brittle(state.brittle, row.service, now_ms)
        ):
            _check_server(state, row, now_ms)


def _check_server(state, row, now_ms):
    """Check a server, unless its limit does not allow this daemon a request now."""
    if may_send_limited(state, row, now_ms):
        spend_limit(row)
        row.checked_ms = now_ms
        state.emit(_read_load(state, row))


def _read_load(state, row):
    service = state.base.services.get(row.service)
    path = service.health_path if service is not None else ""
    return ReadLoad(row.name, row.address, row.incarnation, path, row.checked_ms)


def poll_interval_ms(policy, servers):
    """Return the time between two load reads of one server.

    Reads of all `servers` together stay within `policy.load_polls_per_s`.
    Between reads, servers report their load with responses to requests.
    """
    min_interval_ms = 1000.0 * servers / policy.load_polls_per_s
    return max(policy.load_interval_ms, min_interval_ms)


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
    chosen_names = set(chosen)
    before = {row.name: row.incarnation for row in state.replicas.rows.values()}
    used = [record for record in records if record.name in chosen_names]
    unlisted = _unlisted_servers(state, {record.name for record in records}, now_ms)
    lost = frozenset(
        name for name, is_reached in state.reached_services.items() if not is_reached
    )
    update_replicas(state.replicas, used, now_ms, unlisted, lost)
    _delay_checks(state, now_ms)
    for name, incarnation in before.items():
        row = state.replicas.rows.get(name)
        if row is None or row.incarnation != incarnation:
            remove_server_blocks(state.prefixes, name)


def _delay_checks(state, now_ms):
    """Delay the check of a new server that may not be reached.

    Requests mostly show earlier whether it is, and the daemons of a region must not
    all check a new server at once, which may be cold.
    """
    spread_ms = CHECK_SPREAD_MS * max(1, len(state.region_members()))
    for row in state.replicas.rows.values():
        if row.unproven and row.checked_ms < 0:
            row.checked_ms = now_ms + state.rng.randrange(spread_ms)


def _unlisted_servers(state, listed, now_ms):
    """Return the servers that are kept although they are no longer listed.

    After an outage the source may omit servers that still run. They are kept
    for `UNLISTED_GRACE_MS`, by which time they are listed again if they run.

    Parameters
    ----------
    state : NodeState
    listed : set of str
        Servers in the list.
    now_ms : int

    Returns
    -------
    frozenset of str
    """
    feed = state.feeds[backends_feed(state.region)]
    failed_ms = state.feed_failed_ms.get(feed.key)
    for name in [name for name in state.unlisted_since_ms if name in listed]:
        del state.unlisted_since_ms[name]
    if failed_ms is None or now_ms - failed_ms > SOURCE_UNSTABLE_MS:
        state.unlisted_since_ms.clear()
        return frozenset()
    for row in state.replicas.rows.values():
        if row.name not in listed and not row.leaving:
            state.unlisted_since_ms.setdefault(row.name, now_ms)
    return frozenset(state.unlisted_since_ms)


def _expire_unlisted(state, now_ms):
    for name, since_ms in list(state.unlisted_since_ms.items()):
        if now_ms - since_ms >= UNLISTED_GRACE_MS:
            del state.unlisted_since_ms[name]
            state.subset_key = None
            row = state.replicas.rows.get(name)
            if row is not None:
                row.leaving = True
                reindex(state.replicas, row)
            text = f"stop new requests to {name}: unlisted for {UNLISTED_GRACE_MS} ms"
            state.emit(Log("routing", text, fields={"age_ms": now_ms - since_ms}))


def handle_load_report(state, event, now_ms):
    """Apply the load report received from the address of a backend server."""
    row = state.replicas.rows.get(event.server)
    if row is not None:
        apply_load_report(state, row, event.report, now_ms)


def handle_leaving_stated(state, event):
    """Stop new requests to a server that has stated that it is leaving."""
    row = state.replicas.rows.get(event.server)
    if row is not None and row.incarnation == event.incarnation:
        mark_server_leaving(state, row)


def handle_malformed_load(state, event):
    """Log that the load header of a server cannot be read, once per incarnation."""
    row = state.replicas.rows.get(event.server)
    if row is None or row.incarnation != event.incarnation or row.malformed_load:
        return
    row.malformed_load = True
    state.log_server(row, "ignore a load header that cannot be read", value=event.text)


def handle_pause_stated(state, event, now_ms):
    """Send nothing to a server that has asked for a pause until its end."""
    row = state.replicas.rows.get(event.server)
    if row is None or row.incarnation != event.incarnation:
        return
    if pause_replica(state.replicas, row, now_ms + event.pause_ms):
        state.log_server(row, "pause requests to a server", pause_ms=event.pause_ms)


def record_lost_server(state, server, incarnation, now_ms, has_ended=True):
    """Doubt the version of a server whose process has ended, or may have.

    Returns
    -------
    Replica or None
        None if the server is not known with this incarnation.
    """
    row = state.replicas.rows.get(server)
    if row is None or row.incarnation != incarnation:
        return None
    if not row.is_version_doubtful:
        reason = "connection refused" if has_ended else "no connection is left"
        state.log_server(row, "doubt the version of a server", reason=reason)
    record_lost_process(row, now_ms, has_ended)
    return row


def record_server_return(state, row, sent_ms, now_ms):
    """Record a response of a server to a request sent at `sent_ms`.

    The doubt about its version ends with it if the response shows that the process
    has run all the while.
    """
    record_return(row, sent_ms, now_ms, LIST_SETTLE_MS)
    settling = state.is_list_settling(now_ms)
    row.is_version_doubtful = settling or is_restart_possible(row, now_ms)


def handle_connections_lost(state, event, now_ms):
    """Doubt the version of a server that has ended all connections, and check it.

    One that accepts the check has not ended: another process would need longer to
    start. It is not checked if a check counts as a request there.
    """
    key = (event.server, event.incarnation)
    row = record_lost_server(state, *key, now_ms, has_ended=False)
    if (
        row is not None
        and not is_cold(row, now_ms)
        and not is_brittle(state.brittle, row.service, now_ms)
    ):
        _check_server(state, row, now_ms)


def handle_health_check(state, event, now_ms):
    """Apply the response of a server that does not report its load."""
    row = state.replicas.rows.get(event.server)
    if row is None or event.incarnation < row.incarnation:
        return
    record_warm_up(row, event.warm_up_left_ms, now_ms)
    if (event.name, event.incarnation) == (row.name, row.incarnation):
        apply_limit(state, row, event.limit, event.sent_ms, now_ms)
        apply_brittle(state, row, event.brittle, event.sent_ms, now_ms)
        if event.leaving:
            mark_server_leaving(state, row)
        record_server_return(state, row, event.sent_ms, now_ms)
    was_used = row.identified
    same = confirm_replica(state.replicas, row, event.name, event.incarnation, now_ms)
    if row.identified != was_used:
        text = (
            "use server again"
            if row.identified
            else "stop using server: another server responds at its address"
        )
        left_ms = event.warm_up_left_ms
        state.log_server(row, text, answered=event.name, warm_up_left_ms=left_ms)
    if not same:
        state.counters.identity_mismatches += 1


def check_unconfirmed(state, pool, now_ms):
    """Check servers of `pool` that must be confirmed before they are used."""
    checks = 0
    for row in state.replicas.pool(pool):
        if row.is_confirmed(now_ms, state.policy.confirm_ms):
            continue
        if now_ms - row.checked_ms < RECHECK_INTERVAL_MS:
            continue
        _check_server(state, row, now_ms)
        checks += 1
        if checks == MAX_UNCONFIRMED_CHECKS:
            return


def apply_load_report(state, row, report, now_ms):
    """Apply a load report of the server of `row`.

    A report of another server, incarnation or region makes the server
    unusable. If the report says that the server is leaving, that is gossiped.
    """
    if not apply_load(state.replicas, row, report, now_ms):
        state.counters.identity_mismatches += 1
        return
    if report.region != state.region:
        state.counters.region_refusals += 1
        row.identified = False
        reindex(state.replicas, row)
        return
    if report.leaving:
        mark_server_leaving(state, row)


def apply_response_load(state, row, load, now_ms):
    """Apply the load that a server has reported with a response."""
    apply_load_header(state.replicas, row, load, now_ms)
    if getattr(load, "duration_percent", 0):
        state.shared_machine_services.add(row.service)
    if load.leaving:
        mark_server_leaving(state, row)


def mark_server_leaving(state, row):
    """Stop new requests to a leaving server; gossip it if that is new."""
    if mark_leaving(state.replicas, row.name, row.incarnation):
        gossip_server_leaving(state, row)


def gossip_server_leaving(state, row):
    """Queue the update that a backend server is leaving, and log it."""
    update = StatusUpdate("s", row.name, row.incarnation, 0, "leaving")
    queue_update(state.members, update)
    state.emit(Log("routing", f"stop new requests to {row.name}: it is leaving"))


def _has_just_responded(row, now_ms):
    """Return whether a listed server has responded in the last `RECENT_RESPONSE_MS`.

    A failed health check is then ignored: health checks wait for a slot like
    requests, so one may time out on a server without free slots.
    """
    if not (row.listed and row.identified) or row.confirmed_ms is None:
        return False
    return now_ms - row.confirmed_ms <= RECENT_RESPONSE_MS


def handle_load_read_failed(state, server, incarnation, now_ms):
    """Count a failed load read or health check as a failure of the server.

    It is ignored if the server has recently responded to a request, or if the check
    was sent to another incarnation. An `incarnation` of 0 is that of the table.
    """
    row = state.replicas.rows.get(server)
    if row is not None and incarnation not in (0, row.incarnation):
        return
    if row is not None and not _has_just_responded(row, now_ms):
        if row.identified:
            state.log_server(row, "load read or health check failed", misses=row.misses)
        record_failed_contact(state, row, "health check")
        record_failure(state.replicas, row, state.policy, now_ms, state.rng)
