"""Keep the stored list of the workers on which runs may be in progress.

A worker is recorded before the term connects to it, and that it has answered before
anything starts there. So the next term knows every worker on which this term may have
started runs, and does not wait for an entry that has never answered.
"""

import asyncio
import dataclasses
import typing as t

import msgspec

from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.worker_list_records import (
    WORKERS_KEY,
    WorkerRecord,
    decode_workers,
    encode_workers,
    make_recorded_entry,
    make_worker_record,
    merge_worker_records,
)
from bulrushspur_scheduler.workers import Worker, make_worker, replaces

UNKNOWN_WORKER_ID: t.Final = "?"


@dataclasses.dataclass
class WorkerRecords:
    """The recorded workers by id; ``open_connection`` is called once one is stored."""

    cell: Cell
    writer: RecordWriter
    open_connection: t.Callable[[Worker], None]
    spawn: t.Callable[[t.Coroutine[t.Any, t.Any, None]], None]
    has_ended: t.Callable[[], bool]
    request_plan: t.Callable[[], None] = lambda: None
    by_id: dict[str, WorkerRecord] = dataclasses.field(default_factory=dict)
    # Workers whose answer is being stored.
    answered_ids: set[str] = dataclasses.field(default_factory=set)
    is_queued: bool = False

    def add(self, worker: Worker) -> None:
        """Store a record of a new worker, then connect to it."""
        worker.is_recorded = False
        if worker.id in self.by_id:
            self.open_connection(worker)
            return
        record = make_worker_record(worker.entry)
        record.has_answered = False
        self.by_id[worker.id] = record
        self._queue()
        self.spawn(self._open_when_durable(worker))

    def add_answer(self, worker: Worker) -> None:
        """Store that a worker has answered; from then on it may get runs."""
        record = self.by_id.get(worker.id)
        if record is None or worker.id in self.answered_ids:
            return
        self.answered_ids.add(worker.id)
        if not record.has_answered:
            record.has_answered = True
            self._queue()
        self.spawn(self._mark_recorded_when_durable(worker))

    def update(self, worker: Worker) -> None:
        """Store the new capacity or address of a recorded worker.

        The most capacity that it ever had is kept: its runs may be older than a change.
        """
        record = self.by_id.get(worker.id)
        if record is not None:
            merged = merge_worker_records(record, make_worker_record(worker.entry))
            if merged != record:
                self.by_id[worker.id] = merged
                self._queue()

    def remove(self, worker_id: str) -> None:
        """Remove a worker on which nothing can run any more."""
        if self.by_id.pop(worker_id, None) is not None:
            self._queue()

    def recover(self, data: bytes, now_s: float) -> None:
        """Add the workers on which earlier terms may have left runs.

        A worker whose machine has started another one since has ended. If the list
        can't be read, an unknown worker stands for all that it may have named.
        """
        try:
            records = decode_workers(data)
        except msgspec.DecodeError as exc:
            self.cell.log("worker_records_unreadable", reason=str(exc))
            entry = make_recorded_entry(WorkerRecord(UNKNOWN_WORKER_ID, "", 0))
            unknown = make_worker(entry, now_s)
            unknown.listed = False
            self.cell.workers[unknown.id] = unknown
            records = []
        for record in records:
            self.by_id[record.id] = record
            worker = self.cell.workers.get(record.id)
            if worker is not None:
                worker.is_recovered = True
                worker.is_recorded = record.has_answered
                recorded = make_recorded_entry(record).capacity
                worker.max_capacity = worker.max_capacity.maximum(recorded)
                self.update(worker)
            else:
                worker = make_worker(make_recorded_entry(record), now_s)
                if any(
                    replaces(other.entry, worker)
                    and self.cell.config.may_have_workers(other.entry.service)
                    for other in self.cell.workers.values()
                ):
                    del self.by_id[record.id]
                    continue
                self.cell.workers[record.id] = worker
                worker.is_recovered = True
                worker.is_recorded = record.has_answered
                worker.listed = False
                self.open_connection(worker)
        # The list queued while the workers' entries were loaded lacks these records.
        self._queue()

    def _queue(self) -> None:
        """Let the list be written; it is encoded once for all changes of a moment."""
        if not self.is_queued:
            self.is_queued = True
            asyncio.get_running_loop().call_soon(self._encode)

    def _encode(self) -> None:
        self.is_queued = False
        self.writer.pending_records[WORKERS_KEY] = encode_workers(
            list(self.by_id.values())
        )

    async def _mark_recorded_when_durable(self, worker: Worker) -> None:
        try:
            await self.writer.wait_durable()
        finally:
            self.answered_ids.discard(worker.id)
        worker.is_recorded = True
        self.request_plan()

    async def _open_when_durable(self, worker: Worker) -> None:
        await self.writer.wait_durable()
        # Meanwhile it may have been forgotten, and added again.
        if not self.has_ended() and self.cell.workers.get(worker.id) is worker:
            self.open_connection(worker)
