"""Tests of what doors decide: admission, routing, the budget of retries, estimates."""

import unittest

from bulrushspur_core import admission, estimates, retries, routing
from bulrushspur_core.cell import Roster
from bulrushspur_core.log_reader import LogState
from bulrushspur_core.membership import Members, Peer
from bulrushspur_core.workers import Workers
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind
from bulrushspur_kernel.work import Policy, Room, Size, Vm, Work
from tests.fake_owner import SMALL_WORKER, FakeOwner, allow_all_starts, make_text

TEXT = make_text(a=(1, 500, 100), b=(1, 500, 100))


def make_work(**more):
    row = {
        "request_id": "r",
        "team": "a",
        "service": "s",
        "kind": "k",
        "policy": Policy.REQUEST,
        "size": Size.SMALL,
        "idempotent": True,
        "deadline_s": 10.0,
        "run_time_s": 1.0,
        "room": Room(1, 1.0, 256, 0),
    }
    return Work(**(row | more))


class DoorPolicyTest(unittest.TestCase):
    def setUp(self):
        allow_all_starts(self)
        self.owner = FakeOwner(TEXT, [SMALL_WORKER] * 3)
        self.node = self.owner.node

    def add_peer(self, name, **load):
        info = msg.PeerInfo(name, "b1", "south", "r", "")
        one = Peer(info, self.owner.now_s, msg.Load(**load))
        self.node.state(Members).peers[name] = one

    def kind_of(self, **more):
        found = admission.check_admission(self.node, make_work(**more), 10.0)
        return None if found is None else found.kind

    def test_what_no_worker_holds_is_refused_with_the_reason(self):
        vm = Vm("w", "worker", "x", "", room=SMALL_WORKER)
        self.node.state(Workers).listed = {"w": vm}
        self.assertIsNone(self.kind_of())
        room = Room(1, 1.0, 99_999, 0)
        self.assertEqual(self.kind_of(room=room), ErrorKind.NEVER_FITS)
        found = admission.check_admission(self.node, make_work(room=room), 10.0)
        self.assertIn("99999 MB", found.sentence)
        self.assertIsNone(found.retry_after_s)

    def test_gang_above_the_limit_of_its_team_is_refused(self):
        self.assertEqual(self.kind_of(tasks=501), ErrorKind.NEVER_FITS)

    def test_stale_keys_stop_keyed_work_but_not_open_work(self):
        self.node.state(LogState).fresh_s = 10.0 - 601
        self.assertEqual(self.kind_of(), ErrorKind.KEYS_STALE)
        self.assertIsNone(self.kind_of(team="open", tasks=0))

    def test_deadline_below_any_run_seen_is_refused_once_known(self):
        self.assertIsNone(self.kind_of(deadline_s=0.01))
        for _ in range(20):
            estimates.note_run_time(self.node, make_work(), 1.0)
        self.assertIsNone(self.kind_of(deadline_s=0.6))
        self.assertEqual(self.kind_of(deadline_s=0.4), ErrorKind.DEADLINE_UNREACHABLE)

    def test_own_workers_first_then_free_then_short(self):
        def choose(tried=""):
            return routing.choose_owner(self.node, make_work(), tried, 10.0)

        self.add_peer("n2", free_slots=0, total_slots=24, queued=9, queued_work_s=90)
        self.assertEqual(choose(), "n1")
        self.assertEqual(choose("n1"), "n2")
        self.owner.fill(24, "b")
        self.assertEqual(choose(), "n1")
        self.add_peer("n3", free_slots=2, total_slots=24)
        self.assertEqual([choose(), choose(), choose()], ["n3", "n3", "n1"])

    def test_work_goes_only_where_a_worker_could_hold_it(self):
        cell = self.node.state(LogState).cell
        member = msg.Member("n2", "b1")
        cell.rosters["south"] = [Roster(1, [member], [member])]
        plain = Vm("w0", "worker", "north", "", room=SMALL_WORKER)
        large = Vm("w9", "worker", "south", "", room=Room(8, 32.0, 131_072, 4))
        self.node.state(Workers).listed = {"w0": plain, "w9": large}
        self.add_peer("n2", free_slots=0, total_slots=8, queued=9, queued_work_s=90)
        self.add_peer("n3", free_slots=8, total_slots=8)
        work = make_work(room=Room(1, 1.0, 256, 1))
        self.assertEqual(routing.choose_owner(self.node, work, "", 10.0), "n2")
        self.assertEqual(routing.choose_owner(self.node, make_work(), "", 10.0), "n1")

    def test_retries_come_from_a_budget(self):
        work = make_work()
        allowed = sum(retries.may_retry(self.node, work, 1, 10.0) for _ in range(50))
        self.assertEqual(allowed, 10)
        for _ in range(80):
            retries.note_first_attempt(self.node, work)
        allowed = sum(retries.may_retry(self.node, work, 1, 10.0) for _ in range(50))
        self.assertEqual(allowed, 10)
        self.assertFalse(retries.may_retry(self.node, make_work(team="b"), 3, 10.0))

    def test_run_times_are_learned_within_bounds(self):
        work = make_work()
        for _ in range(30):
            estimates.note_run_time(self.node, work, 3.0)
        self.assertAlmostEqual(estimates.run_time_s(self.node, work), 3.0, places=3)
        for _ in range(200):
            estimates.note_run_time(self.node, work, 1e6)
        self.assertLessEqual(estimates.run_time_s(self.node, work), 10.0)

    def test_sizes_are_only_corrected_upwards(self):
        declared = Room(1, 2.0, 1000, 0)
        work = make_work(room=declared)
        estimates.note_usage(self.node, "s", "k", declared, 0.1, 10)
        self.assertEqual(estimates.placed_room(self.node, work), declared)
        estimates.note_usage(self.node, "s", "k", declared, 2.0, 1500)
        self.assertEqual(estimates.placed_room(self.node, work).memory_mb, 1500)
        estimates.note_usage(self.node, "s", "k", declared, 2.0, 900_000)
        self.assertLessEqual(estimates.placed_room(self.node, work).memory_mb, 4000)
