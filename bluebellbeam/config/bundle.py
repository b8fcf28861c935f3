"""A published configuration: a manifest and its content-addressed parts.

The manifest of a revision lists the hash of each part. Parts are stored under
their hash, so a revision with a missing part cannot be assembled and never takes
effect.
"""

import hashlib

import msgspec
from returns.result import Failure, Success

from bluebellbeam.config.check import check_deployment, check_workspaces
from bluebellbeam.config.effective import merge_site
from bluebellbeam.config.fault import Fault, decode_document
from bluebellbeam.config.model import Base, Workspace

__all__ = [
    "PartCache",
    "bundle_digest",
    "effective_from_parts",
    "hash_part",
    "make_part_cache",
    "split_documents",
]

WORKSPACES_PER_PART = 64
"""Target number of workspaces in one part of a published configuration."""

_WORKSPACES_PREFIX = "workspaces/"
_OVERLAY_PREFIX = "overlay/"


def hash_part(raw):
    """Return the hash under which the bytes of a part are stored."""
    return hashlib.sha256(raw).hexdigest()[:32]


def bundle_digest(parts):
    """Return a hash over the names and contents of `parts`, a dict of str to bytes."""
    listing = ";".join(f"{name}={hash_part(parts[name])}" for name in sorted(parts))
    return hash_part(listing.encode())


def canonical_json(value):
    """Return `value` as JSON bytes with sorted keys."""
    return msgspec.json.encode(value, order="sorted")


def split_documents(base, overlays):
    """Split a base document and overlays into parts.

    Parameters
    ----------
    base : dict
        Decoded JSON of the base file.
    overlays : dict of str to dict
        Overlay documents by site.

    Returns
    -------
    dict of str to bytes
        Parts by name. Workspaces are distributed over parts by the hash of their
        name, so a change to one workspace changes one part.
    """
    rest = {key: value for key, value in base.items() if key != "workspaces"}
    parts = {"deployment": canonical_json(rest)}
    workspaces = base.get("workspaces", {})
    count = max(1, -(-len(workspaces) // WORKSPACES_PER_PART))
    groups = {}
    for name, workspace in workspaces.items():
        index = int(hash_part(name.encode())[:8], 16) % count
        groups.setdefault(f"{_WORKSPACES_PREFIX}{index:04d}", {})[name] = workspace
    for name, group in groups.items():
        parts[name] = canonical_json(group)
    for site, overlay in overlays.items():
        parts[f"{_OVERLAY_PREFIX}{site}"] = canonical_json(overlay)
    return parts


class PartCache:
    """Cache of decoded and validated parts.

    A new revision changes few parts; only these are decoded and validated again.

    Attributes
    ----------
    deployment : tuple of (bytes, Base) or None
        The deployment part, encoded and decoded.
    workspaces : dict of str to (bytes, dict of str to Workspace)
        The workspace parts by name, encoded and decoded.
    """

    __slots__ = ("deployment", "workspaces")

    def __init__(self):
        self.deployment = None
        self.workspaces = {}


def make_part_cache():
    """Return an empty cache."""
    return PartCache()


def effective_from_parts(revision, parts, site, cache=None):
    """Return the effective configuration of `site`, assembled from `parts`.

    Parameters
    ----------
    revision : int
    parts : dict of str to bytes
    site : str
    cache : PartCache, optional
        Parts of earlier revisions; updated with the parts of this one.

    Returns
    -------
    Result
        ``Success(Effective)`` or ``Failure(tuple of (document, Fault))``.
    """
    cache = cache or make_part_cache()
    found = _refresh_deployment(cache, parts)
    if found:
        return Failure(tuple(found))
    base = cache.deployment[1]
    found = _refresh_workspaces(cache, parts, base)
    if found:
        return Failure(tuple(found))
    workspaces = {}
    for _, decoded in cache.workspaces.values():
        workspaces.update(decoded)
    base = msgspec.structs.replace(base, workspaces=workspaces)
    overlays = {n: raw for n, raw in parts.items() if n.startswith(_OVERLAY_PREFIX)}
    if site not in base.sites:
        fault = Fault("$.sites", f"site '{site}' is missing", "declare the site")
        return Failure((("deployment", fault),))
    return merge_site(base, overlays, site, revision, bundle_digest(parts))


def _refresh_deployment(cache, parts):
    raw = parts.get("deployment")
    if raw is None:
        fault = Fault("$", "part 'deployment' is missing", "publish every part")
        return [("manifest", fault)]
    if cache.deployment is not None and cache.deployment[0] == raw:
        return []
    match decode_document(raw, Base):
        case Failure(faults):
            return [("deployment", fault) for fault in faults]
        case Success(base):
            faults = check_deployment(base)
    if faults:
        return [("deployment", fault) for fault in faults]
    cache.deployment = (raw, base)
    cache.workspaces = {}
    return []


def _refresh_workspaces(cache, parts, base):
    names = [name for name in sorted(parts) if name.startswith(_WORKSPACES_PREFIX)]
    for name in [name for name in cache.workspaces if name not in parts]:
        del cache.workspaces[name]
    for name in names:
        cached = cache.workspaces.get(name)
        if cached is not None and cached[0] == parts[name]:
            continue
        match decode_document(parts[name], dict[str, Workspace]):
            case Failure(faults):
                return [(name, fault) for fault in faults]
            case Success(decoded):
                faults = check_workspaces(base, decoded)
        if faults:
            return [(name, fault) for fault in faults]
        cache.workspaces[name] = (parts[name], decoded)
    return []
