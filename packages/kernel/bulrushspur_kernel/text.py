"""Parse and check the operators' text: teams, services, kinds and cell policy.

Takes a text as JSON or as decoded data, and returns a ``Text`` or a list of issues,
each with the path to its field. The first invalid or unknown field ends the
check; a text whose fields are all valid is then checked for contradictions between them
and for what the system does not support yet, and all issues are listed.
"""

import typing as t

import msgspec
from result import Err, Ok, Result

from bulrushspur_kernel.decoding import make_json_decoder
from bulrushspur_kernel.validation import ValidationIssue, make_validation_issue
from bulrushspur_kernel.work_types import RequestSize, ResourceAmount, WorkClass

Name = t.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
PositiveFloat = t.Annotated[float, msgspec.Meta(gt=0)]
NonNegativeInt = t.Annotated[int, msgspec.Meta(ge=0)]


UNSUPPORTED_CLASSES: t.Final = (WorkClass.GANG, WorkClass.SERVICE)


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


# Structs by the last field of the path to them, for make_validation_issue.
_STRUCT_BY_FIELD: t.Final = {
    "$": Text,
    "domains": Domain,
    "teams": Team,
    "services": Service,
    "kinds": WorkKind,
    "policy": CellPolicy,
    "largest_worker": WorkerCapacity,
}


_decode_text = make_json_decoder(Text)


def parse_text(data: bytes) -> Result[Text, list[ValidationIssue]]:
    """Parse and check a text given as JSON; return the text or its issues."""
    try:
        text = _decode_text(data)
    except msgspec.DecodeError as exc:
        return Err([make_validation_issue(exc, _STRUCT_BY_FIELD)])
    return _validate(text)


def convert_text(data: dict[str, t.Any]) -> Result[Text, list[ValidationIssue]]:
    """Check a decoded text, as it is stored; return the text or its issues."""
    try:
        text = msgspec.convert(data, Text)
    except msgspec.ValidationError as exc:
        return Err([make_validation_issue(exc, _STRUCT_BY_FIELD)])
    return _validate(text)


def _validate(text: Text) -> Result[Text, list[ValidationIssue]]:
    issues = check_text(text)
    return Err(issues) if issues else Ok(text)


def check_text(text: Text) -> list[ValidationIssue]:
    """List contradictions in a text whose fields are each valid."""
    return _check_names(text) + _check_teams(text) + _check_services(text)


def _check_names(text: Text) -> list[ValidationIssue]:
    rv = []
    for field in ("domains", "teams", "services"):
        seen: set[str] = set()
        for i, item in enumerate(getattr(text, field)):
            if item.name in seen:
                rv.append(
                    ValidationIssue(f"$.{field}[{i}].name", f"{item.name} stands twice")
                )
            seen.add(item.name)
    return rv


def _check_teams(text: Text) -> list[ValidationIssue]:
    rv = []
    for i, team in enumerate(text.teams):
        path = f"$.teams[{i}].limit_tasks"
        for name, count in _list_committed_tasks(text, team):
            if team.limit_tasks < count:
                sentence = f"limit_tasks {team.limit_tasks} is below {name} {count}"
                rv.append(ValidationIssue(path, sentence))
        if team.share > 0 and not team.limit_tasks:
            sentence = f"a share of nothing: share {team.share:g}, limit_tasks 0"
            rv.append(ValidationIssue(path, sentence))
    if not any(team.share > 0 for team in text.teams):
        rv.append(ValidationIssue("$.teams", "no team has a share above 0"))
    return rv


def _list_committed_tasks(text: Text, team: Team) -> list[tuple[str, int]]:
    """List the counts of tasks that a team must be able to run at any time.

    Each count comes with the name under which it is declared.
    """
    service_tasks = sum(
        service.count for service in text.services if service.team == team.name
    )
    return [
        ("guaranteed_tasks", team.guaranteed_tasks),
        ("the count of its services,", service_tasks),
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
        for j, dependency in enumerate(service.depends_on):
            if dependency not in names:
                sentence = f"service {dependency} is not in the text"
                rv.append(ValidationIssue(f"{path}.depends_on[{j}]", sentence))
        rv += _check_kinds(text, path, service, teams)
        if service.count:
            rv += _check_resources(
                text, path, service.resources, "a task of this service"
            )
    return rv + _check_cycles(text) + _check_unsupported(text)


def _check_unsupported(text: Text) -> list[ValidationIssue]:
    """List declarations that the text allows but the system does not support yet."""
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
        rv += _check_resources(text, path, kind.resources, "this kind")
    return rv


def _check_resources(
    text: Text, path: str, resources: ResourceAmount, subject: str
) -> list[ValidationIssue]:
    if resources == ResourceAmount():
        return [ValidationIssue(path, f"{subject} takes no room at all")]
    largest = text.policy.largest_worker
    if largest is None or largest.can_fit(resources):
        return []
    excesses = [
        f"{field} {getattr(resources, field):g} of {getattr(largest, field):g}"
        for field in resources.__struct_fields__
        if getattr(resources, field) > getattr(largest, field)
    ]
    sentence = f"no worker is as large as {subject}: {', '.join(excesses)}"
    return [ValidationIssue(path, sentence)]


def _check_cycles(text: Text) -> list[ValidationIssue]:
    cycle = find_dependency_cycle(text)
    if cycle is None:
        return []
    names = [service.name for service in text.services]
    sentence = f"depends_on goes round in a circle: {' -> '.join(cycle)}"
    return [
        ValidationIssue(f"$.services[{names.index(cycle[0])}].depends_on", sentence)
    ]


def find_dependency_cycle(text: Text) -> list[str] | None:
    """Return the services of a dependency cycle, or None if there is none.

    The first service of the cycle is repeated as the last.
    """
    dependencies = {service.name: service.depends_on for service in text.services}
    unordered = set(dependencies)
    while ready := {
        name for name in unordered if not unordered.intersection(dependencies[name])
    }:
        unordered -= ready
    if not unordered:
        return None
    # Each unordered service depends on another one, so the walk must reach a service
    # for the second time.
    walk = [min(unordered)]
    while walk[-1] not in walk[:-1]:
        walk.append(min(unordered.intersection(dependencies[walk[-1]])))
    return walk[walk.index(walk[-1]) :]


def order_by_dependencies(text: Text) -> list[str] | None:
    """Return all services in dependency order, or None if there is none.

    Each service follows those that it depends on; services that become ready together
    are sorted by name. There is no such order if a dependency is part of a cycle or not
    in the text.
    """
    unmet = {service.name: set(service.depends_on) for service in text.services}
    rv: list[str] = []
    while unmet:
        ready = sorted(name for name, dependencies in unmet.items() if not dependencies)
        if not ready:
            return None
        rv += ready
        for name in ready:
            del unmet[name]
        for dependencies in unmet.values():
            dependencies.difference_update(ready)
    return rv
