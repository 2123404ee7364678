"""Call the placement advice service, one call at a time, urgent ones first."""

import asyncio
import dataclasses
import itertools
import typing as t

from bulrushspur_kernel.adapter import Adapter, AdviceUnavailableError
from bulrushspur_kernel.http_pool import make_http_pool
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.messages import Advised, AskAdvice, Message
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.jobs import StepKey


@dataclasses.dataclass
class AdviceCalls:
    """The queue of calls of this process."""

    adapter: Adapter
    address: str
    send: t.Callable[[bytes, Message], bool]
    log: EventLog
    metrics: Metrics
    local: t.Callable[[Advised], None] | None = None
    waiting: asyncio.PriorityQueue[tuple[int, int, bytes, AskAdvice]] = (
        dataclasses.field(default_factory=asyncio.PriorityQueue)
    )
    numbers: t.Iterator[int] = dataclasses.field(default_factory=itertools.count)

    def ask(self, identity: bytes, message: AskAdvice) -> None:
        """Queue a call for the leader that asked."""
        self.waiting.put_nowait((0, next(self.numbers), identity, message))

    def ask_local(self, message: AskAdvice) -> None:
        """Queue a call for the leader in this process."""
        self.ask(b"", message)

    async def run(self) -> None:
        """Make calls until cancelled."""
        if not self.address:
            return
        pool = make_http_pool(self.address)
        while True:
            _, _, identity, message = await self.waiting.get()
            key = StepKey(message.job, message.occurrence, message.step)
            try:
                good, valid_s = await self.adapter.advise(pool, key, message.workers)
                answer = Advised(message.ask, good, round(valid_s * 1000))
            except AdviceUnavailableError as exc:
                self.log.event("advice_unavailable", job=key.job, reason=str(exc))
                answer = Advised(message.ask, None)
            self._reply(identity, answer)

    def _reply(self, identity: bytes, answer: Advised) -> None:
        if identity:
            self.send(identity, answer)
        elif self.local is not None:
            self.local(answer)
