"""Translation of the records in the platform's store into the native types.

Only the fields that are used are decoded; others are ignored. An invalid record
raises `PlatformError`.
"""

import base64
import binascii
import ipaddress
import re

import msgspec
from msgspec import Struct, field

from bluebellbeam.config import canonical_json, split_documents
from bluebellbeam.exception import PlatformError
from bluebellbeam.platform.tenants import (
    Tenant,
    shared_workspace,
    tenant_warnings,
    translate_tenants,
)
from bluebellbeam.provider.records import VmRecord
from bluebellbeam.utils.decoding import decode_json
from bluebellbeam.utils.hashing import hash_text

__all__ = [
    "CONFIG_KEY",
    "EVACUATE_PREFIX",
    "SERVERS_PREFIX",
    "Item",
    "canonical_record",
    "config_warnings",
    "decode_config_version",
    "decode_events",
    "decode_page",
    "decode_server",
    "translate_config",
]

CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"

PREFILL_TOKENS_PER_S = 40_000.0
"""Initial estimate of the prefill speed of an engine, refined by its responses."""

EXPECTED_SERVICE_MS = 45.0
"""Initial estimate of the duration of a plain call, refined by the responses."""

REGION_DELAY_MS = 55.0
"""One-way delay between two regions, from the specification of the deployments."""


class Item(Struct, frozen=True):
    """An entry of the store, or the removal of one.

    Parameters
    ----------
    key : str
    revision : int
        Store revision of the last change to the entry.
    value : bytes or None
        Decoded value; None if the entry was removed.
    """

    key: str
    revision: int
    value: bytes | None


class _RawItem(Struct):
    key: str
    revision: int
    value: str | None = None
    removed: bool = False


class _Page(Struct):
    items: list[msgspec.Raw]
    # Current revision of the whole store, not of the items on this page.
    revision: int = field(name="storeRevision")
    more: bool = field(default=False, name="hasMore")


class _Events(Struct):
    events: list[msgspec.Raw]
    revision: int = field(name="storeRevision")


def decode_page(raw, on_unreadable):
    """Return the items of a range, the store revision and whether more follow.

    Parameters
    ----------
    raw : bytes
    on_unreadable : callable
        Called with the `PlatformError` of each item that cannot be read; the others
        are returned.
    """
    page = _decode(raw, _Page)
    return _items(page.items, on_unreadable), page.revision, page.more


def decode_events(raw, on_unreadable):
    """Return the changed items of a watch and the store revision.

    The parameters are those of :func:`decode_page`.
    """
    found = _decode(raw, _Events)
    return _items(found.events, on_unreadable), found.revision


def _decode(raw, kind):
    try:
        return decode_json(raw, kind)
    except msgspec.DecodeError as error:
        raise PlatformError(f"invalid data in the store: {error}") from error


def _items(raws, on_unreadable):
    found = []
    for raw in raws:
        try:
            found.append(_item(_decode(raw, _RawItem)))
        except PlatformError as error:
            on_unreadable(error)
    return found


def _item(raw):
    if raw.removed or raw.value is None:
        return Item(raw.key, raw.revision, None)
    try:
        value = base64.b64decode(raw.value, validate=True)
    except (binascii.Error, ValueError):
        # Not base64, so written by another program. The raw value is kept, so
        # that only the decoding of this record fails, not the whole page.
        value = raw.value.encode()
    return Item(raw.key, raw.revision, value)


class _Server(Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int
    # Version of the server's software, not of the weights that it has loaded.
    version: str
    # Unix time in ms at which the server process started.
    born: int = 1
    # Remaining warm-up time in ms.
    cold_ms: float = field(default=0.0, name="warmupLeftMs")


MAX_BORN_MS = 2**53
"""Largest start time of a server, the largest whole number that JSON keeps exact."""

MAX_SLOTS = 100_000
"""Largest plausible number of slots of a server."""

MAX_WARM_UP_MS = 86_400_000
"""Longest plausible warm-up time of a server."""

MAX_PORT = 65_535

_PORT = re.compile(r"[0-9]{1,5}")

VM_STATES = {"ready": "live", "draining": "leaving"}


def decode_server(key, value, domains):
    """Return the :class:`VmRecord` of a backend server's entry.

    Parameters
    ----------
    key : str
    value : bytes
    domains : dict of str to str
        Region of each failure domain.

    Raises
    ------
    PlatformError
        If the entry is malformed, or has an unknown state or failure domain, no
        name, service or version, less than one slot, an implausible start time,
        number of slots or warm-up time, or an address that is not an IP address and
        a port.
    """
    found = _decode(value, _Server)
    if found.state not in VM_STATES or found.zone not in domains or found.slots < 1:
        raise PlatformError(
            f"entry {key} has an unknown state or zone, or less than one slot"
        )
    if not (key.removeprefix(SERVERS_PREFIX) and found.service):
        raise PlatformError(f"entry {key} has no name or no service")
    if not 0 < found.born <= MAX_BORN_MS or found.slots > MAX_SLOTS:
        raise PlatformError(
            f"entry {key} has an implausible start time {found.born} or number of "
            f"slots {found.slots}; the limits are {MAX_BORN_MS} and {MAX_SLOTS}"
        )
    if found.cold_ms > MAX_WARM_UP_MS:
        raise PlatformError(
            f"entry {key} has an implausible warm-up time {found.cold_ms:g} ms; the "
            f"limit is {MAX_WARM_UP_MS}"
        )
    if not found.version:
        raise PlatformError(f"entry {key} has no version")
    if not _is_address(found.address):
        raise PlatformError(f"entry {key} has no address of the form ip:port")
    return VmRecord(
        name=key.removeprefix(SERVERS_PREFIX),
        incarnation=found.born,
        role="service",
        region=domains[found.zone],
        failure_domain=found.zone,
        state=VM_STATES[found.state],
        address=found.address,
        service=found.service,
        version=_version_name(found.version),
        guarded=True,
        slots=found.slots,
        warm_up_left_ms=max(0, int(found.cold_ms)),
    )


def _is_address(text):
    host, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _version_name(version):
    """Return a short ASCII name for a version, since it is sent in headers.

    Versions are only compared, so any other text is replaced by a hash of it.
    """
    if _VERSION_NAME.fullmatch(version):
        return version
    return f"hash-{hash_text(version):x}"


_VERSION_NAME = re.compile(r"[!-~]{1,64}")


class _WeightedService(Struct):
    service: str
    weight: float = 1.0


class _Route(Struct):
    name: str
    host: str
    prefix: str = field(name="pathPrefix")
    kind: str
    timeout_ms: int = field(name="timeoutMs")
    objective_ms: int = field(default=1000, name="targetLatencyMs")
    priority: int = 0
    service: str = ""
    split: list[_WeightedService] = field(default_factory=list, name="weightedServices")
    attempts: int = field(default=1, name="maxAttempts")
    # Whether requests list the parts of their prompt, so that prefixes can be reused.
    sticky: bool = False
    resumable: bool = False
    # Target for the longest pause between two events of a stream.
    pause_ms: int = field(default=0, name="gapTargetMs")
    homes: list[str] = field(default_factory=list, name="homeRegions")
    # Whether callers need no key, although the configuration has tenants.
    anonymous: bool = False


class _Engine(Struct):
    slots: int = 1


class _Service(Struct):
    name: str
    health_path: str = field(default="/health", name="healthPath")
    max_connections: int = field(default=0, name="maxConnections")
    # Requests per second that a server accepts while it warms up.
    cold_per_s: float = field(default=0.0, name="warmupPerS")
    engine: _Engine | None = None


class _Limits(Struct):
    header_bytes: int = field(default=16384, name="maxHeaderBytes")
    body_bytes: int = field(default=16777216, name="maxBodyBytes")
    header_ms: int = field(default=10000, name="headerTimeoutMs")
    idle_ms: int = field(default=30000, name="idleTimeoutMs")


class _Config(Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = field(default_factory=_Limits)
    tenants: list[Tenant] | None = None


ROUTE_KINDS = {"safe": "idempotent", "unsafe": "non_idempotent", "streaming": "stream"}


class _ConfigVersion(Struct):
    version: int


def decode_config_version(value):
    """Return the version that the operator gave to a configuration.

    Raises
    ------
    PlatformError
        If `value` is not a configuration.
    """
    return _decode(value, _ConfigVersion).version


def translate_config(value, store):
    """Translate the platform's configuration into the native one.

    Parameters
    ----------
    value : bytes
        Value of the configuration's entry in the store.
    store : StoreAccess
        Failure domains and retry limits from the settings.

    Returns
    -------
    dict of str to bytes
        Parts of the native configuration by name.

    Raises
    ------
    PlatformError
        If the configuration is invalid.
    """
    found = _decode(value, _Config)
    regions = sorted(set(store.domains.values()))
    tenants = found.tenants or []
    shared = shared_workspace(tenants)
    workspaces = {shared: {"allowed_regions": regions}}
    workspaces |= translate_tenants(tenants, regions)
    base = {
        "deployment": "platform",
        "regions": {name: _region(name, regions) for name in regions},
        "failure_domains": {n: {"region": r} for n, r in store.domains.items()},
        "sites": {n: {"region": r} for n, r in store.domains.items()},
        "services": {item.name: _service(item) for item in found.services},
        "routes": [_route(item, bool(tenants), shared) for item in found.routes],
        "caller_limits": _limits(found.limits),
        "workspaces": workspaces,
        "policy": _policy(store),
    }
    return split_documents(base, {})


def config_warnings(value):
    """Return texts on what is valid in a configuration but likely unintended.

    Raises
    ------
    PlatformError
        If `value` is not a configuration.
    """
    return tenant_warnings(_decode(value, _Config).tenants or [])


def _region(name, regions):
    delays = {other: REGION_DELAY_MS for other in regions if other != name}
    return {"one_way_delay_ms": delays}


def _service(item):
    return {
        "health_path": item.health_path,
        "max_connections": item.max_connections,
        "warm_up_per_s": item.cold_per_s,
        "prefill_tokens_per_s": PREFILL_TOKENS_PER_S if item.engine else 0.0,
        "expected_ms": EXPECTED_SERVICE_MS,
    }


def _route(item, has_tenants, shared):
    """Return a route; `shared` is the workspace of callers without a key."""
    split = item.split or [_WeightedService(item.service)]
    route = {
        "name": item.name,
        "host": item.host.lower(),
        "path_prefix": item.prefix,
        "services": [{"service": s.service, "weight": s.weight} for s in split],
        "workspace": shared,
        "kind": ROUTE_KINDS.get(item.kind, "non_idempotent"),
        "resumable": item.resumable,
        "timeout_ms": item.timeout_ms,
        "objective_ms": item.objective_ms,
        "pause_objective_ms": item.pause_ms,
        "max_attempts": item.attempts,
        "urgency": item.priority,
        "home_regions": item.homes,
        "shares_prompts": item.sticky,
    }
    if has_tenants:
        # Only then, since daemons of earlier versions reject unknown fields.
        route["anonymous"] = item.anonymous
        route["workspace"] = shared if item.anonymous else ""
    return route


def _limits(item):
    return {
        "max_header_bytes": item.header_bytes,
        "max_body_bytes": item.body_bytes,
        "header_timeout_ms": item.header_ms,
        "idle_timeout_ms": item.idle_ms,
    }


WATCHERS_PER_DOMAIN = 3
"""Daemons of a failure domain that watch the store. Three tolerate one that has
failed and one that is cut off from the store."""

LEAVE_LINGER_MS = 2900
"""Time after a stop signal during which the daemon does not exit and accepts new
streams. The platform's rules allow a stop to cut off only streams that were sent
within 3 s of it."""

LEAVE_MARGIN_MS = 500
"""Margin by which a leaving daemon exits before the platform kills it."""


def _policy(store):
    return {
        # Gossip passes updates from the watchers to the other daemons of the domain.
        # All daemons read the store themselves once no daemon has had a response from
        # it for some time.
        "watchers_per_domain": WATCHERS_PER_DOMAIN,
        "probe_interval_ms": 500,
        "stale_list_ms": 3000,
        "suspect_timeout_ms": 1500,
        "retry_share": store.retry_share,
        "retry_slack": store.retry_slack,
        "leave_linger_ms": LEAVE_LINGER_MS,
        "leave_grace_ms": int(store.grace_s * 1000) - LEAVE_MARGIN_MS,
    }


def canonical_record(record):
    """Return a record encoded as a part of a feed."""
    return canonical_json(msgspec.to_builtins(record))
