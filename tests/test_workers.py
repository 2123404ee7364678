"""Tests of what becomes of workers that leave, go and come back."""

import unittest

from bulrushspur_core import events
from bulrushspur_core.workers import FORGET_AFTER_S, Workers
from tests.owners import make_owners_cell


class WorkersTest(unittest.TestCase):
    def setUp(self):
        self.cell = make_owners_cell(2, workers=2)
        self.name = self.cell.owners("north-w0")[0]
        self.other = "n1" if self.name == "n2" else "n2"

    def view(self):
        return self.cell.nodes[self.name].state(Workers).views["north-w0"]

    def test_owner_is_told_once_that_a_worker_leaves(self):
        self.cell.vms["north-w0"].leaving = True
        self.cell.advance(3)
        self.assertEqual(len(self.cell.got(self.name, events.WorkerLeaving)), 1)
        self.assertTrue(self.view().owned)

    def test_owner_without_the_platform_hears_of_it_from_a_member(self):
        self.cell.no_platform.add(self.name)
        self.cell.advance(1)
        self.cell.vms["north-w0"].leaving = True
        self.cell.advance(3)
        self.assertTrue(self.view().vm.leaving)
        self.cell.vms["north-w0"].leaving = False
        self.cell.advance(3)
        self.assertFalse(self.view().vm.leaving)

    def test_older_list_of_a_member_does_not_undo_a_younger_one(self):
        self.cell.no_platform.add(self.other)
        self.cell.vms["north-w0"].leaving = True
        for _ in range(20):
            self.cell.advance(0.5)
            if self.view().vm.leaving:
                break
        self.cell.advance(5)
        self.assertTrue(self.view().vm.leaving)

    def test_worker_that_is_gone_is_dropped_and_gained_when_it_is_back(self):
        vm = self.cell.vms.pop("north-w0")
        self.cell.advance(1.5)
        self.assertEqual(len(self.cell.got(self.name, events.WorkerGone)), 1)
        self.assertFalse(self.view().owned)
        vm.address = "elsewhere"
        self.cell.vms["north-w0"] = vm
        self.cell.advance(1.5)
        self.assertTrue(self.view().owned)
        self.assertEqual(self.view().vm.address, "elsewhere")

    def test_other_vm_of_the_same_name_is_asked_afresh(self):
        self.cell.vms["north-w0"].address = "elsewhere"
        self.cell.advance(1.5)
        self.assertEqual(len(self.cell.got(self.name, events.WorkerGone)), 1)
        self.assertEqual(len(self.cell.got(self.name, events.WorkerDropped)), 1)
        self.assertTrue(self.view().owned)

    def test_worker_long_gone_is_forgotten(self):
        del self.cell.vms["north-w0"]
        self.cell.advance(FORGET_AFTER_S + 5)
        self.assertNotIn("north-w0", self.cell.nodes[self.name].state(Workers).views)
