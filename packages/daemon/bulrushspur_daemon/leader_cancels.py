"""Cancel jobs, also those whose submissions are still on their way.

A cancel comes in; the answer follows once it is stored, so that the next term knows it.
The cancel of an unknown job is stored, too: a submission that comes later is
acknowledged with the state cancelled, and the job does not run. Requests may be
repeated.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s, unix_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_kernel.messages import Cancel, Outcome, Reply, Submit
from bulrushspur_scheduler.cell import Cell, FinishedJob
from bulrushspur_scheduler.early_cancels import (
    EARLY_CANCEL_KEY_PREFIX,
    add_early_cancel,
    encode_early_cancel,
    is_cancelled_early,
    record_late_submission,
)
from bulrushspur_scheduler.job_states import FINAL_STATES, JobState
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.progress import finish_job


@dataclasses.dataclass
class LeaderCancels:
    """Handle the cancels of one term.

    ``find_pending`` returns the reply to a submission that is not decided yet, or None.
    """

    cell: Cell
    writer: RecordWriter
    flush: t.Callable[[], None]
    find_pending: t.Callable[[str], asyncio.Future[Reply] | None]

    async def cancel(self, message: Cancel) -> Reply:
        """Cancel a job; the caller has confirmed the term if the job is unknown."""
        cell, job_id, received_s = self.cell, message.job, monotonic_s()
        # Another submission of the job may have come meanwhile.
        while (pending := self.find_pending(job_id)) is not None:
            await asyncio.shield(pending)
        if job_id in cell.unreadable_jobs:
            return Reply(0, Outcome.NOT_READY)
        job = cell.jobs.get(job_id)
        if message.must_own and not self._is_owned(message):
            return Reply(0, Outcome.UNKNOWN_JOB)
        if job is not None:
            finish_job(cell, job, JobState.CANCELLED, monotonic_s())
        finished = cell.finished_jobs.get(job_id)
        if finished is None:
            return await self._cancel_unknown_job(message)
        assert finished.state in FINAL_STATES
        self.flush()
        if not self.writer.is_durable(job_id):
            await self.writer.wait_durable()
        self._log_cancel(job_id, job, finished, received_s)
        return Reply(0, Outcome.OK, finished.state.value, finished.reason)

    def _is_owned(self, message: Cancel) -> bool:
        """Return whether a job is known and belongs to the account of a cancel."""
        cell, job_id = self.cell, message.job
        job = cell.jobs.get(job_id) or cell.finished_jobs.get(job_id)
        return job is not None and job.account == message.account

    async def _cancel_unknown_job(self, message: Cancel) -> Reply:
        cell, job_id, received_s = self.cell, message.job, monotonic_s()
        add_early_cancel(cell, job_id, message.account, received_s)
        cancel = cell.early_cancels[job_id]
        record = encode_early_cancel(cancel, received_s, unix_s())
        self.writer.pending_records[EARLY_CANCEL_KEY_PREFIX + job_id] = record
        await self.writer.wait_durable()
        cell.log(
            "cancel_unknown",
            job_id,
            account=message.account,
            stored_ms=round((monotonic_s() - received_s) * 1000),
        )
        self.flush()
        return Reply(0, Outcome.UNKNOWN_JOB)

    def _log_cancel(
        self, job_id: str, job: Job | None, finished: FinishedJob, received_s: float
    ) -> None:
        """Log that a cancel is stored, and the runs that are not stopped by then.

        ``job`` is None if the job had its final state before.
        """
        runs = [run for step in job.steps() for run in step.runs()] if job else []
        self.cell.log(
            "cancel",
            job_id,
            state=finished.state.value,
            repeated=job is None,
            stored_ms=round((monotonic_s() - received_s) * 1000),
            runs_left=len(runs),
            workers=sorted({run.worker_id for run in runs}),
        )
        self.flush()

    def is_cancelled(self, message: Submit) -> bool:
        """Return whether a job was cancelled before this submission of it came.

        Once that is stored as its final state, it is known as any other job is.
        """
        cell, job_id = self.cell, message.job
        if not is_cancelled_early(cell, job_id, message.account):
            return False
        is_stored = job_id in cell.finished_jobs and self.writer.is_durable(job_id)
        return job_id not in cell.jobs and not is_stored

    async def submit_cancelled_job(self, message: Submit) -> Reply:
        """Acknowledge a job that was cancelled before its submission came.

        The early cancel is kept until this is stored: the submission may be repeated.
        """
        cell, job_id = self.cell, message.job
        if job_id not in cell.finished_jobs:
            account, queue = message.account, message.queue
            record_late_submission(
                cell, job_id, account, queue, message.record, monotonic_s()
            )
            cell.log("accept_cancelled", job_id, queue=queue, account=account)
        self.flush()
        if not self.writer.is_durable(job_id):
            await self.writer.wait_durable()
        if cell.early_cancels.pop(job_id, None) is not None:
            self.writer.remove_record(EARLY_CANCEL_KEY_PREFIX + job_id)
        return Reply(0, Outcome.OK, JobState.CANCELLED.value)
