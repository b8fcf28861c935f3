"""Data classes of a deployment's configuration.

Every class is a `msgspec.Struct` decoded directly from JSON. Unknown fields are
rejected. The suffix of a field name gives its unit.
"""

from typing import Literal

from msgspec import Struct, field

from bluebellbeam.config.route import CallerLimits, Route

__all__ = [
    "Adapter",
    "Base",
    "Call",
    "Deadlines",
    "FailureDomain",
    "Model",
    "Objective",
    "Overlay",
    "Policy",
    "Region",
    "Service",
    "Site",
    "Workspace",
    "WorkspaceOverlay",
]

Priority = Literal["interactive", "batch"]


class Region(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A region with its prices and network delays.

    Parameters
    ----------
    price_per_1k_tokens : float
        Price of a thousand computed tokens.
    wan_price_per_1k_tokens : float
        Price of a thousand tokens transferred from another region.
    one_way_delay_ms : dict of str to float
        Expected one-way delay to each other region.
    """

    price_per_1k_tokens: float = 1.0
    wan_price_per_1k_tokens: float = 0.2
    one_way_delay_ms: dict[str, float] = field(default_factory=dict)


class FailureDomain(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A set of VMs in one region that can fail together."""

    region: str


class Site(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A location in one region at which callers connect."""

    region: str


class Model(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model, its current version and its expected speed on one replica.

    Parameters
    ----------
    version : str
        Version that replicas should load.
    weights_mb : int
        Size of the weights that a replica loads from the weight store.
    prefill_tokens_per_s : float
        Uncached prompt tokens that one replica computes each second.
    inter_token_ms : float
        Time between two tokens of a stream when the batch is full.
    replicas : dict of str to int
        Number of replicas to run in each region.
    """

    version: str
    weights_mb: int = 1000
    prefill_tokens_per_s: float = 4000.0
    inter_token_ms: float = 30.0
    replicas: dict[str, int] = field(default_factory=dict)


class Adapter(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An adapter of a model, which callers can request by name like a model.

    Parameters
    ----------
    model : str
        Model that the adapter modifies.
    version : str
        Version that replicas of the model should load.
    """

    model: str
    version: str


class Call(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A call of a plain service, matched by method and path prefix.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    path_prefix : str
    idempotent : bool
        Whether the call may be repeated.
    """

    method: str
    path_prefix: str = "/"
    idempotent: bool = False


class Service(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plain service and its calls.

    Parameters
    ----------
    calls : tuple of Call
        A call that matches no entry is non-idempotent.
    expected_ms : float
        Expected time of a call at a backend server.
    timeout_ms : int
        Upper limit on the deadline of a call; see :class:`Deadlines`.
    health_path : str
        Path of the health check of its backend servers.
    max_connections : int
        Connections that one backend server accepts from all its clients together;
        0 for no limit.
    warm_up_per_s : float
        Requests per second that a cold backend server can handle; 0 if servers
        need no warm-up.
    prefill_tokens_per_s : float
        Prompt tokens that one backend server is expected to compute each second;
        0 for a service without prompts.
    """

    calls: tuple[Call, ...] = ()
    expected_ms: float = 20.0
    timeout_ms: int = 5000
    health_path: str = "/health"
    max_connections: int = 0
    warm_up_per_s: float = 0.0
    prefill_tokens_per_s: float = 0.0


class Deadlines(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Deadlines by kind of request, counted from its arrival.

    Parameters
    ----------
    interactive_ms, batch_ms : int
        For the first token of an interactive or batch request.
    service_ms : int
        For the response of a plain service.
    """

    interactive_ms: int = 10_000
    batch_ms: int = 120_000
    service_ms: int = 5_000


class Workspace(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A workspace: its share of the capacity, its regions and its limits.

    Parameters
    ----------
    weight : float
        Share of capacity relative to the other workspaces. If it is 1 and the workspace
        has keys and a rate, its rate relative to the mean of such workspaces.
    home_region : str or None
        Region that is preferred while it can serve the workspace.
    allowed_regions : tuple of str
        Regions whose backend servers may process the data of the workspace.
    borrow_slots : int
        Largest number of engine slots that it may use in other regions at one time.
    models, services : tuple of str
        Models, including adapters, and services that the workspace may request.
    rate_tokens_per_s : float
        Long-run limit on tokens per second over all daemons; 0 for no limit.
    burst_tokens : float
        Tokens that may be used at once beyond the rate. Above 0, the limit is kept by
        ledgers that the daemons of a region share; see `admission/quota.py`.
    plain_request_tokens : int
        Tokens charged for a request that does not state its number of tokens.
    quota_unit : {"token", "request"}
        What the rate and the burst count.
    key_digests : tuple of str
        SHA-256 digest of each caller key, in lower-case hexadecimal.
    urgency : int or None
        Rank of its requests, which takes precedence over the urgency of their route; 0
        is the most urgent. None leaves the rank to the route.
    home_regions : tuple of str
        Regions that may serve routed requests of the workspace; empty for every allowed
        region.
    priority : {"interactive", "batch"}
        ``batch`` applies to all its requests for models; with ``interactive``, a
        request may still select ``batch``.
    deadlines : Deadlines
    """

    weight: float = 1.0
    home_region: str | None = None
    allowed_regions: tuple[str, ...]
    borrow_slots: int = 0
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    rate_tokens_per_s: float = 0.0
    burst_tokens: float = 0.0
    plain_request_tokens: int = 0
    quota_unit: Literal["token", "request"] = "token"
    key_digests: tuple[str, ...] = ()
    urgency: int | None = None
    home_regions: tuple[str, ...] = ()
    priority: Priority = "interactive"
    deadlines: Deadlines = field(default_factory=Deadlines)


class Objective(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Weights that combine latency, cost and use of other regions into one score.

    Parameters
    ----------
    latency_weight : float
        Weight of the expected time to first token.
    cost_ms_per_unit : float
        Additional wait in ms that is accepted to save one unit of money.
    away_penalty_ms : float
        Additional wait in ms that is accepted to keep a request in its region.
    hedge_share : float
        Largest share of idempotent service calls that may be hedged, which sends a
        second attempt before the first has ended.
    """

    latency_weight: float = 1.0
    cost_ms_per_unit: float = 100.0
    away_penalty_ms: float = 200.0
    hedge_share: float = 0.02


class Policy(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Intervals, limits and time-outs of a daemon.

    Parameters
    ----------
    probe_interval_ms : int
        Interval of the membership probes (SWIM) of a daemon.
    suspect_timeout_ms : int
        Time after which a suspected member is declared dead.
    load_interval_ms : int
        Shortest interval of the health checks of one backend server.
    load_polls_per_s : float
        Largest rate of health checks of a daemon to all its servers together.
    stale_list_ms : int
        Time since the source of the server list last responded to any daemon after
        which listed servers need health checks as well; 0 for never.
    stale_check_ms : int
        Interval of these health checks.
    confirm_ms : int
        Time since the last response of a backend server after which it needs a
        health check before use.
    subset_size : int
        Target number of backend servers of each kind that a daemon uses.
    entry_ttl_ms : int
        Time for which callers may use a list of entry VMs.
    queue_slack : float
        Requests that may wait at a backend server, as a share of its slots.
    lease_ms : int
        Duration of a lease of capacity to another region.
    pause_ms : int
        Time without a tick after which a daemon treats itself as having been
        paused and discards its leases and observed state.
    retry_share : float
        Extra attempts credited to the retry budget for each request.
    retry_burst : float
        Largest number of extra attempts in the retry budget of a daemon.
    retry_slack : float
        Largest number of extra attempts in the retry budgets of all daemons
        together for one service of routes; it is divided between the daemons.
    leave_linger_ms : int
        Shortest time between the announcement of a leave and the end of the
        process; callers that have not yet received it are still served.
    leave_grace_ms : int
        Time after which a leaving daemon aborts requests that still run; 0 for
        never.
    max_attempts : int
        Largest number of attempts for one request without a route.
    eject_failures : int
        Consecutive failures after which a backend server is ejected.
    eject_ms : int
        Mean duration of the first ejection; it doubles with each further one, up to
        a limit.
    eject_floor : float
        Smallest share of the servers of a pool that is not ejected.
    operation_ttl_ms : int
        Time for which an operation id is valid.
    max_operations : int
        Largest number of operations recorded by one daemon.
    max_queue : int
        Largest number of requests waiting in one pool of a daemon.
    watchers_per_domain : int
        Daemons of each failure domain that watch a feed of the platform.
    weight_store_loads : int
        Number of engines of a region that may load weights at the same time; it is
        divided between the daemons, each of which may always have one.
    """

    probe_interval_ms: int = 1000
    suspect_timeout_ms: int = 4000
    load_interval_ms: int = 250
    load_polls_per_s: float = 24.0
    stale_list_ms: int = 0
    stale_check_ms: int = 150
    confirm_ms: int = 2500
    subset_size: int = 32
    entry_ttl_ms: int = 15_000
    queue_slack: float = 0.25
    lease_ms: int = 3000
    pause_ms: int = 2500
    retry_share: float = 0.1
    retry_burst: float = 10.0
    retry_slack: float = 0.0
    leave_linger_ms: int = 500
    leave_grace_ms: int = 0
    max_attempts: int = 3
    eject_failures: int = 3
    eject_ms: int = 5000
    eject_floor: float = 0.5
    operation_ttl_ms: int = 300_000
    max_operations: int = 50_000
    max_queue: int = 2000
    watchers_per_domain: int = 1
    weight_store_loads: int = 2


class Base(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The base file of a deployment, common to all sites.

    Dictionaries are keyed by name; the classes of their values describe the rest.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    routes : tuple of Route
        Routes from hosts and paths to services.
    caller_limits : CallerLimits
        Limits on the requests and connections of callers.
    objective : Objective
        Default objective; an overlay may replace it.
    policy : Policy
    """

    deployment: str
    regions: dict[str, Region]
    failure_domains: dict[str, FailureDomain]
    sites: dict[str, Site]
    models: dict[str, Model] = field(default_factory=dict)
    adapters: dict[str, Adapter] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    routes: tuple[Route, ...] = ()
    caller_limits: CallerLimits = field(default_factory=CallerLimits)
    objective: Objective = field(default_factory=Objective)
    policy: Policy = field(default_factory=Policy)


class WorkspaceOverlay(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Values of a workspace that a site may change; None keeps the base value."""

    allowed_regions: tuple[str, ...] | None = None
    borrow_slots: int | None = None
    rate_tokens_per_s: float | None = None
    deadlines: Deadlines | None = None


class Overlay(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The overlay file of one site.

    Parameters
    ----------
    site : str
        Site that the overlay applies to.
    objective : Objective or None
        Replaces the whole objective of the base file; None keeps it.
    workspaces : dict of str to WorkspaceOverlay
        Changes by workspace.
    """

    site: str
    objective: Objective | None = None
    workspaces: dict[str, WorkspaceOverlay] = field(default_factory=dict)
