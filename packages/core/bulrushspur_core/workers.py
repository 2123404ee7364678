"""The workers of this failure domain as their owner sees them."""

import dataclasses

from bulrushspur_core import events
from bulrushspur_core.node import Node, on, register_state
from bulrushspur_kernel.work import Room, TaskInfo, Vm


@dataclasses.dataclass
class WorkerView:
    """A worker, and what this process has started or found on it.

    ``owned`` is true only while this process is its effective owner.
    """

    vm: Vm
    owned: bool = False
    epoch: int = 0
    tasks: dict[str, TaskInfo] = dataclasses.field(default_factory=dict)
    used: Room = dataclasses.field(default_factory=Room)
    calls: int = 0
    set_apart_until_s: float = 0.0
    gone: bool = False

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
    """The workers of this domain by name, and the VMs listed last."""

    views: dict[str, WorkerView] = dataclasses.field(default_factory=dict)
    listed: dict[str, Vm] = dataclasses.field(default_factory=dict)


@register_state(Workers)
def make_workers(node: Node) -> Workers:
    """Make the state of a process that knows no worker yet."""
    return Workers()


@on(events.VmsListed)
def on_vms_listed(node: Node, event: events.VmsListed, now_s: float) -> None:
    """Take over the list of VMs."""
    workers = node.state(Workers)
    workers.listed = {vm.name: vm for vm in event.vms}
    for vm in event.vms:
        if vm.role != "worker" or vm.domain != node.me.domain:
            continue
        view = workers.views.get(vm.name)
        if view is None:
            workers.views[vm.name] = WorkerView(vm)
        else:
            view.vm = vm
    for name, view in workers.views.items():
        view.gone = name not in workers.listed
