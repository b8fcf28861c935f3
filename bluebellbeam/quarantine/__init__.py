"""Quarantine of requests and prompt parts that end the servers that run them."""

from bluebellbeam.quarantine.evidence import (
    COMMON_CAUSE_MS,
    EvidenceTable,
    ServerEnd,
    add_end,
    add_loss,
    confirm_loss,
    drop_loss,
    make_evidence_table,
    record_served,
    repeated_names,
    retried_names,
)
from bluebellbeam.quarantine.names import REQUEST_NAME_PREFIX, request_names
from bluebellbeam.quarantine.parts import (
    ENDS_OF_NEW_REQUEST_TOGETHER,
    PartQuarantine,
    QuarantineTable,
    adopt_quarantine,
    find_quarantine,
    is_trial_due,
    make_quarantine_table,
    start_trial,
    update_quarantines,
)

__all__ = [
    "COMMON_CAUSE_MS",
    "ENDS_OF_NEW_REQUEST_TOGETHER",
    "REQUEST_NAME_PREFIX",
    "EvidenceTable",
    "PartQuarantine",
    "QuarantineTable",
    "ServerEnd",
    "add_end",
    "add_loss",
    "adopt_quarantine",
    "confirm_loss",
    "drop_loss",
    "find_quarantine",
    "is_trial_due",
    "make_evidence_table",
    "make_quarantine_table",
    "record_served",
    "repeated_names",
    "request_names",
    "retried_names",
    "start_trial",
    "update_quarantines",
]
