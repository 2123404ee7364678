"""Recover the cell at the start of a term from the records in the store.

The records of earlier terms and the entries of the workers go in; the cell is rebuilt
from them in slices, so that heartbeats go out meanwhile. Heartbeats report how far the
recovery has come: the other processes do not replace a leader whose recovery advances.
"""

import asyncio
import contextlib
import dataclasses
import gc
import typing as t

from bulrushspur_daemon.clock import boottime_s, monotonic_s, unix_s
from bulrushspur_daemon.record_writer import JOBS_TOPIC, WRITER_NAME, RecordWriter
from bulrushspur_daemon.term_past_use import PAST_USE_KEY, TermPastUse
from bulrushspur_daemon.term_speeds import SPEEDS_KEY, TermSpeeds
from bulrushspur_daemon.worker_records import WorkerRecords
from bulrushspur_daemon.worker_watch import WorkerWatch
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.store import Store, StoreUnavailableError, WriterIdentity
from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.leases import max_hold_s
from bulrushspur_scheduler.worker_list_records import WORKERS_KEY

RETRY_INTERVAL_S: t.Final = 0.15
# Other tasks, such as heartbeats, run between two slices.
SLICE_S: t.Final = 0.01


@dataclasses.dataclass
class TermRecovery:
    """The recovery of one term, and how far it has come."""

    store: Store
    cell: Cell
    writer: RecordWriter
    worker_watch: WorkerWatch
    worker_records: WorkerRecords
    log: EventLog
    # By how long a term without an answer of the store may outlive the last one.
    authority_timeout_s: float
    past_use: TermPastUse | None = None
    speeds: TermSpeeds | None = None
    # Reads the operators' records; raises StoreUnavailableError.
    refresh_config: t.Callable[[], t.Awaitable[None]] | None = None
    loaded_bytes: int = 0
    recovered_records: int = 0
    # When the store had fenced earlier terms; on the monotonic clock.
    fenced_s: float = 0.0

    async def run(self) -> None:
        """Rebuild the cell, retrying until the store answers.

        Raises StoreFencedError if a later term has begun.
        """
        began_s = monotonic_s()
        stored = await self._load_until_answered()
        loaded_s = monotonic_s()
        worker_data = stored.pop(WORKERS_KEY, b"")
        past_use_data = stored.pop(PAST_USE_KEY, b"")
        speeds_data = stored.pop(SPEEDS_KEY, b"")
        with _pause_garbage_collection():
            await self._recover_jobs(stored)
        if self.past_use is not None:
            self._recover_or_skip(PAST_USE_KEY, self.past_use.recover, past_use_data)
        if self.speeds is not None:
            self._recover_or_skip(SPEEDS_KEY, self.speeds.recover, speeds_data)
        cell, now_s = self.cell, monotonic_s()
        if worker_data:
            self.worker_records.recover(worker_data, now_s)
        cell.unobserved_workers = {
            worker.id
            for worker in cell.workers.values()
            if not worker.has_reported and worker.is_recorded
        }
        cell.reconciled = not cell.jobs
        # By then earlier terms have lost their authority, and the leases that they
        # granted have expired, in any incarnation of a worker. No call that the store
        # received after it fenced them has confirmed their authority.
        hold_s = max_hold_s(cell.timing_limits)
        cell.reconcile_by_s = self.fenced_s + self.authority_timeout_s + hold_s
        self.log.event(
            "term_serving",
            urgent=True,
            term=cell.fencing_token,
            jobs=len(cell.jobs),
            finished=len(cell.finished_jobs),
            workers=len(cell.workers),
            dark=len(cell.unobserved_workers),
            loaded_bytes=self.loaded_bytes,
            load_ms=round((loaded_s - began_s) * 1000),
            took_ms=round((monotonic_s() - began_s) * 1000),
        )

    def _recover_or_skip(
        self, key: str, recover: t.Callable[[bytes], None], data: bytes
    ) -> None:
        """Recover what the term can do without; log a record that can't be used."""
        try:
            recover(data)
        except Exception as exc:
            self.log.event("record_unreadable", urgent=True, key=key, reason=repr(exc))

    async def _load_until_answered(self) -> dict[str, bytes]:
        while True:
            try:
                return await self._load()
            except StoreUnavailableError as exc:
                self.log.event("recover_retry", reason=str(exc))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _load(self) -> dict[str, bytes]:
        """Read the records of earlier terms, by key, and the entries of the workers.

        The empty append comes before the read: it fences earlier terms, so that none of
        them can change a record after it was read here. The entries of the workers are
        read meanwhile, which saves time while the store is slow. So are the operators'
        records: this process may have been cut off when they changed.
        """
        writer = WriterIdentity(WRITER_NAME, self.cell.fencing_token, 0)
        sent_s, sent_boot_s = monotonic_s(), boottime_s()
        self.worker_watch.next_offset = None
        entries = asyncio.create_task(self._load_entries())
        try:
            await self.store.append(JOBS_TOPIC, [], writer=writer)
            self.fenced_s = monotonic_s()
            self.recovered_records += 1
            newest, _ = await self.store.read_newest(
                JOBS_TOPIC, on_received=self._count_received
            )
        except BaseException:
            await self._cancel_entries(entries)
            raise
        await entries
        self.writer.record_confirmation(sent_s, sent_boot_s)
        self.writer.sequence = 1
        return {row.key: row.value for row in newest.values() if row.value}

    async def _load_entries(self) -> None:
        await asyncio.gather(
            self.worker_watch.poll(self._count_received), self._refresh_config()
        )

    async def _cancel_entries(self, entries: asyncio.Task[None]) -> None:
        """Cancel the load of the entries and wait until it has ended.

        The next attempt must not run beside it.
        """
        entries.cancel()
        await asyncio.wait([entries])
        error = None if entries.cancelled() else entries.exception()
        if error is not None:
            # The error that is raised is that of the records.
            self.log.event("recover_retry", reason=str(error))

    async def _refresh_config(self) -> None:
        if self.refresh_config is not None:
            await self.refresh_config()

    def _count_received(self, size_bytes: int) -> None:
        self.loaded_bytes += size_bytes

    async def _recover_jobs(self, stored: dict[str, bytes]) -> None:
        slice_began_s = monotonic_s()
        for _ in takeover.iter_recovery(self.cell, stored, slice_began_s, unix_s()):
            self.recovered_records += 1
            if monotonic_s() - slice_began_s > SLICE_S:
                await asyncio.sleep(0)
                slice_began_s = monotonic_s()


@contextlib.contextmanager
def _pause_garbage_collection() -> t.Iterator[None]:
    """Collect no garbage meanwhile: a collection would scan all new objects at once."""
    gc.disable()
    try:
        yield
    finally:
        # Together these move all objects to the oldest generation, unscanned.
        gc.freeze()
        gc.unfreeze()
        gc.enable()
