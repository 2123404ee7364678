"""Write what must last: one fenced, ordered stream of records for each term."""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import boot_s, steady_s
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_kernel.store import (
    Store,
    StoreConflictError,
    StoreFencedError,
    StoreUnavailableError,
    Writer,
)
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.records import (
    ACCEPTED_PREFIX,
    PROGRESS_PREFIX,
    encode_progress,
)

JOBS_TOPIC: t.Final = "keyed.jobs"
WRITER_NAME: t.Final = "scheduler"
GATHER_JOBS_S: t.Final = 0.002
GATHER_S: t.Final = 0.02
APPEND_S: t.Final = 0.7
RETRY_S: t.Final = 0.1
RETRY_MOST_S: t.Final = 0.4
ROWS_AT_MOST: t.Final = 400

Row = tuple[str, bytes]


class NotStoredError(Exception):
    """Tell that a record was withdrawn before it was ever sent."""


@dataclasses.dataclass
class Batch:
    """Rows of one append, and who waits for them."""

    rows: list[Row] = dataclasses.field(default_factory=list)
    jobs: set[str] = dataclasses.field(default_factory=set)
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
    accepted: dict[str, tuple[bytes, asyncio.Future[None]]] = dataclasses.field(
        default_factory=dict
    )
    extra: dict[str, bytes] = dataclasses.field(default_factory=dict)
    waiters: list[asyncio.Future[None]] = dataclasses.field(default_factory=list)
    batch: Batch | None = None
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    confirmed_boot_s: float = 0.0
    confirmed_s: float = 0.0
    failing_since_s: float = 0.0

    async def store_job(self, job_id: str, record: bytes) -> None:
        """Wait until an accepted job is stored."""
        done = asyncio.get_running_loop().create_future()
        self.accepted[job_id] = (record, done)
        self.wake.set()
        await done

    def withdraw_waiting(self) -> None:
        """Refuse the jobs that were never sent, while the store does not answer."""
        for _, done in self.accepted.values():
            if not done.done():
                done.set_exception(NotStoredError())
        self.accepted.clear()

    async def durable(self) -> None:
        """Wait until all that has changed so far is stored."""
        done = asyncio.get_running_loop().create_future()
        if self.cell.dirty or self.extra:
            self.waiters.append(done)
            self.wake.set()
        elif self.batch is not None:
            self.batch.waiters.append(done)
        else:
            return
        await done

    def is_durable(self, job_id: str) -> bool:
        """Tell whether the last change of a job is stored."""
        if job_id in self.cell.dirty:
            return False
        return self.batch is None or job_id not in self.batch.jobs

    def note_dirty(self) -> None:
        """Write soon where something has changed."""
        if self.cell.dirty:
            self.wake.set()

    def confirm(self, sent_s: float, sent_boot_s: float) -> None:
        """Note that the store has confirmed this term."""
        self.confirmed_s = max(self.confirmed_s, sent_s)
        self.confirmed_boot_s = max(self.confirmed_boot_s, sent_boot_s)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self.wake.wait()
            await asyncio.sleep(GATHER_JOBS_S if self.accepted else GATHER_S)
            self.wake.clear()
            batch = self.batch = self._take()
            if batch.rows:
                await self._write(batch)
            self.batch = None
            for done in batch.waiters:
                if not done.done():
                    done.set_result(None)
            if self.accepted or self.cell.dirty or self.extra:
                self.wake.set()

    def _take(self) -> Batch:
        batch = Batch(waiters=self.waiters)
        self.waiters = []
        stored: list[asyncio.Future[None]] = []
        for job_id, (record, done) in self.accepted.items():
            batch.rows.append((ACCEPTED_PREFIX + job_id, record))
            stored.append(done)
        self.accepted = {}
        batch.rows += self.extra.items()
        self.extra = {}
        while self.cell.dirty and len(batch.rows) < ROWS_AT_MOST:
            job_id = self.cell.dirty.pop()
            batch.jobs.add(job_id)
            batch.rows += self._progress_rows(job_id)
        if self.cell.dirty:
            # Who waits for all that has changed waits for the rest, too.
            self.waiters, batch.waiters = batch.waiters, []
        batch.waiters += stored
        return batch

    def _progress_rows(self, job_id: str) -> list[Row]:
        progress = encode_progress(self.cell, job_id)
        if progress is None:
            # Told for long enough: nothing is kept of it.
            return [(PROGRESS_PREFIX + job_id, b"")]
        rows = [(PROGRESS_PREFIX + job_id, progress)]
        if job_id in self.cell.finished:
            rows.append((ACCEPTED_PREFIX + job_id, b""))
        return rows

    async def _write(self, batch: Batch) -> None:
        writer = Writer(WRITER_NAME, self.cell.fence, self.sequence)
        self.sequence += 1
        pause_s = RETRY_S
        while True:
            sent_s, sent_boot_s = steady_s(), boot_s()
            try:
                await self.store.append(
                    JOBS_TOPIC, batch.rows, writer=writer, timeout_s=APPEND_S
                )
            except (StoreFencedError, StoreConflictError) as exc:
                self.on_superseded(f"append was fenced: {exc}")
                await asyncio.Event().wait()
            except StoreUnavailableError as exc:
                self._note_failure(str(exc), len(batch.rows))
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, RETRY_MOST_S)
                self.withdraw_waiting()
                continue
            self.confirm(sent_s, sent_boot_s)
            self.metrics.record_s("store_append", steady_s() - sent_s)
            self.metrics.count("store_rows", len(batch.rows))
            if self.failing_since_s:
                away_ms = round((steady_s() - self.failing_since_s) * 1000)
                self.log.event("store_regained", urgent=True, away_ms=away_ms)
                self.failing_since_s = 0.0
            return

    def _note_failure(self, reason: str, rows: int) -> None:
        if not self.failing_since_s:
            self.failing_since_s = steady_s()
            self.log.event("store_lost", urgent=True, reason=reason, rows=rows)

    def stop(self) -> None:
        """Release all who wait: what they wait for is in doubt."""
        rows = [*self.waiters, *(done for _, done in self.accepted.values())]
        if self.batch is not None:
            rows += self.batch.waiters
        for done in rows:
            done.cancel()
