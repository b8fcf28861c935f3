"""Settings of one process: its addresses, location and platform."""

import ipaddress
from pathlib import Path

from msgspec import Struct
from returns.result import Failure, Success

from bluebellbeam.config.fault import Fault, decode_document

__all__ = [
    "PlatformAddresses",
    "Settings",
    "StoreAccess",
    "decode_settings",
    "read_settings",
]

_MIN_KEY_CHARACTERS = 16


class PlatformAddresses(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Addresses of the platform's services as ``ip:port``."""

    configuration: str
    vm_list: str
    directory: str


class StoreAccess(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Access to a platform that publishes routes and servers in a metadata store.

    Parameters
    ----------
    address : str
        Address of the store as ``ip:port``.
    domains : dict of str to str
        Region of each failure domain.
    readiness_address, directory_address : str
        Listening addresses for readiness checks of the platform and for directory
        requests of callers, as ``ip:port``.
    retry_share, retry_slack : float
        Limits on extra attempts over all daemons; see :class:`Policy`.
    grace_s : float
        Time between the stop signal and the end of the process.
    """

    address: str
    domains: dict[str, str]
    readiness_address: str
    directory_address: str
    retry_share: float = 0.1
    retry_slack: float = 10.0
    grace_s: float = 8.0


class Settings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a daemon.

    Parameters
    ----------
    vm : str
        Name of the VM.
    region, failure_domain, site : str
        Location of the VM, as declared in the configuration.
    caller_address, peer_address, operator_address : str
        Listening addresses as ``ip:port``.
    peer_key : str
        Secret shared by the daemons of a deployment. May be empty with `store`,
        where only the VMs of the deployment can reach the peer listener.
    platform : PlatformAddresses or None
        Services of the platform; None with `store`.
    store : StoreAccess or None
        Metadata store that takes the place of `platform`.
    seed_peers : tuple of str
        Peer addresses to contact before the VM list has been read.
    """

    vm: str
    region: str
    failure_domain: str
    site: str
    caller_address: str
    peer_address: str
    operator_address: str
    peer_key: str = ""
    platform: PlatformAddresses | None = None
    store: StoreAccess | None = None
    seed_peers: tuple[str, ...] = ()


def decode_settings(raw):
    """Decode and check process settings.

    Returns
    -------
    Result
        ``Success(Settings)`` or ``Failure(tuple of Fault)``.
    """
    match decode_document(raw, Settings):
        case Failure(faults):
            return Failure(faults)
        case Success(settings):
            found = _check_settings(settings)
            return Failure(tuple(found)) if found else Success(settings)


def read_settings(path):
    """Read settings from the file at `path`; see :func:`decode_settings`."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        fault = Fault("$", f"cannot read {path}: {error.strerror}", "check the path")
        return Failure((fault,))
    return decode_settings(raw)


def _check_settings(settings):
    faults = []
    listeners = ("caller_address", "peer_address", "operator_address")
    for name in listeners:
        _check_address(getattr(settings, name), f"$.{name}", faults)
    bound = [getattr(settings, name) for name in listeners]
    fixed = [address for address in bound if not address.endswith(":0")]
    if len(set(fixed)) != len(fixed):
        faults.append(
            Fault("$", "two listeners share an address", "give each its own address")
        )
    _check_provider(settings, faults)
    for i, address in enumerate(settings.seed_peers):
        _check_address(address, f"$.seed_peers[{i}]", faults)
    needs_key = settings.store is None or settings.peer_key
    if needs_key and len(settings.peer_key) < _MIN_KEY_CHARACTERS:
        faults.append(
            Fault(
                "$.peer_key",
                f"shorter than {_MIN_KEY_CHARACTERS} characters",
                "use a long random key, the same on every VM",
            )
        )
    return faults


def _check_provider(settings, faults):
    platform, store = settings.platform, settings.store
    if (platform is None) == (store is None):
        fix = "name the provider's services or its store"
        faults.append(Fault("$", "not exactly one of platform and store", fix))
        return
    if platform is not None:
        for name in ("configuration", "vm_list", "directory"):
            _check_address(getattr(platform, name), f"$.platform.{name}", faults)
        return
    for name in ("address", "readiness_address", "directory_address"):
        _check_address(getattr(store, name), f"$.store.{name}", faults)
    if store.domains.get(settings.failure_domain) != settings.region:
        fix = "list every failure domain with its region"
        text = f"'{settings.failure_domain}' is not in '{settings.region}'"
        faults.append(Fault("$.store.domains", text, fix))


def _check_address(address, path, faults):
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
        valid = 0 <= int(port) <= 65535
    except ValueError:
        valid = False
    if not valid:
        faults.append(
            Fault(path, f"'{address}' is not ip:port", "use an IP number and a port")
        )
