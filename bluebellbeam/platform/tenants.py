"""Translation of the tenants in the platform's configuration into workspaces.

Keys are replaced by their SHA-256 digests here, so that no other part of the daemon
receives one. Error texts name a key by its position only.
"""

import hashlib
import math
import re

from msgspec import Struct, field

from bluebellbeam.exception import PlatformError

__all__ = [
    "MAX_KEY_BYTES",
    "Tenant",
    "digest_key",
    "shared_workspace",
    "tenant_warnings",
    "translate_tenants",
]

MAX_KEY_BYTES = 1024
"""Longest key, in bytes. Longer ones are rejected without computing their digest."""

MAX_RATE = 1e12
"""Largest rate per second, burst and charge of a request."""

TOKEN_UNIT = "token_stream"
REQUEST_UNITS = frozenset(
    {"", "request", "requests", "call", "calls", "plain", "plain_call", "plain_request"}
)
"""Units of a quota that is counted in requests; empty if the unit is not stated."""

_HEADER_VALUE = re.compile(r"[!-~]([ -~]{0,126}[!-~])?")
"""Form of a tenant's name, which is sent in a header."""

_KEY = re.compile(r"[^\x00-\x20\x7f]([^\x00-\x08\x0a-\x1f\x7f]*[^\x00-\x20\x7f])?")
"""Form of a key: a header value without white space around it."""

_SHARED_NAME = "callers"


class Tenant(Struct):
    """A tenant in the platform's configuration."""

    name: str
    # None for a tenant whose keys are encoded as null.
    keys: list[str] | None = field(default=None, name="apiKeys")
    priority: int | None = None
    unit: str = ""
    plain_tokens: float = field(default=0.0, name="plainTokens")
    rate_per_s: float = field(default=0.0, name="ratePerS")
    burst: float = 0.0
    homes: list[str] | None = field(default=None, name="homeRegions")


def digest_key(key):
    """Return the SHA-256 digest of a key as lower-case hexadecimal digits.

    Parameters
    ----------
    key : str
        As decoded by the HTTP server, which replaces bytes that are not UTF-8 by
        surrogates.
    """
    return hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()


def shared_workspace(tenants):
    """Return the name of the workspace of all callers without a key.

    No tenant has this name.
    """
    names = {tenant.name for tenant in tenants}
    name = _SHARED_NAME
    while name in names:
        name += "_"
    return name


def translate_tenants(tenants, regions):
    """Return the workspaces of `tenants` as dicts, by name.

    Parameters
    ----------
    tenants : list of Tenant
    regions : list of str
        All regions of the deployment.

    Raises
    ------
    PlatformError
        If a tenant has an invalid name, unit, rate or key, or two tenants have the
        same name or key.
    """
    _check_names(tenants)
    digests = _digest_keys(tenants)
    for tenant in tenants:
        _check_quota(tenant)
    return {
        tenant.name: _workspace(tenant, digests[tenant.name], regions)
        for tenant in tenants
    }


def tenant_warnings(tenants):
    """Return a text for each tenant that no caller can use, since it has no key."""
    return [
        f"tenant {tenant.name!r} has no key" for tenant in tenants if not tenant.keys
    ]


def _workspace(tenant, digests, regions):
    """Return one workspace; fields with their default values are omitted."""
    values = {
        "allowed_regions": regions,
        "key_digests": digests,
        "urgency": tenant.priority,
        "home_regions": tenant.homes,
        "rate_tokens_per_s": tenant.rate_per_s or None,
        "burst_tokens": tenant.burst or None,
        "plain_request_tokens": int(tenant.plain_tokens) or None,
        "quota_unit": "token" if tenant.unit == TOKEN_UNIT else "request",
    }
    return {
        name: value
        for name, value in values.items()
        if value is not None and value != []
    }


def _check_names(tenants):
    seen = set()
    for i, tenant in enumerate(tenants):
        if not _HEADER_VALUE.fullmatch(tenant.name):
            text = ascii(tenant.name[:140])
            raise PlatformError(
                f"tenants[{i}].name is {text}, not 1 to 128 printable ASCII characters"
                " without a space at either end"
            )
        if tenant.name in seen:
            raise PlatformError(
                f"tenants[{i}].name is {tenant.name!r}, the name of another tenant;"
                " limit 1"
            )
        seen.add(tenant.name)


def _digest_keys(tenants):
    """Return the digests of the keys of each tenant, by its name."""
    owners = {}
    digests = {}
    for i, tenant in enumerate(tenants):
        for k, key in enumerate(tenant.keys or ()):
            where = f"tenants[{i}].apiKeys[{k}] of tenant {tenant.name!r}"
            _check_key(key, where)
            owner = owners.setdefault(digest_key(key), tenant.name)
            if owner != tenant.name:
                raise PlatformError(
                    f"{where} is also a key of tenant {owner!r}; limit 1 tenant"
                )
        digests[tenant.name] = sorted(map(digest_key, set(tenant.keys or ())))
    return digests


def _check_key(key, where):
    try:
        size = len(key.encode())
    except UnicodeEncodeError:
        raise PlatformError(f"{where} is not valid Unicode") from None
    if not 1 <= size <= MAX_KEY_BYTES:
        raise PlatformError(f"{where} has {size} bytes; limit 1 to {MAX_KEY_BYTES}")
    if not _KEY.fullmatch(key):
        raise PlatformError(f"{where} has {size} bytes that are not a header value")


def _check_quota(tenant):
    if tenant.unit != TOKEN_UNIT and tenant.unit not in REQUEST_UNITS:
        known = ", ".join(sorted({TOKEN_UNIT} | REQUEST_UNITS - {""}))
        raise PlatformError(
            f"unit of tenant {tenant.name!r} is {ascii(tenant.unit[:64])};"
            f" limit one of {known}"
        )
    quota = {
        "ratePerS": tenant.rate_per_s,
        "burst": tenant.burst,
        "plainTokens": tenant.plain_tokens,
    }
    for name, value in quota.items():
        if not (math.isfinite(value) and 0 <= value <= MAX_RATE):
            raise PlatformError(
                f"{name} of tenant {tenant.name!r} is {value:g}; limit 0 to"
                f" {MAX_RATE:g}"
            )
