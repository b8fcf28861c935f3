"""Which entry VMs a caller of a region is to use for routed requests."""

from bluebellbeam.membership import usable_members

__all__ = ["entry_addresses_for_region"]

MAX_ENTRIES = 64
"""Entry VMs named in one answer."""


PEER_DISCOVERY_MS = 3000
"""A daemon that has just started knows few others; until then it names none to
callers of a region in which it knows nobody."""


def entry_addresses_for_region(state, host, region, now_ms):
    """Return caller addresses of entry VMs for callers in `region`.

    Those of the region itself, as long as one is known to run there; else
    those of the regions where every route of the host may be served. Where
    these have none either, daemons of the region that are leaving still serve
    what is short; a body would be taken to a wrong region elsewhere. Last come
    the regions that may serve most routes.

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
    rows = _ready_rows(state)
    near = [address for place, address in rows if place == region]
    if not near and now_ms - state.started_ms < PEER_DISCOVERY_MS:
        return []
    if not near:
        near = _entries_elsewhere(state, host, region, rows)
    return sorted(near)[:MAX_ENTRIES]


def _ready_rows(state):
    """Return region and caller address of the daemons that take callers."""
    rows = [
        (row.region, row.caller_address)
        for row in usable_members(state.members)
        if row.status == "alive" and row.caller_address
        if row.name != state.identity.vm
    ]
    if state.ready and not state.leaving:
        rows.append((state.region, state.identity.caller_address))
    return rows


def _entries_elsewhere(state, host, region, rows):
    served, routes = _served_routes(state, host, {place for place, _ in rows})
    whole = {place for place, count in served.items() if count == routes}
    if not whole and (leaving := _leaving_addresses(state, region)):
        return leaving
    most = max(served.values(), default=0)
    chosen = whole or {place for place, count in served.items() if count == most}
    return [address for place, address in rows if place in chosen]


def _served_routes(state, host, regions):
    """Return how many routes of `host` each region may serve, and how many it has."""
    if state.config is None:
        return dict.fromkeys(regions, 0), 0
    bound = [route.home_regions for route in state.config.routes.of_host(host)]
    served = {
        region: sum(1 for homes in bound if not homes or region in homes)
        for region in regions
    }
    return served, len(bound)


def _leaving_addresses(state, region):
    """Return the callers' listeners of leaving daemons that still run there."""
    found = [
        row.caller_address
        for row in state.members.rows.values()
        if row.leaving and row.status == "alive" and row.region == region
        if row.caller_address
    ]
    if state.leaving and state.region == region:
        found.append(state.identity.caller_address)
    return found
