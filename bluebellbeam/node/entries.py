"""Which entry VMs a caller of a region is to use for routed requests."""

from bluebellbeam.membership import usable_members

__all__ = ["entries_near", "home_regions"]

MAX_ENTRIES = 64
"""Entry VMs named in one answer."""


FIND_PEERS_MS = 3000
"""A daemon that has just started knows few others; until then it names none to
callers of a region in which it knows nobody."""


def entries_near(state, host, region, now_ms):
    """Return caller addresses of entry VMs for callers in `region`.

    Those of the region itself, as long as one is known to run there; else
    those of the regions that may serve most routes of the host.

    Parameters
    ----------
    state : NodeState
    host : str
        Host that the caller wants to reach.
    region : str
    now_ms : int

    Returns
    -------
    list of str
        Empty where this daemon cannot tell yet.
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
    if not near and now_ms - state.started_ms < FIND_PEERS_MS:
        return []
    if near:
        return sorted(near)[:MAX_ENTRIES]
    homes = home_regions(state, host, {place for place, _ in rows})
    return sorted(address for place, address in rows if place in homes)[:MAX_ENTRIES]


def home_regions(state, host, regions):
    """Return those of `regions` that may serve the most routes of `host`.

    A caller that is led to another region should find its body taken there
    only where its route allows it.

    Parameters
    ----------
    state : NodeState
    host : str
    regions : set of str

    Returns
    -------
    set of str
    """
    if state.config is None:
        return regions
    bound = [r.home_regions for r in state.config.routes.of_host(host)]
    served = {
        region: sum(1 for homes in bound if not homes or region in homes)
        for region in regions
    }
    most = max(served.values(), default=0)
    return {region for region, count in served.items() if count == most}
