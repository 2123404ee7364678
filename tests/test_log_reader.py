"""Tests of reading, repeating and teaching the log, with faults."""

import unittest

from bulrushspur_core.admission import check_admission
from bulrushspur_core.cell import Cell
from bulrushspur_core.log_reader import (
    LogState,
    adopt_cell,
    cell_of,
    fresh_age_s,
    keys_usable,
    outcome_of,
)
from bulrushspur_core.snapshots import make_snapshot
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.errors import ErrorKind
from bulrushspur_kernel.work import Policy, Room, Size, Work
from tests.fakes import make_cell, make_text

RETENTION_S = 60.0


def make_work(kind="place", team="a"):
    return Work(
        "r", team, "coursework", kind, Policy.REQUEST, Size.SMALL, True, 9.0, 0.1,
        Room(1),
    )  # fmt: skip


class LogReaderTest(unittest.TestCase):
    def setUp(self):
        self.fake = make_cell(n1="north", n2="north", s1="south")
        self.fake.log.retention_s = RETENTION_S
        self.fake.append(rec.Published(0, make_text(log_kept_s=RETENTION_S)))
        self.fake.append(rec.KeyGiven("k1", "a", "h"))
        self.fake.append(rec.KeyGiven("k2", "a", "h"))
        self.fake.append(rec.KeyWithdrawn("k2"))
        self.fake.advance(1.0)

    def cell(self, name):
        return cell_of(self.fake.nodes[name])

    def cut_peers(self, name):
        for other in self.fake.nodes:
            self.fake.cuts.add(frozenset((name, other)))

    def test_newcomer_starts_from_a_snapshot_long_after_retention(self):
        self.fake.advance(RETENTION_S * 4)
        self.fake.boot("n3", "north")
        self.cut_peers("n3")
        self.fake.advance(2.0)
        self.assertEqual(self.cell("n3").version, 1)
        self.assertEqual(set(self.cell("n3").keys), {"k1"})
        self.assertIn("k2", self.cell("n3").withdrawn)
        self.assertLess(fresh_age_s(self.fake.nodes["n3"], self.fake.now_s), 2.0)

    def test_snapshots_come_from_one_process_at_a_time(self):
        self.fake.advance(RETENTION_S)
        kept = [one for _, one in self.fake.log.entries]
        snapshots = [one for one in kept if isinstance(one.record, rec.Snapshot)]
        self.assertLessEqual(len(snapshots), 5)
        self.assertGreaterEqual(len(snapshots), 3)

    def test_newcomer_never_starts_from_a_snapshot_that_missed_a_forgotten_record(self):
        # A late append: the snapshot is of before a withdrawal that the log forgot.
        late = make_snapshot(self.cell("n1"), "late")
        for name in ("n1", "n2", "s1"):
            self.fake.no_platform.add(name)
        self.fake.append(rec.KeyWithdrawn("k1"))
        self.fake.advance(RETENTION_S + 1.0)
        self.fake.append(late)
        self.fake.boot("n3", "north")
        self.cut_peers("n3")
        self.fake.advance(2.0)
        self.assertEqual(self.cell("n3").keys, {})
        self.assertIsNone(self.cell("n3").text)
        self.assertGreater(fresh_age_s(self.fake.nodes["n3"], self.fake.now_s), 1e9)

    def test_records_after_as_of_are_folded_on_top_of_a_snapshot(self):
        early = make_snapshot(self.cell("n1"), "early")
        for name in ("n1", "n2", "s1"):
            self.fake.no_platform.add(name)
        self.fake.advance(RETENTION_S + 1.0)
        self.fake.append(rec.KeyWithdrawn("k1"))
        self.fake.append(early)
        self.fake.log.entries.pop(0)
        self.fake.boot("n3", "north")
        self.cut_peers("n3")
        self.fake.advance(1.0)
        self.assertEqual(self.cell("n3").keys, {})
        # The same snapshot with the withdrawal still kept is of use.
        kept = rec.Entry(early.as_of, rec.KeyWithdrawn("k1"))
        self.fake.log.entries.insert(0, (self.fake.now_s, kept))
        self.fake.boot("n4", "north")
        self.cut_peers("n4")
        self.fake.advance(1.0)
        self.assertEqual(self.cell("n4").version, 1)
        self.assertEqual(self.cell("n4").keys, {})

    def test_newcomer_in_an_outage_is_taught_with_age(self):
        self.fake.log.down = True
        self.fake.advance(30.0)
        self.fake.boot("n3", "north")
        self.fake.advance(4.0)
        self.assertEqual(self.cell("n3").version, 1)
        self.assertTrue(keys_usable(self.fake.nodes["n3"], self.fake.now_s))
        oldest = min(
            fresh_age_s(self.fake.nodes[one], self.fake.now_s) for one in ("n1", "n2")
        )
        mine = fresh_age_s(self.fake.nodes["n3"], self.fake.now_s)
        # Teaching each other makes nobody fresher than the last read.
        self.assertGreater(oldest, 33.0)
        self.assertGreaterEqual(mine, oldest)
        self.assertLess(mine, oldest + 1.0)

    def test_ages_add_up_along_the_way(self):
        self.fake.no_platform |= {"n1", "n2"}
        self.fake.cuts.add(frozenset(("n1", "s1")))
        for _ in range(20):
            self.fake.advance(1.0)
            ages = [
                fresh_age_s(self.fake.nodes[one], self.fake.now_s)
                for one in ("s1", "n2", "n1")
            ]
            self.assertLessEqual(ages[0], ages[1])
        # n1 hears of the log only through n2, which hears of it through s1.
        self.assertLess(ages[2], 10.0)

    def test_late_answer_brings_no_freshness(self):
        node = self.fake.nodes["n1"]
        self.fake.log.down = True
        self.fake.advance(20.0)
        before_s = node.state(LogState).fresh_s
        late = msg.LogRecords(self.cell("n1").next_offset, 0.0, b"", 99)
        node.receive(self.fake.nodes["n2"].me.member, late, self.fake.now_s)
        self.assertEqual(node.state(LogState).fresh_s, before_s)

    def test_bad_state_is_ignored_and_counted(self):
        node = self.fake.nodes["n1"]
        sender = self.fake.nodes["n2"].me.member
        for data in (b"\x00junk", b"\x00" * (3 * 1024 * 1024)):
            node.receive(sender, msg.LogRecords(900, 0.0, data, 0), self.fake.now_s)
        self.assertEqual(self.cell("n1").version, 1)
        self.assertEqual(node.metrics.counters["log.bad_state"], 2)

    def test_older_state_is_never_taken(self):
        old = self.cell("n1")
        data = msg.LogRecords(2, 0.0, b"\x80", 0)
        node = self.fake.nodes["n1"]
        node.receive(self.fake.nodes["n2"].me.member, data, self.fake.now_s)
        self.assertIs(self.cell("n1"), old)
        self.assertFalse(adopt_cell(node, Cell(old.next_offset), self.fake.now_s))
        self.assertIs(self.cell("n1"), old)

    def test_lost_answer_is_resolved_by_reading(self):
        self.fake.append(rec.Published(1, make_text(), token="mine"))
        self.fake.append(rec.Published(1, make_text(), token="rival"))
        self.assertIsNone(outcome_of(self.fake.nodes["n1"], "mine"))
        self.fake.advance(1.0)
        self.assertIs(outcome_of(self.fake.nodes["n1"], "mine"), True)
        self.assertIs(outcome_of(self.fake.nodes["n1"], "rival"), False)

    def test_keyed_work_is_refused_when_keys_are_stale_and_open_work_goes_on(self):
        version = self.cell("n1").version
        self.fake.append(rec.Published(version, make_text(keys_fresh_s=30.0)))
        self.fake.advance(1.0)
        self.fake.log.down = True
        self.fake.advance(25.0)
        node, now_s = self.fake.nodes["n1"], self.fake.now_s
        self.assertIsNone(check_admission(node, make_work(), now_s))
        refusal = check_admission(node, make_work(), now_s + 10.0)
        self.assertIs(refusal.kind, ErrorKind.KEYS_STALE)
        self.assertIsNone(check_admission(node, make_work("walk", "open"), now_s + 99))
