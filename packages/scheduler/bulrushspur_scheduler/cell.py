"""The state of the scheduler: jobs, workers, usage, and what is to be sent."""

import collections
import dataclasses
import typing as t

from bulrushspur_scheduler.config import Account, CellConfig, Queue, make_config
from bulrushspur_scheduler.estimates import DurationModel
from bulrushspur_scheduler.jobs import (
    Job,
    JobState,
    Run,
    Step,
    StepKey,
    Task,
    TaskKey,
)
from bulrushspur_scheduler.resources import Usage
from bulrushspur_scheduler.workers import Worker

MAX_EVENTS: t.Final = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class TimingLimits:
    """Bounds that the site sets; all in seconds but the factor."""

    gang_start_timeout_s: float = 3.0
    stop_s: float = 0.9
    far_factor: float = 2.0
    early_s: float = 0.25
    status_retention_s: float = 120.0
    checkpoint_interval_s: float = 1.0
    lease_s: float = 6.5
    max_lease_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Ask a worker to start a run; ``ticket`` is empty where none is needed."""

    run: Run
    worker: str
    payload: str
    checkpoint: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Ask a worker to stop a run; ``run`` is None for one that is not ours."""

    worker: str
    key: TaskKey
    number: int
    run: Run | None


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceCall:
    """Ask the placement advice service about workers for a step."""

    step: StepKey
    worker_ids: tuple[str, ...]
    expected_call_s: float
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A decision for the log."""

    name: str
    job: str
    fields: dict[str, t.Any]


@dataclasses.dataclass(slots=True)
class FinishedJob:
    """A job that ended, with what is still told about it."""

    state: JobState
    account: str
    queue: str
    finished_s: float


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens of an account's share of arrivals."""

    tokens: float
    last_refill_s: float


@dataclasses.dataclass
class Cell:
    """All that one term of the scheduler knows."""

    config: CellConfig
    fencing_token: int = 0
    timing_limits: TimingLimits = dataclasses.field(default_factory=TimingLimits)
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    uncommitted_jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    finished_jobs: dict[str, FinishedJob] = dataclasses.field(default_factory=dict)
    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    usage: dict[str, Usage] = dataclasses.field(default_factory=dict)
    # What accounts may have running unseen; made anew by each planning pass.
    unobserved_usage: dict[str, Usage] = dataclasses.field(default_factory=dict)
    urgent_cpu_milli: dict[str, int] = dataclasses.field(default_factory=dict)
    mean_urgent_cpu_milli: dict[str, float] = dataclasses.field(default_factory=dict)
    duration_models: dict[str, DurationModel] = dataclasses.field(default_factory=dict)
    # Share of the workers named that the advice service finds good, by queue.
    approval_rates: dict[str, float] = dataclasses.field(default_factory=dict)
    # Lanes that can begin a long call for advice now.
    free_long_call_lanes: int = 1_000_000
    token_buckets: dict[str, TokenBucket] = dataclasses.field(default_factory=dict)
    waiting_steps: dict[StepKey, Step] = dataclasses.field(default_factory=dict)
    reservations: dict[StepKey, t.Any] = dataclasses.field(default_factory=dict)
    unobserved_workers: set[str] = dataclasses.field(default_factory=set)
    reconcile_by_s: float = 0.0
    reconciled: bool = True
    dirty_jobs: set[str] = dataclasses.field(default_factory=set)
    start_orders: list[StartOrder] = dataclasses.field(default_factory=list)
    stop_orders: list[StopOrder] = dataclasses.field(default_factory=list)
    advice_calls: list[AdviceCall] = dataclasses.field(default_factory=list)
    events: collections.deque[Event] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_EVENTS)
    )
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    superseded: bool = False

    def log(self, name: str, job: str = "", **fields: t.Any) -> None:
        """Note a decision for the log and count it."""
        self.counters[name] += 1
        self.events.append(Event(name, job, fields))

    def find_task(self, key: TaskKey) -> Task | None:
        """Find a task of an open occurrence."""
        job = self.jobs.get(key.job)
        if job is None:
            return None
        occurrence = job.occurrences.get(key.occurrence)
        if occurrence is None or key.step >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[key.step].tasks
        return tasks[key.index] if key.index < len(tasks) else None

    def find_step(self, key: StepKey) -> Step | None:
        """Find a step of an open occurrence."""
        job = self.jobs.get(key.job) or self.uncommitted_jobs.get(key.job)
        if job is None:
            return None
        occurrence = job.occurrences.get(key.occurrence)
        if occurrence is None or key.step >= len(occurrence.steps):
            return None
        return occurrence.steps[key.step]

    def queue_of(self, job: Job) -> Queue | None:
        """Return the queue of a job while the configuration has it."""
        return self.config.queue_by_name.get(job.queue)

    def max_attempts(self, job: Job) -> int:
        """Return how often a task of a job may fail."""
        queue = self.queue_of(job)
        return queue.max_attempts if queue is not None else 1

    def account_of(self, name: str) -> Account | None:
        """Return an account of the configuration."""
        return self.config.account_by_name.get(name)

    def usage_of(self, account: str) -> Usage:
        """Return what an account has running, and being stopped."""
        found = self.usage.get(account)
        if found is None:
            found = self.usage[account] = Usage()
        return found


def make_cell(config: CellConfig | None = None, **fields: t.Any) -> Cell:
    """Make an empty cell."""
    return Cell(config or make_config(0), **fields)
