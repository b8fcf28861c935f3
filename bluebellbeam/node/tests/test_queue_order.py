import functools
import unittest

from msgspec.structs import replace

from bluebellbeam.node.command import SendToPeer
from bluebellbeam.node.event import PeerMessagesReceived
from bluebellbeam.node.message import Envelope, TokenGrant, TokenRequest
from bluebellbeam.node.tests.harness import final_errors
from bluebellbeam.node.tests.overloaded_pool import (
    OBJECTIVE_MS,
    TIMEOUT_MS,
    CallerClass,
    OverloadedPool,
)

SEEDS = (1, 2, 3)
RUN_MS = 20_000


@functools.cache
def run_pool(by_urgency, seed, *classes):
    pool = OverloadedPool([CallerClass(*row) for row in classes], by_urgency, seed)
    pool.run(RUN_MS)
    return pool.classes


class TestOrderByUrgency(unittest.TestCase):
    """Under overload the most urgent requests are served in time.

    Load: two servers that serve 80 requests/s get 60/s of each of two routes.
    """

    LOAD = (("chat", "a", 0, 60.0), ("report", "b", 2, 60.0))

    def test_most_urgent_class_is_served_in_time(self):
        for seed in SEEDS:
            present = run_pool(False, seed, *self.LOAD)
            ordered = run_pool(True, seed, *self.LOAD)
            with self.subTest(seed=seed):
                self.assertGreater(ordered["chat"].share_in_time, 0.95)
                self.assertLess(present["chat"].share_in_time, 0.9)

    def test_no_capacity_is_lost_by_the_order(self):
        for seed in SEEDS:
            present = run_pool(False, seed, *self.LOAD)
            ordered = run_pool(True, seed, *self.LOAD)
            with self.subTest(seed=seed):
                self.assertGreaterEqual(
                    sum(item.in_time for item in ordered.values()),
                    sum(item.in_time for item in present.values()),
                )

    def test_least_urgent_class_is_rejected_early_with_a_usable_delay(self):
        for seed in SEEDS:
            ordered = run_pool(True, seed, *self.LOAD)
            errors = ordered["report"].errors
            with self.subTest(seed=seed):
                self.assertLess(len(ordered["chat"].errors), 0.03 * len(errors))
                self.assertEqual({error.status for _, error in errors}, {503})
                self.assertEqual({error.outcome for _, error in errors}, {"not_run"})
                after_ms = sorted(waited_ms for waited_ms, _ in errors)
                self.assertLess(after_ms[len(errors) // 2], OBJECTIVE_MS / 4)
                self.assertLess(max(after_ms), 1.2 * OBJECTIVE_MS)
                self.assertGreater(min(error.retry_after_ms for _, error in errors), 0)


class TestAging(unittest.TestCase):
    """No class and no workspace starves while more urgent ones use the capacity.

    Load: the most urgent class alone sends 1.5 times what the servers can serve.
    """

    def test_each_class_gets_a_quarter_of_the_mean_share(self):
        load = (("chat", "a", 0, 120.0), ("report", "b", 2, 60.0))
        for seed in SEEDS:
            rows = run_pool(True, seed, *load)
            served = {k: v.in_time + v.late for k, v in rows.items()}
            with self.subTest(seed=seed):
                mean = sum(served.values()) / len(served)
                self.assertGreaterEqual(min(served.values()), 0.25 * mean)
                self.assertGreater(served["chat"], 2 * served["report"])

    def test_each_workspace_gets_a_quarter_of_the_mean_share(self):
        others = [(f"r{number}", f"w{number}", 2, 15.0) for number in range(7)]
        load = (("chat", "a", 0, 120.0), *others)
        for seed in SEEDS:
            rows = run_pool(True, seed, *load)
            served = {k: v.in_time + v.late for k, v in rows.items()}
            with self.subTest(seed=seed):
                mean = sum(served.values()) / len(served)
                self.assertGreaterEqual(min(served.values()), 0.25 * mean)

    def test_workspaces_of_a_class_share_it_equally(self):
        load = (("chat", "a", 0, 40.0), ("r1", "b", 2, 120.0), ("r2", "c", 2, 40.0))
        for seed in SEEDS:
            rows = run_pool(True, seed, *load)
            with self.subTest(seed=seed):
                self.assertGreater(rows["chat"].share_in_time, 0.95)
                served = [rows[k].in_time + rows[k].late for k in ("r1", "r2")]
                self.assertLess(max(served), 1.6 * min(served))


class TestShortOverload(unittest.TestCase):
    """A caller that waits as told within a third of its time is served.

    Load: a burst of 60 requests at servers that serve 80/s, then nothing.
    """

    def test_retry_after_lies_in_the_usable_time_and_the_pool_then_has_room(self):
        for seed in SEEDS:
            burst = (("chat", "a", 0, 5.0), ("report", "b", 2, 400.0))
            pool = OverloadedPool([CallerClass(*row) for row in burst], True, seed)
            pool.harness.state.pool_service_ms["s/portal"] = 100.0
            pool.run(200)
            errors = pool.classes["report"].errors
            with self.subTest(seed=seed):
                self.assertTrue(errors)
                delays_ms = [error.retry_after_ms for _, error in errors]
                self.assertLessEqual(max(delays_ms), TIMEOUT_MS / 3)
                self.assertGreaterEqual(min(delays_ms), 400)


class FullQueueCase(unittest.TestCase):
    """A queue that is full of requests of workspace b, the less urgent one."""

    def setUp(self):
        rows = (("chat", "a", 0, 1.0), ("report", "b", 2, 1.0))
        pool = OverloadedPool([CallerClass(*row) for row in rows], True)
        self.harness = pool.harness
        for name in ("s1", "s2"):
            self.harness.state.replicas.rows[name].slots = 1
        self.harness.state.pool_service_ms["s/portal"] = 10.0
        self.harness.state.config = replace(
            self.harness.state.config,
            base=replace(
                self.harness.state.base,
                policy=replace(self.harness.state.policy, max_queue=2),
            ),
        )
        for number in range(6):
            self.harness.send_request("/report/x", f"r{number}")
        self.assertEqual(self.harness.state.queues["s/portal"].size, 2)


class TestFullQueue(FullQueueCase):
    """A more urgent request displaces the least urgent one from a full queue."""

    def test_urgent_request_is_queued_and_the_other_rejected_at_once(self):
        commands = self.harness.send_request("/chat/x", "c1")
        (error,) = final_errors(commands)
        self.assertEqual((error.code, error.outcome), ("queue_full", "not_run"))
        self.assertGreater(error.retry_after_ms, 0)
        self.assertIn("c1", self.harness.state.requests)

    def test_request_of_the_same_urgency_displaces_none(self):
        commands = self.harness.send_request("/report/x", "r9")
        self.assertEqual([e.code for e in final_errors(commands)], ["queue_full"])
        self.assertNotIn("r9", self.harness.state.requests)


class TestFullQueueWithQuota(FullQueueCase):
    """Guards against requests over their quota that displace others or raise demand."""

    def setUp(self):
        super().setUp()
        state = self.harness.state
        limits = {"rate_tokens_per_s": 1000, "burst_tokens": 1000}
        workspaces = dict(state.base.workspaces)
        workspaces["a"] = replace(workspaces["a"], **limits)
        state.config = replace(
            state.config, base=replace(state.base, workspaces=workspaces)
        )
        self.queue = state.queues["s/portal"]
        self.arrivals = state.queue_rates["s/portal"].arrivals
        self.arrivals.clear()

    def wait_for_tokens(self):
        """Let c1 wait for the tokens of another daemon; return the query."""
        self.harness.state.quotas.region_since_ms = self.harness.now_ms
        others = [f"vm-{i}" for i in range(2, 12)]
        self.harness.announce_peer("vm-11", "east", others=others[:-1])
        self.harness.commands.clear()
        self.harness.send_request("/chat/x", "c1", prompt_tokens=500)
        self.assertEqual(self.queue.size, 2)
        self.assertFalse(self.arrivals)
        return next(
            (command.vm, message)
            for command in self.harness.commands
            if isinstance(command, SendToPeer)
            for message in command.messages
            if isinstance(message, TokenRequest)
        )

    def answer(self, wait_ms):
        ledger, query = self.wait_for_tokens()
        grant = TokenGrant(query.number, (("a", (wait_ms,), 0),))
        envelope = Envelope(ledger, 5, (grant,))
        return self.harness.handle(PeerMessagesReceived(envelope))

    def test_request_over_its_quota_displaces_none(self):
        self.harness.state.quotas.region_since_ms = self.harness.now_ms
        commands = self.harness.send_request("/chat/x", "c1", prompt_tokens=90_000)
        self.assertEqual([e.code for e in final_errors(commands)], ["rate_limited"])
        self.assertEqual(self.queue.size, 2)
        self.assertFalse(self.arrivals)

    def test_request_that_waited_for_its_tokens_displaces_another(self):
        commands = self.answer(0)
        self.assertEqual([e.code for e in final_errors(commands)], ["queue_full"])
        self.assertIn("c1", self.harness.state.requests)
        self.assertEqual(self.queue.size, 2)
        self.assertEqual(len(self.arrivals), 1)

    def test_request_that_waited_in_vain_displaces_none(self):
        commands = self.answer(2000)
        self.assertEqual([e.code for e in final_errors(commands)], ["rate_limited"])
        self.assertEqual(self.queue.size, 2)
        self.assertFalse(self.arrivals)

    def test_request_without_room_in_the_queue_is_refunded(self):
        state = self.harness.state
        workspaces = dict(state.base.workspaces)
        workspaces["b"] = replace(workspaces["a"])
        state.config = replace(
            state.config, base=replace(state.base, workspaces=workspaces)
        )
        state.quotas.region_since_ms = self.harness.now_ms - 1000
        commands = self.harness.send_request("/report/x", "r9", prompt_tokens=500)
        self.assertEqual([e.code for e in final_errors(commands)], ["queue_full"])
        self.assertEqual(state.quotas.refunded_tokens, 500)
        self.assertEqual(len(self.arrivals), 1)


if __name__ == "__main__":
    unittest.main()
