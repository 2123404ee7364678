"""Test that a job that failed tells which failed runs were counted.

The tests guard against a verdict of which nobody can tell later what it was made from.
"""

import asyncio
import dataclasses
import unittest

import msgspec

from bulrushspur_scheduler.failed_runs import FailedRun, mark_stored, take_unstored
from bulrushspur_scheduler.job_specs import StepSpec
from bulrushspur_scheduler.job_states import FailureReason, JobState
from bulrushspur_scheduler.progress import fail_job
from bulrushspur_scheduler.progress_records import decode_finished, encode_progress
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.takeover import recover_jobs
from tests.cell_fixtures import add_test_job, fail_run, make_test_cell
from tests.cluster import InProcessCluster, job_id


def find_finish(cell):
    """Return the fields of the only finish event."""
    (event,) = [event for event in cell.events if event.name == "finish"]
    return event.fields


def make_next_cell(cell, job):
    """Let the leader of the next term recover a job from its records."""
    stored = {
        f"j{job.id}": encode_job(job),
        f"s{job.id}": encode_progress(cell, job.id),
    }
    rv = make_test_cell(1)
    rv.fencing_token = cell.fencing_token + 1
    recover_jobs(rv, stored, 1.0, 1.0)
    return rv


def fail_in_two_terms(gang=False):
    """Let a job fail by three runs, the first of an earlier term; return the cell."""
    cell = make_test_cell(1)
    job = add_test_job(cell, count=2, gang=gang)
    fail_run(cell, job.occurrences[0].steps[0].tasks[1], 1, 1.0)
    cell = make_next_cell(cell, job)
    (job,) = cell.jobs.values()
    task = job.occurrences[0].steps[0].tasks[1]
    fail_run(cell, task, 400_000, 2.0, "w1")
    mark_stored(take_unstored(job))
    fail_run(cell, task, 400_001, 2.0, "w2")
    return cell


class FinishEventTest(unittest.TestCase):
    def test_finish_tells_each_run_that_was_counted_and_since_when_it_is_stored(self):
        fields = find_finish(fail_in_two_terms())
        rows = [
            (row["run"], row["worker"], row["fence"], row["stored"])
            for row in fields["counted_runs"]
        ]
        self.assertEqual(
            rows,
            [
                (1, "w0", 5, "earlier_term"),
                (400_000, "w1", 6, "same_term"),
                (400_001, "w2", 6, "with_verdict"),
            ],
        )
        self.assertEqual(fields["counted_runs"][0]["incarnation_ms"], 1)
        self.assertEqual((fields["failed_task"], fields["fence"]), ("0.0.1", 6))

    def test_finish_names_a_gang_as_a_whole(self):
        fields = find_finish(fail_in_two_terms(gang=True))
        self.assertEqual((fields["failed_task"], fields["failed_runs"]), ("0.0", 3))

    # Guards against: a task that lasts, and has no limit, is named in place of another.
    def test_verdict_names_the_task_that_used_up_its_attempts(self):
        cell = make_test_cell(1)
        lasting = StepSpec(1, Resources(100, 10), 1.0, long_running=True)
        ending = dataclasses.replace(lasting, long_running=False)
        job = add_test_job(cell, steps=(lasting, ending))
        job.accepted_queue = dataclasses.replace(job.accepted_queue, max_attempts=1)
        first, second = job.tasks()
        fail_run(cell, first, 1, 1.0)
        fail_run(cell, second, 1, 2.0)
        self.assertEqual(cell.finished_jobs["j1"].verdict.path, "0.1.0")

    def test_finish_by_crashes_names_no_task_that_has_failed(self):
        cell = make_test_cell(1)
        job = add_test_job(cell, count=2)
        fail_run(cell, next(job.tasks()), 1, 1.0)
        fail_job(cell, job, FailureReason.CRASHES, 1.0)
        fields = find_finish(cell)
        self.assertEqual((fields["failed_task"], fields["failed_runs"]), ("", 1))

    def test_finish_without_a_failed_run_tells_none(self):
        cell = make_test_cell(1)
        job = add_test_job(cell)
        fail_job(cell, job, FailureReason.CRASHES, 1.0)
        self.assertEqual(find_finish(cell)["counted_runs"], [])


class StoredVerdictTest(unittest.TestCase):
    def test_next_leader_knows_what_was_counted(self):
        cell = fail_in_two_terms()
        finished = decode_finished(encode_progress(cell, "j1"))
        self.assertIs(finished.state, JobState.FAILED)
        self.assertEqual(finished.verdict, cell.finished_jobs["j1"].verdict)
        self.assertEqual(finished.verdict.failed_runs[0], FailedRun(1, "w0", 1, 5))

    def test_job_that_failed_by_crashes_has_no_failed_runs_as_its_verdict(self):
        cell = make_test_cell(1)
        job = add_test_job(cell)
        fail_run(cell, job.occurrences[0].steps[0].tasks[0], 1, 1.0)
        fail_job(cell, job, FailureReason.CRASHES, 1.0)
        finished = decode_finished(encode_progress(cell, "j1"))
        self.assertIsNone(finished.verdict)

    def test_final_state_of_an_older_version_has_no_verdict(self):
        state = list(JobState).index(JobState.FAILED)
        reason = FailureReason.ATTEMPTS.value
        record = msgspec.msgpack.encode([state, "team", "heavy", [], [], reason])
        self.assertIsNone(decode_finished(record).verdict)


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """Real entry processes, of which all are killed in an outage of the store."""

    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        await self.cluster.start(nodes=2, workers=3)
        self.addAsyncCleanup(self.cluster.stop)

    async def replace_all_nodes_in_an_outage(self):
        cluster = self.cluster
        cluster.store.faults.forced_status = 503
        for node in list(cluster.nodes.values()):
            await cluster.kill(node)
        # They have no configuration until the store is back.
        for name in ("n2", "n3"):
            await cluster.add_node(name)
        await asyncio.sleep(1.0)
        cluster.store.faults.forced_status = 0

    async def test_leader_that_started_in_an_outage_fails_a_job_with_evidence(self):
        cluster = self.cluster
        await cluster.submit(job_id(1), count=1, run_time_ms=300, outcome="failed")
        await cluster.wait_for(lambda: len(self.list_failed_runs()) == 1)
        await self.replace_all_nodes_in_an_outage()
        await cluster.wait_leader(wait_s=20.0)
        await cluster.wait_job_state(job_id(1), "failed", wait_s=40.0)
        (finish,) = cluster.find_finishes(job_id(1))
        counted = {row["run"] for row in finish["counted_runs"]}
        self.assertEqual((len(counted), finish["max_attempts"]), (3, 3))
        self.assertEqual(counted, set(self.list_failed_runs()))

    def list_failed_runs(self):
        """List the numbers of the runs that workers ended as failed."""
        return [
            number
            for numbers in self.cluster.oracle.failed_runs.values()
            for number in numbers
        ]


if __name__ == "__main__":
    unittest.main()
