"""Test that stored records decode to the job and the progress that were encoded.

The tests guard against state that is lost or changed when a new leader loads the store.
"""

import unittest

import msgspec

from bulrushspur_scheduler.failed_runs import FailedRun
from bulrushspur_scheduler.job_specs import StepSpec
from bulrushspur_scheduler.job_states import FailureReason, JobState
from bulrushspur_scheduler.jobs import make_occurrence
from bulrushspur_scheduler.progress import fail_job, mark_task_done
from bulrushspur_scheduler.progress_records import (
    apply_progress,
    decode_finished,
    encode_progress,
)
from bulrushspur_scheduler.records import decode_job, encode_job
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.suspects import confirm_trial, set_trial
from tests.cell_fixtures import (
    QUEUES,
    add_test_job,
    fail_run,
    make_test_cell,
    make_test_job,
)

OldJobRecord = msgspec.defstruct(
    "OldJobRecord",
    [
        ("queue", str),
        ("service", str),
        ("account", str),
        ("payload", str),
        ("steps", list),
        ("accepted_unix_ms", int),
        ("start_at_ms", int, 0),
        ("interval_ms", int, 0),
        ("repeat_count", int, 0),
    ],
    array_like=True,
    omit_defaults=True,
)


class RecordsTest(unittest.TestCase):
    def test_job_record_round_trip(self):
        steps = (
            StepSpec(3, Resources(1500, 20, 1), 2.5, gang=True, same_rack=True),
            StepSpec(
                2,
                Resources(100, 5),
                depends_on=(0,),
                required_label="b",
                preferred_rack="r1",
                max_per_worker=2,
                checkpointing=True,
                speculative=True,
                long_running=True,
                max_unavailable=1,
                fills=True,
                target_latency_s=0.25,
            ),
        )
        job = make_test_job("j1", now_s=50.0, steps=steps)
        decoded = decode_job("j1", encode_job(job), 60.0, 60.0)
        self.assertEqual(decoded.spec, job.spec)
        self.assertEqual(decoded.accepted_s, 50.0)

    def test_progress_round_trip_for_steps_of_any_width(self):
        for width in (1, 8, 64, 65, 300):
            cell = make_test_cell(0)
            job = add_test_job(cell, count=width)
            tasks = job.occurrences[0].steps[0].tasks
            for task in tasks[::3]:
                if width > 1:
                    mark_task_done(cell, task, 1.0)
            runs = [FailedRun(130, "w1", 7_000, 3), FailedRun(1, "w0", 2**41, 2)]
            tasks[-1].failed_runs = {run.number: run for run in runs}
            data = encode_progress(cell, "j1")
            decoded = decode_job("j1", encode_job(job), 0.0, 0.0)
            make_occurrence(decoded, 0)
            self.assertIsNone(apply_progress(decoded, data))
            step = decoded.occurrences[0].steps[0]
            self.assertEqual(
                [task.done for task in step.tasks], [task.done for task in tasks]
            )
            self.assertEqual(step.done_count, sum(task.done for task in tasks))
            self.assertEqual(step.tasks[-1].failed_runs, tasks[-1].failed_runs)

    def test_failed_runs_that_an_older_version_stored_count_still(self):
        state = list(JobState).index(JobState.RUNNING)
        row = [0, [b""], {"0.0": [1, 130]}]
        record = msgspec.msgpack.encode([state, "team", "heavy", [row]])
        job = make_test_job()
        self.assertIsNone(apply_progress(job, record))
        (task,) = job.occurrences[0].steps[0].tasks
        self.assertEqual(task.failed_runs, {1: FailedRun(1), 130: FailedRun(130)})

    def test_older_version_reads_the_numbers_of_failed_runs(self):
        cell = make_test_cell(0)
        job = add_test_job(cell)
        for number in (130, 1):
            fail_run(cell, job.occurrences[0].steps[0].tasks[0], number, 1.0)
        (row,) = msgspec.msgpack.decode(encode_progress(cell, "j1"))[3]
        self.assertEqual(row[2], {"0.0": [1, 130]})

    def test_end_of_a_gang_is_stored_for_all_its_members(self):
        cell = make_test_cell(0)
        each = Resources(1000, 100)
        steps = (StepSpec(3, each, gang=True), StepSpec(1, each, depends_on=(0,)))
        job = add_test_job(cell, steps=steps)
        mark_task_done(cell, job.occurrences[0].steps[0].tasks[1], 1.0)
        decoded = decode_job("j1", encode_job(job), 0.0, 0.0)
        make_occurrence(decoded, 0)
        self.assertIsNone(apply_progress(decoded, encode_progress(cell, "j1")))
        self.assertTrue(decoded.occurrences[0].steps[0].done)

    def test_final_state_is_decoded_as_finished_job(self):
        cell = make_test_cell(0)
        job = add_test_job(cell)
        mark_task_done(cell, job.occurrences[0].steps[0].tasks[0], 1.0)
        decoded = decode_job("j1", encode_job(job), 0.0, 0.0)
        finished = apply_progress(decoded, encode_progress(cell, "j1"))
        self.assertIs(finished.state, JobState.COMPLETED)

    def test_reason_of_a_failure_is_told_by_the_next_leader(self):
        cell = make_test_cell(0)
        job = add_test_job(cell)
        fail_job(cell, job, FailureReason.CRASHES, 1.0)
        finished = decode_finished(encode_progress(cell, "j1"))
        self.assertIs(finished.state, JobState.FAILED)
        self.assertEqual(finished.reason, FailureReason.CRASHES.value)

    def test_reason_that_older_leaders_gave_is_told_still(self):
        reason = "the scheduler could not plan it"
        state = list(JobState).index(JobState.FAILED)
        record = msgspec.msgpack.encode([state, "team", "heavy", [], [], reason])
        self.assertEqual(decode_finished(record).reason, reason)

    def test_crashes_and_trial_of_a_suspect_are_known_to_the_next_leader(self):
        cell = make_test_cell(1)
        job = add_test_job(cell, count=2)
        (step,) = job.occurrences[0].steps
        step.has_suspects = True
        task = step.tasks[1]
        task.crash_count, task.suspected_crash_count = 3, 2
        task.crash_evidence, task.isolated_crash_count = 4, 1
        set_trial(cell, task, cell.workers["w0"])
        confirm_trial(cell, task)
        recovered = make_test_job(count=2)
        self.assertIsNone(apply_progress(recovered, encode_progress(cell, "j1")))
        first, second = recovered.occurrences[0].steps[0].tasks
        self.assertEqual((first.crash_count, first.recovered_trial), (0, None))
        self.assertEqual((second.crash_count, second.suspected_crash_count), (3, 2))
        self.assertEqual((second.crash_evidence, second.isolated_crash_count), (4, 1))
        self.assertEqual(second.recovered_trial, task.trial)
        self.assertTrue(second.step.has_suspects)

    def test_queue_at_acceptance_is_known_to_the_next_leader(self):
        for index, queue in enumerate(QUEUES):
            job = make_test_job(queue=queue.name)
            job.accepted_queue = queue
            decoded = decode_job("j1", encode_job(job), 0.0, 0.0).accepted_queue
            for name in (
                "name",
                "service",
                "priority",
                "max_attempts",
                "stretch",
                "target_latency_s",
                "advice",
            ):
                with self.subTest(queue=index, name=name):
                    self.assertEqual(getattr(decoded, name), getattr(queue, name))

    def test_record_of_an_older_process_is_read(self):
        record = OldJobRecord(
            "heavy", "svc", "team", "p", [[1, 1000, 100]], 5000, repeat_count=2
        )
        job = decode_job("j1", msgspec.msgpack.encode(record), 5.0, 5.0)
        self.assertEqual((job.queue, job.spec.repeat_count), ("heavy", 2))
        self.assertIsNone(job.accepted_queue)

    def test_record_is_read_by_an_older_process(self):
        job = make_test_job(queue="advised", now_s=5.0)
        job.accepted_queue = QUEUES[3]
        record = msgspec.msgpack.decode(encode_job(job), type=OldJobRecord)
        self.assertEqual((record.queue, record.account), ("advised", "team"))
        self.assertEqual((record.accepted_unix_ms, record.repeat_count), (5000, 0))
