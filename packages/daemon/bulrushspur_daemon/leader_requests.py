"""Answer the requests that gateways forward to the leader.

Submissions, queries and cancellations of jobs come in; each gets one reply. A
submission is answered OK only after its job is stored, and a final state is reported
only after it is stored, so that the next term gives the same answers. Requests may be
repeated.
"""

import asyncio
import dataclasses
import typing as t

import msgspec

from bulrushspur_daemon.advice_dispatcher import AdviceDispatcher
from bulrushspur_daemon.clock import monotonic_s, unix_s
from bulrushspur_daemon.leader_cancels import LeaderCancels
from bulrushspur_daemon.record_writer import NotStoredError, RecordWriter
from bulrushspur_daemon.term_confirmation import TermConfirmation
from bulrushspur_kernel.messages import Cancel, Outcome, Query, Reply, Submit
from bulrushspur_scheduler import admission, advice, ranking
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.content_digests import declares_other_job
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.jobs import Job, make_occurrence
from bulrushspur_scheduler.pools import find_recent_pool
from bulrushspur_scheduler.progress import add_job
from bulrushspur_scheduler.queue_changes import apply_queue
from bulrushspur_scheduler.records import decode_job, encode_job, has_accepted_queue
from bulrushspur_scheduler.takeover import set_aside_unreadable_job

STORE_FAILURE_TIMEOUT_S: t.Final = 0.35
MIN_STORE_RETRY_AFTER_S: t.Final = 1.0
MAX_STORE_RETRY_AFTER_S: t.Final = 3.0
# After an error of the leader's own: another version may handle the request.
FAULT_RETRY_AFTER_S: t.Final = 60.0
# The id of a job is free again some time after the job has ended.
OTHER_JOB_RETRY_AFTER_S: t.Final = 60.0

LeaderRequest = Submit | Query | Cancel


@dataclasses.dataclass(frozen=True, slots=True)
class PendingSubmission:
    """A submission that is not decided yet: its job record, and the reply to come."""

    record: bytes
    reply: asyncio.Future[Reply]


@dataclasses.dataclass
class LeaderRequestHandler:
    """Handle the requests of one term.

    ``pending_submissions`` has the submissions not decided yet, by job id.
    """

    cell: Cell
    writer: RecordWriter
    confirmation: TermConfirmation
    advice_dispatcher: AdviceDispatcher
    spawn: t.Callable[[t.Coroutine[t.Any, t.Any, None]], None]
    request_plan: t.Callable[[], None]
    flush: t.Callable[[], None]
    pending_submissions: dict[str, PendingSubmission] = dataclasses.field(
        default_factory=dict
    )
    cancels: LeaderCancels = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.cancels = LeaderCancels(
            self.cell, self.writer, self.flush, self._find_pending_reply
        )

    def _find_pending_reply(self, job_id: str) -> asyncio.Future[Reply] | None:
        pending = self.pending_submissions.get(job_id)
        return pending.reply if pending is not None else None

    def stop(self) -> None:
        """Cancel the pending submissions; callers are answered by the next leader."""
        for pending in self.pending_submissions.values():
            pending.reply.cancel()

    async def answer(self, message: LeaderRequest) -> Reply:
        """Answer a caller's request.

        That a job does not exist, or is rejected, is said only once the store has shown
        that no later term has begun: another leader may have accepted it meanwhile.
        """
        received_s = monotonic_s()
        if isinstance(message, Submit):
            reply = await self._submit(message)
        elif isinstance(message, Query):
            reply = self._query(message.job)
        else:
            reply = await self._cancel(message, received_s)
        if not await self._is_valid(reply, received_s):
            reply = self._refuse_unconfirmed(message)
        return msgspec.structs.replace(reply, request_id=message.request_id)

    async def _is_valid(self, reply: Reply, received_s: float) -> bool:
        """Return whether a reply to a request that came at ``received_s`` still holds.

        What an accepted job is, and that it is stored, holds whoever leads.
        """
        if reply.outcome is Outcome.UNKNOWN_JOB:
            return await self.confirmation.confirm_since(received_s)
        if reply.outcome is Outcome.REJECTED and not self.confirmation.is_recent():
            return await self.confirmation.confirm_since(received_s)
        return True

    def _refuse_unconfirmed(self, message: LeaderRequest) -> Reply:
        self.cell.log("answer_unconfirmed", message.job, kind=type(message).__name__)
        reason = "the store is away: another leader may know more"
        retry_after_s = self._store_retry_after_s()
        return Reply(0, Outcome.STORE_UNAVAILABLE, "", reason, retry_after_s)

    async def _submit(self, message: Submit) -> Reply:
        cell = self.cell
        pending = self.pending_submissions.get(message.job)
        if pending is None and self.cancels.is_cancelled(message):
            if self._is_store_failing():
                return self._refuse_without_store(message)
            return await self.cancels.submit_cancelled_job(message)
        if pending is None and not self._is_known(message.job):
            reply = asyncio.get_running_loop().create_future()
            pending = PendingSubmission(message.record, reply)
            self.pending_submissions[message.job] = pending
            self.spawn(self._process_submission(message, reply))
        elif declares_other_job(
            cell, message.job, message.record, pending and pending.record
        ):
            reason = "the id belongs to another job"
            return self._reject(message, reason, OTHER_JOB_RETRY_AFTER_S)
        if pending is not None:
            return await asyncio.shield(pending.reply)
        if message.job in cell.unreadable_jobs:
            return Reply(0, Outcome.OK)
        return self._query(message.job)

    def _is_known(self, job_id: str) -> bool:
        """Return whether a job was accepted or cancelled, or is being submitted."""
        cell = self.cell
        known = (cell.jobs, cell.finished_jobs, cell.unreadable_jobs)
        return job_id in self.pending_submissions or any(
            job_id in jobs for jobs in known
        )

    async def _process_submission(
        self, message: Submit, pending: asyncio.Future[Reply]
    ) -> None:
        try:
            reply = await self._admit_and_store(message)
        finally:
            del self.pending_submissions[message.job]
            self.cell.uncommitted_jobs.pop(message.job, None)
        if not pending.done():
            pending.set_result(reply)

    async def _admit_and_store(self, message: Submit) -> Reply:
        """Store an admitted job and add it to the cell, or reject it.

        A submission that can't be handled must not end the term: the caller would hand
        it in to the next leader.
        """
        began_s = monotonic_s()
        try:
            job = self._admit(message, began_s)
        except Exception as exc:
            self.cell.log("request_fault", message.job, reason=repr(exc))
            return self._reject(message, "it cannot be handled", FAULT_RETRY_AFTER_S)
        if isinstance(job, Reply):
            return job
        record = message.record
        if not has_accepted_queue(record):
            # The gateway has an older version.
            record = encode_job(job)
        try:
            await self.writer.store_job(job.id, record)
        except NotStoredError:
            return self._refuse_without_store(message)
        self._add_stored_job(job, began_s)
        return Reply(0, Outcome.OK)

    def _admit(self, message: Submit, now_s: float) -> Job | Reply:
        """Return the job of a submission, or the reply that rejects it."""
        cell = self.cell
        queue = cell.config.queue_by_name.get(message.queue)
        if queue is None:
            return Reply(0, Outcome.NOT_READY)
        if self._is_store_failing():
            return self._refuse_without_store(message)
        try:
            job = decode_job(message.job, message.record, now_s, unix_s())
        except msgspec.DecodeError as exc:
            return self._reject(message, f"unreadable: {exc}", MIN_STORE_RETRY_AFTER_S)
        job.accepted_s = now_s
        job.over_share = ranking.charge_arrival(cell, message.account, now_s)
        apply_queue(cell, job)
        rejection = admission.check_admission(cell, queue, message.account, job, now_s)
        if rejection is not None:
            return self._reject(message, rejection.reason, rejection.retry_after_s)
        if not job.is_repeating:
            make_occurrence(job, 0)
        cell.uncommitted_jobs[job.id] = job
        pool = find_recent_pool(cell, job.service, now_s)
        if pool.workers:
            self.advice_dispatcher.update_free_long_call_lanes()
            advice.prefetch_advice(cell, job, pool)
            self.advice_dispatcher.dispatch()
        return job

    def _add_stored_job(self, job: Job, began_s: float) -> None:
        """Add a job that is stored, or set it aside if that can't be done."""
        cell = self.cell
        try:
            add_job(cell, job, monotonic_s(), unix_s())
        except Exception as exc:
            cell.log("request_fault", job.id, reason=repr(exc))
            set_aside_unreadable_job(cell, job.id)
            return
        cell.log(
            "accept",
            job.id,
            queue=job.queue,
            account=job.account,
            payload=job.spec.payload_crc,
            tasks=sum(step.count for step in job.spec.steps),
            max_attempts=cell.max_attempts(job),
            excess=job.over_share,
            config=cell.config.version,
            stored_ms=round((monotonic_s() - began_s) * 1000),
        )
        self.request_plan()

    def _is_store_failing(self) -> bool:
        """Return whether the store has not answered for some time."""
        failing_since_s = self.writer.failing_since_s
        if not failing_since_s:
            return False
        return monotonic_s() - failing_since_s > STORE_FAILURE_TIMEOUT_S

    def _store_retry_after_s(self) -> float:
        """Return the time after which to retry a submission, in seconds.

        The store is expected to fail for about as long again as it has failed so far.
        """
        failing_s = monotonic_s() - (self.writer.failing_since_s or monotonic_s())
        return min(max(failing_s, MIN_STORE_RETRY_AFTER_S), MAX_STORE_RETRY_AFTER_S)

    def _refuse_without_store(self, message: Submit) -> Reply:
        reply = self._reject(message, "the store is away", self._store_retry_after_s())
        return msgspec.structs.replace(reply, outcome=Outcome.STORE_UNAVAILABLE)

    def _reject(self, message: Submit, reason: str, retry_after_s: float) -> Reply:
        self.cell.log(
            "reject",
            message.job,
            queue=message.queue,
            account=message.account,
            reason=reason,
            retry_after_s=round(retry_after_s, 2),
        )
        self.flush()
        return Reply(0, Outcome.REJECTED, "", reason, retry_after_s)

    def _query(self, job_id: str) -> Reply:
        finished = self.cell.finished_jobs.get(job_id)
        if finished is not None:
            # The next term may not know a final state that is not stored yet.
            if not self.writer.is_durable(job_id):
                return Reply(0, Outcome.OK, JobState.RUNNING.value)
            return Reply(0, Outcome.OK, finished.state.value, finished.reason)
        job = self.cell.jobs.get(job_id)
        if job is not None:
            return Reply(0, Outcome.OK, job.state.value)
        if job_id in self.pending_submissions:
            return Reply(0, Outcome.OK, JobState.QUEUED.value)
        return self._make_unknown_reply(job_id)

    def _make_unknown_reply(self, job_id: str) -> Reply:
        if job_id in self.cell.unreadable_jobs:
            reason = "the leader cannot read what is stored of it"
            return Reply(0, Outcome.NOT_READY, "", reason, FAULT_RETRY_AFTER_S)
        return Reply(0, Outcome.UNKNOWN_JOB)

    async def _cancel(self, message: Cancel, received_s: float) -> Reply:
        """Cancel a job; an unknown one only if no other leader can have accepted it."""
        if message.job in self.cell.unreadable_jobs:
            return self._make_unknown_reply(message.job)
        is_known = self._is_known(message.job)
        if not is_known and not await self.confirmation.confirm_since(received_s):
            return self._refuse_unconfirmed(message)
        return await self.cancels.cancel(message)
