"""Idle connections to backend servers and peers, kept for the next request."""

from bluebellbeam.daemon.connection import open_upstream_connection

__all__ = ["ConnectionPool", "make_connection_pool"]

CONNECT_TIMEOUT_MS = 400
"""Several round trips to any server of the own region, with room for one lost
packet that is sent again early."""

CROSS_REGION_CONNECT_TIMEOUT_MS = 1000
"""The same for a daemon of another region."""

REUSE_MARGIN_MS = 1000
"""A connection is not used in the last second of the time that the other side
keeps it, since both would then cross."""

DEFAULT_KEEP_ALIVE_MS = 300
"""Idle time after which a connection is not used again where the other side
does not tell how long it keeps it."""

MAX_IDLE_MS = 8000
"""Longest idle time in any case."""


class ConnectionPool:
    """Idle connections by the process at their other end.

    Attributes
    ----------
    idle : dict of hashable to list of Channel
        Most recently used last.
    opened : int
        Connections made so far.
    """

    __slots__ = ("idle", "opened", "clock")

    def __init__(self, clock):
        self.idle = {}
        self.opened = 0
        self.clock = clock

    async def acquire(self, key, address, cross_region=False):
        """Return a connection to the process `key` at `address`.

        Raises
        ------
        UpstreamConnectionError
            If none can be made.
        """
        now_ms = self.clock.now_ms()
        connections = self.idle.get(key, [])
        while connections:
            connection = connections.pop()
            if _may_reuse(connection, now_ms, cross_region):
                return connection
            connection.close()
        self.opened += 1
        limit_ms = (
            CROSS_REGION_CONNECT_TIMEOUT_MS if cross_region else CONNECT_TIMEOUT_MS
        )
        return await open_upstream_connection(key, address, limit_ms)

    def release(self, connection):
        """Take back a connection; one that cannot be used again is closed."""
        connection.finish(self.clock.now_ms())
        if connection.is_reusable:
            self.idle.setdefault(connection.key, []).append(connection)

    def sweep(self, known):
        """Close what is idle for too long or leads to a process not in `known`."""
        now_ms = self.clock.now_ms()
        for key, connections in list(self.idle.items()):
            kept = []
            for connection in connections:
                if key in known and _may_reuse(connection, now_ms, cross_region=True):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self.idle[key] = kept
            else:
                del self.idle[key]

    def close(self):
        """Close every idle connection."""
        self.sweep(frozenset())


def _may_reuse(connection, now_ms, cross_region):
    """Return whether the other side surely still keeps an idle connection."""
    if not connection.is_reusable:
        return False
    advertised_ms = connection.keep_alive_ms
    if advertised_ms is not None:
        limit_ms = max(DEFAULT_KEEP_ALIVE_MS, advertised_ms - REUSE_MARGIN_MS)
    else:
        limit_ms = MAX_IDLE_MS if cross_region else DEFAULT_KEEP_ALIVE_MS
    return now_ms - connection.idle_since_ms <= min(limit_ms, MAX_IDLE_MS)


def make_connection_pool(clock):
    """Return an empty pool."""
    return ConnectionPool(clock)
