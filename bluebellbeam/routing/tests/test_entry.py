import unittest

from bluebellbeam.routing import (
    active_entry_count,
    entry_role,
    rank_entries,
    server_subset,
)

MEMBERS = [f"vm-{i}" for i in range(8)]
WORKSPACES = [f"workspace-{i}" for i in range(2000)]


class TestEntryChoice(unittest.TestCase):
    def test_loss_of_a_vm_moves_only_its_workspaces(self):
        remaining = MEMBERS[1:]
        moved = 0
        for name in WORKSPACES:
            before = rank_entries(name, MEMBERS, 1)[0]
            after = rank_entries(name, remaining, 1)[0]
            if before != after:
                self.assertEqual(before, MEMBERS[0])
                moved += 1
        self.assertAlmostEqual(moved / len(WORKSPACES), 1 / 8, delta=0.03)

    def test_backup_takes_over_from_lost_vm(self):
        for name in WORKSPACES[:200]:
            first = rank_entries(name, MEMBERS, 1)[0]
            remaining = [m for m in MEMBERS if m != first]
            successor = rank_entries(name, remaining, 1)[0]
            self.assertEqual(entry_role(successor, name, MEMBERS, 1), "backup")

    def test_number_of_entry_vms_follows_the_weight(self):
        self.assertEqual(active_entry_count(1, 1000, 100), 1)
        self.assertEqual(active_entry_count(100, 1000, 100), 15)
        self.assertEqual(active_entry_count(5, 5, 3), 3)

    def test_turn_rotates_the_active_vms(self):
        firsts = {rank_entries("w", MEMBERS, 3, turn)[0] for turn in range(3)}
        self.assertEqual(len(firsts), 3)
        for turn in range(3):
            self.assertEqual(set(rank_entries("w", MEMBERS, 3, turn)), set(MEMBERS))


class TestSubset(unittest.TestCase):
    def setUp(self):
        self.members = [f"vm-{i}" for i in range(117)]
        self.servers = [f"server-{i}" for i in range(1430)]

    def _subsets(self, members):
        chosen = {m: server_subset(m, members, self.servers, 32) for m in members[:20]}
        return {m: set(names) for m, names in chosen.items()}

    def test_all_servers_of_a_small_region_are_used(self):
        self.assertEqual(server_subset("vm-0", ["vm-0", "vm-1"], ["s"], 32), ["s"])

    def test_subset_size_stays_near_its_target_in_a_large_region(self):
        sizes = [len(names) for names in self._subsets(self.members).values()]
        self.assertLess(max(sizes), 32 * 2.5)
        self.assertGreater(min(sizes), 32 / 2.5)

    def test_loss_of_a_member_changes_few_servers(self):
        before = self._subsets(self.members)
        after = self._subsets([m for m in self.members if m != "vm-50"])
        changed = sum(len(before[m] ^ after[m]) for m in before)
        self.assertLess(changed, 0.1 * sum(len(names) for names in before.values()))
