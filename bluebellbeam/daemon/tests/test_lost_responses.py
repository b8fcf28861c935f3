import unittest

from bluebellbeam.daemon.connection_pool import make_connection_pool
from bluebellbeam.daemon.listener import NOT_RUN_STATUSES, error_response
from bluebellbeam.daemon.tests.test_duplicate_responses import (
    FRAMED,
    REQUEST,
    DuplicatingServer,
)
from bluebellbeam.node.errors import ERRORS, make_error
from bluebellbeam.utils.clock import manual_clock


class TestStatusOfError(unittest.TestCase):
    """Guards against a status that denies that a request may have run."""

    def test_request_that_may_have_run_gets_no_status_of_one_that_has_not(self):
        for code in ERRORS:
            for outcome in ("unknown", "ran"):
                with self.subTest(code=code, outcome=outcome):
                    error = make_error(code, outcome=outcome)
                    status = error_response(error, "r1").status
                    self.assertNotIn(status, NOT_RUN_STATUSES)

    def test_request_that_has_not_run_keeps_its_status(self):
        for code, kind in ERRORS.items():
            if kind.outcome == "not_run":
                status = error_response(make_error(code), "r1").status
                self.assertEqual(status, kind.status)


class TestConnectionAfterARefusalWithoutId(unittest.IsolatedAsyncioTestCase):
    """Guards against a late copy of a refusal that names no request.

    It would say of the next request that it has not run, which a second run follows.
    """

    async def test_only_requests_that_may_run_twice_reuse_it(self):
        server = DuplicatingServer(FRAMED + b"first", b"", "never")
        address = await server.start(self)
        pool = make_connection_pool(manual_clock())
        self.addCleanup(pool.close)
        connection = await pool.acquire("s", address)
        connection.send("GET", REQUEST % b"GET", b"")
        await connection.read_head()
        await connection.read_all(1000)
        connection.unidentified = True
        pool.release(connection)
        other = await pool.acquire("s", address, once=True)
        self.assertIsNot(other, connection)
        other.close()
        self.assertIs(await pool.acquire("s", address), connection)
        pool.release(connection)


if __name__ == "__main__":
    unittest.main()
