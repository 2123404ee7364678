"""Apply worker reports to the cell.

The input is a worker's lists of running and ended runs. The result is the new state of
runs, tasks and the worker, and stop orders for runs that are not needed. A run is
released only on proof that it is not running: its end was reported, its start was
refused (``order_results.py``), or it is missing from a report that was requested after
its start was confirmed or its stop acknowledged. While a copy of its start is open
(``open_starts.py``), that it is missing proves nothing. Each end is applied once.
"""

import dataclasses
import typing as t

from bulrushspur_scheduler.adoption import adopt_or_stop_run
from bulrushspur_scheduler.cell import Cell, StopOrder
from bulrushspur_scheduler.crashes import record_crash
from bulrushspur_scheduler.job_specs import TaskKey
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.leases import (
    assume_first_lease,
    assume_longest_lease,
    mark_restarted,
    mark_run_lost,
)
from bulrushspur_scheduler.open_starts import close_orders
from bulrushspur_scheduler.orphans import (
    await_confirmation,
    remove_lost_orphan,
)
from bulrushspur_scheduler.progress import mark_job_running
from bulrushspur_scheduler.run_ends import RunEnd, apply_end
from bulrushspur_scheduler.runs import release_run, repeat_start, stop_run
from bulrushspur_scheduler.suspects import confirm_trial
from bulrushspur_scheduler.withdrawn_crashes import withdraw_crash, withdraw_trials
from bulrushspur_scheduler.workers import RunKey, Worker

# A worker reports at most this many ends at once. A report that reaches the limit may
# be incomplete: a run that it does not list may have an end that is not reported yet.
MAX_REPORTED_ENDS: t.Final = 500
# Each repetition of a start that is not answered prolongs the wait for its copies.
MAX_REPEATED_STARTS: t.Final = 5


@dataclasses.dataclass(frozen=True, slots=True)
class RunStatus:
    """A run that a worker reports as running; ``load`` is approximate."""

    key: TaskKey
    number: int
    checkpoint: str
    percent: int
    load: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a lease renewal.

    ``request_sent_s`` is when the renewal was sent, on the leader's monotonic clock;
    ``clock_ms`` is a reading of the worker's own clock; ``incarnation_start_ms`` is the
    start of the worker's process in Unix milliseconds, 0 if it is unknown.
    """

    request_sent_s: float
    clock_ms: int
    incarnation_start_ms: int
    running: list[RunStatus]
    ended: list[RunEnd]


def apply_report(
    cell: Cell, worker: Worker, report: WorkerReport, now_s: float
) -> None:
    """Apply a worker's report: first its ends, then the runs that it lists or lacks.

    A changed incarnation start means that the worker has restarted; its state is reset
    before the lists are applied.
    """
    if (
        report.incarnation_start_ms
        and worker.incarnation_start_ms
        and report.incarnation_start_ms != worker.incarnation_start_ms
    ):
        handle_worker_restart(cell, worker, report, now_s)
    elif worker.ended and report.incarnation_start_ms:
        withdraw_crash(cell, worker, report.request_sent_s)
    worker.ended = False
    worker.incarnation_start_ms = (
        report.incarnation_start_ms or worker.incarnation_start_ms
    )
    worker.clock.record_reading(report.clock_ms, now_s)
    close_orders(cell, worker, report.request_sent_s)
    if not worker.has_reported:
        has_runs = bool(report.running)
        assume_first_lease(
            cell, worker, report.clock_ms, has_runs, report.request_sent_s, now_s
        )
        cell.log(
            "worker_reached",
            worker=worker.id,
            runs=len(report.running),
            incarnation_ms=worker.incarnation_start_ms,
            lease_ms=max(worker.lease_until_ms - report.clock_ms, 0),
        )
    elif report.running and worker.is_lease_expired(now_s):
        cell.log("lease_underestimated", worker=worker.id, runs=len(report.running))
        read_s = report.request_sent_s
        assume_longest_lease(cell, worker, report.clock_ms, read_s, now_s)
    for end in report.ended:
        if end.sequence > worker.applied_end_sequence:
            apply_end(cell, worker, end, now_s)
            worker.applied_end_sequence = end.sequence
    listed = {(status.key, status.number): status for status in report.running}
    is_complete = len(report.ended) < MAX_REPORTED_ENDS
    for run in list(worker.runs.values()):
        status = listed.pop(run.key, None)
        if status is not None:
            _update_listed_run(cell, run, status, now_s)
        elif is_complete:
            _handle_unlisted_run(cell, worker, run, report.request_sent_s, now_s)
    if is_complete:
        for key in [key for key in worker.orphan_runs if key not in listed]:
            remove_lost_orphan(cell, worker, key, now_s)
    for status in listed.values():
        adopt_or_stop_run(
            cell, worker, status.key, status.number, status.checkpoint, now_s
        )
    if worker.draining:
        withdraw_trials(cell, worker)
    # Last: a worker whose report can't be applied has not reported.
    worker.has_reported = True
    worker.last_report_s = now_s
    if is_complete:
        cell.unobserved_workers.discard(worker.id)


def handle_worker_restart(
    cell: Cell, worker: Worker, report: WorkerReport, now_s: float
) -> None:
    """Reset what is known of a worker whose process has restarted.

    Orders in transit may still reach the new incarnation: unanswered starts become
    unconfirmed, and stops are sent again. Which runs the new incarnation has is decided
    by its report, as for any other worker.
    """
    if not worker.ended:
        begun_by_next = _find_runs_begun_by_next(worker, report)
        record_crash(cell, worker, "restarted under its id", now_s, begun_by_next)
    for run in worker.runs.values():
        run.is_worker_restarted = True
        run.stop_acknowledged_s = 0.0
        if run.state is RunState.STOPPING:
            key = run.task.key
            cell.stop_orders.append(StopOrder(worker.id, key, run.number, run))
        elif run.state is RunState.STARTING:
            run.state = RunState.UNCONFIRMED
    for key in list(worker.orphan_runs):
        remove_lost_orphan(cell, worker, key, now_s)
    _refuse_open_starts(cell, worker)
    silent_s = now_s - worker.last_report_s
    worker.applied_end_sequence = 0
    mark_restarted(cell, worker, report.clock_ms, report.request_sent_s, now_s)
    cell.log(
        "worker_restarted",
        worker=worker.id,
        under_way=len(worker.runs),
        incarnation_ms=report.incarnation_start_ms,
        silent_ms=round(silent_s * 1000),
        lease_ms=worker.lease_until_ms - report.clock_ms,
        lease_sent_ms=_find_open_lease_age_ms(worker, now_s),
        open_starts=len(worker.open_starts),
    )


def _find_runs_begun_by_next(worker: Worker, report: WorkerReport) -> frozenset[RunKey]:
    """Return the runs that the next incarnation of a worker has begun, and no other.

    Each had one start order, which was answered, so it was carried out once.
    """
    listed = {(status.key, status.number) for status in report.running}
    listed |= {(end.key, end.number) for end in report.ended}
    return frozenset(
        key
        for key, run in worker.runs.items()
        if key in listed
        and key not in worker.open_starts
        and not run.adopted
        and not run.repeated_count
    )


def _find_open_lease_age_ms(worker: Worker, now_s: float) -> int | None:
    if not worker.open_lease_times_s:
        return None
    return round((now_s - worker.last_open_lease_s) * 1000)


def _refuse_open_starts(cell: Cell, worker: Worker) -> None:
    """Stop what open starts of runs that are over may begin on the next incarnation."""
    for key, number in worker.open_starts:
        if (key, number) not in worker.runs:
            cell.stop_orders.append(StopOrder(worker.id, key, number, None))


def _update_listed_run(cell: Cell, run: Run, status: RunStatus, now_s: float) -> None:
    """Record that a run is listed; stop it if its job has already ended."""
    checkpointing = run.task.step.spec.checkpointing
    if checkpointing and status.checkpoint and status.checkpoint != run.checkpoint:
        run.checkpoint = status.checkpoint
        run.last_progress_s = now_s
    mark_run_running(cell, run, now_s)
    if run.task.done and run.state is RunState.RUNNING:
        return
    if run.task.step.job.id not in cell.jobs:
        stop_run(cell, run, "job ended")


def mark_run_running(cell: Cell, run: Run, now_s: float) -> None:
    """Record that a worker has begun a run, by its report or its answer."""
    if run.state in (RunState.STARTING, RunState.UNCONFIRMED):
        run.state = RunState.RUNNING
    if not run.confirmed_s:
        run.confirmed_s = run.last_progress_s = now_s
        confirm_trial(cell, run.task)
    mark_job_running(cell, run.task.step.job)


def _handle_unlisted_run(
    cell: Cell, worker: Worker, run: Run, request_sent_s: float, now_s: float
) -> None:
    """Handle a run that its worker no longer lists, or does not list yet.

    A report that was requested before the run was confirmed, ordered or its stop
    acknowledged may be older than that event, and proves nothing. The worker may have
    reported the end of the run to a later term before it restarted, so the task waits
    until the store confirms that there was none.
    """
    if run.state is RunState.RUNNING and request_sent_s < run.confirmed_s:
        return
    if run.state is RunState.RUNNING:
        if run.task.done:
            release_run(cell, run)
        elif run.key in worker.open_starts:
            _handle_open_start(cell, worker, run, "not listed")
        else:
            await_confirmation(cell, run.task, now_s)
            mark_run_lost(cell, run, "not listed")
    elif run.state is RunState.UNCONFIRMED and request_sent_s >= max(
        run.ordered_s, worker.open_starts.get(run.key, 0.0)
    ):
        _handle_open_start(cell, worker, run, "start unanswered")
    elif (
        run.state is RunState.STOPPING
        and run.stop_acknowledged_s
        and request_sent_s >= run.stop_acknowledged_s
    ):
        if run.is_worker_restarted and not run.task.done:
            await_confirmation(cell, run.task, now_s)
        mark_run_lost(cell, run, run.stop_reason)


def _handle_open_start(cell: Cell, worker: Worker, run: Run, reason: str) -> None:
    """Start a run again whose start may be carried out later, wait, or stop it.

    The next incarnation may carry it out, too, so the run stays with its worker until
    no copy is open. One under which the worker may have crashed is not repeated
    (``suspects.py``).
    """
    is_known = run.key in worker.open_starts and not run.adopted
    has_job = run.task.step.job.id in cell.jobs
    if not is_known or run.is_worker_restarted or not has_job:
        stop_run(cell, run, reason)
    elif run.repeated_count < MAX_REPEATED_STARTS:
        repeat_start(cell, run)
    elif run.state is RunState.RUNNING:
        run.state = RunState.UNCONFIRMED
