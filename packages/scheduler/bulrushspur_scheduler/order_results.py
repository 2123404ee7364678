"""Apply the results of start and stop orders to the cell.

The input is a worker's answer to one order, or that there was none. The result is the
new state of the run, its task and the worker. A run whose order was not answered stays
allocated until a report shows what became of it.
"""

import enum

from bulrushspur_scheduler import health
from bulrushspur_scheduler.cell import Cell, StopOrder
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.leases import mark_run_lost
from bulrushspur_scheduler.reports import mark_run_running
from bulrushspur_scheduler.runs import GANG_REFUSED, stop_run, stop_step
from bulrushspur_scheduler.workers import Worker


class StartResult(enum.Enum):
    """Result of a start order."""

    STARTED = "started"
    FENCED = "fenced"
    STALE_RUN = "old_run"
    ORDER_EXPIRED = "late"
    NO_CAPACITY = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    INCARNATION_MISMATCH = "other_life"
    INVALID = "invalid"
    # No part of the order has left: the worker could not be connected to.
    NOT_SENT = "not_sent"
    # It was not sent, as what was decided does not hold any more.
    DROPPED = "dropped"
    UNANSWERED = "unanswered"


def handle_start_result(
    cell: Cell, run: Run, result: StartResult, now_s: float
) -> None:
    """Apply the result of a start order.

    An unanswered order may have been carried out, so its run stays allocated until a
    report shows whether it runs. A refused run is released at once, unless the order
    was fenced: that shows that a later term exists, so this term ends.
    """
    worker = cell.workers.get(run.worker_id)
    if run not in run.task.runs or worker is None:
        return
    cell.counters[f"start_{result.value}"] += 1
    if result is StartResult.STARTED:
        mark_run_running(cell, run, now_s)
        return
    cell.log(
        "start_refused",
        run.task.key.job,
        run=run.number,
        worker=run.worker_id,
        reason=result.value,
    )
    if result in (StartResult.UNANSWERED, StartResult.NOT_SENT):
        worker.last_unanswered_order_s = now_s
    if result is StartResult.UNANSWERED:
        if run.state is RunState.STARTING:
            run.state = RunState.UNCONFIRMED
        return
    _handle_refused_start(cell, worker, run, result, now_s)


def _handle_refused_start(
    cell: Cell, worker: Worker, run: Run, result: StartResult, now_s: float
) -> None:
    step = run.task.step
    if result is StartResult.FENCED:
        cell.superseded = True
        return
    if result is StartResult.BAD_TICKET:
        step.tickets.pop(worker.id, None)
    if result in (StartResult.UNHEALTHY, StartResult.INVALID):
        run.task.failed_worker_ids.add(worker.id)
        health.record_failure(cell, worker, run, now_s)
    if result is StartResult.INCARNATION_MISMATCH:
        worker.has_reported = False
    if run.confirmed_s or run.key in worker.open_starts:
        # An earlier copy was not answered: it was carried out, or may be later.
        if run.state is RunState.STARTING:
            _end_repetition(cell, worker, run, result)
        return
    mark_run_lost(cell, run, f"refused: {result.value}")
    if step.spec.gang and result in (StartResult.STALE_RUN, StartResult.INVALID):
        stop_step(cell, step, GANG_REFUSED)


def _end_repetition(cell: Cell, worker: Worker, run: Run, result: StartResult) -> None:
    """Wait for the next report of a silent worker, or stop the run."""
    is_silent = worker.last_unanswered_order_s > worker.last_report_s
    if result in (StartResult.DROPPED, StartResult.NOT_SENT) and is_silent:
        run.state = RunState.UNCONFIRMED
    else:
        stop_run(cell, run, f"refused: {result.value}")


def handle_stop_result(
    cell: Cell, order: StopOrder, answered: bool, now_s: float
) -> None:
    """Record that a stop was acknowledged, or order it again if it was not answered.

    Stops of orphan runs (``order.run`` is None) are repeated by each report instead.
    """
    run = order.run
    if run is None or run not in run.task.runs:
        return
    if answered:
        run.stop_acknowledged_s = now_s
    else:
        cell.stop_orders.append(order)
