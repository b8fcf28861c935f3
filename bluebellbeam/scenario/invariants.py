"""Invariants that must hold over a whole simulation run."""

__all__ = ["INVARIANTS", "violated_invariants"]


def violated_invariants(sim):
    """Check every invariant and return the violations.

    Parameters
    ----------
    sim : Simulation
        Simulation whose run has ended.

    Returns
    -------
    dict of str to list of str
        Violations by name of the invariant; invariants that hold are left out.
    """
    found = {name: check(sim) for name, check in INVARIANTS.items()}
    return {name: cases for name, cases in found.items() if cases}


def _check_regions(sim):
    """List requests that ran in a region that no published revision allowed."""
    cases = []
    for request in sim.caller_requests.values():
        allowed = _allowed_regions(sim, request.workspace)
        for region in request.regions:
            if region not in allowed:
                cases.append(f"{request.request_id} ran in {region}")
    return cases


def _allowed_regions(sim, workspace):
    regions = set()
    for rules in sim.revisions.values():
        regions |= rules.get(workspace, frozenset())
    return regions


def _check_loops(sim):
    """List requests that were forwarded more than once."""
    return [item for item in sim.violations if item.startswith("loop")]


def _check_responses(sim):
    """List requests with a missing, repeated or incomplete final response."""
    cases = []
    for request in sim.caller_requests.values():
        if request.result == "open":
            cases.append(f"{request.request_id} has no answer")
        if request.final_responses > 1:
            cases.append(f"{request.request_id} has {request.final_responses} answers")
        if request.result == "whole" and request.tokens != request.expected_tokens:
            cases.append(f"{request.request_id} is short: {request.tokens} tokens")
    return cases


def _check_not_run(sim):
    """List requests that ran although they were answered with ``not_run``."""
    return [
        f"{request.request_id} was answered not_run ({request.result}) and ran"
        for request in sim.caller_requests.values()
        if request.outcome == "not_run" and request.regions
    ]


def _check_at_most_once(sim):
    """List changes that took effect more than once."""
    effects = {}
    for service in sim.fleet.services.values():
        for key, count in service.effects.items():
            effects[key] = effects.get(key, 0) + count
    return [f"{key} ran {count} times" for key, count in effects.items() if count > 1]


def _check_reverts(sim):
    """List processes whose configuration went back to a lower revision."""
    return [item for item in sim.violations if item.startswith("revert")]


def _check_newest_revision(sim):
    """List daemons that had not applied the newest revision within the limit."""
    return [item for item in sim.violations if item.startswith("behind")]


def _check_leaving(sim):
    """List new work that leaving servers got after `LEAVING_LIMIT_MS`."""
    return [item for item in sim.violations if item.startswith("leaving")]


def _check_shutdown(sim):
    """List requests whose connection broke during a graceful shutdown."""
    return [
        f"{request.request_id} was lost in the shutdown of {request.vm}"
        for request in sim.caller_requests.values()
        if request.result == "lost"
        and (request.vm, request.process_number) in sim.exited_ms
    ]


INVARIANTS = {
    "data stays in its regions": _check_regions,
    "no loops": _check_loops,
    "one complete answer or error": _check_responses,
    "not_run means not run": _check_not_run,
    "at most once": _check_at_most_once,
    "configuration never reverts": _check_reverts,
    "newest configuration applied in time": _check_newest_revision,
    "no new work at leaving servers": _check_leaving,
    "graceful shutdown": _check_shutdown,
}
"""Check of each invariant, by its name."""
