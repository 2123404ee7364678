"""Apply the registrations of workers in the store to the cell.

Registration records go in; new workers, changed capacity, draining and removed
registrations are applied to the cell. After a store outage, workers whose registration
is missing stay listed for a grace period, in which they can register again. When a
newer incarnation registers on a machine, the earlier ones are marked lost.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_kernel.adapter import Adapter
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.store import (
    Store,
    StoredRecord,
    StoreTruncatedError,
    StoreUnavailableError,
)
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.leases import mark_incarnation_ended
from bulrushspur_scheduler.workers import Worker, WorkerEntry, make_worker, replaces

POLL_INTERVAL_S: t.Final = 0.4
RETRY_INTERVAL_S: t.Final = 0.3
# Workers whose entries expired during a store outage register again within this time.
REREGISTER_GRACE_S: t.Final = 2.6
# Other tasks, such as heartbeats, run between two slices.
SLICE_S: t.Final = 0.01
# Of the workers that registered last, also of those that have gone since.
MAX_KNOWN_OFFSETS: t.Final = 10_000


@dataclasses.dataclass
class WorkerWatch:
    """Read registrations of workers and apply them to the cell of one term."""

    store: Store
    adapter: Adapter
    cell: Cell
    log: EventLog
    on_new_worker: t.Callable[[Worker], None]
    on_change: t.Callable[[], None]
    on_new_capacity: t.Callable[[Worker], None] = lambda worker: None
    on_new_address: t.Callable[[Worker], None] = lambda worker: None
    next_offset: int | None = None
    store_unavailable: bool = False
    grace_until_s: float = 0.0
    missing_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    # The offset of the last record applied, by worker id.
    applied_offsets: dict[str, int] = dataclasses.field(default_factory=dict)
    # Why the last entry cannot be used, by key.
    unusable_keys: dict[str, str] = dataclasses.field(default_factory=dict)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self.poll()
                self.store_unavailable = False
            except StoreTruncatedError:
                self.next_offset = None
            except StoreUnavailableError as exc:
                if not self.store_unavailable:
                    self.store_unavailable = True
                    self.log.event("worker_list_lost", urgent=True, reason=str(exc))
                self.grace_until_s = monotonic_s() + REREGISTER_GRACE_S
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._unlist_missing()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def poll(self, on_received: t.Callable[[int], None] | None = None) -> None:
        """Apply the records added since the last poll, at first the newest of each key.

        ``on_received`` gets the number of bytes of each part of the newest records.
        Raises StoreTruncatedError and StoreUnavailableError.
        """
        topic = self.adapter.workers_topic
        requested_s = monotonic_s()
        if self.next_offset is None:
            newest, next_offset = await self.store.read_newest(
                topic, on_received=on_received
            )
            for worker in self.cell.workers.values():
                if worker.id not in newest and worker.listed:
                    self.missing_since_s.setdefault(worker.id, monotonic_s())
            await self._apply_all(newest.values())
            self.next_offset = next_offset
            self.cell.worker_list_s = requested_s
            self.on_change()
            return
        records, next_offset = await self.store.read(topic, self.next_offset)
        await self._apply_all({record.key: record for record in records}.values())
        self.next_offset = next_offset
        self.cell.worker_list_s = requested_s
        if records:
            self.on_change()

    async def _apply_all(self, records: t.Iterable[StoredRecord]) -> None:
        """Apply records in slices, so that heartbeats go out meanwhile."""
        ids_by_machine = index_machines(self.cell) if records else {}
        slice_began_s = monotonic_s()
        for record in records:
            self._apply(record, ids_by_machine)
            if monotonic_s() - slice_began_s > SLICE_S:
                await asyncio.sleep(0)
                slice_began_s = monotonic_s()

    def _apply(self, record: StoredRecord, ids_by_machine: dict[str, set[str]]) -> None:
        if record.offset < self.applied_offsets.get(record.key, -1):
            # Pages of the newest records, and reads after a compaction, may be behind.
            return
        self.applied_offsets.pop(record.key, None)
        self.applied_offsets[record.key] = record.offset
        if len(self.applied_offsets) > MAX_KNOWN_OFFSETS:
            del self.applied_offsets[next(iter(self.applied_offsets))]
        if not record.value:
            self.missing_since_s.setdefault(record.key, monotonic_s())
            return
        try:
            entry = self.adapter.decode_worker(record.key, record.value)
            self.missing_since_s.pop(record.key, None)
            apply_entry(
                self.cell,
                entry,
                monotonic_s(),
                self.on_new_worker,
                self.on_new_capacity,
                ids_by_machine,
                self.on_new_address,
            )
        except Exception as exc:
            # Whatever the fault: the next leader would fail with it, too.
            self._log_unusable(record.key, str(exc) or repr(exc))
            return
        self.unusable_keys.pop(record.key, None)

    def _log_unusable(self, key: str, reason: str) -> None:
        """Log an entry that cannot be used, once: it may be written again and again."""
        if self.unusable_keys.get(key) == reason:
            return
        self.unusable_keys[key] = reason
        if len(self.unusable_keys) > MAX_KNOWN_OFFSETS:
            del self.unusable_keys[next(iter(self.unusable_keys))]
        self.log.event("worker_entry_unreadable", worker=key[:60], reason=reason[:200])

    def _unlist_missing(self) -> None:
        """Unlist workers whose entries were not registered again."""
        now_s = monotonic_s()
        if now_s < self.grace_until_s:
            return
        for worker_id in list(self.missing_since_s):
            del self.missing_since_s[worker_id]
            worker = self.cell.workers.get(worker_id)
            if worker is not None and worker.listed:
                worker.listed = False
                worker.unlisted_s = now_s
                self.log.event(
                    "worker_unlisted", worker=worker_id, runs=len(worker.runs)
                )


def apply_entry(
    cell: Cell,
    entry: WorkerEntry,
    now_s: float,
    on_new_worker: t.Callable[[Worker], None],
    on_new_capacity: t.Callable[[Worker], None] = lambda worker: None,
    ids_by_machine: dict[str, set[str]] | None = None,
    on_new_address: t.Callable[[Worker], None] = lambda worker: None,
) -> None:
    """Add a worker to the cell, or update it from its entry.

    ``on_new_capacity`` is called for a new address, too, as both are recorded.
    ``ids_by_machine`` has the ids of all workers of the cell by machine, and gets that
    of a new one. It is made here if it is not given.
    """
    if ids_by_machine is None:
        ids_by_machine = index_machines(cell)
    worker = cell.workers.get(entry.id)
    if worker is None:
        ids = ids_by_machine.setdefault(entry.machine, set())
        _expire_previous_incarnations(cell, entry, ids, now_s)
        ids.add(entry.id)
        worker = cell.workers[entry.id] = make_worker(entry, now_s)
        if cell.machine_speeds is not None:
            cell.machine_speeds.apply(worker)
        cell.log(
            "worker_new",
            worker=entry.id,
            zone=entry.zone,
            cpu_milli=entry.capacity.cpu_milli,
        )
        on_new_worker(worker)
    if not worker.listed:
        worker.listed = True
        cell.log("worker_listed", worker=entry.id)
    if entry.draining and not worker.draining:
        cell.log("worker_draining", worker=entry.id, leaves_s=entry.drain_remaining_s)
    if worker.draining:
        # The entry may be that of the next incarnation.
        worker.drained_start_ms = worker.incarnation_start_ms
    worker.draining = entry.draining
    if entry.warmup_remaining_s:
        worker.warm_at_s = now_s + entry.warmup_remaining_s
    worker.drain_deadline_s = (
        now_s + entry.drain_remaining_s if entry.drain_remaining_s is not None else None
    )
    changed = entry.capacity != worker.entry.capacity
    cell.capacities_change |= changed
    if changed:
        old, new = worker.entry.capacity, entry.capacity
        worker.free.cpu_milli += new.cpu_milli - old.cpu_milli
        worker.free.memory_mb += new.memory_mb - old.memory_mb
        worker.free.gpus += new.gpus - old.gpus
        cell.log(
            "worker_capacity",
            worker=entry.id,
            cpu_milli=new.cpu_milli,
            memory_mb=new.memory_mb,
            gpus=new.gpus,
            cpu_milli_before=old.cpu_milli,
            memory_mb_before=old.memory_mb,
            free_milli=worker.free.cpu_milli,
            runs=len(worker.runs),
        )
    has_moved = entry.address != worker.entry.address
    worker.entry = entry
    worker.max_capacity = worker.max_capacity.maximum(entry.capacity)
    if changed or has_moved:
        on_new_capacity(worker)
    if has_moved:
        # Its next incarnation has the same id.
        cell.log("worker_moved", worker=entry.id, runs=len(worker.runs))
        on_new_address(worker)


def index_machines(cell: Cell) -> dict[str, set[str]]:
    """Return the ids of the workers of a cell by machine."""
    rv: dict[str, set[str]] = {}
    for worker in cell.workers.values():
        rv.setdefault(worker.entry.machine, set()).add(worker.id)
    return rv


def _expire_previous_incarnations(
    cell: Cell, entry: WorkerEntry, ids: set[str], now_s: float
) -> None:
    """Mark earlier incarnations on the same machine as lost, with their runs."""
    if not cell.config.may_have_workers(entry.service):
        return
    for other in [cell.workers[id_] for id_ in ids if id_ in cell.workers]:
        if replaces(entry, other):
            mark_incarnation_ended(
                cell, other, "newer incarnation on its machine", now_s, is_final=True
            )
            other.listed = False
