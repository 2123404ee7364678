"""The owner: queues offers, starts them where they fit, and frees room when they end.

Thin first form: one queue, first come first served, first worker that fits.
"""

import dataclasses
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import events, limits
from bulrushspur_core.authority import may_start
from bulrushspur_core.membership import Members
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.work import Room, TaskInfo, Work

TASK_LEASE_S: t.Final = 10.0
DISPATCH_S: t.Final = 0.05


@dataclasses.dataclass
class QueuedOffer:
    """An offer that waits for room; ``queued_s`` is monotonic."""

    ticket: str
    door: str
    work: Work
    queued_s: float


@dataclasses.dataclass
class RunningOffer:
    """An offer whose task was started."""

    ticket: str
    door: str
    work: Work
    worker: str
    task_id: str
    withdrawn: bool = False


@dataclasses.dataclass
class Owner:
    """Offers that wait and offers that run, by ticket."""

    queue: dict[str, QueuedOffer] = dataclasses.field(default_factory=dict)
    running: dict[str, RunningOffer] = dataclasses.field(default_factory=dict)
    task_count: int = 0


@register_state(Owner)
def make_owner(node: Node) -> Owner:
    """Make the state of an owner with nothing to do."""
    return Owner()


@on(msg.Offer)
def on_offer(node: Node, sender: msg.Member, message: msg.Offer, now_s: float) -> None:
    """Queue an offer and start what fits."""
    owner = node.state(Owner)
    owner.queue[message.ticket] = QueuedOffer(
        message.ticket, sender.name, message.work, now_s
    )
    dispatch(node, now_s)
    if message.ticket in owner.queue:
        node.send(sender.name, msg.Queued(message.ticket, 0.0, len(owner.queue)))


@on(msg.Withdraw)
def on_withdraw(
    node: Node, sender: msg.Member, message: msg.Withdraw, now_s: float
) -> None:
    """Drop an offer, or stop its task."""
    owner = node.state(Owner)
    if owner.queue.pop(message.ticket, None) is not None:
        return
    running = owner.running.get(message.ticket)
    if running is not None:
        running.withdrawn = True
        node.emit(fx.ActOnTask(running.worker, running.task_id, "stop"))


@every(DISPATCH_S)
def dispatch_regularly(node: Node, now_s: float) -> None:
    """Start what fits, for room may have come from elsewhere."""
    dispatch(node, now_s)
    owner = node.state(Owner)
    views = [view for view in node.state(Workers).views.values() if view.owned]
    total = sum(view.vm.room.slots for view in views)
    free = sum(max(view.free.slots, 0) for view in views)
    node.state(Members).load = msg.Load(free, total, len(owner.queue))


def dispatch(node: Node, now_s: float) -> None:
    """Start queued offers in order while they fit."""
    owner = node.state(Owner)
    for queued in list(owner.queue.values()):
        view = place(node, queued.work.room, now_s)
        if view is None:
            continue
        if limits.take(node, queued.work.team, 1, now_s):
            del owner.queue[queued.ticket]
            start(node, queued, view, now_s)


def place(node: Node, room: Room, now_s: float) -> WorkerView | None:
    """Choose a worker with enough room that this process may start tasks on."""
    for view in node.state(Workers).views.values():
        ready = view.owned and not view.vm.leaving and not view.gone
        fits = ready and view.free.holds(room)
        if fits and may_start(node, view.vm.name, view.epoch, now_s):
            return view
    return None


def start(node: Node, queued: QueuedOffer, view: WorkerView, now_s: float) -> None:
    """Reserve room, ask the door for the body, and start the task."""
    owner = node.state(Owner)
    owner.task_count += 1
    work = queued.work
    task_id = f"{node.me.name}.{node.me.boot}.{owner.task_count}"
    task = TaskInfo(
        task_id, work.team, work.service, work.kind, work.policy, work.room, view.epoch
    )
    view.add(task)
    owner.running[queued.ticket] = RunningOffer(
        queued.ticket, queued.door, work, view.vm.name, task_id
    )
    node.send(queued.door, msg.Granted(queued.ticket, view.vm.name, task_id))
    node.emit(
        fx.StartTask(
            view.vm.name,
            view.epoch,
            task,
            work,
            queued.door,
            queued.ticket,
            TASK_LEASE_S,
        )
    )


@on(events.TaskEnded)
def on_task_ended(node: Node, event: events.TaskEnded, now_s: float) -> None:
    """Free the room of a task and tell the door where the answer is not whole."""
    owner = node.state(Owner)
    view = node.state(Workers).views.get(event.worker)
    task = view.remove(event.task_id) if view is not None else None
    if task is not None:
        limits.give_back(node, task.team, 1, now_s)
    running = owner.running.pop(event.ticket, None)
    if running is not None and event.outcome in _FAILURES and not running.withdrawn:
        node.send(
            running.door, msg.AnswerFailed(event.ticket, _FAILURES[event.outcome])
        )
    dispatch(node, now_s)


_FAILURES: t.Final = {
    "not_started": Refusal(
        ErrorKind.WORKER_REFUSED, "The worker did not take the task.", Ran.NO, 1.0
    ),
    "lost": Refusal(
        ErrorKind.WORKER_LOST, "The worker was lost before its answer.", Ran.MAYBE
    ),
    "failed": Refusal(ErrorKind.WORKER_FAILED, "The task failed.", Ran.YES),
}
