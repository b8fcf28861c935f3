"""Review of a configuration before it is published: errors, warnings and exit status.

An error is a fault for which :func:`decode_effective` refuses the configuration. A
warning is about a value that is valid but has no effect or contradicts another one. The
functions decide over data only; the command line reads the files.
"""

from typing import Literal

from msgspec import Struct
from returns.result import Failure, Success

from bluebellbeam.config.effective import decode_effective, merge_overlay
from bluebellbeam.config.fault import Fault, decode_document
from bluebellbeam.config.model import Base, Overlay
from bluebellbeam.routing.route_table import canonical_host

__all__ = [
    "Finding",
    "find_warnings",
    "make_finding",
    "review_documents",
    "review_status",
    "warn_about_attempts",
    "warn_about_caller_limits",
    "warn_about_calls",
    "warn_about_keys",
    "warn_about_quotas",
    "warn_about_regions",
    "warn_about_routes",
    "warn_about_services",
    "warn_about_times",
    "warn_about_warm_up",
]

Severity = Literal["error", "warning", "difference"]

EXIT_STATUS = {"error": 1, "warning": 2, "difference": 3}
"""Exit status by the most severe finding, which is the first of these."""

ID_HEADER_BYTES = len("\r\nX-Request-Id:1")
"""Size of the smallest header with the id of a request, which routed requests need.
The platform's header for it has a name of the same length."""

LISTED_NAMES = 3
"""Number of names that one finding lists; a deployment can have 5,900 workspaces."""


class Finding(Struct, frozen=True):
    """One result of a review.

    Parameters
    ----------
    severity : {"error", "warning", "difference"}
    document : str
        Name of the document.
    path : str
        JSON path of the value in the native configuration.
    message : str
        Description, with the value and its limit.
    advice : str
        Suggested correction, or the effect of a difference on callers.
    """

    severity: Severity
    document: str
    path: str
    message: str
    advice: str

    def __str__(self):
        text = f"{self.document}: {self.path}: {self.message}; {self.advice}"
        return f"{self.severity}: {text}"


def make_finding(severity, document, fault):
    """Return the :class:`Finding` for a :class:`Fault`."""
    return Finding(severity, document, fault.path, fault.message, fault.fix)


def review_status(findings):
    """Return the exit status for `findings`.

    Returns
    -------
    int
        0 without findings, 1 with an error, 2 with a warning and no error, 3 with
        differences only.
    """
    found = {item.severity for item in findings}
    return next((code for name, code in EXIT_STATUS.items() if name in found), 0)


def review_documents(base_raw, overlays_raw):
    """Return the base of valid documents, and the errors and warnings found.

    Parameters
    ----------
    base_raw : bytes
    overlays_raw : dict of str to bytes
        Overlay documents by name.

    Returns
    -------
    base : Base or None
        The base file as decoded, without overlays; None if there is an error.
    findings : list of Finding
        Errors if there are any, otherwise warnings. The document of a finding is
        ``base`` or the name of an overlay.
    """
    match decode_effective(base_raw, overlays_raw, ""):
        case Failure(faults):
            return None, [make_finding("error", name, fault) for name, fault in faults]
        case Success(_):
            base = decode_document(base_raw, Base).unwrap()
    found = find_warnings(base)
    known = set(found)
    findings = [make_finding("warning", "base", fault) for fault in found]
    for name, raw in sorted(overlays_raw.items()):
        merged = merge_overlay(base, decode_document(raw, Overlay).unwrap())
        findings.extend(
            make_finding("warning", name, fault)
            for fault in find_warnings(merged)
            if fault not in known
        )
    return base, findings


def find_warnings(base, with_keys=True):
    """Return the warnings about a valid `base`.

    Parameters
    ----------
    base : Base
    with_keys : bool
        Whether to include :func:`warn_about_keys`.

    Returns
    -------
    list of Fault
    """
    checks = (
        warn_about_routes,
        warn_about_regions,
        warn_about_services,
        warn_about_calls,
        warn_about_caller_limits,
        warn_about_times,
        warn_about_attempts,
        warn_about_quotas,
        warn_about_warm_up,
    )
    found = [fault for check in checks for fault in check(base)]
    return found + warn_about_keys(base) if with_keys else found


def warn_about_routes(base):
    """Return warnings about routes that no request can match.

    Notes
    -----
    The longest matching prefix decides, and a route always matches the path that
    equals its prefix, so a route with a covering prefix never hides another one. A
    second route with the same host and prefix is an error.
    """
    found = []
    for i, route in enumerate(base.routes):
        path = f"$.routes[{i}]"
        host = canonical_host(route.host)
        if not host:
            text = f"{_label(route)} has no host, so no request matches it"
            found.append(Fault(f"{path}.host", text, "name a host"))
        elif host != route.host:
            text = f"{_label(route)} never matches: hosts are looked up as '{host}'"
            fix = "write the host in lower case without a port"
            found.append(Fault(f"{path}.host", text, fix))
        if any(mark in route.path_prefix for mark in "?# \t\r\n"):
            text = f"{_label(route)} never matches: no path has such a character"
            fix = "leave out the query, the fragment and white space"
            found.append(Fault(f"{path}.path_prefix", text, fix))
        if route.workspace and route.workspace not in base.workspaces:
            text = f"{_label(route)} names unknown workspace '{route.workspace}'"
            fix = "its requests fail; declare the workspace"
            found.append(Fault(f"{path}.workspace", text, fix))
        total = sum(item.weight for item in route.services)
        for k, item in enumerate(route.services):
            if total > 0 and item.weight == 0:
                text = f"weight 0: {_label(route)} never uses '{item.service}'"
                fix = "give it a weight above 0 or remove it"
                found.append(Fault(f"{path}.services[{k}].weight", text, fix))
    return found


def warn_about_regions(base):
    """Return warnings about regions that cannot serve what names them."""
    found = []
    served = {domain.region for domain in base.failure_domains.values()}
    for name, model in base.models.items():
        for region, count in model.replicas.items():
            if count and region not in served:
                where = f"$.models.{name}.replicas.{region}"
                found.append(_unserved(where, region))
    for name, workspace in base.workspaces.items():
        path = f"$.workspaces.{name}"
        for field in ("allowed_regions", "home_regions"):
            for i, region in enumerate(getattr(workspace, field)):
                if region not in served:
                    found.append(_unserved(f"{path}.{field}[{i}]", region))
        for i, region in enumerate(workspace.home_regions):
            if region not in workspace.allowed_regions:
                text = f"home region '{region}' is not among its allowed regions"
                fix = "no request runs there; allow the region or remove it"
                found.append(Fault(f"{path}.home_regions[{i}]", text, fix))
    # Workspaces are grouped, since each of many routes serves all with a key.
    keyed = _group_by_regions(
        (name, item) for name, item in base.workspaces.items() if item.key_digests
    )
    for i, route in enumerate(base.routes):
        path = f"$.routes[{i}].home_regions"
        own = base.workspaces.get(route.workspace)
        groups = keyed if route.anonymous or not route.workspace else {}
        if own is not None and not (groups and own.key_digests):
            regions = workspace_regions(own)
            groups = groups | {regions: [*groups.get(regions, ()), route.workspace]}
        permitted = frozenset().union(*groups)
        for k, region in enumerate(route.home_regions):
            if region not in served:
                found.append(_unserved(f"{path}[{k}]", region))
            elif groups and region not in permitted:
                text = f"no workspace of {_label(route)} permits region '{region}'"
                fix = "no request runs there; permit the region or remove it"
                found.append(Fault(f"{path}[{k}]", text, fix))
        homes = frozenset(route.home_regions) or frozenset(base.regions)
        barred = [
            name
            for regions, names in groups.items()
            if not homes & regions
            for name in names
        ]
        if barred:
            text = f"{_label(route)} has no region in common with {_list_names(barred)}"
            fix = "its requests of them are rejected; permit a common region"
            found.append(Fault(path, text, fix))
    return found


def warn_about_services(base):
    """Return warnings about services that no route and no workspace names."""
    used = {item.service for route in base.routes for item in route.services}
    used.update(name for item in base.workspaces.values() for name in item.services)
    text = "no route and no workspace names the service"
    return [
        Fault(f"$.services.{name}", text, "add a route to it or remove it")
        for name in base.services
        if name not in used
    ]


def warn_about_calls(base):
    """Return warnings about calls of services that never match or have no effect.

    Notes
    -----
    A request may be repeated if any call that matches it is idempotent, so a
    non-idempotent call is without effect where an idempotent one covers it.
    """
    found = []
    for name, service in base.services.items():
        for i, call in enumerate(service.calls):
            path = f"$.services.{name}.calls[{i}]"
            if call.method != call.method.upper():
                text = f"method '{call.method}' never matches"
                found.append(Fault(f"{path}.method", text, "write it in upper case"))
            covering = [
                k
                for k, other in enumerate(service.calls)
                if other.idempotent
                and other.method == call.method
                and call.path_prefix.startswith(other.path_prefix)
            ]
            if not call.idempotent and covering:
                text = f"has no effect: idempotent call {covering[0]} covers its prefix"
                fix = "its requests may be repeated; narrow the prefix of the other"
                found.append(Fault(path, text, fix))
    return found


def warn_about_keys(base):
    """Return warnings about workspaces and routes that lack a key."""
    keyed = [name for name, item in base.workspaces.items() if item.key_digests]
    named = {route.workspace for route in base.routes}
    found = []
    if keyed:
        text = f"the workspace has no key, unlike {len(keyed)} others"
        fix = "no caller can use it; add a key or remove it"
        found.extend(
            Fault(f"$.workspaces.{name}.key_digests", text, fix)
            for name, item in base.workspaces.items()
            if not item.key_digests and name not in named
        )
    for i, route in enumerate(base.routes):
        if route.workspace:
            continue
        path = f"$.routes[{i}].workspace"
        if route.anonymous:
            text = f"{_label(route)} is anonymous but names no workspace"
            fix = "requests without a key get 401; name a workspace"
            found.append(Fault(path, text, fix))
        elif not keyed:
            text = f"{_label(route)} needs a key, and no workspace has one"
            fix = "its requests get 401; add keys or name a workspace"
            found.append(Fault(path, text, fix))
    return found


def warn_about_caller_limits(base):
    """Return warnings about limits that no request of a caller can meet."""
    limits = base.caller_limits
    found = []
    smallest = _smallest_head_bytes(base.routes)
    if limits.max_header_bytes < smallest:
        text = f"{limits.max_header_bytes} bytes; a head has at least {smallest}"
        fix = "every request gets 431; raise the limit"
        found.append(Fault("$.caller_limits.max_header_bytes", text, fix))
    else:
        for i, route in enumerate(base.routes):
            needed = _smallest_head_bytes([route])
            if limits.max_header_bytes < needed:
                text = (
                    f"a head for {_label(route)} has at least {needed} bytes; "
                    f"the limit is {limits.max_header_bytes}"
                )
                fix = "its requests get 431; raise caller_limits.max_header_bytes"
                found.append(Fault(f"$.routes[{i}].path_prefix", text, fix))
    if limits.max_body_bytes <= 0:
        text = f"{limits.max_body_bytes} bytes; a body has at least 1"
        fix = "requests with a body get 413; raise the limit"
        found.append(Fault("$.caller_limits.max_body_bytes", text, fix))
    for name in ("header_timeout_ms", "idle_timeout_ms"):
        value_ms = getattr(limits, name)
        if value_ms <= 0:
            text = f"{value_ms} ms; connections are closed at once"
            found.append(Fault(f"$.caller_limits.{name}", text, "use a value above 0"))
    return found


def warn_about_times(base):
    """Return warnings about objectives that a time-out makes unreachable."""
    found = []
    for i, route in enumerate(base.routes):
        for name in ("objective_ms", "pause_objective_ms"):
            value_ms = getattr(route, name)
            if value_ms > route.timeout_ms:
                text = (
                    f"{value_ms} ms exceeds the timeout_ms of {_label(route)}, "
                    f"{route.timeout_ms} ms"
                )
                fix = "requests end before it; raise the time-out or lower it"
                found.append(Fault(f"$.routes[{i}].{name}", text, fix))
    for name, service in base.services.items():
        if service.expected_ms > service.timeout_ms and service.calls:
            text = (
                f"{service.timeout_ms} ms is below the expected duration of a call, "
                f"{service.expected_ms:g} ms"
            )
            fix = "most calls end at the time-out; raise it"
            found.append(Fault(f"$.services.{name}.timeout_ms", text, fix))
    return found


def warn_about_attempts(base):
    """Return warnings about attempts that the retry budgets can never pay for."""
    policy = base.policy
    # The budgets of routes hold at most the slack, also with a single daemon.
    limit = max(1.0, policy.retry_slack) if policy.retry_slack else policy.retry_burst
    attempts = [
        (f"$.routes[{i}].max_attempts", route.max_attempts, limit)
        for i, route in enumerate(base.routes)
    ]
    if base.models or any(item.calls for item in base.services.values()):
        item = ("$.policy.max_attempts", policy.max_attempts, policy.retry_burst)
        attempts.append(item)
    found = []
    for path, count, largest in attempts:
        if count > 1 and policy.retry_share <= 0:
            text = f"{count} attempts with a retry_share of {policy.retry_share:g}"
            fix = "no retry is credited; raise policy.retry_share or allow one attempt"
            found.append(Fault(path, text, fix))
        elif count > 1 + largest:
            text = f"{count} attempts; the retry budget holds {largest:g} extra ones"
            fix = "lower it, or raise policy.retry_slack or retry_burst"
            found.append(Fault(path, text, fix))
    return found


def warn_about_quotas(base):
    """Return warnings about quotas that limit nothing or that no request fits."""
    named = {route.workspace for route in base.routes if route.workspace}
    found = []
    for name, item in base.workspaces.items():
        path = f"$.workspaces.{name}"
        rate, burst = item.rate_tokens_per_s, item.burst_tokens
        # Requests for models are also limited by a rate alone.
        if rate and not burst and (item.key_digests or name in named):
            text = f"rate {rate:g}/s without a burst limits no request of a route"
            fix = "state a burst"
            found.append(Fault(f"{path}.burst_tokens", text, fix))
        if burst and not rate:
            text = f"burst {burst:g} without a rate limits no request"
            fix = "state a rate"
            found.append(Fault(f"{path}.rate_tokens_per_s", text, fix))
        smallest = max(1, item.plain_request_tokens)
        if 0 < burst < smallest:
            text = f"burst {burst:g} is below the charge of one request, {smallest}"
            fix = "raise the burst to at least one request"
            found.append(Fault(f"{path}.burst_tokens", text, fix))
    return found


def warn_about_warm_up(base):
    """Return warnings about warm-up rates above the connection limit of a server."""
    found = []
    for name, item in base.services.items():
        if 0 < item.max_connections < item.warm_up_per_s:
            text = (
                f"{item.warm_up_per_s:g} requests/s to a cold server exceed its "
                f"{item.max_connections} connections"
            )
            fix = "lower the rate or raise max_connections"
            found.append(Fault(f"$.services.{name}.warm_up_per_s", text, fix))
    return found


def workspace_regions(workspace):
    """Return the regions in which routed requests of `workspace` may run."""
    allowed = frozenset(workspace.allowed_regions)
    homes = frozenset(workspace.home_regions)
    return allowed & homes if homes else allowed


def _group_by_regions(items):
    """Return the names of workspaces by the regions in which they may run."""
    groups = {}
    for name, workspace in items:
        groups.setdefault(workspace_regions(workspace), []).append(name)
    return groups


def _smallest_head_bytes(routes):
    """Return the size of the smallest head that a request for `routes` can have.

    It has a request line, a host and an id. Callers usually send more.
    """
    targets = [(route.path_prefix, route.host) for route in routes] or [("/", "a")]
    heads = (f"GET {path} HTTP/1.1\r\nHost:{host}" for path, host in targets)
    return min(len(head.encode()) for head in heads) + ID_HEADER_BYTES


def _unserved(path, region):
    text = f"no failure domain is in region '{region}'"
    return Fault(path, text, "add a failure domain there or remove the region")


def _label(route):
    return f"route '{route.name}' ({route.host}{route.path_prefix})"


def _list_names(names):
    shown = ", ".join(f"'{name}'" for name in names[:LISTED_NAMES])
    more = len(names) - LISTED_NAMES
    return f"workspaces {shown} and {more} more" if more > 0 else f"workspaces {shown}"
