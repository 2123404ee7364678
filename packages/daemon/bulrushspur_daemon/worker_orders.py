"""Send the planner's start and stop orders to workers, and apply the results.

A start for which no connection could be made has not left, and its task can start
elsewhere at once. An order without an answer may have been carried out, or may be
carried out later. Such a start is repeated: it is idempotent, because a worker starts
each run number of a task once. If the repeated order gets no answer either, the
reports show what became of it, or the start is ordered again.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.order_slots import OrderSlots
from bulrushspur_kernel.adapter import WorkerClient
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.cell import Cell, StartOrder, StopOrder
from bulrushspur_scheduler.evacuation import must_drop_start
from bulrushspur_scheduler.incarnations import (
    describe_order,
    is_still_present,
    record_answer_clock,
)
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.latency import LatencyEstimate
from bulrushspur_scheduler.leases import extend_lease
from bulrushspur_scheduler.open_starts import (
    record_answered_start,
    record_sent_start,
    record_unanswered_start,
)
from bulrushspur_scheduler.order_results import (
    StartResult,
    handle_start_result,
    handle_stop_result,
)
from bulrushspur_scheduler.start_checks import (
    find_misplaced_reason,
    find_obsolete_reason,
)
from bulrushspur_scheduler.workers import Worker

START_LEASE_S: t.Final = 2.0
START_TIMEOUT_S: t.Final = 0.35
STOP_RETRY_INTERVAL_S: t.Final = 0.3
MAX_CONCURRENT_ORDERS: t.Final = 3
# A start that is sent so long after its decision is logged.
LATE_START_AGE_S: t.Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class OrderTarget:
    """A worker, and how orders reach it."""

    worker: Worker
    client: WorkerClient
    slots: OrderSlots


@dataclasses.dataclass
class WorkerOrders:
    """The orders in flight of a term; ``find_target`` returns None for a lost worker.

    ``latency`` is that of the answers to starts.
    """

    cell: Cell
    metrics: Metrics
    request_plan: t.Callable[[], None]
    has_authority: t.Callable[[], bool]
    find_target: t.Callable[[str], OrderTarget | None]
    latency: LatencyEstimate = dataclasses.field(
        default_factory=lambda: LatencyEstimate(START_TIMEOUT_S)
    )
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    # Runs whose start waits for its turn; a stop before it ends them without an order.
    unsent_runs: set[Run] = dataclasses.field(default_factory=set)

    def send_all(self) -> None:
        """Send all start and stop orders that the planner has left in the cell."""
        starts, self.cell.start_orders = self.cell.start_orders, []
        stops, self.cell.stop_orders = self.cell.stop_orders, []
        for start in starts:
            self.unsent_runs.add(start.run)
            self._spawn(self._send_start(start))
        for stop in stops:
            self._spawn(self._send_stop(stop))

    def cancel_all(self) -> None:
        """Cancel all orders in flight; they may still be carried out."""
        for task in list(self.tasks):
            task.cancel()

    def _spawn(self, sending: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(sending)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_start(self, order: StartOrder) -> None:
        try:
            result = await self._send_start_in_turn(order)
        except Exception as exc:
            # It may have been sent: the reports show what became of it.
            self._log_fault(order.run.task.key.job, order.worker_id, exc)
            result = StartResult.UNANSWERED
        finally:
            self.unsent_runs.discard(order.run)
        handle_start_result(self.cell, order.run, result, monotonic_s())
        if result is not StartResult.STARTED:
            self.request_plan()

    def _log_fault(self, job_id: str, worker_id: str, exc: Exception) -> None:
        self.metrics.count("order_faults")
        self.cell.log("order_fault", job_id, worker=worker_id, reason=repr(exc))

    async def _send_start_in_turn(self, order: StartOrder) -> StartResult:
        """Wait until the worker can take the order, send it and return the result."""
        target = self.find_target(order.worker_id)
        if target is None:
            return StartResult.INCARNATION_MISMATCH
        incarnation_start_ms = target.worker.incarnation_start_ms
        async with target.slots.take_for_start():
            # Nothing is awaited between this check and the sending.
            self.unsent_runs.discard(order.run)
            if self._must_drop(target.worker, order):
                return StartResult.DROPPED
            self._log_late_start(order)
            result = await self._order_start(target, order, self.latency.late_s)
            if result is StartResult.UNANSWERED:
                return await self._repeat_start(target, order, incarnation_start_ms)
            return result

    def _must_drop(self, worker: Worker, order: StartOrder) -> bool:
        """Return whether a start that has waited must not be sent any more."""
        cell, run, now_s = self.cell, order.run, monotonic_s()
        reason = find_obsolete_reason(cell, run)
        reason = reason or find_misplaced_reason(cell, worker, run, now_s)
        if not reason and not self.has_authority():
            reason = "no authority"
        if reason:
            cell.log(
                "start_dropped",
                run.task.key.job,
                run=run.number,
                worker=worker.id,
                reason=reason,
                waited_ms=round((now_s - run.ordered_s) * 1000),
            )
        return bool(reason)

    def _log_late_start(self, order: StartOrder) -> None:
        """Log a start that has waited; the others are sent with their decision."""
        run = order.run
        if run.repeated_count:
            return
        age_s = monotonic_s() - run.ordered_s
        if age_s > LATE_START_AGE_S:
            self.cell.log(
                "start_late",
                run.task.key.job,
                task=run.task.key.path,
                run=run.number,
                worker=order.worker_id,
                fence=self.cell.fencing_token,
                waited_ms=round(age_s * 1000),
            )

    async def _order_start(
        self, target: OrderTarget, order: StartOrder, timeout_s: float
    ) -> StartResult:
        worker, sent_s = target.worker, monotonic_s()
        sent = describe_order(worker, sent_s)
        sent_start = record_sent_start(worker, order.run, sent_s)
        lease_until_ms = extend_lease(self.cell, worker, sent_s, START_LEASE_S)
        result, clock_ms = await target.client.start_run(
            order.run.task.key,
            order.run.number,
            order.payload,
            lease_until_ms,
            self.cell.fencing_token,
            order.checkpoint,
            order.ticket,
            timeout_s,
            worker.incarnation_start_ms,
        )
        now_s = monotonic_s()
        if result is not StartResult.UNANSWERED:
            record_answered_start(worker, sent_start)
        else:
            record_unanswered_start(worker, sent_start, now_s)
        self.metrics.record_duration("start_order", now_s - sent_s)
        if result not in (StartResult.UNANSWERED, StartResult.NOT_SENT):
            self.latency.observe(now_s - sent_s)
        if clock_ms is not None:
            record_answer_clock(self.cell, worker, sent, clock_ms, now_s)
        return result

    async def _repeat_start(
        self, target: OrderTarget, order: StartOrder, incarnation_start_ms: int
    ) -> StartResult:
        """Repeat a start that got no answer; only that it started is conclusive.

        A refusal says nothing of the first order, which may be carried out later. A
        worker that has restarted since would start the run a second time.
        """
        run, worker = order.run, target.worker
        if run.state is RunState.RUNNING:
            return StartResult.STARTED
        if find_obsolete_reason(self.cell, run) or not self.has_authority():
            return StartResult.UNANSWERED
        if must_drop_start(self.cell, worker, run, monotonic_s()):
            return StartResult.UNANSWERED
        if worker.incarnation_start_ms != incarnation_start_ms:
            return StartResult.UNANSWERED
        self.metrics.count("start_repeated")
        result = await self._order_start(target, order, START_TIMEOUT_S)
        self.cell.log(
            "start_repeated",
            run.task.key.job,
            task=run.task.key.path,
            run=run.number,
            worker=worker.id,
            result=result.value,
            age_ms=round((monotonic_s() - run.ordered_s) * 1000),
        )
        if result in (StartResult.STARTED, StartResult.FENCED):
            return result
        return StartResult.UNANSWERED

    async def _send_stop(self, order: StopOrder) -> None:
        target = self.find_target(order.worker_id)
        acknowledged = False
        if target is not None:
            async with target.slots.take_for_stop():
                if order.run is not None and self._is_obsolete(
                    target.worker, order.run
                ):
                    return
                sent_to_ms = target.worker.incarnation_start_ms
                acknowledged = await self._order_stop(target, order)
                acknowledged &= is_still_present(target.worker, sent_to_ms)
        if not acknowledged:
            await asyncio.sleep(STOP_RETRY_INTERVAL_S)
        handle_stop_result(self.cell, order, acknowledged, monotonic_s())
        if not acknowledged:
            self.request_plan()

    def _is_obsolete(self, worker: Worker, run: Run) -> bool:
        """Return whether a run needs no stop: it has ended, or was never ordered."""
        may_be_there = run.confirmed_s or run.key in worker.open_starts
        is_unsent = run in self.unsent_runs and not may_be_there
        return run not in run.task.runs or is_unsent

    async def _order_stop(self, target: OrderTarget, order: StopOrder) -> bool:
        try:
            return await target.client.stop_run(
                order.key, order.number, self.cell.fencing_token
            )
        except Exception as exc:
            self._log_fault(order.key.job, order.worker_id, exc)
            return False
