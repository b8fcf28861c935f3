"""Which entry VMs exist, run, are suspected or are leaving."""

from bluebellbeam.membership.probe import (
    INDIRECT_PROBES,
    Probe,
    ProbeRing,
    expire_probes,
    expire_suspicions,
    make_probe_ring,
    next_targets,
    start_probe,
    suspect,
    take_rumors,
)
from bluebellbeam.membership.table import (
    Member,
    MemberTable,
    Rumor,
    apply_rumor,
    introduce_member,
    make_member_table,
    note_heard,
    spread_rumor,
    update_listed,
    usable_members,
)

__all__ = [
    "INDIRECT_PROBES",
    "Member",
    "MemberTable",
    "Probe",
    "ProbeRing",
    "Rumor",
    "apply_rumor",
    "expire_probes",
    "expire_suspicions",
    "introduce_member",
    "make_member_table",
    "make_probe_ring",
    "next_targets",
    "note_heard",
    "spread_rumor",
    "start_probe",
    "suspect",
    "take_rumors",
    "update_listed",
    "usable_members",
]
