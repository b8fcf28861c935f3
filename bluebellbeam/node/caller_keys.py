"""Requests by workspace and rejected keys, for logs, metrics and the state dump."""

__all__ = [
    "count_workspace_request",
    "largest_workspaces",
    "record_rejected_key",
    "record_revoked_keys",
]

MAX_REVOKED_KEYS = 10_000
"""Largest number of revoked keys that are told apart from unknown ones."""

MAX_WORKSPACE_COUNTS = 10_000
"""Largest number of workspaces whose requests are counted one by one."""


def record_revoked_keys(state, config):
    """Record the digests of keys that `config`, about to take effect, no longer has.

    Parameters
    ----------
    state : NodeState
    config : Effective
    """
    before = state.config.keys if state.config is not None else {}
    for digest, (_, workspace) in before.items():
        if digest not in config.keys:
            state.revoked_keys[digest] = workspace
    for digest in config.keys:
        state.revoked_keys.pop(digest, None)
    while len(state.revoked_keys) > MAX_REVOKED_KEYS:
        state.revoked_keys.pop(next(iter(state.revoked_keys)))


def record_rejected_key(state, request):
    """Count a request without an accepted key; return the fields to log.

    They name the workspace of a revoked key, and never contain a key or its digest.
    """
    revoked = state.revoked_keys.get(request.key_digest, "")
    reason = request.key_fault or ("revoked" if revoked else "unknown")
    if request.origin:
        reason = "forwarded"
    rejected = state.counters.rejected_keys
    rejected[reason] = rejected.get(reason, 0) + 1
    return {"key": reason, "workspace": revoked} if revoked else {"key": reason}


def count_workspace_request(state, request, now_ms):
    """Count a request of a workspace, if the configuration has keys."""
    if not state.config.has_keys:
        return
    counts = state.workspace_requests
    state.record_decision(request.request_id, ("workspace", now_ms, request.workspace))
    if request.origin:
        return
    name = request.workspace
    if name not in counts and len(counts) >= MAX_WORKSPACE_COUNTS:
        _drop_removed(state)
        if len(counts) >= MAX_WORKSPACE_COUNTS:
            state.other_workspace_requests += 1
            return
    counts[name] = counts.get(name, 0) + 1


def _drop_removed(state):
    """Add the counts of workspaces that no longer exist to those of all others."""
    counts = state.workspace_requests
    for name in [name for name in counts if name not in state.base.workspaces]:
        state.other_workspace_requests += counts.pop(name)


def largest_workspaces(state, limit):
    """Return the workspaces with most requests, and the requests of all others.

    Parameters
    ----------
    state : NodeState
    limit : int
        Largest number of workspaces to return.

    Returns
    -------
    largest : list of (str, int)
        Name and number of requests of each, most requests first.
    others : int
        Number of requests of all other workspaces together.
    """
    counts = state.workspace_requests
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    others = sum(count for _, count in ranked[limit:])
    return ranked[:limit], others + state.other_workspace_requests
