"""Hold the state of the scheduler: jobs, workers, usage, and orders to be sent.

The deciding functions read and change a cell and never send anything. They append start
orders, stop orders, advice calls and events, which the daemon takes out and sends or
logs. Points in time are seconds on the monotonic clock.
"""

import collections
import dataclasses
import typing as t

from bulrushspur_scheduler.config import (
    UNKNOWN_QUEUE,
    Account,
    CellConfig,
    Queue,
    make_config,
)
from bulrushspur_scheduler.estimates import DurationModel
from bulrushspur_scheduler.headroom import UrgentCpu
from bulrushspur_scheduler.job_specs import StepKey, TaskKey
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.jobs import Job, Run, Step, Task
from bulrushspur_scheduler.resources import Usage
from bulrushspur_scheduler.verdicts import Verdict
from bulrushspur_scheduler.workers import Worker

if t.TYPE_CHECKING:
    from bulrushspur_scheduler.machine_speeds import MachineSpeeds
    from bulrushspur_scheduler.overload import Backlog
    from bulrushspur_scheduler.past_use import PastUse

# Beyond this number the oldest events are dropped.
MAX_EVENTS: t.Final = 2000
# The same for crashes of workers; more than may happen at a time.
MAX_CRASHES: t.Final = 500


@dataclasses.dataclass(frozen=True, slots=True)
class TimingLimits:
    """Timing limits from the site settings; in seconds, except for the factor."""

    gang_start_timeout_s: float = 3.0
    stop_s: float = 0.9
    far_factor: float = 2.0
    early_s: float = 0.25
    status_retention_s: float = 120.0
    checkpoint_interval_s: float = 1.0
    # A smaller capacity of a worker counts for so long after it is in the store.
    capacity_notice_s: float = 3.0
    lease_s: float = 6.5
    max_lease_s: float = 10.0
    # From the sending of an order until it is carried out, if it is not answered: 12 s
    # from its arrival, and the time to connect and to send it.
    max_order_delay_s: float = 13.5

    @property
    def final_state_retention_s(self) -> float:
        """Return how long the final states of jobs are kept."""
        return self.status_retention_s * 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to a worker to start a run; ``ticket`` is empty if none is needed."""

    run: Run
    worker_id: str
    payload: str
    checkpoint: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to a worker to stop a run; ``run`` is None for an orphan run."""

    worker_id: str
    key: TaskKey
    number: int
    run: Run | None


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class AdviceCall:
    """A call to the placement advice service about workers for a step.

    Calls are compared by identity: another job with the same id may make a like call.
    """

    step: StepKey
    worker_ids: tuple[str, ...]
    expected_call_s: float
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A decision to be logged."""

    name: str
    job: str
    fields: dict[str, t.Any]


@dataclasses.dataclass(slots=True)
class FinishedJob:
    """A finished job, kept to report its final state to callers."""

    state: JobState
    account: str
    queue: str
    finished_s: float
    # Why it failed.
    reason: str = ""
    # Of what was submitted (``content_digests.py``); empty if that is not known.
    content_digest: bytes = b""
    # None of jobs that did not fail, or for another reason than their attempts.
    verdict: Verdict | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EarlyCancel:
    """A cancel of a job that was not known; the time is on the monotonic clock."""

    account: str
    cancelled_s: float


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket for an account's share of arrivals; one token per job."""

    tokens: float
    last_refill_s: float


@dataclasses.dataclass
class Cell:
    """The state of the scheduler in one leader term."""

    config: CellConfig
    fencing_token: int = 0
    timing_limits: TimingLimits = dataclasses.field(default_factory=TimingLimits)
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    # Admitted jobs whose record is still being stored.
    uncommitted_jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    finished_jobs: dict[str, FinishedJob] = dataclasses.field(default_factory=dict)
    # By job id, from the oldest to the newest (``early_cancels.py``).
    early_cancels: dict[str, EarlyCancel] = dataclasses.field(default_factory=dict)
    # Stored jobs whose records this term can't use.
    unreadable_jobs: set[str] = dataclasses.field(default_factory=set)
    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    usage: dict[str, Usage] = dataclasses.field(default_factory=dict)
    # Usage by account that this term has not observed; computed by each planning pass.
    unobserved_usage: dict[str, Usage] = dataclasses.field(default_factory=dict)
    # The part of it that is of jobs which have their final state.
    finished_unobserved_usage: dict[str, Usage] = dataclasses.field(
        default_factory=dict
    )
    # Usage by account of the runs that this term has adopted, also of those that have
    # ended since, but not of those that were lost.
    adopted_usage: dict[str, Usage] = dataclasses.field(default_factory=dict)
    # CPU in use by jobs of priority 0.
    urgent_cpu_by_account: dict[str, UrgentCpu] = dataclasses.field(
        default_factory=dict
    )
    # By queue.
    duration_models: dict[str, DurationModel] = dataclasses.field(default_factory=dict)
    # Share of the evaluated workers that the advice service approves, by queue.
    approval_rates: dict[str, float] = dataclasses.field(default_factory=dict)
    # Number of lanes that can start a long advice call now.
    free_long_call_lanes: int = 1_000_000
    # When the list of workers was requested that was read last.
    worker_list_s: float = 0.0
    # Whether a worker has changed its capacity in this term.
    capacities_change: bool = False
    # The pool of each service that a planning pass or a submission made last.
    recent_pools: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    # What accounts have used over hours; None if the order takes no account of it.
    past_use: "PastUse | None" = None
    # Services of which some workers are far faster than others.
    unlike_services: set[str] = dataclasses.field(default_factory=set)
    # What is known of the speed of machines.
    machine_speeds: "MachineSpeeds | None" = None
    # The work of accounts that waits; None if jobs are accepted whatever waits.
    backlog: "Backlog | None" = None
    # By account.
    token_buckets: dict[str, TokenBucket] = dataclasses.field(default_factory=dict)
    waiting_steps: dict[StepKey, Step] = dataclasses.field(default_factory=dict)
    # Steps that planning tries in rotation, by service; the last one goes next.
    rotations: dict[str, list[Step]] = dataclasses.field(default_factory=dict)
    # Jobs that could not be planned because of an error, and when to try again.
    faulted_jobs: dict[str, float] = dataclasses.field(default_factory=dict)
    reservations: dict[StepKey, t.Any] = dataclasses.field(default_factory=dict)
    reservations_made_s: float = -1e9
    # Start of the present hold period, by service.
    hold_periods_s: dict[str, float] = dataclasses.field(default_factory=dict)
    # Workers that may run tasks of earlier terms and have not reported to this term.
    unobserved_workers: set[str] = dataclasses.field(default_factory=set)
    # After a takeover, recovered tasks start again only once it is known that no worker
    # runs them, or at this time.
    reconcile_by_s: float = 0.0
    # When the end of a worker was seen last.
    worker_end_seen_s: float = 0.0
    reconciled: bool = True
    # Tasks whose run is not listed any more without an end, and when that was seen.
    # They are unreconciled until the store confirms the term after that time.
    unconfirmed_losses: list[tuple[float, Task]] = dataclasses.field(
        default_factory=list
    )
    # Tasks of open jobs under which workers have crashed.
    suspects: dict[TaskKey, Task] = dataclasses.field(default_factory=dict)
    uncounted_crashes: list[t.Any] = dataclasses.field(default_factory=list)
    # The last crashes, from the earliest one on.
    crashes: collections.deque[t.Any] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_CRASHES)
    )
    # Ids of jobs whose progress has changed and is not stored yet.
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
    # Set once a later term is known to exist: this term must end.
    superseded: bool = False
    # The configuration at the start of the term; earlier leaders may follow it still.
    first_config: CellConfig = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.first_config = self.config

    def log(self, name: str, job: str = "", **fields: t.Any) -> None:
        """Record a decision as an event for the log, and count it."""
        self.counters[name] += 1
        self.events.append(Event(name, job, fields))

    def find_task(self, key: TaskKey) -> Task | None:
        """Return a task of an open occurrence, or None."""
        job = self.jobs.get(key.job)
        if job is None:
            return None
        occurrence = job.occurrences.get(key.occurrence)
        if occurrence is None or not 0 <= key.step < len(occurrence.steps):
            return None
        tasks = occurrence.steps[key.step].tasks
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def find_step(self, key: StepKey) -> Step | None:
        """Return a step of an open occurrence, also of an uncommitted job, or None."""
        job = self.jobs.get(key.job) or self.uncommitted_jobs.get(key.job)
        if job is None:
            return None
        occurrence = job.occurrences.get(key.occurrence)
        if occurrence is None or key.step >= len(occurrence.steps):
            return None
        return occurrence.steps[key.step]

    def queue_of(self, job: Job) -> Queue:
        """Return the queue of a job as the configuration has it now.

        While the configuration lacks it, this is the queue as it was at acceptance.
        """
        queue = self.config.queue_by_name.get(job.queue)
        return queue or job.accepted_queue or UNKNOWN_QUEUE

    def max_attempts(self, job: Job) -> int | None:
        """Return the number of failed runs of a task at which its job fails.

        It was promised at acceptance, so later configurations do not change it. None
        while it is unknown: then no number of failed runs gives a verdict.
        """
        if job.accepted_queue is None:
            return None
        return job.accepted_queue.max_attempts

    def account_of(self, name: str) -> Account | None:
        """Return an account of the configuration, or None."""
        return self.config.account_by_name.get(name)

    def usage_of(self, account: str) -> Usage:
        """Return the usage of an account; runs that are being stopped count."""
        account_usage = self.usage.get(account)
        if account_usage is None:
            account_usage = self.usage[account] = Usage()
        return account_usage


def make_cell(config: CellConfig | None = None, **fields: t.Any) -> Cell:
    """Make an empty cell."""
    return Cell(config or make_config(0), **fields)
