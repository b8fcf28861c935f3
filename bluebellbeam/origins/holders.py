"""Choice of the daemons that keep the origin of a stream.

Each stream has holders beside the daemon that serves it: one of the same region, in
another failure domain if there is one, and one of another region, or one of each of
several ones in a small fleet. Every daemon ranks the members by the same hash, so the
holders can be found from the key alone.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["choose_holders", "choose_sources", "holder_count"]

MIN_HOLDERS = 2
"""Smallest number of holders of a stream, as far as there are other members. The daemon
that serves it knows its origin as well."""

MAX_HOLDERS = 4
"""Largest number of holders, in a fleet of `SMALL_FLEET` daemons at most."""

SMALL_FLEET = 48
"""Number of daemons up to which each region has a holder, as far as `MAX_HOLDERS`
allows; their messages would exceed the budget for control in a larger one."""

SOURCES_PER_GROUP = 2
"""Number of members asked in each failure domain of the own region and in each other
region. One that has died may still be ranked before the holder."""


def holder_count(daemons):
    """Return the number of holders of a stream in a fleet of `daemons` daemons."""
    return MAX_HOLDERS if daemons <= SMALL_FLEET else MIN_HOLDERS


def choose_holders(key, members, served_by, count=MIN_HOLDERS):
    """Return the names of the members to tell the origin of a stream.

    The choice from some of the members is the same as from all of them, as long as the
    chosen ones are among them.

    Parameters
    ----------
    key : int
        Key of the stream.
    members : iterable of Member
        Other members that are alive.
    served_by : ServingDaemon
        The daemon that serves the stream.
    count : int
        Largest number of holders; beyond `MIN_HOLDERS` there is at most one in each
        region.
    """
    region, domain = served_by.region, served_by.failure_domain
    ranked = _rank(key, members)
    near = [row for row in ranked if row.region == region]
    apart = [row for row in near if row.failure_domain != domain]
    far = [row for row in ranked if row.region != region]
    found = (apart or near)[:1]
    found += _first_of_each_region(far)[: count - len(found)]
    for row in ranked:
        if len(found) >= MIN_HOLDERS:
            break
        if row not in found:
            found.append(row)
    return [row.name for row in found]


def choose_sources(key, members, own):
    """Return the names of the members to ask for the origin of a stream.

    Leaving members are asked as well, since they may be the last ones that know it.

    Parameters
    ----------
    key : int
        Key of the stream.
    members : iterable of Member
        Other members that are alive.
    own : NodeIdentity
        The daemon that asks.
    """
    groups = {}
    for row in _rank(key, members):
        domain = row.failure_domain if row.region == own.region else ""
        group = (row.region, domain, row.leaving)
        groups.setdefault(group, []).append(row.name)
    return [name for names in groups.values() for name in names[:SOURCES_PER_GROUP]]


def _rank(key, members):
    by_name = {row.name: row for row in members}
    return [by_name[name] for name in rendezvous_order(f"origin:{key}", by_name)]


def _first_of_each_region(ranked):
    first = {}
    for row in ranked:
        first.setdefault(row.region, row)
    return list(first.values())
