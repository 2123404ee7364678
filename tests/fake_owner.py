"""One process that owns workers, without network: for tests of what starts next."""

import itertools

from bulrushspur_core import Me, events, limits, make_node, placement
from bulrushspur_core import effects as fx
from bulrushspur_core.cell import Roster
from bulrushspur_core.log_reader import LogState
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.text import convert_text
from bulrushspur_kernel.work import Policy, Room, Size, Vm, Work

ME = msg.Member("n1", "b1")
SMALL_WORKER = Room(8, 16.0, 32_768, 0)


def make_text(**teams):
    """Make a text of teams given as (share, limit, queue bound)."""
    rows = [
        {"name": name, "share": one[0], "limit_tasks": one[1], "queue_requests": one[2]}
        for name, one in teams.items()
    ]
    return convert_text(
        {"cell": "c", "domains": [{"name": "north", "region": "r"}], "teams": rows}
    ).unwrap()


class FakeOwner:
    """A node whose workers are its own; keeps what it started and sent."""

    def __init__(self, text, rooms, seed=1):
        self.node = make_node(Me("n1", "b1", "north"), seed, {})
        self.now_s = 10.0
        self.numbers = itertools.count(1)
        self.node.state(LogState).cell.text = text
        self.node.state(LogState).fresh_s = 1e9
        for i, room in enumerate(rooms):
            vm = Vm(f"w{i}", "worker", "north", "127.0.0.1:1", room=room)
            self.node.state(Workers).views[vm.name] = WorkerView(
                vm, owned=True, epoch=1
            )
            self.node.state(Workers).listed[vm.name] = vm
        self.hold_limits(text)
        placement.refresh(self.node, self.now_s)
        self.started = []
        self.sent = []
        self.acted = []

    def hold_limits(self, text):
        """Make the node the limit holder of its domain, with the whole limits."""
        cell = self.node.state(LogState).cell
        cell.parts = {team.name: {"north": team.limit_tasks} for team in text.teams}
        cell.rosters = {"north": [Roster(1, [ME], [ME])]}
        self.node.handle(events.RosterChanged("north", 1), self.now_s)

    def take(self, effects):
        for effect in effects:
            if isinstance(effect, fx.StartTask):
                self.started.append(effect)
            elif isinstance(effect, fx.Send):
                self.sent.append(effect.message)
            elif isinstance(effect, fx.ActOnTask):
                self.acted.append(effect)

    def offer(self, team="a", size=Size.SMALL, **more):
        ticket = more.pop("ticket", f"t{next(self.numbers)}")
        work = Work(
            ticket,
            team,
            "s",
            more.pop("kind", size.value),
            more.pop("policy", Policy.REQUEST),
            size,
            True,
            more.pop("deadline_s", 60.0),
            more.pop("run_time_s", 1.0),
            more.pop("room", Room(1, 1.0, 256, 0)),
            **more,
        )
        door = msg.Member("d1", "b1")
        self.take(self.node.receive(door, msg.Offer(ticket, work), self.now_s))
        return ticket

    def end(self, start, outcome="done", status=200, run_time_s=1.0):
        event = events.TaskEnded(
            start.worker, start.task.task_id, start.ticket, outcome, status, run_time_s
        )
        self.take(self.node.handle(event, self.now_s))

    def fill(self, count, team="filler", **more):
        for _ in range(count):
            self.offer(team, **more)
        rv, self.started = self.started, []
        return rv


def allow_all_starts(case):
    """Let test nodes start on the workers they were given, under the text's limits."""
    taken = {}

    def take(node, team, count, now_s):
        text = node.state(LogState).cell.text
        limit = next((one.limit_tasks for one in text.teams if one.name == team), 0)
        if taken.get((id(node), team), 0) + count > limit:
            return False
        taken[id(node), team] = taken.get((id(node), team), 0) + count
        return True

    def give_back(node, team, count, now_s):
        taken[id(node), team] -= count

    fakes = (
        (placement, "may_start", lambda node, worker, epoch, now_s: True),
        (limits, "take", take),
        (limits, "give_back", give_back),
        (limits, "want", lambda node, team, count, now_s: None),
    )
    for module, name, fake in fakes:
        case.addCleanup(setattr, module, name, getattr(module, name))
        setattr(module, name, fake)
