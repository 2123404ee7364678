"""Check a text whose fields are each valid for contradictions between them.

Also for what the system does not support yet. Takes a ``Text``; returns its issues.
"""

import typing as t

from bulrushspur_kernel.text import Service, Team, Text
from bulrushspur_kernel.validation import ValidationIssue
from bulrushspur_kernel.work_types import ResourceAmount, WorkClass

UNSUPPORTED_CLASSES: t.Final = (WorkClass.GANG, WorkClass.SERVICE)


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
