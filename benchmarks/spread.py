"""Propagation of a configuration change to all daemons of a simulated fleet.

The daemons run the real node code. The fleet has no backend servers or callers,
so the daemons only exchange membership probes and feed increments.
"""

import msgspec

from bluebellbeam.provider.records import VmRecord
from bluebellbeam.scenario.simulation import Host, make_simulation

__all__ = ["measure_propagation", "measure_restart_storm"]

TICK_MS = 500

STARTUP_MS = 12_000
"""Time for the daemons to start and find each other before the measurement."""

WAIT_LIMIT_MS = 30_000
"""Limit of the wait until every daemon has a revision."""

RESTART_WINDOW_MS = 10_000
"""Time over which the restarts of a restart storm are spread."""


def _make_base(fleet):
    regions = [f"region-{i}" for i in range(fleet.regions)]
    delays = {r: {o: 40 for o in regions if o != r} for r in regions}
    return {
        "deployment": "spread",
        "regions": {r: {"one_way_delay_ms": delays[r]} for r in regions},
        "failure_domains": {
            f"domain-{i}": {"region": regions[i % fleet.regions]}
            for i in range(fleet.domains)
        },
        "sites": {f"site-{i}": {"region": r} for i, r in enumerate(regions)},
        "workspaces": {"w": {"allowed_regions": regions}},
        "policy": {"probe_interval_ms": 3000, "suspect_timeout_ms": 9000},
    }


def _failure_domain(fleet, region, i):
    in_region = [d for d in range(fleet.domains) if d % fleet.regions == region]
    return f"domain-{in_region[i % len(in_region)]}"


def make_fleet_simulation(fleet, seed=1):
    """Return a simulation of `fleet.daemons` daemons without backend servers."""
    base = _make_base(fleet)
    sim = make_simulation(base, {}, seed, TICK_MS)
    sim.check_codec = False
    sim.fleet.entry_vms.clear()
    for i in range(fleet.daemons):
        in_largest = i < fleet.largest_region_daemons
        region = 0 if in_largest else 1 + i % (fleet.regions - 1)
        name = f"entry-{i:04d}"
        sim.fleet.entry_vms[name] = VmRecord(
            name=name,
            role="entry",
            region=f"region-{region}",
            failure_domain=_failure_domain(fleet, region, i),
            peer_address=f"peer:{name}",
            caller_address=f"caller:{name}",
        )
    return sim


def _publish_and_start(sim):
    sim.store.publish_vms("entries", sim.fleet.entry_vms.values())
    for region in sim.base["regions"]:
        sim.store.publish_vms(f"backends/{region}", [])
    sim.publish_config(1)
    for i, vm in enumerate(sim.fleet.entry_vms):
        sim.hosts[vm] = Host(vm, sim.fleet.entry_vms[vm].region)
        sim.start_daemon(vm)
        sim.call_later(
            1 + (i * 7) % TICK_MS, sim.run_tick, vm, sim.hosts[vm].process_number
        )


def _publish_change(sim, revision):
    sim.base = msgspec.json.decode(msgspec.json.encode(sim.base))
    sim.base["workspaces"]["w"]["weight"] = float(revision)
    sim.publish_config(revision)


def _wait_for_revision(sim, revision):
    """Run until every daemon has `revision`, for at most `WAIT_LIMIT_MS`.

    Returns
    -------
    (int, float)
        Number of running daemons, and seconds until the last had the revision or
        the limit was reached.
    """
    start_ms = sim.now_ms
    while sim.now_ms < start_ms + WAIT_LIMIT_MS:
        sim.run_until(sim.now_ms + 100)
        states = [h.node.state for h in sim.hosts.values() if h.node is not None]
        behind = [s for s in states if s.config is None or s.config.revision < revision]
        if not behind:
            break
    return len(states), (sim.now_ms - start_ms) / 1000.0


def measure_propagation(fleet):
    """Measure how fast a configuration change reaches every daemon.

    Returns
    -------
    list of (str, int, float, float)
        Case, number of daemons, seconds until the last daemon has the change,
        and mean number of envelopes sent per daemon meanwhile.
    """
    sim = make_fleet_simulation(fleet)
    _publish_and_start(sim)
    sim.run_until(STARTUP_MS)
    rows = []
    before = _envelopes_sent(sim)
    _publish_change(sim, 2)
    count, last_s = _wait_for_revision(sim, 2)
    sent = (_envelopes_sent(sim) - before) / count
    rows.append(("no fault", count, last_s, sent))
    lost_domain = sim.fleet.entry_vms["entry-0000"].failure_domain
    for vm, record in sim.fleet.entry_vms.items():
        if record.failure_domain == lost_domain:
            sim.kill_daemon(vm)
    before = _envelopes_sent(sim)
    _publish_change(sim, 3)
    count, last_s = _wait_for_revision(sim, 3)
    sent = (_envelopes_sent(sim) - before) / count
    rows.append(("failure domain lost at the same time", count, last_s, sent))
    return rows


def _envelopes_sent(sim):
    return sim.peer_envelopes_sent


def measure_restart_storm(fleet):
    """Measure a restart of a third of the fleet within `RESTART_WINDOW_MS`.

    Returns
    -------
    list of (str, int or str)
        Name and value of each metric.
    """
    sim = make_fleet_simulation(fleet, seed=2)
    _publish_and_start(sim)
    sim.run_until(STARTUP_MS)
    calls_before = sim.store.calls
    start_ms = sim.now_ms
    names = sorted(sim.hosts)[::3]
    for i, vm in enumerate(names):
        at_ms = start_ms + i * RESTART_WINDOW_MS / len(names)
        sim.call_at(at_ms, sim.kill_daemon, vm)
        sim.call_at(at_ms + 1000, sim.start_daemon, vm)
    peak_reads = 0
    while sim.now_ms < start_ms + RESTART_WINDOW_MS + 15_000:
        before = sim.store.calls
        sim.run_until(sim.now_ms + 1000)
        peak_reads = max(peak_reads, sim.store.calls - before)
    states = [h.node.state for h in sim.hosts.values() if h.node is not None]
    ready = sum(1 for state in states if state.ready)
    return [
        ("daemons restarted", len(names)),
        ("reads in total", sim.store.calls - calls_before),
        ("reads in the busiest second (budget 2,000)", peak_reads),
        ("daemons ready 15 s later", f"{ready} of {len(states)}"),
    ]
