"""Set workers apart that fail, hang or are slow, and try them again carefully.

A failure counts in full only where other workers succeed with the same queue.
"""

import math
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.estimates import (
    completed_fraction,
    predict_step_duration,
    record_duration,
)
from bulrushspur_scheduler.jobs import Run, RunState, Step, StepKey
from bulrushspur_scheduler.workers import Worker

QUARANTINE_THRESHOLD: t.Final = 2.0
PROBATION_FAILURE_SCORE: t.Final = 1.5
QUARANTINE_S: t.Final = 2.0
MAX_QUARANTINE_S: t.Final = 20.0
SPEED_GAIN: t.Final = 0.25
MIN_SPEED: t.Final = 0.05
# So many runs of a worker should have ended by now, and none has for a while.
MAX_MISSED_ENDS: t.Final = 3.5
ON_TIME_END_WINDOW_S: t.Final = 2.0
LATE_QUANTILE: t.Final = 0.8
# A worker may be so slow for good.
MIN_NORMAL_SPEED: t.Final = 0.7
# A single run is given up beyond both of these.
OVERDUE_FACTOR: t.Final = 3.2
OVERDUE_DEVIATIONS: t.Final = 3.5
OVERDUE_MARGIN_S: t.Final = 0.5
# A run that checkpoints has stalled after the time of so many checkpoints.
STALL_CHECKPOINT_INTERVALS: t.Final = 5.0
STALL_MARGIN_S: t.Final = 1.0


def record_success(cell: Cell, worker: Worker, run: Run, now_s: float) -> None:
    """Trust a worker again, and learn its speed from the time that a run took."""
    worker.failure_score = max(worker.failure_score - 1.0, 0.0)
    if worker.on_probation:
        worker.on_probation = False
        worker.quarantine_count = 0
        worker.failure_score = 0.0
    if run.resumed_from or not run.confirmed_s:
        return
    took_s = now_s - run.confirmed_s
    if took_s <= 0:
        return
    mean_s, error = predict_step_duration(cell, run.task.step)
    if completed_fraction(took_s, mean_s, error) < LATE_QUANTILE:
        worker.last_on_time_end_s = now_s
    speed = min(mean_s / took_s, 2.0)
    worker.speed += SPEED_GAIN * (speed - worker.speed)
    worker.speed = max(worker.speed, MIN_SPEED)
    record_duration(cell, run, took_s)


def record_failure(cell: Cell, worker: Worker, run: Run | None, now_s: float) -> None:
    """Suspect a worker more, and set it apart when it is suspect enough."""
    weight = 1.0
    if run is not None:
        # A task that has failed elsewhere says little about this worker.
        weight = 1.0 / (1 + 2 * len(run.task.failed_worker_ids - {worker.id}))
    worker.failure_score += weight
    if worker.failure_score >= QUARANTINE_THRESHOLD or worker.on_probation:
        quarantine_worker(cell, worker, now_s, "failures")


def quarantine_worker(cell: Cell, worker: Worker, now_s: float, reason: str) -> None:
    """Give a worker no new work for a while, unless most are apart already."""
    if worker.quarantined_until_s > now_s:
        return
    peers = [
        one
        for one in cell.workers.values()
        if one.listed and one.entry.service == worker.entry.service
    ]
    apart = sum(one.quarantined_until_s > now_s for one in peers)
    if 2 * (apart + 1) > max(len(peers), 2):
        return
    apart_s = min(QUARANTINE_S * 2**worker.quarantine_count, MAX_QUARANTINE_S)
    worker.quarantined_until_s = now_s + apart_s
    worker.quarantine_count += 1
    worker.failure_score = PROBATION_FAILURE_SCORE
    worker.on_probation = True
    cell.log(
        "worker_apart",
        worker=worker.id,
        reason=reason,
        apart_ms=round(apart_s * 1000),
        runs=len(worker.runs),
    )


def overdue_runs(cell: Cell, worker: Worker, now_s: float) -> list[Run]:
    """List the runs of a worker that are better started elsewhere.

    Tasks of one step are alike, so that all of a step count as one missed end.
    """
    missed: dict[StepKey, float] = {}
    late, hopeless = [], []
    for run in worker.runs.values():
        if not _may_be_overdue(run):
            continue
        if run.task.step.spec.checkpointing and run.last_progress_s:
            if is_stalled(cell, worker, run, now_s):
                hopeless.append(run)
            continue
        share, is_hopeless = _judge_by_time(cell, worker, run, now_s)
        step = run.task.step
        if not _is_alike_elsewhere(step, worker):
            missed[step.key] = max(missed.get(step.key, 0.0), share)
        if share > LATE_QUANTILE:
            late.append(run)
        if is_hopeless:
            hopeless.append(run)
    all_missed = sum(missed.values())
    if (
        all_missed >= MAX_MISSED_ENDS
        and now_s - worker.last_on_time_end_s > ON_TIME_END_WINDOW_S
    ):
        return late
    return hopeless


def _may_be_overdue(run: Run) -> bool:
    if run.state is not RunState.RUNNING or not run.confirmed_s:
        return False
    return not (run.task.step.spec.long_running or run.task.done)


def is_stalled(cell: Cell, worker: Worker, run: Run, now_s: float) -> bool:
    """Tell whether a run that checkpoints has made none for far too long."""
    if now_s < worker.listed_s + worker.entry.warmup_remaining_s:
        return False
    most_s = (
        STALL_CHECKPOINT_INTERVALS * cell.timing_limits.checkpoint_interval_s
        + STALL_MARGIN_S
    )
    return now_s - run.last_progress_s > most_s


def _judge_by_time(
    cell: Cell, worker: Worker, run: Run, now_s: float
) -> tuple[float, bool]:
    """Return the share of such runs that have ended by now, and whether to give up."""
    mean_s, error = predict_step_duration(cell, run.task.step)
    # A task that was given up before may just be long.
    mean_s *= 2**run.task.overdue_stop_count
    mean_s /= min(max(worker.speed, MIN_NORMAL_SPEED), 1.0)
    elapsed_s = now_s - run.confirmed_s - OVERDUE_MARGIN_S
    factor = max(OVERDUE_FACTOR, math.exp(OVERDUE_DEVIATIONS * error))
    return completed_fraction(elapsed_s, mean_s, error), elapsed_s > factor * mean_s


def _is_alike_elsewhere(step: Step, worker: Worker) -> bool:
    """Tell whether a step is as late on other workers, so that this one is no cause."""
    if step.duration_count:
        return False
    return any(run.worker != worker.id for task in step.tasks for run in task.runs)
