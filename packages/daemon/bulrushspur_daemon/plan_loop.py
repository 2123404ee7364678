"""Plan when something has changed, and send out what the planning has decided.

Requests to plan come in; starts, stops, advice calls, records and events go out. The
loop leaves processor time to the other tasks of the process.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.advice_dispatcher import AdviceDispatcher
from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_daemon.worker_connections import WorkerConnections
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.planning import plan

PLAN_BATCH_DELAY_S: t.Final = 0.002
# A pause of this many times the pass leaves most of the processor time to the other
# tasks. Only a pass longer than a third of the limit takes more of it.
PLAN_PAUSE_FACTOR: t.Final = 3.0
MAX_PLAN_PAUSE_S: t.Final = 0.1


@dataclasses.dataclass
class PlanLoop:
    """The planning of one term; ``stop`` ends the term for a reason."""

    cell: Cell
    writer: RecordWriter
    worker_connections: WorkerConnections
    advice_dispatcher: AdviceDispatcher
    log: EventLog
    metrics: Metrics
    has_authority: t.Callable[[], bool]
    stop: t.Callable[[str], None]
    requested: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def request(self) -> None:
        """Wake the loop; requests made close together share one pass."""
        self.requested.set()

    async def run(self) -> None:
        """Plan whenever it is requested, until cancelled or a later term exists."""
        pause_s = 0.0
        while True:
            await self.requested.wait()
            await asyncio.sleep(max(PLAN_BATCH_DELAY_S, pause_s))
            self.requested.clear()
            if self.cell.superseded:
                self.stop("a worker reported a later term")
                return
            pause_s = self._plan()
            self.flush()

    def _plan(self) -> float:
        """Make a planning pass; return the length of the pause after it, in seconds."""
        now_s = monotonic_s()
        takeover.reconcile(self.cell, self.writer.confirmed_s)
        if not self.has_authority():
            return 0.0
        self.advice_dispatcher.update_free_long_call_lanes()
        plan(self.cell, now_s)
        took_s = monotonic_s() - now_s
        self.metrics.record_duration("plan", took_s)
        return min(took_s * PLAN_PAUSE_FACTOR, MAX_PLAN_PAUSE_S)

    def flush(self) -> None:
        """Send what the cell holds to be sent, stored or logged."""
        self.worker_connections.orders.send_all()
        self.advice_dispatcher.dispatch()
        self.writer.request_write()
        self._write_events()

    def _write_events(self) -> None:
        events = self.cell.events
        while events:
            event = events.popleft()
            # Lines about workers and the term are few, so they are exempt from the rate
            # limit of the log.
            fields = {"job": event.job} if event.job else {}
            self.log.event(event.name, urgent=not event.job, **fields, **event.fields)
