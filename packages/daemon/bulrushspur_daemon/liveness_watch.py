"""Ask the platform which workers live, while some are silent that may run something."""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import steady_s, unix_s
from bulrushspur_kernel.adapter import Adapter, LivesUnavailableError
from bulrushspur_kernel.http_pool import HttpPool
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.liveness import doubtful_workers, note_lives

LOOK_S: t.Final = 0.2
PAUSE_S: t.Final = 1.0


@dataclasses.dataclass
class LifeWatch:
    """Looks at the list of lives for one term."""

    adapter: Adapter
    pool: HttpPool | None
    cell: Cell
    log: EventLog
    metrics: Metrics
    poke: t.Callable[[], None]
    failing: bool = False

    async def run(self) -> None:
        """Look until cancelled."""
        while self.pool is not None:
            await asyncio.sleep(LOOK_S)
            if doubtful_workers(self.cell, steady_s()):
                await self._look(self.pool)
                await asyncio.sleep(PAUSE_S)

    async def _look(self, pool: HttpPool) -> None:
        asked_s = steady_s()
        self.metrics.count("lives_asked")
        try:
            lives = await self.adapter.list_lives(pool)
        except LivesUnavailableError as exc:
            if not self.failing:
                self.log.event("lives_lost", urgent=True, reason=str(exc))
            self.failing = True
            return
        if self.failing:
            self.log.event("lives_regained", urgent=True)
        self.failing = False
        if note_lives(self.cell, lives, asked_s, unix_s()):
            self.poke()
