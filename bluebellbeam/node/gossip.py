"""Membership: probes of members and the gossip piggybacked on them."""

from bluebellbeam.borrowing import drop_lender, replace_offers
from bluebellbeam.membership import (
    INDIRECT_PROBE_COUNT,
    StatusUpdate,
    apply_update,
    expire_probes,
    expire_suspicions,
    next_targets,
    queue_update,
    record_contact,
    start_probe,
    suspect,
    take_updates,
    usable_members,
)
from bluebellbeam.node.command import Log, SendToPeer
from bluebellbeam.node.discovery import (
    member_digest,
    own_announcement,
    reconcile_members,
    take_announcements,
)
from bluebellbeam.node.lending import capacity_offers, local_demand
from bluebellbeam.node.message import IndirectAck, IndirectProbe, Ping, Pong
from bluebellbeam.node.peer_send import send_to_member
from bluebellbeam.node.request_quarantine import known_evidence
from bluebellbeam.node.state import backends_feed
from bluebellbeam.node.stream_origins import live_local_versions
from bluebellbeam.origins import record_live_versions
from bluebellbeam.routing import mark_leaving

__all__ = [
    "announce_leaving",
    "handle_indirect_ack",
    "handle_indirect_probe",
    "handle_ping",
    "handle_pong",
    "handle_unreachable_peer",
    "tick_membership",
]


FIRST_CONTACT_INTERVAL_MS = 100
"""Interval of the probe rounds of a starting daemon until a peer has responded, if the
provider does not list the members: until then it does not know their requests."""

FIRST_CONTACT_MS = 5_000
"""Time after a start for which `FIRST_CONTACT_INTERVAL_MS` applies."""

SEED_INTERVAL_ROUNDS = 20
"""Number of probe rounds between two pings of a seed peer that is not a known
member."""


def tick_membership(state, now_ms):
    """Expire probes and suspicions, and start a probe round when one is due."""
    policy = state.policy
    schedule = state.probe_schedule
    unanswered, failed = expire_probes(
        schedule, state.members, now_ms, policy.probe_interval_ms
    )
    for target in unanswered:
        _probe_indirectly(state, target)
    for target in failed:
        if suspect(state.members, target, now_ms):
            state.emit(Log("membership", f"suspect {target}: no response to probes"))
    dead = expire_suspicions(state.members, now_ms, policy.suspect_timeout_ms)
    for name in dead:
        drop_lender(state.borrower, name)
        state.emit(Log("membership", f"declare {name} dead: suspicion not refuted"))
    if now_ms < schedule.next_round_ms:
        return
    schedule.next_round_ms = now_ms + _round_interval_ms(state, now_ms)
    _probe_round(state, now_ms)


def _round_interval_ms(state, now_ms):
    isolated = not (state.identity.lists_entries or state.peers_responded)
    if isolated and now_ms - state.started_ms < FIRST_CONTACT_MS:
        return min(FIRST_CONTACT_INTERVAL_MS, state.policy.probe_interval_ms)
    return state.policy.probe_interval_ms


def _probe_round(state, now_ms):
    own = state.identity
    targets = next_targets(
        state.probe_schedule, state.members, own.vm, own.region, state.rng
    )
    for name in targets:
        start_probe(state.probe_schedule, state.members, name, now_ms)
        ping = make_probe_message(state, name, now_ms)
        messages = (*take_announcements(state), *known_evidence(state, now_ms), ping)
        send_to_member(state, name, messages)
    if not targets or not state.peers_responded:
        _ping_seeds(state, state.identity.seed_peers)
    elif state.probe_schedule.rounds % SEED_INTERVAL_ROUNDS == 0:
        _ping_seeds(state, _unknown_seed(state))


def _ping_seeds(state, addresses):
    versions = feed_versions(state, same_region=True)
    ping = Ping(versions, members=member_digest(state))
    for address in addresses:
        messages = (*own_announcement(state), ping)
        state.emit(SendToPeer("", address, messages))


def _unknown_seed(state):
    """Return one random seed peer that is not a known member, in a tuple.

    The tuple is empty if every seed peer is known. Pinging unknown seed peers
    merges groups of daemons that started without knowing each other.
    """
    known = {row.peer_address for row in state.members.rows.values()}
    known.add(state.identity.peer_address)
    unknown = [item for item in state.identity.seed_peers if item not in known]
    return (state.rng.choice(unknown),) if unknown else ()


def feed_versions(state, same_region):
    """Return the version held of each feed that is exchanged with a peer.

    The feed of backend servers is only exchanged within a region.
    """
    local = backends_feed(state.region)
    return {
        key: feed.version
        for key, feed in state.feeds.items()
        if same_region or key != local
    }


def make_probe_message(state, name, now_ms, message_type=Ping, on_behalf_of=""):
    """Return a probe of member `name`, or a response to its probe, with gossip.

    Parameters
    ----------
    state : NodeState
    name : str
    now_ms : int
    message_type : {Ping, Pong}
    on_behalf_of : str
        Member that requested the probe as an indirect one, or empty.
    """
    row = state.members.rows.get(name)
    same_region = row is not None and row.region == state.region
    offers = {} if same_region else capacity_offers(state, now_ms)
    demand = local_demand(state) if same_region else {}
    last_ms = state.source_response_ms
    return message_type(
        feed_versions(state, same_region),
        take_updates(state.members),
        offers,
        demand,
        on_behalf_of,
        -1 if last_ms is None else now_ms - last_ms,
        member_digest(state),
        {} if same_region else live_local_versions(state),
    )


def handle_ping(state, sender, ping, now_ms):
    """Apply the gossip of a probe and respond to it."""
    _apply_gossip(state, sender, ping, now_ms)
    pong = make_probe_message(state, sender, now_ms, Pong, ping.on_behalf_of)
    send_to_member(state, sender, (*known_evidence(state, now_ms), pong))


def handle_pong(state, sender, pong, now_ms):
    """Record the response to a probe and apply its gossip."""
    state.probe_schedule.pending.pop(sender, None)
    state.peers_responded.add(sender)
    state.probe_responses += 1
    _apply_gossip(state, sender, pong, now_ms)
    if pong.on_behalf_of:
        row = state.members.rows.get(sender)
        if row is not None:
            ack = IndirectAck(sender, row.incarnation)
            send_to_member(state, pong.on_behalf_of, (ack,))


def handle_indirect_probe(state, sender, message, now_ms):
    """Probe a member on behalf of `sender`."""
    ping = make_probe_message(state, message.target, now_ms, Ping, sender)
    send_to_member(state, message.target, (ping,))


def handle_indirect_ack(state, message, now_ms):
    """Record that a member has responded to an indirect probe.

    A suspicion of that member is withdrawn.
    """
    state.probe_schedule.pending.pop(message.target, None)
    row = state.members.rows.get(message.target)
    if row is None or message.incarnation < row.incarnation:
        return
    if row.status == "suspect":
        row.status = "alive"
        state.members.generation += 1


def handle_unreachable_peer(state, name, now_ms):
    """Handle a message that could not be delivered to member `name`.

    Leases and offers of that member are dropped, even if other members can still
    reach it.
    """
    drop_lender(state.borrower, name)
    row = state.members.rows.get(name)
    if row is not None:
        row.answered_ms = 0


def announce_leaving(state, now_ms):
    """Send every usable member the update that this daemon is leaving."""
    own = state.identity
    update = StatusUpdate("m", own.vm, own.incarnation, 0, "leaving")
    queue_update(state.members, update)
    for row in usable_members(state.members):
        if row.name != own.vm:
            ping = make_probe_message(state, row.name, now_ms)
            if update not in ping.updates:
                ping = Ping(ping.versions, (*ping.updates, update))
            send_to_member(state, row.name, (ping,))


def _apply_gossip(state, sender, message, now_ms):
    row = state.members.rows.get(sender)
    for update in message.updates:
        _apply_status_update(state, update, now_ms)
    reconcile_members(state, sender, message.members, now_ms)
    if row is None:
        return
    if row.region != state.region:
        if message.service_versions:
            versions = message.service_versions
            record_live_versions(state.versions, row.region, versions, now_ms)
        replace_offers(state.borrower, sender, row.region, message.offers, now_ms)
        return
    if message.source_age_ms >= 0:
        # The list of servers is exchanged within the region only.
        at_ms = now_ms - message.source_age_ms
        state.source_response_ms = max(state.source_response_ms or at_ms, at_ms)
    for demand_by_vm in state.peer_demand.values():
        demand_by_vm.pop(sender, None)
    for pool, (interactive, batch) in message.demand.items():
        entry = (interactive, batch, now_ms)
        state.peer_demand.setdefault(pool, {})[sender] = entry


def _apply_status_update(state, update, now_ms):
    own = state.identity
    if update.kind == "s":
        if mark_leaving(state.replicas, update.name, update.incarnation):
            queue_update(state.members, update)
        return
    if update.name != own.vm:
        apply_update(state.members, update, now_ms)
        return
    refutable = update.status in ("suspect", "dead")
    if not refutable or update.incarnation != own.incarnation:
        return
    if update.refutation < state.refutation:
        return
    state.refutation = update.refutation + 1
    alive = StatusUpdate("m", own.vm, own.incarnation, state.refutation, "alive")
    queue_update(state.members, alive)
    state.emit(Log("membership", f"refute that this daemon is {update.status}"))


def _probe_indirectly(state, target):
    candidates = [
        row.name
        for row in usable_members(state.members)
        if row.name not in (target, state.identity.vm) and row.status == "alive"
    ]
    state.rng.shuffle(candidates)
    for name in candidates[:INDIRECT_PROBE_COUNT]:
        send_to_member(state, name, (IndirectProbe(target),))


def record_sender(state, envelope, now_ms, is_response):
    """Record contact with the sender of an envelope.

    Parameters
    ----------
    state : NodeState
    envelope : Envelope
    now_ms : int
    is_response : bool
        Whether it came in the response to a message of this daemon.

    Returns
    -------
    bool
        False if the envelope is of an older incarnation or of this daemon and
        must be ignored.
    """
    if envelope.sender == state.identity.vm:
        return False
    return record_contact(
        state.members, envelope.sender, envelope.incarnation, now_ms, is_response
    )
