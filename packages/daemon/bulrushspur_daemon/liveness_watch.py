"""Poll the platform's list of worker incarnations while suspected workers exist.

A worker is suspected if it is silent and may have runs. Suspected workers that the
list does not contain are marked lost without waiting for their leases to expire, and a
plan is requested. A failed request changes nothing; the next check repeats it.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s, unix_s
from bulrushspur_kernel.adapter import Adapter, IncarnationsUnavailableError
from bulrushspur_kernel.http_pool import HttpPool
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.liveness import (
    expire_unlisted_workers,
    find_suspected_workers,
)

CHECK_INTERVAL_S: t.Final = 0.2
LIST_INTERVAL_S: t.Final = 1.0


@dataclasses.dataclass
class LivenessWatch:
    """Check suspected workers against the platform's list for one term."""

    adapter: Adapter
    http_pool: HttpPool | None
    cell: Cell
    log: EventLog
    metrics: Metrics
    request_plan: t.Callable[[], None]
    list_unavailable: bool = False

    async def run(self) -> None:
        """Check until cancelled; without a pool, return at once."""
        while self.http_pool is not None:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if find_suspected_workers(self.cell, monotonic_s()):
                await self._check(self.http_pool)
                await asyncio.sleep(LIST_INTERVAL_S)

    async def _check(self, http_pool: HttpPool) -> None:
        requested_s = monotonic_s()
        self.metrics.count("lives_asked")
        try:
            incarnations = await self.adapter.list_incarnations(http_pool)
        except IncarnationsUnavailableError as exc:
            if not self.list_unavailable:
                self.log.event("lives_lost", urgent=True, reason=str(exc))
            self.list_unavailable = True
            return
        if self.list_unavailable:
            self.log.event("lives_regained", urgent=True)
        self.list_unavailable = False
        lost = expire_unlisted_workers(
            self.cell,
            incarnations.ids,
            requested_s,
            unix_s(),
            monotonic_s(),
            incarnations.machines,
        )
        if lost:
            self.request_plan()
