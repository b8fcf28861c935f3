import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellbeam.membership import StatusUpdate
from bluebellbeam.node.message import (
    Envelope,
    FeedPull,
    IndirectProbe,
    LeaseRequest,
    LeaseResponse,
    Ping,
    Pong,
    decode_envelope,
    encode_envelope,
)


class TestEnvelope(unittest.TestCase):
    def test_messages_are_unchanged_by_encoding_and_decoding(self):
        update = StatusUpdate("m", "vm-1", 5, 1, "suspect")
        envelope = Envelope(
            "vm-2",
            7,
            (
                Ping({"config": 3}, (update,), {"m/a": (2.0, 10.0)}),
                Pong({}, (), {}, {"m/a": (1.0, 2.0)}, "vm-9"),
                IndirectProbe("vm-3"),
                FeedPull("config", 2),
                LeaseRequest("vm-2", "m/a", "farm", 2, 9),
                LeaseResponse("m/a", "farm", "id", 2, 3000),
            ),
        )
        self.assertEqual(decode_envelope(encode_envelope(envelope)), envelope)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_invalid_bytes_raise_a_decode_error(self, raw):
        with self.assertRaises(msgspec.DecodeError):
            decode_envelope(raw)

    def test_deeply_nested_message_raises_a_decode_error(self):
        nested = "[" * 5000 + "]" * 5000
        raw = f'{{"sender": "a", "incarnation": 1, "messages": [], "other": {nested}}}'
        with self.assertRaises(msgspec.DecodeError):
            decode_envelope(raw.encode())
