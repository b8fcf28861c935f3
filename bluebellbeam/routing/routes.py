"""Selection of a route by host and longest path prefix, and of its service."""

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

    def of_host(self, host):
        """Return the routes of `host`."""
        return self.hosts.get(plain_host(host), {}).values()


def plain_host(host):
    """Return a host as routes name it: without port, in lower case."""
    return host.partition(":")[0].lower()


def make_route_table(routes):
    """Return the table of `routes`."""
    return RouteTable(routes)


def match_route(table, host, path):
    """Return the :class:`Route` for a request, or None.

    Parameters
    ----------
    table : RouteTable
    host : str
        As in the request; a port and the case of letters do not matter.
    path : str
        Without the query.

    Notes
    -----
    Prefixes end with a slash, so the candidates are the prefixes of `path`
    that end there; the cost grows with the depth of the path alone.
    """
    routes = table.hosts.get(plain_host(host))
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
    """Return the service for a request, drawn by weight.

    The draw hashes the request's id, so that every daemon that sees the same
    request sends it to the same service.
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
