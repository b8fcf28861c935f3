"""Readiness of a node."""

from bluebellbeam.membership import usable_members
from bluebellbeam.node.command import Log
from bluebellbeam.node.state import required_feeds

__all__ = ["tick_readiness"]

PEER_REPLY_TIMEOUT_MS = 3_000
"""A starting daemon waits this long for an answer of a peer."""


def tick_readiness(state, now_ms):
    """Become ready once the published state is known.

    The configuration must be in force, and a peer must have answered, or
    nobody must have within `PEER_REPLY_TIMEOUT_MS`: a restarted daemon must not
    serve an older revision than its peers hold.
    """
    if state.ready or state.leaving:
        return
    keys = required_feeds(state.identity)
    if any(state.feeds[key].version == 0 for key in keys):
        return
    others = [row for row in usable_members(state.members) if _is_other(state, row)]
    waited_ms = now_ms - state.started_ms
    if others and not state.peer_replies and waited_ms < PEER_REPLY_TIMEOUT_MS:
        return
    if not _knows_backends(state) and waited_ms < PEER_REPLY_TIMEOUT_MS:
        return
    state.ready = True
    state.emit(Log("node", f"ready at revision {state.config.revision}"))


def _is_other(state, row):
    return row.name != state.identity.vm


def _knows_backends(state):
    return any(row.identified for row in state.replicas.rows.values())
