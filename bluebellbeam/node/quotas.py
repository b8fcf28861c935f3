"""Token quotas of workspaces: requests that wait for tokens, messages and timers.

The ledger of a workspace in a region is held by one of its daemons, chosen by
rendezvous hash of the workspace's group. Workspaces are grouped so that the reports
between two daemons, and the requests of a daemon to a ledger, share messages.
"""

from bluebellbeam.admission.quota import (
    BURST_MARGIN_TOKENS,
    HELD_MS,
    Limit,
    RegionCounts,
    apply_report,
    credit_tokens,
    grant_extra,
    grant_tokens,
    is_busy,
    lost_regions,
    make_held_tokens,
    make_quota_ledger,
    record_demand,
    take_held,
    take_without_ledger,
    update_ledger,
    use_per_s,
)
from bluebellbeam.membership import usable_members
from bluebellbeam.node.command import Log
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.message import (
    QuotaReport,
    QuotaReportRow,
    TokenGrant,
    TokenRequest,
)
from bluebellbeam.node.peer_send import send_to_member
from bluebellbeam.utils.hashing import hash_text, rendezvous_order

__all__ = [
    "QUOTA_COUNTERS",
    "QuotaTable",
    "charge_quota",
    "handle_quota_report",
    "handle_token_grant",
    "handle_token_request",
    "handle_unreachable_ledger",
    "make_quota_table",
    "quota_limit",
    "quota_status",
    "refund_quota",
    "tick_quotas",
]

GROUPS = 64
"""Number of groups of workspaces. With fewer, single daemons hold more ledgers; with
more, a message contains fewer workspaces."""

LEDGER_CANDIDATES = 2
"""Daemons of the region that are asked for tokens before the daemon uses its own part
of the quota."""

ANSWER_TIMEOUT_MS = 50
"""Time after which a request no longer waits for the ledger. It is checked in each
tick of 50 ms, so that no request waits for more than 100 ms."""

SILENCE_MS = 400
"""Time without any answer after which a ledger counts as unreachable, from the first
token request that it has not answered. A single late answer of a busy daemon does not
start another ledger."""

UNREACHABLE_MS = 1000
"""Time for which an unreachable ledger is not asked again."""

MAX_REFUSAL_MS = 200
"""Longest time for which a refusal of the ledger applies to later requests of the same
size, since returned tokens may end it early."""

REPORT_INTERVAL_MS = 250
"""Interval of the reports on a ledger in use."""

PASSIVE_REPORT_INTERVAL_MS = 400
"""Interval of the reports of the one of two ledgers in use that usually responds."""

SLOW_REPORT_INTERVAL_MS = 2000
"""Interval of the reports on a ledger whose use is far below its guaranteed share."""

LINK_IDLE_MS = 600
"""Time without a report of a region after which a ledger without use reports, if other
regions have reported meanwhile."""

MAX_ROWS_PER_REPORT = 64
"""Largest number of ledgers in one report, which bounds its size."""

LOST_MEMBER_MS = 600_000
"""Time for which a daemon that has not announced its shutdown counts after the last
contact. A daemon that counts others as gone while they run grants their part too."""

COUNT_INTERVAL_MS = 500
"""Interval at which the known daemons are counted."""

CEDED_MS = 2000
"""Time after which an unused ledger is removed that another daemon should hold."""

IDLE_MS = 60_000
"""Time after which an unused ledger or row of held tokens is removed."""

LATE_ANSWER_MS = 5000
"""Time for which an answer is still accepted, to return its tokens."""


QUOTA_COUNTERS = ("rejected", "refunded_tokens", "tokens_without_ledger")
"""Totals in :class:`QuotaTable` that are exported."""


class Waiting:
    """A request that waits for tokens.

    Attributes
    ----------
    request : Request
    cost, extra : int
        Its tokens, and further ones that the daemon expects to need.
    since_ms : int
    skipped : set of str
        Daemons that do not know the workspace, which are not asked again.
    """

    __slots__ = ("request", "cost", "extra", "since_ms", "skipped")

    def __init__(self, request, cost, extra, since_ms):
        self.request = request
        self.cost = cost
        self.extra = extra
        self.since_ms = since_ms
        self.skipped = set()


class PendingQuery:
    """Token request without an answer.

    Attributes
    ----------
    daemon : str
    sent_ms : int
    rows : dict of str to list of Waiting
        Requests that it is for, by workspace.
    timed_out : bool
        Whether its requests have stopped waiting.
    """

    __slots__ = ("daemon", "sent_ms", "rows", "timed_out")

    def __init__(self, daemon, sent_ms, rows):
        self.daemon = daemon
        self.sent_ms = sent_ms
        self.rows = rows
        self.timed_out = False


class QuotaTable:
    """Ledgers, held tokens and waiting requests of a daemon.

    Attributes
    ----------
    ledgers : dict of str to QuotaLedger
        Ledgers that this daemon holds, by workspace.
    held : dict of str to HeldTokens
    queries : dict of int to PendingQuery
        Token requests by number.
    current : dict of str to int
        Number of the token request that a daemon has not answered, by daemon.
    queued : dict of str to list of Waiting
        Requests for the next token request, by daemon.
    unanswered_since_ms : dict of str to int
        Time of the first token request since the last answer, by daemon.
    unreachable_until_ms : dict of str to int
    report_sent_ms : dict of str to int
        Time of the first report without a response, by daemon.
    silent : set of str
        Daemons with ledgers that have lost contact.
    started : list of str
        Workspaces whose ledger has started since the last tick.
    next_number : int
    owners : dict of (str, int) to tuple of str
        Daemons that may hold the ledgers of a group in a region, best first.
    next_ceded_ms : int
        Time of the next check for ledgers that another daemon should hold.
    owners_key : tuple
        Generation of the members that `owners` is for, and whether this daemon was
        leaving.
    region_members : list of str or None
        Members of the region at the last tick.
    region_since_ms : int or None
        Time since which they are the same.
    counts : RegionCounts or None
    counted_ms : int
    daemons : int
        Known daemons of all regions.
    rejected : int
        Requests rejected because of a quota, since the start.
    refunded_tokens : int
        Tokens returned for requests that have not run, since the start.
    tokens_without_ledger : int
        Tokens used while no ledger of the region could be reached, since the start.
    """

    __slots__ = (
        "ledgers",
        "held",
        "queries",
        "current",
        "queued",
        "unanswered_since_ms",
        "unreachable_until_ms",
        "report_sent_ms",
        "silent",
        "started",
        "next_number",
        "owners",
        "next_ceded_ms",
        "owners_key",
        "region_members",
        "region_since_ms",
        "counts",
        "counted_ms",
        "daemons",
        "rejected",
        "refunded_tokens",
        "tokens_without_ledger",
    )

    def __init__(self):
        self.ledgers = {}
        self.held = {}
        self.queries = {}
        self.current = {}
        self.queued = {}
        self.unanswered_since_ms = {}
        self.unreachable_until_ms = {}
        self.report_sent_ms = {}
        self.silent = set()
        self.started = []
        self.next_number = 1
        self.owners = {}
        self.next_ceded_ms = 0
        self.owners_key = ()
        self.region_members = None
        self.region_since_ms = None
        self.counts = None
        self.counted_ms = 0
        self.daemons = 1
        self.rejected = 0
        self.refunded_tokens = 0
        self.tokens_without_ledger = 0


def make_quota_table():
    """Return an empty table."""
    return QuotaTable()


def quota_limit(state, workspace_name):
    """Return the :class:`Limit` that ledgers keep for a workspace, or None."""
    if state.config is None:
        return None
    workspace = state.base.workspaces.get(workspace_name)
    if workspace is None or not (
        workspace.burst_tokens and workspace.rate_tokens_per_s
    ):
        return None
    if workspace.quota_unit == "request":
        return Limit(
            workspace.rate_tokens_per_s,
            workspace.burst_tokens,
            overdraft=0.0,
            min_capacity=1.0,
        )
    burst = workspace.burst_tokens + BURST_MARGIN_TOKENS
    return Limit(workspace.rate_tokens_per_s, burst)


def _request_cost(workspace, request):
    """Return what a request costs in the unit of the quota of its workspace."""
    if workspace.quota_unit == "request":
        return 1
    tokens = request.prompt_tokens + request.max_output_tokens
    return tokens or workspace.plain_request_tokens


def charge_quota(state, request, now_ms):
    """Charge a request of a caller to the quota of its workspace.

    Parameters
    ----------
    state : NodeState
    request : Request
        Its route is resolved.
    now_ms : int

    Returns
    -------
    ended : bool
        False if the request now waits for tokens.
    error : CallerError or None
        The error if the quota does not allow the request.
    """
    limit = quota_limit(state, request.workspace)
    if limit is None:
        return True, None
    cost = _request_cost(state.base.workspaces[request.workspace], request)
    table = state.quotas
    held = table.held.get(request.workspace)
    if held is None:
        held = table.held[request.workspace] = make_held_tokens(now_ms)
    extra = record_demand(held, cost, now_ms)
    if take_held(held, cost, now_ms):
        _record_charge(request, cost, True)
        return True, None
    if now_ms < held.refused_until_ms and cost >= held.refused_cost:
        return True, _rate_error(state, held.refused_ready_ms - now_ms)
    return _ask(state, Waiting(request, cost, extra, now_ms), now_ms)


def refund_quota(state, request, now_ms):
    """Return the tokens of a charged request that has not run."""
    tokens = request.charged_tokens
    if not tokens:
        return
    request.charged_tokens = 0
    state.quotas.refunded_tokens += tokens
    held = state.quotas.held.get(request.charged_workspace)
    if held is None:
        return
    if request.charged_ledger:
        held.tokens += tokens
        held.used_ms = now_ms
    else:
        held.own_level += tokens


def _record_charge(request, cost, by_ledger):
    request.charged_tokens = cost
    request.charged_workspace = request.workspace
    request.charged_ledger = by_ledger


def _rate_error(state, wait_ms):
    state.quotas.rejected += 1
    return make_error("rate_limited", retry_after_ms=int(wait_ms))


def _ask(state, waiting, now_ms):
    """Ask the ledger for the tokens of a request; see :func:`charge_quota`."""
    workspace = waiting.request.workspace
    daemon = _choose_ledger(state, workspace, now_ms, waiting.skipped)
    if daemon is None:
        return True, _charge_own(state, waiting, now_ms)
    if daemon == state.identity.vm:
        held = state.quotas.held[workspace]
        returned, held.tokens = held.tokens, 0
        granted = _grant(
            state, workspace, (waiting.cost,), waiting.extra, returned, now_ms
        )
        if granted is None:
            # The configuration no longer has the workspace; admission checks that.
            return True, None
        waits, extra = granted
        _hold(held, extra, now_ms)
        return True, _settle(state, waiting, waits[0], now_ms)
    state.quotas.queued.setdefault(daemon, []).append(waiting)
    _send_query(state, daemon, now_ms)
    return False, None


def _charge_own(state, waiting, now_ms):
    """Charge a request to the part of the quota that needs no ledger."""
    request = waiting.request
    limit = quota_limit(state, request.workspace)
    if limit is None:
        return None
    held = state.quotas.held[request.workspace]
    _region_counts(state, now_ms)
    daemons = state.quotas.daemons
    wait_ms = take_without_ledger(held, limit, daemons, waiting.cost, now_ms)
    if wait_ms:
        return _rate_error(state, wait_ms)
    _record_charge(request, waiting.cost, False)
    state.quotas.tokens_without_ledger += waiting.cost
    return None


def _hold(held, tokens, now_ms):
    if tokens:
        held.tokens += tokens
        held.used_ms = now_ms


def _settle(state, waiting, wait_ms, now_ms):
    """Apply the answer of a ledger to a request; return the error or None."""
    request = waiting.request
    held = state.quotas.held[request.workspace]
    if not wait_ms:
        if request.state == "ended":
            _hold(held, waiting.cost, now_ms)
        else:
            _record_charge(request, waiting.cost, True)
        return None
    if now_ms >= held.refused_until_ms or waiting.cost < held.refused_cost:
        held.refused_cost = waiting.cost
        held.refused_until_ms = now_ms + min(wait_ms, MAX_REFUSAL_MS)
        held.refused_ready_ms = now_ms + wait_ms
    return _rate_error(state, wait_ms)


def _send_query(state, daemon, now_ms):
    """Send the queued requests for a ledger, unless it has yet to answer others.

    Requests that arrive meanwhile share the next message.
    """
    table = state.quotas
    if daemon in table.current or not table.queued.get(daemon):
        return
    rows = {}
    for waiting in table.queued.pop(daemon):
        rows.setdefault(waiting.request.workspace, []).append(waiting)
    number = table.next_number
    table.next_number += 1
    table.queries[number] = PendingQuery(daemon, now_ms, rows)
    table.current[daemon] = number
    table.unanswered_since_ms.setdefault(daemon, now_ms)
    message = TokenRequest(
        number, tuple(_query_row(state, name, items) for name, items in rows.items())
    )
    send_to_member(state, daemon, (message,))


def _query_row(state, workspace, items):
    held = state.quotas.held[workspace]
    returned, held.tokens = held.tokens, 0
    costs = tuple(item.cost for item in items)
    return (workspace, costs, items[0].extra, returned)


def handle_token_request(state, sender, message, now_ms):
    """Grant tokens from the ledgers of this daemon, and respond.

    The response has no row for a workspace that this daemon does not know.
    """
    rows = []
    for workspace, costs, extra, returned in message.rows:
        granted = _grant(state, workspace, costs, extra, returned, now_ms)
        if granted is not None:
            rows.append((workspace, *granted))
    if message.number:
        grant = TokenGrant(message.number, tuple(rows))
        send_to_member(state, sender, (grant,))


def _grant(state, workspace, costs, extra, returned, now_ms):
    """Grant tokens from the ledger of a workspace.

    Returns
    -------
    (tuple of int, int) or None
        Time in ms until each request may be granted, 0 if it is granted; and further
        tokens granted. None if this daemon does not know the workspace, in particular
        before it has a configuration. A known workspace without a limit had it removed.
    """
    limit = quota_limit(state, workspace)
    if limit is None:
        if state.config is None or workspace not in state.base.workspaces:
            return None
        return tuple(0 for _ in costs), 0
    ledger = _find_ledger(state, workspace, now_ms)
    counts = _region_counts(state, now_ms)
    if returned > 0:
        credit_tokens(ledger, returned, now_ms)
    update_ledger(ledger, limit, counts, now_ms)
    waits = tuple(grant_tokens(ledger, limit, counts, c, now_ms) for c in costs)
    if any(waits) or not costs:
        extra = 0
    return waits, grant_extra(ledger, limit, counts, extra, now_ms) if extra else 0


def _find_ledger(state, workspace, now_ms):
    """Return the ledger of a workspace, started if there is none.

    Its bucket was empty when the members of the region last changed, or is empty if
    another daemon should hold it: that one may have granted the burst before.
    """
    table = state.quotas
    ledger = table.ledgers.get(workspace)
    if ledger is None:
        epoch = state.rng.randrange(1, 1 << 30)
        since_ms = now_ms
        owner = _owners(state, workspace, state.region)[0]
        if owner == state.identity.vm and table.region_since_ms is not None:
            since_ms = table.region_since_ms
        ledger = table.ledgers[workspace] = make_quota_ledger(epoch, since_ms)
        table.started.append(workspace)
    return ledger


def handle_token_grant(state, sender, message, now_ms):
    """Apply the answer of a ledger.

    Returns
    -------
    list of (Request, CallerError or None)
        Requests that no longer wait, with the error if they are rejected.
    """
    table = state.quotas
    query = table.queries.get(message.number)
    if query is None or query.daemon != sender:
        return []
    del table.queries[message.number]
    table.unanswered_since_ms.pop(sender, None)
    table.unreachable_until_ms.pop(sender, None)
    rows = {workspace: (waits, extra) for workspace, waits, extra in message.rows}
    ended = []
    again = []
    for workspace, items in query.rows.items():
        if workspace in rows:
            waits, extra = rows[workspace]
            _hold(table.held[workspace], extra, now_ms)
            ended += _apply_waits(state, query, workspace, waits, now_ms)
        elif not query.timed_out:
            for waiting in items:
                waiting.skipped.add(sender)
            again += items
    if table.current.get(sender) == message.number:
        del table.current[sender]
        _send_query(state, sender, now_ms)
    return ended + _ask_again(state, again, now_ms)


def _apply_waits(state, query, workspace, waits, now_ms):
    """Apply the answer of a ledger about one workspace; return the ended requests.

    A request that the row does not answer stops waiting as after a time-out.
    """
    items = query.rows[workspace]
    held = state.quotas.held[workspace]
    ended = []
    for waiting, wait_ms in zip(items, waits, strict=False):
        if query.timed_out:
            _hold(held, 0 if wait_ms else waiting.cost, now_ms)
        else:
            error = _settle(state, waiting, wait_ms, now_ms)
            ended.append((waiting.request, error))
    unanswered = [] if query.timed_out else items[len(waits) :]
    return ended + _end_wait(state, unanswered, now_ms)


def _end_wait(state, items, now_ms):
    """Charge requests without an answer to the part that needs no ledger."""
    return [
        (item.request, _charge_own(state, item, now_ms))
        for item in items
        if item.request.state != "ended"
    ]


def handle_unreachable_ledger(state, daemon, now_ms):
    """Ask another daemon for the tokens requested of an unreachable one.

    Returns
    -------
    list of (Request, CallerError or None)
        As for :func:`handle_token_grant`.
    """
    table = state.quotas
    if daemon not in table.current and daemon not in table.queued:
        return []
    table.unreachable_until_ms[daemon] = now_ms + UNREACHABLE_MS
    waiting = table.queued.pop(daemon, [])
    query = table.queries.pop(table.current.pop(daemon, 0), None)
    if query is not None:
        waiting = [item for items in query.rows.values() for item in items] + waiting
    return _ask_again(state, waiting, now_ms)


def _ask_again(state, items, now_ms):
    ended = []
    for waiting in items:
        if waiting.request.state == "ended":
            continue
        done, error = _ask(state, waiting, now_ms)
        if done:
            ended.append((waiting.request, error))
    return ended


def handle_quota_report(state, sender, message, now_ms):
    """Apply the report of a daemon with ledgers of the same workspaces."""
    table = state.quotas
    table.report_sent_ms.pop(sender, None)
    row = state.members.rows.get(sender)
    if row is None:
        return
    if sender in table.silent:
        table.silent.discard(sender)
        _log_contact(state, "regain contact with ledgers", row)
    counts = _region_counts(state, now_ms)
    reported = []
    for report in message.rows:
        limit = quota_limit(state, report.workspace)
        if limit is None:
            continue
        ledger = _find_ledger(state, report.workspace, now_ms)
        update_ledger(ledger, limit, counts, now_ms)
        apply_report(ledger, limit, counts, sender, row.region, report, now_ms)
        reported.append(report.workspace)
    if message.reply and reported:
        rows = tuple(_report_row(state, name, sender, now_ms) for name in reported)
        send_to_member(state, sender, (QuotaReport(rows),))


def _log_contact(state, sentence, row):
    fields = {"daemon": row.name, "region": row.region}
    state.emit(Log("quota", sentence, fields=fields))


def _report_row(state, workspace, receiver, now_ms):
    ledger = state.quotas.ledgers[workspace]
    peer = ledger.peers.get(receiver)
    ledger.reported_ms[receiver] = now_ms
    ledger.reported_use = use_per_s(ledger.use, now_ms)
    if peer is not None:
        peer.reported_granted = ledger.granted
    return QuotaReportRow(
        workspace,
        ledger.epoch,
        ledger.granted,
        int(ledger.level) if ledger.fraction == 1.0 else None,
        peer.epoch if peer else 0,
        peer.granted if peer else 0,
    )


def tick_quotas(state, now_ms):
    """Run the timers of quotas.

    Returns
    -------
    list of (Request, CallerError or None)
        As for :func:`handle_token_grant`.
    """
    table = state.quotas
    members = state.region_members()
    if members is not table.region_members and members != table.region_members:
        table.region_since_ms = now_ms
    table.region_members = members
    if not (table.ledgers or table.held):
        return []
    ended = _end_slow_queries(state, now_ms)
    _return_unused(state, now_ms)
    if now_ms >= table.next_ceded_ms:
        table.next_ceded_ms = now_ms + CEDED_MS
        _drop_ceded_ledgers(state, now_ms)
    _send_reports(state, now_ms)
    _log_changes(state, now_ms)
    return ended


def _drop_ceded_ledgers(state, now_ms):
    """Drop the ledgers that another daemon should hold and that are not asked any more.

    Their buckets would refill while the other daemon grants from its own.
    """
    ledgers = state.quotas.ledgers
    own = state.identity.vm
    for workspace, ledger in list(ledgers.items()):
        if (
            now_ms - ledger.requested_ms > CEDED_MS
            and _owners(state, workspace, state.region)[0] != own
        ):
            del ledgers[workspace]


def _end_slow_queries(state, now_ms):
    """End the wait for ledgers that answer too late."""
    table = state.quotas
    late = []
    for number, query in list(table.queries.items()):
        age_ms = now_ms - query.sent_ms
        if age_ms > LATE_ANSWER_MS:
            del table.queries[number]
        if query.timed_out or age_ms < ANSWER_TIMEOUT_MS:
            continue
        query.timed_out = True
        table.current.pop(query.daemon, None)
        late += [item for items in query.rows.values() for item in items]
        late += table.queued.pop(query.daemon, [])
        since_ms = table.unanswered_since_ms.get(query.daemon, query.sent_ms)
        if now_ms - since_ms >= SILENCE_MS:
            table.unreachable_until_ms[query.daemon] = now_ms + UNREACHABLE_MS
    return _end_wait(state, late, now_ms)


def _return_unused(state, now_ms):
    """Return held tokens without use, and remove idle rows."""
    table = state.quotas
    rows = {}
    for workspace, held in list(table.held.items()):
        idle_ms = now_ms - held.used_ms
        if held.tokens and idle_ms >= HELD_MS:
            tokens, held.tokens = held.tokens, 0
            daemon = _choose_ledger(state, workspace, now_ms)
            if daemon == state.identity.vm:
                _grant(state, workspace, (), 0, tokens, now_ms)
            elif daemon is not None:
                rows.setdefault(daemon, []).append((workspace, (), 0, tokens))
        elif idle_ms >= IDLE_MS and now_ms - held.demand.updated_ms >= IDLE_MS:
            del table.held[workspace]
    for daemon, items in rows.items():
        send_to_member(state, daemon, (TokenRequest(0, tuple(items)),))


def _send_reports(state, now_ms):
    """Send the reports that are due, one message to each daemon.

    Reports on other workspaces that would soon be due join the message.
    """
    table = state.quotas
    counts = _region_counts(state, now_ms)
    due, soon = {}, {}
    for workspace, ledger in list(table.ledgers.items()):
        limit = quota_limit(state, workspace)
        used_ms = max(ledger.requested_ms, _heard_ms(ledger))
        if limit is None or now_ms - used_ms > IDLE_MS:
            del table.ledgers[workspace]
            continue
        if now_ms - used_ms > SLOW_REPORT_INTERVAL_MS:
            continue
        for daemon in _report_targets(state, workspace, ledger, now_ms):
            delay_ms = _report_delay_ms(state, ledger, daemon, limit, counts, now_ms)
            if delay_ms <= 0:
                due.setdefault(daemon, []).append(workspace)
            elif delay_ms <= REPORT_INTERVAL_MS // 2:
                soon.setdefault(daemon, []).append(workspace)
    for daemon, names in due.items():
        names += soon.get(daemon, [])
        for name in names:
            limit = quota_limit(state, name)
            update_ledger(table.ledgers[name], limit, counts, now_ms)
        table.report_sent_ms.setdefault(daemon, now_ms)
        for start in range(0, len(names), MAX_ROWS_PER_REPORT):
            part = names[start : start + MAX_ROWS_PER_REPORT]
            rows = tuple(_report_row(state, name, daemon, now_ms) for name in part)
            send_to_member(state, daemon, (QuotaReport(rows, True),))


def _heard_ms(ledger):
    return max((peer.heard_ms for peer in ledger.peers.values()), default=0)


def _report_delay_ms(state, ledger, daemon, limit, counts, now_ms):
    """Return the time in ms until a ledger is to be reported to a daemon.

    The response to a report contains the other ledger's state. Of two ledgers in use,
    one therefore waits longer and usually only responds.
    """
    peer = ledger.peers.get(daemon)
    reported_ms = ledger.reported_ms.get(daemon, -IDLE_MS)
    changed = ledger.granted - (peer.reported_granted if peer else 0)
    since_ms = now_ms - reported_ms
    first = state.identity.vm < daemon
    interval_ms = REPORT_INTERVAL_MS if first else PASSIVE_REPORT_INTERVAL_MS
    if not changed and now_ms - ledger.requested_ms > REPORT_INTERVAL_MS * 4:
        if _is_link_idle(ledger, counts, now_ms):
            return interval_ms - since_ms
        return IDLE_MS
    if changed >= 0.25 * limit.rate_per_s + 0.1 * limit.burst:
        return 0
    if is_busy(ledger, limit, counts, now_ms) or _is_link_idle(ledger, counts, now_ms):
        return interval_ms - since_ms
    return SLOW_REPORT_INTERVAL_MS - since_ms


def _is_link_idle(ledger, counts, now_ms):
    """Return whether some regions have reported lately, but not all of them.

    Two ledgers without use that hear of a third one in use have to stay in contact,
    since requests may move to them.
    """
    heard = {
        peer.region
        for peer in ledger.peers.values()
        if now_ms - peer.heard_ms <= LINK_IDLE_MS
    }
    heard.discard(counts.own)
    return 0 < len(heard) < len(counts.daemons) - 1


def _report_targets(state, workspace, ledger, now_ms):
    """Return the daemons with other ledgers of a workspace."""
    names = {
        name for name, peer in ledger.peers.items() if use_per_s(peer.use, now_ms) >= 1
    }
    for region in _region_counts(state, now_ms).daemons:
        names.update(_owners(state, workspace, region)[:1])
    names.discard(state.identity.vm)
    return sorted(names)


def _log_changes(state, now_ms):
    table = state.quotas
    if table.started:
        fields = {"ledgers": len(table.started), "workspaces": table.started[:5]}
        state.emit(Log("quota", "start ledgers", fields=fields))
        table.started = []
    for daemon, sent_ms in list(table.report_sent_ms.items()):
        row = state.members.rows.get(daemon)
        if row is None:
            del table.report_sent_ms[daemon]
            table.silent.discard(daemon)
        elif now_ms - sent_ms > REPORT_INTERVAL_MS * 4 and daemon not in table.silent:
            table.silent.add(daemon)
            _log_contact(state, "lose contact with ledgers", row)


def _choose_ledger(state, workspace, now_ms, skipped=()):
    """Return the daemon of the region to ask for tokens, or None."""
    until_ms = state.quotas.unreachable_until_ms
    for daemon in _owners(state, workspace, state.region):
        if daemon not in skipped and until_ms.get(daemon, 0) <= now_ms:
            return daemon
    return None


def _owners(state, workspace, region):
    """Return the daemons that may hold the ledger of a workspace, best first."""
    table = state.quotas
    key = (state.members.generation, state.leaving)
    if table.owners_key != key:
        table.owners_key = key
        table.owners = {}
    group = hash_text(workspace) % GROUPS
    names = table.owners.get((region, group))
    if names is None:
        if region == state.region:
            members = state.region_members()
            if state.leaving and len(members) > 1:
                members = [name for name in members if name != state.identity.vm]
        else:
            members = [row.name for row in usable_members(state.members, region)]
        order = rendezvous_order(f"quota:{group}", members)
        names = table.owners[(region, group)] = tuple(order[:LEDGER_CANDIDATES])
    return names


def _region_counts(state, now_ms):
    """Return the known daemons by region, counted at intervals."""
    table = state.quotas
    if table.counts is None or now_ms - table.counted_ms >= COUNT_INTERVAL_MS:
        table.counts = _count_daemons(state, now_ms)
        table.daemons = sum(table.counts.daemons.values())
        table.counted_ms = now_ms
    return table.counts


def _count_daemons(state, now_ms):
    own = state.region
    daemons = {own: 1}
    live = 1
    for row in state.members.rows.values():
        if row.name == state.identity.vm or row.leaving:
            continue
        dead = row.status == "dead"
        if dead and now_ms - row.heard_ms > LOST_MEMBER_MS:
            continue
        daemons[row.region] = daemons.get(row.region, 0) + 1
        live += row.region == own and not dead
    # A daemon that has just started and reached no other one does not know how many
    # there are; its seed peers are the least.
    missing = len(state.identity.seed_peers) + 1 - sum(daemons.values())
    if missing > 0 and not state.peers_responded:
        daemons[own] += missing
    return RegionCounts(own, daemons, live / daemons[own])


def quota_status(state, workspace, now_ms):
    """Return the share of a ledger and the reason for it, for operators.

    Returns
    -------
    share : float
        Part of the quota that the ledger grants from.
    reason : str
    """
    ledger = state.quotas.ledgers[workspace]
    lost = lost_regions(ledger, _region_counts(state, now_ms), now_ms)
    reason = f"no contact: {', '.join(sorted(lost))}" if lost else "connected"
    return ledger.fraction, reason
