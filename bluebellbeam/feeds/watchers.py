"""Choice of the daemons that watch the feeds at the platform for the others.

Each daemon applies the same rule to its own view of the members, so no
agreement is needed. Differing views only cause some extra reads.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["is_watcher"]


def is_watcher(own, key, members, per_domain):
    """Return whether VM `own` watches feed `key` at the platform.

    Parameters
    ----------
    own : str
        Name of the VM to check.
    key : str
    members : iterable of str
        Usable entry VMs in the failure domain of `own`, including `own`.
    per_domain : int
        Number of watchers in each failure domain.

    Returns
    -------
    bool
    """
    return own in rendezvous_order(f"watch:{key}", members)[:per_domain]
