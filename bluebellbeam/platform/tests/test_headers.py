import unittest

from bluebellbeam.daemon.codec import UpstreamHead, make_native_codec
from bluebellbeam.platform.headers import make_platform_codec


class TestPrefixSource(unittest.TestCase):
    def test_header_is_set_only_if_there_is_a_prefix_source(self):
        codecs = (
            (make_platform_codec(), "kv-fetch"),
            (make_native_codec(), "x-prefix-source"),
        )
        for codec, name in codecs:
            head = codec.read_request([("x-model", "m"), (name, "forged")])
            for source, expected in (("10.0.0.2:80", ["10.0.0.2:80"]), ("", [])):
                upstream = UpstreamHead("i-1", 1, 500, 2, prefix_source=source)
                pairs = codec.write_request(head, upstream)
                self.assertEqual([v for k, v in pairs if k == name], expected)
