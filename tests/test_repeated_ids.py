"""Test that an id that comes again with another job does not run that job.

All client accounts and queues share one space of ids, and a submission may be repeated
at any process. The tests guard against telling a caller that its job is accepted while
another job runs under the id, and against rejecting honest repetitions.
"""

import asyncio
import dataclasses
import unittest

import msgspec

from bulrushspur_kernel.messages import Cancel, Outcome, Submit
from bulrushspur_scheduler.cell import make_cell
from bulrushspur_scheduler.content_digests import digest_content
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.progress import finish_job, purge_finished_jobs
from bulrushspur_scheduler.progress_records import PROGRESS_KEY_PREFIX, decode_finished
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.takeover import recover_jobs
from tests.cell_fixtures import QUEUES, make_test_cell
from tests.cluster import CONFIG, InProcessCluster, job_id, make_job_body
from tests.test_late_submissions import StoringWriter
from tests.test_leader_requests import make_handler

STEP = StepSpec(2, Resources(1000, 100), 1.0)
SPEC = JobSpec("j1", "payload", (STEP,))
OTHER_SPECS = (
    dataclasses.replace(SPEC, payload="another payload"),
    dataclasses.replace(SPEC, steps=(STEP, STEP)),
    dataclasses.replace(SPEC, steps=(dataclasses.replace(STEP, count=3),)),
    dataclasses.replace(SPEC, steps=(dataclasses.replace(STEP, gang=True),)),
    dataclasses.replace(SPEC, repeat_count=2),
    dataclasses.replace(SPEC, start_at_s=5.0),
    dataclasses.replace(SPEC, interval_s=5.0),
)
# Records of finished jobs had so many fields before they told the job's content.
OLDER_FIELD_COUNT = 6


class HeldWriter(StoringWriter):
    """A writer that stores jobs once ``is_open`` is set."""

    def __init__(self, cell):
        super().__init__(cell)
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def store_job(self, job_id, record):
        await self.is_open.wait()
        await super().store_job(job_id, record)


class RepeatedIdTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cell = make_test_cell(1)
        self.writer = HeldWriter(self.cell)
        self.handler = make_handler(self.cell, self.writer)

    async def submit(self, spec=SPEC, queue="heavy", account="team", **fields):
        """Hand a job in as a gateway does."""
        job = Job(spec, queue, "svc", account, 0.0, 1.0, **fields)
        return await self.handler.answer(
            Submit(1, spec.id, queue, account, encode_job(job))
        )

    async def end_job(self):
        finish_job(self.cell, self.cell.jobs["j1"], JobState.COMPLETED, 1.0)
        await self.writer.wait_durable()

    def lead_next(self):
        """Go on with the next leader, from what is stored."""
        records = {"j" + id_: record for id_, record in self.writer.records.items()}
        for id_ in self.cell.finished_jobs:
            records.pop("j" + id_, None)
        self.cell = make_cell(self.cell.config, fencing_token=6)
        recover_jobs(self.cell, records | self.writer.progress, 1.0, 1.0)
        self.writer.cell = self.cell
        self.handler = make_handler(self.cell, self.writer)

    async def check_only_this_job_is_accepted(self):
        for other in OTHER_SPECS:
            reply = await self.submit(other)
            self.assertEqual(reply.outcome, Outcome.REJECTED, other)
            self.assertEqual(reply.reason, "the id belongs to another job")
        self.assertEqual((await self.submit()).outcome, Outcome.OK)

    async def test_other_job_is_rejected_while_the_first_runs(self):
        await self.submit()
        await self.check_only_this_job_is_accepted()
        self.assertEqual(self.cell.jobs["j1"].spec, SPEC)

    async def test_other_job_is_rejected_by_the_next_leader(self):
        await self.submit()
        self.lead_next()
        await self.check_only_this_job_is_accepted()
        self.assertEqual(self.cell.jobs["j1"].spec, SPEC)

    async def test_other_job_is_rejected_after_the_first_has_ended(self):
        await self.submit()
        await self.end_job()
        await self.check_only_this_job_is_accepted()
        self.lead_next()
        await self.check_only_this_job_is_accepted()
        self.assertEqual(self.cell.jobs, {})

    async def test_other_job_is_rejected_while_the_first_is_being_stored(self):
        self.writer.is_open.clear()
        first = asyncio.create_task(self.submit())
        await asyncio.sleep(0)
        repeated = asyncio.create_task(self.submit())
        for other in OTHER_SPECS:
            reply = await asyncio.wait_for(self.submit(other), 1.0)
            self.assertEqual(reply.outcome, Outcome.REJECTED)
        self.writer.is_open.set()
        self.assertEqual((await first).outcome, Outcome.OK)
        self.assertEqual((await repeated).outcome, Outcome.OK)
        self.assertEqual(self.cell.jobs["j1"].spec, SPEC)

    async def test_other_job_is_rejected_once_a_cancelled_one_has_come(self):
        await self.handler.answer(Cancel(1, "j1", "team"))
        self.assertEqual((await self.submit()).state, "cancelled")
        self.lead_next()
        await self.check_only_this_job_is_accepted()

    async def test_honest_repetition_is_accepted(self):
        await self.submit()
        for _ in range(2):
            # At another process, under another configuration, at another time.
            reply = await self.submit(accepted_queue=QUEUES[1], over_share=True)
            self.assertEqual(reply.outcome, Outcome.OK)
            reply = await self.submit(account="", queue="bulk")
            self.assertEqual(reply.outcome, Outcome.OK)
            if self.cell.jobs:
                await self.end_job()

    async def test_fractions_of_a_millisecond_make_no_other_job(self):
        step = dataclasses.replace(STEP, estimate_s=0.0014999, target_latency_s=1 / 3)
        spec = JobSpec("j1", "p", (step,), 1e9 + 0.0005, 0.0006, 2)
        await self.submit(spec)
        self.assertEqual((await self.submit(spec)).outcome, Outcome.OK)
        self.lead_next()
        self.assertEqual((await self.submit(spec)).outcome, Outcome.OK)
        await self.end_job()
        self.assertEqual((await self.submit(spec)).outcome, Outcome.OK)

    async def test_record_of_an_older_leader_accepts_every_job(self):
        await self.submit()
        await self.end_job()
        key = PROGRESS_KEY_PREFIX + "j1"
        fields = msgspec.msgpack.decode(self.writer.progress[key])
        older = msgspec.msgpack.encode(fields[:OLDER_FIELD_COUNT])
        self.writer.progress[key] = older
        self.lead_next()
        for spec in (SPEC, *OTHER_SPECS):
            self.assertEqual((await self.submit(spec)).outcome, Outcome.OK)

    async def test_leader_reads_the_record_of_a_later_version(self):
        await self.submit()
        await self.end_job()
        fields = msgspec.msgpack.decode(
            self.writer.progress[PROGRESS_KEY_PREFIX + "j1"]
        )
        newer = msgspec.msgpack.encode([*fields, "field of a later version"])
        self.assertEqual(decode_finished(newer).state, JobState.COMPLETED)

    async def test_repetition_at_a_gateway_of_a_later_version_is_accepted(self):
        await self.submit()
        fields = msgspec.msgpack.decode(self.writer.records["j1"])
        newer = msgspec.msgpack.encode([*fields, "field of a later version"])
        reply = await self.handler.answer(Submit(1, "j1", "heavy", "team", newer))
        self.assertEqual(reply.outcome, Outcome.OK)

    def test_digest_is_the_same_in_all_versions(self):
        step = dataclasses.replace(STEP, depends_on=(0,), required_label="a")
        spec = dataclasses.replace(SPEC, steps=(STEP, step), repeat_count=2)
        self.assertEqual(digest_content(spec).hex(), "7800ea348df849b1")

    async def test_id_of_a_forgotten_job_is_free(self):
        await self.submit()
        await self.end_job()
        purge_finished_jobs(self.cell, 1e6)
        self.assertEqual((await self.submit(OTHER_SPECS[0])).outcome, Outcome.OK)
        self.assertEqual(self.cell.jobs["j1"].spec, OTHER_SPECS[0])


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        self.payloads = []
        await self.cluster.start(nodes=3, workers=0, config=CONFIG)
        await self.cluster.add_worker("w0", work_model=self.run_payload)

    def run_payload(self, task, payload):
        self.payloads.append((task.split(".")[0], payload))
        return 1000, 0.6, "done"

    async def submit(self, payload, **fields):
        """Hand the job in at each process; return the set of the statuses."""
        body = make_job_body(**fields) | {"spec": payload}
        path = f"/assess/{job_id(1)}"
        answers = [
            await self.cluster.call("POST", path, body, node=node)
            for node in list(self.cluster.nodes.values())
        ]
        return {answer.status for answer in answers}

    async def test_callers_and_workers_see_one_job_for_an_id(self):
        cluster = self.cluster
        self.assertEqual(await self.submit("first"), {200})
        self.assertEqual(await self.submit("second"), {429})
        self.assertEqual(await self.submit("first", count=3), {429})
        await cluster.kill(cluster.find_leader())
        await cluster.wait_leader()
        self.assertEqual(await self.submit("second"), {429})
        self.assertEqual(await self.submit("first"), {200})
        await cluster.wait_job_state(job_id(1), "completed")
        self.assertEqual(await self.submit("second"), {429})
        self.assertEqual(await self.submit("first"), {200})
        await cluster.kill(cluster.find_leader())
        await cluster.wait_leader()
        self.assertEqual(await self.submit("second"), {429})
        self.assertEqual(await self.submit("first"), {200})
        self.assertEqual(set(self.payloads), {(job_id(1), "first")})


if __name__ == "__main__":
    unittest.main()
