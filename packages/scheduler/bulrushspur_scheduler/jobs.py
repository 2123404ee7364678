"""Jobs, their steps and tasks, and the runs of tasks on workers."""

import dataclasses
import enum
import typing as t

from bulrushspur_scheduler.resources import Resources


class JobState(enum.Enum):
    """What a caller is told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES: t.Final = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


class RunState(enum.Enum):
    """What is known about a run on a worker."""

    STARTING = "starting"
    UNCONFIRMED = "unconfirmed"
    RUNNING = "running"
    STOPPING = "stopping"


class RunOutcome(enum.Enum):
    """How a run ended, as its worker tells."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


class TaskKey(t.NamedTuple):
    """Identify a task: job, occurrence, step and index."""

    job: str
    occurrence: int
    step: int
    index: int


class StepKey(t.NamedTuple):
    """Identify a step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """What the caller declared about a step; all its tasks are alike."""

    count: int
    resources: Resources
    estimate_s: float = 1.0
    depends_on: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    max_unavailable: int = 0
    # Uses what others leave, and may disturb those that have a target latency.
    fills: bool = False
    target_latency_s: float = 0.0

    def accepts_labels(self, labels: t.Sequence[str]) -> bool:
        """Tell whether a worker with these labels may run the step."""
        return not self.required_label or self.required_label in labels


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """What the caller declared about a job; times in Unix seconds."""

    id: str
    payload: str
    steps: tuple[StepSpec, ...]
    start_at_s: float = 0.0
    interval_s: float = 0.0
    repeat_count: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker."""

    task: "Task"
    number: int
    worker: str
    state: RunState
    ordered_s: float
    confirmed_s: float = 0.0
    stop_acknowledged_s: float = 0.0
    stop_reason: str = ""
    checkpoint: str = ""
    resumed_from: str = ""
    # When it was last seen to make progress; 0 before it began.
    last_progress_s: float = 0.0

    @property
    def key(self) -> tuple[TaskKey, int]:
        """Identify the run on its worker."""
        return (self.task.key, self.number)


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """The progress of one task."""

    key: TaskKey
    step: "Step"
    last_run_number: int = 0
    runs: list[Run] = dataclasses.field(default_factory=list)
    failed_run_numbers: set[int] = dataclasses.field(default_factory=set)
    failed_worker_ids: set[str] = dataclasses.field(default_factory=set)
    overdue_stop_count: int = 0
    preemption_count: int = 0
    checkpoint: str = ""
    done: bool = False
    unreconciled: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Step:
    """One step of one occurrence; ``tickets`` maps a worker to ticket and expiry."""

    key: StepKey
    job: "Job"
    spec: StepSpec
    tasks: list[Task] = dataclasses.field(default_factory=list)
    done_count: int = 0
    ready: bool = False
    ready_s: float = 0.0
    failed_run_numbers: set[int] = dataclasses.field(default_factory=set)
    gang_run_number: int = 0
    approved_workers: set[str] = dataclasses.field(default_factory=set)
    evaluated_workers: set[str] = dataclasses.field(default_factory=set)
    tickets: dict[str, tuple[str, float]] = dataclasses.field(default_factory=dict)
    in_flight_advice_calls: int = 0
    advice_retry_at_s: float = 0.0
    duration_count: int = 0
    log_duration_sum: float = 0.0
    cached_remaining_s: float = 0.0
    remaining_cached_at_s: float = -1e9

    @property
    def done(self) -> bool:
        """Tell whether all tasks have ended well."""
        return self.done_count >= len(self.tasks)

    def startable_tasks(self) -> list[Task]:
        """List the tasks that may be started now."""
        return [
            one
            for one in self.tasks
            if not one.done and not one.runs and not one.unreconciled
        ]


@dataclasses.dataclass(slots=True, eq=False)
class Occurrence:
    """One repetition of a job's steps."""

    number: int
    steps: list[Step] = dataclasses.field(default_factory=list)
    started: bool = False

    @property
    def done(self) -> bool:
        """Tell whether all steps are done."""
        return all(one.done for one in self.steps)


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """An accepted job; ``accepted_s`` on the steady clock."""

    spec: JobSpec
    queue: str
    service: str
    account: str
    accepted_s: float
    accepted_unix_s: float
    objective_s: float = 0.0
    priority: int = 0
    over_share: bool = False
    state: JobState = JobState.QUEUED
    occurrences: dict[int, Occurrence] = dataclasses.field(default_factory=dict)
    completed_occurrences: set[int] = dataclasses.field(default_factory=set)
    run_number_base: int = 0

    @property
    def id(self) -> str:
        """Return the id that the caller chose."""
        return self.spec.id

    @property
    def is_repeating(self) -> bool:
        """Tell whether the job has occurrences at set times."""
        return self.spec.repeat_count > 0

    def steps(self) -> t.Iterator[Step]:
        """Yield all steps of all occurrences that are open."""
        for occurrence in self.occurrences.values():
            yield from occurrence.steps


def make_occurrence(job: Job, number: int) -> Occurrence:
    """Make the steps and tasks of one occurrence."""
    rv = Occurrence(number)
    for index, spec in enumerate(job.spec.steps):
        key = StepKey(job.id, number, index)
        step = Step(key, job, spec)
        step.tasks = [
            Task(
                TaskKey(job.id, number, index, i),
                step,
                last_run_number=job.run_number_base,
            )
            for i in range(spec.count)
        ]
        rv.steps.append(step)
    job.occurrences[number] = rv
    return rv


def critical_path_s(
    steps: t.Sequence[StepSpec], time_s: t.Callable[[StepSpec], float]
) -> float:
    """Return the longest chain of dependent work in seconds."""
    ends: list[float] = []
    for spec in steps:
        before = max((ends[i] for i in spec.depends_on if i < len(ends)), default=0.0)
        ends.append(before + time_s(spec))
    return max(ends, default=0.0)
