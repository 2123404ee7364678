"""Stand-in for a worker: runs tasks under leases and counts violations.

Run it as ``python -m bulrushspur_standins.worker --name w1 --address ...``. It takes
everything that it is sent: it counts what must never happen and prevents nothing.
A task sleeps for the run time that its header names and answers with a body that the
request body determines, so that a caller can check that the answer is its own.
"""

import asyncio
import collections
import dataclasses
import hashlib
import random
import time
import typing as t

import fire
import msgspec

from bulrushspur_kernel.http_exchange import CallerGoneError, Exchange, Request
from bulrushspur_kernel.work import Room, TaskInfo
from bulrushspur_standins._serving import send_json, serve

ANSWER_CHUNK_BYTES: t.Final = 16_384
ENDED_KEPT: t.Final = 2000
HISTORY_KEPT: t.Final = 200_000


class TaskHead(msgspec.Struct):
    """What the header ``x-task`` of a start carries."""

    info: TaskInfo
    request_id: str
    lease_s: float
    idempotent: bool = True
    detached: bool = False
    run_time_s: float = 0.0
    answer_bytes: int = 64
    attempt: int = 1


class WorkerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong now."""

    fail_all: bool = False
    slow_factor: float = 1.0
    cut_answers: bool = False
    report_lag_s: float = 0.0


class Ran(msgspec.Struct):
    """When a task ran, on the monotonic clock of this machine; for the oracle.

    ``ended_s`` is None while it runs.
    """

    request_id: str
    team: str
    started_s: float
    ended_s: float | None
    outcome: str


@dataclasses.dataclass
class RunningTask:
    """A task in its room until it ends, is stopped, or its lease lapses."""

    head: TaskHead
    started_s: float
    lease_until_s: float
    stop: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    throttled: bool = False
    checkpointed: bool = False


@dataclasses.dataclass
class Worker:
    """State of the stand-in."""

    name: str
    room: Room
    connections: int
    faults: WorkerFaults = dataclasses.field(default_factory=WorkerFaults)
    running: dict[str, RunningTask] = dataclasses.field(default_factory=dict)
    ended: dict[str, str] = dataclasses.field(default_factory=dict)
    seen_requests: dict[str, int] = dataclasses.field(default_factory=dict)
    violations: dict[str, int] = dataclasses.field(default_factory=dict)
    examples: list[str] = dataclasses.field(default_factory=list)
    leaving: bool = False
    newest_epoch: int = 0
    starts: int = 0
    open_calls: int = 0
    history: collections.deque["Ran"] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=HISTORY_KEPT)
    )
    rng: random.Random = dataclasses.field(default_factory=lambda: random.Random(1))

    def violation(self, kind: str, example: str) -> None:
        """Count something that must never happen."""
        self.violations[kind] = self.violations.get(kind, 0) + 1
        if len(self.examples) < 100:
            self.examples.append(f"{kind}: {example}")

    def start(self, head: TaskHead) -> RunningTask:
        """Start a task, and count what is wrong about it."""
        now_s = time.monotonic()
        task = RunningTask(head, now_s, now_s + head.lease_s)
        info = head.info
        if info.task_id in self.running or info.task_id in self.ended:
            self.violation("same_task_twice", info.task_id)
        if not head.idempotent and head.request_id in self.seen_requests:
            self.violation("same_request_twice", head.request_id)
        if self.leaving:
            self.violation("start_after_leaving", info.task_id)
        if info.epoch < self.newest_epoch:
            self.violation("stale_epoch", f"{info.epoch} < {self.newest_epoch}")
        self.newest_epoch = max(self.newest_epoch, info.epoch)
        self.seen_requests[head.request_id] = 1
        self.running[info.task_id] = task
        self.starts += 1
        used = Room()
        for one in self.running.values():
            used = used.plus(one.head.info.room)
        if not self.room.holds(used):
            self.violation("overcommitted", f"{used} of {self.room}")
        return task

    def end(self, task: RunningTask, outcome: str) -> None:
        """Free the room of a task."""
        task_id = task.head.info.task_id
        if self.running.get(task_id) is task:
            del self.running[task_id]
        self.ended[task_id] = outcome
        head = task.head
        ran = Ran(
            head.request_id, head.info.team, task.started_s, time.monotonic(), outcome
        )
        self.history.append(ran)
        while len(self.ended) > ENDED_KEPT:
            del self.ended[next(iter(self.ended))]

    def list_history(self) -> list[Ran]:
        """List what ran and what runs."""
        now = [
            Ran(one.head.request_id, one.head.info.team, one.started_s, None, "")
            for one in self.running.values()
        ]
        return [*self.history, *now]


async def run_task(worker: Worker, task: RunningTask) -> str:
    """Run a task to its end and return its outcome."""
    left_s = task.head.run_time_s * worker.faults.slow_factor
    if worker.faults.fail_all:
        left_s = min(left_s, 0.01)
    while left_s > 0:
        now_s = time.monotonic()
        if now_s > task.lease_until_s:
            return "lease_lapsed"
        step_s = min(left_s, 0.2, task.lease_until_s - now_s + 0.001)
        try:
            await asyncio.wait_for(task.stop.wait(), step_s)
            return "checkpointed" if task.checkpointed else "stopped"
        except TimeoutError:
            if not task.throttled:
                left_s -= time.monotonic() - now_s
    return "failed" if worker.faults.fail_all else "done"


def make_answer(digest: bytes, size_bytes: int) -> t.Iterator[bytes]:
    """Make the answer that belongs to a request body."""
    head = digest.hex().encode()
    pattern = (head * (ANSWER_CHUNK_BYTES // len(head) + 1))[:ANSWER_CHUNK_BYTES]
    left = max(size_bytes, len(head))
    while left > 0:
        yield pattern[:left]
        left -= len(pattern[:left])


def make_handler(worker: Worker) -> t.Callable[[Request, Exchange], t.Awaitable[None]]:
    """Make the handler of all paths."""

    async def handle(request: Request, exchange: Exchange) -> None:
        worker.open_calls += 1
        if worker.open_calls > worker.connections:
            worker.violation("too_many_connections", str(worker.open_calls))
        try:
            await route(request, exchange)
        finally:
            worker.open_calls -= 1

    async def route(request: Request, exchange: Exchange) -> None:
        parts = request.path.strip("/").split("/")
        if request.method == "POST" and parts[0] == "tasks" and len(parts) == 2:
            await start(request, exchange)
        elif parts == ["tasks"]:
            await list_tasks(exchange)
        elif parts[0] == "tasks" and len(parts) == 3:
            await act(exchange, parts[1], parts[2])
        elif parts == ["renew"]:
            await renew(request, exchange)
        elif parts == ["faults"]:
            body = await request.read_all(65_536)
            worker.faults = msgspec.json.decode(body, type=WorkerFaults)
            await send_json(exchange, worker.faults)
        elif parts == ["leaving"]:
            worker.leaving = True
            await send_json(exchange, {})
        elif parts == ["report"]:
            await report(exchange)
        elif parts == ["history"]:
            await send_json(exchange, worker.list_history())
        else:
            await send_json(exchange, {"error": "no such path"}, 404)

    async def start(request: Request, exchange: Exchange) -> None:
        head = msgspec.json.decode(request.headers["x-task"], type=TaskHead)
        task = worker.start(head)
        try:
            digest = hashlib.sha256()
            async for data in request.chunks():
                digest.update(data)
        except BaseException:
            worker.end(task, "aborted")
            raise
        if head.detached:
            runner = asyncio.create_task(run_detached(task))
            background.add(runner)
            runner.add_done_callback(background.discard)
            await send_json(exchange, {"started": True}, 202)
            return
        outcome = "aborted"
        try:
            outcome = await run_task(worker, task)
        finally:
            worker.end(task, outcome)
        await answer(exchange, head, outcome, digest.digest())

    background: set[asyncio.Task[None]] = set()

    async def run_detached(task: RunningTask) -> None:
        worker.end(task, await run_task(worker, task))

    async def answer(
        exchange: Exchange, head: TaskHead, outcome: str, digest: bytes
    ) -> None:
        if outcome != "done":
            await send_json(exchange, {"outcome": outcome}, 500)
            return
        headers = [(b"content-type", b"application/octet-stream")]
        await exchange.start(200, headers)
        for data in make_answer(digest, head.answer_bytes):
            await exchange.send_data(data)
            if worker.faults.cut_answers:
                raise CallerGoneError
        await exchange.end()

    async def list_tasks(exchange: Exchange) -> None:
        now_s = time.monotonic()
        rows = []
        for task in worker.running.values():
            info = msgspec.structs.replace(task.head.info)
            info.elapsed_s = now_s - task.started_s
            if info.elapsed_s >= worker.faults.report_lag_s:
                info.used_cores = info.room.cores
                info.used_memory_mb = info.room.memory_mb
            rows.append(info)
        await send_json(exchange, {"running": rows, "ended": worker.ended})

    async def act(exchange: Exchange, task_id: str, action: str) -> None:
        task = worker.running.get(task_id)
        if task is None:
            await send_json(exchange, {"error": "no such task"}, 404)
            return
        if action == "throttle":
            task.throttled = True
        elif action == "resume":
            task.throttled = False
        else:
            task.checkpointed = action == "checkpoint"
            task.stop.set()
        await send_json(exchange, {})

    async def renew(request: Request, exchange: Exchange) -> None:
        body = msgspec.json.decode(await request.read_all(4_000_000))
        until_s = time.monotonic() + body["lease_s"]
        missing = []
        for task_id in body["task_ids"]:
            task = worker.running.get(task_id)
            if task is None:
                missing.append(task_id)
            else:
                task.lease_until_s = until_s
        await send_json(exchange, {"missing": missing})

    async def report(exchange: Exchange) -> None:
        await send_json(
            exchange,
            {
                "name": worker.name,
                "starts": worker.starts,
                "running": len(worker.running),
                "violations": worker.violations,
                "examples": worker.examples,
            },
        )

    return handle


def main(
    name: str = "w1",
    address: str = "127.0.0.1:8100",
    slots: int = 8,
    cores: float = 16.0,
    memory_mb: int = 32_768,
    accelerators: int = 0,
    connections: int = 60,
) -> None:
    """Serve the stand-in of one worker."""
    worker = Worker(name, Room(slots, cores, memory_mb, accelerators), connections)
    asyncio.run(serve(address, make_handler(worker)))


if __name__ == "__main__":
    fire.Fire(main)
