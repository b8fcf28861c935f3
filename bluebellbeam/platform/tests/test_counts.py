import unittest

from bluebellbeam.daemon.codec import make_native_codec, parse_prompt_parts
from bluebellbeam.platform.headers import make_platform_codec
from bluebellbeam.utils.counts import parse_count


class TestParseCount(unittest.TestCase):
    def test_digits_only(self):
        self.assertEqual(parse_count("0012"), 12)
        for text in ("", "-1", "+1", "1.5", "1e3", "\u0661", "1" * 10, "9" * 5000):
            self.assertIsNone(parse_count(text), text[:20])
        self.assertEqual(parse_count("x", 7), 7)


class TestOversizedCounts(unittest.TestCase):
    """Guards against exceptions and overflow from one request with huge numbers."""

    def test_request_heads_with_huge_numbers_are_read(self):
        for digits in (10, 308, 5000):
            huge = "9" * digits
            for codec, names in (
                (make_native_codec(), ("x-time-left-ms", "x-tokens")),
                (make_platform_codec(), ("x-deadline-ms", "x-token-count")),
            ):
                left, tokens = names
                pairs = [(left, huge), (tokens, f"{huge},{huge}")]
                head = codec.read_request(pairs)
                self.assertIsNone(head.left_ms)
                self.assertEqual((head.prompt_tokens, head.max_output_tokens), (0, 0))
            self.assertEqual(list(parse_prompt_parts(f"a:{huge},b:3")), [("b", 3)])
