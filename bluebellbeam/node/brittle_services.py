"""Statements of servers that they are brittle, and their exchange between daemons."""

from bluebellbeam.node.command import Log
from bluebellbeam.routing import (
    is_brittle,
    merge_brittle,
    pause_replica,
    record_brittle,
)

__all__ = [
    "apply_brittle",
    "handle_brittle_stated",
    "known_brittle",
    "merge_brittle_services",
    "pause_brittle_server",
]

REFUSAL_PAUSE_MS = 1000
"""Time for which a brittle server that refused a request is sent no other one: it
counts its refusals by the second."""


def handle_brittle_stated(state, event, now_ms):
    """Apply what a response of a backend server states."""
    row = state.replicas.rows.get(event.server)
    if row is not None and row.incarnation == event.incarnation:
        apply_brittle(state, row, event.statement, event.sent_ms, now_ms)


def apply_brittle(state, row, statement, sent_ms, now_ms):
    """Record a statement of the server of `row`; log it if that changes anything.

    Parameters
    ----------
    state : NodeState
    row : Replica
    statement : BrittleStatement or None
        None if it cannot be read, which changes nothing.
    sent_ms : int
        Time at which the request of the response was sent.
    now_ms : int
    """
    if not row.service:
        return
    if statement is None:
        state.counters.malformed_limits += 1
        state.log_server(row, "ignore a statement of brittleness that cannot be read")
        return
    refusals_per_s = statement.refusals_per_s
    if record_brittle(state.brittle, row.service, refusals_per_s, sent_ms, now_ms):
        _log_change(state, row.service, row.name, now_ms)


def known_brittle(state, now_ms):
    """Return the brittle services that this daemon knows, for a `ServerLoads`."""
    return {
        service: (row.refusals_per_s, max(0, now_ms - row.stated_ms))
        for service, row in state.brittle.items()
        if is_brittle(state.brittle, service, now_ms)
    }


def merge_brittle_services(state, sender, services, now_ms):
    """Record the brittle services that a daemon of the region knows."""
    for service, (refusals_per_s, age_ms) in services.items():
        stated_ms = now_ms - age_ms
        if merge_brittle(state.brittle, service, refusals_per_s, stated_ms, now_ms):
            _log_change(state, service, sender, now_ms)


def _log_change(state, service, source, now_ms):
    brittle = is_brittle(state.brittle, service, now_ms)
    fields = {"service": service, "source": source}
    fields["refusals_per_s"] = state.brittle[service].refusals_per_s
    text = "the servers of a service are brittle" if brittle else "no longer brittle"
    state.emit(Log("routing", text, fields=fields))


def pause_brittle_server(state, row, now_ms):
    """Send nothing for a while to a brittle server that has refused a request."""
    if is_brittle(state.brittle, row.service, now_ms) and pause_replica(
        state.replicas, row, now_ms + REFUSAL_PAUSE_MS
    ):
        state.log_server(
            row, "pause requests to a brittle server", pause_ms=REFUSAL_PAUSE_MS
        )
