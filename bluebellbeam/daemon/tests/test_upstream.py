import unittest

from bluebellbeam.daemon.codec import make_native_codec
from bluebellbeam.daemon.upstream import refusal_error
from bluebellbeam.daemon.wire import encode_error
from bluebellbeam.node.errors import CallerError, make_error


class TestRefusalError(unittest.TestCase):
    def test_known_error_is_kept(self):
        error = make_error("queue_full", retry_after_ms=1200)
        found = refusal_error(encode_error(error, "r1"), 503, "")
        self.assertEqual(found, error)

    def test_unknown_code_of_a_replaced_server_means_not_run(self):
        error = CallerError("misdirected", 421, "not_run", "another was expected")
        found = refusal_error(encode_error(error, ""), 421, "")
        self.assertEqual((found.code, found.outcome), ("server_changed", "not_run"))

    def test_unknown_code_keeps_whether_the_request_ran(self):
        for outcome in ("not_run", "unknown"):
            error = CallerError("odd", 500, outcome, "odd")
            found = refusal_error(encode_error(error, ""), 500, "")
            self.assertEqual((found.code, found.outcome), ("upstream_failed", outcome))

    def test_body_that_is_no_error_counts_as_unknown_unless_reported(self):
        self.assertEqual(refusal_error(b"oops", 500, "").outcome, "unknown")
        self.assertEqual(refusal_error(b"oops", 503, "not_run").outcome, "not_run")


class TestStatementOfNotRunning(unittest.TestCase):
    """Guards against a success that is retried since it contradicts itself."""

    def test_success_contradicts_it(self):
        for status, expected in ((200, False), (204, False), (500, True), (503, True)):
            with self.subTest(status):
                pairs = [("x-request-id", "r1"), ("x-outcome", "not_run")]
                found = make_native_codec().read_answer(status, pairs)
                self.assertEqual(found.not_run, expected)


if __name__ == "__main__":
    unittest.main()
