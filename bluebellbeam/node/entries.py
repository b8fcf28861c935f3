"""Selection of entry VMs for the routed requests of callers in a region."""

from bluebellbeam.membership import usable_members

__all__ = ["entry_addresses_for_region"]

MAX_ENTRIES = 64
"""Maximum number of entry VMs listed in one response."""


PEER_DISCOVERY_MS = 3000
"""Time after the start of a daemon in which it discovers its peers. Until then it
lists no entry VMs of other regions, since those of the caller's own region may not
have been discovered yet."""


def entry_addresses_for_region(state, host, region, now_ms):
    """Return the caller addresses of entry VMs for callers in `region`.

    The addresses come from the first of these groups that is not empty:

    1. ready entry VMs of the region itself;
    2. entry VMs of regions that may serve every route of the host;
    3. entry VMs of the region that are shutting down: they still serve short
       calls, while in another region a request body would reach a region that
       its route does not allow;
    4. entry VMs of the regions that may serve the most routes of the host.

    Parameters
    ----------
    state : NodeState
    host : str
        Host that the caller sends requests to.
    region : str
        Region of the caller.
    now_ms : int

    Returns
    -------
    list of str
        At most `MAX_ENTRIES` addresses, sorted; empty while the peers are not
        known yet.
    """
    entries = _ready_entries(state)
    addresses = [address for row_region, address in entries if row_region == region]
    if not addresses and now_ms - state.started_ms < PEER_DISCOVERY_MS:
        return []
    if not addresses:
        addresses = _addresses_in_other_regions(state, host, region, entries)
    return sorted(addresses)[:MAX_ENTRIES]


def _ready_entries(state):
    """Return the region and caller address of each entry VM that accepts requests."""
    entries = [
        (row.region, row.caller_address)
        for row in usable_members(state.members)
        if row.status == "alive" and row.caller_address
        if row.name != state.identity.vm
    ]
    if state.ready and not state.leaving:
        entries.append((state.region, state.identity.caller_address))
    return entries


def _addresses_in_other_regions(state, host, region, entries):
    """Return addresses of the groups 2 to 4; see :func:`entry_addresses_for_region`."""
    served, routes = _served_routes(
        state, host, {row_region for row_region, _ in entries}
    )
    complete = {row_region for row_region, count in served.items() if count == routes}
    if not complete and (leaving := _leaving_addresses(state, region)):
        return leaving
    most = max(served.values(), default=0)
    chosen = complete or {
        row_region for row_region, count in served.items() if count == most
    }
    return [address for row_region, address in entries if row_region in chosen]


def _served_routes(state, host, regions):
    """Return how many routes of `host` each region may serve, and their total.

    Returns
    -------
    served : dict of str to int
        By region.
    total : int
    """
    if state.config is None:
        return dict.fromkeys(regions, 0), 0
    home_regions = [
        route.home_regions for route in state.config.routes.routes_for_host(host)
    ]
    served = {
        region: sum(1 for allowed in home_regions if not allowed or region in allowed)
        for region in regions
    }
    return served, len(home_regions)


def _leaving_addresses(state, region):
    """Return the caller addresses of daemons in `region` that are shutting down."""
    addresses = [
        row.caller_address
        for row in state.members.rows.values()
        if row.leaving and row.status == "alive" and row.region == region
        if row.caller_address
    ]
    if state.leaving and state.region == region:
        addresses.append(state.identity.caller_address)
    return addresses
