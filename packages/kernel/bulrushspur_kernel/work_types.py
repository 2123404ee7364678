"""Define the classes, sizes and resources of work that the operators' text declares."""

import enum

import msgspec


class WorkClass(enum.Enum):
    """Class of work, which selects the scheduling policy."""

    REQUEST = "request"
    URGENT = "urgent"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class RequestSize(enum.Enum):
    """Size class of a kind of request."""

    SMALL = "small"
    MEDIUM = "middling"
    HEAVY = "heavy"


class ResourceAmount(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource of a worker."""

    slots: int = 0
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def can_fit(self, other: "ResourceAmount") -> bool:
        """Return whether another amount is at most this one in every resource."""
        return (
            self.slots >= other.slots
            # Cores are floats: sums of fractions may fall short by a rounding error.
            and self.cores + 1e-9 >= other.cores
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )
