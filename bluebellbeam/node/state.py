"""All tables of a node, and the commands that its systems emit."""

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
from bluebellbeam.node.retry_after import make_refusal_table, record_refusal
from bluebellbeam.operations import make_ledger
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
"""Tokens of one prefix block."""

SLACK_USED = 0.7
"""Share of the retry slack that is dealt out: daemons that have not heard of
each other yet may deal it twice."""

CACHED = 4000
"""Results that are kept until what they depend on changes."""

DECISIONS_KEPT = 2000
"""Recent requests whose decisions can be explained."""


def backends_feed(region):
    """Return the key of the feed that lists the backend servers of `region`."""
    return f"backends/{region}"


def required_feeds(identity):
    """Return the keys of the feeds that the daemon `identity` needs."""
    backends = backends_feed(identity.region)
    if identity.lists_entries:
        return (CONFIG_FEED, ENTRIES_FEED, backends)
    return (CONFIG_FEED, backends)


class NodeIdentity(Struct, frozen=True):
    """Name and place of a daemon, and the start of its process.

    Parameters
    ----------
    incarnation : int
        Wall-clock ms at the start of the process.
    seed_peers : tuple of str
        Peer addresses to ask before the VM list is known.
    peer_address, caller_address : str
        Own listeners, told to the other daemons where no list shows them.
    lists_entries : bool
        Whether the provider lists the entry VMs. Where it does not, daemons
        introduce themselves to the seed peers and pass introductions on.
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
    """Totals of a node since its start."""

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
        "pauses",
        "orders",
        "identity_mismatches",
        "region_refusals",
        "loops_refused",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)
        self.errors = {}


class NodeState:
    """The tables of one daemon; every system reads and writes these.

    Attributes
    ----------
    identity : NodeIdentity
    config : Effective or None
        Configuration in force.
    feeds : dict of str to Feed
    feed_requested_ms, feed_response_ms, feed_failed_ms : dict of str to int
        Times of the reads of the platform, by feed.
    members, probe_schedule : MemberTable, ProbeSchedule
    pending_announcements : dict of str to list of (VmRecord, int)
        Entry VMs heard of lately and how often each was passed on.
    evacuated : frozenset of str
        Failure domains whose backend servers are to get nothing.
    unlisted_since_ms : dict of str to int
        When a backend server vanished from the list while its source was
        disturbed.
    source_response_ms : int or None
        When the publisher of the lists last answered this daemon or, as far
        as was heard, any other.
    replicas : ReplicaTable
    prefixes : PrefixIndex
    requests : dict of str to Request
        Every request that has no final answer.
    attempts : dict of int to Attempt
    queues : dict of str to FairQueue
    inflight : dict of (str, str) to int
        Own requests at backend servers, by pool and priority.
    peer_demand : dict of str to dict of str to (float, float, int)
        Weights of waiting interactive and batch work and the time in ms they
        were heard, by pool and VM.
    active : dict of str to dict of str to int
        Requests without an answer, by pool and workspace.
    rates : RateTable
    lender, borrower : LenderTable, BorrowerTable
    ledger : Ledger
    refusals : RefusalTable
        Which pools refuse for want of room, and since when.
    peer_loads : dict of str to (int, dict)
        When each member of the region last told what it has at the servers,
        and what.
    retries, hedges : Budget
    route_retries : dict of str to Budget
        Budgets of routed requests by pool.
    routing_policy : EstimatePolicy or a baseline
    baseline_choices : int
        Choices made so far by a baseline.
    cache : dict
        See :meth:`cached`.
    decisions : OrderedDict
        Recent decisions by request id.
    ready, leaving, stopped : bool
    last_tick_ms : int or None
    started_ms : int
    pending_commands : list
        Commands to carry out.
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
        "evacuated",
        "unlisted_since_ms",
        "source_response_ms",
        "next_exchange_ms",
        "exchange_offset",
        "sent_loads",
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
        "active",
        "peer_demand",
        "rates",
        "lender",
        "borrower",
        "ledger",
        "retries",
        "route_retries",
        "hedges",
        "decisions",
        "counters",
        "ready",
        "leaving",
        "leaving_ms",
        "stopped",
        "last_tick_ms",
        "started_ms",
        "refutation",
        "peers_responded",
        "peer_replies",
        "order_reads",
        "order_sent_ms",
        "subset_key",
        "pool_service_ms",
        "next_slow_tick_ms",
        "placement",
        "placement_key",
        "feed_pulled_ms",
        "routing_policy",
        "rng",
        "pending_commands",
        "baseline_choices",
        "entry_choices",
        "part_cache",
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
        self.evacuated = frozenset()
        self.unlisted_since_ms = {}
        self.source_response_ms = None
        self.next_exchange_ms = 0
        self.exchange_offset = 0
        self.sent_loads = False
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
        self.active = {}
        self.peer_demand = {}
        self.rates = make_rate_table()
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
        self.ready = False
        self.leaving = False
        self.leaving_ms = 0
        self.stopped = False
        self.last_tick_ms = None
        self.started_ms = 0
        self.refutation = 0
        self.peers_responded = set()
        self.peer_replies = 0
        self.order_reads = {}
        self.order_sent_ms = {}
        self.subset_key = None
        self.pool_service_ms = {}
        self.next_slow_tick_ms = 0
        self.placement = {}
        self.placement_key = None
        self.feed_pulled_ms = {}
        self.routing_policy = "estimate"
        self.rng = random.Random(seed)
        self.pending_commands = []
        self.baseline_choices = 0
        self.entry_choices = 0
        self.part_cache = make_part_cache()
        self.cache = {}

    @property
    def base(self):
        """Base of the configuration in force, overlay applied."""
        return self.config.base

    @property
    def policy(self):
        """Policy in force, or the defaults before any configuration."""
        return self.config.base.policy if self.config else _DEFAULT_POLICY

    @property
    def objective(self):
        """Objective in force at this site."""
        return self.config.base.objective

    @property
    def region(self):
        """Region of this daemon."""
        return self.identity.region

    @property
    def slack(self):
        """Share of a server's slots that may wait there as a queue."""
        return self.config.base.policy.queue_slack

    @property
    def block_tokens(self):
        """Tokens of one prefix block."""
        return BLOCK_TOKENS

    def cached(self, name, key, compute):
        """Return what `compute` gives, computed again only when `key` changes.

        Parameters
        ----------
        name : hashable
            What is computed; at most `CACHED` different ones are kept.
        key : object
            Versions of everything that the result depends on.
        compute : callable
        """
        entry = self.cache.get(name)
        if entry is not None and entry[0] == key:
            return entry[1]
        if len(self.cache) >= CACHED:
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
        """Return whether no daemon has heard from the list's source for long.

        What the list would tell of servers has to be found out by asking them
        meanwhile.
        """
        limit_ms = self.policy.stale_list_ms
        heard_ms = self.source_response_ms
        return bool(limit_ms and heard_ms is not None and now_ms - heard_ms > limit_ms)

    def retry_after_ms(self, request, wait_ms, now_ms):
        """Return when a request refused for want of room is to come back.

        Parameters
        ----------
        request : Request
        wait_ms : float
            Time by which the expected wait exceeds what it accepts.
        now_ms : int
        """
        if request.route is None:
            return int(wait_ms)
        return record_refusal(self.refusals, request.pool, wait_ms, now_ms, self.rng)

    def retry_budget(self, request):
        """Return the budget from which a repeat of `request` is paid."""
        if request.route is None:
            return self.retries
        budget = self.route_retries.get(request.pool)
        if budget is None:
            budget = make_budget(self.policy.retry_share, self._route_burst())
            self.route_retries[request.pool] = budget
        return budget

    def update_route_budgets(self):
        """Bring the budgets of routes in line with the policy and the members."""
        for budget in self.route_retries.values():
            budget.share = self.policy.retry_share
            set_burst(budget, self._route_burst())

    def _route_burst(self):
        slack = self.policy.retry_slack
        if not slack:
            return self.policy.retry_burst
        daemons = len(self.members.rows) + 1
        return max(1.0, SLACK_USED * slack / daemons)

    def emit(self, command):
        """Add a command for the I/O layer."""
        self.pending_commands.append(command)

    def queue(self, pool):
        """Return the queue of `pool`, made on first use."""
        queue = self.queues.get(pool)
        if queue is None:
            queue = self.queues[pool] = make_fair_queue()
        return queue

    def log_request(self, request, sentence, **fields):
        """Log a decision about a request, with what it was based on."""
        if request.route is not None:
            fields["route"] = request.route.name
        if self.config is not None:
            fields["revision"] = self.config.revision
        fields["attempt"] = request.attempts
        self.emit(Log("request", sentence, request.request_id, fields))

    def log_server(self, row, sentence, **fields):
        """Log a change of what is believed of a backend server."""
        fields["server"] = row.name
        fields["incarnation"] = row.incarnation
        self.emit(Log("routing", sentence, fields=fields))

    def record_decision(self, request_id, entry):
        """Keep `entry` among the decisions about a request."""
        entries = self.decisions.setdefault(request_id, [])
        entries.append(entry)
        if len(self.decisions) > DECISIONS_KEPT:
            self.decisions.popitem(last=False)


_DEFAULT_POLICY = Policy()


def make_node_state(identity, seed, operation_key):
    """Return the empty state of a daemon.

    Parameters
    ----------
    identity : NodeIdentity
    seed : int
        Seed of the random choices.
    operation_key : bytes
        Secret of this process that authenticates operation ids.
    """
    return NodeState(identity, seed, operation_key)
