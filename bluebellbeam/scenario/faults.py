"""Simulation runs with random fault schedules or given kinds of fault.

A run sends mixed requests, injects faults, clears all of them, waits for the
time in which a configuration must be in force, and checks every invariant.
"""

import random

from bluebellbeam.examples import EXAMPLES, read_example
from bluebellbeam.scenario.invariants import violated_invariants
from bluebellbeam.scenario.steps import narrow_workspace, request_spec
from bluebellbeam.scenario.world import make_world

__all__ = [
    "FAULTS",
    "run_faults",
    "run_schedule",
    "start_example_world",
    "unserved_in_isolation",
]

CONFIG_LIMIT_MS = 18_000
"""Time within which every daemon must apply a published configuration."""

START_MS = 3_000
"""Time for the daemons to start before the requests and faults begin."""

FAULT_WINDOW_MS = 9_000
"""Time within which the faults begin."""

BATCH_MS = 15_000
"""Deadline of batch requests, short so that it passes within `QUIET_MS`."""

QUIET_MS = 22_000
"""Final time without new requests, after which every deadline has passed."""

REQUESTS = 90
TICK_MS = 250


def _pick_server(world, rng):
    return rng.choice(sorted(world.fleet.backends))


def _pick_vm(world, rng):
    return rng.choice(sorted(world.hosts))


def _kill_region_capacity(world, rng):
    region = rng.choice(sorted(world.base["regions"]))
    for name, record in sorted(world.fleet.backends.items()):
        if record.region == region and rng.random() < 0.7:
            world.kill_server(name)
            world.call_later(rng.uniform(2000, 8000), world.return_server, name)


def _partition(world, rng):
    regions = sorted(world.base["regions"])
    kind = rng.randrange(4)
    if kind == 0:
        world.cut_region(rng.choice(regions))
    elif kind == 1:
        world.cut_link(*rng.sample(regions, 2))
    elif kind == 2:
        world.cuts.add(tuple(rng.sample(regions, 2)))
    else:
        world.vm_cuts.add(tuple(rng.sample(sorted(world.hosts), 2)))
    world.call_later(rng.uniform(1000, 9000), world.heal)


def _disrupt_configuration(world, rng):
    if rng.random() < 0.5:
        world.store.down = True
    else:
        _publish_narrowed(world, rng)
        world.call_later(rng.uniform(100, 2000), _serve_first_revision, world)
    world.call_later(rng.uniform(2000, 9000), _restore_configuration, world)


def _serve_first_revision(world):
    world.store.stale_version["config"] = 1
    world.answer_watchers()


def _restore_configuration(world):
    world.store.down = False
    world.store.stale_version.clear()


def _suspend_process(world, rng):
    if rng.random() < 0.6:
        world.freeze_daemon(_pick_vm(world, rng), rng.uniform(500, 9000))
    else:
        world.freeze_server(_pick_server(world, rng), rng.uniform(500, 9000))


def _restart_server(world, rng):
    name = _pick_server(world, rng)
    world.kill_server(name)
    world.call_later(rng.uniform(500, 3000), world.return_server, name)


def _restart_daemon(world, rng):
    vm = _pick_vm(world, rng)
    if world.hosts[vm].node is None:
        return
    world.kill_daemon(vm)
    world.call_later(rng.uniform(50, 3000), _start_if_down, world, vm)


def _start_if_down(world, vm):
    if world.hosts[vm].node is None:
        world.start_daemon(vm)


def _stop_daemon(world, rng):
    vm = _pick_vm(world, rng)
    world.stop_daemon(vm)
    world.call_later(rng.uniform(5000, 20000), _start_if_down, world, vm)


def _leave_server(world, rng):
    world.leave_server(_pick_server(world, rng))


def _lose_replies(world, rng):
    world.replies_to_lose += rng.randrange(1, 4)


def _publish_narrowed(world, rng):
    """Publish a revision that allows a random workspace one region fewer.

    Several of these at nearly the same time stand for concurrent operators.
    """
    revision = max(world.revisions) + 1
    names = sorted(world.base["workspaces"])
    workspace = rng.choice(names)
    allowed = world.base["workspaces"][workspace]["allowed_regions"]
    narrow_workspace(world, workspace, rng.sample(allowed, max(1, len(allowed) - 1)))
    world.publish_config(revision)


FAULTS = {
    "capacity loss": _kill_region_capacity,
    "partition": _partition,
    "configuration down or stale": _disrupt_configuration,
    "pause": _suspend_process,
    "return with cold caches": _restart_server,
    "daemon killed": _restart_daemon,
    "daemon stopped": _stop_daemon,
    "server leaving": _leave_server,
    "replies lost": _lose_replies,
    "new revision": _publish_narrowed,
}
"""Function that injects each kind of fault."""


def start_example_world(name, seed):
    """Return a simulation of the example `name` with every daemon started."""
    base, overlays = read_example(name)
    for workspace in base["workspaces"].values():
        workspace["deadlines"]["batch_ms"] = BATCH_MS
    world = make_world(base, overlays, seed, TICK_MS, service_replicas=2)
    world.check_codec = False
    world.start()
    return world


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
        Number of times that each kind is injected.

    Returns
    -------
    dict of str to list of str
        Violations by name of the invariant.
    """
    rng = random.Random(f"{name}/{'/'.join(kinds)}/{seed}")
    world = start_example_world(name, seed)
    for kind in kinds:
        for _ in range(times):
            at_ms = START_MS + rng.uniform(0, FAULT_WINDOW_MS)
            world.call_at(at_ms, FAULTS[kind], world, rng)
    return _run_to_end(world, rng)


def run_schedule(seed):
    """Run a simulation with a random schedule of one to six faults.

    Returns
    -------
    dict of str to list of str
        Violations by name of the invariant.
    """
    rng = random.Random(seed)
    name = rng.choice(sorted(EXAMPLES))
    world = start_example_world(name, seed)
    for _ in range(rng.randrange(1, 7)):
        kind = rng.choice(sorted(FAULTS))
        at_ms = START_MS + rng.uniform(0, FAULT_WINDOW_MS)
        world.call_at(at_ms, FAULTS[kind], world, rng)
    return _run_to_end(world, rng)


def unserved_in_isolation(name, seed):
    """Return the requests that isolated regions failed to serve.

    Every region is cut off from all others and from the platform. Each must
    still give a complete answer to the requests that may run in it.

    Returns
    -------
    list of str
        Request id, entry VM and result of each.
    """
    rng = random.Random(f"isolation/{name}/{seed}")
    world = start_example_world(name, seed)
    world.run_until(START_MS)
    world.store.down = True
    for region in world.base["regions"]:
        world.cut_region(region)
    _schedule_requests(world, rng)
    world.run_until(START_MS + FAULT_WINDOW_MS + QUIET_MS)
    return [
        f"{request.request_id} at {request.vm}: {request.result}"
        for request in world.caller_requests.values()
        if "." not in request.request_id
        and _allowed_in_entry_region(world, request)
        and request.result != "whole"
    ]


def _allowed_in_entry_region(world, request):
    region = world.hosts[request.vm].region
    state = world.hosts[request.vm].node.state
    return region in state.base.workspaces[request.workspace].allowed_regions


def _run_to_end(world, rng):
    _schedule_requests(world, rng)
    world.run_until(START_MS + FAULT_WINDOW_MS + 10_000)
    _clear_faults(world)
    world.run_until(world.now_ms + CONFIG_LIMIT_MS)
    _check_revisions(world)
    world.run_until(world.now_ms + QUIET_MS)
    return violated_invariants(world)


def _clear_faults(world):
    world.heal()
    _restore_configuration(world)
    for vm in world.hosts:
        _start_if_down(world, vm)


def _check_revisions(world):
    newest = max(world.revisions)
    for vm, host in sorted(world.hosts.items()):
        if host.node is None or host.node.state.leaving:
            continue
        config = host.node.state.config
        revision = config.revision if config else 0
        if revision != newest:
            world.violations.append(
                f"behind: {vm} is at revision {revision}, not {newest}"
            )


def _schedule_requests(world, rng):
    workspaces = sorted(world.base["workspaces"])
    for i in range(REQUESTS):
        at_ms = START_MS + rng.uniform(0, FAULT_WINDOW_MS + 4000)
        world.call_at(
            at_ms, _send_random_request, world, rng, f"q{i}", rng.choice(workspaces)
        )


def _send_random_request(world, rng, name, workspace):
    item = world.base["workspaces"][workspace]
    vm = rng.choice(sorted(world.hosts))
    kind = rng.choice(("chat", "chat", "read", "change", "change"))
    if kind == "chat" or not item.get("services"):
        tokens = (rng.randrange(50, 2000), rng.randrange(5, 120))
        spec = request_spec(world, "chat", tokens, rng.randrange(4))
        world.send(name, workspace, vm, **spec)
        return
    spec = request_spec(world, kind)
    if kind == "change":
        spec |= {
            "operation": name,
            "operation_id": world.issue_operation(vm, workspace),
            "fingerprint": 1,
        }
        for j in range(rng.randrange(3)):
            target = vm if rng.random() < 0.5 else rng.choice(sorted(world.hosts))
            args = (world, f"{name}.{j}", workspace, target, spec)
            world.call_later(rng.uniform(1, 6000), _send_repeat, *args)
    world.send(name, workspace, vm, **spec)


def _send_repeat(world, name, workspace, vm, spec):
    world.send(name, workspace, vm, **spec)
