"""Which entry VMs a caller should use: the first routing decision."""

import math

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["entry_set_size", "is_in_entry_set", "rank_entries", "server_subset"]


def entry_set_size(workspace, total_weight, members, least):
    """Return how many entry VMs of a region share the work of a workspace.

    Parameters
    ----------
    workspace : Workspace
    total_weight : float
        Sum of the weights of every workspace.
    members : int
        Usable entry VMs of the region.
    least : int
        Smallest size, so that one failure leaves another that knows it.
    """
    share = workspace.weight / total_weight if total_weight else 1.0
    wanted = math.ceil(2.0 * share * members)
    return max(1, min(members, max(least, wanted)))


def rank_entries(name, members, size):
    """Return ``(entry set, others)`` for workspace `name`.

    Parameters
    ----------
    name : str
        Workspace.
    members : list of str
        Usable entry VMs of the region.
    size : int

    Returns
    -------
    tuple of (list of str, list of str)
        Both in the order in which a caller should try them.

    Notes
    -----
    Rendezvous hashing moves only the workspaces of a VM that is lost.
    """
    order = rendezvous_order(f"entry:{name}", members)
    return order[:size], order[size:]


def is_in_entry_set(own, name, members, size):
    """Return whether VM `own` is in the entry set of workspace `name`."""
    return own in rank_entries(name, members, size)[0]


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
