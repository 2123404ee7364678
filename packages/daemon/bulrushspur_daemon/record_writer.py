"""Write what must last: one fenced, ordered stream of records for each term."""

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
from bulrushspur_scheduler.records import (
    JOB_KEY_PREFIX,
    PROGRESS_KEY_PREFIX,
    encode_progress,
)

JOBS_TOPIC: t.Final = "keyed.jobs"
WRITER_NAME: t.Final = "scheduler"
JOB_BATCH_DELAY_S: t.Final = 0.002
BATCH_DELAY_S: t.Final = 0.02
APPEND_TIMEOUT_S: t.Final = 0.7
MIN_BACKOFF_S: t.Final = 0.1
MAX_BACKOFF_S: t.Final = 0.4
MAX_BATCH_ROWS: t.Final = 400

Row = tuple[str, bytes]


class NotStoredError(Exception):
    """Tell that a record was withdrawn before it was ever sent."""


@dataclasses.dataclass
class Batch:
    """Rows of one append, and who waits for them."""

    rows: list[Row] = dataclasses.field(default_factory=list)
    job_ids: set[str] = dataclasses.field(default_factory=set)
    waiters: list[asyncio.Future[None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class RecordWriter:
    """Records to be written, and the batch under way."""

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

    async def store_job(self, job_id: str, record: bytes) -> None:
        """Wait until an accepted job is stored."""
        done = asyncio.get_running_loop().create_future()
        self.unsent_jobs[job_id] = (record, done)
        self.write_requested.set()
        await done

    def reject_unsent_jobs(self) -> None:
        """Refuse the jobs that were never sent, while the store does not answer."""
        for _, done in self.unsent_jobs.values():
            if not done.done():
                done.set_exception(NotStoredError())
        self.unsent_jobs.clear()

    async def wait_durable(self) -> None:
        """Wait until all that has changed so far is stored."""
        done = asyncio.get_running_loop().create_future()
        if self.cell.dirty_jobs or self.pending_records:
            self.waiters.append(done)
            self.write_requested.set()
        elif self.in_flight_batch is not None:
            self.in_flight_batch.waiters.append(done)
        else:
            return
        await done

    def is_durable(self, job_id: str) -> bool:
        """Tell whether the last change of a job is stored."""
        if job_id in self.cell.dirty_jobs:
            return False
        return (
            self.in_flight_batch is None or job_id not in self.in_flight_batch.job_ids
        )

    def request_write(self) -> None:
        """Write soon where something has changed."""
        if self.cell.dirty_jobs:
            self.write_requested.set()

    def record_confirmation(self, sent_s: float, sent_boot_s: float) -> None:
        """Note that the store has confirmed this term."""
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
            batch = self.in_flight_batch = self._take()
            if batch.rows:
                await self._write(batch)
            self.in_flight_batch = None
            for done in batch.waiters:
                if not done.done():
                    done.set_result(None)
            if self.unsent_jobs or self.cell.dirty_jobs or self.pending_records:
                self.write_requested.set()

    def _take(self) -> Batch:
        batch = Batch(waiters=self.waiters)
        self.waiters = []
        stored: list[asyncio.Future[None]] = []
        for job_id, (record, done) in self.unsent_jobs.items():
            batch.rows.append((JOB_KEY_PREFIX + job_id, record))
            stored.append(done)
        self.unsent_jobs = {}
        batch.rows += self.pending_records.items()
        self.pending_records = {}
        while self.cell.dirty_jobs and len(batch.rows) < MAX_BATCH_ROWS:
            job_id = self.cell.dirty_jobs.pop()
            batch.job_ids.add(job_id)
            batch.rows += self._progress_rows(job_id)
        if self.cell.dirty_jobs:
            # Who waits for all that has changed waits for the rest, too.
            self.waiters, batch.waiters = batch.waiters, []
        batch.waiters += stored
        return batch

    def _progress_rows(self, job_id: str) -> list[Row]:
        progress = encode_progress(self.cell, job_id)
        if progress is None:
            # Told for long enough: nothing is kept of it.
            return [(PROGRESS_KEY_PREFIX + job_id, b"")]
        rows = [(PROGRESS_KEY_PREFIX + job_id, progress)]
        if job_id in self.cell.finished_jobs:
            rows.append((JOB_KEY_PREFIX + job_id, b""))
        return rows

    async def _write(self, batch: Batch) -> None:
        writer = WriterIdentity(WRITER_NAME, self.cell.fencing_token, self.sequence)
        self.sequence += 1
        pause_s = MIN_BACKOFF_S
        while True:
            sent_s, sent_boot_s = monotonic_s(), boottime_s()
            try:
                await self.store.append(
                    JOBS_TOPIC, batch.rows, writer=writer, timeout_s=APPEND_TIMEOUT_S
                )
            except (StoreFencedError, StoreConflictError) as exc:
                self.on_superseded(f"append was fenced: {exc}")
                await asyncio.Event().wait()
            except StoreUnavailableError as exc:
                self._note_failure(str(exc), len(batch.rows))
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, MAX_BACKOFF_S)
                self.reject_unsent_jobs()
                continue
            self.record_confirmation(sent_s, sent_boot_s)
            self.metrics.record_duration("store_append", monotonic_s() - sent_s)
            self.metrics.count("store_rows", len(batch.rows))
            if self.failing_since_s:
                away_ms = round((monotonic_s() - self.failing_since_s) * 1000)
                self.log.event("store_regained", urgent=True, away_ms=away_ms)
                self.failing_since_s = 0.0
            return

    def _note_failure(self, reason: str, rows: int) -> None:
        if not self.failing_since_s:
            self.failing_since_s = monotonic_s()
            self.log.event("store_lost", urgent=True, reason=reason, rows=rows)

    def stop(self) -> None:
        """Release all who wait: what they wait for is in doubt."""
        rows = [*self.waiters, *(done for _, done in self.unsent_jobs.values())]
        if self.in_flight_batch is not None:
            rows += self.in_flight_batch.waiters
        for done in rows:
            done.cancel()
