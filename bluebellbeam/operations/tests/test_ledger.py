import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellbeam.operations import (
    Busy,
    Claimed,
    Expired,
    Foreign,
    Invalid,
    LedgerFull,
    Recorded,
    claim_operation,
    expire_operations,
    issue_operation,
    make_ledger,
    mark_not_run,
    mark_sent,
    record_outcome,
    release_operation,
)

TTL_MS = 1000


class TestLedger(unittest.TestCase):
    def setUp(self):
        self.ledger = make_ledger("vm-1", 77, b"key", 10)
        self.op = issue_operation(self.ledger, "farm", 0, TTL_MS)

    def _claim(self, op=None, workspace="farm", fingerprint=1, now_ms=10, ledger=None):
        ledger = ledger or self.ledger
        return claim_operation(ledger, op or self.op, workspace, fingerprint, now_ms)

    def test_operation_is_sent_once(self):
        self.assertIsInstance(self._claim(), Claimed)
        self.assertIsInstance(self._claim(), Busy)
        self.assertTrue(mark_sent(self.ledger, self.op))
        self.assertFalse(mark_sent(self.ledger, self.op))
        record_outcome(self.ledger, self.op, "ran", "answer")
        self.assertEqual(self._claim(), Recorded("ran", "answer"))

    def test_operation_with_lost_response_stays_unknown(self):
        self._claim()
        mark_sent(self.ledger, self.op)
        record_outcome(self.ledger, self.op, "unknown", None)
        self.assertEqual(self._claim(), Recorded("unknown", None))
        self.assertFalse(mark_sent(self.ledger, self.op))

    def test_operation_that_did_not_run_may_be_sent_again(self):
        self._claim()
        mark_sent(self.ledger, self.op)
        mark_not_run(self.ledger, self.op)
        self.assertTrue(mark_sent(self.ledger, self.op))
        mark_not_run(self.ledger, self.op)
        release_operation(self.ledger, self.op)
        self.assertIsInstance(self._claim(), Claimed)

    def test_id_of_another_process_is_foreign(self):
        successor = make_ledger("vm-1", 78, b"other", 10)
        other = make_ledger("vm-2", 77, b"other", 10)
        self.assertIsInstance(self._claim(ledger=successor), Foreign)
        self.assertIsInstance(self._claim(ledger=other), Foreign)

    def test_id_for_another_workspace_or_call_is_invalid(self):
        self.assertIsInstance(self._claim(workspace="rival"), Invalid)
        self._claim()
        self.assertIsInstance(self._claim(fingerprint=2), Invalid)

    def test_expired_id_is_refused(self):
        self.assertEqual(self._claim(now_ms=TTL_MS + 1), Expired(not_run=True))
        self.assertEqual(self._claim(now_ms=10**9), Expired(not_run=False))

    def test_record_of_a_sent_operation_is_kept_until_it_ends(self):
        self._claim()
        mark_sent(self.ledger, self.op)
        expire_operations(self.ledger, 10**9)
        self.assertIn(self.op, self.ledger.rows)
        record_outcome(self.ledger, self.op, "ran", None)
        expire_operations(self.ledger, 10**9)
        self.assertEqual(self.ledger.rows, {})

    def test_full_ledger_refuses_operations(self):
        for _ in range(10):
            self._claim(issue_operation(self.ledger, "farm", 0, TTL_MS))
        extra = issue_operation(self.ledger, "farm", 0, TTL_MS)
        self.assertIsInstance(self._claim(extra), LedgerFull)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.text(max_size=80))
    def test_arbitrary_text_is_refused(self, text):
        claim = claim_operation(self.ledger, text, "farm", 1, 0)
        self.assertIsInstance(claim, Invalid | Foreign)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.data())
    def test_altered_id_is_refused(self, data):
        position = data.draw(st.integers(0, len(self.op) - 1))
        letter = data.draw(st.characters(codec="ascii"))
        altered = self.op[:position] + letter + self.op[position + 1 :]
        if altered == self.op:
            return
        claim = claim_operation(self.ledger, altered, "farm", 1, 0)
        self.assertIsInstance(claim, Invalid | Foreign)
