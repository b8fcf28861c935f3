"""State of a node, and the commands that it has not returned yet."""

import random
from collections import OrderedDict

from msgspec import Struct

from bluebellbeam.admission import make_fair_queue, make_rate_table
from bluebellbeam.borrowing import make_borrower_table, make_lender_table
from bluebellbeam.config.bundle import make_part_cache
from bluebellbeam.config.model import Objective, Policy
from bluebellbeam.feeds import make_feed
from bluebellbeam.membership import (
    make_member_table,
    make_probe_schedule,
    usable_members,
)
from bluebellbeam.node.command import Log
from bluebellbeam.node.discovery import (
    MAX_DIRECT_ANNOUNCES,
    MEMBER_PULL_INTERVAL_MS,
)
from bluebellbeam.node.queue_rates import is_demand_above_capacity
from bluebellbeam.node.quotas import make_quota_table
from bluebellbeam.node.retry_after import (
    make_refusal_table,
    record_refusal,
    usable_retry_after_ms,
)
from bluebellbeam.operations import make_ledger
from bluebellbeam.origins import (
    make_copy_table,
    make_origin_table,
    make_version_table,
)
from bluebellbeam.quarantine import make_evidence_table, make_quarantine_table
from bluebellbeam.recovery import make_budget, set_burst
from bluebellbeam.routing import make_prefix_index, make_replica_table

__all__ = [
    "CONFIG_FEED",
    "ENTRIES_FEED",
    "NodeIdentity",
    "NodeState",
    "backends_feed",
    "make_node_state",
    "required_feeds",
]

CONFIG_FEED = "config"
ENTRIES_FEED = "entries"

BLOCK_TOKENS = 64
"""Number of prompt tokens in one block of the prefix index."""

LIST_SETTLE_MS = 2200
"""Time after the source of the server list responds again for which the list may
still miss changes. Servers write theirs within two seconds of its return."""

RETRY_SLACK_SHARE = 0.7
"""Share of `policy.retry_slack` that is divided among the known daemons. The rest is
a margin for daemons that do not know each other yet and divide it among too few."""

MAX_CACHED_RESULTS = 4000
"""Maximum number of results kept by :meth:`NodeState.cached`, which clears the cache
when it is reached."""

MAX_EXPLAINED_REQUESTS = 2000
"""Maximum number of recent requests whose decisions are kept for
:func:`explain_request`."""


def backends_feed(region):
    """Return the key of the feed that lists the backend servers of `region`."""
    return f"backends/{region}"


def required_feeds(identity):
    """Return the keys of the feeds that a daemon must have read to serve requests.

    Parameters
    ----------
    identity : NodeIdentity
    """
    backends = backends_feed(identity.region)
    if identity.lists_entries:
        return (CONFIG_FEED, ENTRIES_FEED, backends)
    return (CONFIG_FEED, backends)


class NodeIdentity(Struct, frozen=True):
    """Name, location and incarnation of a daemon, and how it finds its peers.

    Parameters
    ----------
    vm : str
        Name of the entry VM.
    incarnation : int
        Start of the process in ms since 1970.
    region, failure_domain : str
    site : str
        Site whose overlay configuration applies.
    seed_peers : tuple of str
        Peer addresses to contact before any member is known.
    peer_address, caller_address : str
        Addresses of the own listeners, announced to the other daemons if the
        provider does not list entry VMs.
    lists_entries : bool
        Whether the provider lists the entry VMs. If not, daemons announce
        themselves to the seed peers, which forward the announcements.
    """

    vm: str
    incarnation: int
    region: str
    failure_domain: str
    site: str
    seed_peers: tuple[str, ...] = ()
    peer_address: str = ""
    caller_address: str = ""
    lists_entries: bool = True


class Counters:
    """Counters of a node since its start, exported as metrics.

    Attributes
    ----------
    requests : int
        Requests that arrived from callers or peers.
    answered : int
        Requests answered with a complete response of a backend server or peer.
    errors : dict of str to int
        Requests answered with an error, by error code.
    attempts : int
        Attempts started at a backend server or peer.
    retries : int
        Retries after an attempt failed, was refused or stalled.
    hedges : int
        Hedged requests.
    resumes : int
        Retries that resumed a response which had already begun.
    forwarded, received : int
        Requests forwarded to peers, and forwarded requests accepted from peers.
    refused : int
        Attempts to which the backend server or peer responded with an error.
    turned_away : dict of str to int
        Requests forwarded or refused while a server of their service was limited,
        paused or leaving, by that restriction.
    rejected_keys : dict of str to int
        Requests without an accepted key, by reason: ``missing``, ``empty``,
        ``repeated``, ``oversized``, ``unknown``, ``revoked``, or ``forwarded`` for a
        workspace that a peer named and this daemon does not know.
    quarantines : int
        Prompt parts put in quarantine by this daemon.
    pauses : int
        Suspensions of the process that were detected.
    orders : int
        Orders sent to engines.
    identity_mismatches : int
        Load reports and health checks answered by another server or incarnation
        than the expected one.
    malformed_limits : int
        Responses of backend servers with a limit that cannot be read.
    region_refusals : int
        Forwarded requests refused because they must not run in this region, and
        load reports refused because the server is in another region.
    loops_refused : int
        Forwarded requests refused because they had been forwarded too often.
    exceptions : int
        Unexpected exceptions in the handling of events and messages, in periodic work
        and in background tasks.
    """

    __slots__ = (
        "requests",
        "answered",
        "errors",
        "attempts",
        "retries",
        "hedges",
        "resumes",
        "forwarded",
        "received",
        "refused",
        "turned_away",
        "rejected_keys",
        "quarantines",
        "pauses",
        "orders",
        "identity_mismatches",
        "malformed_limits",
        "region_refusals",
        "loops_refused",
        "exceptions",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)
        self.errors = {}
        self.turned_away = {}
        self.rejected_keys = {}


class NodeState:
    """The state of one daemon, shared by all functions of a node.

    Attributes
    ----------
    identity : NodeIdentity
    config : Effective or None
        Active configuration.
    feeds : dict of str to Feed
        Required feeds by key.
    feed_requested_ms, feed_response_ms, feed_failed_ms : dict of str to int
        Times of the last read from the platform, of its last response and of
        its last failure, by feed.
    feed_pulled_ms : dict of str to int
        Time of the last request to a peer, by feed.
    config_offered_ms : dict of str to int
        Time at which a member with an older configuration was last sent the newer one.
    members, probe_schedule : MemberTable, ProbeSchedule
    pending_announcements : dict of str to [VmRecord, int]
        Record of each recently announced entry VM and number of times it has been
        forwarded, by name.
    direct_announces_left : int
        Number of members to which this daemon may still announce itself directly.
    members_pulled_ms : int
        Time of the last pull of member records.
    evacuated : frozenset of str
        Failure domains whose backend servers receive no requests.
    unlisted_since_ms : dict of str to int
        Time at which a backend server disappeared from the list while the source
        of the list was unstable, by server.
    source_response_ms : int or None
        Time at which the source of the feeds last responded to this daemon or,
        as learned by gossip, to any other of the region.
    list_stale_ms : int or None
        Time at which the list of backend servers was last out of date; None if never.
    reached_services : dict of str to bool
        Whether this daemon reaches a server of a service, of those with listed servers
        of which it has reached one before.
    failed_connections : dict of str to int
        Failed connections to servers of a service since the last response of one.
    next_exchange_ms : int
        Time of the next load exchange.
    exchange_offset : int
        Position in the list of members at which the next exchange starts.
    last_loads_nonempty : bool
        Whether the last load message sent was not empty. If so, the next one is
        sent even if it is empty, so that members discard the old loads.
    peer_loads : dict of str to (int, dict)
        Time and content of the last load message received, by member of the
        region.
    replicas : ReplicaTable
    prefixes : PrefixIndex
    requests : dict of str to Request
        Requests without a final response.
    attempts : dict of int to Attempt
        Attempts that have not ended, by id.
    next_attempt_id : int
    queues : dict of str to FairQueue
        Requests that wait for a slot, by pool.
    inflight : dict of (str, str) to int
        Own requests at backend servers, by pool and priority.
    peer_demand : dict of str to dict of str to (float, float, int)
        Total weights of waiting interactive and batch work and the time at
        which they were received, by pool and VM.
    rates : RateTable
    quotas : QuotaTable
    lender, borrower : LenderTable, BorrowerTable
        Leases granted to and held from daemons of other regions.
    ledger : Ledger
        Operations of non-idempotent calls and their recorded responses.
    refusals : RefusalTable
        Pools that refuse requests for lack of capacity, and since when.
    retries, hedges : Budget
        Budgets for retries of requests without a route, and for hedges.
    route_retries : dict of str to Budget
        Budgets for retries of routed requests, by pool.
    routing_policy : EstimatePolicy or a baseline policy
    baseline_choices : int
        Choices made so far by a baseline policy.
    entry_rankings : int
        Number of times that the entry VMs of a workspace have been ranked.
    origins : OriginTable
        Where streams began, as far as this daemon serves or keeps them.
    origin_copies : CopyTable
        Copies of the origins of others.
    origin_lookups : dict of int to OriginLookup
        Lookups of origins that have not ended, by key of the stream.
    versions : VersionTable
        Software versions of the services.
    brittle : dict of str to BrittleService
        Services whose servers have stated that they are brittle.
    evidence : EvidenceTable
        Ends of backend servers and the prompt parts that they may have ended under.
    quarantines : QuarantineTable
        Prompt parts whose prompts are refused.
    next_evidence_ms : int
        Time from which new evidence may be shared again.
    evidence_credit : float
        Bytes of evidence that may be sent now.
    evidence_credit_ms : int
        Time of that number.
    cache : dict
        See :meth:`cached`.
    decisions : OrderedDict
        Recent decisions by request id.
    counters : Counters
    revoked_keys : dict of str to str
        Workspace of each revoked key, by its digest, oldest first.
    workspace_requests : dict of str to int
        Requests of callers by workspace, if the configuration has keys.
    other_workspace_requests : int
        Requests of workspaces that are no longer in `workspace_requests`.
    ready, leaving, stopped : bool
        Whether the daemon accepts requests, has begun a graceful shutdown and has
        completed it.
    leaving_ms : int
        Time at which the shutdown began.
    last_tick_ms : int or None
        Time of the last tick; None before the first.
    next_slow_tick_ms : int
        Time of the next run of the less frequent periodic work.
    started_ms : int
        Time of the first tick, or of the end of the last pause.
    refutation : int
        Number of the last refutation of a suspicion of this process.
    peers_responded : set of str
        Members that have responded to a probe since `started_ms`.
    probe_responses : int
        Number of responses to probes since `started_ms`.
    order_read_ms, order_sent_ms : dict of str to int
        Time of the load read that precedes an order, and of the last order, by
        engine.
    placement : dict of str to str
        Planned model of each engine of the region.
    subset_key, placement_key : tuple or None
        Versions that the servers in use and the placement were computed for.
    common_parts : dict of str to (int, int)
        First prompt part that most prompts share, and its lead, by pool.
    trials : dict of str to Trials
        Evidence and trial requests by pool.
    slowness_ms : int
        Time at which the servers of each pool were last compared.
    pool_service_ms : dict of str to float
        Moving average of the time a request holds a slot, by pool.
    route_times : dict of str to RouteTimes
        Longest recent requests by route.
    part_cache : PartCache
        Checked parts of the active configuration, reused for the next one.
    rng : random.Random
    shared_machine_services : set of str
        Services whose servers report the duration of work on their machine.
    regional_loads : dict of str to RegionalLoad
        Demand and offloaded share, by pool whose servers share machines.
    queue_rates : dict of str to QueueRates
        Rates of arrivals and starts, by pool whose order depends on urgency.
    pending_commands : list
        Commands not yet returned to the I/O layer.
    """

    __slots__ = (
        "identity",
        "config",
        "feeds",
        "feed_requested_ms",
        "feed_response_ms",
        "feed_failed_ms",
        "members",
        "pending_announcements",
        "direct_announces_left",
        "members_pulled_ms",
        "evacuated",
        "unlisted_since_ms",
        "source_response_ms",
        "list_stale_ms",
        "reached_services",
        "failed_connections",
        "next_exchange_ms",
        "exchange_offset",
        "last_loads_nonempty",
        "peer_loads",
        "refusals",
        "probe_schedule",
        "replicas",
        "prefixes",
        "requests",
        "attempts",
        "next_attempt_id",
        "queues",
        "inflight",
        "peer_demand",
        "rates",
        "quotas",
        "lender",
        "borrower",
        "ledger",
        "retries",
        "route_retries",
        "hedges",
        "decisions",
        "counters",
        "revoked_keys",
        "workspace_requests",
        "other_workspace_requests",
        "ready",
        "leaving",
        "leaving_ms",
        "stopped",
        "last_tick_ms",
        "started_ms",
        "refutation",
        "peers_responded",
        "probe_responses",
        "order_read_ms",
        "order_sent_ms",
        "subset_key",
        "pool_service_ms",
        "route_times",
        "trials",
        "common_parts",
        "slowness_ms",
        "next_slow_tick_ms",
        "placement",
        "placement_key",
        "feed_pulled_ms",
        "config_offered_ms",
        "routing_policy",
        "rng",
        "shared_machine_services",
        "queue_rates",
        "regional_loads",
        "pending_commands",
        "baseline_choices",
        "entry_rankings",
        "origins",
        "origin_copies",
        "origin_lookups",
        "versions",
        "part_cache",
        "brittle",
        "evidence",
        "quarantines",
        "next_evidence_ms",
        "evidence_credit",
        "evidence_credit_ms",
        "cache",
    )

    def __init__(self, identity, seed, operation_key):
        self.identity = identity
        self.config = None
        self.feeds = {key: make_feed(key) for key in required_feeds(identity)}
        self.feed_requested_ms = {}
        self.feed_response_ms = {}
        self.feed_failed_ms = {}
        self.members = make_member_table()
        self.pending_announcements = {}
        self.direct_announces_left = MAX_DIRECT_ANNOUNCES
        self.members_pulled_ms = -MEMBER_PULL_INTERVAL_MS
        self.evacuated = frozenset()
        self.unlisted_since_ms = {}
        self.source_response_ms = None
        self.list_stale_ms = None
        self.reached_services = {}
        self.failed_connections = {}
        self.next_exchange_ms = 0
        self.exchange_offset = 0
        self.last_loads_nonempty = False
        self.peer_loads = {}
        self.refusals = make_refusal_table()
        self.probe_schedule = make_probe_schedule()
        self.replicas = make_replica_table()
        self.prefixes = make_prefix_index()
        self.requests = {}
        self.attempts = {}
        self.next_attempt_id = 0
        self.queues = {}
        self.inflight = {}
        self.peer_demand = {}
        self.rates = make_rate_table()
        self.quotas = make_quota_table()
        self.lender = make_lender_table()
        self.borrower = make_borrower_table()
        policy = Policy()
        self.ledger = make_ledger(
            identity.vm, identity.incarnation, operation_key, policy.max_operations
        )
        self.retries = make_budget(policy.retry_share)
        self.route_retries = {}
        self.hedges = make_budget(Objective().hedge_share, burst=3.0)
        self.decisions = OrderedDict()
        self.counters = Counters()
        self.revoked_keys = {}
        self.workspace_requests = {}
        self.other_workspace_requests = 0
        self.ready = False
        self.leaving = False
        self.leaving_ms = 0
        self.stopped = False
        self.last_tick_ms = None
        self.started_ms = 0
        self.refutation = 0
        self.peers_responded = set()
        self.probe_responses = 0
        self.order_read_ms = {}
        self.order_sent_ms = {}
        self.subset_key = None
        self.pool_service_ms = {}
        self.route_times = {}
        self.trials = {}
        self.common_parts = {}
        self.slowness_ms = 0
        self.next_slow_tick_ms = 0
        self.placement = {}
        self.placement_key = None
        self.feed_pulled_ms = {}
        self.config_offered_ms = {}
        self.routing_policy = "estimate"
        self.rng = random.Random(seed)
        self.shared_machine_services = set()
        self.queue_rates = {}
        self.regional_loads = {}
        self.pending_commands = []
        self.baseline_choices = 0
        self.entry_rankings = 0
        self.origins = make_origin_table()
        self.origin_copies = make_copy_table()
        self.origin_lookups = {}
        self.versions = make_version_table()
        self.part_cache = make_part_cache()
        self.brittle = {}
        self.evidence = make_evidence_table()
        self.quarantines = make_quarantine_table()
        self.next_evidence_ms = 0
        self.evidence_credit = 0.0
        self.evidence_credit_ms = 0
        self.cache = {}

    @property
    def base(self):
        """Base document of the active configuration, with the overlay applied."""
        return self.config.base

    @property
    def policy(self):
        """Active policy, or the defaults before the first configuration."""
        return self.config.base.policy if self.config else _DEFAULT_POLICY

    @property
    def objective(self):
        """Active objective of this site."""
        return self.config.base.objective

    @property
    def region(self):
        """Region of this daemon."""
        return self.identity.region

    @property
    def queue_slack(self):
        """Number of requests that may wait at a server, as a share of its slots."""
        return self.config.base.policy.queue_slack

    @property
    def block_tokens(self):
        """Number of prompt tokens in one block of the prefix index."""
        return BLOCK_TOKENS

    def cached(self, name, key, compute):
        """Return the cached result `name`, recomputed only when `key` changes.

        Parameters
        ----------
        name : hashable
            Name of the result; at most `MAX_CACHED_RESULTS` are kept.
        key : object
            Versions of everything that the result depends on.
        compute : callable
            Function without arguments that returns the result.
        """
        entry = self.cache.get(name)
        if entry is not None and entry[0] == key:
            return entry[1]
        if len(self.cache) >= MAX_CACHED_RESULTS:
            self.cache.clear()
        value = compute()
        self.cache[name] = (key, value)
        return value

    def region_members(self):
        """Return the names of the usable entry VMs of the region, own included."""
        return self.cached(
            "region members", self.members.generation, self._region_members
        )

    def _region_members(self):
        names = [row.name for row in usable_members(self.members, self.region)]
        if self.identity.vm not in names:
            names.append(self.identity.vm)
        return sorted(names)

    def is_list_stale(self, now_ms):
        """Return whether the list of backend servers may be out of date.

        This is so if the source of the feeds is not known to have responded to any
        daemon of the region for `policy.stale_list_ms`. Backend servers are then
        checked directly.
        """
        limit_ms = self.policy.stale_list_ms
        last_ms = self.source_response_ms
        return bool(limit_ms and last_ms is not None and now_ms - last_ms > limit_ms)

    def is_list_settling(self, now_ms):
        """Return whether the list was out of date until `LIST_SETTLE_MS` ago or is now.

        Its source responds again before the servers have written to it what changed
        in the meantime, for example that one has restarted with a cold cache.
        """
        last_ms = self.list_stale_ms
        return self.is_list_stale(now_ms) or (
            last_ms is not None and now_ms - last_ms <= LIST_SETTLE_MS
        )

    def retry_after_ms(self, request, wait_ms, now_ms):
        """Return the retry delay in ms for a request refused for lack of capacity.

        Parameters
        ----------
        request : Request
        wait_ms : float
            Time by which the expected wait exceeds the one that the request allows.
        now_ms : int
        """
        if request.route is None:
            return int(wait_ms)
        if request.urgency:
            return usable_retry_after_ms(
                self.refusals,
                request.pool,
                wait_ms,
                request.response_deadline_ms - now_ms,
                is_demand_above_capacity(self, request.pool, request.urgency, now_ms),
                now_ms,
                self.rng,
            )
        return record_refusal(self.refusals, request.pool, wait_ms, now_ms, self.rng)

    def retry_budget(self, request):
        """Return the retry budget that `request` draws on.

        Routed requests share one budget for each pool, all others a single one.
        """
        if request.route is None:
            return self.retries
        budget = self.route_retries.get(request.pool)
        if budget is None:
            budget = make_budget(self.policy.retry_share, self._route_burst())
            self.route_retries[request.pool] = budget
        return budget

    def update_route_budgets(self):
        """Adjust the retry budgets of routes to the policy and number of members."""
        for budget in self.route_retries.values():
            budget.share = self.policy.retry_share
            set_burst(budget, self._route_burst())

    def _route_burst(self):
        retry_slack = self.policy.retry_slack
        if not retry_slack:
            return self.policy.retry_burst
        daemons = len(self.members.rows) + 1
        return max(1.0, RETRY_SLACK_SHARE * retry_slack / daemons)

    def emit(self, command):
        """Queue a command for the I/O layer."""
        self.pending_commands.append(command)

    def queue(self, pool):
        """Return the queue of `pool`, creating it on first use."""
        queue = self.queues.get(pool)
        if queue is None:
            queue = self.queues[pool] = make_fair_queue()
        return queue

    def log_request(self, request, sentence, **fields):
        """Log a decision about a request, with the values it was based on.

        `sentence` contains no values of the request; they go into `fields`.
        """
        if request.route is not None:
            fields["route"] = request.route.name
        if self.config is not None and self.config.has_keys and request.workspace:
            fields.setdefault("workspace", request.workspace)
        if self.config is not None:
            fields["revision"] = self.config.revision
        if request.origin:
            fields["sender"] = request.origin
            fields["sender_revision"] = request.revision
        fields["attempt"] = request.attempts
        self.emit(Log("request", sentence, request.request_id, fields))

    def log_server(self, row, sentence, **fields):
        """Log a change of the recorded state of a backend server."""
        fields["server"] = row.name
        fields["incarnation"] = row.incarnation
        self.emit(Log("routing", sentence, fields=fields))

    def record_decision(self, request_id, entry):
        """Record `entry` among the decisions about a request.

        Parameters
        ----------
        request_id : str
        entry : tuple
            Kind, time in ms and details; see :func:`explain_request`.
        """
        entries = self.decisions.setdefault(request_id, [])
        entries.append(entry)
        if len(self.decisions) > MAX_EXPLAINED_REQUESTS:
            self.decisions.popitem(last=False)


_DEFAULT_POLICY = Policy()


def make_node_state(identity, seed, operation_key):
    """Return the initial state of a daemon.

    Parameters
    ----------
    identity : NodeIdentity
    seed : int
        Seed of the random choices.
    operation_key : bytes
        Secret of this process that authenticates operation ids.
    """
    return NodeState(identity, seed, operation_key)
