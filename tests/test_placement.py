"""Tests of choosing a worker."""

import unittest

from bulrushspur_core import placement
from bulrushspur_core.workers import Workers
from bulrushspur_kernel.work import Room, Size
from tests.fake_owner import FakeOwner, allow_all_starts, make_text

TEXT = make_text(a=(1, 500, 1000))
PLAIN = Room(8, 16.0, 32_768, 0)
LARGE = Room(8, 32.0, 131_072, 0)
ACCELERATED = Room(8, 32.0, 131_072, 4)


class PlacementTest(unittest.TestCase):
    def setUp(self):
        allow_all_starts(self)

    def workers_of(self, owner):
        return [one.worker for one in owner.started]

    def view(self, owner, name):
        return owner.node.state(Workers).views[name]

    def test_accelerators_are_kept(self):
        owner = FakeOwner(TEXT, [ACCELERATED, PLAIN])
        for _ in range(13):
            owner.offer()
        workers = self.workers_of(owner)
        self.assertEqual((workers.count("w1"), workers.count("w0")), (8, 4))
        owner.started = []
        for _ in range(4):
            owner.offer(room=Room(1, 1.0, 256, 1))
        self.assertEqual(self.workers_of(owner), ["w0"] * 4)

    def test_best_fit_leaves_the_large_worker(self):
        owner = FakeOwner(TEXT, [LARGE, PLAIN])
        owner.offer()
        owner.offer(room=Room(8, 8.0, 100_000, 0))
        self.assertEqual(self.workers_of(owner), ["w1", "w0"])

    def test_nothing_for_leaving_gone_or_set_apart(self):
        for change in ({"gone": True}, {"owned": False}, {"set_apart_until_s": 99.0}):
            owner = FakeOwner(TEXT, [PLAIN])
            for field, value in change.items():
                setattr(self.view(owner, "w0"), field, value)
            owner.offer()
            self.assertEqual(owner.started, [], change)
        owner = FakeOwner(TEXT, [PLAIN])
        self.view(owner, "w0").vm.leaving = True
        owner.offer()
        self.assertEqual(owner.started, [])

    def test_connections_are_a_limit(self):
        owner = FakeOwner(TEXT, [Room(500, 16.0, 32_768, 0)])
        for _ in range(60):
            owner.offer(room=Room(1, 0.0, 0, 0))
        kept = placement.CONNECTIONS_KEPT
        self.assertEqual(len(owner.started), 60 - kept)
        owner.end(owner.started[0])
        self.assertEqual(len(owner.started), 61 - kept)

    def test_large_work_is_not_starved_by_small(self):
        owner = FakeOwner(TEXT, [PLAIN, PLAIN])
        running = owner.fill(16, "a")
        large = owner.offer(size=Size.HEAVY, room=Room(8, 8.0, 1024, 0))
        owner.now_s += 3
        for _ in range(40):
            owner.offer()
        for _ in range(60):
            owner.now_s += 0.01
            owner.started = []
            owner.end(running.pop(0))
            running += owner.started
            if large in [one.ticket for one in owner.started]:
                return
        self.fail("the large one did not start")

    def test_never_overcommits_with_wrong_estimates(self):
        owner = FakeOwner(TEXT, [PLAIN])
        for i in range(300):
            owner.offer(kind=f"k{i % 3}", run_time_s=0.01, room=Room(1, 3.0, 9_000, 0))
            self.assertTrue(PLAIN.holds(self.view(owner, "w0").used))
            if i % 4 == 3:
                owner.end(owner.started.pop(0), run_time_s=50.0)
        self.assertLessEqual(len(self.view(owner, "w0").tasks), 3)
