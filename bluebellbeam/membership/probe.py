"""Failure detection by probes, indirect probes and suspicion.

References
----------
.. [1] Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
   Infection-style Process Group Membership Protocol", DSN 2002.
"""

import math

from bluebellbeam.membership.table import StatusUpdate, queue_update

__all__ = [
    "Probe",
    "ProbeSchedule",
    "expire_probes",
    "expire_suspicions",
    "make_probe_schedule",
    "next_targets",
    "start_probe",
    "suspect",
    "take_updates",
]

UPDATES_PER_MESSAGE = 8
"""Maximum number of status updates carried by one message."""

INDIRECT_PROBE_COUNT = 2
"""Number of members that are requested to probe a member on behalf of this daemon
after a direct probe had no response."""

REMOTE_INTERVAL_ROUNDS = 3
"""Number of probe rounds between two probes of members of other regions."""


class Probe:
    """A probe that has not been answered yet.

    Attributes
    ----------
    target : str
    incarnation : int
        Incarnation of the probed process. A failure of the probe is no
        evidence against a later incarnation.
    sent_ms : int
    indirect : bool
        Whether other members have been requested to probe the target too.
    """

    __slots__ = ("target", "incarnation", "sent_ms", "indirect")

    def __init__(self, target, incarnation, sent_ms):
        self.target = target
        self.incarnation = incarnation
        self.sent_ms = sent_ms
        self.indirect = False


class ProbeSchedule:
    """Order in which members are probed, and the unanswered probes.

    Attributes
    ----------
    local, remote : list of str
        Members of the own and of other regions that are still to be probed before
        the list is filled again; the last one is probed next.
    rounds : int
        Probe rounds so far.
    pending : dict of str to Probe
        Unanswered probes by target.
    next_round_ms : int
        Time of the next round.
    """

    __slots__ = ("local", "remote", "rounds", "pending", "next_round_ms")

    def __init__(self):
        self.local = []
        self.remote = []
        self.rounds = 0
        self.pending = {}
        self.next_round_ms = 0


def make_probe_schedule():
    """Return an empty schedule."""
    return ProbeSchedule()


def next_targets(schedule, table, own, region, rng):
    """Return the members to probe in this round.

    This is one member of the own region and, every `REMOTE_INTERVAL_ROUNDS`
    rounds, one of another region. Each list is shuffled and probed to its end
    before any of its members is probed again, which bounds the time to detect a
    failure.
    """
    schedule.rounds += 1
    targets = []
    local = _next_in_order(
        schedule.local, table, rng, lambda m: m.region == region, own
    )
    if local is not None:
        targets.append(local)
    if schedule.rounds % REMOTE_INTERVAL_ROUNDS == 1 or local is None:
        remote = _next_in_order(
            schedule.remote, table, rng, lambda m: m.region != region, own
        )
        if remote is not None:
            targets.append(remote)
    return targets


def start_probe(schedule, table, name, now_ms):
    """Record a probe of member `name`, unless one is already unanswered."""
    row = table.rows[name]
    probe = schedule.pending.get(name)
    if probe is None or probe.incarnation != row.incarnation:
        schedule.pending[name] = Probe(name, row.incarnation, now_ms)


def expire_probes(schedule, table, now_ms, timeout_ms):
    """Return the targets ``(unanswered, failed)`` of overdue probes.

    Probes that have failed are dropped, as are probes of earlier incarnations.

    Returns
    -------
    unanswered : list of str
        Members that have not responded within `timeout_ms` and are to be probed
        indirectly. Each probe is returned here once.
    failed : list of str
        Members that have not responded within twice that time, neither directly
        nor indirectly.
    """
    unanswered = []
    failed = []
    for target, probe in list(schedule.pending.items()):
        row = table.rows.get(target)
        if row is None or row.incarnation != probe.incarnation:
            del schedule.pending[target]
            continue
        age_ms = now_ms - probe.sent_ms
        if age_ms >= 2 * timeout_ms:
            del schedule.pending[target]
            failed.append(target)
        elif age_ms >= timeout_ms and not probe.indirect:
            probe.indirect = True
            unanswered.append(target)
    return unanswered, failed


def suspect(table, name, now_ms):
    """Mark member `name` as suspect and queue the update.

    Returns
    -------
    bool
        False if the member is unknown or not alive.
    """
    row = table.rows.get(name)
    if row is None or row.status != "alive":
        return False
    row.status = "suspect"
    row.suspected_since_ms = now_ms
    update = StatusUpdate("m", name, row.incarnation, row.refutation, "suspect")
    queue_update(table, update)
    return True


def expire_suspicions(table, now_ms, timeout_ms):
    """Mark members as dead whose suspicion has not been refuted in time.

    Returns
    -------
    list of str
        Names of the members marked dead.
    """
    dead = []
    for name, row in table.rows.items():
        if row.status == "suspect" and now_ms - row.suspected_since_ms >= timeout_ms:
            row.status = "dead"
            table.generation += 1
            update = StatusUpdate("m", name, row.incarnation, row.refutation, "dead")
            queue_update(table, update)
            dead.append(name)
    return dead


def take_updates(table, count=UPDATES_PER_MESSAGE):
    """Return up to `count` queued updates, the least often sent first.

    An update is removed from the queue once it has been sent a number of times
    that grows with the logarithm of the number of members.
    """
    if not table.updates:
        return ()
    limit = 3 * max(1, math.ceil(math.log2(len(table.rows) + 2)))
    chosen = sorted(table.updates.items(), key=lambda item: item[1][1])[:count]
    for key, entry in chosen:
        entry[1] += 1
        if entry[1] >= limit:
            del table.updates[key]
    return tuple(entry[0] for _, entry in chosen)


def _next_in_order(order, table, rng, is_eligible, own):
    """Return the next member of the shuffled list `order`, refilling it if empty."""
    for _ in range(2):
        while order:
            name = order.pop()
            row = table.rows.get(name)
            if row is not None and is_eligible(row):
                return name
        order.extend(
            n for n, row in table.rows.items() if n != own and is_eligible(row)
        )
        order.sort()
        rng.shuffle(order)
    return None
