"""Time that requests take, and whether one can end before this process does."""

from bluebellbeam.routing import match_route

__all__ = ["may_be_cut_off", "record_request_time"]

WINDOW_MS = 30_000
"""Time over which the longest request of a route is kept, up to twice as long."""

TIME_FACTOR = 1.5
"""Allowance for requests that take longer than all recent ones."""

MIN_TIME_MS = 300
"""Shortest time that a request is expected to take."""

MAX_ROUTES = 10_000
"""Largest number of routes whose times are kept."""


class RouteTimes:
    """Longest recent requests of a route.

    Attributes
    ----------
    since_ms : int
        Start of the current window.
    longest_ms, before_ms : int
        Time from arrival to end of the longest request in this window and in the one
        before.
    """

    __slots__ = ("since_ms", "longest_ms", "before_ms")

    def __init__(self, since_ms):
        self.since_ms = since_ms
        self.longest_ms = 0
        self.before_ms = 0


def record_request_time(state, request, now_ms):
    """Record how long a routed request took that has just been answered."""
    if request.route is None or request.route.kind == "stream":
        return
    name = request.route.name
    times = state.route_times.get(name)
    if times is None:
        if len(state.route_times) >= MAX_ROUTES:
            state.route_times.clear()
        times = state.route_times[name] = RouteTimes(now_ms)
    elapsed_ms = now_ms - times.since_ms
    if elapsed_ms >= WINDOW_MS:
        is_adjacent = elapsed_ms < 2 * WINDOW_MS
        times.before_ms = times.longest_ms if is_adjacent else 0
        times.since_ms, times.longest_ms = now_ms, 0
    times.longest_ms = max(times.longest_ms, now_ms - request.arrival_ms)


def may_be_cut_off(state, request, now_ms):
    """Return whether a request may still run at a server when this process exits.

    That is asked after the policy's `leave_linger_ms` only: until then callers are
    not aware of the shutdown. Nobody knows in advance how long a stream takes, so
    each one may be.
    """
    policy = state.policy
    if not state.leaving or now_ms - state.leaving_ms < policy.leave_linger_ms:
        return False
    route = request.route
    if route is None and request.host:
        route = match_route(state.config.routes, request.host, request.path)
    if route is None:
        return False
    if route.kind == "stream":
        return True
    if not policy.leave_grace_ms:
        return False
    left_ms = state.leaving_ms + policy.leave_grace_ms - now_ms
    return left_ms < _expected_ms(state, request, route, now_ms)


def _expected_ms(state, request, route, now_ms):
    """Return the longest time that a request is expected to take from now on."""
    end_ms = request.response_deadline_ms or now_ms + route.timeout_ms
    limit_ms = min(route.timeout_ms, end_ms - now_ms)
    times = state.route_times.get(route.name)
    if times is not None:
        longest_ms = max(times.longest_ms, times.before_ms)
        return min(limit_ms, max(MIN_TIME_MS, TIME_FACTOR * longest_ms))
    # An outcome that is not known costs the caller of such a request most.
    return limit_ms if not route.repeatable else min(limit_ms, route.objective_ms)
