"""Tests of the availability table of docs/DESIGN.md, a row each."""

import unittest

from tests.owners import make_owners_cell

NORTH = ["n1", "n2", "n3"]
WORKERS = [f"north-w{i}" for i in range(6)]
SETTLED_S = 12.0


class AvailabilityTest(unittest.TestCase):
    def setUp(self):
        self.cell = make_owners_cell(3)
        self.before = self.owners()
        self.assertEqual(set(self.before.values()), set(NORTH))

    def owners(self):
        rv = {}
        for worker in WORKERS:
            names = self.cell.owners(worker)
            self.assertLessEqual(len(names), 1)
            rv[worker] = names[0] if names else None
        return rv

    def assert_owners(self, names):
        self.cell.advance(SETTLED_S)
        self.assertEqual(set(self.owners().values()), set(names))

    def cut_domain(self):
        for name in NORTH:
            self.cell.cut(name, "s1")

    def test_platform_down_for_one(self):
        self.cell.no_platform.add("n1")
        self.cell.advance(60)
        self.assert_owners(NORTH)

    def test_platform_down_for_all(self):
        self.cell.log.down = True
        self.cell.advance(60)
        self.assert_owners(NORTH)
        self.assertEqual(self.owners(), self.before)

    def test_one_cut_off_from_peers(self):
        self.cell.cut("n1", "n2", "n3", "s1")
        self.assert_owners(["n2", "n3"])

    def test_domain_cut_off_from_other_domains(self):
        self.cut_domain()
        self.assert_owners(NORTH)
        self.assertEqual(self.owners(), self.before)

    def test_each_cut_off_from_each(self):
        self.cut_domain()
        self.cell.cut("n1", "n2", "n3")
        self.cell.cut("n2", "n3")
        self.assert_owners([None])
        self.cell.cuts.clear()
        self.assert_owners(NORTH)

    def test_one_cut_off_from_both(self):
        self.cell.no_platform.add("n1")
        self.cell.cut("n1", "n2", "n3", "s1")
        self.assert_owners(["n2", "n3"])

    def test_domain_cut_off_from_both(self):
        self.cut_domain()
        self.cell.no_platform |= set(NORTH)
        self.cell.advance(600)
        self.assert_owners(NORTH)

    def test_one_paused(self):
        self.cell.paused.add("n1")
        self.assert_owners(["n2", "n3"])
        self.cell.resume("n1")
        self.assert_owners(NORTH)

    def test_all_paused(self):
        self.cell.paused |= set(NORTH)
        self.assert_owners([None])
        for name in NORTH:
            self.cell.resume(name)
        self.assert_owners(NORTH)

    def test_one_killed(self):
        self.cell.kill("n1")
        self.assert_owners(["n2", "n3"])

    def test_one_killed_while_the_platform_is_down(self):
        self.cell.log.down = True
        self.cell.kill("n1")
        self.assert_owners([None, "n2", "n3"])
        self.cell.log.down = False
        self.assert_owners(["n2", "n3"])

    def test_two_of_three_killed(self):
        for name in ("n1", "n2"):
            self.cell.kill(name)
        self.assert_owners([None])
        for name in ("n1", "n2"):
            del self.cell.vms[name]
        self.assert_owners(["n3"])

    def test_all_killed(self):
        for name in NORTH:
            self.cell.kill(name)
        self.assert_owners([None])

    def test_one_replaced_at_its_address(self):
        self.cell.start("n1", "north")
        self.assert_owners(NORTH)

    def test_all_replaced_at_their_addresses(self):
        for name in NORTH:
            self.cell.start(name, "north")
        self.assert_owners(NORTH)
