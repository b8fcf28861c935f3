"""Simulation runs with random fault schedules or given kinds of fault.

A run sends mixed requests and injects faults, then clears every fault, waits
until the newest configuration must be in force on every daemon and every
deadline has passed, and checks every invariant.
"""

import random

from bluebellbeam.examples import EXAMPLES, read_example
from bluebellbeam.scenario.invariants import violated_invariants
from bluebellbeam.scenario.simulation import make_simulation
from bluebellbeam.scenario.steps import narrow_workspace, request_spec

__all__ = [
    "FAULTS",
    "run_faults",
    "run_schedule",
    "start_example_simulation",
    "unserved_in_isolation",
]

CONFIG_LIMIT_MS = 18_000
"""Time after the faults are cleared within which every daemon must apply the
newest configuration."""

START_MS = 3_000
"""Time for the daemons to start before the requests and faults begin."""

FAULT_WINDOW_MS = 9_000
"""Interval after `START_MS` in which the faults begin."""

BATCH_DEADLINE_MS = 15_000
"""Deadline of the batch requests of a run."""

QUIET_MS = 22_000
"""Final time without new requests, after which every deadline has passed."""

REQUEST_COUNT = 90
"""Requests sent in a run, without the repeats of changes."""

TICK_MS = 250
"""Interval of the nodes' ticks."""


def _pick_server(sim, rng):
    return rng.choice(sorted(sim.fleet.backends))


def _pick_vm(sim, rng):
    return rng.choice(sorted(sim.hosts))


def _kill_region_capacity(sim, rng):
    region = rng.choice(sorted(sim.base["regions"]))
    for name, record in sorted(sim.fleet.backends.items()):
        if record.region == region and rng.random() < 0.7:
            sim.kill_server(name)
            sim.call_later(rng.uniform(2000, 8000), sim.return_server, name)


def _partition(sim, rng):
    regions = sorted(sim.base["regions"])
    kind = rng.randrange(4)
    if kind == 0:
        sim.cut_region(rng.choice(regions))
    elif kind == 1:
        sim.cut_link(*rng.sample(regions, 2))
    elif kind == 2:
        sim.region_cuts.add(tuple(rng.sample(regions, 2)))
    else:
        sim.vm_cuts.add(tuple(rng.sample(sorted(sim.hosts), 2)))
    sim.call_later(rng.uniform(1000, 9000), sim.heal)


def _disrupt_configuration(sim, rng):
    if rng.random() < 0.5:
        sim.store.down = True
    else:
        _publish_narrowed_workspace(sim, rng)
        sim.call_later(rng.uniform(100, 2000), _serve_first_revision, sim)
    sim.call_later(rng.uniform(2000, 9000), _restore_configuration, sim)


def _serve_first_revision(sim):
    sim.store.stale_version["config"] = 1
    sim.answer_pending_watches()


def _restore_configuration(sim):
    sim.store.down = False
    sim.store.stale_version.clear()


def _suspend_process(sim, rng):
    if rng.random() < 0.6:
        sim.freeze_daemon(_pick_vm(sim, rng), rng.uniform(500, 9000))
    else:
        sim.freeze_server(_pick_server(sim, rng), rng.uniform(500, 9000))


def _restart_server(sim, rng):
    name = _pick_server(sim, rng)
    sim.kill_server(name)
    sim.call_later(rng.uniform(500, 3000), sim.return_server, name)


def _restart_daemon(sim, rng):
    vm = _pick_vm(sim, rng)
    if sim.hosts[vm].node is None:
        return
    sim.kill_daemon(vm)
    sim.call_later(rng.uniform(50, 3000), _start_if_down, sim, vm)


def _start_if_down(sim, vm):
    if sim.hosts[vm].node is None:
        sim.start_daemon(vm)


def _stop_daemon(sim, rng):
    vm = _pick_vm(sim, rng)
    sim.stop_daemon(vm)
    sim.call_later(rng.uniform(5000, 20000), _start_if_down, sim, vm)


def _leave_server(sim, rng):
    sim.leave_server(_pick_server(sim, rng))


def _drop_responses(sim, rng):
    sim.responses_to_drop += rng.randrange(1, 4)


def _publish_narrowed_workspace(sim, rng):
    """Publish a revision that allows a random workspace one region fewer.

    Several such faults at nearly the same time simulate concurrent operators.
    """
    revision = max(sim.revisions) + 1
    names = sorted(sim.base["workspaces"])
    workspace = rng.choice(names)
    allowed = sim.base["workspaces"][workspace]["allowed_regions"]
    narrow_workspace(sim, workspace, rng.sample(allowed, max(1, len(allowed) - 1)))
    sim.publish_config(revision)


FAULTS = {
    "capacity loss": _kill_region_capacity,
    "partition": _partition,
    "configuration down or stale": _disrupt_configuration,
    "pause": _suspend_process,
    "return with cold caches": _restart_server,
    "daemon killed": _restart_daemon,
    "daemon stopped": _stop_daemon,
    "server leaving": _leave_server,
    "replies lost": _drop_responses,
    "new revision": _publish_narrowed_workspace,
}
"""Function that injects each kind of fault, given the simulation and a random
number generator."""


def start_example_simulation(name, seed):
    """Return a simulation of the example `name` with every daemon started."""
    base, overlays = read_example(name)
    for workspace in base["workspaces"].values():
        workspace["deadlines"]["batch_ms"] = BATCH_DEADLINE_MS
    sim = make_simulation(base, overlays, seed, TICK_MS, service_replicas=2)
    sim.check_codec = False
    sim.start()
    return sim


def run_faults(name, kinds, seed, times=2):
    """Run a simulation with the given kinds of fault.

    Parameters
    ----------
    name : str
        Example deployment.
    kinds : iterable of str
        Keys of `FAULTS`.
    seed : int
    times : int
        Number of times that each kind is injected, at random times.

    Returns
    -------
    dict of str to list of str
        Violations by name of the invariant.
    """
    rng = random.Random(f"{name}/{'/'.join(kinds)}/{seed}")
    sim = start_example_simulation(name, seed)
    for kind in kinds:
        for _ in range(times):
            at_ms = START_MS + rng.uniform(0, FAULT_WINDOW_MS)
            sim.call_at(at_ms, FAULTS[kind], sim, rng)
    return _run_to_end(sim, rng)


def run_schedule(seed):
    """Run a simulation with a random schedule of one to six faults.

    Returns
    -------
    dict of str to list of str
        Violations by name of the invariant.
    """
    rng = random.Random(seed)
    name = rng.choice(sorted(EXAMPLES))
    sim = start_example_simulation(name, seed)
    for _ in range(rng.randrange(1, 7)):
        kind = rng.choice(sorted(FAULTS))
        at_ms = START_MS + rng.uniform(0, FAULT_WINDOW_MS)
        sim.call_at(at_ms, FAULTS[kind], sim, rng)
    return _run_to_end(sim, rng)


def unserved_in_isolation(name, seed):
    """Return the requests that isolated regions failed to serve.

    Every region is cut off from all others, and the platform is down. Each
    region must still answer the requests of its callers that may run in it.

    Returns
    -------
    list of str
        Request id, entry VM and result of each request without a complete
        response.
    """
    rng = random.Random(f"isolation/{name}/{seed}")
    sim = start_example_simulation(name, seed)
    sim.run_until(START_MS)
    sim.store.down = True
    for region in sim.base["regions"]:
        sim.cut_region(region)
    _schedule_requests(sim, rng)
    sim.run_until(START_MS + FAULT_WINDOW_MS + QUIET_MS)
    return [
        f"{request.request_id} at {request.vm}: {request.result}"
        for request in sim.caller_requests.values()
        if "." not in request.request_id
        and _allowed_in_entry_region(sim, request)
        and request.result != "whole"
    ]


def _allowed_in_entry_region(sim, request):
    region = sim.hosts[request.vm].region
    state = sim.hosts[request.vm].node.state
    return region in state.base.workspaces[request.workspace].allowed_regions


def _run_to_end(sim, rng):
    _schedule_requests(sim, rng)
    sim.run_until(START_MS + FAULT_WINDOW_MS + 10_000)
    _clear_faults(sim)
    sim.run_until(sim.now_ms + CONFIG_LIMIT_MS)
    _check_revisions(sim)
    sim.run_until(sim.now_ms + QUIET_MS)
    return violated_invariants(sim)


def _clear_faults(sim):
    sim.heal()
    _restore_configuration(sim)
    for vm in sim.hosts:
        _start_if_down(sim, vm)


def _check_revisions(sim):
    newest = max(sim.revisions)
    for vm, host in sorted(sim.hosts.items()):
        if host.node is None or host.node.state.leaving:
            continue
        config = host.node.state.config
        revision = config.revision if config else 0
        if revision != newest:
            sim.violations.append(
                f"behind: {vm} is at revision {revision}, expected {newest}"
            )


def _schedule_requests(sim, rng):
    workspaces = sorted(sim.base["workspaces"])
    for i in range(REQUEST_COUNT):
        at_ms = START_MS + rng.uniform(0, FAULT_WINDOW_MS + 4000)
        sim.call_at(
            at_ms, _send_random_request, sim, rng, f"q{i}", rng.choice(workspaces)
        )


def _send_random_request(sim, rng, name, workspace):
    item = sim.base["workspaces"][workspace]
    vm = rng.choice(sorted(sim.hosts))
    kind = rng.choice(("chat", "chat", "read", "change", "change"))
    if kind == "chat" or not item.get("services"):
        tokens = (rng.randrange(50, 2000), rng.randrange(5, 120))
        spec = request_spec(sim, "chat", tokens, rng.randrange(4))
        sim.send(name, workspace, vm, **spec)
        return
    spec = request_spec(sim, kind)
    if kind == "change":
        spec |= {
            "operation": name,
            "operation_id": sim.issue_operation(vm, workspace),
            "fingerprint": 1,
        }
        for j in range(rng.randrange(3)):
            target = vm if rng.random() < 0.5 else rng.choice(sorted(sim.hosts))
            args = (sim, f"{name}.{j}", workspace, target, spec)
            sim.call_later(rng.uniform(1, 6000), _send_repeat, *args)
    sim.send(name, workspace, vm, **spec)


def _send_repeat(sim, name, workspace, vm, spec):
    sim.send(name, workspace, vm, **spec)
