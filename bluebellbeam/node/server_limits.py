"""Limits that backend servers state on the requests that they accept."""

from bluebellbeam.routing import merge_limit, record_limit

__all__ = [
    "apply_limit",
    "handle_limit_stated",
    "known_limits",
    "merge_limits",
    "record_restricted_servers",
]

ENDED_LIMIT_MS = 10_000
"""Time for which daemons tell each other that a limit has ended."""

MAX_LIMITS_PER_MESSAGE = 64
"""Maximum number of limits in one message, the last stated first."""


def handle_limit_stated(state, event, now_ms):
    """Apply what a response of a backend server says about its limit."""
    row = state.replicas.rows.get(event.server)
    if row is not None and row.incarnation == event.incarnation:
        apply_limit(state, row, event.limit, event.sent_ms, now_ms)


def apply_limit(state, row, limit, sent_ms, now_ms):
    """Record the limit in a response of a server; log it if that changes the limit.

    Parameters
    ----------
    state : NodeState
    row : Replica
    limit : LimitStatement or None
        None if the statement is malformed, which changes nothing.
    sent_ms : int
        Time at which the request of the response was sent.
    now_ms : int
    """
    if limit is None:
        state.counters.malformed_limits += 1
        state.log_server(row, "ignore a limit that cannot be read")
        return
    before_per_s = row.limit_per_s
    if record_limit(row, limit.limit_per_s, sent_ms, now_ms):
        _log_change(state, row, before_per_s, "", now_ms)


def known_limits(state, now_ms):
    """Return the limits that this daemon knows, for a :class:`ServerLoads`."""
    rows = [
        row
        for row in state.replicas.rows.values()
        if row.limit_per_s is not None
        or (row.limit_round and now_ms - row.limit_stated_ms < ENDED_LIMIT_MS)
    ]
    if len(rows) > MAX_LIMITS_PER_MESSAGE:
        rows.sort(key=lambda row: -row.limit_stated_ms)
    return {
        row.name: (
            row.incarnation,
            row.limit_per_s,
            row.limit_round,
            max(0, now_ms - row.limit_stated_ms),
        )
        for row in rows[:MAX_LIMITS_PER_MESSAGE]
    }


def merge_limits(state, sender, limits, now_ms):
    """Record the limits that a daemon of the region knows, as far as they are newer.

    Parameters
    ----------
    state : NodeState
    sender : str
    limits : dict of str to (int, float or None, int, int)
        As in :class:`ServerLoads`.
    now_ms : int
    """
    for name, (incarnation, limit_per_s, limit_round, age_ms) in limits.items():
        row = state.replicas.rows.get(name)
        if row is None or row.incarnation != incarnation:
            continue
        before_per_s = row.limit_per_s
        if merge_limit(row, limit_per_s, limit_round, now_ms - age_ms):
            _log_change(state, row, before_per_s, sender, now_ms)


def _log_change(state, row, before_per_s, source, now_ms):
    """Log a changed limit; `source` is the daemon that reported it, or empty."""
    state.log_server(
        row,
        "the limit of a server has changed",
        limit_per_s=row.limit_per_s,
        before_per_s=before_per_s,
        source=source,
        age_ms=now_ms - row.limit_stated_ms,
    )


def record_restricted_servers(state, request, now_ms):
    """Record the servers that asked not to be sent a request that goes elsewhere.

    Called for a request that is forwarded or refused. Each kind of restriction is
    counted once for it.

    Returns
    -------
    dict of str to dict
        Log field with the restriction of each such server; empty if there is none.
    """
    found = {}
    for row in state.replicas.rows.values():
        if row.service == request.service and (text := _restriction(row)):
            found[row.name] = text
    if not found:
        return {}
    counts = state.counters.turned_away
    for text in set(found.values()):
        counts[text] = counts.get(text, 0) + 1
    names = sorted(f"{name}: {text}" for name, text in found.items())
    state.record_decision(request.request_id, ("restricted", now_ms, *names))
    return {"restricted": found}


def _restriction(row):
    """Return why a server that runs is sent nothing or little, or an empty text."""
    if row.leaving:
        return "leaving"
    if row.paused_until_ms:
        return "paused"
    return "limited" if row.limit_per_s is not None else ""
