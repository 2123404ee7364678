"""Call the placement advice service, one call at a time, urgent ones first."""

import asyncio
import dataclasses
import itertools
import typing as t

from bulrushspur_kernel.adapter import Adapter, AdviceUnavailableError
from bulrushspur_kernel.http_pool import make_http_pool
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import AdviceReply, AdviceRequest, Message
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.jobs import StepKey


@dataclasses.dataclass
class AdviceCaller:
    """The queue of calls of this process."""

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
        """Queue a call for the leader that asked."""
        self.queue.put_nowait((0, next(self.sequence_numbers), identity, message))

    def enqueue_local(self, message: AdviceRequest) -> None:
        """Queue a call for the leader in this process."""
        self.enqueue(b"", message)

    async def run(self) -> None:
        """Make calls until cancelled."""
        if not self.address:
            return
        pool = make_http_pool(self.address)
        while True:
            _, _, identity, message = await self.queue.get()
            key = StepKey(message.job, message.occurrence, message.step)
            try:
                good, valid_s = await self.adapter.request_advice(
                    pool, key, message.workers
                )
                answer = AdviceReply(message.request_id, good, round(valid_s * 1000))
            except AdviceUnavailableError as exc:
                self.log.event("advice_unavailable", job=key.job, reason=str(exc))
                answer = AdviceReply(message.request_id, None)
            self._reply(identity, answer)

    def _reply(self, identity: bytes, answer: AdviceReply) -> None:
        if identity:
            self.send(identity, answer)
        elif self.on_local_reply is not None:
            self.on_local_reply(answer)
