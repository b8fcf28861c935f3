"""Exchange of the origins of streams between daemons, and lookups for callers."""

import msgspec

from bluebellbeam.membership import responsive_peers
from bluebellbeam.node.command import Log
from bluebellbeam.node.message import OriginQuery, StreamOrigins
from bluebellbeam.node.origin_copies import find_known_origin, share_origin
from bluebellbeam.node.origin_holders import (
    confirm_if_current,
    origins_message,
    request_stream_key,
    serving_daemon,
    tell_holders,
    update_running_requests,
)
from bluebellbeam.node.peer_send import send_to_member
from bluebellbeam.origins import (
    MAX_ORIGINS,
    OriginRow,
    ServingDaemon,
    choose_sources,
    find_copy,
    find_origin,
    is_complete,
    merge_seen_versions,
    only_version,
    prune_copies,
    prune_origins,
    prune_versions,
    record_origin,
    record_version,
    seen_versions,
    start_watch,
    stream_key,
)
from bluebellbeam.routing import UNKNOWN_VERSION, StreamOrigin

__all__ = [
    "OriginLookup",
    "handle_origin_query",
    "handle_stream_origins",
    "handle_unreachable_source",
    "is_continued",
    "live_local_versions",
    "start_lookup",
    "tell_origin",
    "tick_lookups",
    "tick_versions",
]

LOOKUP_TIMEOUT_MS = 500
"""Time after which a lookup ends; covers a lost packet between two regions. Callers
drop a stream that pauses for two seconds."""

SHARED_AGE_MS = 2000
"""Age of a stream up to which a daemon that is told its origin spreads copies of it.
Those of older ones have been spread when they began."""


class OriginLookup:
    """Search for the origin of one stream.

    Attributes
    ----------
    requests : list of Request
        Requests that wait for it.
    sources : set of str
        Members that were asked and have not answered.
    started_ms : int
        Time of the queries.
    is_partial : bool
        Whether a member was not reached.
    is_unconfirmed : bool
        Whether the origin is known but for its version.
    told : dict of str to set of str
        Versions by service that members have named which have not watched for long.
    """

    __slots__ = (
        "requests",
        "sources",
        "started_ms",
        "is_partial",
        "is_unconfirmed",
        "told",
    )

    def __init__(self, request, sources, started_ms):
        self.requests = [request]
        self.sources = sources
        self.started_ms = started_ms
        self.is_partial = False
        self.is_unconfirmed = False
        self.told = {}


def is_continued(request):
    """Return whether a caller's request resumes a stream that others may have begun."""
    return bool(
        request.resume_after
        and not request.origin
        and request.route is not None
        and request.route.kind == "stream"
        and request.route.resumable
    )


def tell_origin(state, request, now_ms, unconfirmed=None):
    """Record where the stream of a request began, and tell its holders.

    Streams that cannot be resumed are left out. Those of other daemons are recorded
    only if their version is `unconfirmed`, which this daemon may confirm later.
    """
    if not request.route.resumable or (request.origin and unconfirmed is None):
        return
    key = request_stream_key(request)
    origin = request.stream_origin
    own = serving_daemon(state.identity)
    row = record_origin(state.origins, key, origin, own, now_ms, unconfirmed)
    row.holders = {}
    share_origin(state, key, row.origin)
    if not request.origin:
        tell_holders(state, {key: row}, now_ms)


def start_lookup(state, request, now_ms):
    """Look for the origin of the stream that a request resumes.

    Returns
    -------
    found : bool
        False if other daemons were asked; the request then waits for their answer.
    origin : StreamOrigin or None
        None if the origin is not known.
    """
    if not request.resumes and _has_several_versions(state, request, now_ms):
        return True, None
    # Members are asked for the versions that they know if no stream is named.
    key = stream_key(request.host, request.resumes or f"?{request.request_id}")
    origin = _known_origin(state, key, now_ms)
    is_unconfirmed = origin is not None and origin.version == UNKNOWN_VERSION
    if origin is not None and not is_unconfirmed:
        source = "own record" if key in state.origins.rows else "copy"
        _log_origin(state, request, origin, source, 0)
        return True, origin
    lookup = state.origin_lookups.get(key)
    if lookup is not None:
        lookup.requests.append(request)
        return False, None
    peers = responsive_peers(state.members, state.identity.vm)
    sources = choose_sources(key, peers, state.identity)
    if not sources:
        is_informed = not (state.members.rows or is_unconfirmed)
        return True, _assumed_origin(state, request, 0, now_ms, is_informed)
    for name in sources:
        send_to_member(state, name, (OriginQuery((key,)),))
    lookup = OriginLookup(request, set(sources), now_ms)
    lookup.is_unconfirmed = is_unconfirmed
    state.origin_lookups[key] = lookup
    return False, None


def _known_origin(state, key, now_ms):
    """Return the origin of a stream, confirmed if that is possible now, or None."""
    origin = find_known_origin(state, key, now_ms)
    if origin is not None and origin.version == UNKNOWN_VERSION:
        confirm_if_current(state, key, now_ms)
        origin = find_origin(state.origins, key, now_ms)
    return origin


def handle_origin_query(state, sender, message, now_ms):
    """Send a member the origins that it asks for, as far as they are known."""
    found, unknown = {}, []
    for key in message.keys:
        origin = _known_origin(state, key, now_ms)
        if origin is None:
            unknown.append(key)
        else:
            found[key] = _row_to_tell(state, key, origin, now_ms)
    seen = {}
    if unknown:
        _record_local_versions(state, now_ms)
        seen = seen_versions(state.versions)
    versions = seen if unknown and is_complete(state.versions, now_ms) else None
    groups = _by_serving_daemon(found).items()
    messages = [
        origins_message(state, rows, served_by, now_ms) for served_by, rows in groups
    ] or [StreamOrigins()]
    messages[-1] = msgspec.structs.replace(
        messages[-1],
        unknown=tuple(unknown),
        versions=versions,
        recent=seen if versions is None else {},
    )
    send_to_member(state, sender, messages)


def _row_to_tell(state, key, origin, now_ms):
    """Return the record of a stream, or one made of the copy of its origin."""
    row = state.origins.rows.get(key)
    if row is not None and row.origin == origin:
        return row
    return OriginRow(origin, serving_daemon(state.identity), now_ms, None)


def _by_serving_daemon(rows):
    groups = {}
    for key, row in rows.items():
        groups.setdefault(row.served_by, {})[key] = row
    return groups


def handle_stream_origins(state, sender, message, now_ms):
    """Record the origins that a member knows.

    Returns
    -------
    list of (Request, StreamOrigin or None)
        Requests whose lookup has ended.
    """
    ended = []
    changed = {}
    for index, (key, service, version) in enumerate(message.origins):
        age_ms = message.ages_ms[index] if message.ages_ms else 0
        origin = StreamOrigin(service, version)
        if _record_told(state, sender, message, key, origin, now_ms - age_ms, now_ms):
            changed[key] = state.origins.rows[key]
        origin = _known_origin(state, key, now_ms)
        if origin is not None:
            ended += _end_lookup(state, sender, key, origin, now_ms)
    tell_holders(state, changed, now_ms)
    if message.versions is not None:
        merge_seen_versions(state.versions, message.versions, now_ms)
    for key in message.unknown:
        _note_versions(state, key, message.recent)
        ended += _drop_source(state, key, sender, now_ms)
    return ended


def _record_told(state, sender, message, key, origin, began_ms, now_ms):
    """Record an origin that a member has told.

    Returns
    -------
    bool
        Whether it tells the version of a stream that this daemon serves, whose holders
        know it without.
    """
    before = find_origin(state.origins, key, now_ms)
    served_by = message.served_by or _member_process(state, sender)
    unconfirmed = message.unconfirmed.get(key)
    row = record_origin(state.origins, key, origin, served_by, began_ms, unconfirmed)
    if now_ms - began_ms <= SHARED_AGE_MS:
        share_origin(state, key, row.origin)
    if before is None or before.version != UNKNOWN_VERSION or row.origin == before:
        return False
    update_running_requests(state, key, row.origin)
    row.holders = {}
    return row.served_by == serving_daemon(state.identity)


def _member_process(state, name):
    row = state.members.rows.get(name)
    return ServingDaemon(name, 0, "", "") if row is None else serving_daemon(row)


def _end_lookup(state, sender, key, origin, now_ms):
    """End the lookup of a stream; return its requests with the origin.

    It goes on at other members while the version is unknown.
    """
    lookup = state.origin_lookups.get(key)
    if lookup is None:
        return []
    if origin.version == UNKNOWN_VERSION:
        lookup.is_unconfirmed = True
        return _drop_source(state, key, sender, now_ms)
    del state.origin_lookups[key]
    took_ms = now_ms - lookup.started_ms
    for request in lookup.requests:
        _log_origin(state, request, origin, sender, took_ms)
    return [(request, origin) for request in lookup.requests]


def _note_versions(state, key, versions):
    """Note the versions that a member has seen for one lookup.

    They are not recorded: daemons that repeat each other's versions would keep those
    alive that have left.
    """
    lookup = state.origin_lookups.get(key)
    if lookup is not None:
        for service, names in versions.items():
            lookup.told.setdefault(service, set()).update(names)


def handle_unreachable_source(state, name, now_ms):
    """Stop waiting for a member; return the requests whose lookup has ended."""
    ended = []
    for key, lookup in list(state.origin_lookups.items()):
        lookup.is_partial = lookup.is_partial or name in lookup.sources
        ended += _drop_source(state, key, name, now_ms)
    return ended


def tick_lookups(state, now_ms):
    """End the lookups that take too long; return their requests."""
    ended = []
    for key, lookup in list(state.origin_lookups.items()):
        if now_ms - lookup.started_ms >= LOOKUP_TIMEOUT_MS:
            ended += _end_unknown(state, key, now_ms)
    return ended


def _drop_source(state, key, name, now_ms):
    lookup = state.origin_lookups.get(key)
    if lookup is None:
        return []
    lookup.sources.discard(name)
    return [] if lookup.sources else _end_unknown(state, key, now_ms)


def _end_unknown(state, key, now_ms):
    """End a lookup that found nothing."""
    lookup = state.origin_lookups.pop(key)
    took_ms = now_ms - lookup.started_ms
    # A copy may have arrived since the lookup began.
    copied = find_copy(state.origin_copies, key, now_ms)
    if copied is not None:
        for request in lookup.requests:
            _log_origin(state, request, copied, "copy", took_ms)
        return [(request, copied) for request in lookup.requests]
    is_informed = not (lookup.is_partial or lookup.is_unconfirmed or lookup.sources)
    return [
        (
            request,
            _assumed_origin(
                state,
                request,
                took_ms,
                now_ms,
                is_informed,
                lookup.told.get(request.service, ()),
            ),
        )
        for request in lookup.requests
    ]


def _has_several_versions(state, request, now_ms):
    _record_local_versions(state, now_ms)
    return len(seen_versions(state.versions).get(request.service, ())) > 1


def _assumed_origin(state, request, took_ms, now_ms, is_informed, told=()):
    """Return the origin if the service had only one version lately, else None.

    A daemon whose list of servers is out of date, or that does not reach the others
    (`is_informed` is False), may have missed a version. Those that others have `told`
    count as well.
    """
    _record_local_versions(state, now_ms)
    origin = only_version(state.versions, request.service, now_ms)
    if origin is None:
        return None
    is_informed = is_informed and not set(told) - {origin.version}
    is_current = is_informed and not state.is_list_settling(now_ms)
    source = "only version" if is_current else "none: versions may be missing"
    _log_origin(state, request, origin, source, took_ms)
    return origin if is_current else None


def _log_origin(state, request, origin, source, took_ms):
    state.log_request(
        request,
        "continue a stream",
        resumes=request.resumes,
        version=origin.version,
        source=source,
        took_ms=took_ms,
    )


def tick_versions(state, now_ms):
    """Record the versions of the region's servers; remove outdated records.

    Origins that were dropped for want of room are logged.
    """
    _record_local_versions(state, now_ms)
    prune_versions(state.versions, now_ms)
    prune_origins(state.origins, now_ms)
    prune_copies(state.origin_copies, now_ms)
    if state.origins.dropped:
        fields = {"dropped": state.origins.dropped, "limit": MAX_ORIGINS}
        state.emit(Log("routing", "drop the oldest origins of streams", fields=fields))
        state.origins.dropped = 0


def _record_local_versions(state, now_ms):
    if state.replicas.rows:
        start_watch(state.versions, now_ms)
    for row in state.replicas.rows.values():
        if row.service:
            record_version(state.versions, row.service, row.version, now_ms)


def live_local_versions(state):
    """Return the versions of the usable servers of the region by service."""
    found = {}
    for row in state.replicas.rows.values():
        if (
            row.service
            and not row.leaving
            and row.failure_domain not in state.evacuated
        ):
            found.setdefault(row.service, set()).add(row.version)
    return {service: tuple(sorted(names)) for service, names in found.items()}
