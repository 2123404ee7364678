"""Renews the leases of tasks, and finds in lists those that ended unwatched."""

import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import estimates, events
from bulrushspur_core.adoption import may_arrive
from bulrushspur_core.endings import end_running, free_task
from bulrushspur_core.node import Node, every, on
from bulrushspur_core.owner import TASK_LEASE_S, Owner, dispatch
from bulrushspur_core.workers import Workers

RENEW_S: t.Final = 3.0
LIST_S: t.Final = 2.0


@every(RENEW_S)
def renew_leases(node: Node, now_s: float) -> None:
    """Renew the leases of all tasks on the workers that are owned."""
    for view in node.state(Workers).views.values():
        if view.owned and view.tasks and not view.gone:
            node.emit(fx.RenewTasks(view.vm.name, list(view.tasks), TASK_LEASE_S))


@every(LIST_S)
def list_unwatched(node: Node, now_s: float) -> None:
    """Ask workers about tasks whose end nobody else tells."""
    owner = node.state(Owner)
    for view in node.state(Workers).views.values():
        if view.owned and any(is_unwatched(owner, one) for one in view.tasks):
            node.emit(fx.ListTasks(view.vm.name))


def is_unwatched(owner: Owner, task_id: str) -> bool:
    """Tell whether no call tells the end of a task: detached, lost, or taken over."""
    return task_id in owner.unwatched or task_id not in owner.by_task


@on(events.TasksListed)
def on_tasks_listed(node: Node, event: events.TasksListed, now_s: float) -> None:
    """Free the tasks that ended unwatched, and learn from reported usage."""
    view = node.state(Workers).views.get(event.worker)
    if view is None or not view.owned or event.running is None:
        return
    owner = node.state(Owner)
    alive = {task.task_id for task in event.running}
    for task in event.running:
        known = view.tasks.get(task.task_id)
        if known is not None and task.used_memory_mb:
            estimates.note_usage(
                node,
                task.service,
                task.kind,
                known.room,
                task.used_cores,
                task.used_memory_mb,
            )
    for task_id in list(view.tasks):
        if may_arrive(view, task_id, event.asked_s):
            continue
        listed = event.asked_s >= owner.unwatched.get(task_id, 0.0)
        if listed and task_id not in alive and is_unwatched(owner, task_id):
            running = owner.running.get(owner.by_task.get(task_id, ""))
            free_task(node, view, task_id, now_s)
            if running is not None:
                end_running(node, running)
    dispatch(node, now_s)
