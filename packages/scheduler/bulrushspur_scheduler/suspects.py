"""Judge the suspects of crashes: keep their next runs apart, or give up their jobs.

The input is a task with its crashes (``crashes.py``). The result is how its next run
has to be kept apart from other work (``isolation.py``), so that another crash tells
whose fault it was, where that run was to start, and the end of a job.

A job is given up once the crashes under one of its tasks are evidence enough, and one
of the workers was isolated for it.

The counts are stored before the tasks start again, so that the next leader has them.
"""

import dataclasses
import enum
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.crash_causes import has_common_cause, list_losses
from bulrushspur_scheduler.crashes import SEEN_EVIDENCE, count_crashes
from bulrushspur_scheduler.job_states import FailureReason, RunState
from bulrushspur_scheduler.jobs import Job, Run, Step, Task, Trial
from bulrushspur_scheduler.progress import fail_job
from bulrushspur_scheduler.workers import Worker

# A suspect of one crash starts beside other work after waiting for so long: where many
# workers crash there are more suspects than can be isolated, and most are sound.
MAX_QUIET_WAIT_S: t.Final = 2.0
# A run that goes on for so long clears its task of all earlier crashes.
EXONERATION_S: t.Final = 60.0
# Evidence of a crash between two leaders: the run may have ended before it.
UNSEEN_EVIDENCE: t.Final = 1
# A job is given up at so much evidence, three crashes that were seen: a run may have
# ended before one of these, too, and a second one may be chance.
NEEDED_EVIDENCE: t.Final = 6
# Less is enough where so many crashes are part of it.
NEEDED_EVIDENCE_OF_MANY: t.Final = 4
MANY_CRASHES: t.Final = 4
# Of the crashes, so many must not have a common cause.
MIN_SUSPECTED_CRASHES: t.Final = 2
# Before the crash that might be the last one, a task waits until no worker has crashed
# by itself for CALM_S, but no longer than MAX_CALM_WAIT_S.
CALM_S: t.Final = 3.0
MAX_CALM_WAIT_S: t.Final = 20.0


class Isolation(enum.IntEnum):
    """How a run of a task has to be kept apart from other work."""

    NONE = 0
    # The worker starts nothing else until the run has survived its start.
    QUIET = 1
    # The worker runs nothing else.
    ALONE = 2


def required_isolation(task: Task) -> Isolation:
    """Return how the next run of a task has to be kept apart."""
    if task.suspected_crash_count >= 2:
        return Isolation.ALONE
    if task.suspected_crash_count and not task.is_isolation_waived:
        return Isolation.QUIET
    return Isolation.NONE


def restore_suspects(cell: Cell, job: Job, now_s: float) -> None:
    """Add the suspects of a recovered job; they may have crashed just now."""
    for step in job.steps():
        for task in step.tasks if step.has_suspects else ():
            if task.crash_count and not task.done:
                task.last_crash_s = now_s
                cell.suspects[task.key] = task


def set_trial(cell: Cell, task: Task, worker: Worker) -> bool:
    """Record where a suspect is about to start; return whether that is stored already.

    A leader that finds this incarnation ended, and no run, counts a crash.
    """
    trial = Trial(worker.id, worker.entry.machine, worker.incarnation_start_ms)
    if task.trial == trial:
        return not awaits_storage(task.step)
    task.trial = trial
    task.step.job.crash_version += 1
    cell.dirty_jobs.add(task.step.job.id)
    return False


def confirm_trial(cell: Cell, task: Task) -> None:
    """Record that a worker has confirmed the start of a suspect."""
    if task.trial is not None and not task.trial.is_confirmed:
        task.trial = dataclasses.replace(task.trial, is_confirmed=True)
        cell.dirty_jobs.add(task.step.job.id)


def _count_crash_of_trial(cell: Cell, task: Task, now_s: float) -> None:
    """Count a crash that no leader saw, of a worker that was to run a suspect."""
    trial, task.recovered_trial = task.recovered_trial, None
    task.step.job.crash_version += 1
    cell.dirty_jobs.add(task.step.job.id)
    if trial is None or task.runs or not _has_ended(cell, trial):
        return
    is_suspected = not _trial_has_common_cause(cell, task, trial, now_s)
    task.crash_count += 1
    task.suspected_crash_count += is_suspected
    if trial.is_confirmed:
        task.crash_evidence += UNSEEN_EVIDENCE
        task.evident_crash_count += 1
        task.isolated_crash_count += is_suspected
    cell.log(
        "crash_of_trial",
        task.key.job,
        worker=trial.worker_id,
        confirmed=trial.is_confirmed,
        evidence=task.crash_evidence,
        crashes=task.crash_count,
        suspected_crashes=task.suspected_crash_count,
    )


def _is_trial_over(cell: Cell, task: Task) -> bool:
    """Return whether the worker of a recovered trial has reported without the run."""
    trial = task.recovered_trial
    worker = cell.workers.get(trial.worker_id) if trial is not None else None
    return (
        worker is not None
        and worker.has_reported
        and not worker.ended
        and worker.incarnation_start_ms == trial.incarnation_start_ms
        and not any(run.worker_id == worker.id for run in task.runs)
    )


def _trial_has_common_cause(cell: Cell, task: Task, trial: Trial, now_s: float) -> bool:
    """Return whether others were lost with the worker of a trial, if it was seen."""
    machine = trial.machine or trial.worker_id
    for crash in reversed(cell.crashes):
        if crash.machine == machine:
            steps = frozenset({task.step.key})
            loss = dataclasses.replace(crash, suspected_steps=steps)
            return has_common_cause(cell, loss, now_s)
    return False


def _has_ended(cell: Cell, trial: Trial) -> bool:
    """Return whether an incarnation ended, or a later one took its place."""
    for worker in cell.workers.values():
        is_later = worker.incarnation_start_ms > trial.incarnation_start_ms
        if worker.id == trial.worker_id and (worker.ended or is_later):
            return True
        if trial.machine and worker.entry.machine == trial.machine and is_later:
            return True
    return False


def awaits_storage(step: Step) -> bool:
    """Return whether crashes under tasks of a step are not stored yet.

    Until then the step must not start: the next leader would not know of them.
    """
    job = step.job
    return step.has_suspects and job.crash_version > job.stored_crash_version


def judge_suspects(cell: Cell, now_s: float) -> None:
    """Give up the jobs of deadly tasks, and clear the tasks that have proved sound."""
    count_crashes(cell, now_s)
    for key, task in list(cell.suspects.items()):
        if task.done or cell.find_task(key) is not task:
            del cell.suspects[key]
            continue
        if task.recovered_trial is not None and _is_trial_over(cell, task):
            task.recovered_trial = None
        if task.recovered_trial is not None and not task.unreconciled:
            _count_crash_of_trial(cell, task, now_s)
        if any(_has_run_long(run, now_s) for run in task.runs):
            _clear(cell, task)
        elif _is_deadly(task):
            _give_up(cell, task, now_s)
        elif now_s - task.step.unplaced_since_s > MAX_QUIET_WAIT_S:
            task.is_isolation_waived = True


def _clear(cell: Cell, task: Task) -> None:
    """Forget the crashes of a task that has proved sound."""
    task.crash_count = task.suspected_crash_count = task.isolated_crash_count = 0
    task.crash_evidence = task.evident_crash_count = 0
    task.is_isolation_waived = False
    cell.dirty_jobs.add(task.key.job)
    del cell.suspects[task.key]


def awaits_verdict(task: Task) -> bool:
    """Return whether it is not known yet if a task's last run crashed its worker."""
    return task.recovered_trial is not None or task.uncounted_crashes > 0


def _is_deadly(task: Task) -> bool:
    return (
        not task.runs
        and _is_enough(task.crash_evidence, task.evident_crash_count)
        and task.suspected_crash_count >= MIN_SUSPECTED_CRASHES
        and task.isolated_crash_count > 0
    )


def _is_enough(evidence: int, crash_count: int) -> bool:
    """Return whether workers certainly crashed under a task as often as is needed."""
    is_of_many = crash_count >= MANY_CRASHES
    return evidence >= (NEEDED_EVIDENCE_OF_MANY if is_of_many else NEEDED_EVIDENCE)


def waits_for_calm(cell: Cell, task: Task, now_s: float) -> bool:
    """Return whether a task is not started yet, as it might crash by chance.

    This holds where one more crash would be the last one that its job may have, while
    workers crash or fall silent that were not isolated for a suspect.
    """
    if not _is_enough(
        task.crash_evidence + SEEN_EVIDENCE, task.evident_crash_count + 1
    ):
        return False
    if now_s - task.last_crash_s > MAX_CALM_WAIT_S:
        return False
    return any(
        not loss.is_isolated and now_s - loss.heard_s < CALM_S
        for loss in list_losses(cell, task.step.job.service, now_s)
    )


def _give_up(cell: Cell, task: Task, now_s: float) -> None:
    job, key = task.step.job, task.key
    cell.log(
        "job_given_up",
        job.id,
        task=key.path,
        crashes=task.crash_count,
        suspected_crashes=task.suspected_crash_count,
        evidence=task.crash_evidence,
        isolated_crashes=task.isolated_crash_count,
        runs=task.last_run_number - job.run_number_base,
        account=job.account,
        queue=job.queue,
    )
    fail_job(cell, job, FailureReason.CRASHES, now_s)


def _has_run_long(run: Run, now_s: float) -> bool:
    age_s = now_s - run.confirmed_s
    return run.state is RunState.RUNNING and age_s >= EXONERATION_S
