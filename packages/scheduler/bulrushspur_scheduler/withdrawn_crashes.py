"""Withdraw crashes that did not happen, before they count.

The input is a worker that has reported. One that was seen to have ended, and answers a
later request as the same incarnation, has not crashed. One that drains is going to end:
that will be no crash, whichever leader sees it.
"""

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.crashes import Crash
from bulrushspur_scheduler.workers import Worker


def withdraw_crash(cell: Cell, worker: Worker, request_sent_s: float) -> None:
    """Drop the uncounted crash of an incarnation that has answered a later request.

    It was seen to have ended wrongly: the list of workers lacked it for a moment.
    """
    for crash in list(cell.uncounted_crashes):
        if _is_refuted(crash, worker, request_sent_s):
            _drop(cell, crash)


def _is_refuted(crash: Crash, worker: Worker, request_sent_s: float) -> bool:
    """Return whether a worker's report shows that a crash did not happen.

    An answer to a request from before may be older than the crash.
    """
    start_ms = worker.incarnation_start_ms
    return (
        crash.worker is worker
        and bool(start_ms)
        and crash.incarnation_start_ms == start_ms
        and request_sent_s > crash.seen_s
    )


def _drop(cell: Cell, crash: Crash) -> None:
    cell.uncounted_crashes.remove(crash)
    if crash.past_crash in cell.crashes:
        cell.crashes.remove(crash.past_crash)
    for run in crash.awaited:
        run.task.uncounted_crashes -= 1
    for run in crash.runs:
        run.is_crash_recorded = False
    cell.log("crash_withdrawn", worker=crash.worker.id, runs=len(crash.runs))


def withdraw_trials(cell: Cell, worker: Worker) -> None:
    """Forget the stored trials on a worker that drains.

    The next leader may not learn that it drained, and would count a crash.
    """
    for run in worker.runs.values():
        task = run.task
        if task.trial is not None and task.trial.worker_id == worker.id:
            task.trial = None
            cell.dirty_jobs.add(task.step.job.id)
