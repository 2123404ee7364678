"""Carries out what the owner decided on workers: starts, acts, lists, renewals."""

import asyncio
import dataclasses
import time
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_core.authority import may_start
from bulrushspur_core.workers import Workers
from bulrushspur_daemon import worker as adapter
from bulrushspur_daemon.streams import (
    Inflow,
    Outflow,
    StreamBrokenError,
    read_inflow,
    spend_credit,
)
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.http_client import Call, LostError, NotSentError
from bulrushspur_kernel.logs import make_logger

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process

log = make_logger("runner")


@dataclasses.dataclass
class Runner:
    """Tasks of this process that talk to workers."""

    process: "Process"
    pool: adapter.WorkerPool = dataclasses.field(default_factory=adapter.WorkerPool)
    jobs: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def spawn(self, job: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a job in the background."""
        task = asyncio.create_task(job)
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)

    def address(self, worker: str) -> str:
        """Look up the address of a worker."""
        return self.process.node.state(Workers).views[worker].vm.address

    def start_task(self, effect: fx.StartTask) -> None:
        """Start a task and carry its answer to the door."""
        inflow = Inflow()
        self.process.streams.bodies_in[effect.ticket] = inflow
        self.spawn(self._run(effect, inflow))

    def act_on_task(self, effect: fx.ActOnTask) -> None:
        """Stop, checkpoint, throttle or resume a task."""
        self.spawn(self._act(effect))

    def renew_tasks(self, effect: fx.RenewTasks) -> None:
        """Renew the leases of tasks on a worker."""
        self.spawn(self._renew(effect))

    def list_tasks(self, effect: fx.ListTasks) -> None:
        """Ask a worker what it runs."""
        self.spawn(self._list(effect.worker))

    async def _act(self, effect: fx.ActOnTask) -> None:
        await adapter.act(self.address(effect.worker), effect.task_id, effect.action)

    async def _renew(self, effect: fx.RenewTasks) -> None:
        await adapter.renew(
            self.address(effect.worker), effect.task_ids, effect.lease_s
        )

    async def _list(self, worker: str) -> None:
        found = await adapter.list_tasks(self.address(worker))
        if found is None:
            self.process.handle(events.TasksListed(worker, None))
        else:
            self.process.handle(events.TasksListed(worker, found[0], found[1]))

    async def _run(self, effect: fx.StartTask, inflow: Inflow) -> None:
        streams = self.process.streams
        flow = Outflow(streams.bounds.buffer_bytes)
        streams.answers_out[effect.ticket] = flow
        started_s = time.monotonic()
        outcome, status = "lost", 0
        try:
            outcome, status = await self._start_and_relay(effect, inflow, flow)
        finally:
            streams.bodies_in.pop(effect.ticket, None)
            streams.answers_out.pop(effect.ticket, None)
            ended = events.TaskEnded(
                effect.worker,
                effect.task.task_id,
                effect.ticket,
                outcome,
                status,
                time.monotonic() - started_s,
            )
            self.process.handle(ended)

    async def _start_and_relay(
        self, effect: fx.StartTask, inflow: Inflow, flow: Outflow
    ) -> tuple[str, int]:
        address = self.address(effect.worker)
        try:
            call = await self.pool.take(address)
        except NotSentError:
            return "not_started", 0
        # The check belongs to the epoch of the decision and stands right before the
        # send, so that a pause in between is as short as it can be.
        node = self.process.node
        now_s = time.monotonic()
        if not may_start(node, effect.worker, effect.epoch, now_s):
            self.pool.give_back(address, call)
            return "not_started", 0
        try:
            await adapter.send_start(
                call, address, effect.task, effect.work, effect.lease_s
            )
            await self._send_body(call, effect, inflow)
            status = await call.read_head()
            if status == adapter.STARTED_DETACHED:
                await call.read_all()
                return "detached", status
            if status != adapter.ENDED_OK:
                await call.read_all()
                return "failed", status
            await self._relay_answer(call, effect, flow)
        except (LostError, StreamBrokenError):
            call.abort()
            return "lost", 0
        except asyncio.CancelledError:
            call.abort()
            raise
        self.pool.give_back(address, call)
        return "done", status

    async def _send_body(
        self, call: Call, effect: fx.StartTask, inflow: Inflow
    ) -> None:
        process = self.process
        parts = read_inflow(
            inflow,
            effect.ticket,
            True,
            effect.door,
            process.send,
            process.settings.bounds,
        )
        async for data in parts:
            await call.send_body(data)
        await call.end_body()

    async def _relay_answer(
        self, call: Call, effect: fx.StartTask, flow: Outflow
    ) -> None:
        send = self.process.send
        headers = [(k, v) for k, v in call.headers if k == "content-type"]
        send(effect.door, msg.AnswerHead(effect.ticket, call.status, headers))
        async for data in call.chunks():
            await spend_credit(flow, len(data))
            send(effect.door, msg.AnswerChunk(effect.ticket, flow.sequence, data))
            flow.sequence += 1
        send(effect.door, msg.AnswerChunk(effect.ticket, flow.sequence, b"", True))


def make_runner(process: "Process") -> Runner:
    """Make the runner of a process."""
    return Runner(process)
