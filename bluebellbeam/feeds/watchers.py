"""Choice of the daemons that watch the feeds at the platform for the others.

Each daemon applies the same rule to its own view of the members, so no
agreement is needed. Differing views only cause some extra reads.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["is_watcher"]


def is_watcher(vm, key, members, per_domain):
    """Return whether entry VM `vm` watches feed `key` at the platform.

    Parameters
    ----------
    vm : str
    key : str
    members : iterable of str
        Usable entry VMs in the failure domain of `vm`, including `vm`.
    per_domain : int
        Number of watchers in each failure domain.

    Returns
    -------
    bool
    """
    return vm in rendezvous_order(f"watch:{key}", members)[:per_domain]
