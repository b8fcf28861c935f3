"""Random fault schedules, and the faults the users name, over a session.

A session sends mixed requests, causes faults, heals everything, waits for the
time in which a configuration must be in force, and checks every promise.
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
"""Time within which a published configuration is in force everywhere."""

START_MS = 3_000
FAULT_WINDOW_MS = 9_000
BATCH_MS = 15_000
"""Deadline of batch requests in a session."""

QUIET_MS = 22_000
"""Time after which every deadline has passed."""

REQUESTS = 90
TICK_MS = 250


def _pick_server(world, rng):
    return rng.choice(sorted(world.fleet.backends))


def _pick_vm(world, rng):
    return rng.choice(sorted(world.hosts))


def _lose_capacity(world, rng):
    region = rng.choice(sorted(world.base["regions"]))
    for name, record in sorted(world.fleet.backends.items()):
        if record.region == region and rng.random() < 0.7:
            world.kill_server(name)
            world.call_later(rng.uniform(2000, 8000), world.return_server, name)


def _cut(world, rng):
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


def _config_trouble(world, rng):
    if rng.random() < 0.5:
        world.store.down = True
    else:
        _operator(world, rng)
        world.call_later(rng.uniform(100, 2000), _begin_stale, world)
    world.call_later(rng.uniform(2000, 9000), _config_back, world)


def _begin_stale(world):
    world.store.stale_version["config"] = 1
    world.answer_watchers()


def _config_back(world):
    world.store.down = False
    world.store.stale_version.clear()


def _pause(world, rng):
    if rng.random() < 0.6:
        world.freeze_daemon(_pick_vm(world, rng), rng.uniform(500, 9000))
    else:
        world.freeze_server(_pick_server(world, rng), rng.uniform(500, 9000))


def _cold_return(world, rng):
    name = _pick_server(world, rng)
    world.kill_server(name)
    world.call_later(rng.uniform(500, 3000), world.return_server, name)


def _restart(world, rng):
    vm = _pick_vm(world, rng)
    if world.hosts[vm].node is None:
        return
    world.kill_daemon(vm)
    world.call_later(rng.uniform(50, 3000), _start_again, world, vm)


def _start_again(world, vm):
    if world.hosts[vm].node is None:
        world.start_daemon(vm)


def _stop(world, rng):
    vm = _pick_vm(world, rng)
    world.stop_daemon(vm)
    world.call_later(rng.uniform(5000, 20000), _start_again, world, vm)


def _leave(world, rng):
    world.leave_server(_pick_server(world, rng))


def _lose(world, rng):
    world.replies_to_lose += rng.randrange(1, 4)


def _operator(world, rng):
    """Publish a revision; two operators may do so at nearly the same time."""
    revision = max(world.revisions) + 1
    names = sorted(world.base["workspaces"])
    workspace = rng.choice(names)
    allowed = world.base["workspaces"][workspace]["allowed_regions"]
    narrow_workspace(world, workspace, rng.sample(allowed, max(1, len(allowed) - 1)))
    world.publish_config(revision)


FAULTS = {
    "capacity loss": _lose_capacity,
    "partition": _cut,
    "configuration down or stale": _config_trouble,
    "pause": _pause,
    "return with cold caches": _cold_return,
    "daemon killed": _restart,
    "daemon stopped": _stop,
    "server leaving": _leave,
    "replies lost": _lose,
    "new revision": _operator,
}
"""Function that causes each kind of fault."""


def start_example_world(name, seed):
    """Return a started world of the example `name`."""
    base, overlays = read_example(name)
    for workspace in base["workspaces"].values():
        workspace["deadlines"]["batch_ms"] = BATCH_MS
    world = make_world(base, overlays, seed, TICK_MS, service_replicas=2)
    world.check_codec = False
    world.start()
    return world


def run_faults(name, kinds, seed, times=2):
    """Run a session with the given kinds of fault.

    Returns
    -------
    dict of str to list of str
        Broken promises.
    """
    rng = random.Random(f"{name}/{'/'.join(kinds)}/{seed}")
    world = start_example_world(name, seed)
    for kind in kinds:
        for _ in range(times):
            at_ms = START_MS + rng.uniform(0, FAULT_WINDOW_MS)
            world.call_at(at_ms, FAULTS[kind], world, rng)
    return _finish(world, rng)


def run_schedule(seed):
    """Run a session with a random schedule of one to six faults.

    Returns
    -------
    dict of str to list of str
        Broken promises.
    """
    rng = random.Random(seed)
    name = rng.choice(sorted(EXAMPLES))
    world = start_example_world(name, seed)
    for _ in range(rng.randrange(1, 7)):
        kind = rng.choice(sorted(FAULTS))
        at_ms = START_MS + rng.uniform(0, FAULT_WINDOW_MS)
        world.call_at(at_ms, FAULTS[kind], world, rng)
    return _finish(world, rng)


def unserved_in_isolation(name, seed):
    """Return requests that isolated regions failed to answer.

    Every region is cut off from every other one and from the platform. Each
    must still answer, whole, what its own backend servers may run.

    Returns
    -------
    list of str
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
        and _may_run_near(world, request)
        and request.result != "whole"
    ]


def _may_run_near(world, request):
    region = world.hosts[request.vm].region
    state = world.hosts[request.vm].node.state
    return region in state.base.workspaces[request.workspace].allowed_regions


def _finish(world, rng):
    _schedule_requests(world, rng)
    world.run_until(START_MS + FAULT_WINDOW_MS + 10_000)
    _repair(world)
    world.run_until(world.now_ms + CONFIG_LIMIT_MS)
    _check_revisions(world)
    world.run_until(world.now_ms + QUIET_MS)
    return violated_invariants(world)


def _repair(world):
    world.heal()
    _config_back(world)
    for vm in world.hosts:
        _start_again(world, vm)


def _check_revisions(world):
    newest = max(world.revisions)
    for vm, host in sorted(world.hosts.items()):
        if host.node is None or host.node.state.leaving:
            continue
        config = host.node.state.config
        held = config.revision if config else 0
        if held != newest:
            world.violations.append(f"behind: {vm} holds {held}, not {newest}")


def _schedule_requests(world, rng):
    workspaces = sorted(world.base["workspaces"])
    for i in range(REQUESTS):
        at_ms = START_MS + rng.uniform(0, FAULT_WINDOW_MS + 4000)
        world.call_at(at_ms, _send_one, world, rng, f"q{i}", rng.choice(workspaces))


def _send_one(world, rng, name, workspace):
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
            again = (world, f"{name}.{j}", workspace, target, spec)
            world.call_later(rng.uniform(1, 6000), _repeat_one, *again)
    world.send(name, workspace, vm, **spec)


def _repeat_one(world, name, workspace, vm, spec):
    world.send(name, workspace, vm, **spec)
