"""Tell which failed runs made a job fail, for the log and for the next leader.

The input is a job that fails because a task, or a gang as a whole, has used up its
attempts. The verdict has each failed run that counted, and the term that gives it; it
is stored with the final state.
"""

import dataclasses
import enum
import typing as t

import msgspec

from bulrushspur_kernel.decoding import Count
from bulrushspur_scheduler.failed_runs import FailedRun, sort_failed_runs
from bulrushspur_scheduler.jobs import Job, Task


class StoredSince(enum.Enum):
    """When a failed run was stored, seen from the verdict; the values are logged."""

    EARLIER_TERM = "earlier_term"
    # Before the verdict, by the term that gives it.
    SAME_TERM = "same_term"
    WITH_VERDICT = "with_verdict"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The failed runs of the task, or gang, that made its job fail.

    ``path`` is occurrence, step and index of a task, or occurrence and step of a gang.
    """

    path: str
    term: int
    failed_runs: tuple[FailedRun, ...]


class VerdictRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """The stored form of a verdict; a row has the fields of ``FailedRun``."""

    path: str
    term: Count
    failed_runs: list[tuple[Count, str, Count, Count]] = []


def make_verdict(task: Task, term: int) -> Verdict:
    """Make the verdict on the job of a task that, or whose gang, made it fail."""
    path = task.key.path
    if task.step.spec.gang:
        path = f"{task.key.occurrence}.{task.key.step}"
    return Verdict(path, term, tuple(sort_failed_runs(task.counted_runs)))


def describe_failure(job: Job, verdict: Verdict | None, term: int) -> dict[str, t.Any]:
    """Return the fields of the log that tell why a job failed.

    Without a verdict it did not fail for its attempts; ``failed_runs`` is how often one
    of its tasks, or gangs, has failed at most.
    """
    if verdict is None:
        most = max((len(task.counted_runs) for task in job.tasks()), default=0)
        return {
            "failed_task": "",
            "failed_runs": most,
            "counted_runs": [],
            "fence": term,
        }
    return {
        "failed_task": verdict.path,
        "failed_runs": len(verdict.failed_runs),
        "counted_runs": [
            _describe_run(run, verdict.term) for run in verdict.failed_runs
        ],
        "fence": verdict.term,
    }


def _describe_run(run: FailedRun, term: int) -> dict[str, t.Any]:
    return {
        "run": run.number,
        "worker": run.worker_id,
        "incarnation_ms": run.incarnation_start_ms,
        "fence": run.term,
        "stored": _find_stored_since(run, term).value,
    }


def _find_stored_since(run: FailedRun, term: int) -> StoredSince:
    if not run.is_stored:
        return StoredSince.WITH_VERDICT
    return StoredSince.SAME_TERM if run.term == term else StoredSince.EARLIER_TERM


def make_verdict_record(verdict: Verdict | None) -> VerdictRecord | None:
    """Make the record of a verdict; None of None."""
    if verdict is None:
        return None
    rows = [
        (run.number, run.worker_id, run.incarnation_start_ms, run.term)
        for run in verdict.failed_runs
    ]
    return VerdictRecord(verdict.path, verdict.term, rows)


def restore_verdict(record: VerdictRecord | None) -> Verdict | None:
    """Make the verdict of a record; None of None."""
    if record is None:
        return None
    runs = tuple(FailedRun(*row, is_stored=True) for row in record.failed_runs)
    return Verdict(record.path, record.term, runs)
