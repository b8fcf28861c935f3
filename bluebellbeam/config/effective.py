"""The effective configuration of a site: the base file merged with its overlay.

Merge rules: a value that is not in the overlay keeps its base value; a list of
regions or a limit in the overlay replaces the base value and may only restrict
it; an objective in the overlay replaces the whole objective.
"""

import hmac

import msgspec
from msgspec import Struct
from returns.result import Failure, Success

from bluebellbeam.config.check import check_base, check_overlay
from bluebellbeam.config.fault import Fault, decode_document
from bluebellbeam.config.model import Base, Overlay
from bluebellbeam.routing.route_table import RouteTable, make_route_table

__all__ = [
    "Effective",
    "decode_effective",
    "find_workspace",
    "merge_overlay",
    "merge_site",
    "resolve_model",
]


class Effective(Struct, frozen=True):
    """The configuration in effect at a site.

    Parameters
    ----------
    revision : int
        Revision of the published configuration.
    digest : str
        Hash over every part of the revision.
    base : Base
        Base configuration with the overlay of the site applied.
    total_weight : float
        Sum of the weights of all workspaces.
    routes : RouteTable
        Routes of `base`, indexed by host.
    keys : dict of str to (str, str)
        Digest and workspace of each key, by its digest.
    has_keys : bool
        Whether any workspace has a key, or any route needs one or states that it
        needs none.
    engine_urgencies : dict of (int, int) to int
        Urgency at an engine, by the urgencies of workspace and route; empty unless
        workspaces differ in theirs.
    """

    revision: int
    digest: str
    base: Base
    total_weight: float
    routes: RouteTable
    keys: dict[str, tuple[str, str]] = {}
    has_keys: bool = False
    engine_urgencies: dict[tuple[int, int], int] = {}


def merge_overlay(base, overlay):
    """Return `base` with `overlay` applied; both must have been validated."""
    workspaces = dict(base.workspaces)
    for name, change in overlay.workspaces.items():
        changes = {
            item: value
            for item, value in msgspec.structs.asdict(change).items()
            if value is not None
        }
        workspaces[name] = msgspec.structs.replace(workspaces[name], **changes)
        workspaces[name] = _keep_home_allowed(workspaces[name])
    objective = overlay.objective or base.objective
    return msgspec.structs.replace(base, workspaces=workspaces, objective=objective)


def _keep_home_allowed(workspace):
    if workspace.home_region in workspace.allowed_regions:
        return workspace
    return msgspec.structs.replace(workspace, home_region=None)


def decode_effective(base_raw, overlays_raw, site, revision=0, digest=""):
    """Decode, validate and merge a base file and its overlays for one site.

    Parameters
    ----------
    base_raw : bytes
    overlays_raw : dict of str to bytes
        Overlay documents by name; all of them are validated.
    site : str
    revision : int
    digest : str

    Returns
    -------
    Result
        ``Success(Effective)`` or ``Failure(tuple of (document, Fault))``.
    """
    match decode_document(base_raw, Base):
        case Failure(faults):
            return Failure(tuple(("base", fault) for fault in faults))
        case Success(base):
            pass
    found = tuple(("base", fault) for fault in check_base(base))
    if found:
        return Failure(found)
    return merge_site(base, overlays_raw, site, revision, digest)


def merge_site(base, overlays_raw, site, revision, digest):
    """Return the effective configuration of `site` from a validated `base`.

    All overlays are validated, including those of other sites. Parameters and
    result are those of :func:`decode_effective`.
    """
    found = []
    merged = base
    for name, raw in sorted(overlays_raw.items()):
        match decode_document(raw, Overlay):
            case Failure(faults):
                found.extend((name, fault) for fault in faults)
            case Success(overlay):
                faults = check_overlay(base, overlay)
                found.extend((name, fault) for fault in faults)
                if overlay.site == site and not faults:
                    merged = merge_overlay(base, overlay)
    if found:
        return Failure(tuple(found))
    keys, found = _index_keys(merged)
    if found:
        return Failure(tuple(found))
    merged = _weigh_workspaces(_rank_workspaces(merged))
    total_weight = sum(item.weight for item in merged.workspaces.values())
    routes = make_route_table(merged.routes)
    effective = Effective(
        revision,
        digest,
        merged,
        total_weight,
        routes,
        keys,
        has_keys=bool(keys)
        or any(r.anonymous or not r.workspace for r in merged.routes),
        engine_urgencies=_engine_urgencies(merged),
    )
    return Success(effective)


def find_workspace(config, key_digest):
    """Return the name of the workspace that a key belongs to; empty if none.

    Parameters
    ----------
    config : Effective
    key_digest : str
        SHA-256 digest of the key, in lower-case hexadecimal.
    """
    digest, workspace = config.keys.get(key_digest, ("", ""))
    # The lookup compares hashes of the digest first, and its duration depends on them.
    # The final comparison takes the same time for every digest.
    return workspace if hmac.compare_digest(digest, key_digest) else ""


def _index_keys(base):
    """Return the index of the keys, and the faults of keys in two workspaces."""
    keys = {}
    found = []
    for name, workspace in base.workspaces.items():
        for digest in workspace.key_digests:
            _, owner = keys.setdefault(digest, (digest, name))
            if owner != name:
                path = f"$.workspaces.{name}.key_digests"
                text = f"a key also belongs to workspace '{owner}'"
                found.append(("base", Fault(path, text, "give each its own keys")))
    return keys, found


def _rank_workspaces(base):
    """Return `base` with an urgency for every workspace if any of them has one.

    Workspaces without one rank after all others.
    """
    stated = [w.urgency for w in base.workspaces.values() if w.urgency is not None]
    if not stated:
        return base
    last = max(stated) + 1
    workspaces = {
        name: item
        if item.urgency is not None
        else msgspec.structs.replace(item, urgency=last)
        for name, item in base.workspaces.items()
    }
    return msgspec.structs.replace(base, workspaces=workspaces)


MIN_WEIGHT = 0.01
"""Smallest weight of a workspace with a quota, so that it is served at all."""


def _weigh_workspaces(base):
    """Return `base` with weights for workspaces whose callers have keys and a quota.

    A weight is the rate relative to the mean rate of these workspaces, unless the
    configuration states another. It is not part of the published configuration, where
    the change of one rate would alter all weights.
    """
    rates = {
        name: item.rate_tokens_per_s
        for name, item in base.workspaces.items()
        if item.key_digests and item.rate_tokens_per_s > 0
    }
    if not rates:
        return base
    mean = sum(rates.values()) / len(rates)
    workspaces = dict(base.workspaces)
    for name, rate in rates.items():
        if workspaces[name].weight == 1.0:
            weight = max(MIN_WEIGHT, rate / mean)
            workspaces[name] = msgspec.structs.replace(workspaces[name], weight=weight)
    return msgspec.structs.replace(base, workspaces=workspaces)


ENGINE_URGENCIES = 9
"""Number of urgencies that engines distinguish."""


def _engine_urgencies(base):
    """Return the urgency at an engine of each pair of workspace and route urgency.

    Pairs are numbered in their order. If there are more than `ENGINE_URGENCIES`, some
    neighbours share a number, but no two pairs change places.
    """
    rows = base.workspaces
    has_keys = any(item.key_digests for item in rows.values())
    keyed = {
        item.urgency or 0 for item in rows.values() if item.key_digests or not has_keys
    }
    found = set()
    for route in base.routes:
        ranks = keyed if route.anonymous or not route.workspace else set()
        if route.workspace in rows:
            ranks = ranks | {rows[route.workspace].urgency or 0}
        found.update((rank, route.urgency) for rank in ranks)
    if len({rank for rank, _ in found}) < 2:
        return {}
    pairs = sorted(found)
    width = max(ENGINE_URGENCIES, len(pairs))
    return {pair: i * ENGINE_URGENCIES // width for i, pair in enumerate(pairs)}


def resolve_model(base, name):
    """Return the ``(model, adapter)`` to which a caller's model `name` refers.

    Returns
    -------
    tuple of (str, str or None) or None
        None when there is no model or adapter of this name.
    """
    if name in base.models:
        return name, None
    adapter = base.adapters.get(name)
    if adapter is None:
        return None
    return adapter.model, name
