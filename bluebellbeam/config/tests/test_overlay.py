import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from bluebellbeam.config import decode_effective
from bluebellbeam.examples import read_example

BASE, _ = read_example("fraserleaf")
RAW = msgspec.json.encode(BASE)
REGIONS = [*BASE["regions"], "moon"]

changes = st.fixed_dictionaries(
    {},
    optional={
        "allowed_regions": st.lists(st.sampled_from(REGIONS), max_size=3),
        "borrow_slots": st.integers(-2, 20),
        "rate_tokens_per_s": st.floats(0, 1e6),
        "models": st.just(["inspect"]),
    },
)
overlays = st.fixed_dictionaries(
    {"site": st.sampled_from([*BASE["sites"], "nowhere"])},
    optional={
        "workspaces": st.dictionaries(
            st.sampled_from([*BASE["workspaces"], "nobody"]), changes, max_size=3
        )
    },
)


class TestOverlay(unittest.TestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(overlays)
    def test_accepted_overlay_never_widens_regions_or_borrowing(self, overlay):
        raw = {"overlay": msgspec.json.encode(overlay)}
        match decode_effective(RAW, raw, overlay["site"]):
            case Failure(faults):
                self.assertTrue(all(str(fault) for _, fault in faults))
            case Success(effective):
                self._check(effective.base)

    def _check(self, merged):
        for name, item in BASE["workspaces"].items():
            workspace = merged.workspaces[name]
            allowed = set(workspace.allowed_regions)
            self.assertLessEqual(allowed, set(item["allowed_regions"]))
            self.assertLessEqual(workspace.borrow_slots, item.get("borrow_slots", 0))
            if workspace.home_region is not None:
                self.assertIn(workspace.home_region, allowed)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=120))
    def test_arbitrary_bytes_are_refused_with_faults(self, raw):
        for base, extra in ((raw, {}), (RAW, {"overlay": raw})):
            match decode_effective(base, extra, "burnaby-hall"):
                case Failure(faults):
                    self.assertTrue(faults)
                case Success(_):
                    self.fail(f"accepted {raw!r}")
