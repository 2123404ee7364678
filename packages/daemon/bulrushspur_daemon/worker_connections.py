"""Carry orders to workers, and keep their leases and lists up to date."""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import steady_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_kernel.adapter import (
    Adapter,
    WorkerClient,
    WorkerFencedError,
    WorkerGoneError,
    WorkerSilentError,
)
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.cell import Cell, StartOrder, StopOrder
from bulrushspur_scheduler.leases import extend_lease, lose_worker
from bulrushspur_scheduler.reports import (
    StartResult,
    apply_report,
    note_start,
    note_stop,
)
from bulrushspur_scheduler.workers import Worker

START_LEASE_S: t.Final = 2.0
BUSY_WAIT_MS: t.Final = 400
IDLE_WAIT_MS: t.Final = 700
RETRY_S: t.Final = 0.1
STOP_AGAIN_S: t.Final = 0.3
# A hold goes out again after this long, whether the store answers or not.
STORE_WAIT_S: t.Final = 0.4
ORDERS_AT_ONCE: t.Final = 3
SILENT_LOGGED_S: t.Final = 1.0
HEARD_WITHIN_S: t.Final = 1.2


@dataclasses.dataclass
class WorkerLink:
    """The connection to one worker."""

    worker: Worker
    client: WorkerClient
    slots: asyncio.Semaphore
    task: asyncio.Task[None] | None = None
    # Ends up to here are stored; told once, for a next life counts anew.
    noted_upto: int = 0
    told_upto: int = 0
    silent: bool = False
    # The last call failed: another life may answer the next one.
    doubtful: bool = True
    # Waits until the ends that were listed are stored.
    storing: asyncio.Task[None] | None = None


@dataclasses.dataclass
class WorkerLinks:
    """Connections to all workers of a term."""

    cell: Cell
    adapter: Adapter
    writer: RecordWriter
    log: EventLog
    metrics: Metrics
    poke: t.Callable[[], None]
    has_authority: t.Callable[[], bool]
    links: dict[str, WorkerLink] = dataclasses.field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def open(self, worker: Worker) -> None:
        """Begin to talk to a worker."""
        client = self.adapter.make_worker_client(worker.entry)
        link = WorkerLink(worker, client, asyncio.Semaphore(ORDERS_AT_ONCE))
        self.links[worker.id] = link
        link.task = asyncio.create_task(self._hold_loop(link))

    def close(self, worker_id: str) -> None:
        """Stop talking to a worker."""
        link = self.links.pop(worker_id, None)
        if link is None:
            return
        for task in (link.task, link.storing):
            if task is not None:
                task.cancel()
        link.client.close()

    def close_all(self) -> None:
        """Stop talking to all workers."""
        for worker_id in list(self.links):
            self.close(worker_id)
        for task in list(self.tasks):
            task.cancel()

    async def _hold_loop(self, link: WorkerLink) -> None:
        while True:
            try:
                await self._hold(link)
            except WorkerFencedError as exc:
                self.cell.superseded = True
                self.log.event(
                    "fenced", urgent=True, worker=link.worker.id, reason=str(exc)
                )
                self.poke()
                return
            except WorkerGoneError:
                lose_worker(self.cell, link.worker, "another life answered")
                link.worker.reached = False
                link.worker.lease_until_ms = 0
                self.poke()
                await asyncio.sleep(RETRY_S * 4)
            except WorkerSilentError as exc:
                self._note_silence(link, str(exc))
                await asyncio.sleep(RETRY_S)

    async def _hold(self, link: WorkerLink) -> None:
        worker, cell = link.worker, self.cell
        now_s = steady_s()
        lease_until_ms: int | None = None
        wait_ms = 0
        if worker.reached and worker.clock.known:
            wait_ms = BUSY_WAIT_MS if worker.runs else IDLE_WAIT_MS
            # A worker that may be gone is asked without extending its lease, which
            # could else never be over.
            heard = now_s - worker.heard_s < HEARD_WITHIN_S
            if worker.runs and heard and self.has_authority():
                lease_until_ms = extend_lease(cell, worker, now_s, cell.bounds.lease_s)
        if worker.applied_upto > link.noted_upto or link.doubtful:
            wait_ms = 0
        noted_upto = 0
        if link.noted_upto > link.told_upto and not link.doubtful:
            noted_upto = link.noted_upto
        link.doubtful = True
        report = await link.client.hold(lease_until_ms, cell.fence, noted_upto, wait_ms)
        link.doubtful = False
        link.told_upto = max(link.told_upto, noted_upto)
        born_ms = worker.born_ms
        apply_report(cell, worker, report, steady_s())
        if born_ms and worker.born_ms != born_ms:
            link.noted_upto = link.told_upto = 0
        if link.silent:
            link.silent = False
            self.log.event("worker_regained", worker=worker.id)
        self.poke()
        if worker.applied_upto > link.noted_upto:
            await self._store_ends(link)

    async def _store_ends(self, link: WorkerLink) -> None:
        """Wait until the ends are stored, but not so long that leases lapse."""
        if link.storing is None:
            link.storing = asyncio.create_task(self._note_stored(link))
        await asyncio.wait([link.storing], timeout=STORE_WAIT_S)

    async def _note_stored(self, link: WorkerLink) -> None:
        upto, born_ms = link.worker.applied_upto, link.worker.born_ms
        try:
            await self.writer.durable()
            # Another life counts its ends anew.
            if born_ms == link.worker.born_ms:
                link.noted_upto = max(link.noted_upto, upto)
        finally:
            link.storing = None

    def _note_silence(self, link: WorkerLink, reason: str) -> None:
        quiet_s = steady_s() - link.worker.heard_s
        if not link.silent and quiet_s > SILENT_LOGGED_S:
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
        starts, self.cell.starts = self.cell.starts, []
        stops, self.cell.stops = self.cell.stops, []
        for start in starts:
            self._spawn(self._send_start(start))
        for stop in stops:
            self._spawn(self._send_stop(stop))

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_start(self, order: StartOrder) -> None:
        link = self.links.get(order.worker)
        if link is None:
            note_start(self.cell, order.run, StartResult.OTHER_LIFE, steady_s())
            return
        worker, run = link.worker, order.run
        async with link.slots:
            # Nothing lies between this check and the sending.
            if run not in run.task.runs or not self.has_authority():
                note_start(self.cell, run, StartResult.LATE, steady_s())
                return
            began_s = steady_s()
            lease_until_ms = extend_lease(self.cell, worker, began_s, START_LEASE_S)
            result, clock_ms = await link.client.start(
                run.task.key,
                run.number,
                order.payload,
                lease_until_ms,
                self.cell.fence,
                order.checkpoint,
                order.ticket,
            )
        now_s = steady_s()
        self.metrics.record_s("start_order", now_s - began_s)
        if clock_ms is not None:
            worker.clock.read(clock_ms, now_s)
        note_start(self.cell, run, result, now_s)
        if result is not StartResult.STARTED:
            self.poke()

    async def _send_stop(self, order: StopOrder) -> None:
        link = self.links.get(order.worker)
        answered = False
        if link is not None:
            async with link.slots:
                answered = await link.client.stop(
                    order.key, order.number, self.cell.fence
                )
        if not answered:
            await asyncio.sleep(STOP_AGAIN_S)
        note_stop(self.cell, order, answered, steady_s())
        if not answered:
            self.poke()
