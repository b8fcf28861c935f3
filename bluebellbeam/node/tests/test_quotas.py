import unittest
from unittest.mock import patch

from bluebellbeam.admission.quota import BURST_MARGIN_TOKENS, HELD_MS
from bluebellbeam.config import split_documents
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node import node as node_module
from bluebellbeam.node.dump import dump_state
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.message import (
    Envelope,
    QuotaReport,
    QuotaReportRow,
    TokenGrant,
    TokenRequest,
)
from bluebellbeam.node.quotas import ANSWER_TIMEOUT_MS, GROUPS
from bluebellbeam.node.tests.harness import (
    Harness,
    final_errors,
    make_base,
    server,
    started_attempts,
)
from bluebellbeam.node.tests.quota_region import WINDOW_MS, QuotaRegions
from bluebellbeam.node.tests.quota_schedules import run_schedule, workspace
from bluebellbeam.utils.hashing import hash_text, rendezvous_order

RATE = 30_000


class PlantedError(Exception):
    """Error that a test plants."""


def make_quota_base(burst=60_000, rate=RATE):
    base = make_base()
    base["workspaces"]["all"] |= {
        "rate_tokens_per_s": rate,
        "burst_tokens": burst,
        "plain_request_tokens": 500,
    }
    return base


class QuotaCase(unittest.TestCase):
    """One daemon of region east with a server; `peers` are daemons of the region."""

    def start(self, peers=(), base=None):
        self.harness = Harness(base=base or make_quota_base(), seeds=())
        if peers:
            self.harness.announce_peer(peers[0], "east", others=peers[1:])
        self.harness.publish_servers(server("portal-1", slots=64))
        self.harness.tick(500)
        self.harness.commands.clear()
        self.table = self.harness.state.quotas
        self.table.region_since_ms = self.harness.now_ms

    def send(self, tokens, request_id="r1"):
        return self.harness.send_request("/p/x", request_id, prompt_tokens=tokens)

    def deliver(self, sender, message):
        envelope = Envelope(sender, 5, (message,))
        return self.harness.handle(ev.PeerMessagesReceived(envelope))

    def messages(self, kind):
        return [
            (command.vm, message)
            for command in self.harness.commands
            if isinstance(command, cmd.SendToPeer)
            for message in command.messages
            if isinstance(message, kind)
        ]


class TestOwnLedger(QuotaCase):
    """A single daemon, which holds the ledger itself."""

    def test_new_ledger_grants_no_burst(self):
        self.start()
        [error] = final_errors(self.send(50_000))
        self.assertEqual((error.code, error.status), ("rate_limited", 429))
        self.assertEqual(error.outcome, "not_run")
        self.assertAlmostEqual(error.retry_after_ms, 1000 * 50_000 / RATE, delta=1)
        self.assertEqual(self.table.rejected, 1)

    def test_new_ledger_has_been_refilled_since_the_members_changed(self):
        # The first request of a workspace after an hour was refused without this.
        self.start()
        self.table.region_since_ms -= 1000
        self.assertTrue(started_attempts(self.send(RATE)))
        self.assertTrue(final_errors(self.send(1000, "r2")))

    def test_change_of_the_members_empties_new_buckets(self):
        self.start()
        self.harness.tick(5000)
        self.harness.announce_peer("vm-2", "east")
        self.harness.tick()
        self.assertEqual(self.table.region_since_ms, self.harness.now_ms)

    def test_full_bucket_grants_the_burst_once(self):
        self.start()
        self.send(1)
        self.harness.tick(5000)
        self.harness.commands.clear()
        burst = 60_000 + BURST_MARGIN_TOKENS
        self.assertTrue(started_attempts(self.send(burst - 1000, "r2")))
        self.assertTrue(final_errors(self.send(9000, "r3")))

    def test_request_without_token_count_costs_the_plain_tokens(self):
        self.start()
        self.send(0)
        self.harness.tick(100)
        self.send(0, "r2")
        self.assertEqual(self.table.ledgers["all"].granted, 500)

    def test_rejected_request_is_refunded_and_returned(self):
        self.start()
        self.send(0)
        self.harness.tick(5000)
        self.harness.commands.clear()
        [attempt] = started_attempts(self.send(20_000, "r2"))
        level = self.table.ledgers["all"].level
        refused = make_error("not_permitted")
        self.harness.handle(ev.AttemptRefused(attempt.attempt_id, refused))
        self.assertEqual(self.table.refunded_tokens, 20_000)
        self.harness.tick(HELD_MS + 100)
        self.assertGreaterEqual(self.table.ledgers["all"].level, level + 20_000)

    def test_request_that_ran_is_not_refunded(self):
        self.start()
        self.send(0)
        self.harness.tick(5000)
        self.harness.commands.clear()
        [attempt] = started_attempts(self.send(20_000, "r2"))
        self.harness.fail_attempt(attempt.attempt_id, sent=True)
        self.harness.tick(5000)
        self.assertEqual(self.table.refunded_tokens, 0)

    def test_refund_goes_to_the_workspace_that_was_charged(self):
        # The tokens of a queued request whose route got another workspace were lost
        # or given to that one.
        self.start()
        self.harness.state.replicas.rows["portal-1"].slots = 1
        self.harness.state.pool_service_ms["s/portal"] = 10.0
        self.send(0)
        self.harness.tick(5000)
        for number in range(4):
            self.send(100, f"s{number}")
        self.send(20_000, "r3")
        self.assertEqual(self.harness.state.requests["r3"].state, "queued")
        base = make_quota_base()
        base["workspaces"]["other"] = dict(base["workspaces"]["all"])
        base["routes"][0]["workspace"] = "other"
        granted = self.table.ledgers["all"].granted
        self.harness.publish("config", split_documents(base, {}))
        request = self.harness.state.requests["r3"]
        self.assertEqual(request.workspace, "other")
        self.harness.tick(5000)
        self.assertNotIn("r3", self.harness.state.requests)
        # The other queued requests are refunded too.
        self.assertLessEqual(self.table.ledgers["all"].granted, granted - 20_000)

    def test_forwarded_request_is_not_charged(self):
        self.start()
        self.harness.announce_peer("vm-w", "west")
        allowed = frozenset(("east",))
        self.harness.send_request(
            "/p/x", prompt_tokens=20_000, origin="vm-w", allowed=allowed
        )
        self.assertFalse(self.table.ledgers)

    def test_dump_shows_level_share_and_reason(self):
        self.start()
        self.harness.announce_peer("vm-w", "west")
        self.harness.tick(1000)
        self.send(0)
        [row] = dump_state(self.harness.state, self.harness.now_ms, ["quotas"])[
            "quotas"
        ]
        self.assertEqual((row.workspace, row.ledger, row.share), ("all", True, 0.25))
        self.assertEqual(row.reason, "no contact: west")

    def test_workspace_without_burst_sends_no_messages(self):
        self.start(("vm-2", "vm-3"), make_quota_base(burst=0))
        self.send(50_000)
        self.harness.tick(3000)
        self.assertFalse(self.table.ledgers or self.table.held)
        self.assertFalse(self.messages((TokenRequest, QuotaReport)))


class TestRequestQuota(QuotaCase):
    """A quota in requests, which was charged in tokens before."""

    def start_with(self, rate, burst):
        base = make_quota_base(burst=burst, rate=rate)
        base["workspaces"]["all"]["quota_unit"] = "request"
        self.start(base=base)

    def test_large_request_costs_one(self):
        self.start_with(5, 10)
        self.table.region_since_ms -= 1000
        self.assertTrue(started_attempts(self.send(9190)))
        self.assertEqual(self.harness.state.requests["r1"].charged_tokens, 1)

    def test_margin_and_overdraft_of_tokens_do_not_apply(self):
        self.start_with(5, 10)
        self.send(1)
        self.harness.tick(10_000)
        started = [bool(started_attempts(self.send(1, f"s{i}"))) for i in range(30)]
        self.assertEqual(sum(started), 10)

    def test_region_with_a_part_of_a_small_burst_admits_single_requests(self):
        # Without contact to the other region, a quarter of the burst is half a request.
        self.start_with(4, 2)
        self.harness.announce_peer("vm-w", "west")
        self.harness.tick(5000)
        self.assertTrue(started_attempts(self.send(9190)))
        self.assertTrue(final_errors(self.send(9190, "r2")))
        self.harness.tick(1100)
        self.assertTrue(started_attempts(self.send(9190, "r3")))


class TestRemoteLedger(QuotaCase):
    """A daemon that has to ask peer vm-5 for tokens."""

    PEERS = ("vm-2", "vm-3", "vm-4", "vm-5")

    def setUp(self):
        self.start(self.PEERS)
        self.send(2000)
        [(self.ledger, self.query)] = self.messages(TokenRequest)

    def test_granted_request_starts(self):
        self.assertEqual(self.query.rows, (("all", (2000,), 0, 0),))
        grant = TokenGrant(self.query.number, (("all", (0,), 700),))
        self.assertTrue(started_attempts(self.deliver(self.ledger, grant)))
        self.assertEqual(self.table.held["all"].tokens, 700)

    def test_requests_that_arrive_meanwhile_share_the_next_message(self):
        self.send(300, "r2")
        self.send(400, "r3")
        self.assertEqual(len(self.messages(TokenRequest)), 1)
        grant = TokenGrant(self.query.number, (("all", (0,), 0),))
        self.deliver(self.ledger, grant)
        _, query = self.messages(TokenRequest)[1]
        self.assertEqual(query.rows[0][1], (300, 400))

    def test_refused_request_gets_the_wait_of_the_ledger(self):
        grant = TokenGrant(self.query.number, (("all", (2500,), 0),))
        [error] = final_errors(self.deliver(self.ledger, grant))
        self.assertEqual((error.code, error.retry_after_ms), ("rate_limited", 2500))
        # A larger request is refused without another message.
        self.assertTrue(final_errors(self.send(3000, "r2")))
        self.assertEqual(len(self.messages(TokenRequest)), 1)

    def test_wait_for_a_silent_ledger_is_bounded(self):
        self.harness.tick(ANSWER_TIMEOUT_MS)
        self.assertTrue(final_errors(self.harness.commands))
        # The tokens of the late answer are kept for later requests.
        grant = TokenGrant(self.query.number, (("all", (0,), 0),))
        self.deliver(self.ledger, grant)
        self.assertEqual(self.table.held["all"].tokens, 2000)

    def test_unreachable_ledger_is_replaced(self):
        self.harness.handle(ev.PeerUnreachable(self.ledger))
        asked = [name for name, _ in self.messages(TokenRequest)]
        ledgers = self.table.ledgers
        self.assertTrue(ledgers or (len(asked) == 2 and asked[0] != asked[1]))

    def test_request_is_admitted_when_its_quota_is_removed_while_it_waits(self):
        parts = split_documents(make_base(), {})
        self.harness.publish("config", parts)
        self.harness.commands.clear()
        self.harness.tick(ANSWER_TIMEOUT_MS)
        self.assertTrue(started_attempts(self.harness.commands))

    def test_tokens_of_a_disconnected_caller_are_kept(self):
        self.harness.handle(ev.CallerDisconnected("r1"))
        grant = TokenGrant(self.query.number, (("all", (0,), 0),))
        self.assertFalse(started_attempts(self.deliver(self.ledger, grant)))
        self.assertEqual(self.table.held["all"].tokens, 2000)

    def test_next_candidate_is_asked_if_the_ledger_does_not_know_the_workspace(self):
        self.start(tuple(f"vm-{i}" for i in range(2, 12)))
        self.send(2000)
        for count in (1, 2):
            asked = self.messages(TokenRequest)
            self.assertEqual(len({name for name, _ in asked}), count)
            ledger, query = asked[-1]
            commands = self.deliver(ledger, TokenGrant(query.number, ()))
        # Neither of them knows it: the own part of the quota is still empty.
        self.assertEqual([e.code for e in final_errors(commands)], ["rate_limited"])

    def test_short_answer_ends_the_wait_of_the_other_requests(self):
        # They waited until their deadline.
        self.send(300, "r2")
        self.send(400, "r3")
        grant = TokenGrant(self.query.number, (("all", (0,), 0),))
        self.deliver(self.ledger, grant)
        _, query = self.messages(TokenRequest)[1]
        grant = TokenGrant(query.number, (("all", (0,), 0),))
        commands = self.deliver(self.ledger, grant)
        self.assertEqual(len(started_attempts(commands)), 1)
        self.assertEqual([e.code for e in final_errors(commands)], ["rate_limited"])

    def test_answer_of_another_daemon_is_ignored(self):
        grant = TokenGrant(self.query.number, (("all", (0,), 700),))
        [other, *_] = [name for name in self.PEERS if name != self.ledger]
        self.assertFalse(started_attempts(self.deliver(other, grant)))
        self.assertEqual(self.table.held["all"].tokens, 0)
        self.assertTrue(started_attempts(self.deliver(self.ledger, grant)))

    def test_exception_in_one_request_does_not_stop_the_others(self):
        self.send(300, "r2")
        self.send(400, "r3")
        grant = TokenGrant(self.query.number, (("all", (0,), 0),))
        self.deliver(self.ledger, grant)
        _, query = self.messages(TokenRequest)[1]
        raised = []
        self.harness.node.on_exception = lambda _, error: raised.append(error)
        admit = node_module.admit_charged

        def fail_for_r2(state, request, error, now_ms):
            if request.request_id == "r2":
                raise PlantedError
            admit(state, request, error, now_ms)

        with patch.object(node_module, "admit_charged", fail_for_r2):
            grant = TokenGrant(query.number, (("all", (0, 0), 0),))
            commands = self.deliver(self.ledger, grant)
        self.assertEqual(len(started_attempts(commands)), 1)
        self.assertEqual([e.code for e in final_errors(commands)], ["internal"])
        self.assertNotIn("r2", self.harness.state.requests)
        self.assertIsInstance(raised[0], PlantedError)

    def test_one_late_answer_does_not_make_the_ledger_unreachable(self):
        # The time without an answer included the time without a query.
        grant = TokenGrant(self.query.number, (("all", (0,), 0),))
        self.deliver(self.ledger, grant)
        self.harness.tick(1000)
        self.send(300, "r2")
        self.harness.tick(2 * ANSWER_TIMEOUT_MS)
        self.assertNotIn(self.ledger, self.table.unreachable_until_ms)

    def test_ledger_that_answers_no_query_becomes_unreachable(self):
        for number in range(10):
            self.harness.tick(50)
            self.send(300, f"s{number}")
        self.assertIn(self.ledger, self.table.unreachable_until_ms)

    def test_answer_about_an_unknown_workspace_is_ignored(self):
        grant = TokenGrant(self.query.number, (("gone", (0,), 5),))
        self.deliver(self.ledger, grant)
        self.assertNotIn("gone", self.table.held)


class TestHolderWithoutLimit(QuotaCase):
    """Guards against a ledger that grants all requests of a workspace it lacks."""

    def ask(self, workspace):
        self.harness.announce_peer("vm-2", "east")
        self.harness.commands.clear()
        self.deliver("vm-2", TokenRequest(4, ((workspace, (900, 50), 10, 0),)))
        [(_, grant)] = self.messages(TokenGrant)
        return grant

    def test_unknown_workspace_is_not_granted(self):
        self.start()
        self.assertEqual(self.ask("new"), TokenGrant(4, ()))

    def test_daemon_without_configuration_grants_nothing(self):
        self.start()
        self.harness.state.config = None
        self.assertEqual(self.ask("all"), TokenGrant(4, ()))

    def test_workspace_whose_limit_was_removed_is_granted(self):
        self.start(base=make_base())
        self.assertEqual(self.ask("all"), TokenGrant(4, (("all", (0, 0), 0),)))


class TestReports(QuotaCase):
    def test_report_is_answered_in_the_same_exchange(self):
        self.start()
        self.harness.announce_peer("vm-w", "west")
        self.harness.commands.clear()
        report = QuotaReport((QuotaReportRow("all", 9, 500, None),), True)
        self.deliver("vm-w", report)
        [(name, reply)] = self.messages(QuotaReport)
        self.assertEqual((name, reply.reply), ("vm-w", False))
        row = reply.rows[0]
        self.assertEqual((row.ack_epoch, row.ack_granted), (9, 500))

    def test_grants_reported_twice_are_subtracted_once(self):
        self.start()
        self.harness.announce_peer("vm-w", "west")
        for granted in (0, 4000, 4000):
            row = QuotaReportRow("all", 9, granted, None)
            self.deliver("vm-w", QuotaReport((row,)))
        self.assertAlmostEqual(self.table.ledgers["all"].level, -4000)

    def test_lost_and_regained_contact_is_logged_once(self):
        self.start()
        self.harness.announce_peer("vm-w", "west")
        self.send(100)
        self.harness.tick(2000)
        self.send(100, "r2")
        self.harness.tick(1000)
        row = QuotaReportRow("all", 9, 0, None)
        self.deliver("vm-w", QuotaReport((row,)))
        lines = [
            command.sentence
            for command in self.harness.commands
            if isinstance(command, cmd.Log) and command.part == "quota"
        ]
        self.assertEqual(
            lines,
            [
                "start ledgers",
                "lose contact with ledgers",
                "regain contact with ledgers",
            ],
        )

    def test_leaving_daemon_asks_another_for_tokens(self):
        self.start(("vm-2",))
        self.harness.handle(ev.StopRequested())
        self.send(100)
        self.assertEqual([n for n, _ in self.messages(TokenRequest)], ["vm-2"])

    def test_unknown_workspace_is_ignored(self):
        self.start()
        self.harness.announce_peer("vm-w", "west")
        self.deliver("vm-w", QuotaReport((QuotaReportRow("x", 1, 1, 1),), True))
        self.assertFalse(self.table.ledgers)


class TestSchedules(unittest.TestCase):
    """The bound on the tokens of a window, with faults; and how much can be used."""

    def test_no_window_exceeds_the_bound(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                self.assertLessEqual(run_schedule(seed), 1.0)

    def test_regions_that_start_at_once_do_not_each_grant_the_burst(self):
        rate, burst = 200_000, 1_000_000
        sim = QuotaRegions(1, {"w": workspace(rate, burst)}, 1)
        start_ms = sim.now_ms
        while sim.now_ms < start_ms + 10_000:
            elapsed_ms = sim.now_ms - start_ms
            # A quarter of the rate until the bucket is full, then several bursts in
            # 50 ms, before the regions hear of each other.
            if elapsed_ms % 10 == 0 and elapsed_ms < 6000:
                sim.send(sim.rng.choice(list(sim.region)), "w", 500)
            for _ in range(20 if 6000 <= elapsed_ms < 6050 else 0):
                sim.send(sim.rng.choice(list(sim.region)), "w", 4000)
            sim.step()
        spent = sum(cost for at_ms, cost in sim.admitted if at_ms >= start_ms + 6000)
        self.assertLessEqual(spent, 1.25 * burst + 110_000)
        self.assertGreaterEqual(spent, 0.9 * burst)

    def test_former_holder_does_not_grant_the_burst_again(self):
        rate, burst = 10_000, 400_000
        sim = QuotaRegions(3, {}, 1, regions=("a",))
        names = list(sim.region)
        owners = {}
        for number in range(20):
            group = hash_text(f"w{number}") % GROUPS
            owners[f"w{number}"] = rendezvous_order(f"quota:{group}", names)
        name = next(w for w, order in owners.items() if order[0] == "a0")
        sim.workspaces[name] = workspace(rate, burst)
        first, _, other = owners[name]

        def run(seconds, per_s, cost):
            end_ms = sim.now_ms + 1000 * seconds
            while sim.now_ms < end_ms:
                if sim.now_ms % (1000 // per_s) == 0:
                    sim.send(other, name, cost)
                sim.step()

        sim.kill(first)
        run(50, per_s=2, cost=500)
        sim.start(first)
        run(45, per_s=2, cost=500)
        run(1, per_s=100, cost=5000)
        sim.kill(first)
        run(7, per_s=100, cost=5000)
        bound = 1.25 * (burst + rate * WINDOW_MS / 1000) + 110_000
        self.assertLessEqual(sim.worst_window(), bound)
        self.assertGreaterEqual(sim.worst_window(), 0.9 * burst)

    def _admitted_part(self, choose, factor, seconds=20):
        sim = QuotaRegions(3, {"w": workspace(200_000, 200_000)}, 1)
        start_ms = next_ms = sim.now_ms
        while sim.now_ms < start_ms + 1000 * seconds:
            while next_ms <= sim.now_ms:
                cost = sim.rng.choice((826, 9190))
                sim.send(choose(sim, sim.now_ms - start_ms), "w", cost)
                next_ms += sim.rng.expovariate(1) * 1000 * cost / (200_000 * factor)
            sim.step()
        self.assertLessEqual(max(sim.waits_ms), 100)
        return sim.admitted_part(200_000, 200_000, start_ms + 3000)

    def test_quota_is_usable_at_three_daemons(self):
        for names in (("a0", "a1", "a2"), ("a0", "b0", "c0")):
            part = self._admitted_part(lambda sim, _, n=names: sim.rng.choice(n), 1.2)
            self.assertGreaterEqual(part, 0.95)

    def test_quota_is_usable_when_requests_move_between_regions(self):
        part = self._admitted_part(lambda _, ms: "abc"[ms // 5000 % 3] + "0", 1.2)
        self.assertGreaterEqual(part, 0.95)
