import itertools
import unittest

from bluebellbeam.quarantine import (
    ServerEnd,
    add_end,
    add_loss,
    confirm_loss,
    make_evidence_table,
    make_quarantine_table,
    record_served,
    retried_names,
    update_quarantines,
)

SETTLED_MS = 10_000
"""A time at which all ends of these tests count."""


def quarantined(*ends, served=()):
    """Return the names in quarantine after `ends`, given as arguments of ServerEnd.

    `served` holds pairs of a name and the time at which it was served.
    """
    evidence = make_evidence_table()
    for name, at_ms in served:
        record_served(evidence, (name,), at_ms)
    for number, (at_ms, parts, *retried) in enumerate(ends):
        add_end(evidence, ServerEnd(f"s{number}", 1, at_ms, parts, *retried))
    table = make_quarantine_table()
    update_quarantines(table, evidence, SETTLED_MS)
    return list(table.rows)


BAD = {"r:bad": -1}


class TestEndsWithinMilliseconds(unittest.TestCase):
    def test_request_retried_at_two_more_servers_ended_three(self):
        ends = [(1000, BAD), (1002, BAD, BAD), (1005, BAD, BAD)]
        self.assertEqual(quarantined(*ends), ["r:bad"])

    def test_request_that_was_served_before_needs_five_ends_in_succession(self):
        ends = [(1000, BAD)] + [(1000 + n, BAD, BAD) for n in range(1, 5)]
        served = [("r:bad", 500)]
        self.assertEqual(quarantined(*ends[:4], served=served), [])
        self.assertEqual(quarantined(*ends, served=served), ["r:bad"])

    def test_request_that_three_servers_had_side_by_side_is_harmless(self):
        self.assertEqual(quarantined((1000, BAD), (1001, BAD), (1002, BAD)), [])

    def test_request_that_comes_again_at_two_servers_after_two_have_ended(self):
        first = [(1000, BAD), (1001, BAD)]
        again = [(7000, BAD, BAD), (7001, BAD, BAD)]
        self.assertEqual(quarantined(*first, *again[:1]), [])
        self.assertEqual(quarantined(*first, *again), ["r:bad"])

    def test_popular_request_survives_a_loss_of_all_servers(self):
        ends = [(1000 + n, {"r:popular": -1}) for n in range(40)]
        self.assertEqual(quarantined(*ends, served=[("r:popular", 900)]), [])

    def test_request_that_no_server_has_served_is_not_popular(self):
        ends = [(1000 + n, BAD) for n in range(4)]
        self.assertEqual(quarantined(*ends), ["r:bad"])

    def test_part_that_no_server_has_served_is_not_popular(self):
        ends = [(1000 + n, {"bad": 1, "first": 0, f"r:{n}": -1}) for n in range(5)]
        served = [("first", 900)]
        self.assertEqual(quarantined(*ends, served=served), ["bad"])
        self.assertEqual(quarantined(*ends[:4], served=served), [])

    def test_retries_at_servers_of_a_failing_domain_count_once(self):
        ends = [(1000, BAD)] + [(1000 + 5 * n, BAD, BAD) for n in range(1, 8)]
        ends.append((1020, {"r:other": -1}))
        self.assertEqual(quarantined(*ends, served=[("r:bad", 500)]), [])

    def test_first_part_of_all_prompts_survives_a_loss_of_servers_one_by_one(self):
        ends = [(1000, {"first": 0, "r:0": -1})]
        ends += [
            (1000 + 30 * n, {"first": 0, f"r:{n}": -1}, ["first"]) for n in range(1, 8)
        ]
        self.assertEqual(quarantined(*ends, served=[("first", 900)]), [])

    def test_retry_after_a_lost_connection_alone_proves_nothing(self):
        ends = [(1000, BAD, BAD), (1001, BAD)]
        self.assertEqual(quarantined(*ends), [])


class TestPartsOfARepeatedRequest(unittest.TestCase):
    PROMPT = {"first": 0, "rare": 1, "r:bad": -1}

    def test_parts_of_a_single_request_that_ends_servers_stay_in_use(self):
        ends = [(1000, self.PROMPT)]
        ends += [(1000 + n, self.PROMPT, self.PROMPT) for n in range(1, 6)]
        self.assertEqual(quarantined(*ends), ["r:bad"])

    def test_part_is_found_behind_requests_that_are_in_quarantine(self):
        ends = []
        for number, at_ms in enumerate((1000, 7000)):
            prompt = {"first": 0, f"m{number}": 1, "bad": 2, f"r:{number}": -1}
            again = ["bad"] if number else []
            ends += [(at_ms, prompt, again), (at_ms + 2, prompt, prompt)]
            ends += [(at_ms + 4, prompt, prompt)]
        self.assertEqual(quarantined(*ends, served=[("first", 6000)])[0], "bad")


class TestReportsOfOneEnd(unittest.TestCase):
    def test_order_of_reports_does_not_decide_who_had_the_request_side_by_side(self):
        reports = [((), 1000), (("r:x",), 1001), (("r:x",), 999)]
        for order in itertools.permutations(reports):
            with self.subTest(order=order):
                table = make_evidence_table()
                for retried, at_ms in order:
                    add_end(table, ServerEnd("s", 1, at_ms, {"r:x": -1}, retried))
                self.assertEqual(table.ends["s", 1].retried, set())

    def test_correction_of_a_report_is_shared(self):
        table = make_evidence_table()
        self.assertTrue(add_end(table, ServerEnd("s", 1, 1000, BAD, BAD)))
        table.changed_ends.clear()
        self.assertFalse(add_end(table, ServerEnd("s", 1, 1000, BAD, BAD)))
        self.assertTrue(add_end(table, ServerEnd("s", 1, 1000, BAD)))
        self.assertEqual(table.changed_ends, {("s", 1): {"r:bad"}})

    def test_names_of_ends_and_losses_count_as_retried_until_they_are_served(self):
        table = make_evidence_table()
        add_loss(table, "s1", 1, {"r:x": -1, "a": 0}, 1000)
        self.assertEqual(retried_names(table, ("r:x", "r:y")), {"r:x"})
        confirm_loss(table, ("s1", 1))
        self.assertEqual(retried_names(table, ("r:x", "a")), {"r:x", "a"})
        record_served(table, ("a",), 1500)
        self.assertEqual(retried_names(table, ("r:x", "a")), {"r:x"})


if __name__ == "__main__":
    unittest.main()
