import unittest

from bluebellbeam.config import split_documents
from bluebellbeam.node import Request, entries_near
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.message import Envelope, Ping, ServerLoads
from bluebellbeam.node.outcome import make_error
from bluebellbeam.node.sync import _watches
from bluebellbeam.node.tests.routed import (
    Harness,
    errors,
    make_base,
    server,
    starts,
)
from bluebellbeam.provider.records import BriefLoad
from bluebellbeam.utils.hashing import rendezvous_order


class TestArrival(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.harness.list_servers(server("s1"), server("s2"))

    def test_request_goes_to_a_listed_server_without_asking_it_first(self):
        found = starts(self.harness.request())
        self.assertEqual(len(found), 1)
        self.assertIn(found[0].server, ("s1", "s2"))
        asked = [c for c in self.harness.commands if isinstance(c, cmd.ReadLoad)]
        self.assertEqual(asked, [])

    def test_route_of_another_workspace_is_not_permitted(self):
        entity = Request("w", "others", host="a.example", path="/p/x", attempt_key="w")
        commands = self.harness.handle(ev.RequestArrived(entity))
        self.assertEqual(errors(commands)[0].code, "not_permitted")

    def test_path_without_a_route_is_not_found(self):
        self.assertEqual(errors(self.harness.request("/none/"))[0].code, "not_found")

    def test_whole_answer_is_due_at_the_route_timeout_or_the_callers_limit(self):
        first = starts(self.harness.request(ends_ms=self.harness.now_ms + 900))[0]
        self.assertEqual(first.request.ends_ms, self.harness.now_ms + 900)
        second = starts(self.harness.request(request_id="r2"))[0]
        self.assertEqual(second.request.ends_ms, self.harness.now_ms + 3000)
        self.harness.commands.clear()
        self.harness.tick(3000)
        codes = [error.code for error in errors(self.harness.commands)]
        self.assertEqual(codes, ["upstream_timeout"] * 2)
        outcomes = {error.outcome for error in errors(self.harness.commands)}
        self.assertEqual(outcomes, {"unknown"})

    def test_timeout_ends_a_stream_that_has_begun(self):
        harness = Harness()
        harness.list_servers(server("e1", "llm"))
        attempt = starts(harness.request("/c/x"))[0]
        harness.handle(ev.AttemptStarted(attempt.attempt_id))
        harness.commands.clear()
        harness.tick(15_000)
        error = errors(harness.commands)[0]
        self.assertEqual((error.code, error.outcome), ("upstream_timeout", "unknown"))

    def test_without_any_server_the_request_is_refused_at_once(self):
        harness = Harness()
        error = errors(harness.request())[0]
        self.assertEqual((error.code, error.outcome), ("no_backend", "not_run"))
        self.assertGreater(error.retry_after_ms, 0)

    def test_waiting_request_is_refused_at_its_objective_not_at_its_end(self):
        harness = Harness()
        harness.list_servers(server("s1", slots=1))
        quick = starts(harness.request())[0]
        harness.now_ms += 40
        harness.handle(ev.AttemptFinished(quick.attempt_id))
        harness.request(request_id="r2")
        self.assertEqual(starts(harness.request(request_id="r3")), [])
        harness.commands.clear()
        harness.tick(350)
        self.assertEqual(errors(harness.commands), [])
        harness.tick(100)
        error = errors(harness.commands)[0]
        self.assertEqual((error.code, error.outcome), ("deadline_passed", "not_run"))

    def test_request_that_cannot_start_within_its_objective_is_refused_at_once(self):
        harness = Harness()
        harness.list_servers(server("s1", slots=1))
        self.assertEqual(len(starts(harness.request())), 1)
        error = errors(harness.request(request_id="r2"))[0]
        self.assertEqual(error.code, "deadline_unreachable")


class TestRepeats(unittest.TestCase):
    def setUp(self):
        self.harness = Harness()
        self.harness.list_servers(server("s1"), server("s2"), server("s3"))

    def test_idempotent_request_is_tried_once_more_elsewhere(self):
        first = starts(self.harness.request())[0]
        second = starts(self.harness.fail(first.attempt_id))[0]
        self.assertNotEqual(first.server, second.server)
        last = self.harness.fail(second.attempt_id)
        self.assertEqual(starts(last), [])
        self.assertEqual(errors(last)[0].outcome, "unknown")

    def test_non_idempotent_request_is_never_repeated_once_sent(self):
        first = starts(self.harness.request("/o/x"))[0]
        commands = self.harness.fail(first.attempt_id)
        self.assertEqual(starts(commands), [])
        error = errors(commands)[0]
        self.assertEqual((error.status, error.outcome), (502, "unknown"))

    def test_unreached_server_uses_up_no_attempt(self):
        first = starts(self.harness.request("/o/x"))[0]
        second = starts(self.harness.fail(first.attempt_id, sent=False, lost=True))
        self.assertEqual(len(second), 1)

    def test_server_that_says_not_run_uses_up_an_attempt_and_stays_truthful(self):
        refused = make_error("upstream_failed", outcome="not_run")
        attempt = starts(self.harness.request("/o/x"))[0]
        commands = self.harness.handle(ev.AttemptRefused(attempt.attempt_id, refused))
        attempt = starts(commands)[0]
        commands = self.harness.handle(ev.AttemptRefused(attempt.attempt_id, refused))
        self.assertEqual(starts(commands), [])
        self.assertEqual(errors(commands)[0].outcome, "not_run")

    def test_repeats_of_a_service_keep_to_its_budget(self):
        repeats = 0
        for i in range(200):
            attempt = starts(self.harness.request(request_id=f"q{i}"))[0]
            again = starts(self.harness.fail(attempt.attempt_id))
            repeats += len(again)
            for item in again:
                self.harness.fail(item.attempt_id)
            self.harness.tick()
        slack = 0.7 * 56.0
        self.assertLessEqual(repeats, 0.1 * 200 + slack)
        self.assertGreater(repeats, 20)

    def test_broken_stream_goes_on_at_another_server(self):
        harness = Harness()
        harness.list_servers(server("e1", "llm"), server("e2", "llm"))
        first = starts(harness.request("/c/x"))[0]
        harness.handle(ev.AttemptStarted(first.attempt_id))
        failed = ev.AttemptFailed(first.attempt_id, True, 3, "truncated")
        second = starts(harness.handle(failed))[0]
        self.assertNotEqual(second.server, first.server)


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


class TestRegions(unittest.TestCase):
    def test_work_bound_elsewhere_is_forwarded_to_a_daemon_there(self):
        harness = Harness(region="west")
        harness.peer("vm-e", region="east")
        found = starts(harness.request("/c/x"))[0]
        self.assertEqual((found.peer, found.server), ("vm-e", ""))
        self.assertEqual(found.request.allowed, frozenset({"east"}))

    def test_servers_that_a_peer_used_count_among_the_attempts(self):
        for told, again in ((0, 1), (1, 1), (2, 0), (None, 0)):
            harness = Harness()
            harness.peer("vm-w")
            ping = Ping({}, offers={"s/portal": (4.0, 0.0)})
            harness.handle(ev.PeerHeard(Envelope("vm-w", 5, (ping,))))
            attempt = starts(harness.request())[0]
            harness.list_servers(server("s1"))
            failed = ev.AttemptFailed(attempt.attempt_id, True, sends=told)
            self.assertEqual(len(starts(harness.handle(failed))), again, told)

    def test_forwarded_request_is_not_forwarded_again(self):
        harness = Harness(region="west")
        harness.peer("vm-e", region="east")
        commands = harness.request(
            origin="vm-9", allowed=frozenset({"west", "east"}), ends_ms=99_999_999
        )
        self.assertEqual(starts(commands), [])
        self.assertEqual(errors(commands)[0].code, "no_backend")

    def test_forwarded_request_of_another_region_is_refused(self):
        harness = Harness(region="west")
        commands = harness.request(
            "/c/x", origin="vm-9", allowed=frozenset({"east"}), ends_ms=99_999_999
        )
        self.assertEqual(errors(commands)[0].code, "region_not_permitted")

    def test_work_stays_where_it_may_run_unless_a_peer_offers_room(self):
        harness = Harness()
        harness.peer("vm-w")
        harness.list_servers(server("s1", slots=1))
        while starts(harness.request(request_id=f"f{harness.now_ms}")):
            harness.now_ms += 1
        self.assertFalse(any(item.peer for item in starts(harness.commands)))
        ping = Ping({}, offers={"s/portal": (4.0, 0.0)})
        harness.handle(ev.PeerHeard(Envelope("vm-w", 5, (ping,))))
        found = starts(harness.request(request_id="away"))
        self.assertEqual([item.peer for item in found], ["vm-w"])


class TestNarrowing(unittest.TestCase):
    """A new configuration meets requests that wait for a server."""

    def setUp(self):
        self.harness = Harness()
        self.harness.list_servers(server("e1", "llm", slots=1))
        quick = starts(self.harness.request("/c/x"))[0]
        self.harness.now_ms += 10
        self.harness.handle(ev.AttemptFinished(quick.attempt_id))
        self.harness.request("/c/x", "runs")
        self.assertEqual(starts(self.harness.request("/c/x", "waits")), [])

    def publish(self, **changes):
        base = make_base()
        base["routes"][2] |= changes
        before = len(self.harness.commands)
        self.harness.publish("config", split_documents(base, {}))
        return self.harness.commands[before:]

    def test_waiting_request_of_a_route_that_went_is_not_found(self):
        commands = self.publish(path_prefix="/gone/")
        self.assertEqual([e.code for e in errors(commands)], ["not_found"])

    def test_waiting_request_whose_home_moved_is_forwarded_there(self):
        self.harness.peer("vm-w")
        commands = self.publish(home_regions=["west"])
        self.assertEqual(errors(commands), [])
        found = starts(commands)
        self.assertEqual([(a.peer, a.server) for a in found], [("vm-w", "")])

    def test_forwarded_request_that_waits_is_only_narrowed(self):
        allowed = frozenset({"east"})
        ends_ms = self.harness.now_ms + 9000
        self.harness.request(
            "/c/x", "far", origin="vm-9", allowed=allowed, ends_ms=ends_ms
        )
        self.publish(home_regions=[])
        self.assertEqual(self.harness.state.requests["far"].allowed, allowed)

    def test_waiting_request_follows_its_route_to_another_service(self):
        self.harness.list_servers(
            server("e1", "llm", slots=1), server("p1", "portal", slots=4)
        )
        commands = self.publish(services=[{"service": "portal"}])
        self.harness.tick()
        found = starts([*commands, *self.harness.commands])
        moved = [a.server for a in found if a.request.request_id == "waits"]
        self.assertIn("p1", moved)


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
        told = BriefLoad(0, 0, 0)
        harness.handle(ev.AttemptFinished(attempt.attempt_id, load=told))
        self.assertEqual(harness.state.replicas.rows["e1"].others, 6)

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
        self.assertEqual((row.others, row.others_tokens), (20, 400))


class TestLeavingTheRegion(unittest.TestCase):
    """Load: one region at its peak while another has room."""

    def make(self, away_wait_ms, backlog):
        chat = {
            "name": "long",
            "host": "a.example",
            "path_prefix": "/l/",
            "services": [{"service": "llm"}],
            "workspace": "all",
            "kind": "stream",
            "timeout_ms": 5000,
            "objective_ms": 800,
        }
        harness = Harness(base=make_base(routes=[chat]))
        harness.peer("vm-w")
        harness.peer("vm-2", region="east")
        harness.list_servers(server("e1", "llm", slots=64))
        message = ServerLoads({"e1": (1, backlog)})
        harness.handle(ev.PeerHeard(Envelope("vm-2", 5, (message,))))
        ping = Ping({}, offers={"s/llm": (20.0, away_wait_ms)})
        harness.handle(ev.PeerHeard(Envelope("vm-w", 5, (ping,))))
        return harness

    def target(self, harness, path="/l/x"):
        prompt = {"prompt_tokens": 4000, "blocks": (1, 2), "block_ends": (3000, 4000)}
        found = starts(harness.request(path, **prompt))[0]
        return found.peer or found.server

    def test_request_in_danger_of_being_late_leaves_for_a_clear_gain(self):
        self.assertEqual(self.target(self.make(0.0, 30_000)), "vm-w")

    def test_request_that_is_on_time_stays(self):
        self.assertEqual(self.target(self.make(0.0, 8_000)), "e1")

    def test_region_that_is_as_busy_is_not_swung_to(self):
        self.assertEqual(self.target(self.make(500.0, 30_000)), "e1")

    def test_bound_request_stays_however_late(self):
        self.assertEqual(self.target(self.make(0.0, 15_000), "/c/x"), "e1")


class TestEntries(unittest.TestCase):
    def near(self, harness, region):
        return entries_near(harness.state, "a.example", region, harness.now_ms)

    def test_daemons_of_the_callers_region_are_named(self):
        harness = Harness()
        harness.peer("vm-w")
        harness.peer("vm-2", region="east")
        self.assertEqual(self.near(harness, "west"), ["vm-w:2"])
        self.assertEqual(self.near(harness, "east"), ["vm-1:2", "vm-2:2"])

    def test_without_one_there_the_regions_that_serve_most_routes_are_named(self):
        harness = Harness(region="west", vm="vm-w")
        harness.peer("vm-e", region="east")
        found = entries_near(harness.state, "a.example", "north", harness.now_ms)
        self.assertEqual(found, ["vm-e:2"])

    def test_leaving_daemons_go_before_those_of_a_wrong_region(self):
        harness = Harness(region="west", vm="vm-w")
        harness.peer("vm-e", region="east", state="leaving")
        self.assertEqual(self.near(harness, "east"), ["vm-e:2"])
        harness.peer("vm-e2", region="east")
        self.assertEqual(self.near(harness, "east"), ["vm-e2:2"])

    def test_region_that_serves_every_route_goes_before_leaving_daemons(self):
        harness = Harness()
        harness.peer("vm-w", region="west", state="leaving")
        self.assertEqual(self.near(harness, "west"), ["vm-1:2"])

    def test_daemon_that_has_just_started_does_not_name_itself_to_others(self):
        harness = Harness()
        harness.state.started_ms = harness.now_ms
        self.assertEqual(self.near(harness, "west"), [])
        self.assertEqual(self.near(harness, "east"), ["vm-1:2"])

    def test_leaving_daemon_is_not_named(self):
        harness = Harness()
        harness.peer("vm-2", region="east")
        harness.handle(ev.StopRequested())
        self.assertEqual(self.near(harness, "east"), ["vm-2:2"])

    def test_silent_daemon_is_dropped_within_the_time_allowed(self):
        policy = {"probe_interval_ms": 500, "suspect_timeout_ms": 1500}
        harness = Harness(base=make_base(**policy))
        harness.peer("vm-2", region="east")
        harness.tick(7000)
        self.assertEqual(self.near(harness, "east"), ["vm-1:2"])


class TestLeaving(unittest.TestCase):
    def setUp(self):
        self.harness = Harness(base=make_base(leave_linger_ms=2500))
        self.harness.list_servers(server("s1"), server("e1", "llm"))
        self.harness.handle(ev.StopRequested())

    def test_callers_that_have_not_heard_yet_are_served(self):
        self.assertEqual(len(starts(self.harness.request("/c/x"))), 1)

    def test_late_streams_are_refused_truthfully_and_short_calls_served(self):
        self.harness.tick(2450)
        self.harness.request("/p/x")
        self.harness.tick(100)
        self.assertEqual(len(starts(self.harness.request("/p/x", "r2"))), 1)
        error = errors(self.harness.request("/c/x", "r3"))[0]
        self.assertEqual((error.status, error.outcome), (503, "not_run"))

    def test_process_ends_when_nothing_is_in_flight(self):
        attempt = starts(self.harness.request())[0]
        self.harness.tick(2600)
        self.assertFalse(self.harness.state.stopped)
        self.harness.handle(ev.AttemptFinished(attempt.attempt_id))
        self.harness.tick()
        self.assertTrue(self.harness.state.stopped)

    def test_process_ends_with_its_grace_whatever_runs(self):
        policy = {"leave_linger_ms": 500, "leave_grace_ms": 2000}
        harness = Harness(base=make_base(**policy))
        harness.list_servers(server("s1"))
        harness.request()
        harness.handle(ev.StopRequested())
        harness.tick(1900)
        self.assertFalse(harness.state.stopped)
        harness.tick(200)
        self.assertTrue(harness.state.stopped)


class TestFinding(unittest.TestCase):
    def test_daemon_that_starts_asks_its_seed_peers(self):
        harness = Harness()
        sent = [c for c in harness.commands if isinstance(c, cmd.SendPeer)]
        self.assertEqual({item.address for item in sent}, {"10.9.0.1:1"})

    def test_daemon_that_knows_nobody_is_told_of_everybody(self):
        first = Harness()
        first.peer("vm-2", region="east")
        second = Harness(vm="vm-3")
        own = [c for c in second.commands if isinstance(c, cmd.SendPeer)][0]
        envelope = Envelope("vm-3", 1, own.messages)
        answers = first.handle(ev.PeerHeard(envelope))
        told = [m for c in answers if isinstance(c, cmd.SendPeer) for m in c.messages]
        envelope = Envelope("vm-1", 1, tuple(told))
        second.handle(ev.PeerHeard(envelope, answer=True))
        self.assertEqual(set(second.state.members.rows), {"vm-1", "vm-2"})

    def test_restarted_daemon_replaces_its_former_incarnation(self):
        harness = Harness()
        harness.peer("vm-2", region="east", incarnation=5, state="leaving")
        self.assertTrue(harness.state.members.rows["vm-2"].leaving)
        harness.peer("vm-2", region="east", incarnation=6)
        self.assertFalse(harness.state.members.rows["vm-2"].leaving)

    def watching(self, **policy):
        """Return a daemon of six in a domain that does not watch with one watcher."""
        names = [f"vm-{i}" for i in range(6)]
        first = rendezvous_order("watch:store", names)[0]
        own = next(name for name in names if name != first)
        harness = Harness(vm=own, base=make_base(watchers_per_domain=1, **policy))
        for name in names:
            if name != own:
                harness.peer(name, region="east")
        return harness

    def test_everybody_reads_once_nobody_has_heard_for_long(self):
        harness = self.watching(stale_list_ms=3000)
        for key in ("config", "backends/east"):
            harness.handle(ev.FeedUnavailable(key, "asked before it knew the others"))
        harness.handle(ev.SourceHeard())
        harness.commands.clear()
        harness.tick(2500)
        reads = [c for c in harness.commands if isinstance(c, cmd.ReadFeed)]
        self.assertEqual(reads, [])
        harness.tick(1000)
        reads = [c.key for c in harness.commands if isinstance(c, cmd.ReadFeed)]
        self.assertEqual(set(reads), {"config", "backends/east"})

    def test_policy_decides_at_once_who_watches(self):
        harness = self.watching()
        self.assertFalse(_watches(harness.state, "config"))
        parts = split_documents(make_base(watchers_per_domain=9), {})
        harness.publish("config", parts)
        self.assertTrue(_watches(harness.state, "config"))
        self.assertTrue(_watches(harness.state, "backends/east"))
