"""The workers of this failure domain as their owner sees them."""

import dataclasses
import typing as t

from bulrushspur_core import events
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, on, register_state
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.work import Room, TaskInfo, Vm

FORGET_AFTER_S: t.Final = 600.0


@dataclasses.dataclass
class WorkerView:
    """A worker, and what this process has started or found on it.

    ``owned`` is true only while this process is its effective owner, and ``epoch`` is
    the one that its starts belong to. ``adopted`` names the tasks among ``tasks`` that
    this process found or was told of when it gained the worker, at ``adopted_s``. Since
    ``ready_s`` nobody else can start anything under an epoch before ``ready_epoch``.
    """

    vm: Vm
    owned: bool = False
    epoch: int = 0
    tasks: dict[str, TaskInfo] = dataclasses.field(default_factory=dict)
    used: Room = dataclasses.field(default_factory=Room)
    calls: int = 0
    set_apart_until_s: float = 0.0
    gone: bool = False
    gone_s: float = 0.0
    adopted: set[str] = dataclasses.field(default_factory=set)
    adopted_s: float = 0.0
    ready_s: float | None = None
    ready_epoch: int = 0
    asked_s: float = 0.0

    @property
    def free(self) -> Room:
        """Give the room that no known task takes."""
        return self.vm.room.minus(self.used)

    def add(self, task: TaskInfo) -> None:
        """Count a task as running."""
        if task.task_id not in self.tasks:
            self.tasks[task.task_id] = task
            self.used = self.used.plus(task.room)

    def remove(self, task_id: str) -> TaskInfo | None:
        """Count a task as ended and return it."""
        task = self.tasks.pop(task_id, None)
        if task is not None:
            self.used = self.used.minus(task.room)
        return task


@dataclasses.dataclass
class Workers:
    """The workers of this domain by name, and the VMs listed last.

    ``read_s`` is when the list was read, ``missing_s`` since when the VM of an entry
    process has been missing from it.
    """

    views: dict[str, WorkerView] = dataclasses.field(default_factory=dict)
    listed: dict[str, Vm] = dataclasses.field(default_factory=dict)
    read_s: float | None = None
    once_listed: set[str] = dataclasses.field(default_factory=set)
    missing_s: dict[str, float] = dataclasses.field(default_factory=dict)


@register_state(Workers)
def make_workers(node: Node) -> Workers:
    """Make the state of a process that knows no worker yet."""
    return Workers()


def leaving_workers(node: Node) -> list[str]:
    """Name the workers of this domain that leave."""
    views = node.state(Workers).views
    return sorted(name for name, view in views.items() if view.vm.leaving)


def list_age_s(node: Node, now_s: float) -> float | None:
    """Tell how long ago the list of VMs was read, or None."""
    read_s = node.state(Workers).read_s
    return None if read_s is None else now_s - read_s


@on(events.VmsListed)
def on_vms_listed(node: Node, event: events.VmsListed, now_s: float) -> None:
    """Take over the list of VMs."""
    workers = node.state(Workers)
    workers.listed = {vm.name: vm for vm in event.vms}
    workers.read_s = now_s
    for vm in event.vms:
        if vm.role == "worker" and vm.domain == node.me.domain:
            _note_worker(node, vm, now_s)
        elif vm.role == "entry":
            workers.once_listed.add(vm.name)
            workers.missing_s.pop(vm.name, None)
    for name, view in list(workers.views.items()):
        if name in workers.listed:
            continue
        if not view.gone:
            view.gone, view.gone_s = True, now_s
            node.signal(events.WorkerGone(name), now_s)
        elif now_s - view.gone_s > FORGET_AFTER_S and not view.tasks:
            del workers.views[name]
    # A list without any entry process says nothing of those that are missing.
    if any(vm.role == "entry" for vm in event.vms):
        for member in _known_voters(node):
            if member not in workers.listed:
                workers.missing_s.setdefault(member, now_s)


def _note_worker(node: Node, vm: Vm, now_s: float) -> None:
    views = node.state(Workers).views
    view = views.get(vm.name)
    if view is None:
        views[vm.name] = WorkerView(vm)
        if vm.leaving:
            node.signal(events.WorkerLeaving(vm.name), now_s)
        return
    if view.vm.address != vm.address and not view.gone:
        # Another VM has the name: what ran on the old one is gone with it.
        node.signal(events.WorkerGone(vm.name), now_s)
    left = vm.leaving and not view.vm.leaving
    view.vm = vm
    view.gone = False
    if left:
        node.signal(events.WorkerLeaving(vm.name), now_s)


def _known_voters(node: Node) -> set[str]:
    rosters = cell_of(node).rosters.get(node.me.domain, [])
    return {voter.name for roster in rosters for voter in roster.voters}


@on(msg.Heartbeat)
def on_heartbeat(
    node: Node, sender: msg.Member, message: msg.Heartbeat, now_s: float
) -> None:
    """Learn which workers leave from a member whose list is younger."""
    workers = node.state(Workers)
    if message.info.domain != node.me.domain or message.list_age_s is None:
        return
    if workers.read_s is not None and now_s - message.list_age_s <= workers.read_s:
        return
    for name, view in workers.views.items():
        leaving = name in message.leaving
        if view.vm.leaving != leaving:
            view.vm.leaving = leaving
            if leaving:
                node.signal(events.WorkerLeaving(name), now_s)
