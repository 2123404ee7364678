"""Nodes that own workers: the fake cell with a list of VMs and what workers run."""

import dataclasses

import msgspec

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_core.authority import may_start
from bulrushspur_core.workers import Workers
from bulrushspur_kernel.work import Policy, Room, TaskInfo, Vm
from tests.fakes import DELAY_S, FakeCell


@dataclasses.dataclass
class OwnersCell(FakeCell):
    """A fake cell with ``vms`` by name and ``running`` tasks by worker."""

    vms: dict[str, Vm] = dataclasses.field(default_factory=dict)
    running: dict[str, dict[str, TaskInfo]] = dataclasses.field(default_factory=dict)
    boots: int = 0
    watch: object = None

    def start(self, name, domain):
        """Start a process, in place of the one of that name where there is one."""
        self.boots += 1
        self.vms[name] = Vm(name, "entry", domain, f"{name}:1")
        return self.boot(name, domain, f"{self.boots:04d}")

    def add_workers(self, domain, count):
        """List workers of a domain and return their names."""
        names = [f"{domain}-w{i}" for i in range(count)]
        for name in names:
            self.vms[name] = Vm(name, "worker", domain, name, room=Room(8, 8, 8000))
        return names

    def owners(self, worker):
        """Name the processes that may start tasks on a worker at this moment."""
        rv = []
        for name, node in self.nodes.items():
            view = node.state(Workers).views.get(worker)
            if view and may_start(node, worker, view.epoch, self.now_s):
                rv.append(name)
        return rv

    def advance(self, duration_s):
        """Let time pass, and watch at each step."""
        if self.watch is None:
            super().advance(duration_s)
            return
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            super().advance(min(0.02, until_s - self.now_s))
            self.watch()

    def cut(self, one, *others):
        """Cut a process off from others."""
        self.cuts |= {frozenset((one, other)) for other in others}

    def carry_out(self, name, rows):
        """Answer what workers are asked, too."""
        super().carry_out(name, rows)
        for effect in rows:
            if isinstance(effect, fx.ListTasks):
                self._list_tasks(name, effect)

    def _list_tasks(self, name, effect):
        node = self.nodes[name]
        running = list(self.running.get(effect.worker, {}).values())
        event = events.TasksListed(effect.worker, running, {}, self.now_s)

        def tell():
            if self.nodes.get(name) is not node:
                return
            if name in self.paused:
                self.held.setdefault(name, []).append(tell)
                return
            self.carry_out(name, node.handle(event, self.now_s))

        self.later(DELAY_S, tell)

    def _poll(self, name, node):
        if self.log.down or name in self.no_platform:
            return []
        vms = [msgspec.structs.replace(vm) for vm in self.vms.values()]
        rows = node.handle(events.VmsListed(vms), self.now_s)
        return rows + super()._poll(name, node)


def make_owners_cell(members=3, workers=6):
    """Make a domain of members that own workers, and one process of another."""
    cell = OwnersCell()
    cell.add_workers("north", workers)
    for i in range(members):
        cell.start(f"n{i + 1}", "north")
    cell.start("s1", "south")
    cell.advance(5)
    return cell


def make_task(name, epoch=1):
    """Make a small task."""
    room = Room(1, 1, 100)
    return TaskInfo(name, "a", "coursework", "place", Policy.REQUEST, room, epoch)
