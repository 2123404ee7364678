"""A small world for the decision code: clock, network, platform, workers, faults.

Nothing here decides: it delivers, delays, drops, and tells the oracle what workers and
callers see. One seed gives one history.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing as t

import bulrushspur_core.authority as authority
from bulrushspur_core import Me, Node, events, make_node
from bulrushspur_core import effects as fx
from bulrushspur_core.door import Door
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.owner import Owner
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.records import Record
from bulrushspur_kernel.states import TaskAction, TaskOutcome
from bulrushspur_kernel.work import Room, TaskInfo, Vm, Work
from fuzz.log import FakeLog
from fuzz.oracle import Oracle, Told

TICK_S: t.Final = 0.1
POLL_S: t.Final = 0.5
VMS_POLL_S: t.Final = 1.0
CONNECT_WAIT_S: t.Final = 1.0
LATE_MESSAGE_S: t.Final = 2.0
TRANSIT_MAX_S: t.Final = 0.4
BODY_WAIT_S: t.Final = 5.0
WALL_OFFSET_S: t.Final = 1_800_000_000.0
RETENTION_S: t.Final = 120.0


@dataclasses.dataclass
class FakeTask:
    """A task on a fake worker."""

    info: TaskInfo
    ticket: str
    request_id: str
    ends_s: float
    lease_until_s: float
    owner: tuple[str, str]
    door: str
    detached: bool


@dataclasses.dataclass
class FakeWorker:
    """A worker that takes everything it is sent."""

    vm: Vm
    running: dict[str, FakeTask] = dataclasses.field(default_factory=dict)
    ended: dict[str, str] = dataclasses.field(default_factory=dict)
    leaving_s: float | None = None
    down: bool = False
    fails_all: bool = False


@dataclasses.dataclass
class Slot:
    """An entry VM and the process on it now."""

    name: str
    domain: str
    node: Node
    alive: bool = True
    paused: bool = False
    stopping_s: float | None = None
    phase_s: float = 0.0
    awake_s: float = 0.0
    avoids: set[str] = dataclasses.field(default_factory=set)
    held: list[t.Callable[[], None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class World:
    """Everything around the processes, and the processes."""

    rng: random.Random
    log: FakeLog
    oracle: Oracle = dataclasses.field(default_factory=Oracle)
    now_s: float = 100.0
    slots: dict[str, Slot] = dataclasses.field(default_factory=dict)
    workers: dict[str, FakeWorker] = dataclasses.field(default_factory=dict)
    queue: list[tuple[float, int, t.Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )
    order: t.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    cut_domains: set[str] = dataclasses.field(default_factory=set)
    cut_platform: set[str] = dataclasses.field(default_factory=set)
    awaiting_body: dict[tuple[str, str, str], tuple[Slot, fx.StartTask]] = (
        dataclasses.field(default_factory=dict)
    )
    bodies: set[tuple[str, str, str]] = dataclasses.field(default_factory=set)
    faults: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    limit_of: t.Callable[[str], int] = lambda team: 0
    trace: list[str] = dataclasses.field(default_factory=list)

    def note(self, sentence: str) -> None:
        """Note a step for the report of a violation."""
        self.trace.append(f"{self.now_s - 100:.3f} {sentence}")

    # Time.

    def later(self, delay_s: float, action: t.Callable[[], None]) -> None:
        """Do something after a delay."""
        heapq.heappush(self.queue, (self.now_s + delay_s, next(self.order), action))

    def advance(self, duration_s: float) -> None:
        """Let time pass."""
        until_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= until_s:
            due_s, _, action = heapq.heappop(self.queue)
            self.now_s = max(self.now_s, due_s)
            action()
        self.now_s = until_s
        doors = {
            self._door_key(one.name): one.awake_s
            for one in self.slots.values()
            if one.alive and not one.paused
        }
        self.oracle.overdue(self.now_s, doors)

    def _door_key(self, name: str) -> str:
        return f"{name}/{self.slots[name].node.me.boot}"

    # Processes.

    def boot(self, name: str, domain: str) -> Slot:
        """Start a process on an entry VM, in place of one that was there."""
        boot = f"b{next(self.order)}"
        seeds = {one.name: one.name for one in self.slots.values()} | {name: name}
        node = make_node(
            Me(name, boot, domain, "region", name, name),
            self.rng.getrandbits(32), {k: v for k, v in seeds.items() if k != name},
            WALL_OFFSET_S,
        )  # fmt: skip
        for slot in self.slots.values():
            slot.node.seeds.setdefault(name, name)
        slot = Slot(name, domain, node, phase_s=self.rng.random() * TICK_S)
        self.slots[name] = slot
        vm = Vm(name, "entry", domain, name)
        self.log.set_vm(vm, name, self.now_s)
        self._tick(slot)
        self._poll_log(slot)
        self._poll_vms(slot)
        return slot

    def current(self, slot: Slot) -> bool:
        """Tell whether the process of a slot is the one on its VM and lives."""
        return slot.alive and self.slots.get(slot.name) is slot

    def run(self, slot: Slot, action: t.Callable[[], list[fx.Effect]]) -> None:
        """Run decision code now, or when the process is continued."""
        if not self.current(slot):
            return
        if slot.paused:
            slot.held.append(lambda: self.run(slot, action))
            return
        self.carry_out(slot, action())
        cell = cell_of(slot.node)
        self.oracle.version_seen(slot.name, slot.node.me.boot, cell.version)

    def handle(self, slot: Slot, event: t.Any) -> None:
        """Give an event to a process."""
        self.run(slot, lambda: slot.node.handle(event, self.now_s))

    def resume(self, slot: Slot) -> None:
        """Continue a paused process with all that waited for it."""
        slot.paused = False
        slot.awake_s = self.now_s
        held, slot.held = slot.held, []
        for action in held:
            action()

    def _tick(self, slot: Slot) -> None:
        if not self.current(slot):
            return
        if not slot.paused:
            self.run(slot, lambda: slot.node.run_timers(self.now_s))
            self._end_if_drained(slot)
        self.later(TICK_S, lambda: self._tick(slot))

    def _end_if_drained(self, slot: Slot) -> None:
        if slot.stopping_s is None or self.now_s < slot.stopping_s + 2.0:
            return
        idle = not slot.node.state(Door).open and not slot.node.state(Owner).running
        if idle or self.now_s > slot.stopping_s + 60.0:
            slot.alive = False
            self.log.set_vm(None, slot.name, self.now_s)
            self.note(f"{slot.name} has stopped")

    # Platform.

    def reaches_platform(self, slot: Slot) -> bool:
        """Tell whether the platform answers a process now."""
        return not self.log.down and slot.domain not in self.cut_platform

    def _poll_log(self, slot: Slot) -> None:
        if not self.current(slot):
            return
        if not slot.paused and self.reaches_platform(slot):
            asked_s = self.now_s
            start = cell_of(slot.node).next_offset
            entries, first = self.log.read(start, self.now_s)
            end = self.log.next_offset
            event = events.LogRead(entries, first, end, end, asked_s)
            self.later(self._delay_s(), lambda: self.handle(slot, event))
        self.later(POLL_S, lambda: self._poll_log(slot))

    def _poll_vms(self, slot: Slot) -> None:
        if not self.current(slot):
            return
        if not slot.paused and self.reaches_platform(slot):
            event = events.VmsListed(self.log.list_vms(self.now_s))
            self.later(self._delay_s(), lambda: self.handle(slot, event))
        self.later(VMS_POLL_S, lambda: self._poll_vms(slot))

    def _append(self, slot: Slot, record: Record) -> None:
        token = record.token
        if not self.reaches_platform(slot):
            event = events.AppendEnded(token, refused=True)
            self.later(CONNECT_WAIT_S, lambda: self.handle(slot, event))
            return
        lost = self.log.lose_answers and self.rng.random() < 0.5

        def land() -> None:
            offset = self.log.append(record, self.now_s)
            event = events.AppendEnded(token, None if lost else offset)
            self.later(self._delay_s(), lambda: self.handle(slot, event))

        self.later(self._delay_s() * (50 if lost else 1), land)

    # Network.

    def _delay_s(self) -> float:
        return self.rng.uniform(0.0005, 0.003)

    def reaches(self, one: Slot, other: Slot) -> bool:
        """Tell whether two processes can talk."""
        if one.domain == other.domain:
            return True
        return not {one.domain, other.domain} & self.cut_domains

    def _send(self, slot: Slot, effect: fx.Send) -> None:
        target = self.slots.get(effect.to)
        if target is None or not target.alive or not self.reaches(slot, target):
            return
        roll = self.rng.random()
        delay_s = self._delay_s()
        if roll < 0.01:
            delay_s = self.rng.uniform(0.0, LATE_MESSAGE_S)
        if roll > 0.995:
            self.faults["message lost"] += 1
            return
        data = msg.encode(
            msg.Envelope(msg.PROTOCOL_VERSION, slot.name, slot.node.me.boot,
                         effect.message)
        )  # fmt: skip

        def deliver() -> None:
            envelope = msg.decode(data)
            assert envelope is not None
            if not self.reaches(slot, target):
                return
            sender = msg.Member(envelope.sender, envelope.boot)
            self.run(
                target,
                lambda: target.node.receive(sender, envelope.message, self.now_s),
            )

        self.later(delay_s, deliver)
        if roll > 0.99:
            self.faults["message doubled"] += 1
            self.later(delay_s + self._delay_s(), deliver)

    # Effects.

    def carry_out(self, slot: Slot, effects: list[fx.Effect]) -> None:
        """Carry out what a process decided."""
        for effect in effects:
            _DOERS[type(effect)](self, slot, effect)

    def _resolve(self, slot: Slot, effect: fx.Resolve) -> None:
        self.note(f"{slot.name} tells {effect.ticket} {effect.refusal.kind.value} "
                  f"ran {effect.refusal.ran.value}")  # fmt: skip
        self.oracle.refused(effect.ticket, effect.refusal)

    def submit(self, slot: Slot, work: Work) -> None:
        """Submit work at the door of a process, as its daemon would."""
        ticket = slot.node.make_token()
        due_s = self.now_s + work.deadline_s
        self.oracle.tickets[ticket] = Told(
            work.request_id, work.idempotent, due_s, self._door_key(slot.name)
        )
        self.note(f"{slot.name} gets {ticket} {work.request_id} of {work.team}")
        self.handle(slot, events.Submitted(ticket, work, "d"))

    # Workers.

    def add_worker(self, name: str, domain: str, rack: str, room: Room) -> None:
        """Start a worker."""
        vm = Vm(name, "worker", domain, name, rack, room=room)
        self.workers[name] = FakeWorker(vm)
        self.log.set_vm(vm, name, self.now_s)

    def _worker(self, slot: Slot, name: str) -> FakeWorker | None:
        worker = self.workers.get(name)
        if worker is None or worker.down or worker.vm.domain != slot.domain:
            return None
        return worker

    def _start_task(self, slot: Slot, effect: fx.StartTask) -> None:
        key = (slot.name, slot.node.me.boot, effect.ticket)
        self.awaiting_body[key] = (slot, effect)
        if key in self.bodies:
            self._start_with_body(key)
        self.later(BODY_WAIT_S, lambda: self._give_up_body(key))

    def _send_body(self, slot: Slot, effect: fx.SendBody) -> None:
        owner = self.slots.get(effect.owner)
        if owner is None or not self.reaches(slot, owner):
            return
        key = (owner.name, owner.node.me.boot, effect.offer)

        def arrive() -> None:
            self.bodies.add(key)
            if key in self.awaiting_body:
                self._start_with_body(key)

        self.later(self._delay_s(), arrive)

    def _give_up_body(self, key: tuple[str, str, str]) -> None:
        waiting = self.awaiting_body.pop(key, None)
        if waiting is not None:
            slot, effect = waiting
            event = events.TaskEnded(
                effect.worker,
                effect.task.task_id,
                effect.ticket,
                TaskOutcome.NOT_STARTED,
            )
            self.handle(slot, event)

    def _start_with_body(self, key: tuple[str, str, str]) -> None:
        slot, effect = self.awaiting_body.pop(key)
        if slot.paused:
            slot.held.append(lambda: self._check_and_start(slot, effect))
        elif self.current(slot):
            self._check_and_start(slot, effect)

    def _check_and_start(self, slot: Slot, effect: fx.StartTask) -> None:
        ended = events.TaskEnded(
            effect.worker, effect.task.task_id, effect.ticket, TaskOutcome.NOT_STARTED
        )
        worker = self._worker(slot, effect.worker)
        allowed = authority.may_start(
            slot.node, effect.worker, effect.epoch, self.now_s
        )
        if worker is None or not allowed:
            self.later(self._delay_s(), lambda: self.handle(slot, ended))
            return
        delay_s = self._delay_s()
        if self.rng.random() < 0.02:
            self.faults["start in transit"] += 1
            delay_s = self.rng.uniform(0.0, TRANSIT_MAX_S)
        self.later(delay_s, lambda: self._receive_start(slot, worker, effect))

    def _receive_start(
        self, slot: Slot, worker: FakeWorker, effect: fx.StartTask
    ) -> None:
        work = effect.work
        info = effect.task
        run_time_s = self.rng.uniform(0.2, 2.0) * work.run_time_s
        task = FakeTask(
            info, effect.ticket, work.request_id, self.now_s + run_time_s,
            self.now_s + effect.lease_s, (slot.name, slot.node.me.boot), effect.door,
            work.detached,
        )  # fmt: skip
        worker.running[info.task_id] = task
        self.note(f"{worker.vm.name} starts {info.task_id} of {info.team} for "
                  f"{effect.ticket}")  # fmt: skip
        self._check_start(worker, task)
        self._watch_lease(worker, task)
        outcome = TaskOutcome.DONE
        if worker.fails_all:
            outcome, run_time_s = TaskOutcome.FAILED, 0.01
        if not work.detached and self.rng.random() < 0.02:
            self._lose_call(slot, worker, task, run_time_s)
            return
        self.later(run_time_s, lambda: self._end_task(slot, worker, task, outcome))
        if work.detached:
            event = events.TaskEnded(
                worker.vm.name, info.task_id, task.ticket, TaskOutcome.DETACHED, 202
            )
            self.later(self._delay_s(), lambda: self.handle(slot, event))

    def _lose_call(
        self, slot: Slot, worker: FakeWorker, task: FakeTask, run_time_s: float
    ) -> None:
        """Break the connection of a start; the task runs on at the worker."""
        self.faults["call to a worker lost"] += 1
        task.detached = True
        event = events.TaskEnded(
            worker.vm.name, task.info.task_id, task.ticket, TaskOutcome.LOST
        )
        lost_after_s = self.rng.uniform(0.0, run_time_s)
        self.later(lost_after_s, lambda: self.handle(slot, event))
        self.later(
            run_time_s, lambda: self._end_task(slot, worker, task, TaskOutcome.DONE)
        )

    def _check_start(self, worker: FakeWorker, task: FakeTask) -> None:
        everywhere: collections.Counter[str] = collections.Counter()
        places = []
        for one in self.workers.values():
            for other in one.running.values():
                everywhere[other.info.team] += 1
                if other.info.task_id == task.info.task_id:
                    places.append(one.vm.name)
        running = [one.info for one in worker.running.values()]
        starter = self.slots[task.owner[0]]
        if starter.node.me.boot == task.owner[1] and worker.vm.name in starter.avoids:
            self.oracle.fail("leaving", f"{worker.vm.name} gets {task.info.task_id}")
        self.oracle.one_place(task.info, places)
        self.oracle.started(
            worker.vm.name, worker.vm.room, running, everywhere, task.info, task.ticket,
            self.oracle.tickets.get(ticket_of(task)), self.limit_of(task.info.team),
        )  # fmt: skip

    def _watch_lease(self, worker: FakeWorker, task: FakeTask) -> None:
        if worker.running.get(task.info.task_id) is not task:
            return
        if self.now_s >= task.lease_until_s:
            worker.running.pop(task.info.task_id)
            worker.ended[task.info.task_id] = "lease_lapsed"
            return
        wait_s = task.lease_until_s - self.now_s
        self.later(wait_s, lambda: self._watch_lease(worker, task))

    def _end_task(
        self, slot: Slot, worker: FakeWorker, task: FakeTask, outcome: str
    ) -> None:
        if worker.running.get(task.info.task_id) is not task:
            outcome = worker.ended.get(task.info.task_id, "lost")
        else:
            worker.running.pop(task.info.task_id)
            worker.ended[task.info.task_id] = outcome
        if task.detached:
            return
        told = {
            "done": TaskOutcome.DONE,
            "failed": TaskOutcome.FAILED,
            "stopped": TaskOutcome.FAILED,
        }
        event = events.TaskEnded(
            worker.vm.name,
            task.info.task_id,
            task.ticket,
            told.get(outcome, TaskOutcome.LOST),
            200,
        )
        self.later(self._delay_s(), lambda: self.handle(slot, event))
        if event.outcome == TaskOutcome.DONE:
            self.later(self._delay_s(), lambda: self._deliver_answer(slot, task))

    def _deliver_answer(self, slot: Slot, task: FakeTask) -> None:
        door = self.slots.get(task.door)
        if door is None or not self.current(slot) or not self.reaches(slot, door):
            return

        def deliver() -> list[fx.Effect]:
            if task.ticket in door.node.state(Door).offers:
                self.oracle.answered(ticket_of(task))
            return door.node.handle(events.AnswerDelivered(task.ticket), self.now_s)

        self.run(door, deliver)

    def _act_on_task(self, slot: Slot, effect: fx.ActOnTask) -> None:
        worker = self._worker(slot, effect.worker)
        if worker is None:
            return

        def act() -> None:
            task = worker.running.get(effect.task_id)
            if task is not None:
                worker.running.pop(effect.task_id)
                names = {
                    TaskAction.STOP: "stopped",
                    TaskAction.CHECKPOINT: "checkpointed",
                }
                worker.ended[effect.task_id] = names[effect.action]

        self.later(self._delay_s(), act)

    def _renew_tasks(self, slot: Slot, effect: fx.RenewTasks) -> None:
        worker = self._worker(slot, effect.worker)
        if worker is None:
            return

        def renew() -> None:
            for task_id in effect.task_ids:
                task = worker.running.get(task_id)
                if task is not None:
                    task.lease_until_s = self.now_s + effect.lease_s

        self.later(self._delay_s(), renew)

    def _list_tasks(self, slot: Slot, effect: fx.ListTasks) -> None:
        worker = self._worker(slot, effect.worker)
        if worker is None:
            event = events.TasksListed(effect.worker, None)
            self.later(CONNECT_WAIT_S, lambda: self.handle(slot, event))
            return

        asked_s = self.now_s

        def answer() -> None:
            running = [one.info for one in worker.running.values()]
            event = events.TasksListed(
                effect.worker, running, dict(worker.ended), asked_s
            )
            late = self.rng.random() < 0.05
            delay_s = self.rng.uniform(0.0, 1.0) if late else self._delay_s()
            self.later(delay_s, lambda: self.handle(slot, event))

        self.later(self._delay_s(), answer)


def ticket_of(task: FakeTask) -> str:
    """Return the ticket of the request that a task is an attempt of."""
    return task.ticket.partition("#")[0]


def _ignore(world: World, slot: Slot, effect: fx.Effect) -> None:
    """Leave out what only streams and callers' sockets need."""


_DOERS: dict[type, t.Callable[[World, Slot, t.Any], None]] = {
    fx.Send: World._send,
    fx.Append: lambda world, slot, effect: world._append(slot, effect.record),
    fx.StartTask: World._start_task,
    fx.ActOnTask: World._act_on_task,
    fx.RenewTasks: World._renew_tasks,
    fx.ListTasks: World._list_tasks,
    fx.SendBody: World._send_body,
    fx.Resolve: World._resolve,
    fx.Tell: _ignore,
    fx.BreakStreams: _ignore,
    fx.Accept: _ignore,
    fx.TellRecord: _ignore,
}


def make_world(seed: int) -> World:
    """Make a world with nothing in it."""
    rng = random.Random(seed)
    return World(rng, FakeLog(RETENTION_S))
