"""Membership of entry VMs and their status, with failure detection."""

from bluebellbeam.membership.probe import (
    INDIRECT_PROBE_COUNT,
    Probe,
    ProbeSchedule,
    expire_probes,
    expire_suspicions,
    make_probe_schedule,
    next_targets,
    start_probe,
    suspect,
    take_updates,
)
from bluebellbeam.membership.table import (
    Member,
    MemberTable,
    StatusUpdate,
    apply_announcement,
    apply_update,
    make_member_table,
    queue_update,
    record_contact,
    update_listed,
    usable_members,
)

__all__ = [
    "INDIRECT_PROBE_COUNT",
    "Member",
    "MemberTable",
    "Probe",
    "ProbeSchedule",
    "StatusUpdate",
    "apply_announcement",
    "apply_update",
    "expire_probes",
    "expire_suspicions",
    "make_member_table",
    "make_probe_schedule",
    "next_targets",
    "queue_update",
    "record_contact",
    "start_probe",
    "suspect",
    "take_updates",
    "update_listed",
    "usable_members",
]
