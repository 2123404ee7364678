"""The work that callers submit and workers run, as it travels between processes."""

import enum

import msgspec


class Policy(enum.Enum):
    """Class of work; each has a policy of its own."""

    REQUEST = "request"
    URGENT = "urgent"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class Size(enum.Enum):
    """Weight of a kind of request."""

    SMALL = "small"
    MIDDLING = "middling"
    HEAVY = "heavy"


class Room(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource of a worker."""

    slots: int = 0
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Room") -> "Room":
        """Add another amount."""
        return Room(
            self.slots + other.slots,
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Room") -> "Room":
        """Take another amount away; the result may be negative."""
        return Room(
            self.slots - other.slots,
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def holds(self, other: "Room") -> bool:
        """Tell whether another amount fits inside this one."""
        return (
            self.slots >= other.slots
            and self.cores + 1e-9 >= other.cores
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


class Work(msgspec.Struct, array_like=True):
    """One request or job: what to run, for whom, and within which bounds.

    ``deadline_s`` is the time left when the message was sent, ``run_time_s`` the
    declared run time, ``room`` the declared size of each of ``tasks`` tasks.
    """

    request_id: str
    team: str
    service: str
    kind: str
    policy: Policy
    size: Size
    idempotent: bool
    deadline_s: float
    run_time_s: float
    room: Room
    tasks: int = 1
    spread: str = "none"
    detached: bool = False


class TaskInfo(msgspec.Struct, array_like=True):
    """A task that a worker runs, as its owner or the worker itself tells it."""

    task_id: str
    team: str
    service: str
    kind: str
    policy: Policy
    room: Room
    epoch: int = 0
    elapsed_s: float = 0.0
    used_cores: float = 0.0
    used_memory_mb: int = 0


class Vm(msgspec.Struct):
    """A VM in the lagging list of the platform.

    ``operators_address`` is a label of entry VMs: where the client finds them.
    """

    name: str
    role: str
    domain: str
    address: str
    rack: str = ""
    region: str = ""
    leaving: bool = False
    room: Room = Room()
    connections: int = 60
    operators_address: str = ""
