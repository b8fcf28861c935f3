"""Records and configuration of a fleet of the planned size."""

import msgspec
from msgspec import Struct

from bluebellbeam.provider.records import VmRecord

__all__ = [
    "FleetSize",
    "TARGET_FLEET",
    "make_backend_records",
    "make_base",
    "make_entry_records",
]


class FleetSize(Struct, frozen=True):
    """Size, load and rates of change of a fleet.

    Parameters
    ----------
    daemons, replicas, workspaces, models, regions : int
        Number of each in the whole fleet.
    domains : int
        Number of failure domains.
    changes_a_day : int
        Configuration changes per day.
    requests, tokens : float
        Requests and tokens per second.
    restarts_a_day, failures_a_day : int
        Restarts and failures of VMs per day.
    largest_share : float
        Share of the daemons and replicas that are in the largest region.
    """

    daemons: int = 350
    replicas: int = 4300
    workspaces: int = 5900
    models: int = 26
    regions: int = 8
    domains: int = 31
    changes_a_day: int = 9000
    requests: float = 3700.0
    tokens: float = 920_000.0
    restarts_a_day: int = 1300
    failures_a_day: int = 33
    largest_share: float = 0.34

    @property
    def largest_region_daemons(self):
        """Number of daemons in the largest region."""
        return round(self.daemons * self.largest_share)

    @property
    def largest_region_replicas(self):
        """Number of replicas in the largest region."""
        return round(self.replicas * self.largest_share)

    @property
    def daemon_requests_per_s(self):
        """Mean requests per second from callers to one daemon."""
        return self.requests / self.daemons


TARGET_FLEET = FleetSize()
"""Planned fleet, which the gateway must support."""


def region_name(i):
    """Return the name of region `i`."""
    return f"region-{i}"


def make_base(fleet):
    """Return the base file of a fleet as decoded JSON.

    Its policy has longer intervals than the defaults, as a large fleet needs.
    """
    regions = [region_name(i) for i in range(fleet.regions)]
    domains = {
        f"domain-{i}": {"region": regions[i % fleet.regions]}
        for i in range(fleet.domains)
    }
    models = {
        f"model-{i}": {
            "version": "v1",
            "replicas": dict.fromkeys(regions, 20),
        }
        for i in range(fleet.models)
    }
    workspaces = {
        f"workspace-{i}": _make_workspace(i, regions, fleet.models)
        for i in range(fleet.workspaces)
    }
    return {
        "deployment": "target",
        "regions": {r: {"one_way_delay_ms": {}} for r in regions},
        "failure_domains": domains,
        "sites": {f"site-{i}": {"region": r} for i, r in enumerate(regions)},
        "models": models,
        "services": {"service-0": {"calls": [{"method": "GET", "idempotent": True}]}},
        "workspaces": workspaces,
        "policy": {
            "probe_interval_ms": 3000,
            "suspect_timeout_ms": 9000,
            "load_interval_ms": 1000,
            "load_polls_per_s": 0.5,
        },
    }


def _make_workspace(i, regions, models):
    home_only = i % 6 == 0
    home = regions[i % len(regions)]
    item = {
        "weight": 1.0 + i % 3,
        "home_region": home,
        "allowed_regions": [home] if home_only else regions[:4] + [home],
        "borrow_slots": 0 if home_only else 8,
        "models": [f"model-{(i + j) % models}" for j in range(3)],
        "services": ["service-0"],
        "rate_tokens_per_s": 1e9,
    }
    item["allowed_regions"] = sorted(set(item["allowed_regions"]))
    return item


def make_entry_records(fleet):
    """Return the records of the entry VMs; region 0 is the largest."""
    records = []
    for i in range(fleet.daemons):
        region = 0 if i < fleet.largest_region_daemons else 1 + i % (fleet.regions - 1)
        records.append(
            VmRecord(
                name=f"entry-{i:04d}",
                incarnation=1_796_000_000_000 + i,
                role="entry",
                region=region_name(region),
                failure_domain=f"domain-{region + fleet.regions * (i % 4)}",
                peer_address=f"10.0.{i // 250}.{i % 250}:7081",
                caller_address=f"10.0.{i // 250}.{i % 250}:7080",
            )
        )
    return records


def make_backend_records(fleet):
    """Return the records of the replicas in the largest region."""
    return [
        VmRecord(
            name=f"engine-{i:05d}",
            incarnation=1_796_000_000_000 + i,
            role="engine",
            region=region_name(0),
            failure_domain=f"domain-{fleet.regions * (i % 4)}",
            address=f"10.1.{i // 250}.{i % 250}:8000",
            fenced=True,
            checks_sender=True,
            guarded=True,
        )
        for i in range(fleet.largest_region_replicas)
    ]


def encode_records(records):
    """Return the records as the parts of a feed: JSON by name of the VM."""
    return {r.name: msgspec.json.encode(msgspec.to_builtins(r)) for r in records}
