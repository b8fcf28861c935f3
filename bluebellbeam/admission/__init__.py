"""Admission control: fair queueing and rate limits of workspaces."""

from bluebellbeam.admission.queue import (
    PRIORITIES,
    FairQueue,
    cost_ahead,
    make_fair_queue,
    next_requests,
    pop_request,
    prune_flows,
    push_request,
    queued_ahead,
    remove_request,
    requests_by_urgency,
)
from bluebellbeam.admission.rate_limit import (
    RateTable,
    local_rate,
    make_rate_table,
    prune_buckets,
    take_tokens,
)

__all__ = [
    "PRIORITIES",
    "FairQueue",
    "RateTable",
    "cost_ahead",
    "local_rate",
    "make_fair_queue",
    "make_rate_table",
    "next_requests",
    "pop_request",
    "prune_buckets",
    "prune_flows",
    "push_request",
    "queued_ahead",
    "remove_request",
    "requests_by_urgency",
    "take_tokens",
]
