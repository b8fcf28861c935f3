import random
import unittest

from bluebellbeam.platform.headers import read_brittle, read_limit, states_leaving
from bluebellbeam.platform.store_client import read_era
from bluebellbeam.provider.records import parse_load_header

FUZZED_VALUES = 5000
ALPHABET = "0123456789.,-+eE \t\r\n;=:/inf٣\x00\xff"


class TestFuzzedHeaders(unittest.TestCase):
    """Guards against a header value that raises an unexpected exception."""

    def test_header_values_are_read_or_ignored(self):
        rng = random.Random(5)
        for _ in range(FUZZED_VALUES):
            value = "".join(rng.choices(ALPHABET, k=rng.randrange(24)))
            for parse in (read_limit, read_brittle, states_leaving, read_era):
                for values in ([value], [value, value], []):
                    with self.subTest(parse=parse.__name__, values=values):
                        parse(values)
            with self.subTest(parse="parse_load_header", value=value):
                parse_load_header(value)


if __name__ == "__main__":
    unittest.main()
