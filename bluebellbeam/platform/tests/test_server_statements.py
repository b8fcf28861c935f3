import asyncio
import random
import string
import unittest

from bluebellbeam.platform.headers import (
    MAX_PAUSE_MS,
    make_platform_codec,
    read_limit,
)
from bluebellbeam.platform.tests.loopback import PlatformCase
from bluebellbeam.provider.records import BrittleStatement, LimitStatement
from bluebellbeam.routing import is_brittle

READ = make_platform_codec().read_answer


class TestLimitHeader(unittest.TestCase):
    def test_decimal_numbers_are_read(self):
        for text, expected in (("1", 1.0), (" 1.1 ", 1.1), (".5", 0.5), ("0", 0.0)):
            self.assertEqual(read_limit([text]), LimitStatement(expected))

    def test_malformed_limits_state_nothing(self):
        texts = ("", "-1", "+1", "nan", "inf", "1e3", "1,2", "9" * 40, "1 2", "٣")
        for text in texts:
            self.assertIsNone(read_limit([text]), text)
        self.assertIsNone(read_limit(["1", "1"]))

    def test_random_values_are_read_as_a_finite_limit_or_not_at_all(self):
        rng = random.Random(26)
        alphabet = string.digits * 3 + ".+-e, \tnaif\x00é"
        for _ in range(5000):
            text = "".join(rng.choices(alphabet, k=rng.randrange(12)))
            limit = read_limit([text])
            if limit is not None:
                self.assertTrue(0 <= limit.limit_per_s < 1e9, text)

    def test_response_without_the_header_states_no_limit(self):
        self.assertEqual(READ(200, []).limit, LimitStatement())

    def test_limit_is_not_passed_on_to_the_caller(self):
        response = READ(200, [("server-limit", "2"), ("x-other", "1")])
        self.assertEqual(response.limit, LimitStatement(2.0))
        self.assertEqual(response.passed, (("x-other", "1"),))


class TestBrittleHeader(unittest.TestCase):
    def test_number_is_read_and_not_passed_on(self):
        response = READ(200, [("server-brittle", "3"), ("x-other", "1")])
        self.assertEqual(response.brittle, BrittleStatement(3.0))
        self.assertEqual(response.passed, (("x-other", "1"),))

    def test_malformed_values_state_nothing(self):
        for values in (("",), ("-1",), ("nan",), ("1e3",), ("9" * 40,), ("1", "1")):
            pairs = [("server-brittle", value) for value in values]
            self.assertIsNone(READ(200, pairs).brittle, values)

    def test_response_without_the_header_states_nothing(self):
        self.assertEqual(READ(200, []).brittle, BrittleStatement())


class TestRetryAfterHeader(unittest.TestCase):
    def read_pause_ms(self, *values, status=503):
        return READ(status, [("retry-after", value) for value in values]).pause_ms

    def test_seconds_of_a_refusal_are_read_and_bounded(self):
        self.assertEqual(self.read_pause_ms("2"), 2000)
        self.assertEqual(self.read_pause_ms("0.25"), 250)
        self.assertEqual(self.read_pause_ms("99999"), MAX_PAUSE_MS)

    def test_malformed_values_and_other_statuses_ask_for_no_pause(self):
        for values in (("",), ("-1",), ("nan",), ("1e3",), ("9" * 40,), ("1", "1")):
            self.assertEqual(self.read_pause_ms(*values), 0)
        self.assertEqual(self.read_pause_ms("2", status=200), 0)


class TestPauseOfServer(PlatformCase):
    def test_server_that_refuses_with_retry_after_gets_nothing_until_then(self):
        async def step(deployment):
            replica = deployment.replicas["portal-hall-e-1"]
            replica.behaviours, replica.retry_after = ["full"], "1.0"
            keys = [f"a{i}" for i in range(8)]
            await asyncio.gather(*(deployment.fetch("/unsafe/1", k) for k in keys))
            row = deployment.state().replicas.rows["portal-hall-e-1"]
            self.assertGreater(row.paused_until_ms, 0)
            replica.runs.clear()
            await asyncio.gather(
                *(deployment.fetch("/unsafe/1", f"b{k}") for k in keys)
            )
            self.assertEqual(replica.runs, [])
            await deployment.wait(lambda: not row.paused_until_ms, 2.0)
            await asyncio.gather(
                *(deployment.fetch("/unsafe/1", f"c{k}") for k in keys)
            )
            self.assertNotEqual(replica.runs, [])

        self.run_with(step)


class TestLimitOfServer(PlatformCase):
    def test_limit_in_a_response_is_recorded_and_ends_with_one_without(self):
        async def step(deployment):
            replica = deployment.replicas["portal-hall-e-1"]
            deployment.replicas["portal-hall-e-2"].stop()
            deployment.store.remove("servers/portal-hall-e-2")
            rows = deployment.state().replicas.rows
            await deployment.wait(lambda: "portal-hall-e-2" not in rows)
            replica.limit = "1.5"
            await deployment.fetch("/unsafe/1", "a1")
            row = rows["portal-hall-e-1"]
            self.assertEqual(row.limit_per_s, 1.5)
            for limit, expected in (("many", 1.5), ("2", 2.0), ("", None)):
                replica.limit = limit
                await asyncio.sleep(1.0)
                await deployment.fetch("/unsafe/1", f"a{limit}")
                self.assertEqual(row.limit_per_s, expected)

        self.run_with(step)


class TestBrittleServer(PlatformCase):
    def test_statement_in_a_response_holds_until_one_without(self):
        async def step(deployment):
            brittle = deployment.state().brittle
            for name, replica in deployment.replicas.items():
                if name.startswith("portal"):
                    replica.brittle = "3"
            await deployment.fetch("/unsafe/1", "b1")
            self.assertEqual(brittle["portal"].refusals_per_s, 3.0)
            self.assertTrue(is_brittle(brittle, "portal", self.now_ms(deployment)))
            for replica in deployment.replicas.values():
                replica.brittle = ""
            await asyncio.sleep(0.1)
            await deployment.fetch("/unsafe/1", "b2")
            self.assertFalse(is_brittle(brittle, "portal", self.now_ms(deployment)))

        self.run_with(step)

    def now_ms(self, deployment):
        return deployment.daemons["hall-e"].driver.clock.now_ms()


if __name__ == "__main__":
    unittest.main()
