"""Selection of a route by host and longest path prefix, and of a service."""

from bluebellbeam.utils.hashing import hash_text

__all__ = ["RouteTable", "choose_service", "make_route_table", "match_route"]


class RouteTable:
    """Routes by host, longest prefix first.

    Attributes
    ----------
    hosts : dict of str to dict of str to Route
        Routes of each host by path prefix.
    """

    __slots__ = ("hosts",)

    def __init__(self, routes):
        self.hosts = {}
        for route in routes:
            self.hosts.setdefault(route.host, {})[route.path_prefix] = route

    def routes_for_host(self, host):
        """Return the routes of `host`."""
        return self.hosts.get(canonical_host(host), {}).values()


def canonical_host(host):
    """Return `host` in lower case, without a port or a final dot, as in the routes."""
    return host.partition(":")[0].lower().rstrip(".")


def make_route_table(routes):
    """Return the table of `routes`."""
    return RouteTable(routes)


def match_route(table, host, path):
    """Return the :class:`Route` for a request, or None.

    Parameters
    ----------
    table : RouteTable
    host : str
        Host of the request; a port is ignored, and so is the case of letters.
    path : str
        Path of the request without its query.

    Notes
    -----
    Route prefixes end with a slash, so only the prefixes of `path` that end with
    a slash are looked up; the cost grows with the depth of the path alone.
    """
    routes = table.hosts.get(canonical_host(host))
    if not routes:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = routes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def choose_service(route, request_id):
    """Return the service for a request, chosen at random by weight.

    The choice is a hash of the request's id, so every daemon that handles the
    same request sends it to the same service.
    """
    total = sum(item.weight for item in route.services)
    if total <= 0:
        return route.services[0].service
    left = hash_text(f"service\x00{request_id}") / 2.0**64 * total
    for item in route.services:
        left -= item.weight
        if left < 0:
            return item.service
    return route.services[-1].service
