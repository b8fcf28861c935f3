"""The table of backend servers that a daemon sends requests to."""

from sortedcontainers import SortedKeyList

__all__ = [
    "Replica",
    "ReplicaTable",
    "confirm_replica",
    "end_pause",
    "is_restart_possible",
    "drop_replica",
    "make_replica_table",
    "mark_leaving",
    "pause_replica",
    "prune_leaving",
    "record_lost_process",
    "record_miss",
    "record_request_end",
    "record_request_start",
    "record_response",
    "record_return",
    "record_warm_up",
    "reindex",
    "require_confirmation",
    "update_replicas",
]

MIN_RESTART_MS = 300
"""Shortest time from the end of a process until the next one accepts connections."""

MAX_MISSES = 2
"""Consecutive health checks or connections without a response after which a server
is no longer used."""

MAX_LISTED_MISSES = 1
"""The same limit for a listed server, which is used without a previous health
check."""

GUARDED_CONFIRM_MS = 60_000
"""Time since its last response after which a guarded server needs a health check
before use."""

MAX_LEAVING_INCARNATIONS = 10_000
"""Largest number of entries in `ReplicaTable.leaving_incarnations` before those of
unused servers are removed."""

EWMA_WEIGHT = 0.2
"""Weight of the newest sample in an exponentially weighted moving average (EWMA)."""


class Replica:
    """State of one backend server as observed by this daemon.

    Times are those of the daemon's clock.

    Attributes
    ----------
    name, incarnation, region, failure_domain, address : str, int, str, str, str
        Identity and location of the server; see :class:`VmRecord`.
    role : {"engine", "service"}
    service : str
        Service of a plain backend server; empty for an engine.
    version : str
        Version of its software; empty if the server list does not give it.
    is_version_doubtful : bool
        Whether the server may have started again since its entry was read.
    lost_ms : int or None
        Time at which its last connection was lost or a new one was refused; None if it
        has responded to a request sent since then.
    has_ended : bool
        Whether a connection was refused since then, which shows that its process ended.
    doubtful_until_ms : int
        Time until which it may still write that it has started again.
    fenced, guarded : bool
        As in :class:`VmRecord`.
    slots, running, waiting, waiting_tokens : int
        Load as last reported by the server; see :class:`LoadReport`.
    peer_inflight : float
        Estimated number of requests of other daemons at the server.
    peer_waiting_tokens : float
        Prompt tokens of other daemons' requests that wait at the server, as
        reported by these daemons.
    peer_load_ms : int or None
        Time of the last report of other daemons about this server.
    estimated_ms : int
        Time at which `peer_inflight` was last derived from a report or reduced for
        want of one.
    inflight : int
        Requests of this daemon in flight at the server.
    inflight_tokens : int
        Uncached prompt tokens of this daemon's requests that wait for a first
        token.
    loaded : frozenset of str
        Model and adapter versions that the server has loaded, as ``name@version``.
    loading : str
        Model or adapter version that it is loading, or empty.
    leaving : bool
        Whether it accepts no new requests; never reset for the same incarnation.
    identified : bool
        Whether the address is assumed to be this server's: it has responded with
        this name and incarnation, or the server is listed. Reset when another server
        responds there, when health checks are missed and when the address changes.
    unproven : bool
        Whether it was listed while this daemon reached no server of its service, and
        has not responded since.
    listed : bool
        Whether it is guarded and the server list gives its slots, so it is used
        without a health check.
    cold_until_ms : int
        Time until which it is warming up and can handle only few requests, as given by
        the server or the server list; 0 if it was never cold.
    last_sent_ms : int
        Time of the last request sent to it.
    unchecked_sends : int
        Number of requests sent to it since its last health check.
    paused_until_ms : int
        End of the pause that it has asked this daemon for; 0 without one.
    limit_per_s : float or None
        Requests per second that it accepts from all daemons together; None if it
        states no limit.
    limit_stated_ms : int
        Time at which `limit_per_s` was last stated; 0 if never.
    limit_round : int
        Number of known changes between a limit and none.
    limit_credit, limit_credit_ms : float, int
        Requests that this daemon may send now as one of the senders of a limited
        server, and the time of that number.
    reported_ms : int or None
        Time of its last load report.
    confirmed_ms : int or None
        Time of the last response of any kind from this name and incarnation.
    checked_ms : int
        Time of the last health check sent to it; -1 to send one at once.
    pace : float
        Moving average of the ratio of observed to expected time to the first token of
        a prompt; at least 1.
    delay_ms : float
        Moving average of the difference of these times in ms; at least 0. A server may
        be late by a factor or by a constant, which one observation cannot tell apart.
    paced_ms : int or None
        Time of the last observation of `pace` and `delay_ms`; None if there is none.
    service_ms : float
        Moving average of the time for which a request holds a slot; 0 until the
        first one has completed.
    served_ms : int
        Time of the last observation of `service_ms`.
    slowness : float
        Ratio of its `pace`, or without prompts of its `service_ms`, to the median of
        the other servers of its pool; at least 1. Derived, never observed itself.
    malformed_load : bool
        Whether it has sent a load header that cannot be read.
    event_pace : EventPace or None
        Intervals between the events of its streams; None if it does not report the
        duration of work on its machine.
    misses : int
        Consecutive health checks and connections without a response.
    failures : int
        Consecutive failures since the last success or ejection.
    ejections : int
        Number of ejections since the last successful response.
    ejected_until_ms : int
        Time until which it is ejected as an outlier.
    fence : int
        Highest fencing number that it has reported.
    pools : tuple of str
        Pools in which it is indexed.
    load_key : float
        Sort key in the indexes of its pools: the requests per slot, raised by the
        slowness.
    """

    __slots__ = (
        "name",
        "incarnation",
        "region",
        "failure_domain",
        "address",
        "role",
        "service",
        "version",
        "is_version_doubtful",
        "lost_ms",
        "has_ended",
        "doubtful_until_ms",
        "fenced",
        "guarded",
        "listed",
        "cold_until_ms",
        "last_sent_ms",
        "unchecked_sends",
        "slots",
        "running",
        "waiting",
        "waiting_tokens",
        "peer_inflight",
        "peer_waiting_tokens",
        "peer_load_ms",
        "estimated_ms",
        "inflight",
        "inflight_tokens",
        "loaded",
        "loading",
        "leaving",
        "identified",
        "unproven",
        "paused_until_ms",
        "limit_per_s",
        "limit_stated_ms",
        "limit_round",
        "limit_credit",
        "limit_credit_ms",
        "reported_ms",
        "confirmed_ms",
        "checked_ms",
        "pace",
        "delay_ms",
        "paced_ms",
        "service_ms",
        "served_ms",
        "slowness",
        "malformed_load",
        "event_pace",
        "misses",
        "failures",
        "ejections",
        "ejected_until_ms",
        "fence",
        "pools",
        "load_key",
    )

    def __init__(self, record):
        self.name = record.name
        self.incarnation = record.incarnation
        self.region = record.region
        self.failure_domain = record.failure_domain
        self.address = record.address
        self.role = record.role
        self.service = record.service
        self.version = record.version
        self.is_version_doubtful = False
        self.lost_ms = None
        self.has_ended = False
        self.doubtful_until_ms = 0
        self.fenced = record.fenced
        self.guarded = record.guarded
        self.listed = record.slots > 0 and record.guarded
        self.cold_until_ms = 0
        self.last_sent_ms = 0
        self.unchecked_sends = 0
        self.slots = max(1, record.slots)
        self.running = 0
        self.waiting = 0
        self.waiting_tokens = 0
        self.peer_inflight = 0.0
        self.peer_waiting_tokens = 0.0
        self.peer_load_ms = None
        self.estimated_ms = 0
        self.inflight = 0
        self.inflight_tokens = 0
        self.loaded = frozenset()
        self.loading = ""
        self.leaving = record.state == "leaving"
        self.identified = self.listed
        self.unproven = False
        self.paused_until_ms = 0
        self.limit_per_s = None
        self.limit_stated_ms = 0
        self.limit_round = 0
        self.limit_credit = 0.0
        self.limit_credit_ms = 0
        self.reported_ms = None
        self.confirmed_ms = None
        self.checked_ms = -1
        self.pace = 1.0
        self.delay_ms = 0.0
        self.paced_ms = None
        self.service_ms = 0.0
        self.served_ms = 0
        self.slowness = 1.0
        self.malformed_load = False
        self.event_pace = None
        self.misses = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0
        self.fence = 0
        self.pools = ()
        self.load_key = 0.0

    def occupancy(self):
        """Return the estimated number of requests running and waiting at the server."""
        return self.inflight + self.peer_inflight

    def free_slots(self, slack=0.0):
        """Return the free slots, with a queue of `slack` times the slots allowed."""
        return self.slots * (1.0 + slack) - self.occupancy()

    def is_confirmed(self, now_ms, limit_ms):
        """Return whether the server has responded recently enough to be used.

        The last response must be at most `limit_ms` old. A guarded server rejects
        requests that it must not run, so for it `GUARDED_CONFIRM_MS` is enough. A
        listed server needs no response until it misses a health check.
        """
        if self.listed:
            return self.identified
        if self.guarded:
            limit_ms = max(limit_ms, GUARDED_CONFIRM_MS)
        return self.confirmed_ms is not None and now_ms - self.confirmed_ms <= limit_ms


class ReplicaTable:
    """Backend servers by name, and those of each pool sorted by load.

    Attributes
    ----------
    rows : dict of str to Replica
        Servers by name.
    pools : dict of str to SortedKeyList
        Usable servers of each pool, least loaded first.
    leaving_incarnations : dict of str to int
        Highest incarnation that is known to be leaving, by server.
    pool_generation : int
        Incremented whenever a server enters or leaves a pool.

    Notes
    -----
    A pool is named ``m/<name>`` for the replicas that have loaded any version
    of the model or adapter, ``m/<name>@<version>`` for those that have loaded this
    version, or ``s/<service>`` for the servers of a service.
    """

    __slots__ = ("rows", "pools", "leaving_incarnations", "pool_generation")

    def __init__(self):
        self.rows = {}
        self.pools = {}
        self.leaving_incarnations = {}
        self.pool_generation = 0

    def pool(self, name):
        """Return the replicas of pool `name`, least loaded first."""
        return self.pools.get(name, ())


def make_replica_table():
    """Return an empty table."""
    return ReplicaTable()


def update_replicas(
    table, records, now_ms=0, retained=frozenset(), lost_services=frozenset()
):
    """Bring the table up to date with the backend servers in `records`.

    A server that is no longer in the server list is sent no new requests; it stays
    in the table until the requests of this daemon in flight there have ended.

    Parameters
    ----------
    table : ReplicaTable
    records : iterable of VmRecord
        The servers of the list that this daemon uses.
    now_ms : int
    retained : frozenset of str
        Names of servers to keep in use although they are not in the list.
    lost_services : frozenset of str
        Services of which this daemon reaches no server. A server that is new in the
        list is then not assumed to be reached.
    """
    seen = set()
    for record in records:
        seen.add(record.name)
        replica = table.rows.get(record.name)
        if replica is not None and replica.incarnation > record.incarnation:
            continue
        if replica is None or replica.incarnation < record.incarnation:
            if replica is not None:
                drop_replica(table, replica.name)
            replica = Replica(record)
            replica.unproven = replica.identified and record.service in lost_services
            if table.leaving_incarnations.get(record.name, 0) >= record.incarnation:
                replica.leaving = True
            record_warm_up(replica, record.warm_up_left_ms, now_ms)
            table.rows[record.name] = replica
        elif replica.address != record.address:
            replica.address = record.address
            replica.identified = False
        else:
            record_warm_up(replica, record.warm_up_left_ms, now_ms)
            # It may have been missing from the list; only a statement is final.
            left = table.leaving_incarnations.get(record.name, 0)
            replica.leaving = left >= record.incarnation
        replica.version = record.version
        if record.state == "leaving":
            mark_leaving(table, replica.name, replica.incarnation)
        reindex(table, replica)
    for name in [name for name in table.rows if name not in seen | retained]:
        replica = table.rows[name]
        replica.leaving = True
        reindex(table, replica)
        if replica.inflight == 0:
            drop_replica(table, name)


def record_warm_up(replica, left_ms, now_ms):
    """Record that `replica` stays cold for another `left_ms`."""
    if left_ms > 0:
        replica.cold_until_ms = max(replica.cold_until_ms, now_ms + left_ms)


def drop_replica(table, name):
    """Remove server `name` from the table and its indexes."""
    replica = table.rows.pop(name, None)
    if replica is None:
        return
    for pool in replica.pools:
        table.pools[pool].discard(replica)
    replica.pools = ()
    table.pool_generation += 1


def mark_leaving(table, name, incarnation):
    """Record that `incarnation` of server `name` accepts no new requests.

    Returns
    -------
    bool
        False when this was already recorded.
    """
    if table.leaving_incarnations.get(name, 0) >= incarnation:
        return False
    table.leaving_incarnations[name] = incarnation
    replica = table.rows.get(name)
    if replica is not None and replica.incarnation <= incarnation:
        replica.leaving = True
        reindex(table, replica)
    return True


def prune_leaving(table):
    """Remove the leaving incarnations of servers that are no longer in the table."""
    if len(table.leaving_incarnations) > MAX_LEAVING_INCARNATIONS:
        table.leaving_incarnations = {
            n: i for n, i in table.leaving_incarnations.items() if n in table.rows
        }


def pause_replica(table, replica, until_ms):
    """Send nothing to `replica` until `until_ms`; return False if that was so already.

    A later request may be refused with a shorter pause, which does not end a longer
    one.
    """
    if until_ms <= replica.paused_until_ms:
        return False
    replica.paused_until_ms = until_ms
    reindex(table, replica)
    return True


def end_pause(table, replica):
    """Use `replica` again after its pause."""
    replica.paused_until_ms = 0
    reindex(table, replica)


def record_response(replica, now_ms):
    """Record the time of a response of `replica`, and reset its count of misses."""
    replica.confirmed_ms = now_ms
    replica.misses = 0
    replica.unproven = False


def record_lost_process(replica, now_ms, has_ended):
    """Record that the process of `replica` may have ended, or that it `has_ended`."""
    if replica.lost_ms is None:
        replica.lost_ms = now_ms
    replica.has_ended = replica.has_ended or has_ended
    replica.is_version_doubtful = True


def record_return(replica, sent_ms, now_ms, settle_ms):
    """Record a response of `replica` to a request sent at `sent_ms`.

    If its process may have ended before, the one that has responded may be another.
    Its entry tells so within `settle_ms`. What counts is when the request was sent, not
    how long the response took: a process that has ended would have refused it.
    """
    lost_ms = replica.lost_ms
    if lost_ms is None or sent_ms < lost_ms:
        return
    if replica.has_ended or sent_ms - lost_ms >= MIN_RESTART_MS:
        replica.doubtful_until_ms = now_ms + settle_ms
    replica.lost_ms = None
    replica.has_ended = False


def is_restart_possible(replica, now_ms):
    """Return whether `replica` may have started again since its entry was read."""
    return replica.lost_ms is not None or now_ms < replica.doubtful_until_ms


def require_confirmation(table, replica):
    """Require a new health check of `replica` before it is used."""
    replica.identified = False
    replica.checked_ms = -1
    replica.reported_ms = None
    replica.confirmed_ms = None
    reindex(table, replica)


def confirm_replica(table, replica, name, incarnation, now_ms):
    """Compare the identity in a health check response with that of `replica`.

    With the same identity, `replica` may be used again once its slots are known.

    Returns
    -------
    bool
        False when another server or incarnation has responded at the address;
        `replica` is then not used.
    """
    if (name, incarnation) != (replica.name, replica.incarnation):
        replica.identified = False
        reindex(table, replica)
        return False
    record_response(replica, now_ms)
    replica.unchecked_sends = 0
    if not replica.identified and (replica.listed or replica.reported_ms is not None):
        replica.identified = True
        reindex(table, replica)
    return True


def record_miss(table, replica):
    """Record a health check of `replica` or connection to it without a response.

    After `MAX_MISSES`, or `MAX_LISTED_MISSES` for a listed server, the server is
    not used until it responds again.
    """
    replica.misses += 1
    limit = MAX_LISTED_MISSES if replica.listed else MAX_MISSES
    if replica.misses >= limit and replica.identified:
        replica.identified = False
        reindex(table, replica)


def record_request_start(table, replica, tokens):
    """Count a request sent to `replica` with `tokens` uncached prompt tokens."""
    replica.inflight += 1
    replica.inflight_tokens += tokens
    reindex(table, replica)


def record_request_end(table, replica, held_ms, now_ms=0):
    """Count the end of a request at `replica`, and average its duration.

    `held_ms` is the time in ms for which it held a slot, or None for a request that
    did not complete.
    """
    replica.inflight -= 1
    if held_ms is not None:
        replica.served_ms = now_ms
        first = replica.service_ms == 0.0
        replica.service_ms += (held_ms - replica.service_ms) * (
            1.0 if first else EWMA_WEIGHT
        )
    reindex(table, replica)


def reindex(table, replica):
    """Update the position of `replica` in the indexes after its state has changed."""
    for pool in replica.pools:
        table.pools[pool].discard(replica)
    replica.load_key = replica.occupancy() / replica.slots + (replica.slowness - 1.0)
    pools = _usable_pools(replica)
    if pools != replica.pools:
        replica.pools = pools
        table.pool_generation += 1
    for pool in replica.pools:
        index = table.pools.get(pool)
        if index is None:
            index = SortedKeyList(key=_sort_key)
            table.pools[pool] = index
        index.add(replica)


def _sort_key(replica):
    return (replica.load_key, replica.name)


def _usable_pools(replica):
    if replica.leaving or not replica.identified or replica.paused_until_ms:
        return ()
    if replica.role == "service":
        return (f"s/{replica.service}",)
    names = sorted(replica.loaded)
    plain = {name.partition("@")[0] for name in names}
    return tuple(f"m/{name}" for name in (*names, *sorted(plain)))
