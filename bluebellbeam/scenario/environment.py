"""Simulation of platform reads, load reads, load orders and peer messages.

The first argument of each function is the
:class:`~bluebellbeam.scenario.simulation.Simulation`.
"""

from bluebellbeam.node import event as ev
from bluebellbeam.node.message import Envelope, decode_envelope, encode_envelope
from bluebellbeam.scenario.attempts import (
    CONNECT_TIMEOUT_MS,
    LOCAL_DELAY_MS,
    schedule_engine_poll,
)

__all__ = [
    "answer_watch",
    "poll_load",
    "read_feed",
    "send_order",
    "send_to_peer",
]

PLATFORM_DELAY_MS = 5
"""Time from a daemon's read until the platform's response arrives."""

PEER_TIMEOUT_MS = 2000
"""Time after which a daemon treats an unresponsive peer as unreachable."""

WATCH_TIMEOUT_MS = 25_000
"""Time after which the platform answers a watch without a new version."""


def read_feed(sim, host, command):
    """Answer a read of a feed; a watch waits until there is a new version."""
    if sim.store.down or ("platform", host.region) in sim.region_cuts:
        sim.store.calls += 1
        unavailable = ev.FeedReadFailed(command.key, "no answer")
        sim.call_later(
            2000, sim.deliver_to_process, host.vm, host.process_number, unavailable
        )
        return
    snapshot = sim.store.read(command.key)
    if command.wait and snapshot and snapshot.version == command.after_version:
        sim.pending_watches.append((host.vm, host.process_number, command.key))
        sim.call_later(
            WATCH_TIMEOUT_MS,
            _expire_watch,
            sim,
            host.vm,
            host.process_number,
            command.key,
        )
        return
    if snapshot is None:
        event = ev.FeedReadFailed(command.key, "no value")
    else:
        event = ev.FeedRead(snapshot)
    sim.call_later(
        PLATFORM_DELAY_MS, sim.deliver_to_process, host.vm, host.process_number, event
    )


def _expire_watch(sim, vm, process_number, key):
    if (vm, process_number, key) in sim.pending_watches:
        sim.pending_watches.remove((vm, process_number, key))
        answer_watch(sim, vm, process_number, key)


def answer_watch(sim, vm, process_number, key):
    """Answer a pending watch with the current version of its feed."""
    if sim.store.down or ("platform", sim.hosts[vm].region) in sim.region_cuts:
        event = ev.FeedReadFailed(key, "no answer")
    else:
        event = ev.FeedRead(sim.store.read(key))
        sim.store.calls -= 1
    sim.call_later(PLATFORM_DELAY_MS, sim.deliver_to_process, vm, process_number, event)


def poll_load(sim, host, command):
    """Answer a load read, and publish the cache events of the engine.

    The events reach every daemon of the polling daemon's region 500 ms later.
    """
    name, _ = sim.resolve_address(host, command.address)
    event, delay_ms = ev.LoadReadFailed(command.server), CONNECT_TIMEOUT_MS
    if name is not None and not sim.is_frozen(name):
        server = sim.fleet.server(name)
        event, delay_ms = _load_poll_event(command.server, server, sim.now_ms), 2
    sim.call_later(
        delay_ms, sim.deliver_to_process, host.vm, host.process_number, event
    )
    engine = sim.fleet.engines.get(name)
    events = engine.pop_cache_events() if engine is not None else None
    if events is not None:
        for vm in sim.running_daemons(host.region):
            cache_update = ev.CacheEventsReceived(events)
            sim.call_later(
                500,
                sim.deliver_to_process,
                vm,
                sim.hosts[vm].process_number,
                cache_update,
            )


def send_order(sim, host, command):
    """Send an order to load a model to an engine and deliver its response."""
    name, _ = sim.resolve_address(host, command.address)
    reason = "no answer"
    if name is not None:
        engine = sim.fleet.engines[name]
        load_ms = _model_load_ms(sim, command.order)
        reason = engine.accept_order(command.order, sim.now_ms, load_ms)
        schedule_engine_poll(sim, name)
        sim.add_trace(f"order {name} {command.order.load} from {host.vm}: {reason}")
    answer = ev.OrderAnswered(command.order.server, reason is None, reason or "")
    sim.call_later(
        2 * LOCAL_DELAY_MS,
        sim.deliver_to_process,
        host.vm,
        host.process_number,
        answer,
    )


def send_to_peer(sim, host, command):
    """Deliver messages from one daemon to another, or report a failed send."""
    target = command.address.partition(":")[2] or command.vm
    sim.peer_envelopes_sent += 1
    envelope = Envelope(host.vm, host.incarnation, command.messages)
    if sim.check_codec:
        raw = encode_envelope(envelope)
        envelope = decode_envelope(raw)
    other = sim.hosts.get(target)
    if other is None or other.node is None or sim.is_peer_cut(host.vm, target):
        dead = other is None or other.node is None
        delay_ms = LOCAL_DELAY_MS if dead else PEER_TIMEOUT_MS
        if command.vm:
            event = ev.PeerUnreachable(command.vm)
            sim.call_later(
                delay_ms, sim.deliver_to_process, host.vm, host.process_number, event
            )
        return
    delay_ms = sim.delay_ms(host.region, other.region)
    sim.call_later(delay_ms, _receive_peer_messages, sim, host.vm, target, envelope)


def _receive_peer_messages(sim, sender, target, envelope):
    host = sim.hosts[target]
    if host.node is None:
        return
    if sim.now_ms < host.frozen_until_ms:
        host.backlog.append((_receive_peer_messages, (sim, sender, target, envelope)))
        return
    is_response = any(type(m).__name__ == "Pong" for m in envelope.messages)
    event = ev.PeerMessagesReceived(envelope, is_response)
    sim.execute_commands(host, host.node.handle(event, int(sim.now_ms)))


def _load_poll_event(polled_server, server, now_ms):
    report = server.report(now_ms)
    if report is None:
        record = server.record
        return ev.HealthCheckAnswered(polled_server, record.name, record.incarnation)
    return ev.LoadReported(polled_server, report)


def _model_load_ms(sim, order):
    """Return the time in ms that the weight store takes to serve an order."""
    name = order.load.partition("@")[0]
    model = sim.base["models"].get(name, {})
    return sim.weight_store.transfer_ms(model.get("weights_mb", 100), sim.now_ms)
