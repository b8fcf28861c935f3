import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

import structlog
from structlog.testing import capture_logs

from bluebellbeam.daemon import driver as driver_module
from bluebellbeam.daemon.driver import make_driver
from bluebellbeam.daemon.sse import make_event_splitter
from bluebellbeam.node import command as cmd
from bluebellbeam.node.state import Counters
from bluebellbeam.utils.clock import monotonic_clock


class PlantedError(Exception):
    """Error that a test plants."""


def make_test_driver():
    """Return a driver of a node without work."""
    state = Mock()
    state.counters = Counters()
    state.policy.load_interval_ms = 1
    state.replicas.rows = {}
    state.members.rows = {}
    node = Mock()
    node.state = state
    node.tick.return_value = []
    settings = SimpleNamespace(vm="vm", peer_key=None)
    return make_driver(node, settings, Mock(), monotonic_clock())


class TestPeriodicTasks(unittest.IsolatedAsyncioTestCase):
    """Guards against an exception that ends a periodic task of the daemon."""

    def setUp(self):
        # A command that ran before may have raised the log level of this process.
        self.addCleanup(structlog.configure, **structlog.get_config())
        structlog.reset_defaults()

    async def test_each_task_goes_on_and_logs_the_exception(self):
        places = {
            "_run_ticks": lambda driver, planted: setattr(driver.node, "tick", planted),
            "_sweep_connections": lambda driver, planted: setattr(
                driver.connection_pool, "sweep", planted
            ),
            "_poll_cache_events": lambda driver, planted: patch.object(
                driver_module, "_replica_rows", planted
            ).start(),
        }
        self.addCleanup(patch.stopall)
        for name, plant in places.items():
            with self.subTest(name):
                patch.stopall()
                driver = make_test_driver()
                planted = Mock(side_effect=PlantedError)
                driver.connection_pool = Mock()
                with (
                    patch.object(driver_module, "SWEEP_INTERVAL_S", 0.01),
                    capture_logs() as lines,
                ):
                    plant(driver, planted)
                    task = asyncio.create_task(getattr(driver, name)())
                    async with asyncio.timeout(10):
                        while planted.call_count < 3:
                            await asyncio.sleep(0.01)
                    self.assertFalse(task.done())
                    task.cancel()
                    await asyncio.gather(task, return_exceptions=True)
                self.assertGreaterEqual(driver.node.state.counters.exceptions, 2)
                self.assertIn("PlantedError", {line.get("type") for line in lines})

    async def test_exception_of_a_background_task_is_logged_and_counted(self):
        driver = make_test_driver()

        async def fail():
            raise PlantedError

        with capture_logs() as lines:
            await asyncio.gather(driver._spawn(fail()), return_exceptions=True)
            await asyncio.sleep(0)
        self.assertEqual([line["type"] for line in lines], ["PlantedError"])
        self.assertEqual(driver.node.state.counters.exceptions, 1)
        self.assertFalse(driver.tasks)

    def test_other_commands_are_executed_after_one_that_fails(self):
        driver = make_test_driver()
        exchange = Mock()
        driver.exchanges = {
            "a": Mock(fail=Mock(side_effect=PlantedError)),
            "b": exchange,
        }
        with capture_logs() as lines:
            driver._execute(
                [cmd.SendErrorResponse("a", None), cmd.SendErrorResponse("b", None)]
            )
        exchange.fail.assert_called_once()
        self.assertEqual([line["work"] for line in lines], ["SendErrorResponse"])


class TestFuzzedStreams(unittest.TestCase):
    """Guards against a stream that raises an unexpected exception or loses bytes."""

    def test_streams_are_split_without_loss(self):
        rng = random.Random(6)
        for _ in range(500):
            raw = bytes(rng.choices(b"\r\n:id data\xff\x00", k=rng.randrange(200)))
            splitter = make_event_splitter()
            found = bytearray()
            start = 0
            while start < len(raw):
                size = rng.randrange(1, 20)
                for _, event in splitter.feed(raw[start : start + size]):
                    found += event
                start += size
            self.assertEqual(bytes(found) + splitter.rest, raw)


if __name__ == "__main__":
    unittest.main()
