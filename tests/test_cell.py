"""Tests of folding the log."""

import random
import unittest

from bulrushspur_core.cell import Cell, fold
from bulrushspur_kernel import records as rec
from tests.fakes import make_text
from tests.test_text import TEXT


class FoldTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell()

    def fold(self, record):
        return fold(self.cell, rec.Entry(self.cell.next_offset, record))

    def test_first_of_two_racing_publications_wins(self):
        self.assertTrue(self.fold(rec.Published(0, TEXT, token="a")))
        self.assertFalse(self.fold(rec.Published(0, TEXT, token="b")))
        self.assertEqual(self.cell.outcomes, {"a": True, "b": False})

    def test_withdrawn_key_is_never_given_again(self):
        self.assertTrue(self.fold(rec.KeyGiven("k", "a", "h")))
        self.assertTrue(self.fold(rec.KeyWithdrawn("k")))
        self.assertFalse(self.fold(rec.KeyGiven("k", "a", "h")))
        self.assertEqual(self.cell.keys, {})

    def test_first_roster_of_an_epoch_wins(self):
        self.assertTrue(self.fold(rec.RosterSet("north", 1, [], [])))
        self.assertFalse(self.fold(rec.RosterSet("north", 1, [], [])))

    def publish(self, limit, domains=("north", "south")):
        text = make_text(limit, domains)
        self.assertTrue(self.fold(rec.Published(self.cell.version, text)))

    def move(self, count, sequence, taker="south"):
        record = rec.PartsMoved("north", taker, 1, {"a": count}, sequence)
        return self.fold(record)

    def test_first_record_of_a_sequence_uses_it_up(self):
        self.fold(rec.RosterSet("north", 1, [], []))
        self.publish(10)
        self.assertFalse(self.move(6, 1))
        self.publish(20)
        # A copy of the void record lands when it would have been valid.
        self.assertFalse(self.move(6, 1))
        self.assertTrue(self.move(6, 2))
        self.assertFalse(self.move(4, 2))
        self.assertEqual(self.cell.parts["a"], {"north": 4, "south": 16})

    def test_newer_roster_makes_moves_of_the_older_one_void(self):
        self.fold(rec.RosterSet("north", 1, [], []))
        self.publish(10)
        self.fold(rec.RosterSet("north", 2, [], []))
        self.assertFalse(self.move(1, 1))

    def test_raised_limit_goes_first_to_the_domain_that_it_was_taken_from(self):
        self.fold(rec.RosterSet("north", 1, [], []))
        self.publish(10)
        self.move(5, 1)
        self.publish(4)
        self.assertEqual(self.cell.parts["a"], {"north": 0, "south": 4})
        self.publish(9)
        self.assertEqual(self.cell.parts["a"], {"north": 0, "south": 9})
        self.publish(12)
        self.assertEqual(self.cell.parts["a"], {"north": 2, "south": 10})
        self.assertEqual(self.cell.debts, {})
        self.publish(25)
        self.assertEqual(self.cell.parts["a"], {"north": 13, "south": 12})

    def test_limits_are_split_as_if_one_by_one(self):
        rng = random.Random(4)
        domains = tuple(f"d{i}" for i in range(5))
        parts, debts = dict.fromkeys(domains, 0), dict.fromkeys(domains, 0)
        for _ in range(100):
            limit = rng.randrange(1, 40)
            self.publish(limit, domains)
            split_one_by_one(parts, debts, limit)
            self.assertEqual(self.cell.parts["a"], parts)
            owed = {one: count for one, count in debts.items() if count}
            self.assertEqual(self.cell.debts.get("a", {}), owed)


def split_one_by_one(parts, debts, limit):
    """Split a limit the slow way: back to debtors, then to the poorest."""
    for domain in sorted(parts):
        while debts[domain] and sum(parts.values()) < limit:
            parts[domain] += 1
            debts[domain] -= 1
    while sum(parts.values()) < limit:
        parts[min(sorted(parts), key=parts.get)] += 1
    while sum(parts.values()) > limit:
        richest = max(sorted(parts), key=parts.get)
        parts[richest] -= 1
        debts[richest] += 1
