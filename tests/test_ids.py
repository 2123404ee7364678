"""Tests of request ids: claims, copies, deaths, lost messages."""

import random
import unittest
from unittest import mock

from bulrushspur_core import events, id_records, ids
from bulrushspur_core.id_records import IdRecords
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.snapshots import make_snapshot
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.errors import ErrorKind, Ran
from tests.fakes import WALL_OFFSET_S, make_cell, make_text


class IdsTest(unittest.TestCase):
    def setUp(self):
        self.fake = make_cell(n1="north", n2="north", n3="north", s1="south")
        self.fake.append(rec.Published(0, make_text(ids_kept_s=100.0)))
        self.fake.set_roster("north", 1, ["n1", "n2", "n3"])
        self.fake.set_roster("south", 1, ["s1"])
        self.fake.advance(2.0)
        self.count = 0

    def make_id(self):
        return self.fake.run("n1", ids.make_id)

    def claim(self, door, request_id, wait_s=0.5):
        self.count += 1
        ticket = f"t{self.count}"
        self.fake.run(
            door, lambda node, now_s: ids.claim(node, ticket, request_id, "d", now_s)
        )
        self.fake.advance(wait_s)
        return self.outcome(door, ticket)

    def outcome(self, door, ticket):
        rows = [
            one for one in self.fake.got(door, events.IdSettled) if one.ticket == ticket
        ]
        self.assertLessEqual(len(rows), 1)
        return rows[0] if rows else None

    def homes(self, request_id):
        return ids.homes_of(self.fake.nodes["s1"], request_id)

    def set_state(self, door, request_id, state):
        self.fake.run(
            door, lambda node, now_s: ids.set_state(node, request_id, state, now_s)
        )
        self.fake.advance(0.2)

    def records(self, name):
        return self.fake.nodes[name].state(IdRecords).by_id

    def test_first_claim_is_copied_before_it_is_answered(self):
        request_id = self.make_id()
        home, copy = self.homes(request_id)
        self.fake.drops = lambda sender, to, m: isinstance(m, msg.CopyIds)
        self.assertIsNone(self.claim("s1", request_id, 1.0))
        self.fake.drops = lambda sender, to, m: False
        self.fake.advance(1.0)
        self.assertTrue(self.outcome("s1", "t1").fresh)
        for name in (home, copy):
            self.assertEqual(self.records(name)[request_id].state, "claimed")

    def test_second_door_meets_the_first_record(self):
        request_id = self.make_id()
        self.assertTrue(self.claim("s1", request_id).fresh)
        again = self.claim("n2", request_id)
        self.assertFalse(again.fresh)
        self.assertIs(again.refusal.kind, ErrorKind.ID_USED)
        self.assertIs(again.refusal.ran, Ran.MAYBE)
        self.set_state("s1", request_id, "done")
        self.assertIs(self.claim("s1", request_id).refusal.ran, Ran.YES)

    def test_not_run_frees_the_id_for_one_claim(self):
        request_id = self.make_id()
        self.claim("s1", request_id)
        self.set_state("s1", request_id, "not_run")
        self.assertTrue(self.claim("n2", request_id).fresh)
        self.assertFalse(self.claim("s1", request_id).fresh)

    def test_only_the_door_that_claimed_frees_an_id(self):
        request_id = self.make_id()
        self.claim("s1", request_id)
        self.claim("n2", request_id)
        self.set_state("n2", request_id, "not_run")
        self.assertFalse(self.claim("n3", request_id).fresh)

    def test_late_not_run_of_an_earlier_claim_frees_nothing(self):
        request_id = self.make_id()
        self.claim("s1", request_id)
        home = self.fake.nodes[self.homes(request_id)[0]]
        first = self.records(home.me.name)[request_id]
        self.set_state("s1", request_id, "not_run")
        self.assertTrue(self.claim("s1", request_id).fresh)
        state = msg.IdState(request_id, "not_run", "s1", first.ticket)
        sender = self.fake.nodes["s1"].me.member
        home.receive(sender, msg.SetIdStates(99, [state]), self.fake.now_s)
        self.assertFalse(self.claim("n2", request_id).fresh)

    def test_claim_waits_for_the_copy_of_its_own_record(self):
        request_id = self.make_id()
        self.fake.delays = lambda sender, to, m: (
            0.1 if isinstance(m, msg.CopyIds) else 0.002
        )
        self.claim("s1", request_id)
        self.fake.run(
            "s1", lambda node, now_s: ids.set_state(node, request_id, "not_run", now_s)
        )
        self.fake.advance(0.02)
        self.assertIsNone(self.claim("n2", request_id, 0.12))
        self.fake.advance(0.2)
        self.assertTrue(self.outcome("n2", "t2").fresh)

    def test_late_copy_never_replaces_a_newer_record(self):
        request_id = self.make_id()
        self.claim("s1", request_id)
        home, copy = self.homes(request_id)
        old = self.records(copy)[request_id]
        self.set_state("s1", request_id, "done")
        late = msg.CopyIds(1, 99, [old])
        sender = self.fake.nodes[home].me.member
        self.fake.nodes[copy].receive(sender, late, self.fake.now_s)
        self.assertEqual(self.records(copy)[request_id].state, "done")

    def test_lost_and_doubled_messages(self):
        rng = random.Random(3)
        self.fake.drops = lambda sender, to, m: rng.random() < 0.3
        rows = [self.make_id() for _ in range(40)]
        for request_id in rows:
            self.claim("s1", request_id, 0.0)
            self.claim("n2", request_id, 0.0)
        self.fake.advance(9.0)
        for i in range(40):
            both = [
                self.outcome("s1", f"t{2 * i + 1}"),
                self.outcome("n2", f"t{2 * i + 2}"),
            ]
            self.assertLessEqual(sum(one.fresh for one in both), 1)

    def test_home_that_dies_leaves_the_record_with_the_copy(self):
        rows = [self.make_id() for _ in range(30)]
        for request_id in rows:
            self.claim("s1", request_id, 0.0)
        self.fake.advance(1.0)
        self.fake.kill("n1")
        self.fake.set_roster("north", 2, ["n2", "n3"])
        self.fake.advance(2.0)
        for request_id in rows:
            self.assertIs(self.claim("n2", request_id).refusal.kind, ErrorKind.ID_USED)
        self.assertTrue(self.claim("n2", self.fake.run("n2", ids.make_id)).fresh)
        for request_id in rows:
            for name in self.homes(request_id):
                self.assertIn(request_id, self.records(name))

    def test_home_answers_nothing_before_it_has_all_records(self):
        rows = [self.make_id() for _ in range(30)]
        for request_id in rows:
            self.claim("s1", request_id, 0.0)
        self.fake.advance(1.0)
        self.fake.drops = lambda sender, to, m: (
            isinstance(m, msg.CopyIds) and to == "n4"
        )
        self.fake.boot("n4", "north")
        self.fake.set_roster("north", 2, ["n1", "n2", "n3", "n4"])
        self.fake.advance(2.0)
        moved = next(one for one in rows if self.homes(one)[0] == "n4")
        self.assertIsNone(self.claim("n2", moved, 3.0))
        self.fake.drops = lambda sender, to, m: False
        self.fake.advance(2.0)
        refusal = self.outcome("n2", f"t{self.count}").refusal
        self.assertIs(refusal.kind, ErrorKind.ID_USED)

    def test_newcomer_learns_from_others_who_was_lost(self):
        rows = [self.make_id() for _ in range(30)]
        for request_id in rows:
            self.claim("s1", request_id, 0.0)
        self.fake.advance(1.0)
        self.fake.drops = lambda sender, to, m: isinstance(m, msg.CopyIds)
        self.fake.kill("n1")
        self.fake.set_roster("north", 2, ["n2", "n3"])
        self.fake.set_roster("north", 3, ["n2", "n3"], settled=2)
        self.fake.advance(1.0)
        self.fake.kill("n2")
        # The newcomer reads nothing of the first roster.
        self.fake.log.entries.clear()
        self.fake.append(make_snapshot(cell_of(self.fake.nodes["n3"]), ""))
        self.fake.boot("n4", "north")
        self.fake.set_roster("north", 4, ["n3", "n4"], settled=3)
        self.fake.advance(1.0)
        self.fake.drops = lambda sender, to, m: False
        self.fake.advance(2.0)
        for request_id in rows:
            self.assertFalse(self.claim("s1", request_id).fresh)

    def test_ids_that_lost_both_copies_are_refused(self):
        rows = [self.make_id() for _ in range(30)]
        for request_id in rows:
            self.claim("s1", request_id, 0.0)
        self.fake.advance(1.0)
        self.fake.kill("n1")
        self.fake.kill("n2")
        self.fake.set_roster("north", 2, ["n3"])
        self.fake.advance(2.0)
        for request_id in rows:
            refused = self.claim("s1", request_id)
            self.assertFalse(refused.fresh)
            self.assertIs(refused.refusal.ran, Ran.MAYBE)
        self.fake.advance(3.0)
        self.assertTrue(self.claim("s1", self.fake.run("n3", ids.make_id)).fresh)

    def test_members_gone_one_after_the_other_count_until_records_are_shared(self):
        rows = [self.make_id() for _ in range(30)]
        for request_id in rows:
            self.claim("s1", request_id, 0.0)
        self.fake.advance(1.0)
        self.fake.drops = lambda sender, to, m: isinstance(m, msg.CopyIds)
        self.fake.kill("n1")
        self.fake.set_roster("north", 2, ["n2", "n3"])
        self.fake.advance(1.0)
        self.fake.kill("n2")
        self.fake.set_roster("north", 3, ["n3"], settled=2)
        self.fake.advance(2.0)
        for request_id in rows:
            self.assertFalse(self.claim("s1", request_id).fresh)

    def test_restarts_in_turn_of_two_members_lose_nothing(self):
        self.fake.set_roster("north", 2, ["n1", "n2"])
        self.fake.advance(1.0)
        old = self.make_id()
        self.assertTrue(self.claim("s1", old).fresh)
        unclaimed = self.make_id()
        for step, name in enumerate(("n1", "n2")):
            stays = "n2" if name == "n1" else "n1"
            self.fake.set_roster("north", 3 + 2 * step, [stays])
            self.fake.kill(name)
            self.fake.advance(1.0)
            self.fake.boot(name, "north", f"b{step + 2}")
            self.fake.advance(1.0)
            self.fake.set_roster("north", 4 + 2 * step, ["n1", "n2"])
            self.fake.advance(2.0)
            self.assertIs(self.claim("s1", old).refusal.kind, ErrorKind.ID_USED)
        self.assertTrue(self.claim("s1", unclaimed).fresh)

    def test_unreachable_home_is_told_in_time(self):
        request_id = self.make_id()
        for name in ("n1", "n2", "n3"):
            self.fake.cuts.add(frozenset((name, "s1")))
        refusal = self.claim("s1", request_id, 8.5).refusal
        self.assertIs(refusal.kind, ErrorKind.HOME_UNREACHABLE)
        self.assertIs(refusal.ran, Ran.MAYBE)
        self.fake.cuts.clear()
        self.fake.advance(1.0)
        self.assertTrue(self.claim("n2", request_id).fresh)

    def test_late_answer_settles_no_other_claim(self):
        request_id = self.make_id()
        self.fake.delays = lambda sender, to, m: (
            9.0 if isinstance(m, msg.Claimed) else 0.002
        )
        self.claim("s1", request_id, 8.5)
        self.fake.delays = lambda sender, to, m: 0.002
        self.assertTrue(self.claim("n2", request_id, 0.2).fresh)
        self.fake.drops = lambda sender, to, m: isinstance(m, msg.ClaimId)
        self.assertIsNone(self.claim("s1", request_id, 2.0))

    def test_old_ids_are_refused_and_forgotten(self):
        request_id = self.make_id()
        self.claim("s1", request_id)
        self.fake.advance(120.0)
        self.assertIs(self.claim("n2", request_id).refusal.kind, ErrorKind.ID_USED)
        self.fake.advance(60.0)
        refusal = self.claim("n2", request_id).refusal
        self.assertIs(refusal.kind, ErrorKind.ID_EXPIRED)
        self.assertIs(refusal.ran, Ran.MAYBE)
        self.assertEqual(self.records(self.homes(request_id)[0]), {})
        # Keeping ids for longer from now on brings no forgotten id back.
        self.fake.append(rec.Published(1, make_text(ids_kept_s=1000.0)))
        self.fake.advance(1.0)
        self.assertIs(self.claim("n2", request_id).refusal.kind, ErrorKind.ID_EXPIRED)

    def test_full_home_refuses_new_ids_only(self):
        request_id = self.make_id()
        self.claim("s1", request_id)
        with mock.patch.object(id_records, "RECORDS_AT_MOST", 0):
            refusal = self.claim("s1", self.make_id()).refusal
            self.assertIs(refusal.kind, ErrorKind.QUEUE_FULL)
            self.assertIs(refusal.ran, Ran.NO)
            again = self.claim("s1", request_id).refusal
            self.assertIs(again.kind, ErrorKind.ID_USED)

    def test_query_tells_the_state(self):
        request_id = self.make_id()
        self.claim("s1", request_id)
        self.set_state("s1", request_id, "started")
        self.fake.run("n2", lambda n, now_s: ids.query(n, "q", request_id, now_s))
        self.fake.advance(0.2)
        found = self.fake.got("n2", events.IdFound)[0]
        self.assertEqual((found.ticket, found.record.state), ("q", "started"))

    def test_ids_that_were_not_made_here_are_refused(self):
        for bad in ("", "north", "north~x~1", "north~²~1", "north~1~" + "a" * 200):
            refused = self.claim("s1", bad)
            self.assertIs(refused.refusal.kind, ErrorKind.ID_NEEDED, bad)
        future = f"north~{int(WALL_OFFSET_S) + 9000}~1"
        self.assertIs(self.claim("s1", future).refusal.kind, ErrorKind.ID_EXPIRED)

    def test_burst_of_claims_is_copied_in_few_messages(self):
        before = self.fake.sent
        for _ in range(300):
            self.claim("s1", self.make_id(), 0.0)
        self.fake.advance(0.05)
        # A claim and its answer each, and copies in batches.
        self.assertLess(self.fake.sent - before, 300 * 2 + 60)
        self.assertTrue(self.outcome("s1", "t300").fresh)
