"""What the scheduler believes about each worker."""

import dataclasses
import typing as t

from bulrushspur_scheduler.jobs import Run, StepKey, TaskKey
from bulrushspur_scheduler.resources import Resources, Usage

# A worker's clock may run this much slower than ours.
CLOCK_SLOWEST: t.Final = 0.98
LEASE_MARGIN_MS: t.Final = 100
HEARD_WITHIN_S: t.Final = 1.1


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
    born_ms: int = 0
    draining: bool = False
    leaves_after_s: float | None = None
    cold_s: float = 0.0


@dataclasses.dataclass(slots=True)
class WorkerClock:
    """A reading of the worker's own clock, taken at ``read_s`` of ours."""

    value_ms: int = 0
    read_s: float = 0.0
    known: bool = False

    def read(self, value_ms: int, now_s: float) -> None:
        """Note a reading; a lower value than expected is an older answer."""
        if not self.known or value_ms >= self.least_ms(now_s):
            self.value_ms = value_ms
            self.read_s = now_s
            self.known = True

    def likely_ms(self, now_s: float) -> int:
        """Estimate the clock now."""
        return self.value_ms + int((now_s - self.read_s) * 1000)

    def least_ms(self, now_s: float) -> int:
        """Return a value that the clock has passed for certain."""
        return self.value_ms + int((now_s - self.read_s) * 1000 * CLOCK_SLOWEST)


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """A worker with its runs; ``lease_until_ms`` is the longest lease ever sent."""

    entry: WorkerEntry
    free: Usage
    listed: bool = True
    listed_s: float = 0.0
    unlisted_s: float = 0.0
    reached: bool = False
    heard_s: float = 0.0
    # When it last left an order unanswered.
    doubted_s: float = -1.0
    born_ms: int = 0
    clock: WorkerClock = dataclasses.field(default_factory=WorkerClock)
    lease_until_ms: int = 0
    runs: dict[tuple[TaskKey, int], Run] = dataclasses.field(default_factory=dict)
    # Runs that are not ours, with their size where it is known.
    strays: dict[tuple[TaskKey, int], Resources | None] = dataclasses.field(
        default_factory=dict
    )
    applied_upto: int = 0
    leaves_s: float | None = None
    draining: bool = False
    apart_until_s: float = 0.0
    suspicion: float = 0.0
    relapses: int = 0
    on_trial: bool = False
    speed: float = 1.0
    last_normal_end_s: float = -1e9
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

    def add_stray(self, key: tuple[TaskKey, int], amount: Resources | None) -> None:
        """Count a run that is not ours."""
        self.strays[key] = amount
        if amount is not None:
            self.free.subtract(amount)

    def drop_stray(self, key: tuple[TaskKey, int]) -> None:
        """Forget a run that is not ours and has ended."""
        amount = self.strays.pop(key, None)
        if amount is not None:
            self.free.add(amount)

    @property
    def has_unsized_stray(self) -> bool:
        """Tell whether something of unknown size runs here."""
        return any(amount is None for amount in self.strays.values())

    def lease_over(self, now_s: float) -> bool:
        """Tell whether nothing that was ever ordered here can still run."""
        if not self.lease_until_ms:
            return True
        if not self.clock.known:
            return False
        return self.clock.least_ms(now_s) > self.lease_until_ms + LEASE_MARGIN_MS


def make_worker(entry: WorkerEntry, now_s: float) -> Worker:
    """Make the view of a worker that was never heard."""
    capacity = entry.capacity
    free = Usage(capacity.cpu_milli, capacity.memory_mb, capacity.gpus)
    return Worker(entry, free, listed_s=now_s, born_ms=entry.born_ms)


def is_usable(worker: Worker, now_s: float) -> bool:
    """Tell whether new work may be ordered from a worker."""
    return (
        worker.reached
        and worker.listed
        and not worker.draining
        and worker.apart_until_s <= now_s
        and now_s - worker.heard_s < HEARD_WITHIN_S
        and worker.doubted_s <= worker.heard_s
        and not (worker.on_trial and worker.runs)
        and not (worker.strays and worker.has_unsized_stray)
    )
