"""Tests of setting workers apart."""

import unittest

from bulrushspur_core import placement
from bulrushspur_core.workers import Workers
from tests.fake_owner import SMALL_WORKER, FakeOwner, allow_all_starts, make_text

TEXT = make_text(a=(1, 500, 1000))


class HealthTest(unittest.TestCase):
    def setUp(self):
        allow_all_starts(self)
        self.owner = FakeOwner(TEXT, [SMALL_WORKER] * 4)
        self.views = self.owner.node.state(Workers).views

    def run_work(self, count, fails, kinds=("k",)):
        """Run tasks one after the other; ``fails`` tells by worker and kind."""
        bad = 0
        for i in range(count):
            kind = kinds[i % len(kinds)]
            self.owner.started = []
            self.owner.offer("a", kind=kind)
            start = self.owner.started[0]
            failed = fails(start.worker, kind)
            bad += failed
            outcome = ("failed", 500) if failed else ("done", 200)
            self.owner.end(start, *outcome)
            self.owner.now_s += 0.01
        return bad

    def prove(self):
        """Let each worker do one task well."""
        for one in self.owner.fill(32, "a", kind="k"):
            self.owner.end(one)

    def test_worker_that_fails_everything_is_set_apart_in_few_starts(self):
        self.prove()
        bad = self.run_work(50, lambda worker, kind: worker == "w0")
        self.assertLessEqual(bad, 4)

    def test_tried_again_with_one_task_at_a_time(self):
        self.prove()
        self.run_work(50, lambda worker, kind: worker == "w0")
        self.owner.now_s = self.views["w0"].set_apart_until_s + 0.1
        placement.refresh(self.owner.node, self.owner.now_s)
        self.owner.started = []
        for _ in range(32):
            self.owner.offer("a", kind="k")
        on_trial = [one for one in self.owner.started if one.worker == "w0"]
        self.assertEqual(len(on_trial), 1)
        self.owner.end(on_trial[0])
        self.assertEqual(len(self.views["w0"].tasks), 7)

    def test_job_that_fails_everywhere_condemns_nobody(self):
        self.prove()
        self.run_work(200, lambda worker, kind: kind == "bad", ("bad", "k"))
        apart = [one for one in self.views.values() if one.set_apart_until_s]
        self.assertEqual(apart, [])

    def test_most_workers_are_never_set_apart(self):
        self.prove()
        self.run_work(200, lambda worker, kind: True, ("k", "l"))
        apart = [one for one in self.views.values() if one.set_apart_until_s]
        self.assertLessEqual(len(apart), 2)
