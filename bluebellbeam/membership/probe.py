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
"""Rumors carried by one message."""

INDIRECT_PROBES = 2
"""Members asked to probe on our behalf when a probe has no answer."""

REMOTE_ROUNDS = 3
"""Rounds between two probes into another region."""


class Probe:
    """A probe that waits for its answer.

    Attributes
    ----------
    target : str
    incarnation : int
        Process that is asked; no answer says nothing of its successor.
    sent_ms : int
    indirect : bool
        Whether other members have been asked to probe as well.
    """

    __slots__ = ("target", "incarnation", "sent_ms", "indirect")

    def __init__(self, target, incarnation, sent_ms):
        self.target = target
        self.incarnation = incarnation
        self.sent_ms = sent_ms
        self.indirect = False


class ProbeSchedule:
    """Order in which members are probed, and probes without an answer yet."""

    __slots__ = ("local", "remote", "rounds", "pending", "next_round_ms")

    def __init__(self):
        self.local = []
        self.remote = []
        self.rounds = 0
        self.pending = {}
        self.next_round_ms = 0


def make_probe_schedule():
    """Return an empty ring."""
    return ProbeSchedule()


def next_targets(ring, table, own, region, rng):
    """Return the members to probe this round.

    One member of the own region each round, and one of another region every
    `REMOTE_ROUNDS`. Each list is walked in a random order before any member
    comes again, which bounds the time to detect a failure.
    """
    ring.rounds += 1
    targets = []
    local = _draw(ring.local, table, rng, lambda m: m.region == region, own)
    if local is not None:
        targets.append(local)
    if ring.rounds % REMOTE_ROUNDS == 1 or local is None:
        remote = _draw(ring.remote, table, rng, lambda m: m.region != region, own)
        if remote is not None:
            targets.append(remote)
    return targets


def start_probe(ring, table, name, now_ms):
    """Note that member `name` is probed now, unless an answer is awaited."""
    row = table.rows[name]
    probe = ring.pending.get(name)
    if probe is None or probe.incarnation != row.incarnation:
        ring.pending[name] = Probe(name, row.incarnation, now_ms)


def expire_probes(ring, table, now_ms, timeout_ms):
    """Return ``(unanswered, failed)`` probes.

    Unanswered probes are to be tried indirectly; failed ones have had no
    answer by either way and are dropped, as are those of former processes.
    """
    unanswered = []
    failed = []
    for target, probe in list(ring.pending.items()):
        row = table.rows.get(target)
        if row is None or row.incarnation != probe.incarnation:
            del ring.pending[target]
            continue
        age_ms = now_ms - probe.sent_ms
        if age_ms >= 2 * timeout_ms:
            del ring.pending[target]
            failed.append(target)
        elif age_ms >= timeout_ms and not probe.indirect:
            probe.indirect = True
            unanswered.append(target)
    return unanswered, failed


def suspect(table, name, now_ms):
    """Begin a suspicion of member `name` and spread it."""
    row = table.rows.get(name)
    if row is None or row.status != "alive":
        return False
    row.status = "suspect"
    row.suspected_since_ms = now_ms
    rumor = StatusUpdate("m", name, row.incarnation, row.refutation, "suspect")
    queue_update(table, rumor)
    return True


def expire_suspicions(table, now_ms, timeout_ms):
    """Declare dead the members whose suspicion nobody has contradicted.

    Returns
    -------
    list of str
        Members newly dead.
    """
    dead = []
    for name, row in table.rows.items():
        if row.status == "suspect" and now_ms - row.suspected_since_ms >= timeout_ms:
            row.status = "dead"
            table.generation += 1
            rumor = StatusUpdate("m", name, row.incarnation, row.refutation, "dead")
            queue_update(table, rumor)
            dead.append(name)
    return dead


def take_updates(table, count=UPDATES_PER_MESSAGE):
    """Return up to `count` rumors, least often sent first.

    A rumor is dropped once it has been sent a number of times that grows
    with the logarithm of the number of members.
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


def _draw(order, table, rng, wanted, own):
    for _ in range(2):
        while order:
            name = order.pop()
            row = table.rows.get(name)
            if row is not None and wanted(row):
                return name
        order.extend(n for n, row in table.rows.items() if n != own and wanted(row))
        order.sort()
        rng.shuffle(order)
    return None
