import unittest

from bluebellbeam.admission.quota import (
    CONTACT_MS,
    Limit,
    RegionCounts,
    apply_report,
    grant_tokens,
    make_held_tokens,
    make_quota_ledger,
    take_without_ledger,
    update_ledger,
)
from bluebellbeam.node.message import QuotaReportRow

LIMIT = Limit(100_000, 200_000)
COUNTS = RegionCounts("a", {"a": 2, "b": 1, "c": 1})


class TestQuotaLedger(unittest.TestCase):
    def setUp(self):
        self.ledger = make_quota_ledger(1, 0)

    def hear(self, region, now_ms, granted=0, level=None, acknowledged=0):
        row = QuotaReportRow("w", 9, granted, level, 1, acknowledged)
        apply_report(self.ledger, LIMIT, COUNTS, region, region, row, now_ms)

    def update(self, now_ms, counts=COUNTS):
        update_ledger(self.ledger, LIMIT, counts, now_ms)

    def test_without_any_contact_half_of_the_equal_part_is_granted(self):
        self.update(1000)
        self.assertAlmostEqual(self.ledger.level, 25_000)

    def test_shares_of_regions_without_contact_are_left_to_them(self):
        for now_ms in (0, 500):
            self.hear("b", now_ms)
            self.hear("c", now_ms)
        self.update(500)
        self.assertEqual(self.ledger.fraction, 1.0)
        self.update(501 + CONTACT_MS)
        self.assertAlmostEqual(self.ledger.fraction, 0.5)

    def test_small_part_of_a_region_does_not_grant_the_share_of_the_region(self):
        # Every isolated daemon of a region would otherwise grant that share.
        counts = RegionCounts("a", {"a": 2, "b": 1, "c": 1}, live_share=0.5)
        self.update(1000, counts)
        self.assertAlmostEqual(self.ledger.fraction, 0.125)

    def test_unseen_grants_do_not_exceed_the_share_of_the_level(self):
        for now_ms in (0, 500):
            self.hear("b", now_ms)
            self.hear("c", now_ms)
        self.update(500)
        self.ledger.level = 200_000.0
        granted = 0
        while not grant_tokens(self.ledger, LIMIT, COUNTS, 1000, 500):
            granted += 1000
        self.assertEqual(granted, 120_000)
        self.hear("b", 600, acknowledged=granted)
        self.hear("c", 600, acknowledged=granted)
        self.assertFalse(grant_tokens(self.ledger, LIMIT, COUNTS, 1000, 600))

    def test_wait_is_the_time_of_the_refill(self):
        self.update(1000)
        wait_ms = grant_tokens(self.ledger, LIMIT, COUNTS, 30_000, 1000)
        self.assertEqual(wait_ms, 200)

    def test_lowered_burst_applies_at_once(self):
        self.ledger.level = 150_000.0
        self.ledger.fraction = 0.25
        update_ledger(self.ledger, Limit(100_000, 40_000), COUNTS, 0)
        self.assertAlmostEqual(self.ledger.level, 10_000)


class TestTokensWithoutLedger(unittest.TestCase):
    def test_first_tokens_are_available_after_a_refill(self):
        held = make_held_tokens(0)
        self.assertEqual(take_without_ledger(held, LIMIT, 10, 1000, 0), 200)
        self.assertEqual(take_without_ledger(held, LIMIT, 10, 1000, 200), 0)
        self.assertEqual(take_without_ledger(held, LIMIT, 10, 1000, 200), 200)

    def test_part_of_a_small_burst_admits_single_requests(self):
        limit = Limit(5, 10, overdraft=0, min_capacity=1)
        held = make_held_tokens(0)
        self.assertEqual(take_without_ledger(held, limit, 50, 1, 0), 20_000)
        self.assertEqual(take_without_ledger(held, limit, 50, 1, 60_000), 0)
        self.assertGreater(take_without_ledger(held, limit, 50, 1, 60_000), 0)
