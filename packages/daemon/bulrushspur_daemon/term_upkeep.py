"""Do what a term does at an interval, apart from planning.

Expired leases, due occurrences, runs to evict, workers that are gone and old final
states are found by the time; the result is a changed cell, and a request to plan.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s, unix_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_daemon.worker_connections import WorkerConnections
from bulrushspur_daemon.worker_records import WorkerRecords
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.early_cancels import (
    EARLY_CANCEL_KEY_PREFIX,
    purge_early_cancels,
)
from bulrushspur_scheduler.eviction import evict_runs
from bulrushspur_scheduler.headroom import observe_urgent_cpu
from bulrushspur_scheduler.leases import expire_leases, list_expired_workers
from bulrushspur_scheduler.progress import (
    purge_finished_jobs,
    start_all_due_occurrences,
)
from bulrushspur_scheduler.suspects import judge_suspects
from bulrushspur_scheduler.waiting import WaitMonitor

TICK_INTERVAL_S: t.Final = 0.1
WAIT_REPORT_INTERVAL_S: t.Final = 1.0


@dataclasses.dataclass
class TermUpkeep:
    """The upkeep of one term's cell."""

    cell: Cell
    writer: RecordWriter
    worker_connections: WorkerConnections
    worker_records: WorkerRecords
    request_plan: t.Callable[[], None]
    wait_monitor: WaitMonitor = dataclasses.field(default_factory=WaitMonitor)

    async def run(self) -> None:
        """Keep the cell up to date until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now_s = monotonic_s()
            cell = self.cell
            expire_leases(cell, self.writer.confirmed_s)
            start_all_due_occurrences(cell, now_s, unix_s())
            evict_runs(cell, now_s)
            judge_suspects(cell, now_s)
            observe_urgent_cpu(cell)
            self._remove_expired_workers(now_s)
            for job_id in purge_finished_jobs(cell, now_s):
                cell.dirty_jobs.add(job_id)
            for job_id in purge_early_cancels(cell, now_s):
                self.writer.remove_record(EARLY_CANCEL_KEY_PREFIX + job_id)
            self.request_plan()

    def _remove_expired_workers(self, now_s: float) -> None:
        """Remove unlisted workers on which nothing can run any more."""
        confirmed_s = self.writer.confirmed_s
        for worker in list_expired_workers(self.cell, confirmed_s, now_s):
            del self.cell.workers[worker.id]
            self.worker_connections.close(worker.id)
            self.worker_records.remove(worker.id)
            self.cell.log("worker_gone", worker=worker.id)

    async def report_waits(self) -> None:
        """Log why jobs wait until cancelled."""
        while True:
            await asyncio.sleep(WAIT_REPORT_INTERVAL_S)
            self.wait_monitor.report(self.cell, monotonic_s())
