"""Kinds of work as the operators' text declares them."""

import enum

import msgspec


class WorkClass(enum.Enum):
    """Class of work; each has a policy of its own."""

    REQUEST = "request"
    URGENT = "urgent"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class RequestSize(enum.Enum):
    """Weight of a kind of request."""

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
        """Tell whether another amount fits inside this one."""
        return (
            self.slots >= other.slots
            and self.cores + 1e-9 >= other.cores
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )
