"""Record the crashes of workers, and what they show of the tasks that ran there.

The input is a worker whose incarnation has ended without having drained, with its runs.
The result is a count of crashes for each task that may have run there, an event, and
which tasks are suspects (``suspects.py``).

The suspects of a crash are the runs that were not seen to survive their start, or all
runs where there are none of these. A crash with a common cause makes no task a suspect
(``crash_causes.py``).

Evidence is a crash with a run that was certainly there: the worker had confirmed it,
and nothing may have ended it before. Other crashes, for instance after a start that was
not answered, only keep the task apart.

A lapsed lease is no crash: the worker may only have been cut off.
"""

import dataclasses
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.crash_causes import (
    COMMON_CAUSE_S,
    MIN_SILENCE_S,
    PastCrash,
    has_common_cause,
    has_survived_start,
)
from bulrushspur_scheduler.estimates import predict_duration
from bulrushspur_scheduler.job_specs import StepKey
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.runs import GANG_STOP_REASONS
from bulrushspur_scheduler.workers import RunKey, Worker

# Evidence of a crash that this leader saw, and where the run may have ended before it,
# without a report.
SEEN_EVIDENCE: t.Final = 2
DOUBTFUL_EVIDENCE: t.Final = 1
# A run may have ended that was heard last after this share of its predicted duration.
MAY_HAVE_ENDED_SHARE: t.Final = 0.5
# A lease counts from its request, which may be this much older than the last report.
MAX_REQUEST_AGE_S: t.Final = 2.0
# By then a worker that crashed at the same time is silent.
COUNT_DELAY_S: t.Final = MIN_SILENCE_S + COMMON_CAUSE_S
# At most this many tasks are named in an event.
MAX_NAMED_TASKS: t.Final = 8


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Crash:
    """A crash of a worker: when it was heard last, and its runs at that time.

    ``seen_s`` is when it was seen to have ended.

    The early runs were not seen to survive their start. The tasks of the awaited runs
    do not start before the crash is counted. ``evidence`` has the runs that were on the
    worker when it crashed. ``isolated_for`` is the step that it was isolated for, if
    nothing else had just started there; the isolated runs were suspects before.
    """

    worker: Worker
    incarnation_start_ms: int
    reason: str
    heard_s: float
    seen_s: float
    past_crash: PastCrash
    isolated_for: StepKey | None
    runs: list[Run]
    early: list[Run]
    awaited: list[Run]
    isolated: list[Run]
    evidence: dict[Run, int]


def is_isolated(worker: Worker, now_s: float) -> bool:
    """Return whether a worker is held for suspects, or runs one that keeps it apart."""
    if worker.isolated_for is None:
        return False
    runs = list_isolated_runs(worker)
    if runs:
        return any(_keeps_apart(run, worker) for run in runs)
    return now_s < worker.held_until_s


def list_isolated_runs(worker: Worker) -> list[Run]:
    """List the runs that a worker was isolated for, without others of their step."""
    return [run for run in worker.runs.values() if run.is_isolated]


def _keeps_apart(run: Run, worker: Worker) -> bool:
    """Return whether an isolated run still keeps other work from its worker.

    One that runs alone does so until it ends, or its task is cleared.
    """
    if worker.isolated_alone:
        return run.task.suspected_crash_count > 0
    return not has_survived_start(run, worker)


def record_crash(
    cell: Cell,
    worker: Worker,
    reason: str,
    now_s: float,
    begun_by_next: frozenset[RunKey] = frozenset(),
) -> None:
    """Count a crash for the tasks that may have run on a worker.

    The runs ``begun_by_next`` are those that only its next incarnation has begun.

    A worker that drains was going to end: that is no crash. One that was heard just now
    is counted later, by ``judge_suspects``: others may have crashed with it.
    """
    if worker.draining or worker.drained_start_ms == worker.incarnation_start_ms:
        return
    runs = [
        run
        for run in worker.runs.values()
        if not run.task.done
        and not run.is_crash_recorded
        and run.key not in begun_by_next
        and run.task.step.job.id in cell.jobs
    ]
    evidence = {
        run: _evidence_of(cell, run, worker)
        for run in runs
        if _was_present(cell, run, worker, now_s)
    }
    for run in runs:
        run.is_crash_recorded = True
        if run.task.step.spec.gang:
            run.task.step.crashed_gang_run_number = run.number
    early = [run for run in runs if not has_survived_start(run, worker)]
    awaited = [run for run in runs if run in early or run.task.suspected_crash_count]
    steps = frozenset(run.task.step.key for run in awaited)
    isolated = [run for run in runs if run.is_isolated and _keeps_apart(run, worker)]
    isolated_for = _find_isolated_step(worker, early, now_s)
    loss = PastCrash(
        worker.machine,
        worker.entry.service,
        worker.last_report_s,
        steps,
        isolated_for is not None,
    )
    cell.crashes.append(loss)
    crash = Crash(
        worker,
        worker.incarnation_start_ms,
        reason,
        worker.last_report_s,
        now_s,
        loss,
        isolated_for,
        runs,
        early,
        awaited,
        isolated,
        evidence,
    )
    for run in awaited:
        run.task.uncounted_crashes += 1
        run.task.step.has_suspects = True
    cell.uncounted_crashes.append(crash)
    count_crashes(cell, now_s)


def _find_isolated_step(
    worker: Worker, early: list[Run], now_s: float
) -> StepKey | None:
    """Return the step that a worker is isolated for, unless another just started."""
    key = worker.isolated_for
    if not is_isolated(worker, now_s):
        return None
    return key if all(run.task.step.key == key for run in early) else None


def _was_present(cell: Cell, run: Run, worker: Worker, now_s: float) -> bool:
    """Return whether a run was on its worker when that crashed, as far as is known.

    It was confirmed, and neither a stop nor the expiry of its lease can have ended it
    before. The first crash, or a failed member, ends the other members of a gang.
    """
    if not run.confirmed_s:
        return False
    heard_s = max(worker.last_report_s, run.confirmed_s)
    if now_s - heard_s >= cell.timing_limits.lease_s - MAX_REQUEST_AGE_S:
        return False
    step = run.task.step
    if not step.spec.gang:
        return run.state is RunState.RUNNING
    if run.number in (step.crashed_gang_run_number, *step.failed_runs):
        return False
    if run.state is RunState.RUNNING:
        return True
    # Stopped since its other members ended; these may have told so before it crashed.
    return run.stop_reason in GANG_STOP_REASONS and not run.stop_acknowledged_s


def _evidence_of(cell: Cell, run: Run, worker: Worker) -> int:
    """Return the evidence of a crash of a worker with a run that was there."""
    spec = run.task.step.spec
    duration_s, _ = predict_duration(cell, run.task.step.job.queue, spec.estimate_s)
    heard_age_s = worker.last_report_s - run.confirmed_s
    if run.adopted or heard_age_s > MAY_HAVE_ENDED_SHARE * duration_s:
        return DOUBTFUL_EVIDENCE
    return SEEN_EVIDENCE


def count_crashes(cell: Cell, now_s: float) -> None:
    """Count the crashes whose worker was heard last long enough ago."""
    due = [
        crash
        for crash in cell.uncounted_crashes
        if now_s - crash.heard_s >= COUNT_DELAY_S
    ]
    for crash in due:
        cell.uncounted_crashes.remove(crash)
        _count_crash(cell, crash, now_s)


def _count_crash(cell: Cell, crash: Crash, now_s: float) -> None:
    for run in crash.awaited:
        run.task.uncounted_crashes -= 1
        run.task.trial = None
        cell.dirty_jobs.add(run.task.step.job.id)
    if crash.worker.draining:
        # Its entry was read only after it had left.
        return
    is_common = _crash_has_common_cause(cell, crash, now_s)
    # Others may have started beside an isolated run that had survived its start.
    suspects = list(dict.fromkeys(crash.early + crash.isolated)) or crash.runs
    # It may have drained unless its entry was read since.
    evidence = crash.evidence if cell.worker_list_s >= crash.heard_s else {}
    for run in crash.runs:
        _count_for_run(
            cell,
            run,
            is_suspected=run in suspects and not is_common,
            evidence=evidence.get(run, 0),
            isolated_for=crash.isolated_for,
            now_s=now_s,
        )
    named = sorted(suspects, key=lambda run: -run.task.suspected_crash_count)
    cell.log(
        "worker_crashed",
        worker=crash.worker.id,
        machine=crash.worker.machine,
        reason=crash.reason,
        silent_ms=round(min(now_s - crash.heard_s, 1e6) * 1000),
        common_cause=is_common,
        runs=len(crash.runs),
        early_runs=len(crash.early),
        proven_runs=len(evidence),
        suspects=[_describe(run, now_s) for run in named[:MAX_NAMED_TASKS]],
        most_crashes=max((run.task.crash_count for run in crash.runs), default=0),
    )


def _crash_has_common_cause(cell: Cell, crash: Crash, now_s: float) -> bool:
    worker = crash.worker
    steps = frozenset(run.task.step.key for run in crash.early)
    loss = PastCrash(worker.machine, worker.entry.service, crash.heard_s, steps)
    return has_common_cause(cell, loss, now_s)


def _count_for_run(
    cell: Cell,
    run: Run,
    *,
    is_suspected: bool,
    evidence: int,
    isolated_for: StepKey | None,
    now_s: float,
) -> None:
    task = run.task
    job = task.step.job
    job.crash_version += 1
    cell.dirty_jobs.add(job.id)
    task.crash_count += 1
    task.last_crash_s = now_s
    task.suspected_crash_count += is_suspected
    if evidence:
        task.crash_evidence += evidence
        task.evident_crash_count += 1
        task.isolated_crash_count += is_suspected and task.step.key == isolated_for
    task.step.has_suspects = True
    cell.suspects[task.key] = task


def _describe(run: Run, now_s: float) -> str:
    """Return job, task, run number, counts of crashes and age of a run, as text."""
    key, task = run.task.key, run.task
    return (
        f"{key.job}.{key.path} run {run.number}, "
        f"suspected in {task.suspected_crash_count} of {task.crash_count} crashes, "
        f"ordered {round((now_s - run.ordered_s) * 1000)} ms ago"
    )
