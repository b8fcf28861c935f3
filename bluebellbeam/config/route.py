"""Data classes of routes: which service a caller's path leads to, and how.

A route is selected by host and longest path prefix. It says what may be
repeated, how long a caller is kept waiting and where its requests may go.
"""

from typing import Literal

from msgspec import Struct, field

__all__ = ["CallerLimits", "Route", "RouteKind", "WeightedService"]

RouteKind = Literal["idempotent", "non_idempotent", "stream"]


class WeightedService(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One of the services of a route and its share of the requests."""

    service: str
    weight: float = 1.0


class Route(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A route from a host and path prefix to services.

    Parameters
    ----------
    host : str
        Lower case, without a port.
    path_prefix : str
        Begins and ends with a slash.
    services : tuple of WeightedService
        The weights share the requests out.
    workspace : str
        Workspace whose regions and weight apply.
    kind : {"idempotent", "non_idempotent", "stream"}
    resumable : bool
        Whether a broken stream may go on at another backend server.
    timeout_ms : int
        Longest time for which a caller is kept waiting for the whole answer.
    objective_ms : int
        Time within which an answer, or the first event, is on time.
    pause_objective_ms : int
        Longest pause between two events of a stream that is on time; 0 for
        any.
    max_attempts : int
        Backend servers to which one request may be sent.
    urgency : int
        0 is the most urgent.
    home_regions : tuple of str
        Regions that may serve it; empty for every region of the workspace.
    shares_prompts : bool
        Whether its requests name the parts of their prompt.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    workspace: str
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
    """Bounds on what a caller may send and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = field(default=16 * 1024 * 1024)
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 30_000
