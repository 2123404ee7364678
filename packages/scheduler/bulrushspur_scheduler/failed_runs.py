"""Keep the failed runs of a task, or of a gang as a whole.

Each run counts once, by its number, whoever reports its end and however often: numbers
differ over workers, incarnations and terms. The record says where the run was and who
recorded its end first.
"""

import dataclasses
import typing as t

if t.TYPE_CHECKING:
    from bulrushspur_scheduler.jobs import Job


@dataclasses.dataclass(slots=True)
class FailedRun:
    """A run that a worker has reported as failed.

    ``term`` is the one that recorded it, and ``incarnation_start_ms`` the start of the
    worker's process in Unix milliseconds; both are 0 if an older version stored it.
    """

    number: int
    worker_id: str = ""
    incarnation_start_ms: int = 0
    term: int = 0
    # Not part of what identifies it.
    is_stored: bool = dataclasses.field(default=False, compare=False)


# By run number.
FailedRuns = dict[int, FailedRun]


def add_failed_run(runs: FailedRuns, run: FailedRun) -> bool:
    """Add a failed run; return False if it is known already."""
    if run.number in runs:
        return False
    runs[run.number] = run
    return True


def replace_failed_run(runs: FailedRuns, run: FailedRun) -> bool:
    """Keep the run with the highest number alone; return False if that is a known one.

    For tasks that last: they may fail for years, and have no limit of attempts.
    """
    if run.number <= max(runs, default=-1):
        return False
    runs.clear()
    runs[run.number] = run
    return True


def sort_failed_runs(runs: FailedRuns) -> list[FailedRun]:
    """Sort failed runs by their number."""
    return [runs[number] for number in sorted(runs)]


def take_unstored(job: "Job") -> list[FailedRun]:
    """Return the failed runs of a job that are about to be stored, each one once."""
    rv, job.unstored_failed_runs = job.unstored_failed_runs, []
    return rv


def mark_stored(runs: t.Iterable[FailedRun]) -> None:
    """Record that the store has acknowledged failed runs."""
    for run in runs:
        run.is_stored = True
