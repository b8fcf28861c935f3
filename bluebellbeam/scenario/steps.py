"""Functions that execute the steps of a scenario script."""

import msgspec

from bluebellbeam.exception import ScenarioError
from bluebellbeam.scenario.invariants import violated_invariants

__all__ = ["STEPS", "ScriptRun", "narrow_workspace", "request_spec"]

DEFAULT_TOKENS = (400, 20)
"""Prompt tokens and output tokens of a chat without ``tokens``."""

BLOCK_TOKENS = 64
"""Tokens in one block of a prompt prefix."""

_PREFIX_STRIDE = 1_000_003
"""Distance between the block hashes of two prefixes, so that none coincide."""


class ScriptRun:
    """State of one run of a script.

    Attributes
    ----------
    sim : Simulation
        Simulation that the steps act on.
    operations : dict of str to (str, str)
        Operation id and entry VM of each change, by the label that its repeats
        share.
    passed_expectations : int
        Number of expectations that held.
    load_count : int
        Number of ``load`` steps so far; request ids of a load begin with
        ``load`` and this number.
    """

    __slots__ = ("sim", "operations", "passed_expectations", "load_count")

    def __init__(self, sim):
        self.sim = sim
        self.operations = {}
        self.passed_expectations = 0
        self.load_count = 0

    def expect(self, holds, text):
        """Count an expectation; raise ScenarioError if it does not hold."""
        if not holds:
            raise ScenarioError(f"at {int(self.sim.now_ms)} ms: {text}")
        self.passed_expectations += 1

    def request(self, name):
        """Return the :class:`CallerRequest` with id `name`."""
        request = self.sim.caller_requests.get(name)
        if request is None:
            raise ScenarioError(f"no request is called '{name}'")
        return request

    def state(self, vm):
        """Return the node state of the daemon on `vm`."""
        host = self.sim.hosts.get(vm)
        if host is None or host.node is None:
            raise ScenarioError(f"no daemon runs on '{vm}'")
        return host.node.state


def request_spec(sim, kind, tokens=DEFAULT_TOKENS, prefix=0):
    """Return the arguments of :meth:`Simulation.send` for a request of `kind`.

    The request is for the first model or service of the deployment.

    Parameters
    ----------
    sim : Simulation
    kind : {"chat", "read", "change"}
    tokens : (int, int)
        Prompt tokens and output tokens of a chat.
    prefix : int
        Chats with the same number share their prompt prefix; with 0 a chat
        shares none.

    Returns
    -------
    dict
    """
    if kind == "chat":
        prompt, output = tokens
        model = next(iter(sim.base["models"]))
        count = prompt // BLOCK_TOKENS if prefix else 0
        blocks = tuple(prefix * _PREFIX_STRIDE + i for i in range(count))
        return {
            "kind": kind,
            "model": model,
            "prompt_tokens": prompt,
            "max_output_tokens": output,
            "blocks": blocks,
        }
    service, item = next(iter(sim.base["services"].items()))
    call = next(
        c for c in item["calls"] if c.get("idempotent", False) == (kind == "read")
    )
    return {
        "kind": kind,
        "service": service,
        "method": call["method"],
        "path": f"{call['path_prefix']}/7",
    }


def _send_request(run, kind, name, workspace, vm, *options):
    sim = run.sim
    option_values = {item[0]: item[1:] for item in options}
    tokens = option_values.get("tokens", DEFAULT_TOKENS)
    prefix = option_values.get("prefix", (0,))[0]
    spec = request_spec(sim, kind, tokens, prefix)
    if kind == "change":
        label = option_values.get("operation", (name,))[0]
        issuing_vm = option_values.get("issued_by", (vm,))[0]
        issued = sim.issue_operation(issuing_vm, workspace)
        run.operations[label] = (issued, vm)
        spec |= {"operation": label, "operation_id": issued, "fingerprint": 1}
    sim.add_trace(f"send {kind} {name} from {workspace} to {vm}")
    sim.send(name, workspace, vm, **spec)


def _repeat_request(run, name, new_name, vm):
    original = run.request(name)
    spec = request_spec(run.sim, original.kind)
    if original.kind == "change":
        issued, _ = run.operations[original.operation]
        spec |= {
            "operation": original.operation,
            "operation_id": issued,
            "fingerprint": 1,
        }
    run.sim.add_trace(f"repeat {name} as {new_name} at {vm}")
    run.sim.send(new_name, original.workspace, vm, **spec)


def _schedule_load(run, rate, for_ms, workspaces):
    sim = run.sim
    run.load_count += 1
    vms = sorted(sim.hosts)
    for i in range(rate * for_ms // 1000):
        at_ms = sim.now_ms + i * 1000 / rate
        kind = "read" if i % 4 == 3 else "chat"
        name = f"load{run.load_count}.{i}"
        workspace = workspaces[i % len(workspaces)]
        vm = vms[(i // len(workspaces)) % len(vms)]
        sim.call_at(at_ms, _send_to_running_daemon, run, kind, name, workspace, vm)


def _send_to_running_daemon(run, kind, name, workspace, vm):
    sim = run.sim
    region = sim.hosts[vm].region
    running = sim.running_daemons(region) or sim.running_daemons()
    target = vm if vm in running else running[0]
    sim.send(name, workspace, target, **request_spec(sim, kind))


def _advance_time(run, for_ms):
    run.sim.run_until(run.sim.now_ms + for_ms)


def _simulation_method(method):
    def step(run, *values):
        run.sim.add_trace(" ".join((method, *map(str, values))))
        getattr(run.sim, method)(*values)

    return step


def _slow_server_down(run, name, factor):
    run.sim.fleet.server(name).slow_factor = float(factor)


def _mute_load_reports(run, name):
    run.sim.fleet.server(name).mute_reports = True


def _swap_addresses(run, name, other):
    addresses = run.sim.addresses
    first = run.sim.fleet.backends[name].address
    second = run.sim.fleet.backends[other].address
    addresses[first], addresses[second] = addresses[second], addresses[first]


def _cut_one_way(run, source, target):
    hosts = run.sim.hosts
    if source in hosts and target in hosts:
        run.sim.vm_cuts.add((source, target))
    else:
        run.sim.region_cuts.add((source, target))


def _drop_responses(run, count):
    run.sim.responses_to_drop = count


def _set_platform_mode(run, mode):
    run.sim.store.down = mode == "down"
    run.sim.store.stale_version.clear()
    if mode == "up":
        run.sim.store.down = False


def _serve_stale_revision(run, revision):
    run.sim.store.stale_version["config"] = revision


def _edit_documents(sim, change):
    sim.base = msgspec.json.decode(msgspec.json.encode(sim.base))
    sim.overlays = msgspec.json.decode(msgspec.json.encode(sim.overlays))
    change(sim)


def narrow_workspace(sim, workspace, regions):
    """Allow `workspace` only `regions` in the unpublished documents of `sim`."""

    def change(sim):
        item = sim.base["workspaces"][workspace]
        item["allowed_regions"] = list(regions)
        if item.get("home_region") not in regions:
            item.pop("home_region", None)
        for overlay in sim.overlays.values():
            overlay.get("workspaces", {}).pop(workspace, None)

    _edit_documents(sim, change)


def _publish_narrowed_workspace(run, revision, workspace, regions):
    narrow_workspace(run.sim, workspace, regions)
    run.sim.add_trace(f"publish {revision} narrow {workspace}")
    run.sim.publish_config(revision)


def _publish_version(run, revision, version, model):
    def change(sim):
        sim.base["models"][model]["version"] = version

    _edit_documents(run.sim, change)
    run.sim.add_trace(f"publish {revision} version {version}")
    run.sim.publish_config(revision)


def _publish_invalid(run, revision):
    sim = run.sim
    base = msgspec.json.decode(msgspec.json.encode(sim.base))
    base["regions"] = {}
    sim.store.publish_config(revision, base, sim.overlays)
    sim.answer_pending_watches()


def _publish_revision(run, revision):
    run.sim.add_trace(f"publish {revision}")
    run.sim.publish_config(revision)


def _expect_complete_response(run, name):
    request = run.request(name)
    run.expect(
        request.result in ("whole", "repeated"),
        f"{name} is {request.result} {request.outcome}, expected a complete answer",
    )


def _expect_result(run, name, result, outcome=None):
    request = run.request(name)
    matches = request.result == result and outcome in (None, request.outcome)
    expected = f"{result} {outcome or ''}".strip()
    run.expect(
        matches,
        f"{name} is {request.result} {request.outcome}, expected {expected}",
    )


def _expect_ran_in_region(run, name, region):
    request = run.request(name)
    run.expect(
        region in request.regions,
        f"{name} ran in {request.regions}, expected {region}",
    )


def _expect_not_run(run, name):
    request = run.request(name)
    run.expect(not request.regions, f"{name} ran in {request.regions}")


def _expect_effects(run, label, count):
    services = run.sim.fleet.services.values()
    found = sum(service.effects.get(label, 0) for service in services)
    run.expect(found == count, f"{label} took effect {found} times, expected {count}")


def _expect_revision(run, revision, vms):
    for vm in vms:
        found = run.state(vm).config.revision
        run.expect(
            found == revision, f"{vm} is at revision {found}, expected {revision}"
        )


def _expect_ready(run, vms):
    for vm in vms:
        run.expect(run.state(vm).ready, f"{vm} is not ready")


def _expect_unready(run, vms):
    for vm in vms:
        run.expect(not run.state(vm).ready, f"{vm} is ready")


def _expect_exited(run, vm):
    ended = {name for name, _ in run.sim.exited_ms}
    run.expect(vm in ended, f"{vm} has not exited")


def _compare(found, relation, expected):
    match relation:
        case "at least":
            return found >= expected
        case "at most":
            return found <= expected
        case _:
            return found == expected


def _expect_counter(run, name, vm, relation, expected):
    found = getattr(run.state(vm).counters, name)
    run.expect(
        _compare(found, relation, expected),
        f"{name} at {vm} is {found}, expected {relation} {expected}",
    )


def _expect_status(run, status, name, vm):
    row = run.state(vm).members.rows.get(name)
    found = "gone" if row is None else row.status
    run.expect(found == status, f"{name} is {found} at {vm}, expected {status}")


def _expect_model_loaded(run, name, server):
    loaded = run.sim.fleet.engines[server].loaded
    run.expect(name in loaded, f"{server} has loaded {loaded}, expected {name}")


def _expect_orders(run, server, relation, expected):
    found = len(run.sim.fleet.engines[server].orders)
    run.expect(
        _compare(found, relation, expected),
        f"{server} accepted {found} load orders, expected {relation} {expected}",
    )


def _expect_no_recent_work(run, name):
    server = run.sim.fleet.server(name)
    last_ms = max((at_ms for _, at_ms in server.accepted_work), default=0)
    limit_ms = run.sim.now_ms - 3000
    run.expect(
        last_ms <= limit_ms,
        f"{name} got work at {int(last_ms)} ms, after {int(limit_ms)} ms",
    )


def _expect_complete_share(run, prefix, relation, percent):
    requests = [
        request
        for name, request in run.sim.caller_requests.items()
        if name.startswith(f"{prefix}.")
    ]
    complete = sum(1 for request in requests if request.result == "whole")
    found = 100.0 * complete / max(1, len(requests))
    run.expect(
        _compare(found, relation, percent),
        f"{found:.1f} percent of {prefix} got a complete answer, "
        f"expected {relation} {percent}",
    )


def _expect_invariants(run):
    violated = violated_invariants(run.sim)
    run.expect(not violated, f"violated invariants: {violated}")


STEPS = {
    "run": _advance_time,
    "send": _send_request,
    "repeat": _repeat_request,
    "load": _schedule_load,
    "kill_daemon": _simulation_method("kill_daemon"),
    "start_daemon": _simulation_method("start_daemon"),
    "stop_daemon": _simulation_method("stop_daemon"),
    "freeze_daemon": _simulation_method("freeze_daemon"),
    "kill_server": _simulation_method("kill_server"),
    "return_server": _simulation_method("return_server"),
    "leave_server": _simulation_method("leave_server"),
    "freeze_server": _simulation_method("freeze_server"),
    "slow_server": _slow_server_down,
    "mute_server": _mute_load_reports,
    "swap_address": _swap_addresses,
    "cut_region": _simulation_method("cut_region"),
    "cut_link": _simulation_method("cut_link"),
    "cut_way": _cut_one_way,
    "heal": _simulation_method("heal"),
    "lose_replies": _drop_responses,
    "platform": _set_platform_mode,
    "stale": _serve_stale_revision,
    "narrow": _publish_narrowed_workspace,
    "version": _publish_version,
    "broken": _publish_invalid,
    "publish": _publish_revision,
    "expect_whole": _expect_complete_response,
    "expect_result": _expect_result,
    "expect_ran": _expect_ran_in_region,
    "expect_idle": _expect_not_run,
    "expect_effects": _expect_effects,
    "expect_revision": _expect_revision,
    "expect_ready": _expect_ready,
    "expect_unready": _expect_unready,
    "expect_ended": _expect_exited,
    "expect_counter": _expect_counter,
    "expect_status": _expect_status,
    "expect_loaded": _expect_model_loaded,
    "expect_orders": _expect_orders,
    "expect_no_work": _expect_no_recent_work,
    "expect_share": _expect_complete_share,
    "expect_promises": _expect_invariants,
}
"""Function that executes each step; its arguments are the run and the step's
values."""
