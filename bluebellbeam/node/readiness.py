"""Readiness check: when a starting daemon begins to accept requests."""

from bluebellbeam.membership import usable_members
from bluebellbeam.node.command import Log
from bluebellbeam.node.state import required_feeds

__all__ = ["tick_readiness"]

PEER_RESPONSE_TIMEOUT_MS = 3_000
"""Longest time that a starting daemon waits for a response of a peer and for an
identified backend server."""


def tick_readiness(state, now_ms):
    """Become ready once the published state is known.

    Every required feed must have been read. A daemon with peers also waits up
    to `PEER_RESPONSE_TIMEOUT_MS` for one of them to respond, so that after a restart
    it does not serve an older revision than they have. It waits at most as long
    for a first backend server to be identified.
    """
    if state.ready or state.leaving:
        return
    keys = required_feeds(state.identity)
    if any(state.feeds[key].version == 0 for key in keys):
        return
    others = [row for row in usable_members(state.members) if _is_other(state, row)]
    waited_ms = now_ms - state.started_ms
    if others and not state.probe_responses and waited_ms < PEER_RESPONSE_TIMEOUT_MS:
        return
    if not _has_identified_backend(state) and waited_ms < PEER_RESPONSE_TIMEOUT_MS:
        return
    state.ready = True
    state.emit(Log("node", f"ready at revision {state.config.revision}"))


def _is_other(state, row):
    return row.name != state.identity.vm


def _has_identified_backend(state):
    return any(row.identified for row in state.replicas.rows.values())
