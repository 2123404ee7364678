"""Carries out what the owner decided on workers: starts, acts, lists, renewals."""

import asyncio
import dataclasses
import time
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_core.authority import may_start
from bulrushspur_core.promises import TRANSIT_S
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
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.http_client import Call, LostError, NotSentError
from bulrushspur_kernel.logs import make_logger
from bulrushspur_kernel.states import TaskAction, TaskOutcome

if t.TYPE_CHECKING:
    from bulrushspur_daemon.process import Process

log = make_logger("runner")

BODY_AWAITED_S: t.Final = 5.0
ABORT_S: t.Final = 10.0
LAPSE_MARGIN_S: t.Final = 2.0
GONE_STEP_S: t.Final = 0.2


@dataclasses.dataclass
class Runner:
    """Tasks of this process that talk to workers."""

    process: "Process"
    pool: adapter.WorkerPool
    jobs: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    starts: int = 0

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
        inflow = Inflow(effect.door) if effect.door else None
        if inflow is not None:
            self.process.streams.bodies_in[effect.ticket] = inflow
        self.spawn(self._run(effect, inflow))

    def act_on_task(self, effect: fx.ActOnTask) -> None:
        """Ask something of a task that runs."""
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
        asked_s = time.monotonic()
        found = await adapter.list_tasks(self.address(worker))
        if found is None:
            self.process.handle(events.TasksListed(worker, None))
        else:
            self.process.handle(events.TasksListed(worker, found[0], found[1], asked_s))

    async def _run(self, effect: fx.StartTask, inflow: Inflow | None) -> None:
        flow = Outflow(self.process.streams.bounds.buffer_bytes, effect.door)
        self.starts += 1
        started_s = time.monotonic()
        outcome, status = TaskOutcome.LOST, 0
        try:
            outcome, status = await self._with_streams(effect, inflow, flow)
        except Exception as exc:
            log.exception(f"The start of {effect.task.task_id} failed: {exc!r}.")
        finally:
            self.starts -= 1
        if outcome == TaskOutcome.LOST:
            self._tell_lost(effect)
            await self._wait_gone(effect)
        ended = events.TaskEnded(
            effect.worker,
            effect.task.task_id,
            effect.ticket,
            outcome,
            status,
            time.monotonic() - started_s,
        )
        self.process.handle(ended)

    async def _with_streams(
        self, effect: fx.StartTask, inflow: Inflow | None, flow: Outflow
    ) -> tuple[TaskOutcome, int]:
        streams = self.process.streams
        if effect.door:
            streams.answers_out[effect.ticket] = flow
        try:
            return await self._start_and_relay(effect, inflow, flow)
        finally:
            if streams.bodies_in.get(effect.ticket) is inflow:
                streams.bodies_in.pop(effect.ticket, None)
            if streams.answers_out.get(effect.ticket) is flow:
                streams.answers_out.pop(effect.ticket, None)

    def _tell_lost(self, effect: fx.StartTask) -> None:
        # The door is told at once; the room is free only when the task is gone.
        sentence = "The worker was lost before its answer was whole."
        refusal = Refusal(ErrorKind.WORKER_LOST, sentence, Ran.MAYBE)
        if effect.door:
            self.process.send(effect.door, msg.AnswerFailed(effect.ticket, refusal))

    async def _wait_gone(self, effect: fx.StartTask) -> None:
        """Stop a task whose connection was lost, and wait until it is gone.

        A worker that does not answer has let it go when its lease lapsed.
        """
        address, task_id = self.address(effect.worker), effect.task.task_id
        until_s = time.monotonic() + effect.lease_s + LAPSE_MARGIN_S
        while time.monotonic() < until_s:
            await adapter.act(address, task_id, TaskAction.STOP)
            found = await adapter.list_tasks(address)
            if found is not None and all(one.task_id != task_id for one in found[0]):
                return
            await asyncio.sleep(GONE_STEP_S)

    async def _start_and_relay(
        self, effect: fx.StartTask, inflow: Inflow | None, flow: Outflow
    ) -> tuple[TaskOutcome, int]:
        address = self.address(effect.worker)
        try:
            # The door sends the body only while it still wants the answer.
            while inflow is not None and not inflow.begun():
                if inflow.broken:
                    return TaskOutcome.NOT_STARTED, 0
                await inflow.wait(BODY_AWAITED_S)
            call = await self.pool.take(address)
        except (NotSentError, StreamBrokenError):
            return TaskOutcome.NOT_STARTED, 0
        # The check belongs to the epoch of the decision and stands right before the
        # send, so that a pause in between is as short as it can be.
        node = self.process.node
        now_s = time.monotonic()
        if not may_start(node, effect.worker, effect.epoch, now_s):
            self.pool.give_back(address, call)
            return TaskOutcome.NOT_STARTED, 0
        flow.on_break = lambda: self._abort_later(call)
        try:
            await self._send_start(call, address, effect, _whole_body(inflow), now_s)
            rv = await self._exchange(call, effect, inflow, flow)
        except (LostError, StreamBrokenError):
            self.pool.drop(address, call)
            return TaskOutcome.LOST, 0
        except BaseException:
            self.pool.drop(address, call)
            raise
        finally:
            flow.on_break = None
        self.pool.give_back(address, call)
        return rv

    async def _send_start(
        self,
        call: Call,
        address: str,
        effect: fx.StartTask,
        body: bytes | None,
        checked_s: float,
    ) -> None:
        """Write a start; one written too long after its check may meet a successor."""
        try:
            async with asyncio.timeout(TRANSIT_S):
                await adapter.send_start(
                    call, address, effect.task, effect.work, effect.lease_s, body
                )
        except TimeoutError as exc:
            self.process.node.metrics.count("runner.late_start")
            raise LostError("the start could not be written") from exc
        if time.monotonic() - checked_s > TRANSIT_S:
            self.process.node.metrics.count("runner.late_start")
            raise LostError("the start was written too late")

    async def _exchange(
        self,
        call: Call,
        effect: fx.StartTask,
        inflow: Inflow | None,
        flow: Outflow,
    ) -> tuple[TaskOutcome, int]:
        if inflow is not None and not inflow.taken:
            await self._send_body(call, effect, inflow)
        status = await call.read_head()
        if status not in (adapter.ENDED_OK, adapter.STARTED_DETACHED):
            await call.read_all()
            return TaskOutcome.FAILED, status
        await self._relay_answer(call, effect, flow)
        detached = status == adapter.STARTED_DETACHED
        return TaskOutcome.DETACHED if detached else TaskOutcome.DONE, status

    def _abort_later(self, call: Call) -> None:
        # The task was told to stop; a worker that says nothing more is given up.
        asyncio.get_running_loop().call_later(ABORT_S, call.abort_unless_idle)

    async def _send_body(
        self, call: Call, effect: fx.StartTask, inflow: Inflow
    ) -> None:
        process = self.process
        parts = read_inflow(
            inflow, effect.ticket, True, process.send, process.settings.bounds
        )
        async for data in parts:
            await call.send_body(data)
        await call.end_body()

    async def _relay_answer(
        self, call: Call, effect: fx.StartTask, flow: Outflow
    ) -> None:
        if not effect.door:
            await call.read_all()
            return
        send = self.process.send
        headers = [(k, v) for k, v in call.headers if k == "content-type"]
        send(effect.door, msg.AnswerHead(effect.ticket, call.status, headers))
        async for data in call.chunks():
            await spend_credit(flow, len(data))
            send(effect.door, msg.AnswerChunk(effect.ticket, flow.sequence, data))
            flow.sequence += 1
        send(effect.door, msg.AnswerChunk(effect.ticket, flow.sequence, b"", True))


def _whole_body(inflow: Inflow | None) -> bytes | None:
    """Take a body that is here already; None where more of it is to come."""
    if inflow is None:
        return b""
    if not inflow.ended:
        return None
    inflow.taken = True
    return b"".join(inflow.parts)


def make_runner(process: "Process") -> Runner:
    """Make the runner of a process."""
    return Runner(
        process, adapter.make_pool(process.settings.bounds.worker_connections)
    )
