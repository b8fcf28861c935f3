"""Load and faults of the cases of the policy benchmark."""

from msgspec import Struct

__all__ = ["CASES", "RUN_MS", "START_MS", "Case", "make_rate_factor"]

START_MS = 5_000
"""Time for the daemons to start before the first request."""

RUN_MS = 90_000
"""Time during which requests arrive."""

FAULT_START_MS = START_MS + 20_000
FAULT_END_MS = START_MS + 55_000
"""Interval of the faults, of the load peak and of the excess load."""


class Case(Struct, frozen=True):
    """Faults of one case.

    Parameters
    ----------
    cause : callable
        Function that schedules the faults, given the simulation and the sorted
        names of the regions.
    end_ms : float or None
        Time in ms at which the fault ends and the recovery time begins; None if
        no recovery time is measured.
    """

    cause: object
    end_ms: float | None = None


def _schedule_no_fault(sim, regions):
    """Schedule nothing."""


def _schedule_engine_outage(sim, region, at_ms, end_ms):
    for name, record in sorted(sim.fleet.backends.items()):
        if record.region == region and record.role == "engine":
            sim.call_at(at_ms, sim.kill_server, name)
            sim.call_at(end_ms, sim.return_server, name)


def _schedule_capacity_loss(sim, regions):
    _schedule_engine_outage(sim, regions[0], FAULT_START_MS, FAULT_END_MS)


def _schedule_partition(sim, regions):
    sim.call_at(FAULT_START_MS, sim.cut_region, regions[1])
    sim.call_at(FAULT_END_MS, sim.heal)


def _schedule_loss_and_partition(sim, regions):
    _schedule_capacity_loss(sim, regions)
    sim.call_at(FAULT_START_MS, sim.cut_link, regions[1], regions[2])
    sim.call_at(FAULT_END_MS, sim.heal)


def _schedule_cold_return(sim, regions):
    for region in regions:
        name = f"{region}-{next(iter(sim.base['models']))}-1"
        sim.call_at(FAULT_START_MS, sim.kill_server, name)
        sim.call_at(FAULT_START_MS + 8_000, sim.return_server, name)


def _set_slow_factor(sim, name, factor):
    sim.fleet.engines[name].slow_factor = factor


def _schedule_slow_replica(sim, regions):
    name = f"{regions[0]}-{next(iter(sim.base['models']))}-1"
    sim.call_at(FAULT_START_MS, _set_slow_factor, sim, name, 6.0)
    sim.call_at(FAULT_END_MS, _set_slow_factor, sim, name, 1.0)


def _degrade_load_reports(sim, regions):
    """Delay load reports, mute every third engine and lose every third cache event."""
    for i, engine in enumerate(sim.fleet.engines.values()):
        engine.report_lag_ms = 4000
        engine.mute_reports = i % 3 == 2
        engine.lost_event_interval = 3


def _degrade_all_load_reports(sim):
    _degrade_load_reports(sim, None)


def _schedule_configuration_outage(sim, regions):
    sim.call_at(FAULT_START_MS, setattr, sim.store, "down", True)
    sim.call_at(FAULT_END_MS, setattr, sim.store, "down", False)


def _schedule_rolling_restart(sim, regions):
    for i, vm in enumerate(sorted(sim.hosts)):
        at_ms = FAULT_START_MS + i * 6_000
        sim.call_at(at_ms, sim.stop_daemon, vm)
        sim.call_at(at_ms + 5_000, _force_restart, sim, vm)


def _force_restart(sim, vm):
    """Start a new daemon process; kill the old one if it has not exited yet."""
    if sim.hosts[vm].node is not None:
        sim.kill_daemon(vm)
    sim.start_daemon(vm)


def _schedule_lagged_reports(sim, regions):
    sim.call_at(START_MS, _degrade_all_load_reports, sim)


CASES = {
    "steady": Case(_schedule_no_fault),
    "full load": Case(_schedule_no_fault),
    "double load": Case(_schedule_no_fault),
    "peak": Case(_schedule_no_fault, FAULT_END_MS),
    "capacity loss": Case(_schedule_capacity_loss, FAULT_END_MS),
    "partition": Case(_schedule_partition, FAULT_END_MS),
    "loss and partition": Case(_schedule_loss_and_partition, FAULT_END_MS),
    "cold return": Case(_schedule_cold_return, FAULT_START_MS + 8_000),
    "slow replica": Case(_schedule_slow_replica, FAULT_END_MS),
    "noisy workspace": Case(_schedule_no_fault),
    "lagged reports": Case(_schedule_lagged_reports),
    "configuration down": Case(_schedule_configuration_outage, FAULT_END_MS),
    "rolling restart": Case(_schedule_rolling_restart),
}
"""Cases by name."""

FULL_LOAD_FACTOR = {"fraserleaf": 3.2, "fellesdepot": 3.8}
"""Factor on the rates of the steady case that uses the full capacity, by deployment."""


def make_rate_factor(case, user, workload):
    """Return the function that scales the request rates in `case`.

    Parameters
    ----------
    case : str
        Key of `CASES`.
    user : str
        Example deployment.
    workload : Workload

    Returns
    -------
    callable
        Returns the factor on a stream's rate, given the workspace, the region
        and the time in ms since the first arrivals. The region of its first
        call is the one that has the load peak.
    """
    peak_region = []

    def rate_factor(workspace, region, elapsed_ms):
        if not peak_region:
            peak_region.append(region)
        in_fault = FAULT_START_MS - START_MS <= elapsed_ms < FAULT_END_MS - START_MS
        match case:
            case "full load":
                return FULL_LOAD_FACTOR[user]
            case "double load":
                return 2.0 * FULL_LOAD_FACTOR[user]
            case "peak" if in_fault and region == peak_region[0]:
                return 2.5
            case "noisy workspace" if workspace == workload.noisy and in_fault:
                return 5.0
            case _:
                return 1.0

    return rate_factor
