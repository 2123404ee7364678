"""Drives several nodes of the real decision code on a fake clock with given arrivals.

Messages take a fixed time, tasks their true run time, and nothing else is modelled.
"""

import contextlib
import dataclasses
import heapq
import itertools
import time
import typing as t

from bench.arrivals import Deployment, Job, make_text, make_vms
from bulrushspur_core import Me, Node, events, limits, make_node, placement
from bulrushspur_core import effects as fx
from bulrushspur_core.log_reader import LogState
from bulrushspur_core.owner import Owner
from bulrushspur_core.queues import Queues
from bulrushspur_core.workers import Workers, WorkerView
from bulrushspur_kernel import plugins
from bulrushspur_kernel.errors import Refusal
from bulrushspur_kernel.text import Text
from bulrushspur_kernel.work import Work

SAME_S: t.Final = 0.0002
TICK_S: t.Final = 0.05
SAMPLE_S: t.Final = 0.25
START_S: t.Final = 100.0
DRIVEN: t.Final = ("owner", "placement", "moves", "membership", "door", "batch")


@dataclasses.dataclass
class Fate:
    """What became of a job; times are seconds after the start of the run."""

    job: Job
    started_s: float | None = None
    ended_s: float | None = None
    worker: str = ""
    starts: int = 0
    refusal: Refusal | None = None
    refused_s: float = 0.0
    told_s: float | None = None
    predicted_s: float = 0.0


@dataclasses.dataclass
class Sample:
    """Slots in use and requests queued by team at a time."""

    at_s: float
    used: dict[str, int]
    queued: dict[str, int]


@dataclasses.dataclass
class Run:
    """The outcome of a run."""

    fates: list[Fate]
    samples: list[Sample] = dataclasses.field(default_factory=list)
    control_s: float = 0.0
    messages: int = 0
    moved: int = 0
    set_apart: int = 0


@contextlib.contextmanager
def granted_authority() -> t.Iterator[None]:
    """Let nodes start on the workers they were given, under the limits of the text."""
    taken: dict[tuple[int, str], int] = {}

    def take(node: Node, team: str, count: int, now_s: float) -> bool:
        taken[id(node), team] = taken.get((id(node), team), 0) + count
        return True

    def give_back(node: Node, team: str, count: int, now_s: float) -> None:
        taken[id(node), team] -= count

    old = placement.may_start, limits.take, limits.give_back
    placement.may_start = lambda node, worker, epoch, now_s: True
    limits.take, limits.give_back = take, give_back
    try:
        yield
    finally:
        placement.may_start, limits.take, limits.give_back = old


def make_bench_node(
    name: str, domain: str, seed: int, text: Text, seeds: dict[str, str]
) -> Node:
    """Make a node that has the text, with only the timers that the policy needs."""
    node = make_node(Me(name, "b1", domain), seed, seeds)
    node.state(LogState).cell.text = text
    node.state(LogState).fresh_s = 1e12
    for one in plugins.entries("core.timer"):
        if str(one).split(".")[-2] not in DRIVEN:
            node.due_s[str(one)] = float("inf")
    return node


class PolicyCell:
    """Nodes, their messages, and the tasks that run."""

    def __init__(
        self, cell: Deployment, seed: int, bad_workers: t.Container[str] = ()
    ) -> None:
        self.cell = cell
        self.now_s = START_S
        self.queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self.order = itertools.count()
        self.bad_workers = bad_workers
        self.lost_workers: set[str] = set()
        self.fates: dict[str, Fate] = {}
        self.run = Run([])
        self.used: dict[str, int] = dict.fromkeys(cell.shares, 0)
        text = make_text(cell)
        names = [f"n{i}" for i in range(cell.entries)]
        self.domain_of = {
            name: cell.domains[i % len(cell.domains)] for i, name in enumerate(names)
        }
        self.nodes = [
            make_bench_node(
                name,
                self.domain_of[name],
                seed + i,
                text,
                {one: one for one in names if one != name},
            )
            for i, name in enumerate(names)
        ]
        self.by_name = {node.me.name: node for node in self.nodes}
        self.dead: set[str] = set()
        self._share_out()
        for i, node in enumerate(self.nodes):
            self.at(self.now_s + TICK_S * i / len(self.nodes), self._ticker(node))

    def _share_out(self) -> None:
        for domain in self.cell.domains:
            nodes = [one for one in self.nodes if one.me.domain == domain]
            vms = [vm for vm in make_vms(self.cell) if vm.domain == domain]
            for i, vm in enumerate(vms):
                view = WorkerView(vm, owned=True, epoch=1)
                nodes[i % len(nodes)].state(Workers).views[vm.name] = view

    def at(self, at_s: float, action: t.Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self.queue, (at_s, next(self.order), action))

    def _ticker(self, node: Node) -> t.Callable[[], None]:
        def tick() -> None:
            if node.me.name not in self.dead:
                self.step(node, node.run_timers)
                self.at(self.now_s + TICK_S, tick)

        return tick

    def step(
        self, node: Node, call: t.Callable[..., list[fx.Effect]], *args: t.Any
    ) -> None:
        """Run decision code of a node and carry out its effects."""
        if node.me.name in self.dead:
            return
        began_s = time.perf_counter()
        effects = call(*args, self.now_s)
        self.run.control_s += time.perf_counter() - began_s
        for effect in effects:
            doer = _DOERS.get(type(effect))
            if doer is not None:
                doer(self, node, effect)

    def submit(self, job: Job) -> None:
        """Let a caller submit a job at its door, or at another if that is dead."""
        alive = [one for one in self.nodes if one.me.name not in self.dead]
        node = alive[job.door % len(alive)]
        ticket = f"j{job.number}"
        self.fates[ticket] = Fate(job)
        kind = job.kind
        work = Work(
            ticket, job.team, "s", kind.name, job.policy, kind.size, True,
            kind.deadline_s, kind.run_time_s, kind.room,
        )  # fmt: skip
        self.step(node, node.handle, events.Submitted(ticket, work))
        if job.cancel_s is not None:
            cancel = events.CancelAsked(ticket)
            self.at(
                self.now_s + job.cancel_s,
                lambda: self.step(node, node.handle, cancel),
            )

    def send(self, node: Node, effect: fx.Send) -> None:
        """Deliver a message to another node after its time."""
        other = self.by_name[effect.to]
        same = node.me.domain == other.me.domain
        delay_s = SAME_S if same else self.cell.cross_s
        self.run.messages += 1
        member, message = node.me.member, effect.message
        self.at(
            self.now_s + delay_s,
            lambda: self.step(other, other.receive, member, message),
        )

    def start(self, node: Node, effect: fx.StartTask) -> None:
        """Run a task for its true time."""
        fate = self.fates[effect.work.request_id]
        fate.starts += 1
        fate.started_s = self.now_s - START_S
        fate.worker = effect.worker
        bad = effect.worker in self.bad_workers
        run_s = 0.01 if bad else fate.job.true_s
        door_s = 0.0
        if effect.door != node.me.name:
            same = self.domain_of[effect.door] == node.me.domain
            door_s = 2 * (SAME_S if same else self.cell.cross_s)
        slots, team = effect.task.room.slots, fate.job.team
        self.used[team] = self.used.get(team, 0) + slots

        def end() -> None:
            self.used[team] -= slots
            if effect.worker in self.lost_workers:
                return
            if not bad:
                fate.ended_s = self.now_s - START_S
            outcome, status = ("failed", 500) if bad else ("done", 200)
            ended = events.TaskEnded(
                effect.worker, effect.task.task_id, effect.ticket, outcome, status,
                run_s,
            )  # fmt: skip
            if not bad:
                door = self.by_name[effect.door]
                delivered = events.AnswerDelivered(effect.ticket)
                self.step(door, door.handle, delivered)
            self.step(node, node.handle, ended)

        self.at(self.now_s + door_s + run_s, end)

    def act(self, node: Node, effect: fx.ActOnTask) -> None:
        """Stop or checkpoint a task: it ends soon with a failure."""
        owner = node.state(Owner)
        ticket = owner.by_task.get(effect.task_id)
        running = owner.running.get(ticket or "")
        if running is None or effect.action not in ("stop", "checkpoint"):
            return

        def end() -> None:
            if ticket not in owner.running:
                return
            ended = events.TaskEnded(
                effect.worker, effect.task_id, running.ticket, "failed", 500, 0.0
            )
            self.step(node, node.handle, ended)

        self.at(self.now_s + CHECKPOINT_S, end)

    def resolve(self, node: Node, effect: fx.Resolve) -> None:
        """Note a refusal."""
        fate = self.fates[effect.ticket]
        fate.refusal = effect.refusal
        fate.refused_s = self.now_s - START_S

    def tell(self, node: Node, effect: fx.Tell) -> None:
        """Note the first prediction that a caller was told."""
        fate = self.fates[effect.ticket]
        if fate.told_s is None:
            fate.told_s = self.now_s - START_S
            fate.predicted_s = effect.predicted_wait_s

    def lose_domain(self, domain: str) -> None:
        """Lose all VMs of a failure domain: entry processes and workers."""
        self.dead.update(
            name for name, where in self.domain_of.items() if where == domain
        )
        self.lost_workers.update(
            vm.name for vm in make_vms(self.cell) if vm.domain == domain
        )

    def sample(self) -> None:
        """Note use and queues by team."""
        queued = dict.fromkeys(self.cell.shares, 0)
        for node in self.nodes:
            if node.me.name not in self.dead:
                for name, one in node.state(Queues).teams.items():
                    queued[name] = queued.get(name, 0) + one.length
        self.run.samples.append(Sample(self.now_s - START_S, dict(self.used), queued))

    def drive(self, jobs: list[Job], until_s: float) -> Run:
        """Run the arrivals to a time, and return what became of them."""
        warm_s = 2.5
        self._advance(START_S + warm_s)
        for job in jobs:
            self.at(START_S + warm_s + job.at_s, lambda job=job: self.submit(job))
        at_s = START_S + warm_s
        while at_s < START_S + warm_s + until_s:
            at_s += SAMPLE_S
            self.at(at_s, self.sample)
        self._advance(at_s)
        for fate in self.fates.values():
            for field in ("started_s", "ended_s", "told_s"):
                value = getattr(fate, field)
                if value is not None:
                    setattr(fate, field, value - warm_s)
            fate.refused_s -= warm_s
        for sample in self.run.samples:
            sample.at_s -= warm_s
        self.run.fates = list(self.fates.values())
        for node in self.nodes:
            self.run.moved += node.metrics.counters.get("moved", 0)
            self.run.set_apart += node.metrics.counters.get("workers.set_apart", 0)
        return self.run

    def _advance(self, until_s: float) -> None:
        while self.queue and self.queue[0][0] <= until_s:
            due_s, _, action = heapq.heappop(self.queue)
            self.now_s = due_s
            action()
        self.now_s = until_s


CHECKPOINT_S: t.Final = 0.5
_DOERS: t.Final = {
    fx.Send: PolicyCell.send,
    fx.StartTask: PolicyCell.start,
    fx.ActOnTask: PolicyCell.act,
    fx.Resolve: PolicyCell.resolve,
    fx.Tell: PolicyCell.tell,
}
