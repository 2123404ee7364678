"""Call the placement advice service for the leader, one call at a time.

Requests go in from a leader in this process or in another one; each gets one reply,
in which ``approved`` is None if the service gave no answer. Calls are made in the order
in which they were enqueued; the leader sends urgent ones first.
"""

import asyncio
import dataclasses
import itertools
import typing as t

from bulrushspur_kernel.adapter import Adapter, AdviceUnavailableError
from bulrushspur_kernel.http_pool import HttpPool, make_http_pool
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import AdviceReply, AdviceRequest, Message
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.job_specs import StepKey


@dataclasses.dataclass
class AdviceCaller:
    """Queue calls to the advice service, and make them one by one."""

    adapter: Adapter
    address: str
    send: t.Callable[[bytes, Message], bool]
    log: EventLog
    metrics: Metrics
    on_local_reply: t.Callable[[AdviceReply], None] | None = None
    queue: asyncio.PriorityQueue[tuple[int, int, bytes, AdviceRequest]] = (
        dataclasses.field(default_factory=asyncio.PriorityQueue)
    )
    sequence_numbers: t.Iterator[int] = dataclasses.field(
        default_factory=itertools.count
    )

    def enqueue(self, identity: bytes, message: AdviceRequest) -> None:
        """Queue a call for the leader that the peer socket knows as ``identity``."""
        self.queue.put_nowait((0, next(self.sequence_numbers), identity, message))

    def enqueue_local(self, message: AdviceRequest) -> None:
        """Queue a call for the leader in this process."""
        self.enqueue(b"", message)

    async def run(self) -> None:
        """Make calls until cancelled; without a service address, return at once."""
        if not self.address:
            return
        pool = make_http_pool(self.address)
        try:
            while True:
                await self._make_next_call(pool)
        finally:
            await pool.close()

    async def _make_next_call(self, pool: HttpPool) -> None:
        _, _, identity, message = await self.queue.get()
        step_key = StepKey(message.job, message.occurrence, message.step)
        try:
            approved, valid_s = await self.adapter.request_advice(
                pool, step_key, message.workers, message.timeout_ms / 1000
            )
            reply = AdviceReply(message.request_id, approved, round(valid_s * 1000))
        except AdviceUnavailableError as exc:
            self.log.event("advice_unavailable", job=step_key.job, reason=str(exc))
            reply = AdviceReply(message.request_id, None)
        except Exception as exc:
            reason = repr(exc)
            self.log.event("advice_fault", urgent=True, job=step_key.job, reason=reason)
            reply = AdviceReply(message.request_id, None)
        self._reply(identity, reply)

    def _reply(self, identity: bytes, reply: AdviceReply) -> None:
        if identity:
            self.send(identity, reply)
        elif self.on_local_reply is not None:
            self.on_local_reply(reply)
