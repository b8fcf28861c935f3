import inspect
import random
import unittest
from contextlib import ExitStack
from unittest.mock import patch

import msgspec

from bluebellbeam.feeds import Snapshot
from bluebellbeam.node import Request
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node import node as node_module
from bluebellbeam.node.message import (
    Envelope,
    LeaseResponse,
    Message,
    decode_envelope,
    encode_envelope,
)
from bluebellbeam.node.tests.test_node import NodeCase

PERIODIC = sorted(
    name
    for name in dir(node_module)
    if name.startswith(("tick_", "prune_", "expire_")) or name == "dispatch_all_pools"
)
HANDLERS = sorted(
    name
    for name in dir(node_module)
    if name.startswith(("handle_", "record_", "receive_", "reconcile_", "begin_"))
    or name in ("apply_cache_events", "record_forward_offer")
)
EVENTS = [
    found
    for _, found in inspect.getmembers(ev, inspect.isclass)
    if issubclass(found, msgspec.Struct) and found.__module__ == ev.__name__
]
FUZZED_ENVELOPES = 3000


class PlantedError(Exception):
    """Error that a test plants."""


def with_empty_fields(kind):
    """Return an instance of `kind` all of whose fields are None."""
    return kind(*[None] * len(kind.__struct_fields__))


class ExceptionCase(NodeCase):
    def setUp(self):
        super().setUp()
        self.found = []
        self.node.on_exception = lambda work, error: self.found.append(
            (work, type(error).__name__)
        )

    def plant(self, names):
        stack = ExitStack()
        self.addCleanup(stack.close)
        for name in names:
            stack.enter_context(
                patch.object(node_module, name, side_effect=PlantedError)
            )
        return stack


class TestExceptionInPeriodicWork(ExceptionCase):
    """Guards against one failing part that stops all other work of a daemon."""

    def test_all_other_work_goes_on(self):
        self.node.state.queue("inspect")
        for planted in PERIODIC:
            with self.subTest(planted), ExitStack() as stack:
                mocks = {
                    name: stack.enter_context(patch.object(node_module, name))
                    for name in PERIODIC
                }
                mocks["tick_lookups"].return_value = []
                mocks[planted].side_effect = PlantedError
                self.found.clear()
                counted = self.node.state.counters.exceptions
                self.node.state.next_slow_tick_ms = 0
                self.node.tick(self.now_ms)
                self.assertEqual(set(self.found), {(planted, "PlantedError")})
                self.assertEqual(
                    self.node.state.counters.exceptions, counted + len(self.found)
                )
                self.assertEqual([n for n in PERIODIC if not mocks[n].called], [])


class TestExceptionInHandler(ExceptionCase):
    """Guards against an event or a message that ends a task or hides others."""

    def test_every_message_of_an_envelope_is_handled(self):
        names = [name for name in HANDLERS if name != "record_sender"]
        with self.plant(names):
            for kind in Message.__args__:
                with self.subTest(kind.__name__):
                    self.found.clear()
                    message = with_empty_fields(kind)
                    envelope = Envelope("nowhere", 1, (message, message))
                    with patch.object(node_module, "record_sender", return_value=True):
                        self.node.handle(ev.PeerMessagesReceived(envelope), self.now_ms)
                    expected = [(kind.__name__, "PlantedError")] * 2
                    self.assertEqual(self.found, expected)

    def test_every_event_with_empty_fields_is_survived(self):
        for kind in EVENTS:
            if kind in (ev.PeerMessagesReceived, ev.RequestArrived, ev.StopRequested):
                continue
            with self.subTest(kind.__name__):
                self.node.handle(with_empty_fields(kind), self.now_ms)

    def test_request_whose_arrival_fails_gets_an_error(self):
        with self.plant(["receive_request"]):
            request = Request("q1", "field-notes", model="inspect")
            commands = self.node.handle(ev.RequestArrived(request), self.now_ms)
        errors = [c.error for c in commands if isinstance(c, cmd.SendErrorResponse)]
        self.assertEqual([error.code for error in errors], ["internal"])
        self.assertEqual(self.found, [("RequestArrived", "PlantedError")])

    def test_exception_is_raised_without_a_handler(self):
        self.node.on_exception = None
        with self.plant(["tick_requests"]), self.assertRaises(PlantedError):
            self.node.tick(self.now_ms)


class TestFuzzedEnvelope(ExceptionCase):
    """Guards against an envelope whose bytes end a task."""

    def test_decoding_gives_an_envelope_or_a_decode_error(self):
        rng = random.Random(1)
        messages = (
            LeaseResponse("p", "w", "l", 1, 2),
            Snapshot("config", 1, "d", {"a": "b"}),
        )
        raw = encode_envelope(Envelope("vm", 1, messages))
        for _ in range(FUZZED_ENVELOPES):
            data = bytearray(raw)
            for _ in range(rng.randrange(1, 4)):
                data[rng.randrange(len(data))] = rng.choice(b'0-9[]{},"null\x00\xff')
            try:
                envelope = decode_envelope(
                    bytes(data[: rng.randrange(1, 2 * len(raw))])
                )
            except msgspec.DecodeError:
                continue
            self.node.handle(ev.PeerMessagesReceived(envelope), self.now_ms)


if __name__ == "__main__":
    unittest.main()
