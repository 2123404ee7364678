"""Start a small cell: entry processes of the project beside stand-ins of its platform.

The entry processes are started with the command of the deploy file, on loopback
addresses and the real clock. Store, advice service, list of machines and workers are
the project's stand-ins, and run in the process of the case. What is sent, answered and
run is written to ``record.txt``; a case judges it from there.
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
from bulrushspur_standins.machines import MachinesStandin
from bulrushspur_standins.runs import RunOracle
from bulrushspur_standins.store import StoreStandin
from bulrushspur_standins.worker import WorkerStandin

# The scripts are started at the root of the repository.
ROOT: t.Final = pathlib.Path.cwd()
# The command of deploy/system.toml.
COMMAND: t.Final = ("python3", "-m", "bulrushspur_daemon")
HOST: t.Final = "cell.example"
SERVICE: t.Final = "coursework"
ZONES: t.Final = ("peak-edge", "cotswold-north", "charnwood", "malvern")
KEY: t.Final = "key-of-tenant-0"
# Below the ports that systems usually give to outgoing connections.
LISTENING_PORTS: t.Final = (20_000, 32_000)
HEARTBEAT_S: t.Final = 1.5
READY_TIMEOUT_S: t.Final = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """Signal that the case could not be played, so that it says nothing."""


def is_trouble_on() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclasses.dataclass
class Record:
    """The events of a play, in the order in which they happened."""

    path: pathlib.Path
    began_s: float = dataclasses.field(default_factory=time.monotonic)
    rows: list[dict[str, t.Any]] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.path.write_text("")

    def add(self, kind: str, **fields: t.Any) -> dict[str, t.Any]:
        """Add an event; times on the monotonic clock become seconds of the play."""
        for name in [name for name in fields if name.endswith("_s")]:
            fields[name] = round(fields[name] - self.began_s, 3)
        row = {"at": round(time.monotonic() - self.began_s, 3), "kind": kind, **fields}
        self.rows.append(row)
        with open(self.path, "a") as file:
            file.write(json.dumps(row) + "\n")
        return row

    def select(self, kind: str, **fields: t.Any) -> list[dict[str, t.Any]]:
        """List the events of a kind whose fields have the given values."""
        return [
            row
            for row in self.rows
            if row["kind"] == kind
            and all(row.get(name) == value for name, value in fields.items())
        ]


@dataclasses.dataclass
class Entry:
    """An entry process; ``process`` is None while it is not running."""

    name: str
    settings: dict[str, t.Any]
    folder: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    start_count: int = 0

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["BULRUSHSPUR_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.start_count += 1
        log_path = self.folder / f"{self.name}-{self.start_count}.log"
        with open(log_path, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, stdout=log, stderr=log, cwd=ROOT, env=environment
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def read_last_line(self) -> str:
        """Return the last line that the process has written."""
        path = self.folder / f"{self.name}-{self.start_count}.log"
        return (path.read_text(errors="replace").splitlines() or [""])[-1][:300]

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.process = None


def find_free_ports(count: int, taken: t.Container[int]) -> list[int]:
    """Return free ports of 127.0.0.1 that are not taken for another process.

    No outgoing connection gets one of them meanwhile.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*LISTENING_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports and port not in taken:
            ports.append(port)
    return ports


def make_config(version: int = 10, **route_fields: t.Any) -> dict[str, t.Any]:
    """Make a configuration with one route, one service and one tenant."""
    route = {
        "name": "q0",
        "host": HOST,
        "path_prefix": "/q0/",
        "service": SERVICE,
        "priority": 1,
        "max_attempts": 4,
        "stretch": 4.0,
        "target_latency_ms": 1000,
        "timeout_ms": 3000,
        **route_fields,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": SERVICE, "admission_check": False}],
        "tenants": [
            {
                "name": "tenant-0",
                "api_keys": [KEY],
                "weight": 100.0,
                "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0},
            }
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
    }


@dataclasses.dataclass
class Answer:
    """The answer to a caller; status 0 stands for none."""

    status: int
    body: dict[str, t.Any]


class Cell:
    """The entry processes and stand-ins of one play."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = StoreStandin()
        self.machines = MachinesStandin(page_size=100)
        self.oracle = RunOracle(self.record.add)
        self.workers: list[WorkerStandin] = []
        self.entries: list[Entry] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.taken_ports: set[int] = set()
        self.store_address = ""
        self.machines_address = ""

    async def start(
        self,
        config: dict[str, t.Any],
        workers: list[WorkerStandin],
        entry_count: int = 4,
        **site: t.Any,
    ) -> None:
        """Start all parts, and wait until each entry process is ready."""
        self.store_address = await self.store.start()
        self.machines_address = await self.machines.start()
        self.put_config(config)
        for worker in workers:
            await self.add_worker(worker)
        for index in range(entry_count):
            self.entries.append(self._make_entry(index, site))
        await asyncio.gather(*(entry.start() for entry in self.entries))
        self.tasks.append(asyncio.create_task(self._renew_entries()))
        await self.wait_ready()

    def put_config(self, config: dict[str, t.Any]) -> None:
        """Write a configuration as the operator."""
        self.store.put("keyed.op", "config", msgspec.json.encode(config))
        self.record.add("config", version=config["version"])

    async def add_worker(self, worker: WorkerStandin) -> None:
        """Start a worker and register it."""
        worker.oracle = self.oracle
        worker.on_restart = self._register_again
        await worker.start()
        self.workers.append(worker)
        self.register(worker)

    def register(self, worker: WorkerStandin) -> None:
        """Write the entry of a worker, and list its machine."""
        self.store.put("keyed.servers", worker.id, worker.encode_entry())
        self.machines.worker_by_machine[worker.machine] = worker.id

    def unregister(self, worker_id: str) -> None:
        """Remove the entry of a worker."""
        self.store.put("keyed.servers", worker_id, b"")

    def _register_again(self, worker: WorkerStandin, old_id: str) -> None:
        self.record.add(
            "worker_restart", worker=worker.id, old=old_id, labels=list(worker.labels)
        )
        if worker.id != old_id:
            self.unregister(old_id)
        self.register(worker)

    async def _renew_entries(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                if worker.alive:
                    self.register(worker)

    def _make_entry(self, index: int, site: dict[str, t.Any]) -> Entry:
        ports = find_free_ports(4, self.taken_ports)
        self.taken_ports.update(ports)
        callers, ready, peers, operators = (f"127.0.0.1:{port}" for port in ports)
        settings = {
            "name": f"front-{index}",
            "domain": ZONES[index % len(ZONES)],
            "callers_address": callers,
            "ready_address": ready,
            "peers_address": peers,
            "operators_address": operators,
            "store_address": self.store_address,
            "machines_address": self.machines_address,
            "adapter": "bulrushspur_platform",
            "cores": 0.537,
            "core_speed": 2,
            "site": {
                "gang_ms": 3000,
                "stop_ms": 900,
                "early_ms": 250,
                "lease_most_ms": 10000,
                "capacity_notice_ms": 3000,
                "status_s": 120,
                "far_factor": 3,
                "save_s": 1,
                **site,
            },
        }
        return Entry(f"front-{index}", settings, self.folder)

    async def wait_ready(self) -> None:
        """Wait until all entry processes are ready; raises CannotRunError."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        for entry in self.entries:
            while entry.process is not None:
                address = entry.settings["ready_address"]
                if (await fetch("GET", address, "/-/ready")).status == 200:
                    break
                if time.monotonic() > until_s:
                    raise CannotRunError(
                        f"{entry.name} does not become ready; exit code "
                        f"{entry.process.returncode}, log {entry.read_last_line()}"
                    )
                await asyncio.sleep(0.1)

    async def find_leader(self) -> Entry:
        """Return the entry process that leads; raises CannotRunError."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            for entry in self.entries:
                if entry.process is None:
                    continue
                address = entry.settings["operators_address"]
                answer = await fetch("GET", address, "/status")
                if answer.body.get("leads"):
                    return entry
            await asyncio.sleep(0.1)
        raise CannotRunError("no entry process leads")

    async def call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        entry: Entry | None = None,
        key: str = KEY,
        deadline_s: float = 3.0,
    ) -> Answer:
        """Send a request as a client, and record it with its answer."""
        entry = entry or next(e for e in self.entries if e.process is not None)
        sent_s = time.monotonic()
        headers = [
            ("bulrushspur-credential", key),
            ("bulrushspur-deadline-ms", str(round(deadline_s * 1000))),
            ("content-type", "application/json"),
        ]
        data = b"" if body is None else msgspec.json.encode(body)
        address = entry.settings["callers_address"]
        answer = await fetch(method, address, path, data, headers, deadline_s, HOST)
        self.record.add(
            "call",
            entry=entry.name,
            method=method,
            path=path,
            sent_s=sent_s,
            status=answer.status,
            answer=answer.body,
        )
        return answer

    async def submit(
        self, job_id: str, spec: str, steps: list[dict[str, t.Any]], **fields: t.Any
    ) -> None:
        """Submit a job until it is accepted; raises CannotRunError."""
        body = {"spec": spec, "steps": steps, **fields}
        for _ in range(10):
            answer = await self.call("POST", f"/q0/{job_id}", body)
            if answer.status == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRunError(f"job {job_id} is not accepted")

    async def get_state(self, job_id: str) -> str:
        """Return the state of a job, empty if no answer tells it."""
        answer = await self.call("GET", f"/q0/{job_id}")
        return answer.body.get("state", "") if answer.status == 200 else ""

    async def stop(self) -> None:
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            await entry.kill()
        await asyncio.gather(*(worker.stop() for worker in self.workers))
        for standin in (self.store, self.machines):
            if standin.server is not None:
                await standin.server.close(0.0)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def fetch(
    method: str,
    address: str,
    path: str,
    data: bytes = b"",
    headers: list[tuple[str, str]] | None = None,
    timeout_s: float = 2.0,
    host: str = "",
) -> Answer:
    """Send one request; the answer has status 0 if none came."""
    try:
        response = await fetch_response(
            method, address, path, data, headers, timeout_s, host
        )
    except (NotSentError, ResponseLostError) as exc:
        return Answer(0, {"lost": str(exc)})
    try:
        body = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        body = {}
    return Answer(response.status, body if isinstance(body, dict) else {})


def run_case(
    folder: pathlib.Path, play: t.Callable[[Cell], t.Awaitable[list[str]]]
) -> None:
    """Play a case, write its verdict and exit with 0, 1 or 2."""

    async def run() -> int:
        cell = Cell(folder)
        try:
            async with asyncio.timeout(110.0):
                broken = await play(cell)
        except Exception as exc:
            # Whatever the fault of the case, it says nothing of the rule.
            cell.record.add("not_run", reason=repr(exc))
            print(f"could not run: {exc!r}")
            return NOT_RUN
        finally:
            await cell.stop()
        for sentence in broken:
            print(f"broken: {sentence}")
        cell.record.add("verdict", broken=broken, trouble=is_trouble_on())
        print("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
