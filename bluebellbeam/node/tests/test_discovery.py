import unittest

from bluebellbeam.config import split_documents
from bluebellbeam.membership.table import StatusUpdate
from bluebellbeam.node import command as cmd
from bluebellbeam.node import entry_addresses_for_region
from bluebellbeam.node import event as ev
from bluebellbeam.node.feed_sync import _is_feed_watcher
from bluebellbeam.node.message import Announce, Envelope, Ping
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    make_base,
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
