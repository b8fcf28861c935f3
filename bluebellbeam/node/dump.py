"""State dump of a node as tables of typed rows, for operators and golden files."""

from collections import Counter

from msgspec import Struct

from bluebellbeam.membership import usable_members
from bluebellbeam.node.quotas import QUOTA_COUNTERS, quota_limit, quota_status
from bluebellbeam.node.wait_estimates import local_wait_ms, pool_slots
from bluebellbeam.routing.replica_ranking import Candidate

__all__ = ["TABLES", "dump_state", "explain_request"]


class FeedRow(Struct):
    """A feed; see :class:`bluebellbeam.feeds.Feed`.

    `parts` is the number of its parts.
    """

    key: str
    version: int
    digest: str
    parts: int
    source: str
    changed_ms: int
    ignored_lower: int
    refused_version: int
    refused_reason: str


class MemberRow(Struct):
    """An entry VM; see :class:`bluebellbeam.membership.Member`."""

    name: str
    region: str
    failure_domain: str
    incarnation: int
    status: str
    leaving: bool
    listed: bool
    heard_ms: int
    answered_ms: int


class ReplicaRow(Struct):
    """A backend server; see :class:`bluebellbeam.routing.Replica`.

    `others` is the estimated number of requests of other daemons at the server, and
    `limit_age_ms` the time since the server last stated `limit_per_s`.
    """

    name: str
    incarnation: int
    role: str
    pools: tuple[str, ...]
    slots: int
    inflight: int
    others: float
    slowness: float
    identified: bool
    leaving: bool
    failures: int
    ejected_until_ms: int
    reported_ms: int | None
    limit_per_s: float | None
    limit_age_ms: int | None
    version: str


class PoolRow(Struct):
    """A pool of backend servers and the queue of requests for it.

    Parameters
    ----------
    pool : str
    slots : int
        Slots of the servers in the pool.
    queued : int
        Requests that wait at this daemon.
    inflight : int
        Requests of this daemon at the servers.
    wait_ms : float or None
        Expected wait of a new request in this region.
    service_ms : float
        Moving average of the time a request holds a slot.
    """

    pool: str
    slots: int
    queued: int
    inflight: int
    wait_ms: float | None
    service_ms: float


class RequestRow(Struct):
    """A request without a final response.

    Parameters
    ----------
    request_id, workspace, pool : str
    state : {"waiting", "queued", "running"}
    origin : str
        Daemon that forwarded the request, or empty.
    priority : str
    attempts : int
        Attempts made so far.
    age_ms : int
        Time since arrival.
    left_ms : int
        Time to the deadline; negative after it.
    """

    request_id: str
    workspace: str
    pool: str
    state: str
    origin: str
    priority: str
    attempts: int
    age_ms: int
    left_ms: int


class LeaseRow(Struct):
    """A lease that this daemon has granted or holds.

    Parameters
    ----------
    side : {"lender", "borrower"}
        Role of this daemon.
    lease_id : str
    other : str
        Daemon in the other role.
    pool, workspace : str
    slots : int
    used : int
        Slots in use.
    left_ms : int
        Time to expiry.
    """

    side: str
    lease_id: str
    other: str
    pool: str
    workspace: str
    slots: int
    used: int
    left_ms: int


class RegionalLoadRow(Struct):
    """A pool whose regional peaks are shared.

    Parameters
    ----------
    pool : str
    share : float
        Share of its requests that is offloaded.
    demand_per_s, capacity_per_s : float
        Requests per second expected in the region, and that its servers can serve.
    regions : dict of str to float
        Requests per second to send to each region.
    excluded : tuple of str
        Regions that have rejected a request and not offered since.
    """

    pool: str
    share: float
    demand_per_s: float
    capacity_per_s: float
    regions: dict[str, float]
    excluded: tuple[str, ...]


class QuarantineRow(Struct):
    """A prompt part in quarantine.

    See :class:`bluebellbeam.quarantine.PartQuarantine`.
    """

    part: str
    age_ms: int
    ends: int
    failed_trials: int
    trial_in_ms: int
    in_trial: bool


class WorkspaceRow(Struct):
    """A workspace, if the configuration has keys.

    Parameters
    ----------
    workspace : str
    weight : float
    urgency : int or None
    rate_per_s : float
        Quota per second in `quota_unit`; 0 for none.
    quota_unit : {"token", "request"}
    keys : int
        Number of its keys.
    requests : int
        Requests of callers since the start.
    open : int
        Requests without a final response, also those forwarded by peers.
    """

    workspace: str
    weight: float
    urgency: int | None
    rate_per_s: float
    quota_unit: str
    keys: int
    requests: int
    open: int


class QuotaRow(Struct):
    """Quota of a workspace at a daemon that holds its ledger or tokens of it.

    Parameters
    ----------
    workspace : str
    rate_tokens_per_s, burst_tokens : float
        Limit of the active configuration.
    ledger : bool
        Whether this daemon holds a ledger of the workspace.
    level : int
        Tokens in the bucket of the ledger, at its last update.
    share : float
        Part of the quota that the ledger grants from.
    reason : str
        Reason for `share`: ``connected``, or the regions without contact.
    held_tokens : int
        Tokens obtained for the next requests of this daemon.
    refused_for_ms : int
        Time for which the ledger's last refusal still applies; 0 for none.
    """

    workspace: str
    rate_tokens_per_s: float
    burst_tokens: float
    ledger: bool
    level: int
    share: float
    reason: str
    held_tokens: int
    refused_for_ms: int


class OperationsRow(Struct):
    """Number of recorded operations in one state, or of all ids issued."""

    state: str
    count: int


class CounterRow(Struct):
    """A total since the start of the process, or the number of usable members."""

    name: str
    total: int


class NodeRow(Struct):
    """The daemon itself; `revision` and `digest` are of the active configuration."""

    vm: str
    incarnation: int
    region: str
    failure_domain: str
    site: str
    ready: bool
    leaving: bool
    revision: int
    digest: str


def _node_rows(state, now_ms):
    own = state.identity
    config = state.config
    return [
        NodeRow(
            own.vm,
            own.incarnation,
            own.region,
            own.failure_domain,
            own.site,
            state.ready,
            state.leaving,
            config.revision if config else 0,
            config.digest if config else "",
        )
    ]


def _feed_rows(state, now_ms):
    return [
        FeedRow(
            feed.key,
            feed.version,
            feed.digest,
            len(feed.parts),
            feed.source,
            feed.changed_ms,
            feed.ignored_lower,
            feed.refused_version,
            feed.refused_reason,
        )
        for _, feed in sorted(state.feeds.items())
    ]


def _member_rows(state, now_ms):
    return [
        MemberRow(
            row.name,
            row.region,
            row.failure_domain,
            row.incarnation,
            row.status,
            row.leaving,
            row.listed,
            row.heard_ms,
            row.answered_ms,
        )
        for _, row in sorted(state.members.rows.items())
    ]


def _replica_rows(state, now_ms):
    return [
        ReplicaRow(
            row.name,
            row.incarnation,
            row.role,
            row.pools,
            row.slots,
            row.inflight,
            round(row.peer_inflight, 2),
            round(row.slowness, 2),
            row.identified,
            row.leaving,
            row.failures,
            row.ejected_until_ms,
            row.reported_ms,
            row.limit_per_s,
            now_ms - row.limit_stated_ms if row.limit_per_s is not None else None,
            row.version,
        )
        for _, row in sorted(state.replicas.rows.items())
    ]


def _pool_rows(state, now_ms):
    if state.config is None:
        return []
    names = set(state.queues) | {p for p in state.replicas.pools if "@" not in p}
    return [
        PoolRow(
            pool,
            pool_slots(state, pool),
            state.queues[pool].size if pool in state.queues else 0,
            sum(n for key, n in state.inflight.items() if key[0] == pool),
            local_wait_ms(state, pool),
            round(state.pool_service_ms.get(pool, 0.0), 1),
        )
        for pool in sorted(names)
    ]


def _request_rows(state, now_ms):
    return [
        RequestRow(
            request.request_id,
            request.workspace,
            request.pool,
            request.state,
            request.origin,
            request.priority,
            request.attempts,
            now_ms - request.arrival_ms,
            request.deadline_ms - now_ms,
        )
        for _, request in sorted(state.requests.items())
    ]


def _lease_rows(state, now_ms):
    granted = [
        LeaseRow(
            "lender",
            lease.lease_id,
            lease.borrower,
            lease.pool,
            lease.workspace,
            lease.slots,
            lease.used,
            lease.expires_ms - now_ms,
        )
        for _, lease in sorted(state.lender.rows.items())
    ]
    held = [
        LeaseRow(
            "borrower",
            lease.lease_id,
            lease.lender,
            lease.pool,
            lease.workspace,
            lease.slots,
            lease.used,
            lease.expires_ms - now_ms,
        )
        for _, lease in sorted(state.borrower.rows.items())
    ]
    return granted + held


def _quarantine_rows(state, now_ms):
    return [
        QuarantineRow(
            row.part,
            now_ms - row.since_ms,
            row.ends,
            row.failed_trials,
            row.retry_ms - now_ms,
            row.trial_ms > 0,
        )
        for row in state.quarantines.rows.values()
    ]


def _workspace_rows(state, now_ms):
    if state.config is None or not state.config.has_keys:
        return []
    opened = Counter(request.workspace for request in state.requests.values())
    return [
        WorkspaceRow(
            name,
            item.weight,
            item.urgency,
            item.rate_tokens_per_s,
            item.quota_unit,
            len(item.key_digests),
            state.workspace_requests.get(name, 0),
            opened[name],
        )
        for name, item in sorted(state.base.workspaces.items())
    ]


def _quota_rows(state, now_ms):
    rows = []
    table = state.quotas
    for name in sorted({*table.ledgers, *table.held}):
        limit = quota_limit(state, name)
        if limit is None:
            continue
        ledger = table.ledgers.get(name)
        share, reason = quota_status(state, name, now_ms) if ledger else (0.0, "")
        held = table.held.get(name)
        rows.append(
            QuotaRow(
                name,
                limit.rate_per_s,
                limit.burst,
                ledger is not None,
                int(ledger.level) if ledger else 0,
                round(share, 3),
                reason,
                held.tokens if held else 0,
                max(0, held.refused_until_ms - now_ms) if held else 0,
            )
        )
    return rows


def _regional_load_rows(state, now_ms):
    return [
        RegionalLoadRow(
            pool,
            round(load.share, 3),
            round(load.demand_per_s, 1),
            round(load.capacity_per_s, 1),
            {name: round(rate, 1) for name, rate in load.regions.items()},
            tuple(sorted(load.excluded)),
        )
        for pool, load in sorted(state.regional_loads.items())
    ]


def _operation_rows(state, now_ms):
    counts = {"issued": state.ledger.issued}
    for row in state.ledger.rows.values():
        counts[row.state] = counts.get(row.state, 0) + 1
    return [OperationsRow(name, counts[name]) for name in sorted(counts)]


def _counter_rows(state, now_ms):
    counters = state.counters
    rows = [
        CounterRow(name, getattr(counters, name))
        for name in sorted(counters.__slots__)
        if name not in ("errors", "turned_away", "rejected_keys", "exceptions")
    ]
    if counters.exceptions:
        rows.append(CounterRow("exceptions", counters.exceptions))
    rows.append(CounterRow("lease_switches", state.borrower.switches))
    rows.append(CounterRow("leases_granted", state.lender.granted))
    rows.append(CounterRow("leases_refused", state.lender.refused))
    rows.append(CounterRow("usable_members", len(usable_members(state.members))))
    if state.quotas.ledgers or state.quotas.held:
        for name in QUOTA_COUNTERS:
            rows.append(CounterRow(f"quota_{name}", getattr(state.quotas, name)))
    for reason, count in sorted(counters.turned_away.items()):
        rows.append(CounterRow(f"turned_away_{reason}", count))
    for reason, count in sorted(counters.rejected_keys.items()):
        rows.append(CounterRow(f"rejected_key_{reason}", count))
    for code, count in sorted(counters.errors.items()):
        rows.append(CounterRow(f"error_{code}", count))
    return rows


TABLES = {
    "node": _node_rows,
    "feeds": _feed_rows,
    "members": _member_rows,
    "replicas": _replica_rows,
    "pools": _pool_rows,
    "requests": _request_rows,
    "leases": _lease_rows,
    "regional_loads": _regional_load_rows,
    "quarantines": _quarantine_rows,
    "workspaces": _workspace_rows,
    "quotas": _quota_rows,
    "operations": _operation_rows,
    "counters": _counter_rows,
}
"""Function that returns the rows of each table, by table name."""


def dump_state(state, now_ms, tables=None):
    """Return the rows of `tables`, or of every table, by table name.

    Parameters
    ----------
    state : NodeState
    now_ms : int
    tables : iterable of str, optional
        Names of tables in `TABLES`.

    Returns
    -------
    dict of str to list of Struct

    Raises
    ------
    KeyError
        If there is no table of that name.
    """
    return {name: TABLES[name](state, now_ms) for name in tables or TABLES}


class DecisionRow(Struct):
    """One decision about a request.

    Parameters
    ----------
    kind : str
        ``workspace``, ``server``, ``peer``, ``hedge``, ``restricted``, ``failed``,
        ``error`` or ``answered``.
    at_ms : int
    detail : tuple of str
        Values that depend on `kind`, such as the peer or the error code.
    candidates : list of Candidate
        Scored candidates, best first.
    """

    kind: str
    at_ms: int
    detail: tuple[str, ...] = ()
    candidates: list[Candidate] = []


def explain_request(state, request_id):
    """Return the decisions about a recent request, oldest first, or None."""
    entries = state.decisions.get(request_id)
    if entries is None:
        return None
    return [_decision_row(entry) for entry in entries]


def _decision_row(entry):
    kind, at_ms, *rest = entry
    if rest and isinstance(rest[0], list):
        return DecisionRow(kind, at_ms, (), rest[0])
    return DecisionRow(kind, at_ms, tuple(str(item) for item in rest))
