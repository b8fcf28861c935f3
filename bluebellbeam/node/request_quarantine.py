"""Quarantine of requests and prompt parts that end servers.

Evidence, its exchange between daemons, and refusals.
"""

from bluebellbeam.admission import remove_request
from bluebellbeam.membership import alive_peers
from bluebellbeam.node.command import Log
from bluebellbeam.node.dispatch import fail_request
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.feed_sync import listed_backends
from bluebellbeam.node.message import EndOfServer, PromptEvidence, QuarantinedPart
from bluebellbeam.node.peer_send import send_to_member
from bluebellbeam.node.state import backends_feed
from bluebellbeam.quarantine import (
    COMMON_CAUSE_MS,
    ENDS_OF_NEW_REQUEST_TOGETHER,
    REQUEST_NAME_PREFIX,
    PartQuarantine,
    ServerEnd,
    add_end,
    add_loss,
    adopt_quarantine,
    confirm_loss,
    drop_loss,
    find_quarantine,
    is_trial_due,
    record_served,
    repeated_names,
    start_trial,
    update_quarantines,
)
from bluebellbeam.utils.hashing import rendezvous_order

__all__ = [
    "check_quarantine",
    "handle_prompt_evidence",
    "is_quarantined",
    "known_evidence",
    "record_answered_request",
    "record_lost_forward",
    "record_lost_request",
    "record_refused_connection",
    "tick_quarantine",
]

ANSWERED_MS = 500
"""Time for which a response has to run before its prompt counts as served: a server
that ends under a prompt does so when it begins to answer it."""

ALIVE_MARGIN_MS = 100
"""A response that arrives this long after the loss of others shows that the server
still runs; earlier ones may have been on their way when it ended."""

LOSS_TTL_MS = 10_000
"""Time after which a loss no longer counts if nothing shows that the server ended. The
list drops a server some seconds after its end."""

SHARE_INTERVAL_MS = 100
"""Shortest time between two messages with new evidence."""

DELAYED_SHARE_INTERVAL_MS = 500
"""The same while the byte limit is exhausted."""

SHARE_FANOUT = 8
"""Number of members that new evidence is sent to. Each that learns something from it
sends it on in turn."""

MAX_SHARED_ENDS = 32
"""Largest number of ends in one message, the latest ones."""

MAX_REPEATED_ENDS = 8
"""Largest number of ends that are repeated in a probe, the latest ones."""

RECENT_END_MS = 30_000
"""Age up to which an end is shared, and repeated in probes."""

EVIDENCE_BYTES_PER_S = 1000
EVIDENCE_BURST_BYTES = 15_000
"""Limit of the bytes of evidence that a daemon sends: rate and burst."""


def record_answered_request(state, attempt, now_ms):
    """Record that a server has answered a request, or answers it since some time."""
    if attempt.server:
        record_served(state.evidence, _positions(attempt.request), now_ms)


def record_lost_request(state, attempt, now_ms):
    """Record an attempt whose connection was lost.

    If its response had run for a while, its request counts as served. Else the server
    may have ended under it.
    """
    positions = _positions(attempt.request)
    if not attempt.server or not positions:
        return
    started_ms = attempt.response_started_ms
    if started_ms is not None and now_ms - started_ms >= ANSWERED_MS:
        record_served(state.evidence, positions, started_ms + ANSWERED_MS)
        return
    key = (attempt.server, attempt.server_incarnation)
    add_loss(state.evidence, *key, positions, now_ms, attempt.retried_names)


def record_lost_forward(attempt):
    """Record that a peer has lost the server that it sent a forwarded request to."""
    request = attempt.request
    request.retried_names = request.retried_names.union(request.content_names)


def _positions(request):
    """Return the positions of what a server may end under, by name.

    These are the shared parts of the prompt, and the names of the request itself with
    negative positions.
    """
    positions = {name: -1 - i for i, name in enumerate(request.content_names)}
    for position, name in enumerate(request.prompt_parts):
        positions[name] = position
    return positions


def _find_quarantine(state, request):
    """Return the quarantine that concerns a request, or None."""
    if not state.quarantines.rows:
        return None
    names = (*request.prompt_parts, *request.content_names)
    return find_quarantine(state.quarantines, names)


def record_refused_connection(state, key, now_ms):
    """Record that a server accepts no connection.

    If requests were lost there before, it has ended, unless this daemon reaches no
    server at all.

    Parameters
    ----------
    state : NodeState
    key : (str, int)
        Name and incarnation of the server.
    now_ms : int
    """
    loss = state.evidence.losses.get(key)
    if loss is None:
        return
    if any(
        row.name != key[0] and (row.confirmed_ms or 0) > loss.at_ms
        for row in state.replicas.rows.values()
    ):
        _confirm(state, key, "refused connection", now_ms)


def tick_quarantine(state, now_ms):
    """Judge losses, update the quarantines and share what has changed."""
    for key, loss in list(state.evidence.losses.items()):
        _judge_loss(state, key, loss, now_ms)
    _update(state, now_ms)
    _share_changes(state, now_ms)


def _judge_loss(state, key, loss, now_ms):
    """Confirm a loss as the end of its server, drop it, or leave it open."""
    name, incarnation = key
    if _listed_incarnations(state).get(name) != incarnation:
        _confirm(state, key, "not listed", now_ms)
        return
    row = state.replicas.rows.get(name)
    responded_ms = row.confirmed_ms if row is not None else None
    alive = responded_ms is not None and responded_ms > loss.at_ms + ALIVE_MARGIN_MS
    if alive or now_ms - loss.at_ms > LOSS_TTL_MS:
        drop_loss(state.evidence, key)


def _listed_incarnations(state):
    """Return the incarnation of each listed server of the region by name."""
    feed = state.feeds[backends_feed(state.region)]
    return state.cached(
        "listed incarnations",
        feed.version,
        lambda: {item.name: item.incarnation for item in listed_backends(state)},
    )


def _confirm(state, key, reason, now_ms):
    loss = confirm_loss(state.evidence, key)
    fields = {"server": key[0], "incarnation": key[1], "reason": reason}
    fields["names"] = sorted(loss.parts)
    fields["retried"] = sorted(loss.retried)
    fields["age_ms"] = now_ms - loss.at_ms
    text = "a server ended before it had answered requests"
    state.emit(Log("routing", text, fields=fields))


def _update(state, now_ms):
    added, lifted, retried = update_quarantines(
        state.quarantines, state.evidence, now_ms
    )
    for row in lifted:
        fields = {"name": row.part, "lasted_ms": now_ms - row.since_ms}
        text = f"use a {_kind(row)} again"
        state.emit(Log("routing", text, fields=fields))
    for row in retried:
        _log_quarantine(state, row, f"a trial of a {_kind(row)} has failed", now_ms)
    for row in added:
        state.counters.quarantines += 1
        _log_quarantine(state, row, f"quarantine a {_kind(row)}", now_ms)
    if added:
        _fail_quarantined(state, now_ms)


def _is_request(row):
    """Return whether a request is in quarantine, and not a part of prompts."""
    return row.part.startswith(REQUEST_NAME_PREFIX)


def _kind(row):
    return "request" if _is_request(row) else "prompt part"


def _log_quarantine(state, row, text, now_ms):
    fields = {
        "name": row.part,
        "ends": row.ends,
        "failed_trials": row.failed_trials,
        "next_trial_in_ms": row.retry_ms - now_ms,
    }
    state.emit(Log("routing", text, fields=fields))


def _fail_quarantined(state, now_ms):
    """Fail the requests in quarantine whose response has not begun."""
    for request in list(state.requests.values()):
        if request.state == "waiting" or request.response_started:
            continue
        row = _find_quarantine(state, request)
        if row is None or request.trial_part == row.part:
            continue
        if request.state == "queued":
            remove_request(state.queue(request.pool), request)
        fail_request(state, request, _quarantine_error(row, now_ms), now_ms)


def _quarantine_error(row, now_ms):
    wait_ms = max(0, row.retry_ms - now_ms)
    code = "request_quarantined" if _is_request(row) else "prompt_quarantined"
    return make_error(code, retry_after_ms=wait_ms)


def is_quarantined(state, request):
    """Return whether a request must not be sent to a server: it may end there."""
    row = _find_quarantine(state, request)
    return row is not None and request.trial_part != row.part


def check_quarantine(state, request, now_ms):
    """Return an error if a request or a part of its prompt is in quarantine, else None.

    A request that is chosen as a trial is admitted all the same, and marked as one.
    """
    row = _find_quarantine(state, request)
    if row is None:
        return None
    is_trial = request.origin and request.trial_part == row.part
    if not is_trial and not _may_begin_trial(state, request, row, now_ms):
        return _quarantine_error(row, now_ms)
    request.trial_part = row.part
    start_trial(state.quarantines, row, now_ms)
    fields = {"name": row.part, "failed_trials": row.failed_trials}
    state.log_request(request, f"try a {_kind(row)} in quarantine", **fields)
    return None


def _may_begin_trial(state, request, row, now_ms):
    if request.origin or now_ms < row.retry_ms:
        return False
    own = state.identity.vm
    names = {member.name for member in alive_peers(state.members, own)} | {own}
    rank = rendezvous_order(f"trial:{row.part}", names).index(own)
    return is_trial_due(row, rank, now_ms)


def _share_changes(state, now_ms):
    """Send what has changed to some members, as far as the byte limit allows.

    What is left out is sent later. Names that count against several ends come first.
    """
    evidence, quarantines = state.evidence, state.quarantines
    changed = evidence.changed_ends or evidence.changed_served or quarantines.changed
    if not changed or now_ms < state.next_evidence_ms:
        return
    state.next_evidence_ms = now_ms + SHARE_INTERVAL_MS
    _refill_credit(state, now_ms)
    rows = [quarantines.rows[part] for part in quarantines.changed]
    for ends, served in _shares(evidence, now_ms):
        message = _encode(state, ends, served, rows, now_ms)
        if (ends or served or rows) and _has_credit(state, message, SHARE_FANOUT):
            break
    else:
        state.next_evidence_ms = now_ms + DELAYED_SHARE_INTERVAL_MS
        return
    _mark_shared(evidence, ends)
    evidence.changed_served -= served
    quarantines.changed.clear()
    names = [row.name for row in alive_peers(state.members, state.identity.vm)]
    state.rng.shuffle(names)
    names = names[:SHARE_FANOUT]
    state.evidence_credit -= _size_bytes(message) * len(names)
    for name in names:
        send_to_member(state, name, (message,))


def _shares(evidence, now_ms):
    """Yield what may be shared: everything, then less and less.

    Yields
    ------
    ends : list of ServerEnd
    served : set of str
        Names that were served, to report beside those of the ends.
    """
    ends = _relevant_changes(evidence, now_ms)
    yield ends, set(evidence.changed_served)
    repeated = repeated_names(evidence)
    yield (
        _decisive_ends(_with_names(ends, repeated)),
        evidence.changed_served & repeated,
    )
    yield [], set()


def _decisive_ends(ends):
    """Return the latest ends, a few at most, that a decision needs.

    These are ends that cannot have a cause in common by their times, and as many others
    as prove that a request is at fault.
    """
    separate, others = [], []
    for end in sorted(ends, key=lambda end: end.at_ms, reverse=True):
        if not separate or separate[-1].at_ms - end.at_ms > COMMON_CAUSE_MS:
            separate.append(end)
        else:
            others.append(end)
    others.sort(key=lambda end: not end.retried)
    others = others[:ENDS_OF_NEW_REQUEST_TOGETHER]
    return separate[:MAX_REPEATED_ENDS] + others


def _refill_credit(state, now_ms):
    """Add the bytes that may be sent since the last call."""
    refill = (now_ms - state.evidence_credit_ms) * EVIDENCE_BYTES_PER_S / 1000.0
    state.evidence_credit = min(EVIDENCE_BURST_BYTES, state.evidence_credit + refill)
    state.evidence_credit_ms = now_ms


def _has_credit(state, message, copies):
    return _size_bytes(message) * copies <= state.evidence_credit


def _size_bytes(message):
    """Return the approximate size of an encoded message with evidence."""
    names = sum(len(name) + 6 for end in message.ends for name in end.parts)
    names += sum(len(name) + 3 for end in message.ends for name in end.retried)
    served = sum(len(name) + 8 for name in message.served)
    return 20 + 40 * len(message.ends) + names + served + 60 * len(message.quarantines)


def _relevant_changes(evidence, now_ms):
    """Return the latest ends with the names to share; drop what is out of date."""
    found = []
    for key, names in list(evidence.changed_ends.items()):
        end = evidence.ends[key]
        if now_ms - end.at_ms > RECENT_END_MS:
            del evidence.changed_ends[key]
            continue
        found.append(_select_names(end, names))
    found.sort(key=lambda end: end.at_ms)
    return found[-MAX_SHARED_ENDS:]


def _with_names(ends, names):
    """Return the ends that have any of `names`, with these only."""
    found = []
    for end in ends:
        selected = _select_names(end, names)
        if selected.parts:
            found.append(selected)
    return found


def _select_names(end, names):
    """Return an end with those of its parts whose names are in `names` alone."""
    parts = {name: place for name, place in end.parts.items() if name in names}
    retried = end.retried & names
    return ServerEnd(end.server, end.incarnation, end.at_ms, parts, retried)


def _mark_shared(evidence, ends):
    for end in ends:
        key = (end.server, end.incarnation)
        left = evidence.changed_ends[key] - end.parts.keys()
        if left:
            evidence.changed_ends[key] = left
        else:
            del evidence.changed_ends[key]


def known_evidence(state, now_ms):
    """Return the messages with the evidence to repeat beside a probe; mostly none.

    They reach daemons that have just started or have missed a message. Names that
    count against one end only are left out: they decide nothing yet.
    """
    evidence = state.evidence
    rows = list(state.quarantines.rows.values())
    recent = [
        end for end in evidence.ends.values() if now_ms - end.at_ms <= RECENT_END_MS
    ]
    ends = _with_names(recent, repeated_names(evidence)) if len(recent) > 1 else []
    if not ends and not rows:
        return ()
    message = _encode(state, _decisive_ends(ends), (), rows, now_ms)
    _refill_credit(state, now_ms)
    if not _has_credit(state, message, 1):
        return ()
    state.evidence_credit -= _size_bytes(message)
    return (message,)


def _encode(state, ends, served, rows, now_ms):
    """Return the message with ends, quarantines, and when parts were served.

    Parameters
    ----------
    state : NodeState
    ends : list of ServerEnd
    served : iterable of str
        Parts to report beside those of `ends`.
    rows : list of PartQuarantine
    now_ms : int
    """
    ends = sorted(ends, key=lambda end: end.at_ms)[-MAX_SHARED_ENDS:]
    names = {name for end in ends for name in end.parts}.union(served)
    served_ms = state.evidence.served_ms
    ages_ms = {name: now_ms - served_ms[name] for name in names if name in served_ms}
    found = tuple(
        EndOfServer(
            end.server,
            end.incarnation,
            now_ms - end.at_ms,
            dict(end.parts),
            tuple(sorted(end.retried)),
        )
        for end in ends
    )
    quarantined = tuple(
        QuarantinedPart(
            row.part,
            now_ms - row.since_ms,
            row.ends,
            row.failed_trials,
            row.retry_ms - now_ms,
            now_ms - row.trial_ms if row.trial_ms else -1,
        )
        for row in rows
    )
    return PromptEvidence(found, ages_ms, quarantined)


def handle_prompt_evidence(state, message, now_ms):
    """Merge what another daemon knows of what servers end under."""
    for item in message.ends:
        at_ms = now_ms - item.age_ms
        retried = item.parts.keys() & item.retried
        end = ServerEnd(item.server, item.incarnation, at_ms, item.parts, retried)
        add_end(state.evidence, end)
    for name, age_ms in message.served.items():
        _merge_served(state.evidence, name, now_ms - age_ms)
    adopted = False
    for item in message.quarantines:
        row = _decode_quarantine(item, now_ms)
        if adopt_quarantine(state.quarantines, state.evidence, row):
            text = f"learn of a {_kind(row)} in quarantine"
            _log_quarantine(state, row, text, now_ms)
            adopted = True
    if adopted:
        _fail_quarantined(state, now_ms)
    _update(state, now_ms)


def _merge_served(evidence, name, at_ms):
    """Record when a part was served elsewhere, unless that says nothing new.

    The time of a message shifts what it reports, so times that are passed on and
    back would otherwise rise without end.
    """
    known_ms = evidence.served_ms.get(name)
    if known_ms is None or any(
        name in end.parts and known_ms <= end.at_ms < at_ms
        for end in evidence.ends.values()
    ):
        record_served(evidence, (name,), at_ms)


def _decode_quarantine(item, now_ms):
    row = PartQuarantine(item.part, now_ms - item.age_ms, item.ends, item.failed_trials)
    row.retry_ms = now_ms + item.retry_in_ms
    if item.trial_age_ms >= 0:
        row.trial_ms = now_ms - item.trial_age_ms
    return row
