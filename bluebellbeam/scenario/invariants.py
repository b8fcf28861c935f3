"""Checks of what must always hold, over a whole session."""

__all__ = ["INVARIANTS", "violated_invariants"]


def violated_invariants(world):
    """Return what did not hold, as a dict of promise to list of cases.

    Parameters
    ----------
    world : World
        After the end of its session.
    """
    found = {name: check(world) for name, check in INVARIANTS.items()}
    return {name: cases for name, cases in found.items() if cases}


def _regions(world):
    """List requests that ran where no configuration in force allowed it."""
    cases = []
    for request in world.caller_requests.values():
        allowed = _allowed_regions(world, request.workspace)
        for region in request.regions:
            if region not in allowed:
                cases.append(f"{request.request_id} ran in {region}")
    return cases


def _allowed_regions(world, workspace):
    regions = set()
    for rules in world.revisions.values():
        regions |= rules.get(workspace, frozenset())
    return regions


def _loops(world):
    """List requests that were forwarded more than once."""
    return [item for item in world.violations if item.startswith("loop")]


def _answers(world):
    """List callers without one final answer, whole or an explicit error."""
    cases = []
    for request in world.caller_requests.values():
        if request.result == "open":
            cases.append(f"{request.request_id} has no answer")
        if request.final_answers > 1:
            cases.append(f"{request.request_id} has {request.final_answers} answers")
        if request.result == "whole" and request.tokens != request.expected_tokens:
            cases.append(f"{request.request_id} is short: {request.tokens} tokens")
    return cases


def _not_run(world):
    """List requests that ran though their caller was told ``not_run``."""
    return [
        f"{request.request_id} was told not_run ({request.result}) and ran"
        for request in world.caller_requests.values()
        if request.outcome == "not_run" and request.regions
    ]


def _once(world):
    """List changes that took effect twice."""
    effects = {}
    for service in world.fleet.services.values():
        for key, count in service.effects.items():
            effects[key] = effects.get(key, 0) + count
    return [f"{key} ran {count} times" for key, count in effects.items() if count > 1]


def _reverts(world):
    """List processes that put a lower revision in force."""
    return [item for item in world.violations if item.startswith("revert")]


def _in_force(world):
    """List daemons without the newest revision after a quiet time."""
    return [item for item in world.violations if item.startswith("behind")]


def _leaving(world):
    """List new work at leaving backend servers after the limit."""
    return [item for item in world.violations if item.startswith("leaving")]


def _shutdown(world):
    """List requests that a planned stop cut off."""
    return [
        f"{request.request_id} was cut off by the stop of {request.vm}"
        for request in world.caller_requests.values()
        if request.result == "lost"
        and (request.vm, request.process_number) in world.exited_ms
    ]


INVARIANTS = {
    "data stays in its regions": _regions,
    "no loops": _loops,
    "whole and own answers": _answers,
    "not run is true": _not_run,
    "at most once": _once,
    "configuration never reverts": _reverts,
    "configuration in force in time": _in_force,
    "leaving gets no new work": _leaving,
    "graceful shutdown": _shutdown,
}
"""Check of each promise, by its name."""
