import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellbeam.config.bundle import canonical_json
from bluebellbeam.feeds import (
    adopt_delta,
    adopt_snapshot,
    apply_patch,
    deltas_since,
    diff_parts,
    is_watcher,
    make_feed,
    make_patch,
    prepare_delta,
)

scalars = st.booleans() | st.integers(-9, 9) | st.text(max_size=4)
values = st.recursive(
    scalars | st.lists(scalars, max_size=3),
    lambda inner: st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=8,
)
documents = st.dictionaries(st.text(max_size=3), values, max_size=4)


def parts_of(**documents):
    return {name: canonical_json(value) for name, value in documents.items()}


class TestPatch(unittest.TestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(documents, documents)
    def test_patch_turns_old_into_new(self, old, new):
        self.assertEqual(apply_patch(old, make_patch(old, new)), new)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(documents)
    def test_patch_of_equal_documents_is_empty(self, document):
        self.assertEqual(make_patch(document, document), {})


class TestFeed(unittest.TestCase):
    def setUp(self):
        self.feed = make_feed("config")
        self.first = parts_of(a={"x": 1}, b={"y": 2})
        self.second = parts_of(a={"x": 1, "z": 3}, c={"n": 4})
        adopt_snapshot(self.feed, 1, self.first, 0, "service")

    def test_increment_results_in_the_parts_of_the_snapshot(self):
        delta = diff_parts("config", self.first, self.second, 1, 2)
        raw = msgspec.json.encode(delta)
        received = msgspec.json.decode(raw, type=type(delta))
        parts = prepare_delta(self.feed, received)
        self.assertEqual(parts, self.second)
        adopt_delta(self.feed, received, parts, 5, "peer")
        self.assertEqual((self.feed.version, self.feed.digest), (2, delta.digest))

    def test_increment_from_another_version_is_rejected(self):
        delta = diff_parts("config", self.first, self.second, 2, 3)
        self.assertIsNone(prepare_delta(self.feed, delta))

    def test_altered_increment_is_rejected(self):
        delta = diff_parts("config", self.first, self.second, 1, 2)
        altered = msgspec.structs.replace(delta, patches={"a": msgspec.Raw(b'{"x":9}')})
        self.assertIsNone(prepare_delta(self.feed, altered))

    def test_increment_with_null_value_is_rejected(self):
        with_null = parts_of(a={"x": None}, b={"y": 2})
        delta = diff_parts("config", self.first, with_null, 1, 2)
        self.assertIsNone(prepare_delta(self.feed, delta))

    def test_kept_increments_are_contiguous(self):
        for version in range(2, 90):
            parts = parts_of(a={"x": version})
            adopt_snapshot(self.feed, version, parts, 0, "service")
        self.assertEqual(deltas_since(self.feed, 89), [])
        self.assertIsNone(deltas_since(self.feed, 3))
        chain = deltas_since(self.feed, 80)
        self.assertEqual([d.from_version for d in chain], list(range(80, 89)))

    def test_increment_over_skipped_versions_applies_only_to_its_start_version(self):
        behind = make_feed("config")
        adopt_snapshot(behind, 1, self.first, 0, "service")
        adopt_snapshot(self.feed, 2, self.second, 0, "service")
        adopt_snapshot(self.feed, 9, self.first, 0, "service")
        for version in (3, 5, 8):
            self.assertIsNone(deltas_since(self.feed, version))
        chain = deltas_since(self.feed, 1)
        self.assertEqual(
            [(d.from_version, d.to_version) for d in chain], [(1, 2), (2, 9)]
        )
        self.assertIsNone(prepare_delta(behind, chain[1]))
        for delta in chain:
            parts = prepare_delta(behind, delta)
            adopt_delta(behind, delta, parts, 0, "peer")
        self.assertEqual((behind.version, behind.parts), (9, self.feed.parts))
        self.assertEqual(behind.digest, self.feed.digest)


class TestWatchers(unittest.TestCase):
    def test_another_daemon_watches_when_the_watcher_is_lost(self):
        members = [f"vm-{i}" for i in range(9)]
        chosen = [m for m in members if is_watcher(m, "config", members, 1)]
        self.assertEqual(len(chosen), 1)
        left = [m for m in members if m != chosen[0]]
        after = [m for m in left if is_watcher(m, "config", left, 1)]
        self.assertEqual(len(after), 1)
