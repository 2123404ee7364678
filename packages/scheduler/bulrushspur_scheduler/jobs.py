"""Define jobs, their steps and tasks, and the runs of tasks on workers.

A job has one occurrence, or several if it repeats. An occurrence has steps that depend
on each other, a step has tasks that are alike, and a task is started as runs, each with
a run number of its own.
"""

import dataclasses
import math
import typing as t

from bulrushspur_scheduler.config import DEFAULT_MAX_ATTEMPTS, Queue
from bulrushspur_scheduler.failed_runs import FailedRun, FailedRuns
from bulrushspur_scheduler.job_specs import JobSpec, StepKey, StepSpec, TaskKey
from bulrushspur_scheduler.job_states import JobState, RunState

# Starts that are kept of a task that lasts: more than may be open at a time.
MAX_LASTING_STARTS: t.Final = 32


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One attempt to run a task, on one worker."""

    task: "Task"
    number: int
    worker_id: str
    state: RunState
    ordered_s: float
    confirmed_s: float = 0.0
    stop_acknowledged_s: float = 0.0
    stop_reason: str = ""
    checkpoint: str = ""
    resumed_from: str = ""
    # Time of the last observed progress; 0 before the run has started.
    last_progress_s: float = 0.0
    # Started by an earlier term.
    adopted: bool = False
    # How often its start was ordered again, as a report lacked it.
    repeated_count: int = 0
    # Whether its worker was seen to have restarted since it was ordered.
    is_worker_restarted: bool = False
    # Its worker has crashed: a later crash there says nothing of it.
    is_crash_recorded: bool = False
    # Counts towards the urgent CPU of its account; its job's priority may change.
    is_urgent: bool = False
    # It lasts, and has gone on for long enough to count as a success.
    is_proven: bool = False
    # A suspect of crashes that its worker was isolated for.
    is_isolated: bool = False

    @property
    def key(self) -> tuple[TaskKey, int]:
        """Return what identifies the run on its worker: task key and run number."""
        return (self.task.key, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """The worker incarnation that is about to run a suspect of crashes."""

    worker_id: str
    machine: str
    incarnation_start_ms: int
    # The worker has begun the run.
    is_confirmed: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task with its runs and its progress."""

    key: TaskKey
    step: "Step"
    last_run_number: int = 0
    runs: list[Run] = dataclasses.field(default_factory=list)
    # The worker of each run that this term has started, by run number.
    started_worker_ids: dict[int, str] = dataclasses.field(default_factory=dict)
    failed_runs: FailedRuns = dataclasses.field(default_factory=dict)
    failed_worker_ids: set[str] = dataclasses.field(default_factory=set)
    overdue_stop_count: int = 0
    preemption_count: int = 0
    # Crashes of workers on which it may have run, and those of them of which it is a
    # suspect.
    crash_count: int = 0
    suspected_crash_count: int = 0
    # How far the latter show that it causes them (``crashes.py``).
    crash_evidence: int = 0
    # Crashes that are part of it.
    evident_crash_count: int = 0
    # Crashes of its runs that it must not start before they are counted.
    uncounted_crashes: int = 0
    # Crashes among the evidence of workers that were isolated for it.
    isolated_crash_count: int = 0
    last_crash_s: float = -1e9
    # It has waited too long for a worker of its own.
    is_isolation_waived: bool = False
    # Stored before the start of a suspect; the last one of an earlier term, until it is
    # known whether that incarnation has ended.
    trial: Trial | None = None
    recovered_trial: Trial | None = None
    checkpoint: str = ""
    done: bool = False
    # Recovered after a takeover, and not known yet whether a worker runs it.
    unreconciled: bool = False
    # Runs at work that are not among its runs (``orphans.py``).
    orphan_count: int = 0

    @property
    def may_be_at_work(self) -> bool:
        """Return whether a worker may run it although it has no run here."""
        return self.unreconciled or self.orphan_count > 0

    def may_be_own_run(self, worker_id: str, number: int) -> bool:
        """Return whether a run on a worker may be of this job, and not of a past one.

        An id may be used again once its job is forgotten. A job that was accepted in
        this term has only the runs that this term started, each on one worker. Which
        runs earlier terms started is not stored, so all may be of a recovered job.
        """
        if self.step.job.is_recovered:
            return True
        return self.started_worker_ids.get(number) == worker_id

    def record_start(self, worker_id: str, number: int) -> None:
        """Record which worker a run is started on; of a step that lasts the last ones.

        It may start for years. Ends of runs before those need not be known.
        """
        if self.step.job.is_recovered:
            return
        self.started_worker_ids[number] = worker_id
        if self.step.spec.long_running:
            while len(self.started_worker_ids) > MAX_LASTING_STARTS:
                del self.started_worker_ids[next(iter(self.started_worker_ids))]

    @property
    def counted_runs(self) -> FailedRuns:
        """Return the failed runs that count for it: those of its gang, or its own."""
        return self.step.failed_runs if self.step.spec.gang else self.failed_runs

    @property
    def awaits_promise(self) -> bool:
        """Return whether it must not start before its job's attempts are known.

        It, or its gang, has failed as often as is allowed where nothing is told.
        """
        if self.done or self.step.job.accepted_queue is not None:
            return False
        return len(self.counted_runs) >= DEFAULT_MAX_ATTEMPTS


@dataclasses.dataclass(slots=True, eq=False)
class Step:
    """One step of one occurrence.

    ``tickets`` maps a worker id to the ticket and the time when it expires.
    """

    key: StepKey
    job: "Job"
    spec: StepSpec
    tasks: list[Task] = dataclasses.field(default_factory=list)
    done_count: int = 0
    ready: bool = False
    ready_s: float = 0.0
    # Of a gang, whose tasks have none of their own.
    failed_runs: FailedRuns = dataclasses.field(default_factory=dict)
    gang_run_number: int = 0
    # The last run of the gang that lost a worker by a crash.
    crashed_gang_run_number: int = 0
    # Workers have crashed under some of its tasks.
    has_suspects: bool = False
    # In the order of their approval; the values are not used.
    approved_workers: dict[str, None] = dataclasses.field(default_factory=dict)
    evaluated_workers: set[str] = dataclasses.field(default_factory=set)
    tickets: dict[str, tuple[str, float]] = dataclasses.field(default_factory=dict)
    # Calls of this step that have no reply yet.
    in_flight_advice_calls: set[t.Any] = dataclasses.field(default_factory=set)
    # When a planning pass tried to start it last, on the monotonic clock.
    tried_s: float = -1e9
    # No advice call is made before this time.
    advice_retry_at_s: float = 0.0
    # When the first reservation of a waiting gang was to be ready; later ones may be
    # ready later.
    first_reserved_for_s: float = math.inf
    # Durations of the tasks that have ended: number and sum of logarithms.
    duration_count: int = 0
    log_duration_sum: float = 0.0
    # Since when reservations of gangs may keep it from workers; infinite if they don't.
    held_since_s: float = math.inf
    # Since when no worker was found for its startable tasks; infinite if one was.
    unplaced_since_s: float = math.inf
    # Workers with at least this speed end it on time; None if that does not matter.
    needed_speed: float | None = None
    # Work that ends by this time may start on the workers reserved for this gang, and
    # the start of the hold period that this holds for.
    reserved_until_s: float = 0.0
    reserved_period_s: float = -1e9
    # Cache of the critical path from this step on, and when it was computed.
    cached_remaining_s: float = 0.0
    remaining_cached_at_s: float = -1e9

    @property
    def done(self) -> bool:
        """Return whether all tasks have succeeded."""
        return self.done_count >= len(self.tasks)

    @property
    def is_partial_gang(self) -> bool:
        """Return whether this is a gang with runs."""
        # Before the first start or adoption of a run the number is 0.
        return self.gang_run_number > 0 and any(task.runs for task in self.tasks)

    def runs(self) -> t.Iterator[Run]:
        """Yield the runs of all tasks."""
        for task in self.tasks:
            yield from task.runs

    def startable_tasks(self) -> list[Task]:
        """List the tasks that may be started now."""
        rv = [
            task
            for task in self.tasks
            if not task.done and not task.runs and not task.may_be_at_work
        ]
        if self.job.accepted_queue is None:
            rv = [task for task in rv if not task.awaits_promise]
        return rv


@dataclasses.dataclass(slots=True, eq=False)
class Occurrence:
    """One repetition of the steps of a job."""

    number: int
    steps: list[Step] = dataclasses.field(default_factory=list)
    started: bool = False

    @property
    def done(self) -> bool:
        """Return whether all steps are done."""
        return all(step.done for step in self.steps)


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """An accepted job.

    ``accepted_s`` is on the monotonic clock. ``objective_s`` is the time within which
    the job should complete, from its acceptance on.
    """

    spec: JobSpec
    queue: str
    service: str
    account: str
    accepted_s: float
    accepted_unix_s: float
    objective_s: float = 0.0
    # Expected length of the longest chain of steps; the objective is made from it.
    path_s: float = 0.0
    priority: int = 0
    # The queue as it was at acceptance, with the attempts that were promised; None if
    # neither the record nor a configuration has told it yet.
    accepted_queue: Queue | None = None
    # A configuration told it after a takeover, so the job record lacks it.
    has_late_promise: bool = False
    # Its queue was sent to another service than the job record has.
    has_moved: bool = False
    # Arrived beyond its account's share.
    over_share: bool = False
    state: JobState = JobState.QUEUED
    occurrences: dict[int, Occurrence] = dataclasses.field(default_factory=dict)
    completed_occurrences: set[int] = dataclasses.field(default_factory=set)
    # The first occurrence that this term has not made yet.
    next_occurrence: int = 0
    # Accepted by an earlier term, whose runs may be at work.
    is_recovered: bool = False
    # Run numbers of recovered tasks start above it, beyond those of earlier terms.
    run_number_base: int = 0
    # How often its steps could not be planned because of an error.
    fault_count: int = 0
    # Increased by each crash under one of its tasks, and the last that is stored.
    crash_version: int = 0
    stored_crash_version: int = 0
    # Recorded by this term, and not handed to the store yet.
    unstored_failed_runs: list[FailedRun] = dataclasses.field(default_factory=list)

    @property
    def id(self) -> str:
        """Return the id that the caller chose."""
        return self.spec.id

    @property
    def is_repeating(self) -> bool:
        """Return whether the job repeats, with occurrences at set times."""
        return self.spec.repeat_count > 0

    def steps(self) -> t.Iterator[Step]:
        """Yield all steps of all open occurrences."""
        for occurrence in self.occurrences.values():
            yield from occurrence.steps

    def tasks(self) -> t.Iterator[Task]:
        """Yield all tasks of all open occurrences."""
        for step in self.steps():
            yield from step.tasks


def make_occurrence(job: Job, number: int, unreconciled: bool = False) -> Occurrence:
    """Add an occurrence with its steps and tasks to a job, and return it.

    ``unreconciled`` says that workers may run its tasks for an earlier term.
    """
    rv = Occurrence(number)
    for index, spec in enumerate(job.spec.steps):
        key = StepKey(job.id, number, index)
        step = Step(key, job, spec)
        step.tasks = [
            Task(
                TaskKey(job.id, number, index, i),
                step,
                last_run_number=job.run_number_base,
                unreconciled=unreconciled,
            )
            for i in range(spec.count)
        ]
        rv.steps.append(step)
    job.occurrences[number] = rv
    return rv
