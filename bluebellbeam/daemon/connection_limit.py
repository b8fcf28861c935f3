"""Limit of the open connections of a process, below that of its descriptors.

A process that has used up its descriptors accepts no connection, although its readiness
check answers on a connection that is open. At the limit, the connection that was used
least recently and has no request is closed for each new one.
"""

import resource

import structlog
from sanic.http import Stage

__all__ = [
    "ConnectionLimit",
    "admit_connection",
    "has_refused_lately",
    "is_idle",
    "make_connection_limit",
]

INCOMING_SHARE = 0.5
"""Share of the descriptors for accepted connections. The request on each needs at most
one connection to a server or a peer at a time."""

MAX_SCANNED = 256
"""Largest number of connections that are examined to find an unused one."""

READ_INTERVAL_MS = 1000
"""Time for which the limit of the process is not read again."""

REFUSAL_MS = 1000
"""Time after a refused connection for which the process counts as exhausted."""

LOG_INTERVAL_MS = 10_000
"""Shortest time between two log lines."""

HEAD_END = b"\r\n\r\n"
"""End of the head of a request."""


class ConnectionLimit:
    """Connections of the listeners of one process.

    Attributes
    ----------
    clock : Clock
    vm : str
    activities : list of ListenerActivity
        Those of all listeners.
    closed, refused : int
        Connections that were closed for the sake of new ones, and new ones that were
        closed since all others had a request.
    max_open : int or None
        Largest number of accepted connections, as last read; None for no limit.
    read_ms, refused_ms, logged_ms : int or None
        Time at which the limit was last read, a connection refused, and a line logged.
    """

    __slots__ = (
        "clock",
        "vm",
        "activities",
        "closed",
        "refused",
        "max_open",
        "read_ms",
        "refused_ms",
        "logged_ms",
    )

    def __init__(self, clock, vm):
        self.clock = clock
        self.vm = vm
        self.activities = []
        self.closed = 0
        self.refused = 0
        self.max_open = None
        self.read_ms = None
        self.refused_ms = None
        self.logged_ms = None


def make_connection_limit(clock, vm):
    """Return the limit of a process without connections."""
    return ConnectionLimit(clock, vm)


def is_idle(connection):
    """Return whether no byte of a further request has been read from a connection.

    Parameters
    ----------
    connection : sanic.server.HttpProtocol
    """
    http = connection.http
    # Bytes may have been read before the task of a new connection starts.
    idle = http is None or http.stage is Stage.IDLE
    return idle and not connection.recv_buffer and connection.transport is not None


def admit_connection(limit, connection):
    """Close an unused connection if a new one exceeds the limit.

    If every other has a request, the new connection itself is closed.

    Parameters
    ----------
    limit : ConnectionLimit
    connection : CountedProtocol
        Already among the connections of its listener.
    """
    now_ms = limit.clock.now_ms()
    _read_limit(limit, now_ms)
    open_count = sum(activity.open for activity in limit.activities)
    if limit.max_open is None or open_count <= limit.max_open:
        return
    largest = sorted(limit.activities, key=lambda item: item.open, reverse=True)
    found = next((item for item in map(_least_recent, largest) if item), None)
    if found is None or found is connection:
        limit.refused += 1
        limit.refused_ms = now_ms
        connection.transport.close()
    else:
        limit.closed += 1
        found.transport.close()
    _log(limit, open_count, now_ms)


def has_refused_lately(limit):
    """Return whether a new connection has been refused within `REFUSAL_MS`."""
    refused_ms = limit.refused_ms
    return refused_ms is not None and limit.clock.now_ms() - refused_ms <= REFUSAL_MS


def _least_recent(activity):
    """Return the unused connection that was used least recently, or None.

    Those with a request are moved behind the others, so that they are not examined
    again for each new connection.
    """
    connections = activity.connections
    for _ in range(min(MAX_SCANNED, len(connections))):
        connection = next(iter(connections))
        if _may_be_closed(connection):
            return connection
        connections.move_to_end(connection)
    return None


def _may_be_closed(connection):
    """Return whether a connection has no request whose head is complete."""
    if connection.transport is None or connection.transport.is_closing():
        return False
    received = connection.recv_buffer
    is_incomplete = received and HEAD_END not in received
    http = connection.http
    is_head = http is not None and http.stage is Stage.REQUEST
    return is_idle(connection) or bool(is_head and is_incomplete)


def _read_limit(limit, now_ms):
    if limit.read_ms is not None and now_ms - limit.read_ms < READ_INTERVAL_MS:
        return
    limit.read_ms = now_ms
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    is_limited = soft != resource.RLIM_INFINITY
    limit.max_open = int(INCOMING_SHARE * soft) if is_limited else None


def _log(limit, open_count, now_ms):
    if limit.logged_ms is not None and now_ms - limit.logged_ms < LOG_INTERVAL_MS:
        return
    limit.logged_ms = now_ms
    structlog.get_logger().warning(
        "listener: connections at their limit",
        vm=limit.vm,
        open=open_count,
        limit=limit.max_open,
        closed=limit.closed,
        refused=limit.refused,
    )
