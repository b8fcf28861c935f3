import unittest

from bluebellbeam.node.request import Request
from bluebellbeam.node.tests.harness import Harness, server, started_attempts
from bluebellbeam.routing.completion import apply_duration
from bluebellbeam.routing.placement import (
    MAX_EXAMINED,
    choose_server,
    common_part,
    placement_order,
    prompt_subject,
    record_first_part,
    server_weights,
)

NAMES = [f"s{number}" for number in range(25)]


def choose(order, loads, weights):
    sums = sum(weights.values()), sum(loads.values())
    return choose_server(order, loads.__getitem__, weights, *sums)


class TestOrder(unittest.TestCase):
    """Daemons must agree on the server of a subject without messages."""

    def test_removed_server_moves_only_its_own_subjects(self):
        weights = dict.fromkeys(NAMES, 1.0)
        fewer = {name: 1.0 for name in NAMES if name != "s3"}
        for subject in range(300):
            first = placement_order(subject, weights)[0]
            if first != "s3":
                self.assertEqual(placement_order(subject, fewer)[0], first)

    def test_share_of_subjects_follows_the_weight(self):
        weights = {"fast": 2.0, "slow": 1.0}
        firsts = [placement_order(subject, weights)[0] for subject in range(3_000)]
        self.assertAlmostEqual(firsts.count("fast") / 3_000, 2 / 3, delta=0.03)

    def test_small_differences_of_speed_give_the_same_weights(self):
        one = server_weights({"a": 100.0, "b": 101.0, "c": 198.0, "d": 0.0})
        two = server_weights({"a": 102.0, "b": 99.0, "c": 203.0, "d": 0.0})
        self.assertEqual(one, two)
        self.assertEqual(one["d"], one["b"])
        self.assertLess(one["c"], one["a"])


class TestBoundedLoad(unittest.TestCase):
    """A frequent subject must not overload its server."""

    def test_load_of_one_subject_is_spread_within_the_bound(self):
        weights = dict.fromkeys(NAMES, 1.0)
        loads = dict.fromkeys(NAMES, 0)
        order = placement_order(1, weights)
        for _ in range(250):
            loads[choose(order, loads, weights)] += 1
        self.assertLessEqual(max(loads.values()), 1.2 * 250 / MAX_EXAMINED)

    def test_server_within_its_bound_keeps_its_subject(self):
        weights = dict.fromkeys(NAMES, 1.0)
        loads = dict.fromkeys(NAMES, 10)
        order = placement_order(1, weights)
        self.assertEqual(choose(order, loads, weights), order[0])

    def test_empty_pool_gives_no_server(self):
        self.assertEqual(choose([], {}, {}), "")


class TestSubject(unittest.TestCase):
    """Prompts that share only what all share must not be placed together."""

    def prompt(self, *blocks):
        ends = tuple(100 * (number + 1) for number in range(len(blocks)))
        return Request("r", "", blocks=blocks, block_ends=ends)

    def test_subject_is_the_longest_shared_prefix(self):
        self.assertEqual(prompt_subject(self.prompt(1, 2, 3), common=1), (2, 200))
        self.assertEqual(prompt_subject(self.prompt(1, 3)), (1, 100))
        self.assertIsNone(prompt_subject(self.prompt(1, 3), common=1))
        self.assertIsNone(prompt_subject(self.prompt(1)))

    def test_common_part_is_found_and_replaced(self):
        table = {}
        for _ in range(40):
            record_first_part(table, "s/llm", 7)
        self.assertEqual(common_part(table, "s/llm"), 7)
        for _ in range(100):
            record_first_part(table, "s/llm", 8)
        self.assertEqual(common_part(table, "s/llm"), 8)
        for number in range(100):
            record_first_part(table, "s/llm", number)
        self.assertEqual(common_part(table, "s/llm"), 0)


class TestPlacementOfDaemons(unittest.TestCase):
    """Daemons place a new subject alike, on servers with a fourth figure only."""

    def choices(self, percent):
        found = []
        for vm in ("vm-1", "vm-2", "vm-3"):
            harness = Harness(vm=vm)
            harness.state.ready = True
            harness.publish_servers(
                *(server(name, service="llm", slots=64) for name in NAMES)
            )
            for row in harness.state.replicas.rows.values():
                apply_duration(row, percent, harness.now_ms)
            [attempt] = started_attempts(self.send(harness, "r1", (11, 12, 13)))
            found.append(attempt.server)
        return found

    def send(self, harness, request_id, blocks):
        ends = tuple(2_000 * (number + 1) for number in range(len(blocks)))
        return harness.send_request(
            "/c/x", request_id, blocks=blocks, block_ends=ends, prompt_tokens=6_000
        )

    def test_daemons_choose_the_same_server(self):
        expected = placement_order(12, dict.fromkeys(sorted(NAMES), 1.0))[0]
        self.assertEqual(self.choices(100), [expected] * 3)
        self.assertNotEqual(self.choices(0), [expected] * 3)
