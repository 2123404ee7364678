"""Frees what a task took once it has ended, and judges how it ended."""

import typing as t

from bulrushspur_core import (
    estimates,
    events,
    express,
    health,
    limits,
    placement,
    queues,
    shares,
)
from bulrushspur_core.node import Node, on
from bulrushspur_core.owner import Owner, RunningOffer, dispatch, team_key
from bulrushspur_core.queues import Queues
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.states import TaskOutcome
from bulrushspur_kernel.work import Work

START_LIVES_S: t.Final = 0.5


@on(events.TaskEnded)
def on_task_ended(node: Node, event: events.TaskEnded, now_s: float) -> None:
    """Free the room of a task and tell the door where the answer is not whole."""
    owner = node.state(Owner)
    view = node.state(Workers).views.get(event.worker)
    running = owner.running.get(event.ticket)
    if view is not None and running is not None and not running.detached:
        view.calls = max(view.calls - 1, 0)
    if event.outcome == TaskOutcome.DETACHED and running is not None:
        running.detached = True
        owner.unwatched[event.task_id] = now_s
        return
    if event.outcome == TaskOutcome.LOST:
        # It may run on, or its start may still be on the way: it keeps its room.
        owner.unwatched[event.task_id] = now_s + START_LIVES_S
    elif view is not None:
        free_task(node, view, event.task_id, now_s)
    if running is not None:
        if view is not None and not running.withdrawn and not running.yielding:
            judge(node, view, running.work, event, now_s)
        end_running(node, running)
        if event.outcome in _FAILURES and not running.withdrawn:
            refusal = _YIELDED if running.yielding else _FAILURES[event.outcome]
            node.send(running.door, msg.AnswerFailed(event.ticket, refusal))
    dispatch(node, now_s)


def end_running(node: Node, running: RunningOffer) -> None:
    """Forget an offer that has ended."""
    owner = node.state(Owner)
    owner.running.pop(running.ticket, None)
    owner.by_task.pop(running.task_id, None)


def free_task(node: Node, view: WorkerView, task_id: str, now_s: float) -> None:
    """Free the room, the permit and the share that a task took."""
    task = view.remove(task_id)
    node.state(Owner).unwatched.pop(task_id, None)
    if task is None:
        return
    owner = node.state(Owner)
    limits.give_back(node, task.team, 1, now_s)
    if task_id in owner.light:
        owner.light.discard(task_id)
        shares.add_light(node, task.team, -task.room.slots, now_s)
        node.state(express.Express).running -= task.room.slots
    owner.without_permit.discard(task.team)
    if not view.owned:
        return
    shares.add_use(node, task.team, task.room, -1, now_s)
    placement.note_changed(node, view, now_s, freed=True)
    queues.enter_again(node.state(Queues), task.team, team_key(node, task.team, now_s))


def judge(
    node: Node, view: WorkerView, work: Work, event: events.TaskEnded, now_s: float
) -> None:
    """Learn from an outcome about the kind of work and about the worker."""
    if event.outcome == TaskOutcome.DONE:
        estimates.note_run_time(node, work, event.run_time_s)
        health.note_success(node, view.vm.name, work)
    elif event.outcome == TaskOutcome.FAILED and 400 <= event.status < 500:
        return
    elif event.outcome == TaskOutcome.FAILED:
        health.note_failure(node, view, work, now_s)
    else:
        health.note_failure(node, view, None, now_s)
    placement.note_changed(node, view, now_s, freed=False)


_YIELDED: t.Final = Refusal(
    ErrorKind.WORKER_REFUSED, "It was checkpointed to make room.", Ran.YES, 1.0
)
_FAILURES: t.Final = {
    TaskOutcome.NOT_STARTED: Refusal(
        ErrorKind.WORKER_REFUSED, "The worker did not take the task.", Ran.NO, 1.0
    ),
    TaskOutcome.LOST: Refusal(
        ErrorKind.WORKER_LOST, "The worker was lost before its answer.", Ran.MAYBE
    ),
    TaskOutcome.FAILED: Refusal(ErrorKind.WORKER_FAILED, "The task failed.", Ran.YES),
}
