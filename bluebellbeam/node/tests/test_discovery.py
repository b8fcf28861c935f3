import unittest
from collections import deque

from bluebellbeam.config import split_documents
from bluebellbeam.membership.table import StatusUpdate
from bluebellbeam.node import command as cmd
from bluebellbeam.node import entry_addresses_for_region
from bluebellbeam.node import event as ev
from bluebellbeam.node.feed_sync import _is_feed_watcher
from bluebellbeam.node.gossip import make_probe_message
from bluebellbeam.node.message import Announce, Envelope, MemberPull, Ping, Pong
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    make_base,
    peer_records,
    server,
    started_attempts,
)
from bluebellbeam.utils.hashing import rendezvous_order


class TestEntries(unittest.TestCase):
    def entry_addresses(self, harness, region):
        return entry_addresses_for_region(
            harness.state, "a.example", region, harness.now_ms
        )

    def test_returns_daemons_of_the_callers_region(self):
        harness = Harness()
        harness.announce_peer("vm-w")
        harness.announce_peer("vm-2", region="east")
        self.assertEqual(self.entry_addresses(harness, "west"), ["vm-w:2"])
        self.assertEqual(self.entry_addresses(harness, "east"), ["vm-1:2", "vm-2:2"])

    def test_falls_back_to_regions_that_serve_most_routes(self):
        harness = Harness(region="west", vm="vm-w")
        harness.announce_peer("vm-e", region="east")
        found = entry_addresses_for_region(
            harness.state, "a.example", "north", harness.now_ms
        )
        self.assertEqual(found, ["vm-e:2"])

    def test_leaving_daemon_is_preferred_to_region_without_all_routes(self):
        harness = Harness(region="west", vm="vm-w")
        harness.announce_peer("vm-e", region="east", state="leaving")
        self.assertEqual(self.entry_addresses(harness, "east"), ["vm-e:2"])
        harness.announce_peer("vm-e2", region="east")
        self.assertEqual(self.entry_addresses(harness, "east"), ["vm-e2:2"])

    def test_region_with_all_routes_is_preferred_to_leaving_daemon(self):
        harness = Harness()
        harness.announce_peer("vm-w", region="west", state="leaving")
        self.assertEqual(self.entry_addresses(harness, "west"), ["vm-1:2"])

    def test_starting_daemon_is_only_returned_for_its_own_region(self):
        harness = Harness()
        harness.state.started_ms = harness.now_ms
        self.assertEqual(self.entry_addresses(harness, "west"), [])
        self.assertEqual(self.entry_addresses(harness, "east"), ["vm-1:2"])

    def test_leaving_daemon_is_not_returned(self):
        harness = Harness()
        harness.announce_peer("vm-2", region="east")
        harness.handle(ev.StopRequested())
        self.assertEqual(self.entry_addresses(harness, "east"), ["vm-2:2"])

    def test_unresponsive_daemon_is_dropped_within_seven_seconds(self):
        policy = {"probe_interval_ms": 500, "suspect_timeout_ms": 1500}
        harness = Harness(base=make_base(**policy))
        harness.announce_peer("vm-2", region="east")
        harness.tick(7000)
        self.assertEqual(self.entry_addresses(harness, "east"), ["vm-1:2"])


class TestLeaving(unittest.TestCase):
    def setUp(self):
        self.harness = Harness(base=make_base(leave_linger_ms=2500))
        self.harness.publish_servers(server("s1"), server("e1", "llm"))
        self.harness.handle(ev.StopRequested())

    def test_streams_are_served_during_linger_time(self):
        self.assertEqual(len(started_attempts(self.harness.send_request("/c/x"))), 1)

    def test_only_streams_are_refused_as_not_run_after_linger_time(self):
        self.harness.tick(2450)
        self.harness.send_request("/p/x")
        self.harness.tick(100)
        self.assertEqual(
            len(started_attempts(self.harness.send_request("/p/x", "r2"))), 1
        )
        error = final_errors(self.harness.send_request("/c/x", "r3"))[0]
        self.assertEqual((error.status, error.outcome), (503, "not_run"))

    def test_process_ends_when_nothing_is_in_flight(self):
        attempt = started_attempts(self.harness.send_request())[0]
        self.harness.tick(2600)
        self.assertFalse(self.harness.state.stopped)
        self.harness.handle(ev.AttemptFinished(attempt.attempt_id))
        self.harness.tick()
        self.assertTrue(self.harness.state.stopped)

    def test_process_ends_after_grace_period_with_requests_in_flight(self):
        policy = {"leave_linger_ms": 500, "leave_grace_ms": 2000}
        harness = Harness(base=make_base(**policy))
        harness.publish_servers(server("s1"))
        harness.send_request()
        harness.handle(ev.StopRequested())
        harness.tick(1900)
        self.assertFalse(harness.state.stopped)
        harness.tick(200)
        self.assertTrue(harness.state.stopped)


class TestDiscovery(unittest.TestCase):
    def test_starting_daemon_contacts_its_seed_peers(self):
        harness = Harness()
        sent = [c for c in harness.commands if isinstance(c, cmd.SendToPeer)]
        self.assertEqual({item.address for item in sent}, {"10.9.0.1:1"})

    def seed_pings(self, harness, step_ms):
        harness.commands.clear()
        harness.tick(step_ms)
        sent = [c for c in harness.commands if isinstance(c, cmd.SendToPeer)]
        return sum(item.address == "10.9.0.1:1" for item in sent)

    def test_starting_daemon_repeats_its_first_contact_until_a_peer_responds(self):
        harness = Harness(base=make_base(probe_interval_ms=500))
        harness.state.started_ms = harness.now_ms
        harness.state.probe_schedule.next_round_ms = harness.now_ms
        self.assertGreaterEqual(self.seed_pings(harness, 1000), 9)
        envelope = Envelope("vm-2", 5, (Pong({}),))
        harness.handle(ev.PeerMessagesReceived(envelope, answer=True))
        harness.announce_peer("vm-2")
        self.assertLessEqual(self.seed_pings(harness, 1000), 1)

    def test_daemon_without_peers_contacts_its_seed_peers_less_often_later(self):
        harness = Harness(base=make_base(probe_interval_ms=500))
        harness.state.started_ms = harness.now_ms - 6000
        self.assertLessEqual(self.seed_pings(harness, 2000), 5)

    def test_starting_daemon_receives_all_members_from_seed_peer(self):
        first = Harness()
        first.announce_peer("vm-2", region="east")
        second = Harness(vm="vm-3")
        own = [c for c in second.commands if isinstance(c, cmd.SendToPeer)][0]
        envelope = Envelope("vm-3", 1, own.messages)
        responses = first.handle(ev.PeerMessagesReceived(envelope))
        sent = [
            m for c in responses if isinstance(c, cmd.SendToPeer) for m in c.messages
        ]
        envelope = Envelope("vm-1", 1, tuple(sent))
        second.handle(ev.PeerMessagesReceived(envelope, answer=True))
        self.assertEqual(set(second.state.members.rows), {"vm-1", "vm-2"})

    def test_starting_daemon_announces_itself_once_to_each_new_member(self):
        def announced_to(harness, name):
            harness.commands.clear()
            harness.announce_peer("vm-2", others=(name,))
            sent = [c for c in harness.commands if isinstance(c, cmd.SendToPeer)]
            return [
                c.vm
                for c in sent
                for m in c.messages
                if isinstance(m, Announce) and m.records[0].name == "vm-1"
            ]

        harness = Harness()
        self.assertEqual(announced_to(harness, "vm-3"), ["vm-3"])
        self.assertEqual(announced_to(harness, "vm-3"), [])
        harness.tick(5000)
        self.assertEqual(announced_to(harness, "vm-4"), [])

    def test_starting_daemon_announces_itself_directly_to_few_members(self):
        harness = Harness()
        harness.commands.clear()
        for number in range(8):
            names = tuple(f"vm-{number}-{i}" for i in range(10))
            harness.announce_peer(names[0], others=names[1:])
        local = tuple(f"vm-e{i}" for i in range(3))
        sent = [c for c in harness.commands if isinstance(c, cmd.SendToPeer)]
        direct = [c for c in sent if isinstance(c.messages[0], Announce)]
        self.assertLessEqual(len(direct), 16)
        harness = Harness()
        harness.commands.clear()
        distant = tuple(f"vm-w{i}" for i in range(30))
        records = peer_records(distant, "west") + peer_records(local, "east")
        envelope = Envelope("vm-seed", 5, (Announce(records),))
        harness.handle(ev.PeerMessagesReceived(envelope, answer=True))
        first = [c.vm for c in harness.commands if isinstance(c, cmd.SendToPeer)][:3]
        self.assertEqual(tuple(first), local)

    def test_failed_probe_of_old_incarnation_does_not_suspect_new_one(self):
        harness = Harness(base=make_base(probe_interval_ms=500))
        harness.announce_peer("vm-2", region="east", incarnation=5)
        harness.tick(600)
        self.assertIn("vm-2", harness.state.probe_schedule.pending)
        harness.announce_peer("vm-2", region="east", incarnation=6)
        row = harness.state.members.rows["vm-2"]
        for _ in range(19):
            harness.tick()
            self.assertEqual(row.status, "alive")

    def test_daemon_refutes_update_that_it_is_dead(self):
        harness = Harness()
        harness.announce_peer("vm-2", region="east")
        for refutation in (0, 1):
            update = StatusUpdate("m", "vm-1", 1, refutation, "dead")
            harness.commands.clear()
            envelope = Envelope("vm-2", 5, (Ping({}, (update,)),))
            harness.handle(ev.PeerMessagesReceived(envelope))
            sent = [c for c in harness.commands if isinstance(c, cmd.SendToPeer)]
            sent_updates = [u for c in sent for m in c.messages for u in m.updates]
            self.assertIn(
                StatusUpdate("m", "vm-1", 1, refutation + 1, "alive"), sent_updates
            )

    def test_restarted_daemon_replaces_its_former_incarnation(self):
        harness = Harness()
        harness.announce_peer("vm-2", region="east", incarnation=5, state="leaving")
        self.assertTrue(harness.state.members.rows["vm-2"].leaving)
        harness.announce_peer("vm-2", region="east", incarnation=6)
        self.assertFalse(harness.state.members.rows["vm-2"].leaving)

    def non_watcher(self, **policy):
        """Return the harness of a daemon that does not watch the feeds.

        Its failure domain has six daemons and one watcher.
        """
        names = [f"vm-{i}" for i in range(6)]
        first = rendezvous_order("watch:store", names)[0]
        own = next(name for name in names if name != first)
        harness = Harness(vm=own, base=make_base(watchers_per_domain=1, **policy))
        for name in names:
            if name != own:
                harness.announce_peer(name, region="east")
        return harness

    def test_non_watcher_reads_feeds_when_source_is_stale(self):
        harness = self.non_watcher(stale_list_ms=3000)
        for key in ("config", "backends/east"):
            harness.handle(ev.FeedReadFailed(key, "read before the others were known"))
        harness.handle(ev.FeedSourceResponded())
        harness.commands.clear()
        harness.tick(2500)
        reads = [c for c in harness.commands if isinstance(c, cmd.ReadFeed)]
        self.assertEqual(reads, [])
        harness.tick(1000)
        reads = [c.key for c in harness.commands if isinstance(c, cmd.ReadFeed)]
        self.assertEqual(set(reads), {"config", "backends/east"})

    def test_new_watcher_policy_applies_at_once(self):
        harness = self.non_watcher()
        self.assertFalse(_is_feed_watcher(harness.state, "config"))
        parts = split_documents(make_base(watchers_per_domain=9), {})
        harness.publish("config", parts)
        self.assertTrue(_is_feed_watcher(harness.state, "config"))
        self.assertTrue(_is_feed_watcher(harness.state, "backends/east"))


def sent_messages(commands, name):
    """Return the messages to daemon `name`, flattened."""
    sent = [c for c in commands if isinstance(c, cmd.SendToPeer) and c.vm == name]
    return tuple(message for c in sent for message in c.messages)


def deliver(source, target, messages):
    """Deliver `messages` of one daemon to another; return what it sends back."""
    own = source.state.identity
    envelope = Envelope(own.vm, own.incarnation, tuple(messages))
    commands = target.handle(ev.PeerMessagesReceived(envelope))
    return sent_messages(commands, own.vm)


class TestMemberDigests(unittest.TestCase):
    def exchange(self, prober, probed):
        """Let one daemon probe another; return all messages that are sent."""
        other = probed.state.identity.vm
        ping = make_probe_message(prober.state, other, prober.now_ms)
        sent = []
        source, target, messages = prober, probed, (ping,)
        while messages:
            sent.extend(messages)
            messages = deliver(source, target, messages)
            source, target = target, source
        return sent

    def members(self, harness):
        return {harness.state.identity.vm, *harness.state.members.rows}

    def test_restarted_daemon_without_seed_peers_learns_members_from_a_probe(self):
        known = Harness(vm="vm-1")
        known.announce_peer("vm-2", others=("vm-3",), incarnation=0)
        restarted = Harness(vm="vm-2")
        self.exchange(known, restarted)
        self.assertEqual(self.members(restarted), {"vm-1", "vm-2", "vm-3"})

    def test_one_probe_gives_both_daemons_the_same_members(self):
        first, second = Harness(vm="vm-1"), Harness(vm="vm-2")
        first.announce_peer("vm-a", others=("vm-b",))
        second.announce_peer("vm-b", others=("vm-c",))
        sent = self.exchange(first, second)
        names = {"vm-1", "vm-2", "vm-a", "vm-b", "vm-c"}
        self.assertEqual(self.members(first), names)
        self.assertEqual(self.members(second), names)
        records = [r.name for m in sent if isinstance(m, Announce) for r in m.records]
        self.assertEqual(sorted(records), ["vm-1", "vm-2", "vm-a", "vm-c"])

    def test_daemons_with_the_same_members_send_no_records(self):
        first, second = Harness(vm="vm-1"), Harness(vm="vm-2")
        first.announce_peer("vm-2", others=("vm-3",), incarnation=1)
        second.announce_peer("vm-1", others=("vm-3",), incarnation=1)
        sent = self.exchange(first, second)
        self.assertEqual([type(m) for m in sent], [Ping, Pong])
        self.assertEqual(first.state.pending_announcements, {})
        self.assertEqual(second.state.pending_announcements, {})

    def test_pulls_are_sent_once_a_second(self):
        harness = Harness()
        pulls = 0
        for _ in range(30):
            ping = Ping({}, members=99)
            envelope = Envelope("vm-2", 5, (ping,))
            commands = harness.handle(ev.PeerMessagesReceived(envelope))
            sent = sent_messages(commands, "vm-2")
            pulls += sum(isinstance(m, MemberPull) for m in sent)
            harness.tick()
        self.assertEqual(pulls, 2)

    def test_dead_members_are_not_sent(self):
        first, second = Harness(vm="vm-1"), Harness(vm="vm-2")
        first.announce_peer("vm-a", others=("vm-b",))
        dead = StatusUpdate("m", "vm-a", 5, 0, "dead")
        deliver(second, first, (Ping({}, (dead,)),))
        self.exchange(first, second)
        self.assertEqual(self.members(second), {"vm-1", "vm-2", "vm-b"})

    def test_records_received_in_bulk_are_not_forwarded(self):
        harness = Harness()
        names = tuple(f"vm-a{i}" for i in range(20))
        harness.announce_peer(names[0], others=names[1:])
        self.assertEqual(harness.state.pending_announcements, {})
        harness.announce_peer("vm-b")
        self.assertEqual(list(harness.state.pending_announcements), ["vm-b"])

    def test_probe_of_a_daemon_without_digests_is_answered_without_pull(self):
        harness = Harness()
        envelope = Envelope("vm-2", 5, (Ping({}),))
        commands = harness.handle(ev.PeerMessagesReceived(envelope))
        types = [type(m) for m in sent_messages(commands, "vm-2")]
        self.assertEqual(types, [Pong])

    def test_fleet_that_starts_at_once_knows_all_members_within_five_seconds(self):
        names = [f"vm-{i}" for i in range(60)]
        fleet = {name: Harness(vm=name, seeds=("vm-0:1", "vm-1:1")) for name in names}
        message_count = 0
        for _ in range(100):
            pending = deque()
            for harness in fleet.values():
                harness.commands.clear()
                harness.tick()
                pending.extend((harness, c) for c in harness.commands)
            message_count += self.deliver_all(fleet, pending)
        for harness in fleet.values():
            self.assertEqual(self.members(harness), set(names))
        self.assertLess(message_count / len(fleet), 60)

    def deliver_all(self, fleet, pending):
        """Deliver what daemons send, and what follows; return the message count."""
        count = 0
        while pending:
            source, command = pending.popleft()
            if not isinstance(command, cmd.SendToPeer) or not command.address:
                continue
            count += 1
            target = fleet[command.address.partition(":")[0]]
            own, other = source.state.identity, target.state.identity
            envelope = Envelope(own.vm, own.incarnation, command.messages)
            commands = target.handle(ev.PeerMessagesReceived(envelope))
            responses = sent_messages(commands, own.vm)
            pending.extend(
                (target, c)
                for c in commands
                if isinstance(c, cmd.SendToPeer) and c.vm != own.vm
            )
            envelope = Envelope(other.vm, other.incarnation, responses)
            commands = source.handle(ev.PeerMessagesReceived(envelope, answer=True))
            pending.extend((source, c) for c in commands)
        return count
