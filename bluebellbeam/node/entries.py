"""Which entry VMs a caller of a region is to use for routed requests."""

from bluebellbeam.membership import usable_members

__all__ = ["entries_near"]

MAX_ENTRIES = 64
"""Entry VMs named in one answer."""


def entries_near(state, region):
    """Return caller addresses of entry VMs for callers in `region`.

    Those of the region itself, as long as one is known to run there; else
    those of every other region. This daemon names itself once it is ready.

    Parameters
    ----------
    state : NodeState
    region : str

    Returns
    -------
    list of str
    """
    rows = [
        (row.region, row.caller_address)
        for row in usable_members(state.members)
        if row.status == "alive" and row.caller_address
        if row.name != state.identity.vm
    ]
    if state.ready and not state.leaving:
        rows.append((state.region, state.identity.caller_address))
    near = [address for place, address in rows if place == region]
    found = near or [address for _, address in rows]
    return sorted(found)[:MAX_ENTRIES]
