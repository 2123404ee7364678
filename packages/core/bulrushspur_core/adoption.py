"""Learns what runs on a worker before the first start there."""

import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_core.cell import Roster
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, on
from bulrushspur_core.promises import TRANSIT_S, lease_until_s
from bulrushspur_core.takeover import Takeover, is_cleared, owner_in
from bulrushspur_core.workers import Workers, WorkerView

ASK_AGAIN_S: t.Final = 2.5


def ask_for_tasks(node: Node, view: WorkerView, epoch: int, now_s: float) -> None:
    """Ask a worker what runs, now that nobody else can start anything there."""
    if view.ready_s is None or view.ready_epoch != epoch:
        view.ready_s = now_s
        view.ready_epoch = epoch
        view.asked_s = float("-inf")
    if now_s >= view.asked_s + ASK_AGAIN_S:
        view.asked_s = now_s
        node.emit(fx.ListTasks(view.vm.name))


@on(events.TasksListed)
def on_tasks_listed(node: Node, event: events.TasksListed, now_s: float) -> None:
    """Gain a worker that has told what it runs."""
    view = node.state(Workers).views.get(event.worker)
    if view is None or view.owned or event.running is None:
        return
    newest = cell_of(node).roster(node.me.domain)
    if view.ready_s is None or event.asked_s < view.ready_s:
        # It was asked before the earlier owners were over.
        return
    if _may_gain(node, view, newest, now_s):
        _adopt(node, view, event, now_s)
        view.owned = True
        view.epoch = newest.epoch
        node.metrics.count("authority.gained")
        node.signal(events.WorkerGained(event.worker), now_s)


def _may_gain(node: Node, view: WorkerView, newest: Roster, now_s: float) -> bool:
    return (
        not view.gone
        and view.ready_epoch == newest.epoch
        and owner_in(node, newest, view.vm.name) == node.me.member
        and lease_until_s(node, newest.epoch) > now_s
        and is_cleared(node, newest, view.vm.name, now_s)
    )


def _adopt(
    node: Node, view: WorkerView, event: events.TasksListed, now_s: float
) -> None:
    """Count what the worker runs and what its last owner had under way."""
    running = {task.task_id: task for task in event.running or ()}
    for task in node.state(Takeover).handed.pop(event.worker, ()):
        if task.task_id not in event.ended:
            running.setdefault(task.task_id, task)
    for task_id in view.adopted - running.keys():
        view.remove(task_id)
    view.adopted &= running.keys()
    for task_id, task in running.items():
        if task_id not in view.tasks:
            view.add(task)
            view.adopted.add(task_id)
    view.adopted_s = now_s


def may_arrive(view: WorkerView, task_id: str, asked_s: float) -> bool:
    """Tell whether a start of the last owner may arrive later than ``asked_s``."""
    return task_id in view.adopted and asked_s < view.adopted_s + TRANSIT_S
