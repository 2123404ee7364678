"""Add up amounts of CPU, memory and GPUs, and count the tasks that fit into them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource; CPU in thousandths of a core."""

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def can_fit(self, other: "Resources") -> bool:
        """Return whether ``other`` fits into this amount."""
        return (
            other.cpu_milli <= self.cpu_milli
            and other.memory_mb <= self.memory_mb
            and other.gpus <= self.gpus
        )

    def maximum(self, other: "Resources") -> "Resources":
        """Return the greater amount of each resource."""
        return Resources(
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mb, other.memory_mb),
            max(self.gpus, other.gpus),
        )

    def times(self, count: int) -> "Resources":
        """Return the amount of ``count`` tasks."""
        return Resources(
            self.cpu_milli * count, self.memory_mb * count, self.gpus * count
        )


@dataclasses.dataclass(slots=True)
class Usage:
    """A running total of tasks and their resources that changes in place."""

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0
    tasks: int = 0

    def add(self, amount: Resources) -> None:
        """Add the amount of one task."""
        self.cpu_milli += amount.cpu_milli
        self.memory_mb += amount.memory_mb
        self.gpus += amount.gpus
        self.tasks += 1

    def subtract(self, amount: Resources) -> None:
        """Subtract the amount of one task."""
        self.cpu_milli -= amount.cpu_milli
        self.memory_mb -= amount.memory_mb
        self.gpus -= amount.gpus
        self.tasks -= 1

    def plus(self, other: "Usage") -> "Usage":
        """Return the sum of two totals."""
        return Usage(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
            self.tasks + other.tasks,
        )


def count_fitting_tasks(free: Usage, each: Resources) -> int:
    """Return how many tasks of size ``each`` fit into ``free``; 0 for an empty size.

    None fit where a resource is below 0, whether or not they need it.
    """
    if free.cpu_milli < 0 or free.memory_mb < 0 or free.gpus < 0:
        return 0
    rv = None
    if each.cpu_milli > 0:
        rv = free.cpu_milli // each.cpu_milli
    if each.memory_mb > 0:
        count = free.memory_mb // each.memory_mb
        rv = count if rv is None or count < rv else rv
    if each.gpus > 0:
        count = free.gpus // each.gpus
        rv = count if rv is None or count < rv else rv
    return rv if rv is not None and rv > 0 else 0
