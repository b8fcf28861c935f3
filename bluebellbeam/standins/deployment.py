"""VM records and backend server stand-ins of a deployment.

They are derived from the base file of its configuration.
"""

from bluebellbeam.provider.records import VmRecord
from bluebellbeam.standins.engine import make_engine
from bluebellbeam.standins.service import make_service

__all__ = ["Fleet", "make_fleet", "publish_vm_lists"]

DAEMONS_PER_SITE = 2

ENGINE_SLOTS = 8
"""Requests that an engine runs at once by default."""


class Fleet:
    """VM records and backend server stand-ins of one deployment.

    Attributes
    ----------
    base : dict
        Base file as decoded JSON.
    entry_vms : dict of str to VmRecord
        Records of the entry VMs by name.
    backends : dict of str to VmRecord
        Records of the backend servers by name.
    engines : dict of str to Engine
        Engine stand-ins by backend server name.
    services : dict of str to PlainService
        Plain service stand-ins by backend server name.
    """

    __slots__ = ("base", "entry_vms", "backends", "engines", "services")

    def __init__(self, base):
        self.base = base
        self.entry_vms = {}
        self.backends = {}
        self.engines = {}
        self.services = {}

    def server(self, name):
        """Return the engine or plain service called `name`."""
        return self.engines.get(name) or self.services[name]

    def site_of_vm(self, vm):
        """Return the site of an entry VM."""
        region = self.entry_vms[vm].region
        return next(s for s, v in self.base["sites"].items() if v["region"] == region)


def make_fleet(base, slots=ENGINE_SLOTS, service_replicas=1, **speeds):
    """Create the entry VMs and backend servers of a deployment.

    The region of each site gets two entry VMs, in different failure domains if
    it has several, the model replicas that the base file lists, and replicas
    of each service.

    Parameters
    ----------
    base : dict
        Base file as decoded JSON.
    slots : int
        Requests that each engine runs at once.
    service_replicas : int
        Replicas of each plain service in each region.
    **speeds
        Speeds and sizes passed to :func:`make_engine`; they override those of
        the base file.

    Returns
    -------
    Fleet
    """
    fleet = Fleet(base)
    for site, item in base["sites"].items():
        domains = [
            name
            for name, domain in base["failure_domains"].items()
            if domain["region"] == item["region"]
        ]
        _add_entry_vms(fleet, site, item["region"], domains)
        _add_engines(fleet, item["region"], domains, slots, speeds)
        _add_services(fleet, item["region"], domains, service_replicas)
    return fleet


def _add_entry_vms(fleet, site, region, domains):
    for i in range(DAEMONS_PER_SITE):
        name = f"{site}-{i + 1}"
        fleet.entry_vms[name] = VmRecord(
            name=name,
            role="entry",
            region=region,
            failure_domain=domains[i % len(domains)],
            peer_address=f"peer:{name}",
            caller_address=f"caller:{name}",
        )


def _add_engines(fleet, region, domains, slots, speeds):
    for model, item in fleet.base.get("models", {}).items():
        loaded = [f"{model}@{item['version']}"]
        for adapter, detail in fleet.base.get("adapters", {}).items():
            if detail["model"] == model:
                loaded.append(f"{adapter}@{detail['version']}")
        values = {
            "prefill_tokens_per_s": item["prefill_tokens_per_s"],
            "inter_token_ms": item["inter_token_ms"],
            **speeds,
        }
        for i in range(item["replicas"].get(region, 0)):
            name = f"{region}-{model}-{i + 1}"
            record = VmRecord(
                name=name,
                role="engine",
                region=region,
                failure_domain=domains[i % len(domains)],
                address=f"server:{name}",
                fenced=True,
                checks_sender=True,
                guarded=True,
            )
            fleet.backends[name] = record
            fleet.engines[name] = make_engine(record, slots, loaded, **values)


def _add_services(fleet, region, domains, count):
    for service, item in fleet.base.get("services", {}).items():
        for i in range(count):
            name = f"{region}-{service}-{i + 1}"
            record = VmRecord(
                name=name,
                role="service",
                region=region,
                failure_domain=domains[i % len(domains)],
                address=f"server:{name}",
                service=service,
            )
            fleet.backends[name] = record
            fleet.services[name] = make_service(record, service_ms=item["expected_ms"])


def publish_vm_lists(store, fleet):
    """Publish the VM lists: the entry VMs, and each region's backend servers."""
    store.publish_vms("entries", fleet.entry_vms.values())
    for region in fleet.base["regions"]:
        rows = [r for r in fleet.backends.values() if r.region == region]
        store.publish_vms(f"backends/{region}", rows)
