"""Run a cell in one event loop for end-to-end tests.

The entry processes are real; workers, store and advice service are stand-ins that take
faults on request. What clients and workers see is recorded and judged by ``oracle``.
"""

import asyncio
import dataclasses
import os
import tempfile
import time

import msgspec

from bench.ports import find_free_port
from bulrushspur_daemon.lifecycle import end_process, listen, make_background_loops
from bulrushspur_daemon.process import make_process
from bulrushspur_kernel.http_client import (
    NotSentError,
    ResponseLostError,
    fetch_response,
)
from bulrushspur_kernel.logs import EventLog, LogSink
from bulrushspur_kernel.settings import Settings, SiteBounds
from bulrushspur_standins.advice import AdviceStandin
from bulrushspur_standins.store import StoreStandin
from bulrushspur_standins.worker import RunOracle, WorkerStandin
from oracle.clients import observe_request
from oracle.observations import Observations
from oracle.rules import find_violations

HOST = "shop.example"
API_KEY = "key-of-school"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "assess",
            "host": HOST,
            "path_prefix": "/assess/",
            "service": "coursework",
            "priority": 1,
            "max_attempts": 3,
            "stretch": 2.0,
            "target_latency_ms": 1000,
        },
        {
            "name": "place",
            "host": HOST,
            "path_prefix": "/place/",
            "service": "coursework",
            "priority": 0,
            "max_attempts": 2,
            "stretch": 1.5,
            "target_latency_ms": 250,
            "advice": {"decide_ms": 10, "each_ms": 0.1, "valid_ms": 2500},
        },
    ],
    "services": [{"name": "coursework", "admission_check": False}],
    "tenants": [
        {
            "name": "school",
            "api_keys": [API_KEY],
            "weight": 20,
            "cap": {"cpu": 100_000, "mem_mb": 0, "gpu": 0},
        }
    ],
}


@dataclasses.dataclass
class InProcessEntry:
    """An entry process with the tasks of its background loops and its log file."""

    process: object
    tasks: list
    log_path: str
    frozen: bool = False

    @property
    def address(self):
        return self.process.settings.callers_address

    async def kill(self):
        """Stop the process as a kill does: without a resignation or other message."""
        process = self.process
        process.election.stopping = True
        if process.term is not None:
            process.term.peers.close()
            process.term.stop("killed by the test")
        await end_process(process, self.tasks)

    def all_events(self):
        with open(self.log_path, "rb") as file:
            return [msgspec.json.decode(line) for line in file if line.strip()]

    def events(self, name):
        return [row for row in self.all_events() if row["event"] == name]


class InProcessCluster:
    """Entry processes, with stand-ins of workers, store and advice service."""

    def __init__(self):
        self.folder = tempfile.mkdtemp()
        self.store = StoreStandin()
        self.advice = AdviceStandin()
        self.observations = Observations()
        self.oracle = RunOracle(self.observations.record)
        self.workers = []
        self.nodes = {}
        self.heartbeats = None
        self.machines_address = ""
        # Settings of each entry process.
        self.node_fields = {}

    async def start(self, nodes=3, workers=4, config=None):
        self.store_address = await self.store.start()
        self.advice_address = await self.advice.start()
        self.publish_config(config or CONFIG)
        for index in range(workers):
            await self.add_worker(f"w{index}")
        for index in range(nodes):
            await self.add_node(f"n{index}")
        await self.wait_leader()

    def publish_config(self, config):
        self.store.put("keyed.op", "config", msgspec.json.encode(config))

    async def add_worker(self, name, **fields):
        worker = WorkerStandin(name, oracle=self.oracle, **fields)
        await worker.start()
        self.workers.append(worker)
        worker.on_restart = self.register_restarted
        self.store.put("keyed.servers", name, worker.encode_entry())
        return worker

    def register_restarted(self, worker, old_id):
        """Register the next incarnation of a worker in place of the last one."""
        if old_id != worker.id:
            self.store.put("keyed.servers", old_id, b"")
        self.store.put("keyed.servers", worker.id, worker.encode_entry())

    async def add_node(self, name, **fields):
        fields = {**self.node_fields, **fields}
        path = os.path.join(self.folder, f"{name}-{time.monotonic_ns()}.log")
        fd = os.open(path, os.O_WRONLY | os.O_CREAT)
        settings = Settings(
            name,
            fields.pop("domain", "north"),
            *(f"127.0.0.1:{find_free_port()}" for _ in range(3)),
            self.store_address,
            advice_address=self.advice_address,
            machines_address=self.machines_address,
            operators_address=f"127.0.0.1:{find_free_port()}",
            site=SiteBounds(status_s=30.0),
            **fields,
        )
        incarnation = os.urandom(4).hex()
        process = make_process(
            settings, EventLog(name, LogSink(fd, 2000.0)), incarnation
        )
        loops = make_background_loops(process, incarnation)
        tasks = [asyncio.create_task(loop) for loop in loops]
        await listen(process)
        node = self.nodes[name] = InProcessEntry(process, tasks, path)
        return node

    def find_leader(self):
        for node in self.nodes.values():
            term = node.process.term
            if term is not None and term.serving and not term.ended:
                return node
        return None

    async def wait_leader(self, wait_s=8.0):
        """Wait until a leader serves and every process knows it and a configuration."""
        await self.wait_for(
            lambda: (
                self.find_leader() is not None
                and all(
                    node.process.leader_client.is_available()
                    and node.process.gateway.has_config
                    for node in self.nodes.values()
                )
            ),
            wait_s,
        )

    async def wait_for(self, condition, wait_s=8.0):
        deadline_s = time.monotonic() + wait_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise AssertionError("condition was not met within the time limit")
            await asyncio.sleep(0.02)

    def find_finishes(self, job):
        """List the ``finish`` events of a job at the processes that live."""
        return [
            row
            for node in self.nodes.values()
            for row in node.events("finish")
            if row["job"] == job
        ]

    def find_violations(self):
        """List what broke a rule so far, as sentences."""
        self.observations.end_at(time.monotonic())
        return self.oracle.violations + list(
            map(str, find_violations(self.observations))
        )

    async def kill(self, node):
        self.observations.record_disruption(
            time.monotonic(), time.monotonic(), "killed"
        )
        del self.nodes[node.process.settings.name]
        await node.kill()

    async def call(self, method, path, body=None, node=None, key=API_KEY, wait_s=3.0):
        node = node or next(iter(self.nodes.values()))
        headers = [("bulrushspur-credential", key)]
        headers.append(("bulrushspur-deadline-ms", str(int(wait_s * 1000))))
        data = msgspec.json.encode(body) if body is not None else b""

        async def send():
            try:
                return await fetch_response(
                    method,
                    node.address,
                    path,
                    data,
                    headers,
                    wait_s + 1,
                    host=HOST,
                )
            except (NotSentError, ResponseLostError):
                return None

        return await observe_request(self.observations, method, path, body, key, send)

    async def submit(self, job, queue="assess", node=None, wait_s=3.0, **fields):
        body = make_job_body(**fields)
        path = f"/{queue}/{job}"
        return await self.call("POST", path, body, node=node, wait_s=wait_s)

    async def fetch_job(self, job, queue="assess", node=None):
        """Return what is told of a job; an HTTP status if not 200, or None."""
        answer = await self.call("GET", f"/{queue}/{job}", node=node)
        if answer is None:
            return None
        if answer.status != 200:
            return answer.status
        return msgspec.json.decode(answer.body)

    async def fetch_job_state(self, job, queue="assess", node=None):
        """Return the state of a job, the HTTP status if not 200, None if unanswered."""
        found = await self.fetch_job(job, queue, node)
        return found["state"] if isinstance(found, dict) else found

    async def wait_job_state(self, job, state, queue="assess", wait_s=10.0, node=None):
        deadline_s = time.monotonic() + wait_s
        while True:
            found = await self.fetch_job_state(job, queue, node)
            if found == state:
                return
            if time.monotonic() > deadline_s:
                raise AssertionError(f"job {job} is {found}, not {state}")
            await asyncio.sleep(0.05)

    async def stop(self):
        """Stop all; raise AssertionError if a rule was broken."""
        violations = self.find_violations()
        for node in list(self.nodes.values()):
            await self.kill(node)
        for worker in self.workers:
            await worker.stop()
        for standin in (self.store, self.advice):
            await standin.server.close(0.0)
        if violations:
            raise AssertionError(f"rules were broken: {violations}")


def make_job_body(
    count=2,
    cpu_milli=1000,
    run_time_ms=100,
    outcome="done",
    steps=None,
    save_ms=0,
    **fields,
):
    """Make the body of a submission; its ``spec`` directs the stand-in workers.

    With ``save_ms`` its tasks make checkpoints, so often.
    """
    spec = f"{cpu_milli} {run_time_ms} {outcome}"
    if save_ms:
        spec += f" {save_ms}"
        fields["checkpointing"] = True
    step = {
        "count": count,
        "cpu": cpu_milli,
        "mem_mb": 100,
        "estimate_ms": run_time_ms,
        **fields,
    }
    return {"spec": spec, "steps": steps or [step]}


def job_id(number):
    return f"{number:016x}"
