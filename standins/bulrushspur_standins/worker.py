"""Simulate a worker, and record violations of what the scheduler guarantees.

Takes start orders, stop orders and lease renewals over HTTP. Answers with its clock;
the answer to a renewal also lists the runs, and the ends not acknowledged yet. A run
ends with the outcome of its work model, by a stop order, or when the worker's lease
expires. A run with the outcome crash ends the incarnation without a word; the next one
starts after ``down_s``. Requests with a fencing token below the highest one seen are
refused. All orders are recorded with what was told, and so are capacities, checkpoints,
ends, and when a leader took note of them. One thing is checked here: a task that has
crashed three workers starts twice more at most.
"""

import asyncio
import dataclasses
import random
import time
import typing as t

import msgspec

from bulrushspur_kernel.http_exchange import Request
from bulrushspur_kernel.http_server import HttpServer
from bulrushspur_standins.runs import (
    RunOracle,
    WorkerRun,
    WorkModel,
    save_interval_from_payload,
    work_from_payload,
)
from bulrushspur_standins.serving import (
    Faults,
    StatusAndBody,
    find_arrival_s,
    json_answer,
    leave_unanswered,
    make_server,
)

CLOCK_START_MS: t.Final = 1000
# A longer lease is shortened to this.
MAX_LEASE_MS: t.Final = 10_000
CRASH: t.Final = "crash"
# A task under which so many workers have crashed may start so many times more.
CRASHES_BEFORE_LIMIT: t.Final = 3
MAX_FURTHER_STARTS: t.Final = 2


@dataclasses.dataclass
class WorkerStandin:
    """Serve a worker, one incarnation after the other.

    ``lease_until_ms`` is in terms of the worker's own clock, which starts at
    ``clock_start_ms``, and at ``next_clock_start_ms`` in the next incarnations; one
    lease covers all runs. ``unacknowledged_ends`` has rows of
    sequence number, task, run number, outcome and checkpoint.
    """

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
    # When the lease lapsed last, on the worker's clock.
    lapsed_ms: int = 0
    running: dict[tuple[str, int], WorkerRun] = dataclasses.field(default_factory=dict)
    highest_run_numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    unacknowledged_ends: list[list[t.Any]] = dataclasses.field(default_factory=list)
    last_end_sequence: int = 0
    # By the sequence number of an end, on the worker's clock.
    ended_ms: dict[int, int] = dataclasses.field(default_factory=dict)
    started_s: float = dataclasses.field(default_factory=time.monotonic)
    incarnation_start_ms: int = dataclasses.field(
        default_factory=lambda: int(time.time() * 1000)
    )
    end_added: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    server: HttpServer | None = None
    tick_task: asyncio.Task[None] | None = None
    restart_task: asyncio.Task[None] | None = None
    address: str = ""
    alive: bool = True
    # After a crash the next incarnation starts, under a new id if ``renamed`` is set.
    down_s: float = 0.5
    renamed: bool = True
    # The next incarnation listens at another address.
    moved: bool = False
    on_restart: t.Callable[["WorkerStandin", str], None] = lambda worker, old_id: None
    machine: str = ""
    incarnation_count: int = 1
    clock_start_ms: int = CLOCK_START_MS
    next_clock_start_ms: int = CLOCK_START_MS
    # Set while an incarnation is up.
    is_up: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def start(self, port: int = 0) -> str:
        """Listen at a port of 127.0.0.1, or a free one, and return the address."""
        self.machine = self.machine or self.id
        await self._listen(port)
        return self.address

    async def _listen(self, port: int) -> None:
        self._record("capacity", from_s=self.started_s, cpu_milli=self.cpu_milli)
        if not self._has_kept_connections():
            self.server = make_server(
                self._handle, self.faults, self.rng, self._find_incarnation
            )
            await self.server.listen("127.0.0.1", port)
            self.address = f"127.0.0.1:{self.server.port}"
        self.tick_task = asyncio.create_task(self._tick_loop())
        self.is_up.set()

    def _has_kept_connections(self) -> bool:
        """Return whether the former incarnation has left its server open."""
        if self.server is None or self.server.server is None:
            return False
        return self.server.server.is_serving()

    def _find_incarnation(self) -> int | None:
        return self.incarnation_count if self.alive else None

    async def stop(self) -> None:
        """Simulate a crash: all runs end without a report."""
        self._end_incarnation()
        for task in (self.tick_task, self.restart_task):
            if task is not None:
                task.cancel()
        if self.server is not None:
            await self.server.close(0.0)

    def _end_incarnation(self) -> None:
        self.alive = False
        self.is_up.clear()
        for run in list(self.running.values()):
            self.oracle.running_on.pop(run.task, None)
        self.running.clear()
        self._record("incarnation_end", ended_s=time.monotonic())

    def _record(self, kind: str, **fields: t.Any) -> None:
        """Record what this incarnation was told or did."""
        incarnation = self.incarnation_start_ms
        self.oracle.record(kind, worker=self.id, incarnation=incarnation, **fields)

    def crash(self) -> None:
        """Reset all connections, and start the next incarnation after ``down_s``.

        Connections that the faults keep stay open.
        """
        for task in {run.task for run in self.running.values()}:
            self.oracle.lost_counts[task] = self.oracle.lost_counts.get(task, 0) + 1
        self._end_incarnation()
        assert self.server is not None
        assert self.server.server is not None
        port = self.server.port
        if not self.faults.keeps_connections:
            self.server.server.close()
            for task in list(self.server.connection_tasks):
                task.cancel()
        self.restart_task = asyncio.create_task(self._restart(port))

    async def _restart(self, port: int) -> None:
        await asyncio.sleep(self.down_s)
        old_id = self.id
        self.incarnation_count += 1
        if self.renamed:
            self.id = f"{self.machine}-{self.incarnation_count}"
        self.fence = self.lease_until_ms = self.last_end_sequence = self.lapsed_ms = 0
        self.ended_ms.clear()
        self.highest_run_numbers.clear()
        self.unacknowledged_ends.clear()
        self.clock_start_ms = self.next_clock_start_ms
        self.started_s = time.monotonic()
        self.incarnation_start_ms = int(time.time() * 1000)
        self.alive = True
        await self._listen(0 if self.moved else port)
        self.on_restart(self, old_id)

    def resize(self, cpu_milli: int) -> None:
        """Change the CPU; what runs goes on."""
        self.cpu_milli = cpu_milli
        self._record("capacity", from_s=time.monotonic(), cpu_milli=cpu_milli)

    def encode_entry(self, state: str = "ready") -> bytes:
        """Encode the worker's entry for the store."""
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
                "machine": self.machine,
                "clock_ms": self.clock_ms(),
                "sequence": 1,
                "born": self.incarnation_start_ms,
            }
        )

    def clock_ms(self, now_s: float | None = None) -> int:
        """Return the worker's own clock in milliseconds, by which leases expire."""
        now_s = time.monotonic() if now_s is None else now_s
        return self.clock_start_ms + int((now_s - self.started_s) * 1000)

    async def _tick_loop(self) -> None:
        while self.alive:
            await asyncio.sleep(0.01)
            self._advance()

    def _advance(self) -> None:
        """End the runs whose work is done or whose lease has expired."""
        now_s = time.monotonic()
        # Work that was done before the lease expired keeps its own outcome, also when
        # a late tick finds it after that.
        lease_ms = self.lease_until_ms - self.clock_start_ms
        lease_end_s = self.started_s + lease_ms / 1000
        for run in list(self.running.values()):
            self._save_progress(run, min(now_s, lease_end_s))
            if run.end_s <= min(now_s, lease_end_s):
                if run.outcome == CRASH:
                    counts = self.oracle.crash_counts
                    counts[run.task] = counts.get(run.task, 0) + 1
                    self.crash()
                    return
                self._end_run(run, run.outcome, run.end_s)
        if now_s > lease_end_s:
            for run in list(self.running.values()):
                self._end_run(run, "lapsed", lease_end_s)

    def _save_progress(self, run: WorkerRun, now_s: float) -> None:
        """Make the checkpoints that are due."""
        while run.next_save_s <= min(now_s, run.end_s):
            self._make_checkpoint(run, run.next_save_s)
            run.next_save_s += run.save_interval_s

    def _make_checkpoint(self, run: WorkerRun, now_s: float) -> None:
        run.saved = self.oracle.make_checkpoint(run.worked_s + now_s - run.began_s)
        self.oracle.record(
            "checkpoint",
            task=run.task,
            number=run.number,
            value=run.saved,
            produced_s=now_s,
        )

    def _end_run(self, run: WorkerRun, outcome: str, ended_s: float) -> None:
        self.running.pop((run.task, run.number), None)
        self.oracle.running_on.pop(run.task, None)
        self._refuse_runs_upto(run.task, run.number)
        if outcome == "failed":
            self.oracle.failed_runs.setdefault(run.task, set()).add(run.number)
        self._record(
            "end", task=run.task, number=run.number, outcome=outcome, ended_s=ended_s
        )
        self.last_end_sequence += 1
        self.ended_ms[self.last_end_sequence] = self.clock_ms(ended_s)
        self.unacknowledged_ends.append(
            [self.last_end_sequence, run.task, run.number, outcome, run.saved]
        )
        self.end_added.set()
        self.end_added = asyncio.Event()

    def _refuse_runs_upto(self, task: str, number: int) -> None:
        """Refuse later starts of a task whose run number is not higher.

        Only a run that ended or was stopped bars them, not one that goes on.
        """
        highest = self.highest_run_numbers.get(task, 0)
        self.highest_run_numbers[task] = max(highest, number)

    async def _handle(self, request: Request, body: bytes) -> StatusAndBody:
        self._advance()
        if not self.alive:
            if not self.faults.keeps_connections:
                return json_answer(503)
            await self.is_up.wait()
        incarnation = self.incarnation_count
        answer = await self._carry_out(request, body)
        if incarnation != self.incarnation_count or not self.alive:
            # The incarnation that took the request has ended meanwhile.
            await leave_unanswered()
        return answer

    async def _carry_out(self, request: Request, body: bytes) -> StatusAndBody:
        expected_id = request.headers.get("bulrushspur-expect-instance", self.id)
        if expected_id != self.id:
            return json_answer(421)
        data = msgspec.json.decode(body) if body else {}
        if data.get("fence", 0) < self.fence:
            if request.path == "/-/run-start":
                self._record_order(data, 0, False)
            return self._refuse("fence")
        self.fence = max(self.fence, data.get("fence", 0))
        if request.path == "/-/run-start":
            return self._start_run(data)
        if request.path == "/-/run-stop":
            return self._stop_run(data)
        if request.path == "/-/hold":
            return await self._renew_lease(data)
        return json_answer(404)

    def _refuse(self, reason: str) -> StatusAndBody:
        return json_answer(409, {"clock_ms": self.clock_ms(), "reason": reason})

    def _record_order(
        self, data: dict[str, t.Any], cpu_milli: int, is_started: bool
    ) -> None:
        """Record what a start order told, and whether a run was started on it."""
        now_s = time.monotonic()
        self._record(
            "start",
            task=data["task"],
            number=data["run"],
            payload=data["spec"],
            checkpoint=data.get("checkpoint", ""),
            term=data.get("fence", 0),
            told_s=now_s,
            arrived_s=find_arrival_s(now_s),
            cpu_milli=cpu_milli,
            is_started=is_started,
        )

    def _extend_lease(self, until_ms: int) -> None:
        clock_ms = self.clock_ms()
        if clock_ms > self.lease_until_ms:
            self.lapsed_ms = self.lease_until_ms
        granted_until_ms = min(until_ms, clock_ms + MAX_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, granted_until_ms)

    def _start_run(self, data: dict[str, t.Any]) -> StatusAndBody:
        refusal = self._find_refusal(data)
        is_there = (data["task"], data["run"]) in self.running
        if refusal or is_there:
            self._record_order(data, 0, False)
        if refusal:
            return self._refuse(refusal)
        if not is_there:
            self._add_run(data)
        return json_answer(200, {"clock_ms": self.clock_ms()})

    def _find_refusal(self, data: dict[str, t.Any]) -> str:
        """Return why a start is refused, or an empty text; it may extend the lease."""
        task, number = data["task"], data["run"]
        if (task, number) in self.running:
            return ""
        if data["until_ms"] <= self.clock_ms():
            return "late"
        self._extend_lease(data["until_ms"])
        return "old" if number <= self.highest_run_numbers.get(task, 0) else ""

    def _add_run(self, data: dict[str, t.Any]) -> None:
        """Start a run; with a checkpoint it goes on from there."""
        task, number, checkpoint = data["task"], data["run"], data.get("checkpoint", "")
        cpu_milli, run_time_s, outcome = self.work_model(task, data["spec"])
        self._record_order(data, cpu_milli, True)
        self._check_start(task, number)
        now_s, worked_s = (
            time.monotonic(),
            self.oracle.saved_work_s.get(checkpoint, 0.0),
        )
        end_s = now_s + max(run_time_s - worked_s, 0.0)
        run = WorkerRun(task, number, cpu_milli, end_s, outcome, now_s)
        run.saved, run.worked_s = checkpoint, worked_s
        run.save_interval_s = save_interval_from_payload(data["spec"])
        if run.save_interval_s:
            run.next_save_s = now_s + run.save_interval_s
        self.running[task, number] = run
        self.oracle.running_on[task] = self.id
        self.oracle.starts.append((now_s, task, number, self.id))

    def _check_start(self, task: str, number: int) -> None:
        if self.oracle.crash_counts.get(task, 0) >= CRASHES_BEFORE_LIMIT:
            further_starts = self.oracle.further_starts.get(task, 0) + 1
            self.oracle.further_starts[task] = further_starts
            if further_starts > MAX_FURTHER_STARTS:
                self.oracle.violations.append(
                    f"{task} run {number} starts after {CRASHES_BEFORE_LIMIT} crashes "
                    f"for the {further_starts}. time"
                )

    def _stop_run(self, data: dict[str, t.Any]) -> StatusAndBody:
        task, number = data["task"], data["run"]
        # A start order with this number may arrive later: it must be refused.
        self._refuse_runs_upto(task, number)
        now_s = time.monotonic()
        self.oracle.record(
            "stop",
            task=task,
            number=number,
            worker=self.id,
            told_s=now_s,
            term=data.get("fence", 0),
        )
        run = self.running.get((task, number))
        if run is not None:
            if run.save_interval_s:
                self._make_checkpoint(run, now_s)
            self._end_run(run, "stopped", now_s)
        return json_answer(200, {"clock_ms": self.clock_ms()})

    def _record_notes(self, acknowledged_upto: int) -> None:
        """Record which ends the leader has taken note of."""
        lease_expired = self.clock_ms() > self.lease_until_ms
        for sequence, task, number, *_ in self.unacknowledged_ends:
            if sequence <= acknowledged_upto:
                self._record(
                    "note",
                    task=task,
                    number=number,
                    noted_s=time.monotonic(),
                    is_void=lease_expired or self.lapsed_ms >= self.ended_ms[sequence],
                )

    async def _renew_lease(self, data: dict[str, t.Any]) -> StatusAndBody:
        """Extend the lease, drop acknowledged ends, and report runs and ends."""
        until_ms = data.get("until_ms")
        if until_ms is not None and self.running:
            self._extend_lease(until_ms)
        acknowledged_upto = data.get("seen_upto", 0)
        self._record_notes(acknowledged_upto)
        self.unacknowledged_ends = [
            row for row in self.unacknowledged_ends if row[0] > acknowledged_upto
        ]
        wait_s = data.get("wait_ms", 0) / 1000
        if wait_s and not self.unacknowledged_ends:
            try:
                async with asyncio.timeout(wait_s):
                    await self.end_added.wait()
            except TimeoutError:
                pass
        rows = [
            [run.task, run.number, run.saved, 100, 0] for run in self.running.values()
        ]
        return json_answer(
            200,
            {
                "clock_ms": self.clock_ms(),
                "running": rows,
                "ended": self.unacknowledged_ends[:500],
                "born": self.incarnation_start_ms,
            },
        )
