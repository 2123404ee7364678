"""Tests of when the authority of earlier owners is over."""

import unittest

from bulrushspur_core import events
from bulrushspur_core.promises import DRIFT_S, LEASE_S, TRANSIT_S, find_roster
from bulrushspur_core.takeover import NEVER, over_s, settled_epoch
from bulrushspur_core.workers import Workers
from bulrushspur_kernel import messages as msg
from tests.owners import make_owners_cell, make_task


class TakeoverTest(unittest.TestCase):
    def setUp(self):
        self.cell = make_owners_cell(3)
        self.old = {one: self.cell.nodes[one].me.member for one in ("n1", "n2", "n3")}

    def left_s(self, owner="n1", epoch=1):
        """Tell how long n2 has to wait for an owner of an epoch."""
        node = self.cell.nodes["n2"]
        roster = find_roster(node, "north", epoch)
        return over_s(node, roster, self.old[owner]) - self.cell.now_s

    def test_silence_alone_is_no_evidence(self):
        self.cell.kill("n1")
        self.cell.kill("n3")
        self.cell.set_roster("north", 2, ["n2"], settled=0)
        self.cell.advance(30)
        self.assertEqual(self.left_s(), NEVER)
        self.assertEqual(self.cell.owners("north-w4"), [])

    def test_voters_gone_from_the_list_count_after_a_full_lease(self):
        for name in ("n1", "n3"):
            self.cell.kill(name)
            del self.cell.vms[name]
        self.cell.set_roster("north", 2, ["n2"], settled=0)
        self.cell.advance(3.0)
        self.assertEqual(self.left_s(), NEVER)
        self.cell.advance(2.6)
        self.assertGreater(self.left_s(), LEASE_S)
        self.cell.advance(LEASE_S + DRIFT_S + TRANSIT_S + 0.5)
        self.assertEqual(self.cell.owners("north-w4"), ["n2"])

    def test_restarted_voters_count_after_a_full_lease(self):
        for name in ("n1", "n3"):
            self.cell.start(name, "north")
        self.cell.set_roster("north", 2, ["n1", "n2", "n3"], settled=0)
        self.cell.advance(1.0)
        self.assertGreater(self.left_s(), LEASE_S - 1.0)
        self.assertLess(self.left_s(), LEASE_S + DRIFT_S + TRANSIT_S)

    def test_successor_waits_for_a_holder_that_knows_of_nothing(self):
        # n1 hears neither the log nor the successor, and still has n3's promises.
        self.cell.no_platform |= {"n1", "n3"}
        self.cell.cut("n1", "n2", "s1")
        self.cell.cut("n3", "n2", "s1")
        self.cell.set_roster("north", 2, ["n2", "n3"], settled=0)
        self.cell.advance(20)
        self.assertEqual(self.cell.owners("north-w4"), ["n1"])
        self.cell.cuts.discard(frozenset(("n2", "n3")))
        self.cell.no_platform.discard("n3")
        self.cell.watch = lambda: self.assertLessEqual(
            len(self.cell.owners("north-w4")), 1
        )
        self.cell.advance(8)
        self.assertEqual(self.cell.owners("north-w4"), ["n2"])

    def test_each_epoch_since_the_settled_one_has_to_be_over(self):
        self.cell.no_platform.add("n1")
        self.cell.cut("n1", "n2", "n3", "s1")
        self.cell.set_roster("north", 2, ["n2", "n3"], settled=0)
        self.cell.set_roster("north", 3, ["n2", "n3"], settled=0)
        self.cell.advance(0.8)
        self.assertGreater(self.left_s(epoch=1), 0)
        self.assertNotIn("n2", self.cell.owners("north-w4"))
        self.assertEqual(settled_epoch(self.cell.nodes["n2"], self.cell.now_s), 0)
        self.cell.advance(6)
        self.assertEqual(settled_epoch(self.cell.nodes["n2"], self.cell.now_s), 2)

    def test_listing_asked_before_the_takeover_is_not_taken(self):
        self.cell.kill("n1")
        self.cell.set_roster("north", 2, ["n2", "n3"], settled=0)
        asked_s = self.cell.now_s
        node = self.cell.nodes["n2"]
        self.cell._list_tasks = lambda name, effect: None
        while node.state(Workers).views["north-w4"].ready_s is None:
            self.cell.advance(0.02)
        stale = events.TasksListed("north-w4", [], {}, asked_s)
        node.handle(stale, self.cell.now_s)
        view = node.state(Workers).views["north-w4"]
        self.assertFalse(view.owned)
        fresh = events.TasksListed("north-w4", [make_task("t1")], {}, self.cell.now_s)
        node.handle(fresh, self.cell.now_s)
        self.assertTrue(view.owned)
        self.assertEqual(list(view.tasks), ["t1"])

    def test_release_needs_no_wait_but_counts_for_its_sender_only(self):
        node = self.cell.nodes["n2"]
        self.cell.set_roster("north", 2, ["n2", "n3"], settled=0)
        self.cell.drops = lambda sender, to, message: isinstance(
            message, msg.Released | msg.Sealed
        )
        self.cell.advance(0.6)
        foreign = msg.Released("north", 2, {"north-w4": []})
        node.receive(self.old["n3"], foreign, self.cell.now_s)
        self.cell.advance(0.6)
        self.assertEqual(self.cell.owners("north-w4"), [])
        node.receive(self.old["n1"], foreign, self.cell.now_s)
        self.cell.advance(0.6)
        self.assertEqual(self.cell.owners("north-w4"), ["n2"])
