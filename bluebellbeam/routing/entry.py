"""Assignment of workspaces to entry VMs and of backend servers to daemons."""

import bisect
import math

from bluebellbeam.utils.hashing import hash_text, rendezvous_order

__all__ = ["active_entry_count", "entry_role", "rank_entries", "server_subset"]

VIRTUAL_NODES_PER_DAEMON = 64
"""Points of each daemon on the hash ring; more points give more even subsets."""

ACTIVE_ENTRY_FACTOR = 1.5
"""Number of active entry VMs of a workspace, relative to its share by weight of the
entry VMs of a region."""


def active_entry_count(weight, total_weight, member_count):
    """Return the number of active entry VMs of a workspace in a region.

    Parameters
    ----------
    weight : float
        Weight of the workspace.
    total_weight : float
        Sum of the weights of every workspace.
    member_count : int
        Number of usable entry VMs in the region.
    """
    share = weight / total_weight if total_weight else 1.0
    return max(1, min(member_count, round(ACTIVE_ENTRY_FACTOR * share * member_count)))


def rank_entries(name, members, active_count, turn=0):
    """Return the entry VMs for workspace `name`, best first.

    Parameters
    ----------
    name : str
        Workspace.
    members : list of str
        Usable entry VMs of the region.
    active_count : int
        Number of active entry VMs; they lead the list and are rotated by `turn`.
    turn : int
        Number of choices made so far, so that callers are distributed over the
        active entry VMs.

    Returns
    -------
    list of str

    Notes
    -----
    With rendezvous hashing, the loss of a VM moves only its own workspaces.
    """
    ranked = rendezvous_order(f"entry:{name}", members)
    active = ranked[:active_count]
    first = turn % len(active) if active else 0
    return active[first:] + active[:first] + ranked[active_count:]


def entry_role(own, name, members, active_count):
    """Return the role of VM `own` for workspace `name`.

    Parameters
    ----------
    own : str
        VM of the daemon.
    name : str
        Workspace.
    members : list of str
        Usable entry VMs of the region.
    active_count : int
        Number of active entry VMs of the workspace.

    Returns
    -------
    {"active", "backup", "outside"}
        Active VMs share the requests; the backup is the next in rank; any other VM
        is outside.
    """
    ranked = rendezvous_order(f"entry:{name}", members)
    if own in ranked[:active_count]:
        return "active"
    return "backup" if own in ranked[active_count : active_count + 1] else "outside"


def server_subset(own, members, servers, size):
    """Return the backend servers that daemon `own` sends requests to.

    Every server is shared by the same number of daemons, so each daemon has
    about `size` servers regardless of the size of the region.

    Parameters
    ----------
    own : str
        VM of the daemon.
    members : list of str
        Usable entry VMs of the region, including `own`.
    servers : list of str
        Servers with the same role and service in the region.
    size : int
        Target number of servers for each daemon.

    Returns
    -------
    list of str

    Notes
    -----
    Consistent hashing [1]_: a server is assigned to the members that follow it
    on the hash ring. It is as stable as rendezvous hashing when members join or
    leave, and takes logarithmic time for each server.

    References
    ----------
    .. [1] Karger et al., "Consistent hashing and random trees", STOC 1997.
    """
    if len(servers) <= size or len(members) <= 1:
        return list(servers)
    daemons_per_server = math.ceil(size * len(members) / len(servers))
    if daemons_per_server >= len(members):
        return list(servers)
    ring = sorted(
        (hash_text(f"{member}#{i}"), member)
        for member in members
        for i in range(VIRTUAL_NODES_PER_DAEMON)
    )
    return [
        name
        for name in servers
        if own in _ring_successors(ring, name, daemons_per_server)
    ]


def _ring_successors(ring, name, count):
    """Return the first `count` distinct members after `name` on the ring."""
    start = bisect.bisect(ring, (hash_text(name), ""))
    found = []
    for i in range(len(ring)):
        member = ring[(start + i) % len(ring)][1]
        if member not in found:
            found.append(member)
            if len(found) == count:
                break
    return found
