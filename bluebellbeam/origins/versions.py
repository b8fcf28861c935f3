"""Software versions of services in this region and, by gossip, in the others."""

from bluebellbeam.routing import StreamOrigin

__all__ = [
    "VersionTable",
    "is_complete",
    "live_versions",
    "make_version_table",
    "merge_seen_versions",
    "only_version",
    "prune_versions",
    "record_live_versions",
    "record_version",
    "seen_versions",
    "start_watch",
]

RECENT_VERSION_MS = 30_000
"""Time for which a version counts after it was last seen, above the longest time that
a stream lasts."""

MAX_REGION_AGE_MS = 10_000
"""Age above which the versions of another region are taken as not known."""


class VersionTable:
    """Software versions by service.

    Attributes
    ----------
    seen_ms : dict of str to dict of str to int
        Time at which each version was last seen in any region, by service and version.
    live : dict of str to (dict of str to tuple of str, int)
        Versions of the usable servers by service, and the time of the report, by name
        of another region.
    complete_ms : int or None
        Time from which the table holds all versions of the last `RECENT_VERSION_MS`;
        None if that is not known yet.
    """

    __slots__ = ("seen_ms", "live", "complete_ms")

    def __init__(self):
        self.seen_ms = {}
        self.live = {}
        self.complete_ms = None


def make_version_table():
    """Return an empty table."""
    return VersionTable()


def record_version(table, service, version, now_ms):
    """Record that a server of `service` has `version`."""
    table.seen_ms.setdefault(service, {})[version] = now_ms


def record_live_versions(table, region, versions, now_ms):
    """Record the versions of the usable servers of another region.

    Parameters
    ----------
    table : VersionTable
    region : str
    versions : dict of str to tuple of str
        Versions by service.
    now_ms : int
    """
    table.live[region] = (versions, now_ms)
    for service, names in versions.items():
        for version in names:
            record_version(table, service, version, now_ms)


def seen_versions(table):
    """Return the versions seen in the last `RECENT_VERSION_MS` by service."""
    return {service: tuple(sorted(rows)) for service, rows in table.seen_ms.items()}


def is_complete(table, now_ms):
    """Return whether the table holds all versions of the last `RECENT_VERSION_MS`."""
    return table.complete_ms is not None and now_ms >= table.complete_ms


def start_watch(table, now_ms):
    """Record that the versions are watched from now on, if they were not before."""
    if table.complete_ms is None:
        table.complete_ms = now_ms + RECENT_VERSION_MS


def merge_seen_versions(table, versions, now_ms):
    """Add the versions that a member with a complete table has seen.

    Parameters
    ----------
    table : VersionTable
    versions : dict of str to tuple of str
        Versions by service.
    now_ms : int
    """
    for service, names in versions.items():
        for version in names:
            if version not in table.seen_ms.get(service, ()):
                record_version(table, service, version, now_ms)
    table.complete_ms = min(now_ms, table.complete_ms or now_ms)


def live_versions(table, region, service, now_ms):
    """Return the versions of a service in another region, or None if not known."""
    versions, at_ms = table.live.get(region, ({}, 0))
    if not versions or now_ms - at_ms > MAX_REGION_AGE_MS:
        return None
    return versions.get(service, ())


def only_version(table, service, now_ms):
    """Return the origin of all streams of `service`, None if it had several versions.

    It is also None if no version is known, and while the table is not complete: a
    version that has left shortly before the start of this daemon would be missing.
    """
    if not is_complete(table, now_ms):
        return None
    names = list(table.seen_ms.get(service, ()))
    return StreamOrigin(service, names[0]) if len(names) == 1 else None


def prune_versions(table, now_ms):
    """Remove the versions that were not seen for `RECENT_VERSION_MS`."""
    for service, versions in list(table.seen_ms.items()):
        for version, seen_ms in list(versions.items()):
            if now_ms - seen_ms > RECENT_VERSION_MS:
                del versions[version]
        if not versions:
            del table.seen_ms[service]
