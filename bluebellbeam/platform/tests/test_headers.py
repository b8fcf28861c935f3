import unittest

from bluebellbeam.daemon.codec import UpstreamHead, make_native_codec
from bluebellbeam.platform.headers import make_platform_codec
from bluebellbeam.provider.records import LoadHeader


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


class TestLoadHeader(unittest.TestCase):
    """A load that cannot be read must be neither used nor reported as absent."""

    def read(self, *values):
        pairs = [("x-server-load", value) for value in values]
        return make_platform_codec().read_answer(200, pairs)

    def test_three_or_four_figures_are_decoded(self):
        self.assertEqual(self.read("3,1,64").load, LoadHeader(3, 1, 0))
        self.assertEqual(
            self.read("3, 1, 64, 250").load, LoadHeader(3, 1, 0, duration_percent=250)
        )

    def test_implausible_durations_are_clamped_and_zero_is_absent(self):
        for percent, expected in ((0, 0), (1, 10), (10, 10), (999_999, 10_000)):
            with self.subTest(percent):
                load = self.read(f"3,1,64,{percent}").load
                self.assertEqual(load.duration_percent, expected)

    def test_other_forms_are_reported_as_malformed(self):
        for text in (
            "3,1",
            "3,1,64,100,7",
            "3,1,64,",
            "3,1,64,+100",
            "-3,1,64",
            "3,1,64,1e2",
            "3,1,64,100.5",
            "٣,1,64",
            "3000000,1,64",
            "9999999999,1,64",
            "x" * 200,
        ):
            with self.subTest(text):
                head = self.read(text)
                self.assertIsNone(head.load)
                self.assertEqual(head.malformed_load, text[:64])

    def test_absent_header_is_not_malformed(self):
        self.assertEqual((self.read().load, self.read().malformed_load), (None, ""))
