"""Claim to lead the cell when its leader is lost."""

import asyncio
import dataclasses
import os
import typing as t

from bulrushspur_daemon.clock import steady_s
from bulrushspur_daemon.leader_client import LeaderLink
from bulrushspur_daemon.membership_log import CellLog
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.membership_records import LeaderRecord
from bulrushspur_kernel.store import (
    StoreGapError,
    StoreUnavailableError,
    receives_bulk,
)
from bulrushspur_scheduler.leadership import (
    LOST_S,
    Candidate,
    LeaderView,
    claim_delay_s,
    leader_is_lost,
)

TICK_S: t.Final = 0.03
# A store that takes so long serves the leader no better than others.
SLOW_STORE_S: t.Final = 0.25
BACKOFF_S: t.Final = 0.4
BACKOFF_MOST_S: t.Final = 1.6


@dataclasses.dataclass
class Election:
    """Whether this process wants to lead, and since when."""

    name: str
    boot: str
    cell_log: CellLog
    link: LeaderLink
    log: EventLog
    leads: t.Callable[[], bool]
    stopping: bool = False
    wanted_since_s: float | None = None
    store_failed: bool = False
    rejoined_s: float = -1e9
    backoff_s: float = BACKOFF_S
    claims: set[str] = dataclasses.field(default_factory=set)

    def view(self) -> LeaderView:
        """Gather what is known of the leader."""
        log, link = self.cell_log, self.link
        heard = link.term >= log.term
        return LeaderView(
            known=log.leader is not None,
            heard=heard,
            heard_age_s=link.age_s() if heard else 1e9,
            claim_age_s=steady_s() - log.term_seen_s,
            loaded=log.term_loaded,
            dead=log.leader_is_dead,
            broken=link.broken_s > link.heard_s,
            store_age_s=link.store_age_s if heard else 0.0,
            resigned=heard and link.resigned,
            rejoined_age_s=steady_s() - self.rejoined_s,
            link_busy=receives_bulk(log.store, steady_s()),
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
                    dead=view.dead,
                    broken=view.broken,
                )
            if now_s - self.wanted_since_s >= self._delay_s(view):
                await self._claim()

    def _delay_s(self, view: LeaderView) -> float:
        log = self.cell_log
        lost = log.leader.name if log.leader is not None else ""
        lost_node = log.nodes.get(lost)
        candidates = [
            Candidate(
                one.name, one.domain, one.cores, log.node_offsets.get(one.name, 0)
            )
            for one in log.nodes.values()
            if one.name != lost or one.name == self.name
        ]
        domain = lost_node.domain if lost_node is not None else ""
        return claim_delay_s(self.name, candidates, domain, not view.known)

    async def _claim(self) -> None:
        try:
            # The store must answer now, and nobody may have claimed meanwhile.
            began_s = steady_s()
            was_lost = self.cell_log.lost
            await self.cell_log.read()
            if self.store_failed or was_lost:
                self.store_failed = False
                self.rejoined_s = steady_s()
            view = self.view()
            if not leader_is_lost(view):
                return
            if steady_s() - began_s > SLOW_STORE_S and view.heard_age_s < LOST_S:
                self.log.event("claim_put_off", reason="the store is slow for all")
                return
            claim = os.urandom(8).hex()
            self.claims.add(claim)
            self.log.event("claim", urgent=True, at=self.cell_log.next_offset)
            await self.cell_log.claim(LeaderRecord(self.name, claim, self.boot))
            self.wanted_since_s = None
        except StoreGapError as exc:
            self.cell_log.note_gap(exc.first)
        except StoreUnavailableError as exc:
            self.store_failed = True
            self.log.event("claim_failed", reason=str(exc))
            await asyncio.sleep(self.backoff_s)
            self.backoff_s = min(self.backoff_s * 2, BACKOFF_MOST_S)

    def is_mine(self) -> bool:
        """Tell whether the newest claim is one of this process in this life."""
        leader = self.cell_log.leader
        return leader is not None and leader.claim in self.claims
