"""A stand-in of a worker, which counts what must never happen."""

import asyncio
import dataclasses
import random
import time
import typing as t

import msgspec

from bulrushspur_kernel.http_exchange import Request
from bulrushspur_kernel.http_server import HttpServer
from bulrushspur_standins.serving import Faults, StatusAndBody, json_answer, make_server

CLOCK_START_MS: t.Final = 1000


@dataclasses.dataclass
class WorkerRun:
    """A run on the worker; ``end_s`` is when its work is done."""

    task: str
    number: int
    cpu_milli: int
    end_s: float
    outcome: str


@dataclasses.dataclass
class RunOracle:
    """What all workers together saw: for checks across workers."""

    running_on: dict[str, str] = dataclasses.field(default_factory=dict)
    done_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    starts: list[tuple[float, str, int, str]] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)


# Says for a task: its processor use, how long it works, and how it ends.
WorkModel = t.Callable[[str, str], tuple[int, float, str]]


def work_from_payload(task: str, payload: str) -> tuple[int, float, str]:
    """Read ``CPU_MILLI DURATION_MS HOW`` from the payload of a job."""
    parts = payload.split()
    if len(parts) != 3:
        parts = ["1000", "100", "done"]
    return int(parts[0]), int(parts[1]) / 1000, parts[2]


@dataclasses.dataclass
class WorkerStandin:
    """One life of a worker."""

    id: str
    service: str = "coursework"
    zone: str = "north"
    cpu_milli: int = 16_000
    memory_mb: int = 32_768
    labels: tuple[str, ...] = ("a", "r1")
    work_model: WorkModel = work_from_payload
    oracle: RunOracle = dataclasses.field(default_factory=RunOracle)
    faults: Faults = dataclasses.field(default_factory=Faults)
    rng: random.Random = dataclasses.field(default_factory=lambda: random.Random(1))
    fence: int = 0
    lease_until_ms: int = 0
    running: dict[tuple[str, int], WorkerRun] = dataclasses.field(default_factory=dict)
    highest_run_numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    unacknowledged_ends: list[list[t.Any]] = dataclasses.field(default_factory=list)
    last_end_sequence: int = 0
    started_s: float = dataclasses.field(default_factory=time.monotonic)
    incarnation_start_ms: int = dataclasses.field(
        default_factory=lambda: int(time.time() * 1000)
    )
    end_added: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    server: HttpServer | None = None
    tick_task: asyncio.Task[None] | None = None
    address: str = ""
    alive: bool = True

    async def start(self) -> str:
        """Listen and return the address."""
        self.server = make_server(self._handle, self.faults, self.rng)
        await self.server.listen("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.port}"
        self.tick_task = asyncio.create_task(self._tick())
        return self.address

    async def stop(self) -> None:
        """Crash: everything that runs here is over."""
        self.alive = False
        for one in list(self.running.values()):
            self.oracle.running_on.pop(one.task, None)
        self.running.clear()
        if self.tick_task is not None:
            self.tick_task.cancel()
        if self.server is not None:
            await self.server.close(0.0)

    def encode_entry(self, state: str = "ready") -> bytes:
        """Return the worker's entry in the store."""
        return msgspec.json.encode(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": state,
                "cold_left_ms": 0,
                "capacity": {
                    "cpu": self.cpu_milli,
                    "mem_mb": self.memory_mb,
                    "gpu": 0,
                },
                "labels": list(self.labels),
                "clock_ms": self.clock_ms(),
                "sequence": 1,
                "born": self.incarnation_start_ms,
            }
        )

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return CLOCK_START_MS + int((time.monotonic() - self.started_s) * 1000)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self._advance()

    def _advance(self) -> None:
        now_s = time.monotonic()
        # Seen late, work that ended within its lease has ended well all the same.
        lease_end_s = self.started_s + (self.lease_until_ms - CLOCK_START_MS) / 1000
        for one in list(self.running.values()):
            if one.end_s <= min(now_s, lease_end_s):
                self._end(one, one.outcome)
        if now_s > lease_end_s:
            for one in list(self.running.values()):
                self._end(one, "lapsed")

    def _end(self, one: WorkerRun, how: str) -> None:
        self.running.pop((one.task, one.number), None)
        self.oracle.running_on.pop(one.task, None)
        self.last_end_sequence += 1
        self.unacknowledged_ends.append(
            [self.last_end_sequence, one.task, one.number, how, ""]
        )
        self.end_added.set()
        self.end_added = asyncio.Event()

    async def _handle(self, request: Request, body: bytes) -> StatusAndBody:
        if not self.alive:
            return json_answer(503)
        life = request.headers.get("bulrushspur-expect-instance", self.id)
        if life != self.id:
            return json_answer(421)
        data = msgspec.json.decode(body) if body else {}
        if data.get("fence", 0) < self.fence:
            return self._refuse("fence")
        self.fence = max(self.fence, data.get("fence", 0))
        self._advance()
        if request.path == "/-/run-start":
            return self._start(data)
        if request.path == "/-/run-stop":
            return self._stop(data)
        if request.path == "/-/hold":
            return await self._hold(data)
        return json_answer(404)

    def _refuse(self, reason: str) -> StatusAndBody:
        return json_answer(409, {"clock_ms": self.clock_ms(), "reason": reason})

    def _start(self, data: dict[str, t.Any]) -> StatusAndBody:
        task, run = data["task"], data["run"]
        if (task, run) in self.running:
            return json_answer(200, {"clock_ms": self.clock_ms()})
        if data["until_ms"] <= self.clock_ms():
            return self._refuse("late")
        self.lease_until_ms = max(self.lease_until_ms, data["until_ms"])
        if run <= self.highest_run_numbers.get(task, 0):
            return self._refuse("old")
        cpu_milli, lasts_s, how = self.work_model(task, data["spec"])
        self._check_start(task, run, cpu_milli)
        self.highest_run_numbers[task] = run
        one = WorkerRun(task, run, cpu_milli, time.monotonic() + lasts_s, how)
        self.running[task, run] = one
        self.oracle.running_on[task] = self.id
        self.oracle.starts.append((time.monotonic(), task, run, self.id))
        return json_answer(200, {"clock_ms": self.clock_ms()})

    def _check_start(self, task: str, run: int, cpu_milli: int) -> None:
        used = sum(one.cpu_milli for one in self.running.values())
        if used + cpu_milli > self.cpu_milli:
            self.oracle.violations.append(f"{self.id} is overcommitted by {task}")
        if task in self.oracle.running_on:
            other = self.oracle.running_on[task]
            self.oracle.violations.append(f"{task} run {run} runs on {other} too")
        if self.oracle.done_counts.get(task):
            self.oracle.violations.append(f"{task} run {run} starts after it was done")

    def _stop(self, data: dict[str, t.Any]) -> StatusAndBody:
        task, run = data["task"], data["run"]
        self.highest_run_numbers[task] = max(self.highest_run_numbers.get(task, 0), run)
        one = self.running.get((task, run))
        if one is not None:
            self._end(one, "stopped")
        return json_answer(200, {"clock_ms": self.clock_ms()})

    def _note(self, seen: int) -> None:
        """Count ends as noted, unless the lease ran out since."""
        lapsed = self.clock_ms() > self.lease_until_ms
        for position, task, _, how, _ in self.unacknowledged_ends:
            if position <= seen and how == "done" and not lapsed:
                self.oracle.done_counts[task] = self.oracle.done_counts.get(task, 0) + 1

    async def _hold(self, data: dict[str, t.Any]) -> StatusAndBody:
        until_ms = data.get("until_ms")
        if until_ms is not None and self.running:
            self.lease_until_ms = max(self.lease_until_ms, until_ms)
        seen = data.get("seen_upto", 0)
        self._note(seen)
        self.unacknowledged_ends = [
            row for row in self.unacknowledged_ends if row[0] > seen
        ]
        wait_s = data.get("wait_ms", 0) / 1000
        if wait_s and not self.unacknowledged_ends:
            try:
                async with asyncio.timeout(wait_s):
                    await self.end_added.wait()
            except TimeoutError:
                pass
        rows = [[one.task, one.number, "", 100, 0] for one in self.running.values()]
        return json_answer(
            200,
            {
                "clock_ms": self.clock_ms(),
                "running": rows,
                "ended": self.unacknowledged_ends[:500],
                "born": self.incarnation_start_ms,
            },
        )
