"""Review of a platform's configuration through its translation."""

import msgspec
from returns.result import Failure, Success

from bluebellbeam.config import effective_from_parts, make_part_cache
from bluebellbeam.config.fault import Fault
from bluebellbeam.config.review import find_warnings, make_finding
from bluebellbeam.exception import PlatformError
from bluebellbeam.platform.records import config_warnings, translate_config

__all__ = ["review_platform"]


def review_platform(value, store, site, document="platform"):
    """Return the native base of a platform's configuration, and what was found.

    Parameters
    ----------
    value : bytes
        Value of the configuration's entry in the store.
    store : StoreAccess
    site : str
        Site of the daemon, as in its settings.
    document : str
        Name of the document in the findings.

    Returns
    -------
    base : Base or None
        None if there is an error.
    findings : list of Finding
        Errors if there are any, otherwise warnings, with paths in the native
        configuration. None of them contains a key.
    """
    try:
        parts = translate_config(value, store)
        texts = config_warnings(value)
    except PlatformError as error:
        fault = Fault("$", str(error), "correct the configuration")
        return None, [make_finding("error", document, fault)]
    cache = make_part_cache()
    match effective_from_parts(0, parts, site, cache):
        case Failure(faults):
            return None, [make_finding("error", document, f) for _, f in faults]
        case Success(_):
            workspaces = {}
    for _, decoded in cache.workspaces.values():
        workspaces.update(decoded)
    base = msgspec.structs.replace(cache.deployment[1], workspaces=workspaces)
    # Callers without a key share a workspace that has none, so that the check of
    # tenants takes the place of the check of workspaces.
    found = find_warnings(base, with_keys=False)
    fix = "no caller can use it; add a key or remove the tenant"
    found += [Fault("$.tenants", text, fix) for text in texts]
    return base, [make_finding("warning", document, fault) for fault in found]
