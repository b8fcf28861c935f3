"""Differences between two valid configurations and their effects on callers."""

import msgspec

from bluebellbeam.config.fault import Fault
from bluebellbeam.config.review import workspace_regions

__all__ = [
    "added_and_removed",
    "compare_bases",
    "compare_caller_limits",
    "compare_policies",
    "compare_routes",
    "compare_services",
    "compare_workspaces",
    "region_changes",
]


def compare_bases(before, after):
    """Return what differs between two bases, by entry.

    Parameters
    ----------
    before, after : Base

    Returns
    -------
    list of Fault
        The `fix` of each is its effect on callers.
    """
    found = []
    if before.deployment != after.deployment:
        text = _change("deployment", before.deployment, after.deployment)
        found.append(Fault("$.deployment", text, "no effect on callers"))
    for field in ("regions", "failure_domains", "sites", "models", "adapters"):
        found.extend(_compare_named(field, before, after))
    found.extend(compare_services(before, after))
    found.extend(compare_routes(before, after))
    found.extend(compare_workspaces(before, after))
    found.extend(compare_caller_limits(before, after))
    found.extend(compare_policies(before, after))
    return found


def added_and_removed(old, new):
    """Return the sorted names that only `new` has, and those that only `old` has."""
    return sorted(new.keys() - old.keys()), sorted(old.keys() - new.keys())


def region_changes(old_regions, new_regions):
    """Return the sorted regions that were added, and those that were removed."""
    old, new = set(old_regions), set(new_regions)
    return sorted(new - old), sorted(old - new)


def compare_routes(before, after):
    """Return the differences of the routes, matched by host and prefix."""
    old = {(route.host, route.path_prefix): route for route in before.routes}
    new = {(route.host, route.path_prefix): route for route in after.routes}
    added, removed = added_and_removed(old, new)
    found = []
    for key in removed:
        fallback = _covering_route(new, key)
        effect = (
            f"its requests use route '{fallback.name}'"
            if fallback
            else "its requests get 404"
        )
        found.append(Fault(_route_path(key), f"route '{old[key].name}' gone", effect))
    for key in added:
        covering = _covering_route(old, key)
        effect = (
            f"requests that used route '{covering.name}' use it"
            if covering
            else "requests that got 404 use it"
        )
        found.append(Fault(_route_path(key), f"route '{new[key].name}' added", effect))
    for key in sorted(old.keys() & new.keys()):
        found.extend(_compare_route(_route_path(key), old[key], new[key]))
    return found


def compare_workspaces(before, after):
    """Return the differences of the workspaces: keys, quotas, regions and the rest.

    Keys are counted and never shown, nor are their digests.
    """
    old, new = before.workspaces, after.workspaces
    owners = {digest: name for name, item in new.items() for digest in item.key_digests}
    added, removed = added_and_removed(old, new)
    found = []
    for name in removed:
        path = f"$.workspaces.{name}"
        found.append(Fault(path, "workspace gone", "its requests are rejected"))
        found.extend(_compare_keys(name, old[name].key_digests, (), owners))
    for name in added:
        count = len(new[name].key_digests)
        text = f"workspace added with {_keys(count)}"
        found.append(Fault(f"$.workspaces.{name}", text, "its requests are accepted"))
    for name in sorted(old.keys() & new.keys()):
        if old[name] != new[name]:
            found.extend(_compare_workspace(name, old[name], new[name], owners))
    return found


def compare_services(before, after):
    """Return the differences of the services."""
    return _compare_named("services", before, after)


def compare_caller_limits(before, after):
    """Return the differences of the limits on requests and connections."""
    found = []
    old, new = before.caller_limits, after.caller_limits
    for name, was, now in _changed_fields(old, new):
        lowered, raised = _LIMIT_EFFECTS[name]
        effect = lowered if now < was else raised
        path = f"$.caller_limits.{name}"
        found.append(Fault(path, _change(name, was, now), effect))
    return found


_LIMIT_EFFECTS = {
    "max_header_bytes": (
        "requests with larger heads get 431",
        "requests with larger heads are accepted",
    ),
    "max_body_bytes": (
        "requests with larger bodies get 413",
        "requests with larger bodies are accepted",
    ),
    "header_timeout_ms": (
        "callers that send more slowly are cut off",
        "callers that send more slowly are accepted",
    ),
    "idle_timeout_ms": (
        "idle connections are closed earlier",
        "idle connections are kept longer",
    ),
}
"""Effects of a limit that is lowered or raised."""


def compare_policies(before, after):
    """Return the differences of the policy and of the objective."""
    found = []
    for field in ("policy", "objective"):
        old, new = getattr(before, field), getattr(after, field)
        for name, was, now in _changed_fields(old, new):
            effect = _POLICY_EFFECTS.get(name, "daemons choose servers differently")
            path = f"$.{field}.{name}"
            found.append(Fault(path, _change(name, was, now), effect))
    return found


_REPEATS = "more or fewer failed requests are repeated"
_LEAVING = "requests at a daemon that leaves have more or less time"
_POLICY_EFFECTS = {
    "retry_share": _REPEATS,
    "retry_burst": _REPEATS,
    "retry_slack": _REPEATS,
    "max_attempts": _REPEATS,
    "leave_linger_ms": _LEAVING,
    "leave_grace_ms": _LEAVING,
    "max_queue": "more or fewer requests wait before others are rejected",
    "entry_ttl_ms": "callers use a list of entry VMs for another time",
    "operation_ttl_ms": "operation ids are valid for another time",
    "max_operations": "more or fewer operations are recorded",
    "hedge_share": "more or fewer idempotent calls are sent twice",
}
"""Effects of changed fields other than on the choice of servers."""


def _compare_named(field, before, after):
    old, new = getattr(before, field), getattr(after, field)
    added, removed = added_and_removed(old, new)
    gone, come, changed = _EFFECTS[field]
    path = f"$.{field}"
    found = [Fault(f"{path}.{name}", "gone", gone) for name in removed]
    found += [Fault(f"{path}.{name}", "added", come) for name in added]
    for name in sorted(old.keys() & new.keys()):
        for item, was, now in _changed_fields(old[name], new[name]):
            effect = _timeout_effect(was, now) if item == "timeout_ms" else changed
            text = _change(item, was, now)
            found.append(Fault(f"{path}.{name}.{item}", text, effect))
    return found


def _timeout_effect(was, now):
    if now < was:
        return "requests that take longer end with a time-out"
    return "slower requests are completed"


_EFFECTS = {
    "regions": (
        "no request runs there",
        "requests may run there once a workspace allows it",
        "daemons choose servers differently",
    ),
    "failure_domains": (
        "no request runs there",
        "requests may run there where its region is allowed",
        "the regions of its servers change, and what may run there",
    ),
    "sites": (
        "its daemons refuse the configuration and keep the last one",
        "daemons there accept the configuration",
        "its daemons belong to another region",
    ),
    "models": (
        "requests for it get 404",
        "workspaces that name it can request it",
        "its replicas load it again or are chosen differently",
    ),
    "adapters": (
        "requests for it get 404",
        "workspaces that name it can request it",
        "replicas of its model load it again",
    ),
    "services": (
        "calls of it get 404",
        "routes and workspaces that name it can use it",
        "its calls are handled, repeated or checked differently",
    ),
}
"""Effects of an entry that is gone, added or changed, by field of the base."""


def _compare_route(path, old, new):
    found = []
    for name, was, now in _changed_fields(old, new):
        if name == "home_regions":
            found.append(_compare_homes(f"{path}.home_regions", was, now))
            continue
        text = _services_change(was, now) if name == "services" else None
        text = text or _change(name, was, now)
        effect = _route_effect(name, was, now)
        found.append(Fault(f"{path}.{name}", f"route '{new.name}': {text}", effect))
    return found


def _route_effect(name, was, now):
    match name:
        case "timeout_ms":
            return _timeout_effect(was, now)
        case "max_attempts":
            fewer = now < was
            return f"{'fewer' if fewer else 'more'} failed requests are repeated"
        case "services":
            return "requests go to other services, or in other shares"
        case "workspace" if not now:
            return "requests without a known key get 401"
        case "workspace" if not was:
            return "requests without a key are accepted"
        case "workspace":
            return "the regions and weight of the other workspace apply"
        case "anonymous" if now:
            return "the key of a caller, if any, determines the workspace"
        case "anonymous":
            return "keys of callers are required if no workspace is named, else ignored"
        case "kind" | "resumable":
            return "which failed requests are repeated changes"
        case "objective_ms" | "pause_objective_ms" | "urgency":
            return "the order of requests and the choice of servers change"
        case _:
            return "no effect on the result of a request"


def _compare_homes(path, was, now):
    """Return the difference of home regions, of which none stands for every one."""
    added, removed = region_changes(was, now)
    if not was or (now and removed and not added):
        word, effect = "narrowed", "requests no longer run in the other regions"
    elif not now or (added and not removed):
        word, effect = "widened", "requests may run in more regions"
    elif added:
        word, effect = "changed", "requests run in other regions"
    else:
        word, effect = "reordered", "no effect on the result of a request"
    return Fault(path, f"{word} from {_regions(was)} to {_regions(now)}", effect)


def _regions(names):
    return ", ".join(names) if names else "every allowed region"


def _services_change(was, now):
    old = ", ".join(f"{item.service}:{item.weight:g}" for item in was)
    new = ", ".join(f"{item.service}:{item.weight:g}" for item in now)
    return f"services {old} -> {new}"


def _compare_workspace(name, old, new, owners):
    path = f"$.workspaces.{name}"
    found = _compare_keys(name, old.key_digests, new.key_digests, owners)
    found.extend(_compare_quota(path, old, new))
    added, removed = region_changes(old.allowed_regions, new.allowed_regions)
    where = f"{path}.allowed_regions"
    if removed:
        text = f"narrowed by {', '.join(removed)}"
        found.append(Fault(where, text, "its requests no longer run there"))
    if added:
        text = f"WIDENED by {', '.join(added)}"
        found.append(Fault(where, text, "its data may be processed there"))
    if old.home_regions != new.home_regions:
        where = f"{path}.home_regions"
        found.append(_compare_homes(where, old.home_regions, new.home_regions))
    if workspace_regions(old) and not workspace_regions(new):
        text = "no home region is allowed any longer"
        found.append(Fault(path, text, "its routed requests are rejected"))
    for field in ("models", "services"):
        gained, lost = region_changes(getattr(old, field), getattr(new, field))
        where = f"{path}.{field}"
        if lost:
            text = f"no longer {', '.join(lost)}"
            found.append(Fault(where, text, "its requests for them are rejected"))
        if gained:
            text = f"also {', '.join(gained)}"
            found.append(Fault(where, text, "its requests for them are accepted"))
    for field, was, now in _changed_fields(old.deadlines, new.deadlines):
        effect = "more requests end with a time-out" if now < was else "more time"
        where = f"{path}.deadlines.{field}"
        found.append(Fault(where, _change(field, was, now), effect))
    effects = {
        "weight": "its share under load changes",
        "urgency": "its requests are served earlier or later under load",
        "priority": "its requests for models are served earlier or later",
        "borrow_slots": "it may use more or fewer slots of other regions",
        "home_region": "its home moves, and requests are served elsewhere first",
    }
    found.extend(
        Fault(f"{path}.{field}", _change(field, was, now), effects[field])
        for field, was, now in _changed_fields(old, new)
        if field in effects
    )
    return found


def _compare_keys(name, old, new, owners):
    path = f"$.workspaces.{name}.key_digests"
    lost = set(old) - set(new)
    moved = {}
    for digest in lost:
        if digest in owners:
            moved[owners[digest]] = moved.get(owners[digest], 0) + 1
    found = []
    revoked = len(lost) - sum(moved.values())
    if revoked:
        found.append(Fault(path, f"{_keys(revoked)} revoked", "their requests get 401"))
    for owner, count in sorted(moved.items()):
        text = f"{_keys(count)} moved to workspace '{owner}'"
        found.append(Fault(path, text, "its regions and quota apply to them"))
    added = len(set(new) - set(old))
    if added:
        found.append(
            Fault(path, f"{_keys(added)} added", "their requests are accepted")
        )
    return found


def _keys(count):
    return "1 key" if count == 1 else f"{count} keys"


def _compare_quota(path, old, new):
    found = []
    for field in ("rate_tokens_per_s", "burst_tokens"):
        was, now = getattr(old, field), getattr(new, field)
        if was == now:
            continue
        # 0 stands for no limit.
        if not now:
            word, effect = "removed", "requests are no longer limited by it"
        elif not was or now < was:
            word = "lowered" if was else "introduced"
            effect = "requests beyond it get 429"
        else:
            word, effect = "raised", "fewer requests get 429"
        text = f"{word}: {_change(field, was, now)}"
        found.append(Fault(f"{path}.{field}", text, effect))
    for field in ("plain_request_tokens", "quota_unit"):
        was, now = getattr(old, field), getattr(new, field)
        if was != now:
            effect = "requests are charged differently"
            found.append(Fault(f"{path}.{field}", _change(field, was, now), effect))
    return found


def _covering_route(routes, key):
    """Return the route that requests for `key` match in `routes`, or None."""
    host, prefix = key
    covering = [
        other for other in routes if other[0] == host and prefix.startswith(other[1])
    ]
    return routes[max(covering, key=lambda item: len(item[1]))] if covering else None


def _changed_fields(old, new):
    """Return the name, old and new value of each field that differs."""
    return [
        (field, getattr(old, field), getattr(new, field))
        for field in old.__struct_fields__
        if getattr(old, field) != getattr(new, field)
    ]


def _change(name, was, now):
    return f"{name} {_format(was)} -> {_format(now)}"


def _format(value):
    if isinstance(value, str | int | float) or value is None:
        return str(value)
    return msgspec.json.encode(value).decode()


def _route_path(key):
    host, prefix = key
    return f"$.routes[{host}{prefix}]"
