"""Which entry VMs a caller should use: the first routing decision."""

import math

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["entry_role", "entry_spread", "rank_entries", "server_subset"]

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
    """
    if len(servers) <= size or len(members) <= 1:
        return list(servers)
    sharing = math.ceil(size * len(members) / len(servers))
    if sharing >= len(members):
        return list(servers)
    return [
        server
        for server in servers
        if own in rendezvous_order(f"subset:{server}", members)[:sharing]
    ]
