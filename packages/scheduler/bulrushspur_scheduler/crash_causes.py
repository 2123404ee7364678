"""Tell crashes that a run may have caused from those with a common cause.

The input is a crash of a worker, and the other workers of its service that have crashed
or fallen silent at about that time. A run is not taken for the cause once it was seen
to survive its start.
"""

import dataclasses
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.job_specs import StepKey
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.workers import Worker

# A run that goes on for so long after its start is not taken for the cause of a crash.
SURVIVAL_S: t.Final = 1.0
# The same beside another suspect.
SUSPECT_SURVIVAL_S: t.Final = 1.5
# Crashes have a common cause if so many others were lost within this time.
COMMON_CAUSE_S: t.Final = 0.75
MIN_OTHERS_LOST: t.Final = 2
# So many are lost by no start, whatever had started on them.
MIN_LOST: t.Final = 4
MIN_LOST_SHARE: t.Final = 0.5
# A worker is silent if it has not reported for so long.
MIN_SILENCE_S: t.Final = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class PastCrash:
    """A crash of a worker, and the steps whose runs there may explain it."""

    machine: str
    service: str
    heard_s: float
    suspected_steps: frozenset[StepKey]
    # It was isolated for a suspect.
    is_isolated: bool = False


def has_survived_start(
    run: Run, worker: Worker, survival_s: float = SURVIVAL_S
) -> bool:
    """Return whether a worker has reported a run for long enough after its start."""
    survived_s = worker.last_report_s - run.confirmed_s
    return bool(run.confirmed_s) and survived_s >= survival_s


def is_quiet(worker: Worker) -> bool:
    """Return whether a crash of a worker would say nothing of what runs there now.

    All of its runs are known to have survived their start, suspects for longer.
    """
    return not worker.orphan_runs and all(
        has_survived_start(
            run,
            worker,
            SUSPECT_SURVIVAL_S if run.task.suspected_crash_count else SURVIVAL_S,
        )
        for run in worker.runs.values()
    )


def has_common_cause(cell: Cell, loss: PastCrash, now_s: float) -> bool:
    """Return whether other workers were lost at about the time of a crash.

    These are workers without early runs, or so many that no start explains it, as they
    have no early run of the same steps. They were heard last when the crashed one was,
    and have crashed or been silent since.
    """
    lost: set[str] = set()
    unexplained: set[str] = set()
    for other in list_losses(cell, loss.service, now_s):
        if abs(other.heard_s - loss.heard_s) < COMMON_CAUSE_S:
            if not other.suspected_steps:
                unexplained.add(other.machine)
            if not loss.suspected_steps & other.suspected_steps:
                lost.add(other.machine)
    unexplained.discard(loss.machine)
    lost.discard(loss.machine)
    if len(unexplained) >= MIN_OTHERS_LOST:
        return True
    peer_count = sum(
        worker.entry.service == loss.service and worker.has_reported
        for worker in cell.workers.values()
    )
    return len(lost) >= max(MIN_LOST, MIN_LOST_SHARE * peer_count)


def list_losses(cell: Cell, service: str, now_s: float) -> list[PastCrash]:
    """List the crashes of a service, and its silent workers as if they had crashed."""
    silent = [
        PastCrash(
            worker.machine,
            service,
            worker.last_report_s,
            _early_steps(worker),
            worker.isolated_for is not None,
        )
        for worker in cell.workers.values()
        if worker.entry.service == service
        and worker.has_reported
        and now_s - worker.last_report_s > MIN_SILENCE_S
        and not worker.ended
        and not worker.draining
    ]
    return silent + [crash for crash in cell.crashes if crash.service == service]


def _early_steps(worker: Worker) -> frozenset[StepKey]:
    return frozenset(
        run.task.step.key
        for run in worker.runs.values()
        if not has_survived_start(run, worker)
    )
