"""Choice of the daemons that keep the origin of a stream.

Each stream has two holders beside the daemon that serves it: one of the same region,
in another failure domain if there is one, and one of another region. Every daemon
ranks the members by the same hash, so the holders can be found from the key alone.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["choose_holders", "choose_sources"]

HOLDERS = 2
"""Number of holders of a stream; the daemon that serves it knows its origin as well."""

SOURCES_PER_GROUP = 2
"""Number of members asked in each failure domain of the own region and in each other
region. One that has died may still be ranked before the holder."""


def choose_holders(key, members, served_by):
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
    """
    region, domain = served_by.region, served_by.failure_domain
    ranked = _rank(key, members)
    near = [row for row in ranked if row.region == region]
    apart = [row for row in near if row.failure_domain != domain]
    far = [row for row in ranked if row.region != region]
    found = [*(apart or near)[:1], *far[:1]]
    for row in (*_other_regions(far), *ranked):
        if len(found) == HOLDERS:
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


def _other_regions(ranked):
    """Return the rows that are not in the region of the first one."""
    return [row for row in ranked if row.region != ranked[0].region]
