import unittest

from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.message import Envelope, Ping, ServerLoads
from bluebellbeam.node.tests.harness import (
    Harness,
    errors,
    make_base,
    server,
    starts,
)
from bluebellbeam.provider.records import LoadHeader


class TestServersFromTheList(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()

    def test_lost_connection_puts_a_server_aside_until_a_health_check(self):
        harness = self.harness
        harness.list_servers(server("s1"))
        attempt = starts(harness.request("/o/x"))[0]
        harness.fail(attempt.attempt_id, lost=True)
        self.assertEqual(starts(harness.request(request_id="r2")), [])
        harness.commands.clear()
        harness.tick(300)
        asked = [c for c in harness.commands if isinstance(c, cmd.ReadLoad)]
        self.assertEqual(asked[0].health_path, "/health")
        commands = harness.handle(ev.ServerConfirmed("s1", "s1", 1))
        self.assertEqual(starts(commands)[0].server, "s1")

    def test_another_server_at_the_address_is_not_used(self):
        harness = self.harness
        harness.list_servers(server("s1"))
        attempt = starts(harness.request())[0]
        changed = make_error("server_changed")
        harness.handle(ev.AttemptRefused(attempt.attempt_id, changed))
        harness.handle(ev.ServerConfirmed("s1", "s9", 1))
        self.assertEqual(starts(harness.request(request_id="r2")), [])

    def test_new_incarnation_under_the_same_name_is_used_again(self):
        harness = self.harness
        harness.list_servers(server("s1", state="leaving"))
        self.assertEqual(starts(harness.request()), [])
        harness.list_servers(server("s1"))
        self.assertEqual(starts(harness.request(request_id="r2")), [])
        harness.list_servers(server("s1", incarnation=2))
        self.assertEqual(len(starts(harness.request(request_id="r3"))), 1)

    def test_unlisted_server_gets_nothing(self):
        self.harness.list_servers(server("s1"), server("s2"))
        self.harness.list_servers(server("s2"))
        for i in range(3):
            found = starts(self.harness.request(request_id=f"r{i}"))[0]
            self.assertEqual(found.server, "s2")

    def test_server_that_vanished_in_a_disturbance_is_kept_for_two_seconds(self):
        harness = self.harness
        harness.list_servers(server("s1"))
        harness.handle(ev.FeedUnavailable("backends/east", "down"))
        harness.list_servers()
        self.assertEqual(len(starts(harness.request())), 1)
        harness.tick(2300)
        self.assertEqual(starts(harness.request(request_id="r2")), [])

    def test_evacuated_domain_gets_nothing_and_is_asked_before_it_comes_back(self):
        harness = self.harness
        harness.list_servers(server("s1"), evacuated=("dom-e",))
        self.assertEqual(starts(harness.request()), [])
        harness.list_servers(server("s1"))
        self.assertEqual(starts(harness.request(request_id="r2")), [])
        commands = harness.handle(ev.ServerConfirmed("s1", "s1", 1))
        self.assertEqual(len(starts(commands)), 1)


class TestWarmUp(unittest.TestCase):
    def send_for(self, harness, duration_ms):
        count = 0
        end_ms = harness.now_ms + duration_ms
        while harness.now_ms < end_ms:
            commands = harness.request("/c/x", request_id=f"w{harness.now_ms}")
            count += len(starts(commands))
            for item in starts(commands):
                harness.handle(ev.AttemptFinished(item.attempt_id))
            before = len(harness.commands)
            harness.tick()
            count += len(starts(harness.commands[before:]))
        return count

    def test_cold_server_gets_few_requests_from_its_one_owner(self):
        total = 0
        for vm in ("vm-1", "vm-2", "vm-3"):
            harness = Harness(vm=vm)
            for other in {"vm-1", "vm-2", "vm-3"} - {vm}:
                harness.peer(other, region="east")
            harness.list_servers(server("e1", "llm", warm_up_left_ms=20_000, slots=64))
            total += self.send_for(harness, 2000)
        self.assertLessEqual(total, 2 * 2.0 + 1)
        self.assertGreaterEqual(total, 2)

    def test_new_process_sends_nothing_to_cold_servers_at_first(self):
        harness = Harness()
        harness.state.started_ms = harness.now_ms
        harness.list_servers(server("e1", "llm", warm_up_left_ms=20_000))
        self.assertEqual(self.send_for(harness, 900), 0)

    def test_health_check_tells_that_a_server_turned_cold(self):
        harness = Harness()
        harness.peer("vm-2", region="east")
        harness.list_servers(server("e1", "llm", slots=64))
        harness.handle(ev.ServerConfirmed("e1", "e1", 1, 5000))
        self.assertLessEqual(self.send_for(harness, 1000), 3)


class TestStaleList(unittest.TestCase):
    def make(self):
        harness = Harness(base=make_base(stale_list_ms=3000))
        harness.list_servers(server("e1", "llm", slots=64))
        harness.handle(ev.SourceHeard())
        return harness

    def asked(self, harness, duration_ms):
        harness.commands.clear()
        harness.tick(duration_ms)
        return sum(isinstance(c, cmd.ReadLoad) for c in harness.commands)

    def test_servers_are_asked_only_while_nobody_hears_from_the_source(self):
        harness = self.make()
        self.assertEqual(self.asked(harness, 2900), 0)
        self.assertGreaterEqual(self.asked(harness, 1500), 3)
        harness.handle(ev.SourceHeard())
        self.assertEqual(self.asked(harness, 1000), 0)

    def test_peer_that_heard_from_the_source_counts(self):
        harness = self.make()
        harness.peer("vm-2", region="east")
        harness.tick(2500)
        ping = Ping({}, source_age_ms=100)
        harness.handle(ev.PeerHeard(Envelope("vm-2", 5, (ping,))))
        self.assertEqual(self.asked(harness, 2000), 0)

    def test_requests_between_two_checks_are_few(self):
        harness = self.make()
        harness.tick(3500)
        sent = 0
        for i in range(20):
            sent += len(starts(harness.request("/c/x", request_id=f"b{i}")))
        self.assertEqual(sent, 4)
        commands = harness.handle(ev.ServerConfirmed("e1", "e1", 1))
        self.assertEqual(len(starts(commands)), 4)

    def test_daemons_of_a_region_share_what_is_sent_unseen(self):
        harness = self.make()
        for name in ("vm-2", "vm-3"):
            harness.peer(name, region="east")
        harness.tick(3500)
        found = [starts(harness.request("/c/x", f"s{i}")) for i in range(9)]
        self.assertEqual(sum(len(item) for item in found), 1)
        harness.tick(300)
        self.assertGreaterEqual(len(starts(harness.commands)), 2)


class TestServerLoads(unittest.TestCase):
    """Load: a region's daemons together have more than its servers hold."""

    def make(self, slots=8):
        harness = Harness()
        harness.peer("vm-2", region="east")
        harness.list_servers(server("e1", "llm", slots=slots))
        return harness

    def tell(self, harness, running, tokens, sender="vm-2"):
        message = ServerLoads({"e1": (running, tokens)})
        return harness.handle(ev.PeerHeard(Envelope(sender, 5, (message,))))

    def count(self, harness):
        sent = 0
        for i in range(30):
            sent += len(starts(harness.request("/c/x", request_id=f"l{i}")))
        return sent

    def test_what_others_have_there_takes_room(self):
        self.assertEqual(self.count(self.make()), 10)
        harness = self.make()
        self.tell(harness, 7, 0)
        self.assertEqual(self.count(harness), 3)

    def test_younger_exchange_goes_before_the_load_on_an_answer(self):
        harness = self.make()
        attempt = starts(harness.request("/c/x"))[0]
        self.tell(harness, 6, 0)
        told = LoadHeader(0, 0, 0)
        harness.handle(ev.AttemptFinished(attempt.attempt_id, load=told))
        self.assertEqual(harness.state.replicas.rows["e1"].peer_inflight, 6)

    def test_prompts_of_others_ahead_make_a_late_request_refused_at_once(self):
        harness = self.make(slots=64)
        late = {"prompt_tokens": 4000, "blocks": (1, 2), "block_ends": (3000, 4000)}
        self.assertEqual(len(starts(harness.request("/c/x", **late))), 1)
        self.tell(harness, 3, 60_000)
        error = errors(harness.request("/c/x", "r2", **late))[0]
        self.assertEqual(
            (error.code, error.outcome), ("deadline_unreachable", "not_run")
        )
        self.assertGreaterEqual(error.retry_after_ms, 1000)

    def test_members_are_told_of_own_requests_and_once_of_none(self):
        harness = self.make()
        attempt = starts(harness.request("/c/x"))[0]

        def told():
            harness.commands.clear()
            harness.tick(400)
            sent = [c for c in harness.commands if isinstance(c, cmd.SendPeer)]
            messages = [m for c in sent for m in c.messages]
            return [m.servers for m in messages if isinstance(m, ServerLoads)]

        self.assertIn({"e1": (1, 0)}, told())
        harness.handle(ev.AttemptFinished(attempt.attempt_id))
        self.assertIn({}, told())
        self.assertEqual(told(), [])

    def test_large_region_exchanges_no_loads(self):
        harness = self.make(slots=64)
        for i in range(3, 30):
            harness.peer(f"vm-{i}", region="east")
        harness.request("/c/x")
        harness.commands.clear()
        harness.tick(400)
        sent = [c for c in harness.commands if isinstance(c, cmd.SendPeer)]
        messages = [m for c in sent for m in c.messages]
        self.assertFalse([m for m in messages if isinstance(m, ServerLoads)])

    def test_members_heard_of_stand_for_those_that_are_not(self):
        harness = self.make(slots=64)
        for i in range(3, 6):
            harness.peer(f"vm-{i}", region="east")
        self.tell(harness, 5, 100)
        row = harness.state.replicas.rows["e1"]
        self.assertEqual((row.peer_inflight, row.peer_waiting_tokens), (20, 400))
