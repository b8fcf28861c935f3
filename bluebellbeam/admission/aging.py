"""Bounded aging: the least share that a class or a workspace gets of a queue.

Strict urgency would starve the less urgent classes while the more urgent ones use the
whole capacity. Each waiting class and workspace therefore becomes due at
`GUARANTEED_SHARE` of the mean rate at which requests leave the queue, and is then
served first. The precedence is bounded: at most that share of all requests is served
for classes, and the same for workspaces.
"""

__all__ = ["GUARANTEED_SHARE", "AgingTable", "count_served", "is_due", "mark_waiting"]

GUARANTEED_SHARE = 0.32
"""Share of the mean service for which a waiting class or workspace goes first. At least
a quarter is required; a class that is rejected at times does not wait all the time,
and got 0.22 of the mean with a share of 0.25."""

MAX_CREDIT = 1.0
"""Requests by which one that was served more often may be behind its guarantee, so
that service of the past does not delay it for long."""


class AgingTable:
    """Virtual time of the guarantee, for classes or for workspaces.

    Attributes
    ----------
    virtual_time : float
        Requests that have been guaranteed to each waiting key so far.
    due_at : dict of hashable to float
        Virtual time from which a key is due.
    """

    __slots__ = ("virtual_time", "due_at")

    def __init__(self):
        self.virtual_time = 0.0
        self.due_at = {}


def mark_waiting(table, key):
    """Start the guarantee of a key that did not wait before."""
    due_at = table.due_at.get(key, 0.0)
    table.due_at[key] = max(due_at, table.virtual_time)


def is_due(table, key):
    """Return whether a waiting key is to be served before more urgent ones."""
    return table.due_at.get(key, 0.0) <= table.virtual_time


def count_served(table, key, waiting):
    """Count a request of `key` that leaves the queue; `waiting` keys compete."""
    table.virtual_time += GUARANTEED_SHARE / max(1, waiting)
    due_at = max(table.due_at.get(key, 0.0), table.virtual_time) + 1.0
    table.due_at[key] = min(due_at, table.virtual_time + 1.0 + MAX_CREDIT)


def prune_keys(table):
    """Remove the keys whose guarantee starts anew when they wait again."""
    now = table.virtual_time
    table.due_at = {key: at for key, at in table.due_at.items() if at > now}
