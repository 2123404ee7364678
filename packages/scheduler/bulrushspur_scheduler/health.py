"""Quarantine workers that fail, hang or are slow, and find runs that are overdue.

The input is the outcomes and elapsed times of runs. The result is the failure score,
speed and quarantine of each worker, and the runs that should be restarted on other
workers. After its quarantine a worker is on probation: until a run succeeds, it gets
new work only while nothing runs on it but what lasts. A run that lasts has succeeded
once it has gone on for some time. A step that finds no other worker for long does not
wait for the end of either (``pools.py``).

A failure counts in full only if the task has not failed on other workers. A worker is
not judged late as a whole by a step that may itself be slow, which is a step with runs
on other workers and without any recorded duration.
"""

import math
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.crash_causes import has_survived_start
from bulrushspur_scheduler.estimates import (
    completed_fraction,
    predict_step_duration,
    record_duration,
)
from bulrushspur_scheduler.job_specs import StepKey
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run, Step
from bulrushspur_scheduler.workers import Worker, is_trial

# A worker is quarantined at this failure score. A failure adds at most 1, a success
# subtracts 1.
QUARANTINE_THRESHOLD: t.Final = 2.0
# Failure score after a quarantine. Placement prefers workers with a score below 1.
PROBATION_FAILURE_SCORE: t.Final = 1.5
# A run that lasts and goes on for so long has succeeded.
PROOF_S: t.Final = 3.0
# Duration of a first quarantine, and the limit for repeated ones.
QUARANTINE_S: t.Final = 2.0
MAX_QUARANTINE_S: t.Final = 20.0
# Weight of a new run in the moving mean of a worker's speed, and the least mean.
SPEED_GAIN: t.Final = 0.25
MIN_SPEED: t.Final = 0.05
# A worker is late as a whole if at least this many of its present runs should have
# ended (the expected number, at most one of each step), and no run has ended on time
# within the window.
MISSED_ENDS_THRESHOLD: t.Final = 3.5
ON_TIME_END_WINDOW_S: t.Final = 2.0
# A run is late once more than this fraction of runs is predicted to end within its
# elapsed time.
MIN_LATE_FRACTION: t.Final = 0.8
# A worker may be permanently this slow without being faulty. A lower speed gives its
# runs no further time.
MIN_NORMAL_SPEED: t.Final = 0.7
# A single run is overdue if its elapsed time, less the margin, is beyond both this
# multiple of the median and this many standard deviations of the log duration.
OVERDUE_FACTOR: t.Final = 3.2
OVERDUE_DEVIATIONS: t.Final = 3.5
OVERDUE_MARGIN_S: t.Final = 0.5
# A checkpointing run has stalled after this many intervals without a new checkpoint,
# plus the margin.
STALL_CHECKPOINT_INTERVALS: t.Final = 5.0
STALL_MARGIN_S: t.Final = 1.0


def record_success(cell: Cell, worker: Worker, run: Run, now_s: float) -> None:
    """Lower a worker's failure score, end its probation, and update its speed.

    A run that was resumed from a checkpoint, or adopted from an earlier term, did only
    a part of its work in the observed time. It is not used for speed or duration, and
    neither is a run with an unconfirmed start, whose duration is unknown, nor one that
    began while its worker warmed up.
    """
    worker.failure_score = max(worker.failure_score - 1.0, 0.0)
    if worker.on_probation:
        _end_probation(cell, worker, "success")
        worker.quarantine_count = 0
        worker.failure_score = 0.0
    if run.resumed_from or not run.confirmed_s or run.confirmed_s < worker.warm_at_s:
        return
    duration_s = now_s - run.confirmed_s
    if duration_s <= 0:
        return
    median_s, log_stddev = predict_step_duration(cell, run.task.step)
    if completed_fraction(duration_s, median_s, log_stddev) < MIN_LATE_FRACTION:
        worker.last_on_time_end_s = now_s
    # The limit bounds the effect of a single run.
    speed = min(median_s / duration_s, 2.0)
    worker.speed += SPEED_GAIN * (speed - worker.speed)
    worker.speed = max(worker.speed, MIN_SPEED)
    # Recorded last: the run must not affect the prediction that it is judged by.
    record_duration(cell, run, duration_s)


def record_lasting_runs(cell: Cell, worker: Worker) -> None:
    """Count the runs of a worker that last, and have gone on for long, as successes.

    It has no other ones where nothing else runs. Only runs that began since its last
    fault count. The next quarantine is not as short as after a real success.
    """
    for run in worker.runs.values():
        if (
            run.task.step.spec.long_running
            and not run.is_proven
            and is_trial(run, worker)
            and has_survived_start(run, worker, PROOF_S)
        ):
            run.is_proven = True
            worker.failure_score = max(worker.failure_score - 1.0, 0.0)
            if worker.on_probation:
                _end_probation(cell, worker, "run goes on")
                worker.quarantine_count = max(worker.quarantine_count - 1, 0)


def _end_probation(cell: Cell, worker: Worker, reason: str) -> None:
    worker.on_probation = False
    cell.log("probation_ended", worker=worker.id, reason=reason, runs=len(worker.runs))


def record_failure(cell: Cell, worker: Worker, run: Run | None, now_s: float) -> None:
    """Raise a worker's failure score, and quarantine it at the threshold.

    On probation a single failure is enough. ``run`` is None if the failed run is not
    among the runs of the worker.
    """
    worker.last_fault_s = now_s
    weight = 1.0
    if run is not None:
        # A task that has failed on other workers says little about this one.
        weight = 1.0 / (1 + 2 * len(run.task.failed_worker_ids - {worker.id}))
    worker.failure_score += weight
    if worker.failure_score >= QUARANTINE_THRESHOLD or worker.on_probation:
        quarantine_worker(cell, worker, now_s, "failures")


def quarantine_worker(cell: Cell, worker: Worker, now_s: float, reason: str) -> None:
    """Exclude a worker from new work; its present runs continue.

    The time doubles with each quarantine, up to a maximum, until a run has succeeded on
    probation. Does nothing if the worker is in quarantine already.

    At most half of the listed workers of a service may be in quarantine (but always
    one). The others stay in use even if every worker fails.
    """
    worker.last_fault_s = now_s
    if worker.quarantined_until_s > now_s:
        return
    peers = [
        peer
        for peer in cell.workers.values()
        if peer.listed and peer.entry.service == worker.entry.service
    ]
    quarantined = sum(peer.quarantined_until_s > now_s for peer in peers)
    if 2 * (quarantined + 1) > max(len(peers), 2):
        return
    quarantine_s = min(QUARANTINE_S * 2**worker.quarantine_count, MAX_QUARANTINE_S)
    worker.quarantined_until_s = now_s + quarantine_s
    worker.quarantine_count += 1
    worker.failure_score = PROBATION_FAILURE_SCORE
    worker.on_probation = True
    cell.log(
        "worker_apart",
        worker=worker.id,
        reason=reason,
        apart_ms=round(quarantine_s * 1000),
        runs=len(worker.runs),
    )


def find_overdue_runs(cell: Cell, worker: Worker, now_s: float) -> list[Run]:
    """Return the runs of a worker that should be restarted on other workers.

    These are single runs that have stalled or are overdue. For a worker that is late as
    a whole they are also all its late runs; runs that are judged by their checkpoints
    are not among those.
    Tasks of one step have similar durations, so all runs of a step together count as at
    most one missed end.
    """
    missed_by_step: dict[StepKey, float] = {}
    late, overdue = [], []
    for run in worker.runs.values():
        if not _may_be_overdue(run):
            continue
        if run.task.step.spec.checkpointing and run.last_progress_s:
            if is_stalled(cell, worker, run, now_s):
                overdue.append(run)
            continue
        fraction, is_overdue = _judge_elapsed_time(cell, worker, run, now_s)
        step = run.task.step
        if not _may_be_slow_step(step, worker):
            missed_by_step[step.key] = max(missed_by_step.get(step.key, 0.0), fraction)
        if fraction > MIN_LATE_FRACTION:
            late.append(run)
        if is_overdue:
            overdue.append(run)
    # The expected number of ends: a sum of probabilities.
    missed_ends = sum(missed_by_step.values())
    if (
        missed_ends >= MISSED_ENDS_THRESHOLD
        and now_s - worker.last_on_time_end_s > ON_TIME_END_WINDOW_S
    ):
        return [*late, *(run for run in overdue if run not in late)]
    return overdue


def _may_be_overdue(run: Run) -> bool:
    """Return whether a run has certainly started, and should end by itself.

    Runs of a task that is done already are not judged.
    """
    if run.state is not RunState.RUNNING or not run.confirmed_s:
        return False
    return not (run.task.step.spec.long_running or run.task.done)


def is_stalled(cell: Cell, worker: Worker, run: Run, now_s: float) -> bool:
    """Return whether a checkpointing run has made no checkpoint for too long.

    This is not judged while the worker is still warming up.
    """
    if now_s < worker.warm_at_s:
        return False
    stall_timeout_s = (
        STALL_CHECKPOINT_INTERVALS * cell.timing_limits.checkpoint_interval_s
        + STALL_MARGIN_S
    )
    return now_s - run.last_progress_s > stall_timeout_s


def _judge_elapsed_time(
    cell: Cell, worker: Worker, run: Run, now_s: float
) -> tuple[float, bool]:
    """Return the predicted fraction of ended runs, and whether this run is overdue."""
    median_s, log_stddev = predict_step_duration(cell, run.task.step)
    # A task that was stopped as overdue before may just be long, and each such stop
    # doubles its predicted duration.
    median_s *= 2**run.task.overdue_stop_count
    median_s /= min(max(worker.speed, MIN_NORMAL_SPEED), 1.0)
    elapsed_s = now_s - run.confirmed_s - OVERDUE_MARGIN_S
    factor = max(OVERDUE_FACTOR, math.exp(OVERDUE_DEVIATIONS * log_stddev))
    return completed_fraction(
        elapsed_s, median_s, log_stddev
    ), elapsed_s > factor * median_s


def _may_be_slow_step(step: Step, worker: Worker) -> bool:
    """Return whether a step itself may be slow, rather than this worker.

    That is assumed while it also has runs on other workers, and no duration of its
    tasks has been recorded.
    """
    if step.duration_count:
        return False
    return any(run.worker_id != worker.id for run in step.runs())
