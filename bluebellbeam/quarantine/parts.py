"""Requests and parts of prompts in quarantine, and the choice of those to put there.

Both are called parts here, as both are found by their names among what ended servers.
"""

from bluebellbeam.quarantine.evidence import (
    group_ends,
    incriminating_ends,
    is_succession,
    prune_evidence,
)
from bluebellbeam.quarantine.names import REQUEST_NAME_PREFIX

__all__ = [
    "ENDS_OF_NEW_REQUEST_TOGETHER",
    "PartQuarantine",
    "QuarantineTable",
    "adopt_quarantine",
    "find_quarantine",
    "is_trial_due",
    "make_quarantine_table",
    "start_trial",
    "update_quarantines",
]

ENDS_OF_NEW_PART = 3
"""Ends of servers after which a part is put in quarantine that was never served: one
or two may be coincidence."""

ENDS_OF_SERVED_PART = 5
"""The same for a part that was served before."""

ENDS_OF_NEW_REQUEST_TOGETHER = 4
ENDS_OF_NEW_PART_TOGETHER = 5
"""Ends of servers, all at once, after which a request or a part is put in quarantine
that was never served: a harmless one that so many servers have at a time is popular,
so it was served before."""

SETTLE_MS = 600
"""Age from which an end of a server counts: by then the daemons that had sent it
prompts have exchanged which ones."""

FIRST_TRIAL_MS = 60_000
"""Time after which one prompt with a part in quarantine is tried again. It doubles with
each failed trial."""

MAX_TRIAL_DOUBLINGS = 4

TRIAL_MS = 10_000
"""Time after which a trial without a result counts as lost, and another may begin."""

TRIAL_STEP_MS = 1000
"""Time between the daemons that may begin a trial, in the order of their ranks; longer
than the way of a message between any two of them."""

MAX_QUARANTINES = 64
"""Largest number of parts in quarantine; the oldest one is dropped beyond it."""


class PartQuarantine:
    """A part of prompts that are refused, since servers end when they answer them.

    Attributes
    ----------
    part : str
        Name of the part, or of a request that is refused by itself.
    since_ms : int
        Start of the quarantine.
    ends : int
        Number of ends of servers that counted against the part then.
    failed_trials : int
        Number of trials in which a server has ended.
    retry_ms : int
        Time from which one prompt may be tried.
    trial_ms : int
        Start of the current trial at any daemon; 0 if there is none.
    """

    __slots__ = ("part", "since_ms", "ends", "failed_trials", "retry_ms", "trial_ms")

    def __init__(self, part, since_ms, ends=0, failed_trials=0):
        self.part = part
        self.since_ms = since_ms
        self.ends = ends
        self.failed_trials = failed_trials
        self.retry_ms = since_ms + trial_interval_ms(failed_trials)
        self.trial_ms = 0


class QuarantineTable:
    """Parts in quarantine.

    Attributes
    ----------
    rows : dict of str to PartQuarantine
        Quarantines by part, the oldest one first.
    changed : set of str
        Parts whose quarantine has changed and was not shared with other daemons yet.
    """

    __slots__ = ("rows", "changed")

    def __init__(self):
        self.rows = {}
        self.changed = set()


def make_quarantine_table():
    """Return an empty table."""
    return QuarantineTable()


def trial_interval_ms(failed_trials):
    """Return the time before the next trial after `failed_trials`."""
    return FIRST_TRIAL_MS * 2 ** min(failed_trials, MAX_TRIAL_DOUBLINGS)


def find_quarantine(table, parts):
    """Return the quarantine that concerns a prompt with `parts`, or None.

    Of several, the one with the latest trial is returned.
    """
    if not table.rows:
        return None
    found = [table.rows[name] for name in parts if name in table.rows]
    return max(found, key=lambda row: row.retry_ms, default=None)


def is_trial_due(row, rank, now_ms):
    """Return whether the daemon of this rank may try a prompt with the part.

    Parameters
    ----------
    row : PartQuarantine
    rank : int
        Position of the daemon in an order of the daemons that all of them know.
    now_ms : int
    """
    if row.trial_ms and now_ms - row.trial_ms < TRIAL_MS:
        return False
    return now_ms >= row.retry_ms + rank * TRIAL_STEP_MS


def start_trial(table, row, now_ms):
    """Record that a prompt with a part in quarantine is being tried."""
    row.trial_ms = now_ms
    table.changed.add(row.part)


def adopt_quarantine(table, evidence, other):
    """Merge a quarantine that another daemon has reported.

    Parameters
    ----------
    table : QuarantineTable
    evidence : EvidenceTable
    other : PartQuarantine
        With times on the clock of this daemon.

    Returns
    -------
    bool
        Whether the table has changed.
    """
    if evidence.served_ms.get(other.part, other.since_ms) > other.since_ms:
        # The sender has missed that the part was served.
        evidence.changed_served.add(other.part)
        return False
    row = table.rows.get(other.part)
    if row is None:
        _add_row(table, evidence, other)
        return True
    if other.failed_trials > row.failed_trials:
        row.failed_trials = other.failed_trials
        row.retry_ms = other.retry_ms
        row.trial_ms = other.trial_ms
    elif other.trial_ms - row.trial_ms >= TRIAL_MS:
        row.trial_ms = other.trial_ms
    else:
        return False
    table.changed.add(row.part)
    return True


def update_quarantines(table, evidence, now_ms):
    """Bring the quarantines up to date with the evidence.

    Returns
    -------
    added, lifted, retried : list of PartQuarantine
        New quarantines, those that have ended because the part was served, and those
        with a failed trial.
    """
    prune_evidence(evidence, now_ms)
    lifted = [
        row
        for row in table.rows.values()
        if evidence.served_ms.get(row.part, row.since_ms) > row.since_ms
    ]
    for row in lifted:
        del table.rows[row.part]
        table.changed.discard(row.part)
        _drop_ends(evidence, row.part)
    retried = [row for row in table.rows.values() if _has_failed(row, evidence)]
    for row in retried:
        row.failed_trials += 1
        row.trial_ms = 0
        row.retry_ms = now_ms + trial_interval_ms(row.failed_trials)
        table.changed.add(row.part)
    return _add_worst_parts(table, evidence, now_ms), lifted, retried


def _add_worst_parts(table, evidence, now_ms):
    """Put the parts with enough ends in quarantine; return the new rows."""
    added = []
    if not evidence.needs_review:
        return added
    while (found := _worst_part(table, evidence, now_ms)) is not None:
        added.append(PartQuarantine(found[0], now_ms, found[1]))
        _add_row(table, evidence, added[-1])
    evidence.needs_review = any(
        now_ms - end.at_ms < SETTLE_MS for end in evidence.ends.values()
    )
    return added


def _add_row(table, evidence, row):
    table.rows[row.part] = row
    table.changed.add(row.part)
    if len(table.rows) > MAX_QUARANTINES:
        oldest = next(iter(table.rows))
        del table.rows[oldest]
        table.changed.discard(oldest)
        _drop_ends(evidence, oldest)


def _drop_ends(evidence, part):
    """Remove the ends that were attributed to a part whose quarantine has ended."""
    for key in [key for key, end in evidence.ends.items() if part in end.parts]:
        del evidence.ends[key]
        evidence.changed_ends.pop(key, None)


def _has_failed(row, evidence):
    """Return whether a server has ended in the current trial of a part."""
    return bool(row.trial_ms) and any(
        row.part in end.parts and end.at_ms >= row.trial_ms
        for end in evidence.ends.values()
    )


def _worst_part(table, evidence, now_ms):
    """Return the part that has to be put in quarantine next, and its ends, or None.

    Of the parts with enough ends the one served longest ago is chosen, then the one
    with most ends, then the one that stands last in its prompts, since the first parts
    are those that most prompts share. Requests come after parts, as a part may come
    back in other requests.
    """
    found = []
    for_requests, for_parts = _explained_ends(table, evidence)
    for name, ends in incriminating_ends(evidence).items():
        explained = for_requests if _is_request(name) else for_parts
        ends = [
            end
            for end in ends
            if now_ms - end.at_ms >= SETTLE_MS and end not in explained
        ]
        count = _count_ends(evidence, name, ends)
        if count and not _is_request_at_fault(evidence, name, ends):
            position = max(end.parts[name] for end in ends)
            last_ms = evidence.served_ms.get(name, float("-inf"))
            found.append((last_ms, -count, -position, name))
    if not found:
        return None
    _, count, _, name = min(found)
    return name, -count


def _is_request(name):
    return name.startswith(REQUEST_NAME_PREFIX)


def _explained_ends(table, evidence):
    """Return the ends that what is in quarantine explains.

    A request in quarantine may have ended servers because of a part of its prompt, so
    its ends still count against parts.

    Returns
    -------
    for_requests, for_parts : set of ServerEnd
        Ends that count against no further request, and no further part.
    """
    for_requests, for_parts = set(), set()
    for end in evidence.ends.values():
        causes = table.rows.keys() & end.parts.keys()
        if causes:
            for_requests.add(end)
        if not all(_is_request(name) for name in causes):
            for_parts.add(end)
    return for_requests, for_parts


def _is_request_at_fault(evidence, name, ends):
    """Return whether one and the same request explains all `ends` under a part.

    It does if it was not served after the part was.
    """
    if _is_request(name):
        return False
    requests = [{other for other in end.parts if _is_request(other)} for end in ends]
    served_ms, never = evidence.served_ms, float("-inf")
    last_ms = served_ms.get(name, never)
    return any(
        served_ms.get(other, never) <= last_ms for other in set.intersection(*requests)
    )


def _count_ends(evidence, name, ends):
    """Return the number of ends to hold against a name, or 0 if they are too few."""
    is_request, is_served = _is_request(name), name in evidence.served_ms
    groups = group_ends(ends)
    if is_request:
        count = sum(
            len(group) if is_succession(evidence, name, group) else 1
            for group in groups
        )
    else:
        # New prompts with a part reach servers at any moment, whatever has ended there.
        count = len(groups)
    if is_served:
        return count if count >= ENDS_OF_SERVED_PART else 0
    together = ENDS_OF_NEW_REQUEST_TOGETHER if is_request else ENDS_OF_NEW_PART_TOGETHER
    if len(ends) >= together:
        return len(ends)
    return count if count >= ENDS_OF_NEW_PART else 0
