"""Explains why a request or a service waits, from what this process knows."""

import msgspec

from bulrushspur_core import limits
from bulrushspur_core.door import Door, OpenRequest
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node
from bulrushspur_core.owner import Owner
from bulrushspur_core.queues import QueuedOffer, Queues
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel.text import Service
from bulrushspur_kernel.work import Policy, Room


class Reason(msgspec.Struct):
    """One reason; ``role`` is that of the process which gives it."""

    role: str
    sentence: str


def explain(node: Node, name: str, now_s: float) -> list[Reason]:
    """List what this process knows of a request (id or ticket) or a service (name)."""
    rv = [Reason("door", one) for one in _explain_open(node, name, now_s)]
    rv += [Reason("owner", one) for one in _explain_queued(node, name, now_s)]
    rv += [Reason("owner", one) for one in _explain_running(node, name)]
    text = cell_of(node).text
    service = text.find_service(name) if text is not None else None
    if service is not None:
        rv += [Reason("owner", one) for one in _explain_service(node, service)]
    return rv


def _explain_open(node: Node, name: str, now_s: float) -> list[str]:
    rv = []
    for one in node.state(Door).open.values():
        if name in (one.ticket, one.work.request_id):
            rv.append(_tell_open(one, now_s))
    return rv


def _tell_open(request: OpenRequest, now_s: float) -> str:
    state = "runs at" if request.granted else "waits at"
    return (
        f"{request.work.service}/{request.work.kind} of team {request.work.team} "
        f"{state} {request.owner or 'no owner yet'}, "
        f"{now_s - request.submitted_s:.1f} s after it came, "
        f"{request.deadline_s - now_s:.1f} s before its deadline."
    )


def _explain_queued(node: Node, name: str, now_s: float) -> list[str]:
    rv = []
    for before, one in enumerate(node.state(Queues).offers.values()):
        if name in (one.ticket, one.work.request_id):
            rv.append(f"It is queued with {before} before it.")
            rv += _tell_queued(node, one)
    return rv


def _tell_queued(node: Node, queued: QueuedOffer) -> list[str]:
    work = queued.work
    rv = []
    if limits.available(node, work.team) < work.tasks:
        rv.append(
            f"Team {work.team} may start no more here: its upper limit is reached, or "
            "the permits are elsewhere."
        )
    reason = why_no_room(node, work.room)
    if reason:
        rv.append(reason)
    return rv or ["Room and permits are there: it starts when its turn comes."]


def why_no_room(node: Node, room: Room) -> str:
    """Tell why no worker of this process has room now; empty where one has."""
    views = [one for one in node.state(Workers).views.values() if one.owned]
    if not views:
        return "This process owns no worker now."
    ready = [one for one in views if not one.vm.leaving and not one.gone]
    if not ready:
        return f"All {len(views)} workers of this process are leaving or gone."
    if any(one.free.holds(room) for one in ready):
        return ""
    best = max(ready, key=lambda one: _count_enough(one, room))
    lacking = [
        f"{field} {getattr(room, field):g} of {getattr(best.free, field):g} free"
        for field in room.__struct_fields__
        if getattr(room, field) > getattr(best.free, field)
    ]
    return (
        f"None of {len(ready)} workers has room; nearest is {best.vm.name}: "
        f"needs {', '.join(lacking)}."
    )


def _count_enough(view: WorkerView, room: Room) -> int:
    fields = room.__struct_fields__
    return sum(getattr(view.free, one) >= getattr(room, one) for one in fields)


def _explain_running(node: Node, name: str) -> list[str]:
    return [
        f"It runs on worker {one.worker} as task {one.task_id}."
        for one in node.state(Owner).running.values()
        if name in (one.ticket, one.work.request_id)
    ]


def _explain_service(node: Node, service: Service) -> list[str]:
    running = _running_of(node, service.name)
    rv = [
        f"{running} long-running tasks of {service.name} run here; "
        f"{service.count} are declared for the cell."
    ]
    rv += [
        f"It depends on {other}, of which {_running_of(node, other)} run here."
        for other in service.depends_on
    ]
    queued = [
        one
        for one in node.state(Queues).offers.values()
        if one.work.service == service.name
    ]
    if queued:
        rv.append(f"{len(queued)} of its requests are queued here; of the first:")
        rv += _tell_queued(node, queued[0])
    if service.count:
        reason = why_no_room(node, service.room)
        rv += [reason] if reason else []
    return rv


def _running_of(node: Node, service: str) -> int:
    return sum(
        task.policy is Policy.SERVICE and task.service == service
        for view in node.state(Workers).views.values()
        if view.owned
        for task in view.tasks.values()
    )
