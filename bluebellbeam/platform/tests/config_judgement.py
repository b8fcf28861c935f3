"""Judgement of responses by the configurations that may have been in force.

Times are in seconds of one clock. A version of the configuration maps path prefixes to
:class:`RouteSpec`.
"""

from msgspec import Struct

__all__ = ["Bounds", "Probe", "RouteSpec", "Version", "find_violations"]


class RouteSpec(Struct, frozen=True):
    """A route of one version.

    Parameters
    ----------
    services : frozenset of str
        Services that requests may go to.
    home_regions : frozenset of str
        Regions in which they may run; empty for all.
    timeout_s : float
    """

    services: frozenset[str]
    home_regions: frozenset[str] = frozenset()
    timeout_s: float = 3.0


class Version(Struct, frozen=True):
    """A configuration, and the time at which the store acknowledged it."""

    number: int
    acknowledged_s: float
    routes: dict[str, RouteSpec]


class Bounds(Struct, frozen=True):
    """Limits that the platform sets.

    Parameters
    ----------
    apply_s : float
        Time within which an acknowledged version is in force.
    regress_s : float
        Time after the first effect of a version at a daemon for which an older one may
        still decide there.
    late_s : float
        Time after the timeout of a route within which a request is answered.
    skew_s : float
        Additional time for which a disturbed daemon may decide by an old version.
    contact_s : float
        Time without disturbance after which a daemon is bound by the limits.
    """

    apply_s: float = 3.0
    regress_s: float = 0.25
    late_s: float = 0.5
    skew_s: float = 8.0
    contact_s: float = 5.0


class Probe(Struct):
    """A request, and what became of it.

    Parameters
    ----------
    key : str
        Id of the request.
    daemon : str
        Name and number of starts of the daemon that it was sent to.
    prefix : str
        Path prefix.
    sent_s, ended_s : float
    status : int
        Status of the response; 0 if there was none.
    is_own : bool
        Whether the response is the daemon's own, not that of a server.
    runs : tuple of (float, str, str)
        Time, service and region of each run at a server.
    is_bound : bool
        Whether the daemon was without disturbance for long enough.
    """

    key: str
    daemon: str
    prefix: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_own: bool = True
    runs: tuple[tuple[float, str, str], ...] = ()
    is_bound: bool = True


NOT_DENIED = frozenset({408, 421, 429})


def find_violations(versions, probes, bounds):
    """Return a text for each violation, in the order of the probes.

    Parameters
    ----------
    versions : list of Version
        All versions, oldest first.
    probes : list of Probe
    bounds : Bounds
    """
    found = []
    for probe in probes:
        if probe.is_bound:
            found += _check_in_force(versions, probe, bounds)
            found += _check_timeout(versions, probe, bounds)
        found += _check_denied(versions, probe, bounds)
    by_daemon = {}
    for probe in probes:
        by_daemon.setdefault(probe.daemon, []).append(probe)
    for group in by_daemon.values():
        found += _check_regress(versions, group, bounds)
    return found


def _may_be_in_force(versions, from_s, to_s, apply_s):
    """Return the versions that may decide on a request open in the interval."""
    newest_bound = 0
    for index, version in enumerate(versions):
        if version.acknowledged_s + apply_s <= from_s:
            newest_bound = index
    return [v for v in versions[newest_bound:] if v.acknowledged_s <= to_s]


def _allows(version, probe):
    """Return whether the outcome of a probe is allowed by one version alone."""
    route = version.routes.get(probe.prefix)
    if probe.runs:
        return route is not None and all(
            service in route.services
            and (not route.home_regions or region in route.home_regions)
            for _, service, region in probe.runs
        )
    return route is None


def _is_decided(probe):
    """Return whether the outcome of a probe depends on the configuration."""
    return bool(probe.runs) or (probe.is_own and probe.status == 404)


def _describe(probe):
    ran = ", ".join(f"{service} in {region}" for _, service, region in probe.runs)
    return (
        f"{probe.key} {probe.prefix} at {probe.daemon}, sent {probe.sent_s:.2f}: "
        f"{ran or probe.status}"
    )


def _check_in_force(versions, probe, bounds):
    if not _is_decided(probe):
        return []
    allowed = _may_be_in_force(versions, probe.sent_s, probe.ended_s, bounds.apply_s)
    if any(_allows(version, probe) for version in allowed):
        return []
    numbers = [version.number for version in allowed]
    return [f"CONFIG {_describe(probe)}, none of versions {numbers} allows it"]


def _check_timeout(versions, probe, bounds):
    allowed = _may_be_in_force(versions, probe.sent_s, probe.ended_s, bounds.apply_s)
    limits = [
        version.routes[probe.prefix].timeout_s
        for version in allowed
        if probe.prefix in version.routes
    ]
    took_s = probe.ended_s - probe.sent_s
    if not limits or took_s <= max(limits) + bounds.late_s:
        return []
    return [f"TIMEOUT {_describe(probe)}, {took_s:.2f} s of {max(limits):.2f}"]


def _check_denied(versions, probe, bounds):
    if not (probe.is_own and 300 <= probe.status < 500) or probe.status in NOT_DENIED:
        return []
    apply_s = bounds.apply_s + (0.0 if probe.is_bound else bounds.skew_s)
    versions = _may_be_in_force(versions, probe.sent_s, probe.ended_s, apply_s)
    if not all(probe.prefix in version.routes for version in versions):
        return []
    return [f"DENIED {_describe(probe)}, which every version in force allows"]


def _check_regress(versions, probes, bounds):
    """Check that no request is decided by a version older than one seen in effect."""
    effects = []
    for probe in probes:
        # A later version may allow the same, so only the oldest one is shown.
        oldest = next((v.number for v in versions if _allows(v, probe)), None)
        if probe.runs and oldest is not None:
            effects.append((probe.runs[0][0], oldest))
    effects.sort()
    found = []
    for probe in probes:
        if not _is_decided(probe):
            continue
        limit_s = probe.sent_s - bounds.regress_s
        seen = max((number for at_s, number in effects if at_s < limit_s), default=0)
        newest = max((v.number for v in versions if _allows(v, probe)), default=None)
        if newest is not None and newest < seen:
            text = f"version {newest} at most after version {seen} at least"
            found.append(f"REGRESS {_describe(probe)}, {text}")
    return found
