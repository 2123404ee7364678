"""Keep what gives cause to show a job as failed: failed runs and crashes of workers.

Takes what the simulated workers really had, whether a leader knows of it or not, and
the attempts that each job was promised when it was accepted. Finds a fault in a job
that is shown as failed although no task, or gang, of it has failed as often as was
promised, and no task of it was on two workers at the moment of their crash.
"""

import collections
import dataclasses
import typing as t

from bulrushspur_scheduler.job_specs import JobSpec, TaskKey

# A job may be given up from so many crashes under one of its tasks on.
MIN_CRASHES: t.Final = 2


class ReportedRun(t.NamedTuple):
    """A run that ended as failed, and the worker incarnation on which it did."""

    number: int
    worker_id: str
    incarnation_start_ms: int


@dataclasses.dataclass
class FailureEvidence:
    """The failed runs of a task, or of a gang under its first task."""

    max_attempts: dict[str, int] = dataclasses.field(default_factory=dict)
    failed_runs: collections.defaultdict[TaskKey, set[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    reported_runs: collections.defaultdict[TaskKey, set[ReportedRun]] = (
        dataclasses.field(default_factory=lambda: collections.defaultdict(set))
    )
    crash_counts: collections.Counter[TaskKey] = dataclasses.field(
        default_factory=collections.Counter
    )

    def record_failed_run(
        self,
        key: TaskKey,
        number: int,
        is_gang: bool,
        worker_id: str = "",
        incarnation_start_ms: int = 0,
    ) -> None:
        """Record that a run has ended as failed on its worker."""
        counted_key = key._replace(index=0) if is_gang else key
        self.failed_runs[counted_key].add(number)
        run = ReportedRun(number, worker_id, incarnation_start_ms)
        self.reported_runs[counted_key].add(run)

    def record_crash(self, keys: t.Iterable[TaskKey]) -> None:
        """Record that a worker crashed on which these tasks were running."""
        self.crash_counts.update(set(keys))

    def count_crashes(self, job_id: str) -> int:
        """Return the crashes under that task of a job which had the most of them."""
        counts = self.crash_counts.items()
        return max((count for key, count in counts if key.job == job_id), default=0)

    def find_fault(self, job: JobSpec) -> str:
        """Return why a job must not be shown as failed; empty if it may be."""
        failed_run_count = max(
            (
                len(numbers)
                for key, numbers in self.failed_runs.items()
                if key.job == job.id and not job.steps[key.step].long_running
            ),
            default=0,
        )
        crash_count = self.count_crashes(job.id)
        promised_count = self.max_attempts[job.id]
        if failed_run_count >= promised_count or crash_count >= MIN_CRASHES:
            return ""
        return (
            f"at most {failed_run_count} of {promised_count} runs of a task failed, "
            f"and at most {crash_count} workers crashed under one"
        )
