import unittest
from types import SimpleNamespace

from bluebellbeam.daemon.routed_attempt import _EventMeter, _make_event_meter
from bluebellbeam.node import event as ev
from bluebellbeam.provider.records import LoadHeader


class TestEventMeter(unittest.TestCase):
    """Events must be reported while a stream runs, not only once it has ended."""

    def setUp(self):
        self.now_ms = 1_000
        self.events = []
        clock = SimpleNamespace(now_ms=lambda: self.now_ms)
        self.driver = SimpleNamespace(clock=clock, handle=self.events.append)

    def test_load_comes_with_the_first_event_and_intervals_every_250_ms(self):
        load = LoadHeader(3, 0, 0, duration_percent=120)
        meter = _EventMeter(self.driver, 7, load)
        for step_ms in (0, 100, 100, 90, 20):
            self.now_ms += step_ms
            meter.count(1)
        self.assertEqual(
            self.events,
            [
                ev.StreamProgressed(7, 0, 0, 0, load),
                ev.StreamProgressed(7, 3, 290, 100, None),
            ],
        )

    def test_servers_without_a_fourth_figure_are_not_measured(self):
        command = SimpleNamespace(server="s1", attempt_id=7)
        for load, expected in (
            (None, False),
            (LoadHeader(3, 0, 0), False),
            (LoadHeader(3, 0, 0, duration_percent=100), True),
        ):
            meter = _make_event_meter(self.driver, command, SimpleNamespace(load=load))
            self.assertEqual(meter is not None, expected)
