"""Tests of what a lowered limit leaves running, and what others keep free for it."""

import random
import unittest

from bulrushspur_core import limits
from bulrushspur_core.cell import Cell, Roster, fold
from bulrushspur_core.debts import usable_part
from bulrushspur_core.limits import Limits
from bulrushspur_core.log_reader import cell_of
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel import records as rec
from tests import test_limits


class UsablePartTest(unittest.TestCase):
    def make_cell(self, parts, debts):
        cell = Cell(parts={"a": parts}, debts={"a": debts})
        cell.rosters = {domain: [Roster(1)] for domain in parts}
        return cell

    def test_one_debt_is_shared_out(self):
        cell = self.make_cell({"n": 4, "s": 4, "w": 4}, {"n": 3})
        usable = {one: usable_part(cell, "a", one) for one in "nsw"}
        self.assertEqual(usable, {"n": 4, "s": 2, "w": 3})

    def test_no_start_goes_above_the_limit_whatever_the_others_run(self):
        rng = random.Random(5)
        for _ in range(2000):
            names = "abcdefgh"[: rng.randint(1, 8)]
            parts = {one: rng.randint(0, 6) for one in names}
            debts = {one: rng.randint(0, 5) for one in names if rng.random() < 0.4}
            cell = self.make_cell(parts, dict(debts))
            for starter in names:
                most = usable_part(cell, "a", starter)
                others = sum(
                    parts[one] + debts[one]
                    if debts.get(one)
                    else usable_part(cell, "a", one)
                    for one in names
                    if one != starter
                )
                if most > 0:
                    self.assertLessEqual(most + others, sum(parts.values()))

    def test_domain_that_never_had_a_roster_owes_nothing(self):
        cell = self.make_cell({"n": 4, "s": 4}, {"n": 3})
        del cell.rosters["n"]
        self.assertEqual(usable_part(cell, "a", "s"), 4)

    def test_record_of_an_older_text_pays_nothing(self):
        cell = self.make_cell({"n": 4, "s": 4}, {"n": 3})
        cell.version = 2
        late = rec.DebtsPaid("n", 1, 1, {"a": 0})
        self.assertFalse(fold(cell, rec.Entry(0, late)))
        self.assertTrue(fold(cell, rec.Entry(1, rec.DebtsPaid("n", 1, 2, {"a": 1}))))
        self.assertEqual(cell.debts, {"a": {"n": 1}})
        self.assertTrue(fold(cell, rec.Entry(2, rec.DebtsPaid("n", 1, 2, {"a": 0}))))
        self.assertEqual(cell.debts, {})


class LoweredLimitTest(unittest.TestCase):
    setUp = test_limits.LimitsTest.setUp
    publish = test_limits.LimitsTest.publish
    views = test_limits.LimitsTest.views
    start = test_limits.LimitsTest.start
    add_task = test_limits.LimitsTest.add_task
    start_for = test_limits.LimitsTest.start_for
    end = test_limits.LimitsTest.end
    running = test_limits.LimitsTest.running

    def test_others_keep_free_what_a_domain_runs_above_its_part(self):
        self.start_for("n1", 5, 2.0)
        self.publish(6)
        self.fake.advance(2.0)
        # North runs 5 of its 3; south may use only 1 of its 3.
        self.assertEqual(self.start_for("s1", 3, 4.0), 2)
        self.assertEqual(self.running(), 6)
        self.end("n1", 3)
        self.assertEqual(self.start_for("s1", 2, 4.0), 0)

    def test_idle_permits_of_the_higher_part_are_given_up(self):
        self.start_for("n1", 5, 2.0)
        self.end("n1", 4)
        self.publish(2)
        self.fake.advance(0.6)
        held = self.fake.nodes["n1"].state(Limits).held
        self.assertEqual(held.get("a"), 1)

    def test_grant_from_the_parts_of_an_older_text_is_none(self):
        node = self.fake.nodes["n1"]
        version = cell_of(node).version
        state = node.state(Limits)

        def grant(node, now_s):
            sequence = state.grant_sequence + 1
            old = msg.PermitGrant(1, sequence, {"a": 1}, version - 1)
            limits.on_permit_grant(node, node.me.member, old, now_s)

        self.fake.run("n1", grant)
        self.assertFalse(state.held.get("a"))
