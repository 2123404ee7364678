"""Claim to lead the cell when its leader is lost.

The membership log, the heartbeats of the leader and the state of the store go in;
claims go out to the membership log. The process with the best rank claims first, the
others after a delay. Nobody claims while the store does not answer, or while it is slow
and the leader still sends heartbeats.
"""

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
# A store that takes longer to answer would be as slow for another leader.
SLOW_STORE_THRESHOLD_S: t.Final = 0.25
MIN_BACKOFF_S: t.Final = 0.4
MAX_BACKOFF_S: t.Final = 1.6


@dataclasses.dataclass
class Election:
    """Watch the leader for one process, and claim to lead when it is lost.

    ``claim_ids`` has the claims of this incarnation of the process.
    """

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
        """Return what this process knows of the leader now."""
        membership_log, client = self.membership_log, self.leader_client
        has_heartbeat = client.term >= membership_log.term
        return LeaderView(
            is_known=membership_log.leader is not None,
            has_heartbeat=has_heartbeat,
            heartbeat_age_s=client.heartbeat_age_s() if has_heartbeat else 1e9,
            claim_age_s=monotonic_s() - membership_log.term_seen_s,
            claim_preexisting=membership_log.term_preexisting,
            restarted=membership_log.leader_restarted,
            disconnected=client.connection_broken_s > client.last_heartbeat_s,
            leader_store_age_s=client.store_age_s if has_heartbeat else 0.0,
            resigned=has_heartbeat and client.resigned,
            store_regained_age_s=monotonic_s() - self.store_regained_s,
            link_busy=is_receiving_bulk(membership_log.store, monotonic_s()),
        )

    async def run(self) -> None:
        """Watch the leader, and claim when it is lost, until cancelled."""
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
            if now_s - self.leader_lost_since_s >= self._claim_delay_s(view):
                await self._claim()

    def _claim_delay_s(self, view: LeaderView) -> float:
        membership_log = self.membership_log
        leader = membership_log.leader.name if membership_log.leader is not None else ""
        leader_node = membership_log.nodes.get(leader)
        candidates = [
            Candidate(
                node.name,
                node.domain,
                node.cores,
                membership_log.node_offsets.get(node.name, 0),
            )
            for node in membership_log.nodes.values()
            if node.name != leader or node.name == self.name
        ]
        domain = leader_node.domain if leader_node is not None else ""
        return claim_delay_s(self.name, candidates, domain, not view.is_known)

    async def _claim(self) -> None:
        try:
            # Claim only if the store answers now and no other process has claimed since
            # the last read.
            began_s = monotonic_s()
            was_unavailable = self.membership_log.store_unavailable
            await self.membership_log.read()
            if self.store_failed or was_unavailable:
                self.store_failed = False
                self.store_regained_s = monotonic_s()
            view = self.make_leader_view()
            if not is_leader_lost(view):
                return
            if (
                monotonic_s() - began_s > SLOW_STORE_THRESHOLD_S
                and view.heartbeat_age_s < LEADER_TIMEOUT_S
            ):
                self.log.event(
                    "claim_put_off", reason="the store is slow for all processes"
                )
                return
            claim_id = os.urandom(8).hex()
            self.claim_ids.add(claim_id)
            self.log.event("claim", urgent=True, at=self.membership_log.next_offset)
            await self.membership_log.claim(
                LeaderRecord(self.name, claim_id, self.incarnation)
            )
            self.leader_lost_since_s = None
        except StoreTruncatedError as exc:
            self.membership_log.handle_truncation(exc.oldest_offset)
        except StoreUnavailableError as exc:
            self.store_failed = True
            self.log.event("claim_failed", reason=str(exc))
            await asyncio.sleep(self.backoff_s)
            self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S)

    def holds_newest_claim(self) -> bool:
        """Return whether the newest claim is one of this incarnation of the process."""
        leader = self.membership_log.leader
        return leader is not None and leader.claim_id in self.claim_ids
