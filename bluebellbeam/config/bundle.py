"""A published configuration: a manifest and its content-addressed parts.

The manifest of revision ``r`` names each part and its hash. Parts are stored
under their hash, so a revision of which a part is missing cannot be put
together and is never in force.
"""

import hashlib

import msgspec
from msgspec import Struct
from returns.result import Failure, Success

from bluebellbeam.config.effective import decode_effective
from bluebellbeam.config.fault import Fault

__all__ = [
    "Manifest",
    "assemble_parts",
    "bundle_digest",
    "effective_from_parts",
    "hash_part",
    "split_documents",
]

WORKSPACES_PER_PART = 64
"""Workspaces that share one part of a published configuration."""

_WORKSPACES_PREFIX = "workspaces/"
_OVERLAY_PREFIX = "overlay/"


class Manifest(Struct, frozen=True):
    """A revision and the hash of each of its parts."""

    revision: int
    parts: dict[str, str]


def hash_part(raw):
    """Return the hash under which the bytes of a part are stored."""
    return hashlib.sha256(raw).hexdigest()[:32]


def bundle_digest(parts):
    """Return a hash over `parts`, a dict of name to bytes."""
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
        The base file as decoded JSON.
    overlays : dict of str to dict
        Overlay documents by site.

    Returns
    -------
    dict of str to bytes
        Parts by name. Workspaces are spread over parts by the hash of their
        name, so a change of one workspace changes one part.
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


def assemble_parts(parts):
    """Return ``(base, overlays)`` as JSON bytes from `parts`."""
    base = msgspec.json.decode(parts["deployment"])
    workspaces = {}
    overlays = {}
    for name in sorted(parts):
        if name.startswith(_WORKSPACES_PREFIX):
            workspaces.update(msgspec.json.decode(parts[name]))
        elif name.startswith(_OVERLAY_PREFIX):
            overlays[name] = parts[name]
    base["workspaces"] = workspaces
    return msgspec.json.encode(base), overlays


def effective_from_parts(revision, parts, site):
    """Return the effective configuration of `site` from the parts.

    Returns
    -------
    Result
        ``Success(Effective)`` or ``Failure(tuple of (document, Fault))``.
    """
    try:
        base_raw, overlays = assemble_parts(parts)
    except KeyError:
        fault = Fault("$", "part 'deployment' is missing", "publish every part")
        return Failure((("manifest", fault),))
    except (msgspec.DecodeError, TypeError, ValueError, AttributeError) as error:
        fault = Fault("$", f"a part is not valid: {error}", "publish it again")
        return Failure((("manifest", fault),))
    result = decode_effective(base_raw, overlays, site, revision, bundle_digest(parts))
    match result:
        case Success(effective) if site not in effective.base.sites:
            fault = Fault("$.sites", f"site '{site}' is missing", "declare the site")
            return Failure((("base", fault),))
        case _:
            return result
