"""Tests of who proposes which roster, and how often."""

import unittest

from bulrushspur_core.events import StopAsked
from bulrushspur_core.log_reader import cell_of
from bulrushspur_kernel.records import RosterSet
from tests.owners import OwnersCell, make_owners_cell


class RostersTest(unittest.TestCase):
    def records(self, cell):
        rows = [entry.record for _, entry in cell.log.entries]
        return [
            one for one in rows if isinstance(one, RosterSet) and one.domain == "north"
        ]

    def roster(self, cell, name="n2"):
        return cell_of(cell.nodes[name]).roster("north")

    def test_one_loss_makes_one_append(self):
        cell = make_owners_cell(8)
        before = len(self.records(cell))
        cell.kill("n3")
        cell.advance(8)
        self.assertEqual(len(self.records(cell)) - before, 1)
        self.assertEqual(len(self.roster(cell).members), 7)

    def test_next_in_rank_appends_when_the_first_is_cut_off(self):
        cell = make_owners_cell(4)
        cell.no_platform.add("n1")
        cell.kill("n4")
        cell.advance(8)
        self.assertEqual(len(self.roster(cell).members), 3)

    def test_lost_answer_of_an_append_is_read_from_the_log(self):
        cell = make_owners_cell(3)
        cell.log.lose_answers = True
        cell.kill("n1")
        cell.advance(10)
        self.assertEqual(len(self.records(cell)), 2)
        self.assertEqual(len(self.roster(cell).members), 2)

    def test_roster_follows_when_the_platform_is_back(self):
        cell = make_owners_cell(3)
        cell.log.down = True
        cell.kill("n1")
        cell.advance(300)
        cell.log.down = False
        cell.advance(12)
        self.assertEqual(len(self.roster(cell).members), 2)
        self.assertEqual(len(self.records(cell)), 2)

    def test_graceful_restarts_in_turn_make_no_id_too_old(self):
        cell = make_owners_cell(2)
        for name in ("n1", "n2"):
            cell.carry_out(name, cell.nodes[name].handle(StopAsked(), cell.now_s))
            cell.advance(1.1)
            cell.start(name, "north")
            cell.advance(8)
        self.assertEqual(len(self.roster(cell, "n1").members), 2)
        self.assertEqual(self.roster(cell, "n1").ids_not_before_s, 0.0)

    def test_two_members_that_do_not_hear_each_other_do_not_storm(self):
        # The third hears both, and so each of them is taken in again.
        cell = make_owners_cell(3)
        cell.cut("n1", "n2")
        cell.advance(600)
        self.assertLess(len(self.records(cell)), 3 * (6 + 60))

    def test_halves_that_only_the_platform_connects_do_not_storm(self):
        cell = make_owners_cell(2)
        cell.cut("n1", "n2")
        cell.advance(600)
        self.assertLess(len(self.records(cell)), 6 + 2 * 61 + 2)
        self.assertLess(len(self.records(cell)) / 600, 0.25)

    def test_process_cut_off_from_all_leaves_the_roster_alone(self):
        cell = make_owners_cell(3)
        cell.cut("n1", "n2", "n3", "s1")
        cell.advance(60)
        self.assertEqual([one.name for one in self.roster(cell).members], ["n2", "n3"])
        self.assertEqual(len(self.records(cell)), 2)

    def test_voters_are_odd_with_a_witness_of_another_domain(self):
        cell = make_owners_cell(2)
        self.assertEqual(
            [one.name for one in self.roster(cell).voters], ["n1", "n2", "s1"]
        )
        cell.start("s2", "south")
        cell.kill("s1")
        cell.advance(30)
        self.assertEqual(
            [one.name for one in self.roster(cell).voters], ["n1", "n2", "s2"]
        )

    def test_ids_are_bounded_only_where_both_copies_may_be_lost(self):
        for lost, bounded in ((1, False), (2, True)):
            cell = make_owners_cell(5)
            for i in range(lost):
                cell.kill(f"n{i + 1}")
            cell.advance(8)
            not_before_s = self.roster(cell, "n5").ids_not_before_s
            self.assertEqual(not_before_s > 0, bounded)

    def test_newcomers_join_together(self):
        cell = OwnersCell()
        for i in range(8):
            cell.start(f"n{i + 1}", "north")
        cell.advance(5)
        self.assertEqual(len(self.records(cell)), 1)
        self.assertEqual(len(self.roster(cell).members), 8)
