"""Validation of a configuration beyond the types of its fields."""

import re

from bluebellbeam.config.fault import Fault, nearest_name

__all__ = ["check_base", "check_deployment", "check_overlay", "check_workspaces"]

_DIGEST = re.compile(r"[0-9a-f]{64}")


def check_base(base):
    """Return the faults of `base` that decoding does not detect.

    Parameters
    ----------
    base : Base

    Returns
    -------
    list of Fault
    """
    return check_deployment(base) + check_workspaces(base, base.workspaces)


def check_deployment(base):
    """Return the faults of `base` other than those of its workspaces."""
    faults = []
    _check_regions(base, faults)
    _check_models(base, faults)
    _check_routes(base, faults)
    _check_objective(base.objective, "$.objective", faults)
    _check_policy(base.policy, faults)
    return faults


def check_workspaces(base, workspaces):
    """Return the faults of `workspaces`, including names that `base` lacks."""
    faults = []
    for name, workspace in workspaces.items():
        _check_workspace(base, name, workspace, faults)
    return faults


def check_overlay(base, overlay):
    """Return the faults of `overlay` when applied to `base`.

    An overlay may restrict the allowed regions and the borrow limit of a workspace;
    extending either is a fault.
    """
    faults = []
    _check_name(overlay.site, base.sites, "$.site", "site", faults)
    if overlay.objective is not None:
        _check_objective(overlay.objective, "$.objective", faults)
    for name, change in overlay.workspaces.items():
        path = f"$.workspaces.{name}"
        if not _check_name(name, base.workspaces, path, "workspace", faults):
            continue
        _check_narrowing(base.workspaces[name], change, path, faults)
    return faults


def _check_name(name, declared, path, kind, faults):
    if name in declared:
        return True
    nearest = nearest_name(name, declared)
    fix = f"did you mean '{nearest}'?" if nearest else f"declare the {kind} first"
    faults.append(Fault(path, f"unknown {kind} '{name}'", fix))
    return False


def _check_regions(base, faults):
    if not base.regions:
        faults.append(Fault("$.regions", "no region", "declare at least one region"))
    for name, domain in base.failure_domains.items():
        path = f"$.failure_domains.{name}.region"
        _check_name(domain.region, base.regions, path, "region", faults)
    for name, site in base.sites.items():
        path = f"$.sites.{name}.region"
        _check_name(site.region, base.regions, path, "region", faults)
    for name, region in base.regions.items():
        for other, delay_ms in region.one_way_delay_ms.items():
            path = f"$.regions.{name}.one_way_delay_ms.{other}"
            _check_name(other, base.regions, path, "region", faults)
            _check_minimum(delay_ms, 0, path, faults)


def _check_models(base, faults):
    for name, model in base.models.items():
        path = f"$.models.{name}"
        _check_positive(model.prefill_tokens_per_s, path, faults)
        _check_positive(model.inter_token_ms, path, faults)
        for region, count in model.replicas.items():
            where = f"{path}.replicas.{region}"
            _check_name(region, base.regions, where, "region", faults)
            _check_minimum(count, 0, where, faults)
    for name, adapter in base.adapters.items():
        path = f"$.adapters.{name}"
        _check_name(adapter.model, base.models, f"{path}.model", "model", faults)
        if name in base.models:
            faults.append(
                Fault(path, "an adapter has a model's name", "rename the adapter")
            )


def _check_routes(base, faults):
    seen = set()
    for i, route in enumerate(base.routes):
        path = f"$.routes[{i}]"
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            fix = "begin and end it with a slash"
            faults.append(Fault(f"{path}.path_prefix", f"'{prefix}' is no prefix", fix))
        if (route.host, prefix) in seen:
            fix = "give each host and prefix one route"
            faults.append(Fault(path, "another route has its host and prefix", fix))
        seen.add((route.host, prefix))
        if not route.services:
            faults.append(Fault(f"{path}.services", "no service", "name one"))
        for k, item in enumerate(route.services):
            where = f"{path}.services[{k}]"
            _check_name(item.service, base.services, where, "service", faults)
            _check_minimum(item.weight, 0, where, faults)
        for k, region in enumerate(route.home_regions):
            where = f"{path}.home_regions[{k}]"
            _check_name(region, base.regions, where, "region", faults)
        _check_positive(route.timeout_ms, f"{path}.timeout_ms", faults)
        _check_positive(route.max_attempts, f"{path}.max_attempts", faults)


def _check_workspace(base, name, workspace, faults):
    path = f"$.workspaces.{name}"
    _check_positive(workspace.weight, f"{path}.weight", faults)
    _check_minimum(workspace.borrow_slots, 0, f"{path}.borrow_slots", faults)
    _check_minimum(workspace.rate_tokens_per_s, 0, f"{path}.rate_tokens_per_s", faults)
    if not workspace.allowed_regions:
        faults.append(
            Fault(
                f"{path}.allowed_regions", "no region is allowed", "name at least one"
            )
        )
    for i, region in enumerate(workspace.allowed_regions):
        where = f"{path}.allowed_regions[{i}]"
        _check_name(region, base.regions, where, "region", faults)
    home = workspace.home_region
    if home is not None and home not in workspace.allowed_regions:
        faults.append(
            Fault(
                f"{path}.home_region",
                f"home region '{home}' is not allowed",
                "add it to allowed_regions or choose another home",
            )
        )
    for i, region in enumerate(workspace.home_regions):
        where = f"{path}.home_regions[{i}]"
        _check_name(region, base.regions, where, "region", faults)
    _check_minimum(workspace.burst_tokens, 0, f"{path}.burst_tokens", faults)
    where = f"{path}.plain_request_tokens"
    _check_minimum(workspace.plain_request_tokens, 0, where, faults)
    for i, digest in enumerate(workspace.key_digests):
        if not _DIGEST.fullmatch(digest):
            text = "not a SHA-256 digest in lower-case hexadecimal"
            fix = "give the digest of the key, never the key"
            faults.append(Fault(f"{path}.key_digests[{i}]", text, fix))
    callable_names = base.models.keys() | base.adapters.keys()
    for i, model in enumerate(workspace.models):
        where = f"{path}.models[{i}]"
        _check_name(model, callable_names, where, "model or adapter", faults)
    for i, service in enumerate(workspace.services):
        where = f"{path}.services[{i}]"
        _check_name(service, base.services, where, "service", faults)


def _check_narrowing(workspace, change, path, faults):
    if change.allowed_regions is not None:
        for i, region in enumerate(change.allowed_regions):
            if region not in workspace.allowed_regions:
                faults.append(
                    Fault(
                        f"{path}.allowed_regions[{i}]",
                        f"region '{region}' widens where data may go",
                        "an overlay may only narrow; change the base file",
                    )
                )
    if change.borrow_slots is not None:
        limit = workspace.borrow_slots
        if not 0 <= change.borrow_slots <= limit:
            faults.append(
                Fault(
                    f"{path}.borrow_slots",
                    f"{change.borrow_slots} is outside 0..{limit}",
                    "an overlay may only lower the borrow limit",
                )
            )


def _check_objective(objective, path, faults):
    for name in ("latency_weight", "cost_ms_per_unit", "away_penalty_ms"):
        _check_minimum(getattr(objective, name), 0, f"{path}.{name}", faults)
    if not 0 <= objective.hedge_share <= 0.2:
        faults.append(
            Fault(f"{path}.hedge_share", "outside 0..0.2", "use a share up to 0.2")
        )


def _check_policy(policy, faults):
    for name in ("probe_interval_ms", "load_interval_ms", "lease_ms", "max_attempts"):
        _check_positive(getattr(policy, name), f"$.policy.{name}", faults)
    if policy.suspect_timeout_ms < policy.probe_interval_ms:
        faults.append(
            Fault(
                "$.policy.suspect_timeout_ms",
                "shorter than probe_interval_ms",
                "allow at least one probe",
            )
        )


def _check_positive(number, path, faults):
    if number <= 0:
        faults.append(Fault(path, f"{number} is not positive", "use a value above 0"))


def _check_minimum(number, minimum, path, faults):
    if number < minimum:
        faults.append(Fault(path, f"{number} is too small", f"use at least {minimum}"))
