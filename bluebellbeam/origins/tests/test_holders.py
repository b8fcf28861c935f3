import random
import unittest

from bluebellbeam.membership.table import Member
from bluebellbeam.origins import choose_holders, choose_sources, holder_count


def make_members(shape):
    """Return members for `shape`: regions, each a list of domain sizes."""
    members = []
    for region, domains in enumerate(shape):
        for domain, size in enumerate(domains):
            for number in range(size):
                name = f"vm-{region}-{domain}-{number}"
                place = (f"region-{region}", f"domain-{region}-{domain}")
                members.append(Member(name, *place, f"{name}:1", f"{name}:2"))
    return members


def others(members, *gone):
    return [row for row in members if row not in gone]


SHAPES = (
    [[3], [2], [1]],
    [[4], [3], [2]],
    [[8, 8, 8], [10, 9], [7, 6, 6]],
    [[24, 24], [24, 24], [24, 24], [24, 27]],
)
KEYS = 300


class TestHoldersOfAnOrigin(unittest.TestCase):
    def found_share(self, shape, resume_after_loss):
        """Return the share of origins that `resume_after_loss` leaves to be found.

        It maps members, serving daemon and random generator to the members that are
        left and the daemon that looks for the origin.
        """
        rng = random.Random(30)
        members = make_members(shape)
        found = 0
        for key in range(KEYS):
            serving = rng.choice(members)
            holders = choose_holders(key, others(members, serving), serving)
            self.assertNotIn(serving.name, holders)
            self.assertLessEqual(len(holders), 2)
            left, asking = resume_after_loss(members, serving, rng)
            knowing = {*holders, serving.name} & {row.name for row in left}
            sources = choose_sources(key, others(left, asking), asking)
            self.assertLess(len(sources), 2 * len(members) ** 0.5 + 8)
            found += bool(knowing & {*sources, asking.name})
        return found / KEYS

    def test_origin_is_found_after_the_loss_of_the_serving_daemon(self):
        def lose_daemon(members, serving, rng):
            left = others(members, serving)
            return left, rng.choice(left)

        def lose_daemon_unnoticed(members, serving, rng):
            return members, rng.choice(others(members, serving))

        for shape in SHAPES:
            self.assertEqual(self.found_share(shape, lose_daemon), 1.0, shape)
            share = self.found_share(shape, lose_daemon_unnoticed)
            self.assertEqual(share, 1.0, shape)

    def test_origin_is_found_after_the_loss_of_a_failure_domain(self):
        def lose_domain(members, serving, rng):
            left = [r for r in members if r.failure_domain != serving.failure_domain]
            return left, rng.choice(left)

        for shape in SHAPES:
            self.assertEqual(self.found_share(shape, lose_domain), 1.0, shape)

    def test_origin_is_found_within_a_region_that_is_cut_off(self):
        def cut_region(members, serving, rng):
            left = [row for row in members if row.region == serving.region]
            left = others(left, serving) if len(left) > 1 else left
            return left, rng.choice(left)

        for shape in SHAPES:
            self.assertEqual(self.found_share(shape, cut_region), 1.0, shape)

    def test_small_fleet_has_a_holder_in_each_region(self):
        members = make_members([[2, 1], [3], [2]])
        for serving in members:
            rows = others(members, serving)
            count = holder_count(len(members))
            holders = choose_holders(30, rows, serving, count)
            regions = [row.region for row in rows if row.name in holders]
            self.assertEqual(sorted(regions), ["region-0", "region-1", "region-2"])

    def test_large_fleet_has_no_more_than_two_holders(self):
        members = make_members(SHAPES[3])
        count = holder_count(len(members))
        holders = choose_holders(30, members[1:], members[0], count)
        self.assertEqual(len(holders), 2)

    def test_single_daemon_has_no_holder(self):
        serving = make_members([[1]])[0]
        self.assertEqual(choose_holders(1, [], serving), [])
        self.assertEqual(choose_sources(1, [], serving), [])


if __name__ == "__main__":
    unittest.main()
