"""Carry orders to workers, and keep their leases and lists up to date."""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_kernel.adapter import (
    Adapter,
    IncarnationMismatchError,
    StaleTermError,
    WorkerClient,
    WorkerUnresponsiveError,
)
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.cell import Cell, StartOrder, StopOrder
from bulrushspur_scheduler.leases import extend_lease, mark_worker_lost
from bulrushspur_scheduler.reports import (
    StartResult,
    apply_report,
    handle_start_result,
    handle_stop_result,
)
from bulrushspur_scheduler.workers import Worker

START_LEASE_S: t.Final = 2.0
BUSY_LONG_POLL_TIMEOUT_MS: t.Final = 400
IDLE_LONG_POLL_TIMEOUT_MS: t.Final = 700
RETRY_INTERVAL_S: t.Final = 0.1
STOP_RETRY_INTERVAL_S: t.Final = 0.3
# A hold goes out again after this long, whether the store answers or not.
MAX_STORE_WAIT_S: t.Final = 0.4
MAX_CONCURRENT_ORDERS: t.Final = 3
SILENCE_LOG_THRESHOLD_S: t.Final = 1.0
REPORT_TIMEOUT_S: t.Final = 1.2


@dataclasses.dataclass
class WorkerConnection:
    """The connection to one worker."""

    worker: Worker
    client: WorkerClient
    order_slots: asyncio.Semaphore
    poll_task: asyncio.Task[None] | None = None
    # Ends up to here are stored; told once, for a next life counts anew.
    durable_end_sequence: int = 0
    acknowledged_end_sequence: int = 0
    silent: bool = False
    # The last call failed: another life may answer the next one.
    incarnation_unverified: bool = True
    # Waits until the ends that were listed are stored.
    store_task: asyncio.Task[None] | None = None


@dataclasses.dataclass
class WorkerConnections:
    """Connections to all workers of a term."""

    cell: Cell
    adapter: Adapter
    writer: RecordWriter
    log: EventLog
    metrics: Metrics
    request_plan: t.Callable[[], None]
    has_authority: t.Callable[[], bool]
    by_worker_id: dict[str, WorkerConnection] = dataclasses.field(default_factory=dict)
    order_tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def open(self, worker: Worker) -> None:
        """Begin to talk to a worker."""
        client = self.adapter.make_worker_client(worker.entry)
        link = WorkerConnection(
            worker, client, asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        )
        self.by_worker_id[worker.id] = link
        link.poll_task = asyncio.create_task(self._hold_loop(link))

    def close(self, worker_id: str) -> None:
        """Stop talking to a worker."""
        link = self.by_worker_id.pop(worker_id, None)
        if link is None:
            return
        for task in (link.poll_task, link.store_task):
            if task is not None:
                task.cancel()
        link.client.close()

    def close_all(self) -> None:
        """Stop talking to all workers."""
        for worker_id in list(self.by_worker_id):
            self.close(worker_id)
        for task in list(self.order_tasks):
            task.cancel()

    async def _hold_loop(self, link: WorkerConnection) -> None:
        while True:
            try:
                await self._hold(link)
            except StaleTermError as exc:
                self.cell.superseded = True
                self.log.event(
                    "fenced", urgent=True, worker=link.worker.id, reason=str(exc)
                )
                self.request_plan()
                return
            except IncarnationMismatchError:
                mark_worker_lost(self.cell, link.worker, "another life answered")
                link.worker.has_reported = False
                link.worker.lease_until_ms = 0
                self.request_plan()
                await asyncio.sleep(RETRY_INTERVAL_S * 4)
            except WorkerUnresponsiveError as exc:
                self._note_silence(link, str(exc))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _hold(self, link: WorkerConnection) -> None:
        worker, cell = link.worker, self.cell
        now_s = monotonic_s()
        lease_until_ms: int | None = None
        wait_ms = 0
        if worker.has_reported and worker.clock.is_known:
            wait_ms = (
                BUSY_LONG_POLL_TIMEOUT_MS if worker.runs else IDLE_LONG_POLL_TIMEOUT_MS
            )
            # A worker that may be gone is asked without extending its lease, which
            # could else never be over.
            heard = now_s - worker.last_report_s < REPORT_TIMEOUT_S
            if worker.runs and heard and self.has_authority():
                lease_until_ms = extend_lease(
                    cell, worker, now_s, cell.timing_limits.lease_s
                )
        if (
            worker.applied_end_sequence > link.durable_end_sequence
            or link.incarnation_unverified
        ):
            wait_ms = 0
        noted_upto = 0
        if (
            link.durable_end_sequence > link.acknowledged_end_sequence
            and not link.incarnation_unverified
        ):
            noted_upto = link.durable_end_sequence
        link.incarnation_unverified = True
        report = await link.client.renew_lease(
            lease_until_ms, cell.fencing_token, noted_upto, wait_ms
        )
        link.incarnation_unverified = False
        link.acknowledged_end_sequence = max(link.acknowledged_end_sequence, noted_upto)
        born_ms = worker.incarnation_start_ms
        apply_report(cell, worker, report, monotonic_s())
        if born_ms and worker.incarnation_start_ms != born_ms:
            link.durable_end_sequence = link.acknowledged_end_sequence = 0
        if link.silent:
            link.silent = False
            self.log.event("worker_regained", worker=worker.id)
        self.request_plan()
        if worker.applied_end_sequence > link.durable_end_sequence:
            await self._store_ends(link)

    async def _store_ends(self, link: WorkerConnection) -> None:
        """Wait until the ends are stored, but not so long that leases lapse."""
        if link.store_task is None:
            link.store_task = asyncio.create_task(self._note_stored(link))
        await asyncio.wait([link.store_task], timeout=MAX_STORE_WAIT_S)

    async def _note_stored(self, link: WorkerConnection) -> None:
        upto, born_ms = (
            link.worker.applied_end_sequence,
            link.worker.incarnation_start_ms,
        )
        try:
            await self.writer.wait_durable()
            # Another life counts its ends anew.
            if born_ms == link.worker.incarnation_start_ms:
                link.durable_end_sequence = max(link.durable_end_sequence, upto)
        finally:
            link.store_task = None

    def _note_silence(self, link: WorkerConnection, reason: str) -> None:
        quiet_s = monotonic_s() - link.worker.last_report_s
        if not link.silent and quiet_s > SILENCE_LOG_THRESHOLD_S:
            link.silent = True
            self.log.event(
                "worker_silent",
                urgent=True,
                worker=link.worker.id,
                heard_age_ms=round(quiet_s * 1000),
                runs=len(link.worker.runs),
                reason=reason,
            )

    def send_orders(self) -> None:
        """Send all orders that were decided."""
        starts, self.cell.start_orders = self.cell.start_orders, []
        stops, self.cell.stop_orders = self.cell.stop_orders, []
        for start in starts:
            self._spawn(self._send_start(start))
        for stop in stops:
            self._spawn(self._send_stop(stop))

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(work)
        self.order_tasks.add(task)
        task.add_done_callback(self.order_tasks.discard)

    async def _send_start(self, order: StartOrder) -> None:
        link = self.by_worker_id.get(order.worker)
        if link is None:
            handle_start_result(
                self.cell, order.run, StartResult.INCARNATION_MISMATCH, monotonic_s()
            )
            return
        worker, run = link.worker, order.run
        async with link.order_slots:
            # Nothing lies between this check and the sending.
            if run not in run.task.runs or not self.has_authority():
                handle_start_result(
                    self.cell, run, StartResult.ORDER_EXPIRED, monotonic_s()
                )
                return
            began_s = monotonic_s()
            lease_until_ms = extend_lease(self.cell, worker, began_s, START_LEASE_S)
            result, clock_ms = await link.client.start_run(
                run.task.key,
                run.number,
                order.payload,
                lease_until_ms,
                self.cell.fencing_token,
                order.checkpoint,
                order.ticket,
            )
        now_s = monotonic_s()
        self.metrics.record_duration("start_order", now_s - began_s)
        if clock_ms is not None:
            worker.clock.record_reading(clock_ms, now_s)
        handle_start_result(self.cell, run, result, now_s)
        if result is not StartResult.STARTED:
            self.request_plan()

    async def _send_stop(self, order: StopOrder) -> None:
        link = self.by_worker_id.get(order.worker)
        answered = False
        if link is not None:
            async with link.order_slots:
                answered = await link.client.stop_run(
                    order.key, order.number, self.cell.fencing_token
                )
        if not answered:
            await asyncio.sleep(STOP_RETRY_INTERVAL_S)
        handle_stop_result(self.cell, order, answered, monotonic_s())
        if not answered:
            self.request_plan()
