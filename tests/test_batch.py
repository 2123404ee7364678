"""Tests of batch work: it fills up, yields to urgent work, and does not starve."""

import unittest

from bulrushspur_core import batch
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import Ran
from bulrushspur_kernel.work import Policy, Room, Size
from tests.fake_owner import SMALL_WORKER, FakeOwner, allow_all_starts, make_text

TEXT = make_text(a=(1, 500, 1000), b=(1, 500, 1000), filler=(1, 500, 1000))


class BatchTest(unittest.TestCase):
    def setUp(self):
        allow_all_starts(self)
        self.owner = FakeOwner(TEXT, [SMALL_WORKER] * 3)

    def run_timer(self, timer, after_s):
        self.owner.now_s += after_s
        timer(self.owner.node, self.owner.now_s)
        self.owner.take(self.owner.node.drain(self.owner.now_s))

    def fill_with_batch(self, count=24, **more):
        more.setdefault("policy", Policy.BATCH)
        return self.owner.fill(count, "b", size=Size.HEAVY, **more)

    def test_batch_starts_after_all_else_that_fits(self):
        running = self.owner.fill(24)
        self.owner.offer("b", Size.SMALL, policy=Policy.BATCH)
        heavy = self.owner.offer("a", Size.HEAVY)
        self.owner.end(running[0])
        self.assertEqual([one.ticket for one in self.owner.started], [heavy])

    def test_urgent_makes_as_much_batch_yield_as_it_needs(self):
        self.fill_with_batch()
        urgent = self.owner.offer("a", policy=Policy.URGENT, room=Room(2, 2.0, 512, 0))
        self.run_timer(batch.make_room_for_urgent, 0.2)
        self.assertEqual(self.owner.acted, [])
        for _ in range(3):
            self.run_timer(batch.make_room_for_urgent, 0.4)
        acts = self.owner.acted
        self.assertEqual([one.action for one in acts], ["checkpoint"] * 2)
        self.assertEqual(len({one.worker for one in acts}), 1)
        running = self.owner.node.state(batch.Owner).running.values()
        self.owner.sent, self.owner.started = [], []
        for one in [one for one in running if one.yielding]:
            start = next(
                view
                for view in (
                    batch.fx.StartTask(
                        one.worker, 1, task, one.work, one.door, one.ticket, 1.0
                    )
                    for task in self.tasks_of(one.worker)
                    if task.task_id == one.task_id
                )
            )
            self.owner.end(start, "failed", 500)
        self.assertEqual([one.ticket for one in self.owner.started], [urgent])
        failed = [one for one in self.owner.sent if isinstance(one, msg.AnswerFailed)]
        self.assertEqual([one.refusal.ran for one in failed], [Ran.YES] * 2)

    def tasks_of(self, worker):
        return list(self.owner.node.state(batch.Workers).views[worker].tasks.values())

    def test_what_may_not_run_twice_is_never_made_to_yield(self):
        self.fill_with_batch()
        for one in self.owner.node.state(batch.Owner).running.values():
            one.work.idempotent = False
        self.owner.offer("a", policy=Policy.URGENT)
        self.run_timer(batch.make_room_for_urgent, 1.0)
        self.assertEqual(self.owner.acted, [])

    def test_other_classes_never_yield(self):
        self.fill_with_batch(policy=Policy.REQUEST)
        self.owner.offer("a", policy=Policy.URGENT)
        self.run_timer(batch.make_room_for_urgent, 1.0)
        self.assertEqual(self.owner.acted, [])

    def test_batch_does_not_starve(self):
        running = self.owner.fill(24, "a", size=Size.HEAVY)
        starved = self.owner.offer("b", Size.HEAVY, policy=Policy.BATCH)
        for _ in range(100):
            self.owner.offer("a", Size.HEAVY)
        self.run_timer(batch.promote_starving, 61.0)
        self.owner.started = []
        self.owner.end(running[0])
        self.assertEqual([one.ticket for one in self.owner.started], [starved])
