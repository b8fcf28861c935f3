"""Which daemons read and watch the platform for the others.

Every daemon computes the same rule over its own view of the members, so no
agreement is needed. Views that differ only cost some extra reads.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = ["is_watcher"]


def is_watcher(own, key, members, per_domain):
    """Return whether VM `own` watches feed `key` at the platform.

    Parameters
    ----------
    own : str
        Name of the asking VM.
    key : str
    members : iterable of str
        Usable entry VMs in the failure domain of `own`, including `own`.
    per_domain : int
        Watchers wanted in each failure domain.

    Returns
    -------
    bool
    """
    return own in rendezvous_order(f"watch:{key}", members)[:per_domain]
