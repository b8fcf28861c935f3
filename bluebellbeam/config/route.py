"""Data classes of routes, which map a host and path to services.

A route is selected by host and longest path prefix. It defines which requests may
be retried, their time-outs and the regions that may serve them.
"""

from typing import Literal

from msgspec import Struct, field

__all__ = ["CallerLimits", "Route", "RouteKind", "WeightedService"]

RouteKind = Literal["idempotent", "non_idempotent", "stream"]


class WeightedService(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service of a route.

    Parameters
    ----------
    service : str
    weight : float
        Share of the requests relative to the other services of the route.
    """

    service: str
    weight: float = 1.0


class Route(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A route from a host and path prefix to services.

    Parameters
    ----------
    name : str
    host : str
        Lower case, without a port.
    path_prefix : str
        Begins and ends with a slash.
    services : tuple of WeightedService
        Requests are distributed over them by weight.
    workspace : str
        Workspace whose regions and weight apply; empty for the workspace that the key
        of the caller belongs to.
    anonymous : bool
        Whether callers need no key, although the configuration has keys.
    kind : {"idempotent", "non_idempotent", "stream"}
    resumable : bool
        Whether an interrupted stream may be resumed at another backend server.
    timeout_ms : int
        Longest time until the response is complete.
    objective_ms : int
        Target for the time to the response, or to the first event of a stream.
    pause_objective_ms : int
        Target for the longest pause between two events of a stream; 0 for none.
    max_attempts : int
        Largest number of backend servers to which one request is sent.
    urgency : int
        Rank of its requests; 0 is the most urgent.
    home_regions : tuple of str
        Regions that may serve it; empty for every region of the workspace.
    shares_prompts : bool
        Whether its requests list the parts of their prompt, so that a common prefix
        can be recognised.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    workspace: str = ""
    anonymous: bool = False
    kind: RouteKind = "non_idempotent"
    resumable: bool = False
    timeout_ms: int = 30_000
    objective_ms: int = 1000
    pause_objective_ms: int = 0
    max_attempts: int = 1
    urgency: int = 0
    home_regions: tuple[str, ...] = ()
    shares_prompts: bool = False

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        return self.kind == "idempotent" or (self.kind == "stream" and self.resumable)


class CallerLimits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits on the requests and connections of callers.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest size of the head and of the body of a request.
    header_timeout_ms : int
        Longest time for a caller to send a request.
    idle_timeout_ms : int
        Time after which an idle connection is closed.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = field(default=16 * 1024 * 1024)
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 30_000
