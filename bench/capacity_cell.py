"""A cell of many nodes in one process, to measure what each role costs by size.

The decision code is real; clock, network, platform and workers are the least that makes
it run. Sockets and HTTP are left out: bench/path.py measures those.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
import sys
import time
import typing as t

import msgspec

from bulrushspur_core import Me, Node, events, make_node, node
from bulrushspur_core import effects as fx
from bulrushspur_core.ids import make_id
from bulrushspur_core.log_reader import cell_of, read_from
from bulrushspur_core.workers import Workers
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel import plugins
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.work import Policy, Room, Size, TaskInfo, Vm, Work
from fuzz.log import FakeLog

TICK_S: t.Final = 0.05
POLL_S: t.Final = 0.5
VMS_POLL_S: t.Final = 1.0
DELAY_S: t.Final = 0.0015
WALL_OFFSET_S: t.Final = 1_800_000_000.0
RETENTION_S: t.Final = 3600.0
RUN_TIME_S: t.Final = 0.3
SERVICE_S: t.Final = 86_400.0
SLOTS: t.Final = 32
WORKER_ROOM: t.Final = Room(SLOTS, 64.0, 262_144, 2)
TASK_ROOM: t.Final = Room(1, 1.0, 1024, 0)
HTTP_HEAD_BYTES: t.Final = 150

_ROLE_OF: t.Final = {
    "door": "door",
    "routing": "door",
    "owner": "owner",
    "workers": "owner",
    "placement": "owner",
    "moves": "owner",
    "waits": "owner",
    "services": "owner",
    "authority": "voter",
    "adoption": "voter",
    "evidence": "voter",
    "promises": "voter",
    "rosters": "voter",
    "takeover": "voter",
    "membership": "heartbeat",
    "gossip": "heartbeat",
    "id_homes": "home",
    "id_copies": "home",
    "id_records": "home",
    "ids": "home",
    "limits": "limits",
    "permits": "limits",
    "parts": "limits",
    "parts_reserved": "limits",
    "log_reader": "log",
    "teaching": "log",
    "repeating": "log",
}


@dataclasses.dataclass
class Usage:
    """What was used since the last reset, over all processes."""

    cpu_s: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    messages: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    peer_bytes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    sent_bytes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    platform_bytes: int = 0
    worker_bytes: int = 0
    appends: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    starts: int = 0
    ends: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass
class CellSize:
    """How large a cell is, and what goes on in it."""

    processes: int = 8
    domains: int = 4
    workers: int = 24
    teams: int = 6
    tasks: int = 0
    starts_per_s: float = 0.0
    changes_per_h: float = 0.0


@dataclasses.dataclass
class SmallCell:
    """Nodes, fake workers and a fake log on one fake clock."""

    size: CellSize
    rng: random.Random
    now_s: float = 1000.0
    log: FakeLog = dataclasses.field(default_factory=lambda: FakeLog(RETENTION_S))
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    running: dict[str, dict[str, TaskInfo]] = dataclasses.field(default_factory=dict)
    queue: list[tuple[float, int, t.Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )
    order: t.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    usage: Usage = dataclasses.field(default_factory=Usage)
    text: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    list_bytes: int = 0

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

    def repeat(self, period_s: float, action: t.Callable[[], None]) -> None:
        """Do something again and again, from a random moment on."""

        def again() -> None:
            action()
            self.later(period_s, again)

        self.later(self.rng.random() * period_s, again)

    def carry_out(self, name: str, effects: list[fx.Effect]) -> None:
        """Carry out what a process decided."""
        for effect in effects:
            doer = _DOERS.get(type(effect))
            if doer is not None:
                doer(self, name, effect)

    def handle(self, name: str, event: t.Any) -> None:
        """Give an event to a process."""
        self.carry_out(name, self.nodes[name].handle(event, self.now_s))

    def send(self, name: str, effect: fx.Send) -> None:
        """Deliver a message, and count it at both ends."""
        began_s = time.thread_time()
        boot = self.nodes[name].me.boot
        data = msg.encode(
            msg.Envelope(msg.PROTOCOL_VERSION, name, boot, effect.message)
        )
        kind = type(effect.message).__name__
        envelope = msg.decode(data)
        self.usage.cpu_s["wire"] += time.thread_time() - began_s
        self.usage.messages[kind] += 1
        self.usage.peer_bytes[kind] += len(data)
        self.usage.sent_bytes[name] += len(data)
        assert envelope is not None
        sender = msg.Member(envelope.sender, envelope.boot)

        def deliver() -> None:
            target = self.nodes[effect.to]
            rv = target.receive(sender, envelope.message, self.now_s)
            self.carry_out(effect.to, rv)

        self.later(DELAY_S, deliver)

    def append(self, name: str, effect: fx.Append) -> None:
        """Append a record at once."""
        record = effect.record
        offset = self.log.append(record, self.now_s)
        self.usage.appends[type(record).__name__] += 1
        event = events.AppendEnded(record.token, offset)
        self.later(DELAY_S, lambda: self.handle(name, event))

    def start_task(self, name: str, effect: fx.StartTask) -> None:
        """Run a task for its time, then deliver its answer."""
        info = effect.task
        self.usage.starts += 1
        self.usage.worker_bytes += len(msgspec.json.encode(info)) + HTTP_HEAD_BYTES
        self.running[effect.worker][info.task_id] = info

        def end() -> None:
            self.running[effect.worker].pop(info.task_id, None)
            ended = events.TaskEnded(
                effect.worker, info.task_id, effect.ticket, "done", 200, RUN_TIME_S
            )
            self.handle(name, ended)
            if effect.door:
                delivered = events.AnswerDelivered(effect.ticket)
                self.later(DELAY_S, lambda: self.handle(effect.door, delivered))

        if not effect.work.detached:
            self.later(RUN_TIME_S, end)
            return
        detached = events.TaskEnded(
            effect.worker, info.task_id, effect.ticket, "detached", 202
        )
        self.later(DELAY_S, lambda: self.handle(name, detached))

    def list_tasks(self, name: str, effect: fx.ListTasks) -> None:
        """Answer what a worker runs."""
        rows = list(self.running[effect.worker].values())
        body = msgspec.json.encode({"running": rows, "ended": {}})
        self.usage.worker_bytes += len(body) + 2 * HTTP_HEAD_BYTES
        event = events.TasksListed(effect.worker, rows, {}, self.now_s)
        self.later(DELAY_S, lambda: self.handle(name, event))

    def renew_tasks(self, name: str, effect: fx.RenewTasks) -> None:
        """Count the bytes of a renewal."""
        body = msgspec.json.encode({"task_ids": effect.task_ids})
        self.usage.worker_bytes += len(body) + 2 * HTTP_HEAD_BYTES

    def refuse(self, name: str, effect: fx.Resolve) -> None:
        """Count a refusal by kind."""
        self.usage.ends[effect.refusal.kind.value] += 1

    def poll_log(self, name: str) -> None:
        """Let a process read the log."""
        start = read_from(self.nodes[name])
        entries, first = self.log.read(start, self.now_s)
        end = self.log.next_offset
        size = sum(len(rec.encode_record(one.record)) for one in entries)
        self.usage.platform_bytes += size + 2 * HTTP_HEAD_BYTES
        self.handle(name, events.LogRead(entries, first, end, end, self.now_s))

    def poll_vms(self, name: str) -> None:
        """Let a process read the list of VMs."""
        self.usage.platform_bytes += self.list_bytes + HTTP_HEAD_BYTES
        self.handle(name, events.VmsListed(self.log.list_vms(self.now_s)))

    def submit(self) -> None:
        """Submit one request that may run at most once, at any door."""
        name = self.rng.choice(list(self.nodes))
        door = self.nodes[name]
        team = f"t{self.rng.randrange(self.size.teams)}"
        ticket = door.make_token()
        work = Work(
            make_id(door, self.now_s), team, "s0", "small", Policy.REQUEST, Size.SMALL,
            False, 60.0, RUN_TIME_S, TASK_ROOM,
        )  # fmt: skip
        self.handle(name, events.Submitted(ticket, work, "d"))

    def change(self) -> None:
        """Give a key, as the commonest change of configuration."""
        key_id = f"{self.rng.getrandbits(48):012x}"
        self.log.append(rec.KeyGiven(key_id, "t0", "0" * 64), self.now_s)

    def owned(self) -> int:
        """Count the workers that have an effective owner."""
        return sum(
            view.owned
            for one in self.nodes.values()
            for view in one.state(Workers).views.values()
        )


_DOERS: dict[type, t.Callable[[SmallCell, str, t.Any], None]] = {
    fx.Send: SmallCell.send,
    fx.Append: SmallCell.append,
    fx.StartTask: SmallCell.start_task,
    fx.ListTasks: SmallCell.list_tasks,
    fx.RenewTasks: SmallCell.renew_tasks,
    fx.Resolve: SmallCell.refuse,
}


def make_small_cell(size: CellSize, seed: int) -> SmallCell:
    """Make a cell of a size with all its processes started."""
    rv = SmallCell(size, random.Random(seed))
    domains = [f"d{i}" for i in range(size.domains)]
    rv.text = _make_text(size, domains)
    rv.log.append(rec.Published(0, rv.text, token="text"), rv.now_s)
    names = {f"p{i}": domains[i % len(domains)] for i in range(size.processes)}
    for i, (name, domain) in enumerate(names.items()):
        seeds = {one: one for one in names if one != name}
        me = Me(name, "b1", domain, "region", name, name)
        rv.nodes[name] = make_node(me, seed * 1000 + i, seeds, WALL_OFFSET_S)
        rv.log.vms[name] = Vm(name, "entry", domain, "10.0.0.1:8002")
    _add_workers(rv, domains)
    rv.log.set_vm(None, "", rv.now_s - 10.0)
    rv.list_bytes = len(msgspec.json.encode(list(rv.log.vms.values())))
    for name in names:
        _start(rv, name)
    return rv


def _start(cell: SmallCell, name: str) -> None:
    one = cell.nodes[name]
    cell.repeat(TICK_S, lambda: cell.carry_out(name, one.run_timers(cell.now_s)))
    cell.repeat(POLL_S, lambda: cell.poll_log(name))
    cell.repeat(VMS_POLL_S, lambda: cell.poll_vms(name))


def _add_workers(cell: SmallCell, domains: list[str]) -> None:
    size = cell.size
    for i in range(size.workers):
        name, domain = f"w{i}", domains[i % len(domains)]
        cell.log.vms[name] = Vm(
            name, "worker", domain, "10.0.0.1:8100", f"{domain}-r{i % 7}",
            "region", room=WORKER_ROOM,
        )  # fmt: skip
        cell.running[name] = {}
    for i in range(size.tasks):
        info = TaskInfo(
            f"old.{i}", f"t{i % size.teams}", "s0", "small", Policy.REQUEST, TASK_ROOM
        )
        cell.running[f"w{i % size.workers}"][info.task_id] = info


def _make_text(size: CellSize, domains: list[str]) -> dict[str, t.Any]:
    limit = max(2 * SLOTS * size.workers // size.teams, 8 * len(domains))
    return {
        "cell": "capacity",
        "domains": [{"name": one, "region": "region"} for one in domains],
        "teams": [
            {"name": f"t{i}", "share": 1, "limit_tasks": limit}
            for i in range(size.teams)
        ],
        "services": [
            {
                "name": f"s{i}",
                "team": f"t{i % size.teams}",
                "kinds": [{"name": "small", "size": "small", "run_time_s": RUN_TIME_S}],
            }
            for i in range(max(size.teams // 2, 1))
        ],
    }


def run_load(cell: SmallCell, duration_s: float) -> None:
    """Let time pass with the starts and changes that the size names."""
    due = []
    for per_s, action in (
        (cell.size.starts_per_s, cell.submit),
        (cell.size.changes_per_h / 3600.0, cell.change),
    ):
        at_s = cell.rng.expovariate(per_s) if per_s else duration_s
        while at_s < duration_s:
            due.append((at_s, action))
            at_s += cell.rng.expovariate(per_s)
    for at_s, action in due:
        cell.later(at_s, action)
    cell.advance(duration_s)


# Instruments: processor time by role, and the size of state.


def instrument() -> collections.Counter[str]:
    """Time each handler and timer by its role; returns the counter of seconds."""
    usage: collections.Counter[str] = collections.Counter()
    stack: list[float] = []

    def wrap(func: t.Callable[..., t.Any]) -> t.Callable[..., t.Any]:
        module = func.__module__.rpartition(".")[2]
        role = _ROLE_OF.get(module, module)

        @functools.wraps(func)
        def timed(*args: t.Any) -> t.Any:
            stack.append(0.0)
            began_s = time.thread_time()
            try:
                return func(*args)
            finally:
                took_s = time.thread_time() - began_s
                usage[role] += took_s - stack.pop()
                if stack:
                    stack[-1] += took_s

        return timed

    handlers = node._handlers()
    node._handlers.cache = {  # type: ignore[attr-defined]
        key: [wrap(one) for one in funcs] for key, funcs in handlers.items()
    }
    timers = plugins._registry["core.timer"]
    for name, (period_s, func) in list(timers.items()):
        timers[name] = (period_s, wrap(func))
    return usage


def deep_bytes(value: t.Any, seen: set[int]) -> int:
    """Sum up the memory of a value and all that it holds."""
    todo, total = [value], 0
    while todo:
        one = todo.pop()
        if id(one) in seen or isinstance(one, type) or callable(one):
            continue
        seen.add(id(one))
        total += sys.getsizeof(one)
        if isinstance(one, dict):
            todo += [*one.keys(), *one.values()]
        elif isinstance(one, list | tuple | set | frozenset | collections.deque):
            todo += list(one)
        elif isinstance(one, msgspec.Struct):
            todo += [getattr(one, name) for name in one.__struct_fields__]
        elif dataclasses.is_dataclass(one):
            todo += [getattr(one, x.name) for x in dataclasses.fields(one)]
    return total


def state_bytes(cell: SmallCell) -> float:
    """Return the memory of the state of one process, on average."""
    sizes = [deep_bytes(one.states, set()) for one in cell.nodes.values()]
    return sum(sizes) / len(sizes)


def is_in_force(cell: SmallCell) -> bool:
    """Tell whether every process has the text."""
    return all(cell_of(one).version > 0 for one in cell.nodes.values())
