"""Pools of idle connections to backend servers and peers."""

from bluebellbeam.daemon.connection import open_upstream_connection
from bluebellbeam.daemon.receive_turns import make_receive_turns

__all__ = ["PEER_MAX_IDLE_MS", "ConnectionPool", "make_connection_pool"]

CONNECT_TIMEOUT_MS = 400
"""Connect timeout to a backend server of the same region. Covers several round trips
and one early retransmission of a lost packet."""

CROSS_REGION_CONNECT_TIMEOUT_MS = 1000
"""Connect timeout to a daemon in another region."""

REUSE_MARGIN_MS = 1000
"""Safety margin before the idle timeout that the server announced: a request sent
while the server closes the connection would be lost."""

DEFAULT_KEEP_ALIVE_MS = 300
"""Idle time for which a connection is reused if the server announced no idle timeout
or a very short one."""

MAX_IDLE_MS = 8000
"""Largest idle time for which a connection of a routed request is reused, whatever the
server announced. Also the limit for a daemon of another region that announced no idle
timeout."""

PEER_MAX_IDLE_MS = 25_000
"""Largest idle time of a connection for messages to a peer, below the idle timeout of
the peers' listeners. In a region of 50 members, each is probed once in it."""


class ConnectionPool:
    """Idle connections, grouped by remote process.

    Attributes
    ----------
    idle : dict of hashable to list of UpstreamConnection
        Connections by the key of their remote process, most recently used last.
    opened : int
        Number of connections opened so far.
    max_idle_ms : int
        Largest idle time for which a connection is reused.
    turns : ReceiveTurns
        Turns at which the connections parse what they have received.
    open : dict of hashable to set of UpstreamConnection
        All connections that are open, by the key of their remote process.
    on_all_lost : callable or None
        Called with a key when its last connection was closed or reset by the remote
        process while it was idle or had an incomplete response.
    """

    __slots__ = (
        "idle",
        "opened",
        "clock",
        "max_idle_ms",
        "turns",
        "open",
        "on_all_lost",
    )

    def __init__(self, clock, max_idle_ms):
        self.idle = {}
        self.opened = 0
        self.clock = clock
        self.max_idle_ms = max_idle_ms
        self.turns = make_receive_turns()
        self.open = {}
        self.on_all_lost = None

    async def acquire(self, key, address, cross_region=False, once=False):
        """Return an idle or a new connection to the process `key` at `address`.

        Parameters
        ----------
        key : hashable
        address : str
        cross_region : bool
        once : bool
            Whether the request must not run twice. A connection on which a response
            named no request is not used then, since a duplicate of it could not be
            told from the response to this request.

        Raises
        ------
        UpstreamConnectionError
            If no connection can be established.
        """
        now_ms = self.clock.now_ms()
        connections = self.idle.get(key, [])
        for connection in reversed(connections[:]):
            reusable = self._may_reuse(connection, now_ms, cross_region)
            if reusable and once and connection.unidentified:
                continue
            connections.remove(connection)
            if reusable:
                return connection
            connection.close()
        self.opened += 1
        limit_ms = (
            CROSS_REGION_CONNECT_TIMEOUT_MS if cross_region else CONNECT_TIMEOUT_MS
        )
        connection = await open_upstream_connection(key, address, limit_ms, self.turns)
        if connection.is_open:
            connection.on_closed = self._handle_closed
            self.open.setdefault(key, set()).add(connection)
        return connection

    def _handle_closed(self, connection, is_lost):
        others = self.open[connection.key]
        others.discard(connection)
        if not others:
            del self.open[connection.key]
        is_last = not any(other.is_open for other in others)
        if is_lost and is_last and self.on_all_lost is not None:
            self.on_all_lost(connection.key)

    def release(self, connection):
        """Return a connection to the pool, or close it if it is not reusable."""
        connection.finish(self.clock.now_ms())
        if connection.is_reusable:
            self.idle.setdefault(connection.key, []).append(connection)

    def sweep(self, known=None):
        """Close connections idle for too long or to processes not in `known`."""
        now_ms = self.clock.now_ms()
        for key, connections in list(self.idle.items()):
            kept = []
            for connection in connections:
                wanted = known is None or key in known
                if wanted and self._may_reuse(connection, now_ms, cross_region=True):
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

    def _may_reuse(self, connection, now_ms, cross_region):
        """Return whether an idle connection is safe to reuse.

        It is safe while the server is not expected to close the connection, given the
        idle timeout that it announced.
        """
        if not connection.is_reusable:
            return False
        advertised_ms = connection.keep_alive_ms
        if advertised_ms is not None:
            limit_ms = max(DEFAULT_KEEP_ALIVE_MS, advertised_ms - REUSE_MARGIN_MS)
        else:
            limit_ms = self.max_idle_ms if cross_region else DEFAULT_KEEP_ALIVE_MS
        return now_ms - connection.idle_since_ms <= min(limit_ms, self.max_idle_ms)


def make_connection_pool(clock, max_idle_ms=MAX_IDLE_MS):
    """Return an empty connection pool."""
    return ConnectionPool(clock, max_idle_ms)
