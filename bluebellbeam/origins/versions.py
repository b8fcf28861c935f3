"""Software versions of services in this region and, by gossip, in the others."""

from bluebellbeam.routing import StreamOrigin

__all__ = [
    "VersionTable",
    "live_versions",
    "make_version_table",
    "only_version",
    "prune_versions",
    "record_live_versions",
    "record_version",
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
    """

    __slots__ = ("seen_ms", "live")

    def __init__(self):
        self.seen_ms = {}
        self.live = {}


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


def live_versions(table, region, service, now_ms):
    """Return the versions of a service in another region, or None if not known."""
    versions, at_ms = table.live.get(region, ({}, 0))
    if not versions or now_ms - at_ms > MAX_REGION_AGE_MS:
        return None
    return versions.get(service, ())


def only_version(table, service):
    """Return the origin of all streams of `service`, None if it had several versions.

    It is also None if no version is known.
    """
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
