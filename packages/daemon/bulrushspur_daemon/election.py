"""Claim to lead the cell when its leader is lost."""

import asyncio
import dataclasses
import os
import typing as t

from bulrushspur_daemon.cell_log import CellLog
from bulrushspur_daemon.clock import steady_s
from bulrushspur_daemon.leader_link import LeaderLink
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.store import StoreGapError, StoreUnavailableError
from bulrushspur_scheduler.leadership import (
    LeaderView,
    claim_delay_s,
    leader_is_lost,
)

TICK_S: t.Final = 0.05
BACKOFF_S: t.Final = 0.4
BACKOFF_MOST_S: t.Final = 1.6


@dataclasses.dataclass
class Election:
    """Whether this process wants to lead, and since when."""

    name: str
    cell_log: CellLog
    link: LeaderLink
    log: EventLog
    leads: t.Callable[[], bool]
    stopping: bool = False
    wanted_since_s: float | None = None
    backoff_s: float = BACKOFF_S
    claims: set[str] = dataclasses.field(default_factory=set)

    def view(self) -> LeaderView:
        """Gather what is known of the leader."""
        known = self.cell_log.leader is not None
        heard = self.link.term >= self.cell_log.term
        return LeaderView(
            known,
            self.link.age_s() if heard else 1e9,
            steady_s() - self.cell_log.term_seen_s,
            self.link.store_age_s if heard else 0.0,
            heard and self.link.resigned,
        )

    async def run(self) -> None:
        """Watch the leader until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self.stopping or self.leads() or self.cell_log.next_offset is None:
                self.wanted_since_s = None
                continue
            view = self.view()
            if not leader_is_lost(view):
                self.wanted_since_s = None
                self.backoff_s = BACKOFF_S
                continue
            now_s = steady_s()
            if self.wanted_since_s is None:
                self.wanted_since_s = now_s
                self.log.event(
                    "leader_lost",
                    urgent=True,
                    term=self.cell_log.term,
                    heard_age_ms=round(min(view.heard_age_s, 1e6) * 1000),
                    store_age_ms=round(view.store_age_s * 1000),
                    resigned=view.resigned,
                )
            if now_s - self.wanted_since_s >= self._delay_s(view):
                await self._claim()

    def _delay_s(self, view: LeaderView) -> float:
        cores = {one.name: one.cores for one in self.cell_log.nodes.values()}
        if self.cell_log.leader is not None:
            cores.pop(self.cell_log.leader.name, None)
        cores.setdefault(self.name, 1.0)
        return claim_delay_s(self.name, cores, not view.known)

    async def _claim(self) -> None:
        try:
            # The store must answer now, and nobody may have claimed meanwhile.
            await self.cell_log.read()
            if not leader_is_lost(self.view()):
                return
            claim = os.urandom(8).hex()
            self.claims.add(claim)
            self.log.event("claim", urgent=True, at=self.cell_log.next_offset)
            await self.cell_log.claim(self.name, claim)
            self.wanted_since_s = None
        except StoreGapError:
            self.cell_log.next_offset = None
        except StoreUnavailableError as exc:
            self.log.event("claim_failed", reason=str(exc))
            await asyncio.sleep(self.backoff_s)
            self.backoff_s = min(self.backoff_s * 2, BACKOFF_MOST_S)

    def is_mine(self) -> bool:
        """Tell whether the newest claim is one of this process in this life."""
        leader = self.cell_log.leader
        return leader is not None and leader.claim in self.claims
