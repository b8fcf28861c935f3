"""The platform, load questions, orders and peers in a scenario.

The functions take the :class:`~bluebellbeam.scenario.world.World` first.
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
    "send_order",
    "read_feed",
    "poll_load",
    "send_to_peer",
]

PLATFORM_DELAY_MS = 5
PEER_TIMEOUT_MS = 2000
WATCH_TIMEOUT_MS = 25_000


def read_feed(world, host, command):
    """Answer a read or watch of a feed."""
    if world.store.down or ("platform", host.region) in world.cuts:
        world.store.calls += 1
        unavailable = ev.FeedReadFailed(command.key, "no answer")
        world.call_later(
            2000, world.deliver_to_process, host.vm, host.process_number, unavailable
        )
        return
    snapshot = world.store.read(command.key)
    if command.wait and snapshot and snapshot.version == command.after_version:
        world.watchers.append((host.vm, host.process_number, command.key))
        world.call_later(
            WATCH_TIMEOUT_MS,
            _end_watch,
            world,
            host.vm,
            host.process_number,
            command.key,
        )
        return
    if snapshot is None:
        event = ev.FeedReadFailed(command.key, "no value")
    else:
        event = ev.FeedRead(snapshot)
    world.call_later(
        PLATFORM_DELAY_MS, world.deliver_to_process, host.vm, host.process_number, event
    )


def _end_watch(world, vm, process_number, key):
    if (vm, process_number, key) in world.watchers:
        world.watchers.remove((vm, process_number, key))
        answer_watch(world, vm, process_number, key)


def answer_watch(world, vm, process_number, key):
    """Answer a watch that waits."""
    if world.store.down or ("platform", world.hosts[vm].region) in world.cuts:
        event = ev.FeedReadFailed(key, "no answer")
    else:
        event = ev.FeedRead(world.store.read(key))
        world.store.calls -= 1
    world.call_later(
        PLATFORM_DELAY_MS, world.deliver_to_process, vm, process_number, event
    )


def poll_load(world, host, command):
    """Answer a question for a backend server's load."""
    name, _ = world.resolve_address(host, command.address)
    event, delay_ms = ev.LoadReadFailed(command.server), CONNECT_TIMEOUT_MS
    if name is not None and not world.is_frozen(name):
        server = world.fleet.server(name)
        event, delay_ms = _load_event(command.server, server, world.now_ms), 2
    world.call_later(
        delay_ms, world.deliver_to_process, host.vm, host.process_number, event
    )
    engine = world.fleet.engines.get(name)
    events = engine.pop_cache_events() if engine is not None else None
    if events is not None:
        for vm in world.running_daemons(host.region):
            heard = ev.CacheEventsReceived(events)
            world.call_later(
                500, world.deliver_to_process, vm, world.hosts[vm].process_number, heard
            )


def send_order(world, host, command):
    """Give an order to an engine."""
    name, _ = world.resolve_address(host, command.address)
    reason = "no answer"
    if name is not None:
        engine = world.fleet.engines[name]
        load_ms = _load_ms(world, command.order)
        reason = engine.accept_order(command.order, world.now_ms, load_ms)
        schedule_engine_poll(world, name)
        world.add_trace(f"order {name} {command.order.load} from {host.vm}: {reason}")
    answer = ev.OrderAnswered(command.order.server, reason is None, reason or "")
    world.call_later(
        2 * LOCAL_DELAY_MS,
        world.deliver_to_process,
        host.vm,
        host.process_number,
        answer,
    )


def send_to_peer(world, host, command):
    """Carry messages from one daemon to another."""
    target = command.address.partition(":")[2] or command.vm
    world.peer_envelopes_sent += 1
    own = Envelope(host.vm, host.incarnation, command.messages)
    if world.check_codec:
        raw = encode_envelope(own)
        own = decode_envelope(raw)
    other = world.hosts.get(target)
    if other is None or other.node is None or world.peers_cut(host.vm, target):
        dead = other is None or other.node is None
        delay_ms = LOCAL_DELAY_MS if dead else PEER_TIMEOUT_MS
        if command.vm:
            event = ev.PeerUnreachable(command.vm)
            world.call_later(
                delay_ms, world.deliver_to_process, host.vm, host.process_number, event
            )
        return
    delay_ms = world.delay_ms(host.region, other.region)
    world.call_later(delay_ms, _hear_peer, world, host.vm, target, own)


def _hear_peer(world, sender, target, envelope):
    host = world.hosts[target]
    if host.node is None:
        return
    if world.now_ms < host.frozen_until_ms:
        host.backlog.append((_hear_peer, (world, sender, target, envelope)))
        return
    answers = any(type(m).__name__ == "Pong" for m in envelope.messages)
    event = ev.PeerMessagesReceived(envelope, answers)
    world.execute_commands(host, host.node.handle(event, int(world.now_ms)))


def _load_event(asked, server, now_ms):
    report = server.report(now_ms)
    if report is None:
        record = server.record
        return ev.HealthCheckAnswered(asked, record.name, record.incarnation)
    return ev.LoadReported(asked, report)


def _load_ms(world, order):
    """Return how long the weight store takes for what an order loads."""
    name = order.load.partition("@")[0]
    model = world.base["models"].get(name, {})
    return world.weights.transfer_ms(model.get("weights_mb", 100), world.now_ms)
