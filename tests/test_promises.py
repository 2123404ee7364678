"""Tests of promises: what a voter gives, and what a holder may count on."""

import unittest

from bulrushspur_core.promises import DRIFT_S, LEASE_S, Promises, lease_until_s
from bulrushspur_kernel import messages as msg
from tests.owners import OwnersCell


class PromisesTest(unittest.TestCase):
    def setUp(self):
        self.cell = OwnersCell()
        for name in ("n1", "n2", "n3"):
            self.cell.start(name, "north")
        self.cell.set_roster("north", 1, ["n1", "n2", "n3"], settled=0)
        self.cell.advance(1.0)

    def ask(self, voter, sender="n1", epoch=1):
        """Ask a voter for a promise and return its answer."""
        member = self.cell.nodes[sender].me.member
        request = msg.PromiseRequest("north", epoch, 77, LEASE_S)
        rows = self.cell.nodes[voter].receive(member, request, self.cell.now_s)
        return rows[-1].message

    def left_s(self, name="n1", epoch=1):
        node = self.cell.nodes[name]
        return lease_until_s(node, epoch) - self.cell.now_s

    def test_voter_promises_members_of_its_epoch(self):
        self.assertEqual(self.ask("n2"), msg.Promise("north", 1, 77))

    def test_restarted_voter_is_no_voter(self):
        self.cell.start("n2", "north")
        self.cell.advance(0.6)
        self.assertIsInstance(self.ask("n2"), msg.PromiseRefused)

    def test_answer_of_a_restarted_voter_does_not_count(self):
        self.cell.cut("n1", "n3")
        node, lease = self.cell.nodes["n1"], self.cell.nodes["n1"].state(Promises)
        self.cell.start("n2", "north")
        self.cell.advance(LEASE_S)
        sequence = lease.leases[1].sequence
        promise = msg.Promise("north", 1, sequence)
        node.receive(self.cell.nodes["n2"].me.member, promise, self.cell.now_s)
        self.assertLess(self.left_s(), 0)

    def test_lease_counts_from_the_moment_of_sending(self):
        self.cell.delays = lambda *_: 0.9
        self.cell.advance(6.0)
        self.assertLessEqual(self.left_s(), LEASE_S - DRIFT_S - 1.8 + 0.01)

    def test_lease_needs_a_majority(self):
        self.cell.cut("n1", "n2")
        self.cell.advance(LEASE_S)
        self.assertGreater(self.left_s(), 0)
        self.cell.cut("n1", "n3")
        self.cell.advance(LEASE_S)
        self.assertLess(self.left_s(), 0)

    def test_sealed_voter_promises_nothing_and_tells_what_is_left(self):
        member = self.cell.nodes["n3"].me.member
        self.cell.cut("n1", "n2")
        self.cell.advance(0.5)
        request = msg.SealRequest("north", 1, 2)
        rows = self.cell.nodes["n2"].receive(member, request, self.cell.now_s)
        sealed = rows[-1].message
        self.assertLess(sealed.remaining_s["n1"], LEASE_S - 0.4)
        self.assertGreater(sealed.remaining_s["n1"], LEASE_S - 0.5 - 1.3)
        self.assertIsInstance(self.ask("n2"), msg.PromiseRefused)

    def test_voter_that_knows_a_newer_roster_supports_no_older_one(self):
        self.cell.set_roster("north", 2, ["n2", "n3"], settled=0)
        self.cell.advance(0.6)
        self.assertIsInstance(self.ask("n2"), msg.PromiseRefused)
        self.assertIsInstance(self.ask("n2", "n3", 2), msg.Promise)
        self.assertIsInstance(self.ask("n2", "n1", 2), msg.PromiseRefused)

    def test_process_of_another_domain_is_a_witness(self):
        cell = OwnersCell()
        for name, domain in (("n1", "north"), ("n2", "north"), ("s1", "south")):
            cell.start(name, domain)
        cell.advance(6.0)
        cell.kill("n2")
        cell.advance(LEASE_S)
        self.assertGreater(lease_until_s(cell.nodes["n1"], 1), cell.now_s)
