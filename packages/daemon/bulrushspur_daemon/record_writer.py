"""Write the records of jobs and workers to the store, as the only writer of a term.

Accepted jobs, progress of changed jobs and other records go in; they are appended in
batches, one at a time. An append is repeated under its sequence number until the store
answers, so that it takes effect once and batches stay in order. Waiters are released
when their records are stored; a fenced append ends the term.

A store that answers other calls meanwhile is slow, or has lost an answer: then jobs
wait for the next attempt. One that answers nothing is unavailable, and jobs that were
not sent are rejected at once.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import boottime_s, monotonic_s
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_kernel.store import (
    Store,
    StoreConflictError,
    StoreFencedError,
    StoreUnavailableError,
    WriterIdentity,
)
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.failed_runs import FailedRun, mark_stored, take_unstored
from bulrushspur_scheduler.progress_records import PROGRESS_KEY_PREFIX, encode_progress
from bulrushspur_scheduler.records import JOB_KEY_PREFIX
from bulrushspur_scheduler.takeover import set_aside_unreadable_job

JOBS_TOPIC: t.Final = "keyed.jobs"
WRITER_NAME: t.Final = "scheduler"
JOB_BATCH_DELAY_S: t.Final = 0.002
BATCH_DELAY_S: t.Final = 0.02
APPEND_TIMEOUT_S: t.Final = 0.7
MAX_APPEND_TIMEOUT_S: t.Final = 2.0
# The timeout is this many times what the last append took.
APPEND_TIMEOUT_FACTOR: t.Final = 2.5
# After a failure an append is given up once the store has answered a call that was
# answered so much later than it was sent.
ANSWER_CHECK_INTERVAL_S: t.Final = 0.02
MIN_ANSWER_AGE_S: t.Final = 0.1
# So many attempts in succession may fail before a slow store counts as unavailable.
MAX_SLOW_ATTEMPTS: t.Final = 3
MIN_BACKOFF_S: t.Final = 0.1
MAX_BACKOFF_S: t.Final = 0.4
MAX_BATCH_ROWS: t.Final = 400
# The store takes 2 MB in a call.
MAX_BATCH_BYTES: t.Final = 1_500_000

Row = tuple[str, bytes]


class NotStoredError(Exception):
    """Signal that a job's record was dropped before it was sent to the store."""


@dataclasses.dataclass
class Batch:
    """Rows of one append, and the futures to resolve when they are stored."""

    rows: list[Row] = dataclasses.field(default_factory=list)
    job_ids: set[str] = dataclasses.field(default_factory=set)
    # The crashes that the rows have, by job id.
    crash_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    # Those that no earlier batch has.
    failed_runs: list[FailedRun] = dataclasses.field(default_factory=list)
    waiters: list[asyncio.Future[None]] = dataclasses.field(default_factory=list)
    size_bytes: int = 0

    def add(self, rows: t.Iterable[Row]) -> None:
        """Add rows."""
        for key, value in rows:
            self.rows.append((key, value))
            self.size_bytes += len(key) + len(value)

    @property
    def is_full(self) -> bool:
        """Return whether further rows should go into the next batch."""
        return len(self.rows) >= MAX_BATCH_ROWS or self.size_bytes >= MAX_BATCH_BYTES


@dataclasses.dataclass
class RecordWriter:
    """Records to be written, and the batch that is being appended.

    ``confirmed_s`` is when the latest call that confirmed the term was sent;
    ``failing_since_s`` is 0 while the store answers.
    """

    store: Store
    cell: Cell
    log: EventLog
    metrics: Metrics
    on_superseded: t.Callable[[str], None]
    sequence: int = 0
    unsent_jobs: dict[str, tuple[bytes, asyncio.Future[None]]] = dataclasses.field(
        default_factory=dict
    )
    pending_records: dict[str, bytes] = dataclasses.field(default_factory=dict)
    waiters: list[asyncio.Future[None]] = dataclasses.field(default_factory=list)
    in_flight_batch: Batch | None = None
    write_requested: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    confirmed_boottime_s: float = 0.0
    confirmed_s: float = 0.0
    failing_since_s: float = 0.0
    append_timeout_s: float = APPEND_TIMEOUT_S

    async def store_job(self, job_id: str, record: bytes) -> None:
        """Store an accepted job; return when its record is stored.

        Raises NotStoredError if the record was dropped before it was sent.
        """
        stored = asyncio.get_running_loop().create_future()
        self.unsent_jobs[job_id] = (record, stored)
        self.write_requested.set()
        await stored

    def reject_unsent_jobs(self) -> None:
        """Drop the jobs that were not sent yet, while the store does not answer.

        A job that was sent may be stored, so it stays in doubt until the store answers.
        """
        for _, stored in self.unsent_jobs.values():
            if not stored.done():
                stored.set_exception(NotStoredError())
        self.unsent_jobs.clear()

    async def wait_durable(self) -> None:
        """Wait until all changes made so far are stored."""
        stored = asyncio.get_running_loop().create_future()
        if self.cell.dirty_jobs or self.pending_records:
            self.waiters.append(stored)
            self.write_requested.set()
        elif self.in_flight_batch is not None:
            self.in_flight_batch.waiters.append(stored)
        else:
            return
        await stored

    def is_durable(self, job_id: str) -> bool:
        """Return whether the latest change of a job is stored."""
        if job_id in self.cell.dirty_jobs:
            return False
        return (
            self.in_flight_batch is None or job_id not in self.in_flight_batch.job_ids
        )

    def remove_record(self, key: str) -> None:
        """Remove a record with the next write; nothing waits for that."""
        self.pending_records[key] = b""

    def request_write(self) -> None:
        """Wake the writer if the progress of a job has changed."""
        if self.cell.dirty_jobs:
            self.write_requested.set()

    def record_confirmation(self, sent_s: float, sent_boot_s: float) -> None:
        """Record when a store call was sent whose answer confirmed this term.

        Both times are in seconds, one per clock. The time of sending counts, because a
        later term may have begun while the answer was on its way.
        """
        self.confirmed_s = max(self.confirmed_s, sent_s)
        self.confirmed_boottime_s = max(self.confirmed_boottime_s, sent_boot_s)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self.write_requested.wait()
            await asyncio.sleep(
                JOB_BATCH_DELAY_S if self.unsent_jobs else BATCH_DELAY_S
            )
            self.write_requested.clear()
            batch = self.in_flight_batch = self._assemble_batch()
            if batch.rows:
                await self._write(batch)
            self.in_flight_batch = None
            for job_id, crash_version in batch.crash_versions.items():
                if job_id in self.cell.jobs:
                    self.cell.jobs[job_id].stored_crash_version = crash_version
            mark_stored(batch.failed_runs)
            for waiter in batch.waiters:
                if not waiter.done():
                    waiter.set_result(None)
            if self.unsent_jobs or self.cell.dirty_jobs or self.pending_records:
                self.write_requested.set()

    def _assemble_batch(self) -> Batch:
        """Move what is to be written to a batch; what is beyond its limits stays."""
        batch = Batch(waiters=self.waiters)
        self.waiters = []
        job_waiters: list[asyncio.Future[None]] = []
        batch.add(self.pending_records.items())
        self.pending_records = {}
        while self.unsent_jobs and not batch.is_full:
            job_id = next(iter(self.unsent_jobs))
            record, stored = self.unsent_jobs.pop(job_id)
            batch.add([(JOB_KEY_PREFIX + job_id, record)])
            job_waiters.append(stored)
        while self.cell.dirty_jobs and not batch.is_full:
            self._add_progress(batch, self.cell.dirty_jobs.pop())
        if self.cell.dirty_jobs:
            # These wait for every change, so they wait for the following batches, too.
            self.waiters, batch.waiters = batch.waiters, []
        batch.waiters += job_waiters
        return batch

    def _add_progress(self, batch: Batch, job_id: str) -> None:
        """Add the progress of a job; set the job aside if it can't be encoded."""
        batch.job_ids.add(job_id)
        try:
            batch.add(self._progress_rows(job_id))
        except Exception as exc:
            self.cell.log("record_fault", job_id, reason=repr(exc))
            set_aside_unreadable_job(self.cell, job_id)
            return
        job = self.cell.jobs.get(job_id)
        if job is not None:
            batch.crash_versions[job_id] = job.crash_version
            batch.failed_runs += take_unstored(job)

    def _progress_rows(self, job_id: str) -> list[Row]:
        progress = encode_progress(self.cell, job_id)
        if progress is None:
            # The job ended and its status was kept long enough: delete its record.
            return [(PROGRESS_KEY_PREFIX + job_id, b"")]
        rows = [(PROGRESS_KEY_PREFIX + job_id, progress)]
        if job_id in self.cell.finished_jobs:
            rows.append((JOB_KEY_PREFIX + job_id, b""))
        return rows

    async def _write(self, batch: Batch) -> None:
        writer = WriterIdentity(WRITER_NAME, self.cell.fencing_token, self.sequence)
        self.sequence += 1
        backoff_s = MIN_BACKOFF_S
        slow_attempts = 0
        while True:
            sent_s, sent_boot_s = monotonic_s(), boottime_s()
            try:
                await self._append(batch.rows, writer, sent_s)
            except (StoreFencedError, StoreConflictError) as exc:
                self.on_superseded(f"append was fenced: {exc}")
                # Write nothing more; the end of the term cancels this task.
                await asyncio.Event().wait()
            except StoreUnavailableError as exc:
                if self.store.last_answer_s > sent_s:
                    slow_attempts += 1
                    self._record_slow_attempt(str(exc), len(batch.rows))
                    if slow_attempts < MAX_SLOW_ATTEMPTS:
                        continue
                self._record_failure(str(exc), len(batch.rows))
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                self.reject_unsent_jobs()
                continue
            self.record_confirmation(sent_s, sent_boot_s)
            self._adapt_timeout(monotonic_s() - sent_s)
            self.metrics.record_duration("store_append", monotonic_s() - sent_s)
            self.metrics.count("store_rows", len(batch.rows))
            if self.failing_since_s:
                failing_ms = round((monotonic_s() - self.failing_since_s) * 1000)
                self.log.event("store_regained", urgent=True, away_ms=failing_ms)
                self.failing_since_s = 0.0
            return

    async def _append(
        self, rows: list[Row], writer: WriterIdentity, sent_s: float
    ) -> None:
        """Append once; after failures, give up soon once the store answers others.

        An attempt on a connection that an outage has silenced would keep all jobs
        waiting until it times out. Repeating it has no further effect.
        """
        appending = asyncio.ensure_future(
            self.store.append(
                JOBS_TOPIC, rows, writer=writer, timeout_s=self.append_timeout_s
            )
        )
        try:
            while self.failing_since_s and not appending.done():
                await asyncio.wait({appending}, timeout=ANSWER_CHECK_INTERVAL_S)
                answered_s = self.store.last_answer_s
                is_overtaken = answered_s > sent_s + MIN_ANSWER_AGE_S
                if not appending.done() and is_overtaken:
                    raise StoreUnavailableError("the store has answered later calls")
            await appending
        finally:
            appending.cancel()

    def _record_slow_attempt(self, reason: str, row_count: int) -> None:
        self.metrics.count("store_slow")
        self.log.event("store_slow", urgent=True, reason=reason, rows=row_count)
        self._adapt_timeout(self.append_timeout_s)

    def _adapt_timeout(self, took_s: float) -> None:
        """Set the timeout of the next append by how long one took, at least."""
        wanted_s = max(took_s * APPEND_TIMEOUT_FACTOR, self.append_timeout_s / 2)
        self.append_timeout_s = min(
            max(wanted_s, APPEND_TIMEOUT_S), MAX_APPEND_TIMEOUT_S
        )

    def _record_failure(self, reason: str, row_count: int) -> None:
        if not self.failing_since_s:
            self.failing_since_s = monotonic_s()
            self.log.event("store_lost", urgent=True, reason=reason, rows=row_count)

    def stop(self) -> None:
        """Cancel all waiters, because their records may or may not be stored."""
        waiters = [*self.waiters, *(stored for _, stored in self.unsent_jobs.values())]
        if self.in_flight_batch is not None:
            waiters += self.in_flight_batch.waiters
        for waiter in waiters:
            waiter.cancel()
