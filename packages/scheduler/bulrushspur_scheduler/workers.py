"""Keep the scheduler's view of each worker: its runs, free resources and lease.

The view comes from the worker's entry in the worker list and from its reports. A run
whose end was not reported may go on until the lease has expired by the worker's own
clock. Points in time in ``_s`` are on the monotonic clock of the scheduler, leases in
milliseconds of the worker's clock, and ``incarnation_start_ms`` is in Unix time.
"""

import dataclasses
import typing as t

from bulrushspur_scheduler.job_specs import StepKey, TaskKey
from bulrushspur_scheduler.jobs import Run, Task
from bulrushspur_scheduler.resources import Resources, Usage

# What identifies a run on its worker.
RunKey = tuple[TaskKey, int]

NEVER_S: t.Final = -1e9
# Least rate of a worker's clock, relative to the scheduler's clock.
MIN_CLOCK_RATE: t.Final = 0.98
# Time after the end of a lease until it counts as expired.
LEASE_MARGIN_MS: t.Final = 100
# Workers with an older report get no new work.
MAX_REPORT_AGE_S: t.Final = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """The entry that a worker registered in the worker list.

    ``drain_remaining_s`` is set only while the worker drains.
    """

    id: str
    service: str
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    machine: str = ""
    incarnation_start_ms: int = 0
    draining: bool = False
    drain_remaining_s: float | None = None
    warmup_remaining_s: float = 0.0


@dataclasses.dataclass(slots=True)
class WorkerClock:
    """The last reading of a worker's own clock, taken at ``reading_at_s``."""

    value_ms: int = 0
    reading_at_s: float = 0.0
    is_known: bool = False

    def record_reading(self, value_ms: int, now_s: float) -> None:
        """Store a reading.

        A value below the lower bound comes from an older answer and is ignored.
        """
        if not self.is_known or value_ms >= self.min_ms(now_s):
            self.value_ms = value_ms
            self.reading_at_s = now_s
            self.is_known = True

    def estimated_ms(self, now_s: float) -> int:
        """Estimate the present value of the clock."""
        return self.value_ms + int((now_s - self.reading_at_s) * 1000)

    def min_ms(self, now_s: float) -> int:
        """Return a lower bound of the present value of the clock."""
        return self.value_ms + int((now_s - self.reading_at_s) * 1000 * MIN_CLOCK_RATE)


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """A worker with its runs.

    ``lease_until_ms`` is the end of the longest lease that may have been sent to it.
    """

    entry: WorkerEntry
    free: Usage
    # The most that it has had; its runs may be older than a change.
    max_capacity: Resources
    listed: bool = True
    added_s: float = 0.0
    unlisted_s: float = 0.0
    # Whether the present incarnation has reported to this term.
    has_reported: bool = False
    # Whether an earlier leader may have sent it orders.
    is_recovered: bool = False
    # Whether it is stored that it may have runs.
    is_recorded: bool = True
    # Whether the incarnation was seen to have ended.
    ended: bool = False
    last_report_s: float = 0.0
    # Time of the last order that it did not answer.
    last_unanswered_order_s: float = -1.0
    incarnation_start_ms: int = 0
    clock: WorkerClock = dataclasses.field(default_factory=WorkerClock)
    lease_until_ms: int = 0
    # When orders with a lease were sent to it that may still be carried out.
    open_lease_times_s: list[float] = dataclasses.field(default_factory=list)
    # When the last copy of a start was sent that may still be carried out.
    open_starts: dict[RunKey, float] = dataclasses.field(default_factory=dict)
    runs: dict[RunKey, Run] = dataclasses.field(default_factory=dict)
    # Runs that no task of this term owns, with their task where it is known.
    orphan_runs: dict[RunKey, Task | None] = dataclasses.field(default_factory=dict)
    # Sequence number of the last reported end that was applied.
    applied_end_sequence: int = 0
    drain_deadline_s: float | None = None
    # When it has warmed up, by its entry.
    warm_at_s: float = 0.0
    draining: bool = False
    # The start of the incarnation that drained last; -1 if none did.
    drained_start_ms: int = -1
    quarantined_until_s: float = 0.0
    # When a run failed here last, or runs were found overdue.
    last_fault_s: float = -1e9
    # When a step that found no other worker started here last, although it was doubted.
    last_trial_s: float = -1e9
    failure_score: float = 0.0
    quarantine_count: int = 0
    # Set by a quarantine; the worker then gets one run at a time until one succeeds.
    on_probation: bool = False
    # Moving mean of the predicted duration of its runs divided by the actual one.
    speed: float = 1.0
    last_on_time_end_s: float = -1e9
    reserved_for: StepKey | None = None
    reserved_until_s: float = 0.0
    # Takes suspects of crashes of this step alone; alone if nothing else may run beside
    # them. Without a run of such a suspect it is held for it until a time.
    isolated_for: StepKey | None = None
    isolated_alone: bool = False
    isolated_since_s: float = 0.0
    held_until_s: float = 0.0
    # When its runs are expected to end, and when that was computed; None after a change
    # of its runs.
    expected_ends: list[tuple[float, Resources]] | None = None
    expected_ends_at_s: float = 0.0

    @property
    def id(self) -> str:
        """Return the id of this incarnation of the worker."""
        return self.entry.id

    @property
    def machine(self) -> str:
        """Return the machine, or the id of a worker that names none."""
        return self.entry.machine or self.entry.id

    @property
    def has_own_entry(self) -> bool:
        """Return whether the entry is that of the incarnation that reported last.

        One without the start of its incarnation is taken for it.
        """
        entry_start_ms = self.entry.incarnation_start_ms
        return entry_start_ms in (0, self.incarnation_start_ms)

    @property
    def labels(self) -> tuple[str, ...]:
        """Return the labels of the present incarnation; none while they are unknown.

        A worker that is back under its id may be of another kind.
        """
        return self.entry.labels if self.has_own_entry else ()

    @property
    def rack(self) -> str:
        """Return the rack label, the last of the worker's labels."""
        return self.labels[-1] if self.labels else ""

    @property
    def has_unsized_orphan(self) -> bool:
        """Return whether an orphan run of unknown size may run here."""
        return any(task is None for task in self.orphan_runs.values())

    @property
    def last_open_lease_s(self) -> float:
        """Return when the last order with a lease was sent that may be carried out."""
        return max(self.open_lease_times_s, default=NEVER_S)

    def is_lease_expired(self, now_s: float) -> bool:
        """Return whether the lease of the incarnation that reported last has expired.

        A later one may have carried out open orders (``open_starts.py``).
        """
        if not self.lease_until_ms:
            return True
        if not self.clock.is_known:
            return False
        return self.clock.min_ms(now_s) > self.lease_until_ms + LEASE_MARGIN_MS


def make_worker(entry: WorkerEntry, now_s: float) -> Worker:
    """Make the view of a worker that has not reported yet."""
    capacity = entry.capacity
    free = Usage(capacity.cpu_milli, capacity.memory_mb, capacity.gpus)
    return Worker(
        entry,
        free,
        capacity,
        added_s=now_s,
        warm_at_s=now_s + entry.warmup_remaining_s,
        incarnation_start_ms=entry.incarnation_start_ms,
    )


def replaces(entry: WorkerEntry, other: Worker) -> bool:
    """Return whether an incarnation started on the machine of another one after it.

    Then the other one has ended.
    """
    return (
        bool(entry.machine)
        and other.entry.machine == entry.machine
        and other.id != entry.id
        and entry.incarnation_start_ms > other.incarnation_start_ms > 0
    )


def is_schedulable(worker: Worker, now_s: float) -> bool:
    """Return whether new runs may be started on a worker."""
    return is_available(worker, now_s) and not is_doubted(worker, now_s)


def is_available(worker: Worker, now_s: float) -> bool:
    """Return whether a worker could run new work, leaving its health aside."""
    return (
        worker.has_reported
        and worker.is_recorded
        and worker.listed
        and not worker.draining
        and now_s - worker.last_report_s < MAX_REPORT_AGE_S
        and worker.last_unanswered_order_s <= worker.last_report_s
        and not (worker.orphan_runs and worker.has_unsized_orphan)
    )


def is_doubted(worker: Worker, now_s: float) -> bool:
    """Return whether a worker is in quarantine, or has its one run on probation.

    Runs that last don't count if they began before the last fault: whether it is sound
    does not show by them, and they may never end.
    """
    return worker.quarantined_until_s > now_s or (
        worker.on_probation
        and any(
            not run.task.step.spec.long_running or is_trial(run, worker)
            for run in worker.runs.values()
        )
    )


def is_trial(run: Run, worker: Worker) -> bool:
    """Return whether a run began since the last fault of its worker."""
    return not run.adopted and run.ordered_s >= worker.last_fault_s
