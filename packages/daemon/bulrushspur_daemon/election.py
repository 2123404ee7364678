"""Claim to lead the cell when its leader is lost."""

import asyncio
import dataclasses
import os
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.leader_client import LeaderClient
from bulrushspur_daemon.membership_log import MembershipLog
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.membership_records import LeaderRecord
from bulrushspur_kernel.store import (
    StoreTruncatedError,
    StoreUnavailableError,
    is_receiving_bulk,
)
from bulrushspur_scheduler.leadership import (
    LEADER_TIMEOUT_S,
    Candidate,
    LeaderView,
    claim_delay_s,
    is_leader_lost,
)

CHECK_INTERVAL_S: t.Final = 0.03
# A store that takes so long serves the leader no better than others.
SLOW_STORE_THRESHOLD_S: t.Final = 0.25
MIN_BACKOFF_S: t.Final = 0.4
MAX_BACKOFF_S: t.Final = 1.6


@dataclasses.dataclass
class Election:
    """Whether this process wants to lead, and since when."""

    name: str
    incarnation: str
    membership_log: MembershipLog
    leader_client: LeaderClient
    log: EventLog
    is_leader: t.Callable[[], bool]
    stopping: bool = False
    leader_lost_since_s: float | None = None
    store_failed: bool = False
    store_regained_s: float = -1e9
    backoff_s: float = MIN_BACKOFF_S
    claim_ids: set[str] = dataclasses.field(default_factory=set)

    def make_leader_view(self) -> LeaderView:
        """Gather what is known of the leader."""
        log, link = self.membership_log, self.leader_client
        heard = link.term >= log.term
        return LeaderView(
            is_known=log.leader is not None,
            has_heartbeat=heard,
            heartbeat_age_s=link.heartbeat_age_s() if heard else 1e9,
            claim_age_s=monotonic_s() - log.term_seen_s,
            claim_preexisting=log.term_preexisting,
            restarted=log.leader_restarted,
            disconnected=link.connection_broken_s > link.last_heartbeat_s,
            leader_store_age_s=link.store_age_s if heard else 0.0,
            resigned=heard and link.resigned,
            store_regained_age_s=monotonic_s() - self.store_regained_s,
            link_busy=is_receiving_bulk(log.store, monotonic_s()),
        )

    async def run(self) -> None:
        """Watch the leader until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if (
                self.stopping
                or self.is_leader()
                or self.membership_log.next_offset is None
            ):
                self.leader_lost_since_s = None
                continue
            view = self.make_leader_view()
            if not is_leader_lost(view):
                self.leader_lost_since_s = None
                self.backoff_s = MIN_BACKOFF_S
                continue
            now_s = monotonic_s()
            if self.leader_lost_since_s is None:
                self.leader_lost_since_s = now_s
                self.log.event(
                    "leader_lost",
                    urgent=True,
                    term=self.membership_log.term,
                    heard_age_ms=round(min(view.heartbeat_age_s, 1e6) * 1000),
                    store_age_ms=round(view.leader_store_age_s * 1000),
                    resigned=view.resigned,
                    dead=view.restarted,
                    broken=view.disconnected,
                )
            if now_s - self.leader_lost_since_s >= self._delay_s(view):
                await self._claim()

    def _delay_s(self, view: LeaderView) -> float:
        log = self.membership_log
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
        return claim_delay_s(self.name, candidates, domain, not view.is_known)

    async def _claim(self) -> None:
        try:
            # The store must answer now, and nobody may have claimed meanwhile.
            began_s = monotonic_s()
            was_lost = self.membership_log.store_unavailable
            await self.membership_log.read()
            if self.store_failed or was_lost:
                self.store_failed = False
                self.store_regained_s = monotonic_s()
            view = self.make_leader_view()
            if not is_leader_lost(view):
                return
            if (
                monotonic_s() - began_s > SLOW_STORE_THRESHOLD_S
                and view.heartbeat_age_s < LEADER_TIMEOUT_S
            ):
                self.log.event("claim_put_off", reason="the store is slow for all")
                return
            claim = os.urandom(8).hex()
            self.claim_ids.add(claim)
            self.log.event("claim", urgent=True, at=self.membership_log.next_offset)
            await self.membership_log.claim(
                LeaderRecord(self.name, claim, self.incarnation)
            )
            self.leader_lost_since_s = None
        except StoreTruncatedError as exc:
            self.membership_log.handle_gap(exc.oldest_offset)
        except StoreUnavailableError as exc:
            self.store_failed = True
            self.log.event("claim_failed", reason=str(exc))
            await asyncio.sleep(self.backoff_s)
            self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S)

    def holds_newest_claim(self) -> bool:
        """Tell whether the newest claim is one of this process in this life."""
        leader = self.membership_log.leader
        return leader is not None and leader.claim_id in self.claim_ids
