import unittest

from bluebellbeam.node.tests.harness import server
from bluebellbeam.node.tests.limited_region import LimitedServer
from bluebellbeam.node.tests.test_origin_holders import RollingRegion

MIN_AGE_MS = 1000
"""Age from which a stream has to be known to whatever daemon is left."""


class LossyRegion(RollingRegion):
    """Daemons most of which end at the same moment, and servers of two versions."""

    def __init__(self, count, seed, versions):
        self.server_versions = versions
        self.begun_ms = {}
        super().__init__(count, seed)

    def make_server(self, name):
        version = self.server_versions[int(name[1:]) % len(self.server_versions)]
        return LimitedServer(server(name, "llm", slots=400, version=version))

    def arrival(self, harness, command, sent_ms):
        request = command.request
        if not request.resumes:
            self.begun_ms[request.request_id] = self.now_ms
        return super().arrival(harness, command, sent_ms)

    def lose(self, count):
        """End the first `count` daemons for good; return the streams that they served.

        Only streams of some age are returned.
        """
        lost = set(self.names[:count])
        keys = []
        for vm in lost:
            self.stop(vm)
        for key, (end_ms, vm) in list(self.streams.items()):
            if vm in lost:
                del self.streams[key]
                self._retry(key, end_ms, key)
                if self.now_ms - self.begun_ms[key] >= MIN_AGE_MS:
                    keys.append(key)
        return keys


class TestStreamsAfterALossOfMostDaemons(unittest.TestCase):
    """Guards against origins that only daemons lost at the same moment knew."""

    def check(self, count, lost, versions):
        region = LossyRegion(count, 70 + lost, versions)
        region.run(8000)
        keys = region.lose(lost)
        region.run(4000)
        self.assertGreaterEqual(len(keys), 12)
        goes_on = sum(region.outcomes.get(key, False) for key in keys)
        # LOST of the users' pages: half of the share of new streams that begin.
        self.assertGreaterEqual(goes_on, 0.5 * len(keys))
        if count <= 9:
            self.assertEqual(goes_on, len(keys))

    def test_streams_go_on_at_those_that_are_left(self):
        cases = ((3, 2), (8, 4), (8, 5), (8, 6), (8, 7), (24, 18), (24, 21), (24, 23))
        for count, lost in cases:
            for versions in (("v1",), ("v1", "v2")):
                with self.subTest(count=count, lost=lost, versions=versions):
                    self.check(count, lost, versions)


if __name__ == "__main__":
    unittest.main()
