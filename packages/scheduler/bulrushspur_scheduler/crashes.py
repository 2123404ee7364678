"""Record the crashes of workers, and give up the jobs of tasks that cause them.

The input is a worker whose incarnation has ended without having drained, with its runs.
The result is a count of crashes for each task that may have run there, an event, and
which tasks are suspects: how their next run has to be kept apart from other work, so
that another crash tells whose fault it was (``isolation.py``).

A run that was not seen to survive its start is a closer suspect than the others: its
task counts the crash as an early one, too. A worker that had neither such a run nor a
suspect crashed for another reason, and so may have others that were heard last about
when it was.

A job is given up once one of its tasks has crashed a worker that was isolated for it,
after another one and without such a common cause, or else after too many crashes.

A lapsed lease is no crash: the worker may only have been cut off.
"""

import enum
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import JobState, Run, RunState, StepKey, Task
from bulrushspur_scheduler.progress import finish_job
from bulrushspur_scheduler.workers import Worker

# A run that goes on for so long after its start is not taken for the cause of a crash.
SURVIVAL_S: t.Final = 0.5
# A run that goes on for so long clears its task of all earlier crashes.
EXONERATION_S: t.Final = 60.0
# A job is given up after so many crashes under one of its tasks, isolated or not; after
# one more if the last may have had a common cause.
MAX_CRASHES: t.Final = 4
# Workers that were heard last within this time of each other may have a common cause.
COMMON_CAUSE_S: t.Final = 1.0
# Crashes without a suspect make others doubtful for so long: then it takes two crashes
# of isolated workers to give a job up.
UNRELIABLE_S: t.Final = 30.0
# By then a worker that crashed at the same time has missed its reports, too.
VERDICT_DELAY_S: t.Final = 1.5
# At most this many tasks are named in an event.
MAX_NAMED_TASKS: t.Final = 8


class Isolation(enum.IntEnum):
    """How a run of a task has to be kept apart from other work."""

    NONE = 0
    # The worker starts nothing else until the run has survived its start.
    QUIET = 1
    # The worker runs nothing else.
    ALONE = 2


def required_isolation(task: Task) -> Isolation:
    """Return how the next run of a task has to be kept apart."""
    if task.early_crash_count >= 2 or task.crash_count >= 3:
        return Isolation.ALONE
    if task.early_crash_count or task.crash_count >= 2:
        return Isolation.QUIET
    return Isolation.NONE


def has_survived_start(run: Run, worker: Worker) -> bool:
    """Return whether a worker has reported a run for long enough after its start."""
    survived_s = worker.last_report_s - run.confirmed_s
    return bool(run.confirmed_s) and survived_s >= SURVIVAL_S


def is_quiet(worker: Worker) -> bool:
    """Return whether a crash of a worker would say nothing of what runs there now.

    All of its runs are known to have survived their start, and none is a suspect's.
    """
    return not worker.orphan_runs and all(
        has_survived_start(run, worker)
        and required_isolation(run.task) is Isolation.NONE
        for run in worker.runs.values()
    )


def is_isolated(worker: Worker, now_s: float) -> bool:
    """Return whether a worker takes no work but that of the step it is isolated for."""
    if worker.isolated_for is None:
        return False
    runs = list_runs_of(worker, worker.isolated_for)
    if runs:
        return worker.isolated_alone or not all(
            has_survived_start(run, worker) for run in runs
        )
    return now_s < worker.held_until_s


def list_runs_of(worker: Worker, key: StepKey) -> list[Run]:
    """List the runs of a step on a worker."""
    return [run for run in worker.runs.values() if run.task.step.key == key]


def record_crash(cell: Cell, worker: Worker, reason: str, now_s: float) -> None:
    """Count a crash for the tasks that may have run on a worker.

    A worker that drains was going to end: that is no crash.
    """
    if worker.draining:
        return
    runs = [
        run
        for run in worker.runs.values()
        if not run.task.done and run.task.step.job.id in cell.jobs
    ]
    early = [run for run in runs if not has_survived_start(run, worker)]
    if not early and not any(run.task.crash_count for run in runs):
        cell.unexplained_crashes_s[worker.entry.machine] = worker.last_report_s
    isolated_for = worker.isolated_for if is_isolated(worker, now_s) else None
    for run in runs:
        _count_crash(cell, run, run in early)
        run.task.last_crash_s = worker.last_report_s
        run.task.isolated_crash_count += run.task.step.key == isolated_for
    named = sorted(early, key=lambda run: -run.task.early_crash_count)
    cell.log(
        "worker_crashed",
        worker=worker.id,
        machine=worker.entry.machine,
        reason=reason,
        silent_ms=round(min(now_s - worker.last_report_s, 1e6) * 1000),
        runs=len(runs),
        early=[_describe(run, now_s) for run in named[:MAX_NAMED_TASKS]],
        early_runs=len(early),
        most_crashes=max((run.task.crash_count for run in runs), default=0),
    )


def _count_crash(cell: Cell, run: Run, is_early: bool) -> None:
    task = run.task
    task.crash_count += 1
    task.early_crash_count += is_early
    task.step.has_suspects = True
    cell.suspects[task.key] = task


def judge_suspects(cell: Cell, now_s: float) -> None:
    """Give up the jobs of deadly tasks, and clear the tasks that have proved sound."""
    for key, task in list(cell.suspects.items()):
        if task.done or cell.find_task(key) is not task:
            del cell.suspects[key]
        elif any(_has_run_long(run, now_s) for run in task.runs):
            task.crash_count = task.early_crash_count = task.isolated_crash_count = 0
            del cell.suspects[key]
        elif not awaits_verdict(task, now_s) and _is_deadly(cell, task, now_s):
            _give_up(cell, task, now_s)


def awaits_verdict(task: Task, now_s: float) -> bool:
    """Return whether a suspect may not start yet, since it may have to be given up."""
    return task.crash_count >= 2 and now_s - task.last_crash_s < VERDICT_DELAY_S


def _is_deadly(cell: Cell, task: Task, now_s: float) -> bool:
    if task.runs or task.crash_count < 2:
        return False
    if task.crash_count > MAX_CRASHES:
        return True
    if task.crash_count < MAX_CRASHES:
        needed_count = 2 if _crash_by_themselves(cell, now_s) else 1
        if task.isolated_crash_count < needed_count:
            return False
    return not _has_common_cause(cell, task.last_crash_s, now_s)


def _crash_by_themselves(cell: Cell, now_s: float) -> bool:
    """Return whether a worker has crashed lately that ran no suspect."""
    return any(
        now_s - heard_s < UNRELIABLE_S
        for heard_s in cell.unexplained_crashes_s.values()
    )


def _has_common_cause(cell: Cell, heard_s: float, now_s: float) -> bool:
    """Return whether a worker without suspects was heard last at about the same time.

    It may have crashed, or be silent since.
    """
    if any(
        abs(other_s - heard_s) < COMMON_CAUSE_S
        for other_s in cell.unexplained_crashes_s.values()
    ):
        return True
    return any(
        abs(worker.last_report_s - heard_s) < COMMON_CAUSE_S
        and now_s - worker.last_report_s > COMMON_CAUSE_S
        and not worker.ended
        and not worker.draining
        and not any(
            run.task.crash_count or not has_survived_start(run, worker)
            for run in worker.runs.values()
        )
        for worker in cell.workers.values()
        if worker.has_reported
    )


def _give_up(cell: Cell, task: Task, now_s: float) -> None:
    job, key = task.step.job, task.key
    cell.log(
        "job_given_up",
        job.id,
        task=f"{key.occurrence}.{key.step}.{key.index}",
        crashes=task.crash_count,
        early_crashes=task.early_crash_count,
        isolated_crashes=task.isolated_crash_count,
        runs=task.last_run_number - job.run_number_base,
        account=job.account,
        queue=job.queue,
    )
    finish_job(cell, job, JobState.FAILED, now_s)


def _has_run_long(run: Run, now_s: float) -> bool:
    age_s = now_s - run.confirmed_s
    return run.state is RunState.RUNNING and age_s >= EXONERATION_S


def _describe(run: Run, now_s: float) -> str:
    """Return job, task, run number, counts of crashes and age of a run, as text."""
    key, task = run.task.key, run.task
    return (
        f"{key.job}.{key.occurrence}.{key.step}.{key.index} run {run.number}, "
        f"{task.early_crash_count} early of {task.crash_count} crashes, "
        f"ordered {round((now_s - run.ordered_s) * 1000)} ms ago"
    )
