"""Tests of the cell as the client reads it."""

import unittest

from bulrushspur_client import cell_log
from bulrushspur_core.cell import Cell, fold
from bulrushspur_core.snapshots import make_snapshot
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.errors import PlatformDownError
from tests.test_text import TEXT


def make_cell():
    cell = Cell()
    fold(cell, rec.Entry(0, rec.Published(0, TEXT, "ann")))
    fold(cell, rec.Entry(1, rec.KeyGiven("k", "a", "h")))
    return cell


class FoldTest(unittest.TestCase):
    def test_start_of_the_log_is_forgotten(self):
        snapshot = rec.Entry(2, make_snapshot(make_cell(), "n1"))
        withdrawn = rec.Entry(3, rec.KeyWithdrawn("k", "t"))
        log = cell_log._fold_all([snapshot, withdrawn], 2, 4)
        self.assertEqual((log.cell.version, log.cell.keys), (1, {}))
        self.assertEqual((log.offsets["t"], list(log.texts)), (3, [1]))

    def test_stale_snapshot_is_not_believed(self):
        # Offset 2 is forgotten too: it may have withdrawn the key.
        snapshot = rec.Entry(3, make_snapshot(make_cell(), "n1"))
        with self.assertRaisesRegex(PlatformDownError, "forgotten"):
            cell_log._fold_all([snapshot], 3, 4)

    def test_void_publication_is_no_version(self):
        rows = [
            rec.Entry(0, rec.Published(0, TEXT, "ann")),
            rec.Entry(1, rec.Published(0, TEXT, "bob", "t")),
        ]
        log = cell_log._fold_all(rows, 0, 2)
        self.assertEqual((list(log.texts), log.texts[1].author), ([1], "ann"))
        self.assertEqual(log.cell.outcomes, {"t": False})
