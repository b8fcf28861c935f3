import random
import unittest

from bluebellbeam.origins import (
    choose_holders,
    choose_sources,
    find_copy,
    holder_count,
    make_copy_table,
    merge_copies,
    prune_copies,
    queue_copy,
    take_copies,
)
from bluebellbeam.origins.copies import MAX_COPIES, MAX_COPIES_PER_MESSAGE
from bluebellbeam.origins.table import ORIGIN_TTL_MS
from bluebellbeam.origins.tests.test_holders import make_members, others
from bluebellbeam.routing import StreamOrigin

V1, V2 = StreamOrigin("llm", "v1"), StreamOrigin("llm", "v2")
STREAMS_PER_S = 6
"""Streams that begin at each daemon in the largest fleet, rounded up."""

EXCHANGE_MS = 200
MESSAGES = 2
"""Number of messages in which a daemon takes on a copy, in a large region."""

CONTROL_BYTES_PER_S = 3000
"""Budget for all control at a daemon (the users' target)."""


class TestCopiesOfOrigins(unittest.TestCase):
    def setUp(self):
        self.sent, self.received = make_copy_table(), make_copy_table()

    def exchange(self, now_ms=0):
        merge_copies(self.received, take_copies(self.sent), now_ms)

    def test_copies_of_several_versions_arrive(self):
        rng = random.Random(1)
        keys = {rng.getrandbits(64): rng.choice((V1, V2)) for _ in range(30)}
        for key, origin in keys.items():
            queue_copy(self.sent, key, origin, 1)
        self.exchange()
        for key, origin in keys.items():
            self.assertEqual(find_copy(self.received, key, 0), origin)
        self.assertIsNone(find_copy(self.received, rng.getrandbits(64), 0))

    def test_copy_goes_into_as_many_messages_as_asked_for(self):
        queue_copy(self.sent, 1 << 63, V1, 2)
        self.assertEqual(len(take_copies(self.sent)), 1)
        self.assertEqual(len(take_copies(self.sent)), 1)
        self.assertEqual(take_copies(self.sent), {})

    def test_message_is_bounded_and_takes_the_newest(self):
        keys = [number << 40 for number in range(1000)]
        for key in keys:
            queue_copy(self.sent, key, V1, 1)
        self.exchange()
        self.assertEqual(len(self.received.rows), MAX_COPIES_PER_MESSAGE)
        self.assertIsNotNone(find_copy(self.received, keys[-1], 0))
        self.assertIsNone(find_copy(self.received, keys[0], 0))

    def test_table_is_bounded_in_number_and_time(self):
        for number in range(MAX_COPIES + 400):
            queue_copy(self.sent, number << 40, V1, 1)
            if number % MAX_COPIES_PER_MESSAGE == 0:
                self.exchange()
        while self.sent.outgoing:
            self.exchange()
        self.assertLessEqual(len(self.received.rows), MAX_COPIES)
        key = 7 << 40
        queue_copy(self.sent, key, V2, 1)
        self.received.rows.clear()
        self.exchange(now_ms=5)
        self.assertIsNotNone(find_copy(self.received, key, ORIGIN_TTL_MS))
        self.assertIsNone(find_copy(self.received, key, ORIGIN_TTL_MS + 6))
        prune_copies(self.received, ORIGIN_TTL_MS + 6)
        self.assertEqual(len(self.received.rows), 0)

    def test_malformed_copies_are_left_out(self):
        for text in ("?", "a", "AAAA", "æ"):
            merge_copies(self.received, {"llm": {"v1": text}}, 0)
        self.assertEqual(len(self.received.rows), 0)


class Fleet:
    """Daemons that serve streams and spread copies of their origins.

    Attributes
    ----------
    known : dict of str to set of int
        Streams that each daemon serves or holds.
    streams : list of int
        Keys of all streams, in the order of their begin.
    """

    def __init__(self, shape, seed):
        self.rng = random.Random(seed)
        self.members = make_members(shape)
        self.tables = {row.name: make_copy_table() for row in self.members}
        self.known = {row.name: set() for row in self.members}
        self.streams = []

    def begin_stream(self):
        key = self.rng.getrandbits(64)
        serving = self.rng.choice(self.members)
        count = holder_count(len(self.members))
        held = choose_holders(key, others(self.members, serving), serving, count)
        for name in (serving.name, *held):
            self.known[name].add(key)
            queue_copy(self.tables[name], key, V1, MESSAGES)
        self.streams.append(key)

    def exchange(self):
        """Let each daemon exchange copies with a random one of its region."""
        by_region = {}
        for row in self.members:
            by_region.setdefault(row.region, []).append(row.name)
        for names in by_region.values():
            for name in names:
                other = self.rng.choice([item for item in names if item != name])
                for sender, receiver in ((name, other), (other, name)):
                    copies = take_copies(self.tables[sender])
                    merge_copies(self.tables[receiver], copies, 0, MESSAGES)

    def run(self, duration_ms):
        begun = 0
        for now_ms in range(0, duration_ms, EXCHANGE_MS):
            due = STREAMS_PER_S * len(self.members) * (now_ms + EXCHANGE_MS) // 1000
            for _ in range(due - begun):
                self.begin_stream()
            begun = due
            self.exchange()

    def is_known(self, name, key):
        known = find_copy(self.tables[name], key, 0) is not None
        return known or key in self.known[name]

    def found_share(self, left, keys):
        """Return the share of streams that lookups at the members `left` find."""
        found = 0
        for key in keys:
            asking = self.rng.choice(left)
            sources = choose_sources(key, others(left, asking), asking)
            found += any(self.is_known(name, key) for name in (asking.name, *sources))
        return found / len(keys)


class TestLossOfManyDaemonsOfALargeFleet(unittest.TestCase):
    """Guards against origins that only daemons lost at the same moment knew."""

    SHAPES = {
        24: [[4, 4], [4, 4], [4, 4]],
        62: [[11, 10], [11, 10], [10, 10]],
        195: [[24, 24], [24, 24], [24, 24], [24, 27]],
        350: [[11, 11, 11, 11]] * 7 + [[14, 14, 14]],
    }

    def test_streams_are_found_whatever_share_is_lost_at_once(self):
        for size, shape in self.SHAPES.items():
            fleet = Fleet(shape, size)
            self.assertEqual(len(fleet.members), size)
            fleet.run(3000)
            # Streams that began within the last second may be known to few.
            old = fleet.streams[: len(fleet.streams) * 2 // 3]
            keys = fleet.rng.sample(old, min(300, len(old)))
            for lost_share in (0.5, 0.75, 0.9, 0.95):
                with self.subTest(size=size, lost_share=lost_share):
                    count = max(1, round(size * (1 - lost_share)))
                    left = fleet.rng.sample(fleet.members, count)
                    # LOST of the users' pages: half of what begins anew.
                    self.assertGreaterEqual(fleet.found_share(left, keys), 0.5)

    def test_bytes_stay_within_the_budget_for_control(self):
        table = make_copy_table()
        for number in range(400):
            queue_copy(table, number << 40, V1, MESSAGES)
        size = len(str(take_copies(table)))
        # In a large region: a message and its response, sent and received at intervals.
        self.assertLess(size * 2 * 1000 / EXCHANGE_MS, CONTROL_BYTES_PER_S)


if __name__ == "__main__":
    unittest.main()
