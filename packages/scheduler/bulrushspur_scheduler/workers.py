"""What the scheduler believes about each worker."""

import dataclasses
import typing as t

from bulrushspur_scheduler.jobs import Run, StepKey, TaskKey
from bulrushspur_scheduler.resources import Resources, Usage

# A worker's clock may run this much slower than ours.
MIN_CLOCK_RATE: t.Final = 0.98
LEASE_MARGIN_MS: t.Final = 100
MAX_REPORT_AGE_S: t.Final = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker registered about itself; ``leaves_after_s`` only while draining."""

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
    """A reading of the worker's own clock, taken at ``read_s`` of ours."""

    value_ms: int = 0
    reading_at_s: float = 0.0
    is_known: bool = False

    def record_reading(self, value_ms: int, now_s: float) -> None:
        """Note a reading; a lower value than expected is an older answer."""
        if not self.is_known or value_ms >= self.min_ms(now_s):
            self.value_ms = value_ms
            self.reading_at_s = now_s
            self.is_known = True

    def estimated_ms(self, now_s: float) -> int:
        """Estimate the clock now."""
        return self.value_ms + int((now_s - self.reading_at_s) * 1000)

    def min_ms(self, now_s: float) -> int:
        """Return a value that the clock has passed for certain."""
        return self.value_ms + int((now_s - self.reading_at_s) * 1000 * MIN_CLOCK_RATE)


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """A worker with its runs; ``lease_until_ms`` is the longest lease ever sent."""

    entry: WorkerEntry
    free: Usage
    listed: bool = True
    listed_s: float = 0.0
    unlisted_s: float = 0.0
    has_reported: bool = False
    last_report_s: float = 0.0
    # When it last left an order unanswered.
    last_unanswered_order_s: float = -1.0
    incarnation_start_ms: int = 0
    clock: WorkerClock = dataclasses.field(default_factory=WorkerClock)
    lease_until_ms: int = 0
    runs: dict[tuple[TaskKey, int], Run] = dataclasses.field(default_factory=dict)
    # Runs that are not ours, with their size where it is known.
    orphan_runs: dict[tuple[TaskKey, int], Resources | None] = dataclasses.field(
        default_factory=dict
    )
    applied_end_sequence: int = 0
    drain_deadline_s: float | None = None
    draining: bool = False
    quarantined_until_s: float = 0.0
    failure_score: float = 0.0
    quarantine_count: int = 0
    on_probation: bool = False
    speed: float = 1.0
    last_on_time_end_s: float = -1e9
    reserved_for: StepKey | None = None
    reserved_until_s: float = 0.0

    @property
    def id(self) -> str:
        """Return the id of this life of the worker."""
        return self.entry.id

    @property
    def rack(self) -> str:
        """Return the rack label, the last of the worker's labels."""
        return self.entry.labels[-1] if self.entry.labels else ""

    def add_orphan(self, key: tuple[TaskKey, int], amount: Resources | None) -> None:
        """Count a run that is not ours."""
        self.orphan_runs[key] = amount
        if amount is not None:
            self.free.subtract(amount)

    def remove_orphan(self, key: tuple[TaskKey, int]) -> None:
        """Forget a run that is not ours and has ended."""
        amount = self.orphan_runs.pop(key, None)
        if amount is not None:
            self.free.add(amount)

    @property
    def has_unsized_orphan(self) -> bool:
        """Tell whether something of unknown size runs here."""
        return any(amount is None for amount in self.orphan_runs.values())

    def is_lease_expired(self, now_s: float) -> bool:
        """Tell whether nothing that was ever ordered here can still run."""
        if not self.lease_until_ms:
            return True
        if not self.clock.is_known:
            return False
        return self.clock.min_ms(now_s) > self.lease_until_ms + LEASE_MARGIN_MS


def make_worker(entry: WorkerEntry, now_s: float) -> Worker:
    """Make the view of a worker that was never heard."""
    capacity = entry.capacity
    free = Usage(capacity.cpu_milli, capacity.memory_mb, capacity.gpus)
    return Worker(
        entry, free, listed_s=now_s, incarnation_start_ms=entry.incarnation_start_ms
    )


def is_schedulable(worker: Worker, now_s: float) -> bool:
    """Tell whether new work may be ordered from a worker."""
    return (
        worker.has_reported
        and worker.listed
        and not worker.draining
        and worker.quarantined_until_s <= now_s
        and now_s - worker.last_report_s < MAX_REPORT_AGE_S
        and worker.last_unanswered_order_s <= worker.last_report_s
        and not (worker.on_probation and worker.runs)
        and not (worker.orphan_runs and worker.has_unsized_orphan)
    )
