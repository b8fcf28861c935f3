"""Ends of servers, and the requests and prompt parts that they were about to answer.

A server that ends for reasons of its own loses harmless requests as well. A harmful
part differs from its companions in that servers end under it repeatedly, while prompts
with the companions are served in between. A request that comes again is treated like a
part: it has names by its content, see :func:`bluebellbeam.quarantine.request_names`.

Servers may also end together, such as those of a failure domain without power, and a
popular request is lost at all of them. They had it side by side. A request that was
sent to a server after another one had ended under it is independent evidence, however
short the time between the two ends is.
"""

from collections import OrderedDict

__all__ = [
    "COMMON_CAUSE_MS",
    "EvidenceTable",
    "ServerEnd",
    "add_end",
    "add_loss",
    "confirm_loss",
    "drop_loss",
    "group_ends",
    "incriminating_ends",
    "is_succession",
    "make_evidence_table",
    "prune_evidence",
    "record_served",
    "repeated_names",
    "retried_names",
]

COMMON_CAUSE_MS = 300
"""Ends of servers within this time may have a cause in common, such as a failure domain
without power."""

MAX_ENDS = 128
"""Largest number of ends that are kept; the oldest one is dropped beyond it."""

END_TTL_MS = 600_000
"""Time for which an end is kept."""

MAX_PARTS_OF_END = 128
"""Largest number of parts that are kept with one end."""

MAX_SERVED_PARTS = 20_000
"""Largest number of parts of which it is known when they were last served; the one
served longest ago is dropped beyond it."""


class ServerEnd:
    """End of a server, or the loss of requests there that may turn out to be one.

    Attributes
    ----------
    server, incarnation : str, int
    at_ms : int
        Time at which the first request was lost.
    parts : dict of str to int
        Position in its prompt of each shared part of the prompts that the server had
        not begun to answer, or only just. The names of the requests themselves have
        negative positions.
    retried : set of str
        Names of requests among them that were sent there only after another server had
        ended under them.
    """

    __slots__ = ("server", "incarnation", "at_ms", "parts", "retried")

    def __init__(self, server, incarnation, at_ms, parts, retried=()):
        self.server = server
        self.incarnation = incarnation
        self.at_ms = at_ms
        self.parts = parts
        self.retried = set(retried)


class EvidenceTable:
    """What this daemon has seen and heard of ends of servers and of served parts.

    Attributes
    ----------
    losses : dict of (str, int) to ServerEnd
        Losses of requests at servers that may still run, by server and incarnation.
    ends : OrderedDict of (str, int) to ServerEnd
        Ends of servers, by server and incarnation.
    served_ms : OrderedDict of str to int
        Time at which a prompt with a part was last served, by part.
    changed_ends : dict of (str, int) to set of str
        Names not shared with other daemons yet, by the end that they belong to.
    changed_served : set of str
        Parts that were served after an end that counted against them, not shared yet.
    needs_review : bool
        Whether ends have been added that no decision has taken into account yet.
    """

    __slots__ = (
        "losses",
        "ends",
        "served_ms",
        "changed_ends",
        "changed_served",
        "needs_review",
    )

    def __init__(self):
        self.losses = {}
        self.ends = OrderedDict()
        self.served_ms = OrderedDict()
        self.changed_ends = {}
        self.changed_served = set()
        self.needs_review = False


def make_evidence_table():
    """Return an empty table."""
    return EvidenceTable()


def add_loss(table, server, incarnation, positions, now_ms, retried=()):
    """Record that a request was lost before its response had got under way.

    Parameters
    ----------
    table : EvidenceTable
    server, incarnation : str, int
    positions : dict of str to int
        Position of each shared part of its prompt, and of its own names.
    now_ms : int
    retried : iterable of str
        Names of it under which another server had been lost before it was sent.
    """
    key = (server, incarnation)
    lost = ServerEnd(server, incarnation, now_ms, positions, positions.keys() & retried)
    if key in table.ends:
        add_end(table, lost)
        return
    loss = table.losses.get(key)
    if loss is None:
        loss = table.losses[key] = ServerEnd(server, incarnation, now_ms, {})
    _merge_parts(loss, lost)


def drop_loss(table, key):
    """Forget a loss, since the server turned out to run."""
    table.losses.pop(key, None)


def confirm_loss(table, key):
    """Record that the server at which requests were lost has ended.

    Returns
    -------
    ServerEnd or None
        None if no request was lost there.
    """
    loss = table.losses.pop(key, None)
    if loss is not None:
        add_end(table, loss)
    return loss


def add_end(table, end):
    """Record an end of a server; return whether anything of it is new."""
    key = (end.server, end.incarnation)
    known = table.ends.get(key)
    if known is None:
        known = ServerEnd(end.server, end.incarnation, end.at_ms, {})
        table.ends[key] = known
        if len(table.ends) > MAX_ENDS:
            dropped, _ = table.ends.popitem(last=False)
            table.changed_ends.pop(dropped, None)
    changed = _merge_parts(known, end)
    if not changed:
        return False
    known.at_ms = min(known.at_ms, end.at_ms)
    table.changed_ends.setdefault(key, set()).update(changed)
    table.needs_review = True
    return True


def _merge_parts(end, other):
    """Add the parts of a report on the same end; return the names that have changed.

    A request that any daemon had sent there before other servers ended counts as not
    retried, whatever the order of the reports is.
    """
    changed = []
    for name, position in other.parts.items():
        if name in end.parts:
            if name in end.retried and name not in other.retried:
                end.retried.remove(name)
                changed.append(name)
        elif len(end.parts) < MAX_PARTS_OF_END:
            end.parts[name] = position
            changed.append(name)
            if name in other.retried:
                end.retried.add(name)
    return changed


def retried_names(table, names):
    """Return those of `names` under which a server has ended or was lost.

    Names that were served since are left out.
    """
    if not table.ends and not table.losses:
        return frozenset()
    return frozenset(
        name
        for found in (table.ends, table.losses)
        for end in found.values()
        for name in names
        if name in end.parts and _counts_against(table, end, name)
    )


def _counts_against(table, end, name):
    """Return whether a name was not served since an end under it."""
    return end.at_ms > table.served_ms.get(name, end.at_ms - 1)


def incriminating_ends(table):
    """Return the ends that count against each name, as a dict of lists.

    Names that were served after an end do not count against it.
    """
    found = {}
    for end in table.ends.values():
        for name in end.parts:
            if _counts_against(table, end, name):
                found.setdefault(name, []).append(end)
    return found


def group_ends(ends):
    """Return the ends in groups that may have a cause in common, the earliest first."""
    groups = []
    for end in sorted(ends, key=lambda end: end.at_ms):
        if groups and end.at_ms - groups[-1][0].at_ms <= COMMON_CAUSE_MS:
            groups[-1].append(end)
        else:
            groups.append([end])
    return groups


def is_succession(table, name, group):
    """Return whether the servers of a group of ends ended one after the other.

    So they did if the name was retried at all of them but the first, unless another
    server ended without it at that time.
    """
    if len(group) == 1:
        return True
    if sum(name not in end.retried for end in group) > 1:
        return False
    first_ms = group[0].at_ms
    return not any(
        name not in end.parts and abs(end.at_ms - first_ms) <= COMMON_CAUSE_MS
        for end in table.ends.values()
    )


def record_served(table, parts, at_ms):
    """Record that a prompt with `parts` was served at `at_ms`."""
    served_ms = table.served_ms
    for name in parts:
        before_ms = served_ms.get(name)
        if before_ms is not None and before_ms >= at_ms:
            continue
        served_ms[name] = at_ms
        served_ms.move_to_end(name)
        if _refutes_end(table, name, before_ms, at_ms):
            table.changed_served.add(name)
    while len(served_ms) > MAX_SERVED_PARTS:
        served_ms.popitem(last=False)


def _refutes_end(table, name, before_ms, at_ms):
    """Return whether an end no longer counts against a part that was just served."""
    return any(
        name in end.parts
        and end.at_ms < at_ms
        and (before_ms is None or before_ms <= end.at_ms)
        for end in table.ends.values()
    )


def repeated_names(table):
    """Return the names that more than one end counts against."""
    return {name for name, ends in incriminating_ends(table).items() if len(ends) > 1}


def prune_evidence(table, now_ms):
    """Remove outdated ends."""
    while table.ends:
        key, end = next(iter(table.ends.items()))
        if now_ms - end.at_ms <= END_TTL_MS:
            return
        del table.ends[key]
        table.changed_ends.pop(key, None)
