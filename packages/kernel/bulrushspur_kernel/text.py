"""The operators' text: teams, services, kinds, and the policy of the cell."""

import typing as t

import msgspec
from result import Err, Ok, Result

from bulrushspur_kernel.validation import ValidationIssue, make_validation_issue
from bulrushspur_kernel.work_types import RequestSize, ResourceAmount, WorkClass

Name = t.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
PositiveFloat = t.Annotated[float, msgspec.Meta(gt=0)]
NonNegativeInt = t.Annotated[int, msgspec.Meta(ge=0)]


UNSUPPORTED_CLASSES: t.Final = (WorkClass.GANG, WorkClass.SERVICE)


class _Strict(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    pass


class Domain(_Strict):
    """A failure domain."""

    name: Name
    region: Name


class Team(_Strict):
    """A team with its share when the cell is full and its upper limit."""

    name: Name
    share: t.Annotated[float, msgspec.Meta(ge=0)]
    limit_tasks: NonNegativeInt
    guaranteed_tasks: NonNegativeInt = 0
    queue_requests: t.Annotated[int, msgspec.Meta(ge=1)] = 1000


class WorkKind(_Strict):
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
        """Give the declared size as room."""
        return ResourceAmount(self.slots, self.cores, self.memory_mb, self.accelerators)


class Service(_Strict):
    """A service: its kinds, its declared count of tasks, and what it depends on."""

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
        """Give the declared size of one long-running task as room."""
        return ResourceAmount(self.slots, self.cores, self.memory_mb, self.accelerators)


class WorkerCapacity(_Strict, frozen=True):
    """The size of a worker."""

    slots: NonNegativeInt
    cores: t.Annotated[float, msgspec.Meta(ge=0)]
    memory_mb: NonNegativeInt
    accelerators: NonNegativeInt = 0

    @property
    def resources(self) -> ResourceAmount:
        """Give the size as room."""
        return ResourceAmount(self.slots, self.cores, self.memory_mb, self.accelerators)

    def can_fit(self, other: ResourceAmount) -> bool:
        """Tell whether an amount of room fits into an empty worker of this size."""
        return self.resources.can_fit(other)


class CellPolicy(_Strict, frozen=True):
    """Bounds that hold for the whole cell."""

    keys_fresh_s: PositiveFloat = 600.0
    ids_kept_s: PositiveFloat = 900.0
    log_kept_s: PositiveFloat = 3600.0
    open_team: Name = "open"
    largest_worker: WorkerCapacity | None = None


class Text(_Strict):
    """The one text that operators edit."""

    cell: Name
    domains: t.Annotated[list[Domain], msgspec.Meta(min_length=1)]
    teams: t.Annotated[list[Team], msgspec.Meta(min_length=1)]
    services: list[Service] = []
    policy: CellPolicy = msgspec.field(default_factory=CellPolicy)

    def find_service(self, name: str) -> Service | None:
        """Find a service by name."""
        return next((one for one in self.services if one.name == name), None)


_STRUCTS: t.Final = {
    "$": Text,
    "domains": Domain,
    "teams": Team,
    "services": Service,
    "kinds": WorkKind,
    "policy": CellPolicy,
    "largest_worker": WorkerCapacity,
}


def parse_text(data: bytes) -> Result[Text, list[ValidationIssue]]:
    """Parse and check a text from JSON."""
    try:
        text = msgspec.json.decode(data, type=Text)
    except msgspec.DecodeError as exc:
        return Err([make_validation_issue(exc, _STRUCTS)])
    return _checked(text)


def convert_text(data: dict[str, t.Any]) -> Result[Text, list[ValidationIssue]]:
    """Check a text that was decoded already, as it stands in the log."""
    try:
        text = msgspec.convert(data, Text)
    except msgspec.ValidationError as exc:
        return Err([make_validation_issue(exc, _STRUCTS)])
    return _checked(text)


def _checked(text: Text) -> Result[Text, list[ValidationIssue]]:
    faults = check_text(text)
    return Err(faults) if faults else Ok(text)


def check_text(text: Text) -> list[ValidationIssue]:
    """List what contradicts itself in a text whose fields are each valid."""
    return _check_names(text) + _check_teams(text) + _check_services(text)


def _check_names(text: Text) -> list[ValidationIssue]:
    rv = []
    for field in ("domains", "teams", "services"):
        seen: set[str] = set()
        for i, one in enumerate(getattr(text, field)):
            if one.name in seen:
                rv.append(
                    ValidationIssue(f"$.{field}[{i}].name", f"{one.name} stands twice")
                )
            seen.add(one.name)
    return rv


def _check_teams(text: Text) -> list[ValidationIssue]:
    rv = []
    for i, team in enumerate(text.teams):
        path = f"$.teams[{i}].limit_tasks"
        for name, count in _owed(text, team):
            if team.limit_tasks < count:
                sentence = f"limit_tasks {team.limit_tasks} is below {name} {count}"
                rv.append(ValidationIssue(path, sentence))
        if team.share > 0 and not team.limit_tasks:
            sentence = f"a share of nothing: share {team.share:g}, limit_tasks 0"
            rv.append(ValidationIssue(path, sentence))
    if not any(team.share > 0 for team in text.teams):
        rv.append(ValidationIssue("$.teams", "no team has a share above 0"))
    return rv


def _owed(text: Text, team: Team) -> list[tuple[str, int]]:
    """List what a team is owed at any time, by where it is declared."""
    counts = sum(one.count for one in text.services if one.team == team.name)
    return [
        ("guaranteed_tasks", team.guaranteed_tasks),
        ("the count of its services,", counts),
    ]


def _check_services(text: Text) -> list[ValidationIssue]:
    rv = []
    teams = {team.name for team in text.teams}
    names = {service.name for service in text.services}
    for i, service in enumerate(text.services):
        path = f"$.services[{i}]"
        if service.team not in teams:
            rv.append(
                ValidationIssue(
                    f"{path}.team", f"team {service.team} is not in the text"
                )
            )
        for j, other in enumerate(service.depends_on):
            if other not in names:
                sentence = f"service {other} is not in the text"
                rv.append(ValidationIssue(f"{path}.depends_on[{j}]", sentence))
        rv += _check_kinds(text, path, service, teams)
        if service.count:
            rv += _check_size(text, path, service.resources, "a task of this service")
    return rv + _check_cycles(text) + _check_unserved(text)


def _check_unserved(text: Text) -> list[ValidationIssue]:
    """List what a text may say and the system does not keep true yet."""
    rv = []
    for i, service in enumerate(text.services):
        if service.count:
            sentence = "long-running tasks are not kept yet; set count to 0"
            rv.append(ValidationIssue(f"$.services[{i}].count", sentence))
        for j, kind in enumerate(service.kinds):
            if kind.policy in UNSUPPORTED_CLASSES:
                sentence = f"policy {kind.policy.value} is not served yet"
                path = f"$.services[{i}].kinds[{j}].policy"
                rv.append(
                    ValidationIssue(path, f"{sentence}; use request, urgent or batch")
                )
    return rv


def _check_kinds(
    text: Text, service_path: str, service: Service, teams: set[str]
) -> list[ValidationIssue]:
    rv = []
    seen: set[str] = set()
    open_team = text.policy.open_team
    for j, kind in enumerate(service.kinds):
        path = f"{service_path}.kinds[{j}]"
        if kind.name in seen:
            rv.append(ValidationIssue(f"{path}.name", f"{kind.name} stands twice"))
        seen.add(kind.name)
        if kind.open and open_team not in teams:
            sentence = f"an open kind runs for team {open_team}, not in the text"
            rv.append(ValidationIssue(f"{path}.open", sentence))
        rv += _check_size(text, path, kind.resources, "this kind")
    return rv


def _check_size(
    text: Text, path: str, room: ResourceAmount, what: str
) -> list[ValidationIssue]:
    if room == ResourceAmount():
        return [ValidationIssue(path, f"{what} takes no room at all")]
    largest = text.policy.largest_worker
    if largest is None or largest.can_fit(room):
        return []
    sentences = [
        f"{field} {getattr(room, field):g} of {getattr(largest, field):g}"
        for field in room.__struct_fields__
        if getattr(room, field) > getattr(largest, field)
    ]
    sentence = f"no worker is as large as {what}: {', '.join(sentences)}"
    return [ValidationIssue(path, sentence)]


def _check_cycles(text: Text) -> list[ValidationIssue]:
    circle = find_dependency_cycle(text)
    if circle is None:
        return []
    names = [one.name for one in text.services]
    sentence = f"depends_on goes round in a circle: {' -> '.join(circle)}"
    return [
        ValidationIssue(f"$.services[{names.index(circle[0])}].depends_on", sentence)
    ]


def find_dependency_cycle(text: Text) -> list[str] | None:
    """Find services that depend on each other, the first repeated as the last."""
    needs = {one.name: one.depends_on for one in text.services}
    left = set(needs)
    while ready := {name for name in left if not left.intersection(needs[name])}:
        left -= ready
    if not left:
        return None
    # Each that is left needs another that is left, so the walk must meet itself.
    walk = [min(left)]
    while walk[-1] not in walk[:-1]:
        walk.append(min(left.intersection(needs[walk[-1]])))
    return walk[walk.index(walk[-1]) :]


def order_by_dependencies(text: Text) -> list[str] | None:
    """Order services so that each follows what it depends on; None in a circle."""
    waiting = {one.name: set(one.depends_on) for one in text.services}
    rv: list[str] = []
    while waiting:
        ready = sorted(name for name, needs in waiting.items() if not needs)
        if not ready:
            return None
        rv += ready
        for name in ready:
            del waiting[name]
        for needs in waiting.values():
            needs.difference_update(ready)
    return rv
