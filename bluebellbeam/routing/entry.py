"""Which entry VMs a caller should use: the first routing decision."""

import bisect
import math

from bluebellbeam.utils.hashing import hash_text, rendezvous_order

__all__ = ["entry_role", "entry_spread", "rank_entries", "server_subset"]

VIRTUAL_NODES = 64
"""Points of each daemon on the ring; more make the subsets more even."""

SPREAD_FACTOR = 1.5
"""Entry VMs of a workspace, relative to its share of the region's work."""


def entry_spread(weight, total_weight, members):
    """Return how many entry VMs of a region share the work of a workspace.

    Parameters
    ----------
    weight : float
        Weight of the workspace.
    total_weight : float
        Sum of the weights of every workspace.
    members : int
        Usable entry VMs of the region.
    """
    share = weight / total_weight if total_weight else 1.0
    return max(1, min(members, round(SPREAD_FACTOR * share * members)))


def rank_entries(name, members, spread, turn=0):
    """Return the entry VMs for workspace `name`, best first.

    Parameters
    ----------
    name : str
        Workspace.
    members : list of str
        Usable entry VMs of the region.
    spread : int
        The first so many share the work; they change places by `turn`.
    turn : int

    Returns
    -------
    list of str

    Notes
    -----
    Rendezvous hashing moves only the workspaces of a VM that is lost.
    """
    order = rendezvous_order(f"entry:{name}", members)
    active = order[:spread]
    first = turn % len(active) if active else 0
    return active[first:] + active[:first] + order[spread:]


def entry_role(own, name, members, spread):
    """Return how VM `own` serves workspace `name`.

    Returns
    -------
    {"active", "backup", "outside"}
        Active VMs share the work; the backup is the next in order.
    """
    order = rendezvous_order(f"entry:{name}", members)
    if own in order[:spread]:
        return "active"
    return "backup" if own in order[spread : spread + 1] else "outside"


def server_subset(own, members, servers, size):
    """Return the backend servers that daemon `own` uses.

    Every server is shared by the same number of daemons, so each daemon has
    about `size` servers however large the region is.

    Parameters
    ----------
    own : str
    members : list of str
        Usable entry VMs of the region, including `own`.
    servers : list of str
        Servers of one kind in the region.
    size : int
        Servers wanted for each daemon.

    Returns
    -------
    list of str

    Notes
    -----
    Consistent hashing [1]_: a server belongs to the members that follow it on
    a ring. It is as stable as rendezvous hashing and takes ``log`` time for
    each server.

    References
    ----------
    .. [1] Karger et al., "Consistent hashing and random trees", STOC 1997.
    """
    if len(servers) <= size or len(members) <= 1:
        return list(servers)
    sharing = math.ceil(size * len(members) / len(servers))
    if sharing >= len(members):
        return list(servers)
    ring = sorted(
        (hash_text(f"{member}#{i}"), member)
        for member in members
        for i in range(VIRTUAL_NODES)
    )
    return [name for name in servers if own in _ring_successors(ring, name, sharing)]


def _ring_successors(ring, name, count):
    """Return the first `count` different members after `name` on the ring."""
    at = bisect.bisect(ring, (hash_text(name), ""))
    found = []
    for i in range(len(ring)):
        member = ring[(at + i) % len(ring)][1]
        if member not in found:
            found.append(member)
            if len(found) == count:
                break
    return found
