"""Tests of folding the log."""

import unittest

from bulrushspur_core.cell import Cell, fold
from bulrushspur_kernel import records as rec
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
