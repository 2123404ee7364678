"""Define the operators' text: domains, teams, services, kinds and cell policy.

``text_parsing.py`` makes a ``Text`` and ``text_checks.py`` checks it.
"""

import typing as t

import msgspec

from bulrushspur_kernel.work_types import RequestSize, ResourceAmount, WorkClass

Name = t.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
PositiveFloat = t.Annotated[float, msgspec.Meta(gt=0)]
NonNegativeInt = t.Annotated[int, msgspec.Meta(ge=0)]


class _StrictStruct(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    pass


class Domain(_StrictStruct):
    """A failure domain."""

    name: Name
    region: Name


class Team(_StrictStruct):
    """A team with its share of a full cell and its limit of running tasks."""

    name: Name
    share: t.Annotated[float, msgspec.Meta(ge=0)]
    limit_tasks: NonNegativeInt
    guaranteed_tasks: NonNegativeInt = 0
    queue_requests: t.Annotated[int, msgspec.Meta(ge=1)] = 1000


class WorkKind(_StrictStruct):
    """A kind of work of a service, with the declared size of one task."""

    name: Name
    size: RequestSize = RequestSize.MEDIUM
    policy: WorkClass = WorkClass.REQUEST
    slots: NonNegativeInt = 1
    cores: t.Annotated[float, msgspec.Meta(ge=0)] = 1.0
    memory_mb: NonNegativeInt = 256
    accelerators: NonNegativeInt = 0
    run_time_s: PositiveFloat = 1.0
    deadline_s: PositiveFloat = 60.0
    open: bool = False

    @property
    def resources(self) -> ResourceAmount:
        """Return the declared size of one task."""
        return ResourceAmount(self.slots, self.cores, self.memory_mb, self.accelerators)


class Service(_StrictStruct):
    """A service with its kinds of work, its long-running tasks and its dependencies."""

    name: Name
    team: Name
    kinds: list[WorkKind] = []
    depends_on: list[Name] = []
    count: NonNegativeInt = 0
    slots: NonNegativeInt = 1
    cores: t.Annotated[float, msgspec.Meta(ge=0)] = 1.0
    memory_mb: NonNegativeInt = 256
    accelerators: NonNegativeInt = 0
    spread: t.Literal["none", "rack", "domain"] = "rack"

    @property
    def resources(self) -> ResourceAmount:
        """Return the declared size of one long-running task."""
        return ResourceAmount(self.slots, self.cores, self.memory_mb, self.accelerators)


class WorkerCapacity(_StrictStruct, frozen=True):
    """The resources of an empty worker."""

    slots: NonNegativeInt
    cores: t.Annotated[float, msgspec.Meta(ge=0)]
    memory_mb: NonNegativeInt
    accelerators: NonNegativeInt = 0

    @property
    def resources(self) -> ResourceAmount:
        """Return the resources of an empty worker."""
        return ResourceAmount(self.slots, self.cores, self.memory_mb, self.accelerators)

    def can_fit(self, other: ResourceAmount) -> bool:
        """Return whether an amount of resources fits into an empty worker."""
        return self.resources.can_fit(other)


class CellPolicy(_StrictStruct, frozen=True):
    """Limits that apply to the whole cell."""

    keys_fresh_s: PositiveFloat = 600.0
    ids_kept_s: PositiveFloat = 900.0
    log_kept_s: PositiveFloat = 3600.0
    open_team: Name = "open"
    largest_worker: WorkerCapacity | None = None


class Text(_StrictStruct):
    """The whole text that operators edit: one document for the cell."""

    cell: Name
    domains: t.Annotated[list[Domain], msgspec.Meta(min_length=1)]
    teams: t.Annotated[list[Team], msgspec.Meta(min_length=1)]
    services: list[Service] = []
    policy: CellPolicy = msgspec.field(default_factory=CellPolicy)

    def find_service(self, name: str) -> Service | None:
        """Return the service of a name, or None."""
        return next(
            (service for service in self.services if service.name == name), None
        )


# By the last field of the path to them, for make_validation_issue.
STRUCT_BY_FIELD: t.Final = {
    "$": Text,
    "domains": Domain,
    "teams": Team,
    "services": Service,
    "kinds": WorkKind,
    "policy": CellPolicy,
    "largest_worker": WorkerCapacity,
}
