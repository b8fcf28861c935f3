import unittest

import msgspec

from bluebellbeam.daemon.wire import decode_chat, decode_error

NESTED = b"[" * 5000 + b"]" * 5000


class TestDeeplyNestedJson(unittest.TestCase):
    """Guards against a RecursionError, which the readers do not expect."""

    def test_body_of_a_caller(self):
        with self.assertRaises(msgspec.DecodeError):
            decode_chat(b'{"model": "m", "prompt": "p", "other": ' + NESTED + b"}")

    def test_error_of_a_server(self):
        raw = b'{"error": {"code": "x", "other": ' + NESTED + b"}}"
        self.assertIsNone(decode_error(raw, 500))


if __name__ == "__main__":
    unittest.main()
