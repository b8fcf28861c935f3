"""Comparison of two configurations from their files, without a daemon."""

from bluebellbeam.config.differences import added_and_removed, region_changes
from bluebellbeam.orders.plan import required_names

__all__ = ["load_lines", "plan_lines"]


def plan_lines(before, after, sites, weight_store_mb_per_s):
    """Return the differences between two configurations as lines of text.

    Parameters
    ----------
    before, after : Base
        Base files before and after the change.
    sites : list of (str, Base, Base)
        Each site's effective base before and after.
    weight_store_mb_per_s : float
        Rate at which the weight store serves loads.

    Returns
    -------
    list of str
    """
    lines = []
    lines.extend(_added_and_removed("workspace", before.workspaces, after.workspaces))
    lines.extend(_added_and_removed("model", before.models, after.models))
    lines.extend(_added_and_removed("service", before.services, after.services))
    for site, old, new in sites:
        lines.extend(_workspace_changes(site, old, new))
    lines.extend(_home_region_changes(before, after))
    lines.extend(load_lines(before, after, weight_store_mb_per_s))
    if before.objective != after.objective:
        lines.append(f"objective changes: {before.objective} -> {after.objective}")
    return lines or ["no change"]


def _added_and_removed(kind, old, new):
    added, removed = added_and_removed(old, new)
    lines = [f"{kind} {name}: added" for name in added]
    return lines + [f"{kind} {name}: removed" for name in removed]


def _workspace_changes(site, old, new):
    lines = []
    for name in sorted(old.workspaces.keys() & new.workspaces.keys()):
        prefix = f"site {site}: workspace {name}"
        added, removed = region_changes(
            old.workspaces[name].allowed_regions, new.workspaces[name].allowed_regions
        )
        if added:
            lines.append(f"{prefix}: data rule WIDENED by {', '.join(added)}")
        if removed:
            lines.append(f"{prefix}: data rule narrowed by {', '.join(removed)}")
        limits = (old.workspaces[name].borrow_slots, new.workspaces[name].borrow_slots)
        if limits[0] != limits[1]:
            lines.append(f"{prefix}: borrow_slots {limits[0]} -> {limits[1]}")
    return lines


def _home_region_changes(before, after):
    lines = []
    for name in sorted(before.workspaces.keys() & after.workspaces.keys()):
        old_home = before.workspaces[name].home_region
        new_home = after.workspaces[name].home_region
        if old_home != new_home:
            lines.append(f"workspace {name}: home moves from {old_home} to {new_home}")
    return lines


def load_lines(before, after, rate_mb_per_s):
    """Return the loads of model replicas that a change causes as lines of text.

    Parameters
    ----------
    before, after : Base
    rate_mb_per_s : float
        Rate at which the weight store serves loads.
    """
    lines = []
    total_mb = 0
    for name, model in sorted(after.models.items()):
        old = before.models.get(name)
        loaded = set(required_names(before, name)) if old else set()
        missing = [item for item in required_names(after, name) if item not in loaded]
        for region, count in sorted(model.replicas.items()):
            old_count = old.replicas.get(region, 0) if old else 0
            loads = count if missing else max(0, count - old_count)
            if loads == 0:
                continue
            size_mb = loads * model.weights_mb
            total_mb += size_mb
            names = ", ".join(missing) or f"{name}@{model.version}"
            lines.append(
                f"region {region}: {loads} replicas load {names} ({size_mb} MB)"
            )
    if total_mb:
        seconds = total_mb / rate_mb_per_s
        lines.append(f"weight store: {total_mb} MB, at least {seconds:.0f} s")
    return lines
