"""A cell of real entry processes beside stand-ins that run in this process."""

import asyncio
import dataclasses
import json
import os
import pathlib
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
    fetch,
    fetch_response,
)
from bulrushspur_standins.advice import AdviceStandin
from bulrushspur_standins.store import StoreStandin
from bulrushspur_standins.worker import RunOracle, WorkerStandin

READY_TIMEOUT_S: t.Final = 15.0


def free_port() -> int:
    """Find a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@dataclasses.dataclass
class EntryProcess:
    """An entry process with its settings; ``process`` is None while it is down."""

    name: str
    settings: dict[str, t.Any]
    folder: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    start_count: int = 0

    @property
    def address(self) -> str:
        """Return where callers reach it."""
        return self.settings["callers_address"]

    async def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        log = self.folder / f"{self.name}-{self.start_count}.log"
        self.start_count += 1
        with open(log, "wb") as file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bulrushspur_daemon",
                str(path),
                stdout=file,
                stderr=file,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process that was started here."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_exit(self, wait_s: float = 8.0) -> None:
        """Wait until the process has ended; kill it if it does not."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.process = None

    def read_log_rows(self) -> list[dict[str, t.Any]]:
        """Return all structured lines that the process wrote."""
        rows = []
        for path in sorted(self.folder.glob(f"{self.name}-*.log")):
            for line in path.read_bytes().splitlines():
                if line.startswith(b"{"):
                    rows.append(msgspec.json.decode(line))
        return rows


class ProcessCluster:
    """Stand-ins, and entry processes as processes of their own."""

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bulrushspur-"))
        self.store = StoreStandin()
        self.advice = AdviceStandin()
        self.oracle = RunOracle()
        self.workers: list[WorkerStandin] = []
        self.entries: list[EntryProcess] = []

    async def start(
        self, entries: int, workers: int, interface: str, config: t.Any = None
    ) -> None:
        """Start all and wait until requests are served."""
        self.store_address = await self.store.start()
        self.advice_address = await self.advice.start()
        if config is not None:
            self.store.put("keyed.op", "config", msgspec.json.encode(config))
        for index in range(workers):
            await self.add_worker(f"w{index}")
        for index in range(entries):
            self.entries.append(self.make_entry(f"n{index}", interface))
        await asyncio.gather(*(one.start() for one in self.entries))

    async def add_worker(self, name: str, **fields: t.Any) -> WorkerStandin:
        """Start a worker and register it."""
        worker = WorkerStandin(name, oracle=self.oracle, **fields)
        await worker.start()
        self.workers.append(worker)
        self.store.put("keyed.servers", name, worker.encode_entry())
        return worker

    def make_entry(self, name: str, interface: str) -> EntryProcess:
        """Make the settings of an entry process."""
        addresses = [f"127.0.0.1:{free_port()}" for _ in range(4)]
        settings = {
            "name": name,
            "domain": "north",
            "callers_address": addresses[0],
            "ready_address": addresses[1],
            "peers_address": addresses[2],
            "operators_address": addresses[3],
            "store_address": self.store_address,
            "advice_address": self.advice_address,
            "interface": interface,
        }
        return EntryProcess(name, settings, self.folder)

    async def wait_ready(self, wait_s: float = READY_TIMEOUT_S) -> None:
        """Wait until each running process takes new connections."""
        until_s = time.monotonic() + wait_s
        for entry in self.entries:
            while entry.process is not None:
                try:
                    address = entry.settings["ready_address"]
                    status, _ = await fetch("GET", address, "/-/ready", timeout_s=1.0)
                    if status == 200:
                        break
                except (NotSentError, ResponseLostError):
                    pass
                if time.monotonic() > until_s:
                    raise TimeoutError(f"{entry.name} is not ready")
                await asyncio.sleep(0.05)

    async def find_leader(self) -> EntryProcess | None:
        """Find the process that leads."""
        for entry in self.entries:
            if entry.process is None:
                continue
            try:
                address = entry.settings["operators_address"]
                _, body = await fetch("GET", address, "/status", timeout_s=1.0)
            except (NotSentError, ResponseLostError):
                continue
            if msgspec.json.decode(body)["leads"]:
                return entry
        return None

    async def call(
        self,
        entry: EntryProcess,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: t.Any = None,
        wait_s: float = 4.0,
        host: str = "",
    ) -> t.Any:
        """Make a caller's request; None where no whole answer came."""
        data = msgspec.json.encode(body) if body is not None else b""
        try:
            return await fetch_response(
                method, entry.address, path, data, headers, wait_s, host
            )
        except (NotSentError, ResponseLostError):
            return None

    async def stop(self) -> None:
        """End what was started here."""
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            entry.send_signal(signal.SIGTERM)
        await asyncio.gather(*(one.wait_exit() for one in self.entries))
        for worker in self.workers:
            await worker.stop()
        for one in (self.store, self.advice):
            if one.server is not None:
                await one.server.close(0.0)


def client_environment(cell: ProcessCluster) -> dict[str, str]:
    """Return the environment of the operators' client for a cell."""
    return {**os.environ, "BULRUSHSPUR_STORE": cell.store_address}
