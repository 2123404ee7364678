"""Run the project's entry processes, as the deploy file starts them, for a review.

The store is the project's stand-in. The workers here are small stand-ins that do what
the platform's protocol page says of a worker: fencing, leases by their own clock, run
numbers, ends that are listed until they are seen. All that is sent, answered and run is
written to ``record.txt`` in the folder of the case.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import typing as t

import msgspec

from bulrushspur_kernel.http_client import (
    NotSentError,
    ResponseLostError,
    fetch_response,
)
from bulrushspur_kernel.http_exchange import CallerDisconnectedError, Request
from bulrushspur_kernel.http_server import HttpServer
from bulrushspur_standins.machines import MachinesStandin
from bulrushspur_standins.serving import Faults, StatusAndBody, json_answer, make_server
from bulrushspur_standins.store import StoreStandin

ROOT: t.Final = pathlib.Path(__file__).resolve().parents[2]
HOST: t.Final = "shop.example"
API_KEY: t.Final = "key-of-school"
SERVICE: t.Final = "coursework"
ZONES: t.Final = ("peak-edge", "cotswold-north", "charnwood", "malvern")
# As on the sheet of the Drystone deployment.
HEARTBEAT_S: t.Final = 1.5
STOP_MS: t.Final = 900
# A script may run for 120 s.
TIMEOUT_S: t.Final = 110.0
GANG_MS: t.Final = 3000
MAX_HOLD_MS: t.Final = 10_000
CAPACITY: t.Final = {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
CONFIG: t.Final = {
    "version": 7,
    "routes": [
        {
            "name": "r-assess",
            "host": HOST,
            "path_prefix": "/assess/",
            "kind": "unsafe",
            "timeout_ms": 3000,
            "target_latency_ms": 1000,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 4,
            "stretch": 2.2,
            "public": False,
        },
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "admission_check": False,
            "spare": False,
        }
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 262_144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    },
    "tenants": [
        {
            "name": "school",
            "api_keys": [API_KEY],
            "priority": 1,
            "weight": 50,
            "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0},
        }
    ],
}


class Record:
    """The lines of ``record.txt``, with the time since the start of the script."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.began_s = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def write(self, line: str) -> None:
        """Write a line."""
        self.file.write(f"{time.monotonic() - self.began_s:8.3f} {line}\n")
        self.file.flush()


@dataclasses.dataclass
class Run:
    """A run on a worker; ``ended_s`` is infinite while it goes on."""

    task: str
    number: int
    worker: str
    began_s: float
    done_s: float
    outcome: str
    ended_s: float = float("inf")
    how: str = ""
    seen_s: float = float("inf")
    # Its worker runs it under a lease that lapsed before its end was seen.
    sequence: int = 0


class Worker:
    """A worker: one life, without a disk, whose lease is by its own clock."""

    def __init__(
        self,
        name: str,
        zone: str,
        rack: str,
        cell: "Cell",
        machine: str = "",
        capacity: dict[str, int] = CAPACITY,
    ) -> None:
        self.id = name
        self.zone = zone
        self.rack = rack
        self.machine = machine or f"m-{name}"
        self.capacity = capacity
        self.cell = cell
        self.began_s = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.fence = 0
        self.until_ms = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list[t.Any]] = []
        self.ended_runs: dict[int, Run] = {}
        self.end_count = 0
        self.ended = asyncio.Event()
        self.address = ""
        self.tasks: list[asyncio.Task[None]] = []
        self.server: HttpServer | None = None
        self.faults = Faults()

    async def start(self) -> None:
        """Listen on a free port and register."""
        self.server = make_server(self.handle, self.faults, random.Random(1))
        await self.server.listen("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.port}"
        self.tasks.append(asyncio.create_task(self._watch()))
        entry = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "machine": self.machine,
            "clock_ms": self.clock_ms(),
            "sequence": 1,
            "born": self.born_ms,
        }
        self.cell.store.put("keyed.servers", self.id, msgspec.json.encode(entry))
        self.cell.machines.worker_by_machine[self.machine] = self.id
        self.cell.record.write(f"{self.id} registers, on machine {self.machine}")

    async def crash(self) -> None:
        """End for good, without a word; the entry lapses after three heartbeats."""
        self.cell.record.write(f"{self.id} crashes with {sorted(self.runs)}")
        self.faults.down = True
        for run in self.runs.values():
            run.ended_s, run.how = time.monotonic(), "crashed"
        self.runs.clear()
        for task in self.tasks:
            task.cancel()
        del self.cell.machines.worker_by_machine[self.machine]
        loop = asyncio.get_running_loop()
        loop.call_later(
            3 * HEARTBEAT_S, self.cell.store.put, "keyed.servers", self.id, b""
        )
        assert self.server is not None
        await self.server.close(0.0)

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return 1000 + int((time.monotonic() - self.began_s) * 1000)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now_s, clock_ms = time.monotonic(), self.clock_ms()
            for run in list(self.runs.values()):
                if now_s >= run.done_s:
                    self._end(run, run.outcome)
                elif clock_ms > self.until_ms:
                    self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.pop((run.task, run.number), None) is None:
            return
        run.ended_s, run.how = time.monotonic(), how
        self.end_count += 1
        run.sequence = self.end_count
        self.ended_runs[self.end_count] = run
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.cell.record.write(f"{self.id} end {run.task} run {run.number} {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, request: Request, body: bytes) -> StatusAndBody:
        """Answer an order or a renewal."""
        if request.headers.get("bulrushspur-expect-instance", self.id) != self.id:
            return json_answer(421)
        if request.path == "/health":
            return json_answer(200)
        data = msgspec.json.decode(body)
        fence = data.get("fence", 0)
        if fence < self.fence:
            return self._refuse(data, request.path, "fence")
        self.fence = fence
        if request.path == "/-/run-start":
            return self._start(data)
        if request.path == "/-/run-stop":
            return self._stop(data)
        if request.path == "/-/hold":
            answer = await self._hold(data)
            if self.faults.down:
                raise CallerDisconnectedError
            return answer
        return json_answer(404)

    def _refuse(self, data: dict[str, t.Any], path: str, why: str) -> StatusAndBody:
        self.cell.record.write(
            f"{self.id} refuses {path} {data.get('task', '')} run {data.get('run', '')}"
            f" fence {data.get('fence', 0)}: {why}"
        )
        return json_answer(409, {"clock_ms": self.clock_ms(), "reason": why})

    def _lease(self, until_ms: int) -> None:
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        self.until_ms = max(self.until_ms, min(until_ms, limit_ms))

    def _start(self, data: dict[str, t.Any]) -> StatusAndBody:
        task, number = data["task"], data["run"]
        if (task, number) in self.runs:
            return json_answer(200, {"clock_ms": self.clock_ms()})
        if data["until_ms"] <= self.clock_ms():
            return self._refuse(data, "/-/run-start", "late")
        self._lease(data["until_ms"])
        if number <= self.highest.get(task, 0):
            return self._refuse(data, "/-/run-start", "old")
        duration_ms, outcome = self.cell.find_work(data["spec"])
        now_s = time.monotonic()
        run = Run(task, number, self.id, now_s, now_s + duration_ms / 1000, outcome)
        self.runs[task, number] = run
        self.cell.runs.append(run)
        self.cell.record.write(
            f"{self.id} start {task} run {number} fence {data['fence']}"
        )
        return json_answer(200, {"clock_ms": self.clock_ms()})

    def _stop(self, data: dict[str, t.Any]) -> StatusAndBody:
        task, number = data["task"], data["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.cell.record.write(
            f"{self.id} stop {task} run {number} fence {data['fence']}"
        )
        run = self.runs.get((task, number))
        if run is not None:
            # A stop may take so long; this is well within it.
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 3000, self._end, run, "stopped")
        return json_answer(200, {"clock_ms": self.clock_ms()})

    async def _hold(self, data: dict[str, t.Any]) -> StatusAndBody:
        if data.get("until_ms") is not None:
            self._lease(data["until_ms"])
        seen = data.get("seen_upto", 0)
        for row in self.ends:
            if row[0] <= seen:
                self.ended_runs[row[0]].seen_s = time.monotonic()
                self.cell.record.write(f"{self.id} seen {row[1]} run {row[2]} {row[3]}")
        self.ends = [row for row in self.ends if row[0] > seen]
        wait_ms = data.get("wait_ms", 0)
        if wait_ms and not self.ends:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self.ended.wait()
            except TimeoutError:
                pass
        rows = [[run.task, run.number, "", 100, 0] for run in self.runs.values()]
        answer = {
            "clock_ms": self.clock_ms(),
            "running": rows,
            "ended": self.ends[:500],
            "born": self.born_ms,
        }
        return json_answer(200, answer)


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, cell: "Cell") -> None:
        self.name = name
        self.folder = cell.folder
        addresses = [f"127.0.0.1:{find_port()}" for _ in range(4)]
        self.front, self.ready, peers, self.operators = addresses
        # The template of the settings, filled in by hand.
        self.settings = {
            "name": name,
            "domain": zone,
            "callers_address": self.front,
            "ready_address": self.ready,
            "peers_address": peers,
            "operators_address": self.operators,
            "store_address": cell.store_address,
            "machines_address": cell.machines_address,
            "adapter": "bulrushspur_platform",
            "cores": 0.537,
            "core_speed": 2,
            "site": {
                "gang_ms": GANG_MS,
                "stop_ms": STOP_MS,
                "early_ms": 250,
                "lease_most_ms": MAX_HOLD_MS,
                "capacity_notice_ms": 3000,
                "status_s": 120,
                "far_factor": 3,
                "save_s": 1,
            },
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        command = ["python3", "-m", "bulrushspur_daemon"]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BULRUSHSPUR_SETTINGS": str(path),
        }
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Cell:
    """A store, workers, entry processes, and a client."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = StoreStandin(append_delay_s=0.004)
        self.machines = MachinesStandin(page_size=200)
        self.machines_address = ""
        self.workers: list[Worker] = []
        self.entries: list[Entry] = []
        self.runs: list[Run] = []
        self.store_address = ""
        # Tells how long a run of a spec works, in milliseconds, and how it ends.
        self.find_work = read_work

    async def start(
        self, entries: int, workers: int, config: dict[str, t.Any] | None = None
    ) -> None:
        """Start all parts, and wait until each entry process is ready."""
        self.store_address = self.store_address or await self.store.start()
        self.machines_address = await self.machines.start()
        self.store.put("keyed.op", "config", msgspec.json.encode(config or CONFIG))
        for index in range(workers):
            zone = ZONES[index % len(ZONES)]
            worker = Worker(f"i-{index:04x}", zone, f"r{index // 6}", self)
            await worker.start()
            self.workers.append(worker)
        for index in range(entries):
            zone = ZONES[index % len(ZONES)]
            entry = Entry(f"front-{zone}-{index}", zone, self)
            self.entries.append(entry)
            await entry.start()
        for entry in self.entries:
            await self.wait_ready(entry)
        self.record.write(f"{entries} entry processes and {workers} workers are ready")

    async def wait_ready(self, entry: Entry, timeout_s: float = 15.0) -> None:
        """Wait until an entry process is ready; raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while await self.ask(entry.ready, "GET", "/-/ready") != 200:
                await asyncio.sleep(0.05)

    async def ask(self, address: str, method: str, path: str) -> int | None:
        """Return the status of a request of the platform, None without an answer."""
        try:
            return (await fetch_response(method, address, path, timeout_s=1.0)).status
        except (NotSentError, ResponseLostError):
            return None

    async def find_leader(self) -> Entry | None:
        """Return the entry process that leads, as it says itself."""
        for entry in self.entries:
            if entry.process is None or entry.process.returncode is not None:
                continue
            try:
                answer = await fetch_response(
                    "GET", entry.operators, "/status", timeout_s=1.0
                )
            except (NotSentError, ResponseLostError):
                continue
            if msgspec.json.decode(answer.body).get("leads"):
                return entry
        return None

    async def call(
        self,
        entry: Entry,
        method: str,
        path: str,
        body: t.Any = None,
        timeout_s: float = 3.0,
        key: str = API_KEY,
        quiet: bool = False,
    ) -> tuple[int, t.Any]:
        """Make a request as a client; the status is 0 without an answer."""
        data = msgspec.json.encode(body) if body is not None else b""
        headers = [
            ("bulrushspur-credential", key),
            ("bulrushspur-deadline-ms", str(round(timeout_s * 1000))),
            ("content-type", "application/json"),
        ]
        status, answer = 0, None
        try:
            response = await fetch_response(
                method, entry.front, path, data, headers, timeout_s, HOST
            )
            status = response.status
            answer = msgspec.json.decode(response.body) if response.body else None
        except (NotSentError, ResponseLostError) as exc:
            answer = str(exc)
        if not quiet:
            self.record.write(
                f"client {method} {path} at {entry.name} -> {status} {answer}"
            )
        return status, answer

    async def stop(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            await entry.end()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def find_overlaps(self) -> list[str]:
        """List pairs of runs of one task that went on at the same time."""
        found = []
        by_task: dict[str, list[Run]] = {}
        for run in self.runs:
            for other in by_task.setdefault(run.task, []):
                if run.began_s < other.ended_s and other.began_s < run.ended_s:
                    until_s = min(run.ended_s, other.ended_s, time.monotonic())
                    found.append(
                        f"{run.task}: run {other.number} on {other.worker} and run "
                        f"{run.number} on {run.worker} both worked for "
                        f"{until_s - run.began_s:.2f} s"
                    )
            by_task[run.task].append(run)
        return found

    def find_late_starts(self) -> list[str]:
        """List starts after a run of the task had ended done, whose end was seen."""
        return [
            f"{run.task}: run {run.number} on {run.worker} began after run "
            f"{other.number} on {other.worker} had ended done"
            for run in self.runs
            for other in self.runs
            if run.task == other.task
            and other.how == "done"
            and other.seen_s < float("inf")
            and run.began_s > other.ended_s
        ]


def read_work(spec: str) -> tuple[int, str]:
    """Return the duration in milliseconds and the outcome that a spec names."""
    duration_ms, outcome = spec.split()[:2]
    return int(duration_ms), outcome


_taken_ports: set[int] = set()


def find_port() -> int:
    """Return a free port of the loopback interface, below those given to clients."""
    while True:
        port = random.SystemRandom().randrange(10_000, 30_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _taken_ports:
            _taken_ports.add(port)
            return port


def has_trouble() -> bool:
    """Return whether the script is to bring the disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: t.Callable[[Cell], t.Awaitable[list[str]]], folder: str) -> t.Never:
    """Run a case; exit with 1 if it returns violations, 0 if not, 2 if it can't run."""

    async def run() -> list[str]:
        cell = Cell(pathlib.Path(folder))
        try:
            async with asyncio.timeout(TIMEOUT_S):
                violations = await case(cell)
            for line in violations:
                cell.record.write(f"BROKEN {line}")
                print(f"broken: {line}")
            return violations
        finally:
            await cell.stop()

    try:
        sys.exit(1 if asyncio.run(run()) else 0)
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        sys.exit(2)
