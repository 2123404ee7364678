"""Test which checkpoint a start order carries.

The tests guard against a checkpoint of another task or occurrence, against members of a
gang that resume from different points, and against one where the step has none.
"""

import dataclasses
import unittest

from bulrushspur_scheduler.job_specs import JobSpec, StepSpec, TaskKey
from bulrushspur_scheduler.job_states import RunOutcome
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.leases import mark_worker_lost
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import add_job
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.reports import RunEnd, RunStatus, WorkerReport, apply_report
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.takeover import reconcile, recover_jobs
from tests.cell_fixtures import (
    acknowledge_starts,
    make_test_cell,
    make_test_job,
    task_key,
)

# One such task fits on a worker.
STEP = StepSpec(1, Resources(9000, 100), 1.0, checkpointing=True)


class CheckpointTest(unittest.TestCase):
    def set_up(self, step, recovered=False):
        """Make a cell with three workers and a job, new or of an earlier leader."""
        self.cell = make_test_cell(3)
        self.end_counts = dict.fromkeys(self.cell.workers, 0)
        job = make_test_job(steps=(step,))
        if not recovered:
            add_job(self.cell, job, 0.0, 0.0)
            return
        for worker in self.cell.workers.values():
            worker.has_reported = False
            self.cell.unobserved_workers.add(worker.id)
        recover_jobs(self.cell, {"jj1": encode_job(job)}, 0.0, 0.0)
        self.cell.reconcile_by_s = 14.0

    def report(self, worker_id, now_s, running=(), ended=()):
        """Apply a report; rows have key, run number, (outcome), and checkpoint."""
        ends = []
        for key, number, outcome, checkpoint in ended:
            self.end_counts[worker_id] += 1
            sequence = self.end_counts[worker_id]
            ends.append(RunEnd(sequence, key, number, RunOutcome(outcome), checkpoint))
        listed = [
            RunStatus(key, number, checkpoint, 100)
            for key, number, checkpoint in running
        ]
        report = WorkerReport(now_s, int(now_s * 1000) + 1, 1, listed, ends)
        apply_report(self.cell, self.cell.workers[worker_id], report, now_s)

    def start(self, now_s):
        """Plan; return task key, run number, worker and checkpoint of each start."""
        plan(self.cell, now_s)
        return [
            (order.run.task.key, order.run.number, order.worker_id, order.checkpoint)
            for order in acknowledge_starts(self.cell, now_s)
        ]

    def list_checkpoints(self, now_s):
        return [checkpoint for *_, checkpoint in self.start(now_s)]

    def end_gang(self, checkpoints):
        """Let the members of a gang end, the first one as failed."""
        self.set_up(dataclasses.replace(STEP, count=3, gang=True))
        outcomes = ("failed", "broken", "broken")
        for (key, number, worker_id, checkpoint), outcome, next_checkpoint in zip(
            self.start(0.1), outcomes, checkpoints, strict=True
        ):
            self.assertEqual(checkpoint, "")
            ends = [(key, number, outcome, next_checkpoint)]
            self.report(worker_id, 1.0, ended=ends)

    def test_members_of_a_gang_resume_from_one_checkpoint(self):
        self.end_gang(("c1", "c2", "c3"))
        (checkpoint,) = set(self.list_checkpoints(2.0))
        self.assertIn(checkpoint, {"c1", "c2", "c3"})

    def test_members_without_a_checkpoint_take_that_of_another(self):
        self.end_gang(("", "c2", ""))
        self.assertEqual(self.list_checkpoints(2.0), ["c2"] * 3)

    def test_gang_that_was_adopted_in_part_resumes_from_one_checkpoint(self):
        self.set_up(dataclasses.replace(STEP, count=3, gang=True), recovered=True)
        self.report("w0", 1.0, [(task_key(index=0), 7, "c1")])
        self.report("w1", 1.0, ended=[(task_key(index=1), 7, "broken", "c2")])
        self.report("w2", 1.0)
        reconcile(self.cell, 1.1)
        self.assertEqual(self.start(1.2), [])
        self.report("w0", 1.4, ended=[(task_key(index=0), 7, "stopped", "c3")])
        (checkpoint,) = set(self.list_checkpoints(1.5))
        self.assertIn(checkpoint, {"c2", "c3"})

    def test_end_of_an_older_run_does_not_replace_what_a_newer_run_saves(self):
        self.set_up(STEP)
        ((key, number, worker_id, _),) = self.start(0.1)
        self.report(worker_id, 0.5, [(key, number, "c1")])
        mark_worker_lost(self.cell, self.cell.workers[worker_id], "lease over")
        self.cell.workers[worker_id].has_reported = False
        ((_, newer, other_id, checkpoint),) = self.start(0.6)
        self.assertEqual(checkpoint, "c1")
        self.report(other_id, 0.9, [(key, newer, "c3")])
        self.report(worker_id, 1.0, ended=[(key, number, "lapsed", "c2")])
        self.report(other_id, 1.1, ended=[(key, newer, "failed", "")])
        self.assertEqual(self.list_checkpoints(1.2), ["c3"])

    def test_occurrences_of_a_repeating_job_have_checkpoints_of_their_own(self):
        self.cell, self.end_counts = make_test_cell(1), {"w0": 0}
        spec = JobSpec("j1", "p", (STEP,), repeat_count=2)
        add_job(self.cell, Job(spec, "heavy", "svc", "team", 0.0, 0.0), 0.0, 0.0)
        ((key, number, _, _),) = self.start(0.1)
        self.report("w0", 1.0, ended=[(key, number, "failed", "c1")])
        checkpoints = {}
        for second in range(2, 6):
            for started, run, _, checkpoint in self.start(second):
                checkpoints[started.occurrence] = checkpoint
                ends = [(started, run, "done", "")]
                self.report("w0", second + 0.5, ended=ends)
        other = 1 - key.occurrence
        self.assertEqual(checkpoints, {key.occurrence: "c1", other: ""})

    def test_task_of_a_step_without_checkpoints_starts_without_one(self):
        step = dataclasses.replace(STEP, checkpointing=False)
        self.set_up(step)
        ((key, number, worker_id, _),) = self.start(0.1)
        self.report(worker_id, 0.5, [(key, number, "c1")])
        self.report(worker_id, 1.0, ended=[(key, number, "failed", "c2")])
        self.assertEqual(self.list_checkpoints(1.2), [""])

    def test_adopted_run_of_a_step_without_checkpoints_leaves_none(self):
        self.set_up(dataclasses.replace(STEP, checkpointing=False), recovered=True)
        key = TaskKey("j1", 0, 0, 0)
        self.report("w0", 1.0, [(key, 7, "c1")])
        self.report("w0", 1.5, ended=[(key, 7, "failed", "")])
        for worker_id in ("w1", "w2"):
            self.report(worker_id, 1.6)
        reconcile(self.cell, 1.7)
        self.assertEqual(self.list_checkpoints(1.8), [""])


if __name__ == "__main__":
    unittest.main()
