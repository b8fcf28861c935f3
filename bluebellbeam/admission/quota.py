"""Token quotas of workspaces: ledgers of the regions and tokens held by daemons.

The ledgers of a workspace, one in each region, account for one common token bucket.
Each ledger subtracts its own grants at once and those of the other ledgers when they
are reported. Until the others have acknowledged its grants, a ledger grants no more
than its share of the level and `UNSEEN_RATE_S` of the rate, so that ledgers that grant
at the same time cannot spend the burst several times.
"""

import math

from msgspec import Struct

__all__ = [
    "BURST_MARGIN_TOKENS",
    "CONTACT_MS",
    "HELD_MS",
    "HeldTokens",
    "Limit",
    "QuotaLedger",
    "RegionCounts",
    "apply_report",
    "credit_tokens",
    "grant_extra",
    "grant_tokens",
    "has_contact",
    "is_busy",
    "lost_regions",
    "make_held_tokens",
    "make_quota_ledger",
    "record_demand",
    "take_held",
    "take_without_ledger",
    "update_ledger",
    "use_per_s",
]

CONTACT_MS = 1000
"""Time without a report after which contact with the ledger of a region is lost."""

UNSEEN_RATE_S = 0.2
"""Grants beyond its share of the level that a ledger may make before the others
acknowledge them, in seconds of the rate. It lets a region whose share is still small
use most of the rate. With 0.5 s, three regions used 2.9 s of the rate in the second
before they noticed a partition."""

MAX_UNSEEN_RATE_S = 0.4
"""Largest sum of `UNSEEN_RATE_S` over the other regions."""

BURST_MARGIN_TOKENS = 20_000
"""Capacity of the bucket above the burst, two usual prompts. With a burst of 14,500
tokens, in which one prompt has 9,190, 24% of the usable quota was lost without it."""

OVERDRAFT_TOKENS = 70_000
"""Debt allowed for requests larger than the bucket, over all ledgers. The bound on the
tokens of a window contains 110,000 tokens for this and `BURST_MARGIN_TOKENS`."""

MAX_DEBT_S = 2.0
"""Largest debt in seconds of the rate that is kept after a limit was lowered."""

USE_DECAY_MS = 1000.0
"""Time constant of the moving average of tokens used."""

LEVEL_GAIN = 0.1
"""Part of the difference of two ledgers' levels that one report removes; ledgers
whose levels differ after a partition would otherwise share the rate unequally."""

LEVEL_BAND_S = 0.25
"""Difference of two levels, in seconds of the rate, that is left alone: a reported
level is older than the own one. Without the band the ledgers granted 6% too much."""

MIN_LIVE_SHARE = 0.8
"""Share of a region's daemons that must be live for its ledger to act for the whole
region while it has no contact with another one."""

PREFETCH_MS = 200
"""Demand that a grant covers beyond the requests that it is for."""

HELD_MS = 500
"""Time without use after which held tokens are returned."""


class Limit(Struct, frozen=True):
    """Quota of a workspace, in tokens or in requests.

    For a quota in requests each request costs 1, and what is called tokens elsewhere
    in this module is requests.

    Parameters
    ----------
    rate_per_s : float
    burst : float
        Capacity of the bucket, for tokens with `BURST_MARGIN_TOKENS`.
    overdraft : float
        Debt allowed for requests larger than the bucket, over all ledgers.
    min_capacity : float
        Least capacity of the part of the bucket that a ledger or daemon has. It is 1
        for a quota in requests, since a region's part of a small burst may be less.
    """

    rate_per_s: float
    burst: float
    overdraft: float = OVERDRAFT_TOKENS
    min_capacity: float = 0.0


class RegionCounts(Struct, frozen=True):
    """Daemons by region, as known to a daemon.

    Parameters
    ----------
    own : str
        Region of the daemon.
    daemons : dict of str to int
        Daemons that have not left, including lost ones, by region.
    live_share : float
        Part of the own region's daemons that is live, from 0 to 1.
    """

    own: str
    daemons: dict[str, int]
    live_share: float = 1.0


class Use:
    """Moving average of tokens used.

    Attributes
    ----------
    per_s : float
    updated_ms : int
    """

    __slots__ = ("per_s", "updated_ms")

    def __init__(self, now_ms):
        self.per_s = 0.0
        self.updated_ms = now_ms


def add_use(use, tokens, now_ms):
    """Add `tokens` to a moving average."""
    use.per_s = use_per_s(use, now_ms) + 1000.0 * tokens / USE_DECAY_MS
    use.updated_ms = now_ms


def use_per_s(use, now_ms):
    """Return the moving average of tokens per second."""
    return use.per_s * math.exp(-max(0, now_ms - use.updated_ms) / USE_DECAY_MS)


class PeerLedger:
    """What a ledger knows of another ledger of the same workspace.

    Attributes
    ----------
    region : str
    epoch : int
    granted : int
        Tokens that it has granted, as last reported.
    acknowledged : int
        Own grants that it has subtracted.
    heard_ms : int
    reported_granted : int
        Own grants in the last report to it.
    use : Use
    """

    __slots__ = (
        "region",
        "epoch",
        "granted",
        "acknowledged",
        "heard_ms",
        "reported_granted",
        "use",
    )

    def __init__(self, region, epoch, granted, acknowledged, now_ms):
        self.region = region
        self.epoch = epoch
        self.granted = granted
        self.acknowledged = acknowledged
        self.heard_ms = now_ms
        self.reported_granted = 0
        self.use = Use(now_ms)


class QuotaLedger:
    """Ledger of one workspace in one region; it is lost with its daemon.

    Attributes
    ----------
    epoch : int
        Random number that tells it from other ledgers of the same daemon.
    level : float
        Tokens of the common bucket, as known here; negative after more was granted
        by all ledgers than there was.
    updated_ms : int
    granted : int
        Tokens granted, less those returned.
    use : Use
    fraction : float
        Part of the quota that this ledger grants from: 1 while it has contact with
        all regions.
    shares : dict of str to float
        Part of the quota of each region, from the last time that all had contact.
    peers : dict of str to PeerLedger
        Other ledgers of the workspace, by daemon.
    reported_ms : dict of str to int
        Time of the last report to each daemon.
    reported_use : float
        Tokens used per second at the time of the last report.
    requested_ms : int
        Time of the last request for tokens.
    """

    __slots__ = (
        "epoch",
        "level",
        "updated_ms",
        "granted",
        "use",
        "fraction",
        "shares",
        "peers",
        "reported_ms",
        "reported_use",
        "requested_ms",
    )

    def __init__(self, epoch, now_ms):
        self.epoch = epoch
        self.level = 0.0
        self.updated_ms = now_ms
        self.granted = 0
        self.use = Use(now_ms)
        self.fraction = 0.0
        self.shares = {}
        self.peers = {}
        self.reported_ms = {}
        self.reported_use = 0.0
        self.requested_ms = now_ms


def make_quota_ledger(epoch, since_ms):
    """Return a ledger whose bucket was empty at `since_ms`."""
    return QuotaLedger(epoch, since_ms)


def has_contact(ledger, region, now_ms):
    """Return whether a ledger of `region` has reported within `CONTACT_MS`."""
    return any(
        peer.region == region and now_ms - peer.heard_ms <= CONTACT_MS
        for peer in ledger.peers.values()
    )


def lost_regions(ledger, counts, now_ms):
    """Return the other regions without contact, in a list."""
    return [
        region
        for region in counts.daemons
        if region != counts.own and not has_contact(ledger, region, now_ms)
    ]


def update_ledger(ledger, limit, counts, now_ms):
    """Refill the bucket, and update the part of the quota that it stands for.

    Parameters
    ----------
    ledger : QuotaLedger
    limit : Limit
    counts : RegionCounts
    now_ms : int
    """
    lost = lost_regions(ledger, counts, now_ms)
    fraction = _quota_fraction(ledger, counts, lost)
    if fraction < ledger.fraction and ledger.level > 0:
        ledger.level *= fraction / ledger.fraction
    ledger.fraction = fraction
    elapsed_s = max(0, now_ms - ledger.updated_ms) / 1000.0
    ledger.updated_ms = now_ms
    level = ledger.level + fraction * limit.rate_per_s * elapsed_s
    floor = -MAX_DEBT_S * limit.rate_per_s - limit.overdraft
    ledger.level = max(floor, min(_capacity(limit, fraction), level))


def _capacity(limit, fraction):
    """Return the capacity of a part of the bucket."""
    return max(limit.min_capacity, fraction * limit.burst)


def _connected_shares(ledger, counts):
    """Return the share of each region: half by daemons, half by use.

    The use is that of the last reports, also for the own region. With the present use
    of its own, each of three regions with a sudden load took two thirds of the burst.
    """
    use = dict.fromkeys(counts.daemons, 0.0)
    use[counts.own] = ledger.reported_use
    for peer in ledger.peers.values():
        if peer.region in use:
            use[peer.region] += peer.use.per_s
    total = sum(counts.daemons.values())
    total_use = sum(use.values())
    shares = {}
    for region, daemons in counts.daemons.items():
        part = daemons / total
        used = max(0.0, use[region]) / total_use if total_use >= 1.0 else part
        shares[region] = 0.5 * part + 0.5 * used
    return shares


def _quota_fraction(ledger, counts, lost):
    """Return the part of the quota that the ledgers in contact may grant together.

    A region that never had contact may hold any share above its guaranteed one.
    """
    total = sum(counts.daemons.values())
    taken = 0.0
    for region in lost:
        part = counts.daemons[region] / total
        taken += ledger.shares.get(region, 0.5 * part + 0.5)
    guaranteed = 0.5 * counts.daemons[counts.own] / total
    fraction = max(guaranteed, 1.0 - taken)
    alone = len(lost) == len(counts.daemons) - 1
    if alone and counts.live_share < MIN_LIVE_SHARE:
        fraction *= counts.live_share
    return fraction


def _own_share(ledger, counts):
    """Return the part of the common level that this ledger may grant unseen."""
    total = sum(counts.daemons.values())
    share = ledger.shares.get(counts.own, 0.5 * counts.daemons[counts.own] / total)
    return min(1.0, share / ledger.fraction)


def _unseen(ledger, now_ms):
    """Return the grants that some ledger in contact has not acknowledged, or None."""
    seen = [
        peer.acknowledged
        for peer in ledger.peers.values()
        if now_ms - peer.heard_ms <= CONTACT_MS
    ]
    return max(0, ledger.granted - min(seen)) if seen else None


def _spendable(ledger, limit, counts, now_ms):
    unseen = _unseen(ledger, now_ms)
    if unseen is None:
        return ledger.level
    others = max(1, len(counts.daemons) - 1)
    slack_s = min(UNSEEN_RATE_S, MAX_UNSEEN_RATE_S / others)
    allowed = _own_share(ledger, counts) * max(0.0, ledger.level + unseen)
    allowed += slack_s * limit.rate_per_s * ledger.fraction
    return min(ledger.level, allowed - unseen)


def grant_tokens(ledger, limit, counts, cost, now_ms):
    """Grant the tokens of one request if the quota allows it.

    The ledger must be up to date; see :func:`update_ledger`. A request larger than
    the burst is granted from a full bucket and leaves a debt. A ledger whose grants
    have all been acknowledged may grant one request beyond its share of the level.

    Parameters
    ----------
    ledger : QuotaLedger
    limit : Limit
    counts : RegionCounts
    cost : int
        Tokens of the request.
    now_ms : int

    Returns
    -------
    int
        0 if granted, else the expected time in ms until the request would be granted.
    """
    ledger.requested_ms = now_ms
    connected = _unseen(ledger, now_ms)
    share = ledger.fraction if connected is None else 1.0
    excess = max(0.0, cost - _capacity(limit, ledger.fraction))
    need = cost - min(excess, limit.overdraft / max(1, len(counts.daemons)) * share)
    room = _spendable(ledger, limit, counts, now_ms)
    if connected == 0:
        room = ledger.level
    if room >= need:
        _charge(ledger, cost, now_ms)
        return 0
    rate = max(1e-3, ledger.fraction * limit.rate_per_s)
    return max(1, math.ceil(1000.0 * (need - room) / rate))


def grant_extra(ledger, limit, counts, tokens, now_ms):
    """Grant up to `tokens` for later requests from the upper half of the bucket.

    Returns
    -------
    int
        Tokens granted.
    """
    reserve = 0.5 * ledger.fraction * limit.burst
    room = _spendable(ledger, limit, counts, now_ms) - reserve
    granted = max(0, min(tokens, int(room)))
    _charge(ledger, granted, now_ms)
    return granted


def _charge(ledger, tokens, now_ms):
    ledger.level -= tokens
    ledger.granted += tokens
    add_use(ledger.use, tokens, now_ms)


def credit_tokens(ledger, tokens, now_ms):
    """Return unused tokens to the bucket."""
    ledger.level += tokens
    ledger.granted -= tokens
    add_use(ledger.use, -tokens, now_ms)


def is_busy(ledger, limit, counts, now_ms):
    """Return whether the use needs more than a part of the guaranteed share."""
    total = sum(counts.daemons.values())
    guaranteed = 0.5 * counts.daemons[counts.own] / total * limit.rate_per_s
    return use_per_s(ledger.use, now_ms) >= 0.25 * guaranteed


def apply_report(ledger, limit, counts, sender, region, report, now_ms):
    """Subtract the grants that another ledger of the workspace reports.

    While a region has no contact, its share of the rate is not granted by the others;
    only what it has granted beyond that is subtracted afterwards.

    Parameters
    ----------
    ledger : QuotaLedger
    limit : Limit
    counts : RegionCounts
    sender, region : str
        Daemon of the other ledger and its region.
    report : QuotaReportRow
    now_ms : int
    """
    in_contact = has_contact(ledger, region, now_ms)
    peer = ledger.peers.get(sender)
    if peer is None:
        peer = PeerLedger(region, report.epoch, 0, ledger.granted, now_ms)
        ledger.peers[sender] = peer
        delta = report.granted if in_contact else 0
    elif peer.epoch != report.epoch:
        delta = report.granted if in_contact else 0
    else:
        delta = report.granted - peer.granted
        lost_s = max(0, now_ms - peer.heard_ms - CONTACT_MS) / 1000.0
        if lost_s:
            share = ledger.shares.get(region, 0.5)
            delta = max(0.0, delta - share * limit.rate_per_s * lost_s)
    ledger.level -= delta
    add_use(peer.use, delta, now_ms)
    peer.region = region
    peer.epoch = report.epoch
    peer.granted = report.granted
    peer.heard_ms = now_ms
    if report.ack_epoch == ledger.epoch:
        peer.acknowledged = report.ack_granted
    if not lost_regions(ledger, counts, now_ms):
        ledger.shares = _connected_shares(ledger, counts)
    if in_contact and report.level is not None and ledger.fraction == 1.0:
        ledger.level += _level_step(ledger, limit, report)


def _level_step(ledger, limit, report):
    """Return the change of the level that brings it closer to a reported one."""
    if report.ack_epoch != ledger.epoch:
        return 0.0
    reported = report.level - (ledger.granted - report.ack_granted)
    difference = reported - ledger.level
    excess = max(0.0, abs(difference) - LEVEL_BAND_S * limit.rate_per_s)
    step = LEVEL_GAIN * min(excess, 0.5 * limit.rate_per_s)
    return step if difference > 0 else -step


class HeldTokens:
    """Tokens of one workspace that a daemon holds for its next requests.

    Attributes
    ----------
    tokens : int
        Tokens obtained from the ledger of the region.
    used_ms : int
        Time at which they were last obtained or used.
    demand : Use
        Tokens of requests, admitted or not.
    refused_cost, refused_until_ms : int
        Smallest request that the ledger has refused, and the time until which
        requests of that size are refused without asking again.
    refused_ready_ms : int
        Time at which the ledger expects to grant that request.
    own_level : float
        Tokens that may be used without a ledger.
    own_updated_ms : int
    """

    __slots__ = (
        "tokens",
        "used_ms",
        "demand",
        "refused_cost",
        "refused_until_ms",
        "refused_ready_ms",
        "own_level",
        "own_updated_ms",
    )

    def __init__(self, now_ms):
        self.tokens = 0
        self.used_ms = now_ms
        self.demand = Use(now_ms)
        self.refused_cost = 0
        self.refused_until_ms = 0
        self.refused_ready_ms = 0
        self.own_level = 0.0
        self.own_updated_ms = now_ms


def make_held_tokens(now_ms):
    """Return a row without tokens."""
    return HeldTokens(now_ms)


def record_demand(held, cost, now_ms):
    """Record a request, and return the tokens to ask for beyond its own."""
    rate = use_per_s(held.demand, now_ms)
    add_use(held.demand, cost, now_ms)
    return int(rate * PREFETCH_MS / 1000.0)


def take_held(held, cost, now_ms):
    """Use `cost` tokens; return False if fewer are held or they are overdue."""
    if held.tokens < cost or now_ms - held.used_ms > 2 * HELD_MS:
        return False
    held.tokens -= cost
    held.used_ms = now_ms
    return True


def take_without_ledger(held, limit, daemons, cost, now_ms):
    """Use `cost` tokens of the part of the quota that needs no ledger.

    It is half of an equal part for each known daemon; the ledgers that can still be
    reached grant the rest. The first tokens are available after a refill.

    Returns
    -------
    int
        0 if the request may run, else the time in ms until it may.
    """
    share = 0.5 / max(1, daemons)
    refill = share * limit.rate_per_s * (now_ms - held.own_updated_ms) / 1000.0
    burst = max(limit.min_capacity, share * (limit.burst + limit.overdraft))
    held.own_level = min(burst, held.own_level + max(0.0, refill))
    held.own_updated_ms = now_ms
    if held.own_level >= cost:
        held.own_level -= cost
        return 0
    return math.ceil(1000.0 * (cost - held.own_level) / (share * limit.rate_per_s))
