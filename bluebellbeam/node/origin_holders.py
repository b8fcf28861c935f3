"""Holders of the origins of streams, kept informed while the members change.

The daemon that serves a stream tells its origin to the holders: with the first event,
when the choice of holders changes, and once an unknown version has been confirmed. When
that daemon has gone, each holder that is left does the first two.
"""

from bluebellbeam.membership import alive_peers, responsive_peers
from bluebellbeam.node.message import StreamOrigins
from bluebellbeam.node.origin_copies import share_origin
from bluebellbeam.node.peer_send import send_to_member
from bluebellbeam.node.state import LIST_SETTLE_MS, NodeIdentity
from bluebellbeam.origins import (
    ServingDaemon,
    choose_holders,
    confirm_origin,
    holder_count,
    stream_key,
)
from bluebellbeam.routing import UNKNOWN_VERSION

__all__ = [
    "confirm_if_current",
    "handle_unreachable_holder",
    "origins_message",
    "request_stream_key",
    "serving_daemon",
    "tell_holders",
    "tick_holders",
    "update_running_requests",
]

VISITED_ROWS_PER_TICK = 500
"""Largest number of origins whose holders are compared with the members in one tick."""

ORIGINS_PER_MESSAGE = 200
"""Largest number of origins in one message, which bounds its size to some 15 KB."""


def request_stream_key(request):
    """Return the key of the stream of a caller's or forwarded request."""
    return stream_key(request.host, request.resumes or request.attempt_key)


def serving_daemon(source):
    """Return the process of a daemon, given its identity or member row."""
    name = source.vm if isinstance(source, NodeIdentity) else source.name
    return ServingDaemon(name, source.incarnation, source.region, source.failure_domain)


def origins_message(state, rows, served_by, now_ms):
    """Return the message that tells the origins of streams of one serving daemon.

    Parameters
    ----------
    state : NodeState
    rows : dict of int to OriginRow
    served_by : ServingDaemon
    now_ms : int
    """
    origins = [
        (key, row.origin.service, row.origin.version) for key, row in rows.items()
    ]
    ages_ms = [max(0, now_ms - row.recorded_ms) for row in rows.values()]
    unconfirmed = {
        key: row.unconfirmed for key, row in rows.items() if row.unconfirmed is not None
    }
    is_own = served_by == serving_daemon(state.identity)
    return StreamOrigins(
        tuple(origins),
        ages_ms=tuple(ages_ms) if any(ages_ms) else (),
        unconfirmed=unconfirmed,
        served_by=None if is_own else served_by,
    )


def tell_holders(state, rows, now_ms):
    """Tell the origins in `rows` to those of their holders that were not told yet.

    Parameters
    ----------
    state : NodeState
    rows : dict of int to OriginRow
    now_ms : int
    """
    if not rows:
        return
    candidates = _holder_candidates(state)
    untold = {}
    for key, row in rows.items():
        _choose_again(state, key, row, candidates, untold)
    _send_origins(state, untold, now_ms)


def _holder_candidates(state):
    """Return the members that may hold origins, this daemon included, by name.

    Leaving members are chosen only if there are no others.
    """
    depends_on = (state.members.generation, state.leaving)
    return state.cached(
        "origin holder candidates", depends_on, lambda: _find_candidates(state)
    )


def _find_candidates(state):
    own = state.identity
    peers = alive_peers(state.members, own.vm)
    peers = peers or responsive_peers(state.members, own.vm)
    found = {row.name: row for row in peers}
    if not state.leaving:
        found[own.vm] = serving_daemon(own)
    return found


def _choose_again(state, key, row, candidates, untold):
    """Choose the holders of a stream among `candidates`.

    Parameters
    ----------
    state : NodeState
    key : int
    row : OriginRow
    candidates : dict of str to Member or ServingDaemon
    untold : dict of (str, ServingDaemon) to dict of int to OriginRow
        To which the stream is added, by holder that is to be told and serving daemon.
    """
    served_by = row.served_by
    members = [
        member
        for member in candidates.values()
        if (member.name, member.incarnation) != (served_by.name, served_by.incarnation)
    ]
    told = row.holders
    row.holders = {}
    count = holder_count(len(_holder_candidates(state)))
    for name in choose_holders(key, members, served_by, count):
        incarnation = candidates[name].incarnation
        row.holders[name] = incarnation
        if told.get(name) != incarnation and name != state.identity.vm:
            untold.setdefault((name, served_by), {})[key] = row


def _send_origins(state, untold, now_ms):
    for (name, served_by), rows in untold.items():
        keys = list(rows)
        for start in range(0, len(keys), ORIGINS_PER_MESSAGE):
            part = {key: rows[key] for key in keys[start : start + ORIGINS_PER_MESSAGE]}
            message = origins_message(state, part, served_by, now_ms)
            send_to_member(state, name, (message,))


def tick_holders(state, now_ms):
    """Confirm unknown versions, and tell origins to holders that are new."""
    for key in list(state.origins.unconfirmed_keys):
        confirm_if_current(state, key, now_ms)
    table = state.origins
    if not table.unvisited_keys:
        _compare_members(state)
    if not table.unvisited_keys:
        return
    candidates = _holder_candidates(state)
    keys = table.unvisited_keys[-VISITED_ROWS_PER_TICK:]
    del table.unvisited_keys[-VISITED_ROWS_PER_TICK:]
    untold = {}
    for key in keys:
        row = table.rows.get(key)
        if row is not None:
            _visit(state, key, row, candidates, untold)
    _send_origins(state, untold, now_ms)


def _compare_members(state):
    """Record which members have joined and left, and which rows that may affect."""
    table = state.origins
    key = (state.members.generation, state.leaving)
    if key == table.members_key and not table.unreached:
        return
    table.members_key = key
    candidates = _holder_candidates(state)
    now = {name: row.incarnation for name, row in candidates.items()}
    before = table.members
    gone = {name for name, i in before.items() if now.get(name) != i}
    table.joined = frozenset(n for n, i in now.items() if before.get(n) != i)
    table.left = frozenset(gone | table.unreached)
    table.unreached = set()
    table.members = now
    if table.joined or table.left:
        table.unvisited_keys = list(table.rows)


def _visit(state, key, row, candidates, untold):
    """Choose the holders of a stream again if a change of the members affects them."""
    table = state.origins
    is_own = row.served_by == serving_daemon(state.identity)
    if not is_own and _is_running(state, row.served_by):
        return
    left = table.left & row.holders.keys()
    for name in left:
        del row.holders[name]
    if row.holders and not left:
        # Only members that have joined can take the place of a holder.
        if not table.joined:
            return
        names = {*row.holders, *table.joined}
        candidates = {name: candidates[name] for name in names if name in candidates}
    _choose_again(state, key, row, candidates, untold)


def _is_running(state, process):
    """Return whether a daemon's process is still a member, leaving or not."""
    row = state.members.rows.get(process.name)
    return (
        row is not None
        and row.status == "alive"
        and row.incarnation == process.incarnation
    )


def handle_unreachable_holder(state, name):
    """Record that member `name` may lack origins that it was told."""
    state.origins.unreached.add(name)


def confirm_if_current(state, key, now_ms):
    """Confirm the version of a stream if its server has not started again since.

    That is known once the list of servers is up to date and would contain the start,
    and the server has responded since. The entry of one that has ended may still be
    listed.
    """
    row = state.origins.rows[key]
    unconfirmed = row.unconfirmed
    if unconfirmed is None or now_ms - row.recorded_ms < LIST_SETTLE_MS:
        return
    replica = state.replicas.rows.get(unconfirmed.server)
    if (
        replica is None
        or (replica.incarnation, replica.version)
        != (unconfirmed.incarnation, unconfirmed.version)
        or replica.is_version_doubtful
        or (replica.confirmed_ms or 0) < row.recorded_ms
        or state.is_list_settling(now_ms)
    ):
        return
    origin = confirm_origin(state.origins, key)
    state.log_server(
        replica,
        "confirm the version of a stream",
        stream=key,
        version=origin.version,
        age_ms=now_ms - row.recorded_ms,
    )
    share_origin(state, key, origin)
    update_running_requests(state, key, origin)
    if row.served_by == serving_daemon(state.identity):
        tell_holders(state, {key: row}, now_ms)


def update_running_requests(state, key, origin):
    """Bind the running requests of a stream of unknown version to `origin`.

    A daemon that has forwarded one of them is told the origin.
    """
    for request in state.requests.values():
        bound = request.stream_origin
        if (
            bound is None
            or bound.version != UNKNOWN_VERSION
            or request_stream_key(request) != key
        ):
            continue
        request.stream_origin = origin
        if request.origin:
            message = StreamOrigins(((key, origin.service, origin.version),))
            send_to_member(state, request.origin, (message,))
