"""Claim to lead the cell when its leader is lost.

The claim log, the heartbeats of the leader and the state of the store go in; claims go
out to the claim log. The process with the best rank claims first, the others after a
delay. Nobody claims while the store does not answer, or while it is slow and the leader
still sends heartbeats.
"""

import asyncio
import dataclasses
import os
import typing as t

from bulrushspur_daemon.claim_log import ClaimLog
from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.leader_client import LeaderClient
from bulrushspur_daemon.node_registry import NodeRegistry
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
    TermWatch,
    claim_delay_s,
    claim_rank,
    is_leader_lost,
    max_claim_backoff_s,
)

CHECK_INTERVAL_S: t.Final = 0.03
# A store that takes longer to answer would be as slow for another leader.
SLOW_STORE_THRESHOLD_S: t.Final = 0.25
MIN_BACKOFF_S: t.Final = 0.4


@dataclasses.dataclass
class Election:
    """Watch the leader for one process, and claim to lead when it is lost.

    ``claim_ids`` has the claims of this incarnation of the process.
    """

    name: str
    incarnation: str
    claim_log: ClaimLog
    node_registry: NodeRegistry
    leader_client: LeaderClient
    log: EventLog
    is_leader: t.Callable[[], bool]
    stopping: bool = False
    leader_lost_since_s: float | None = None
    backoff_s: float = MIN_BACKOFF_S
    claim_ids: set[str] = dataclasses.field(default_factory=set)
    term_watch: TermWatch = dataclasses.field(default_factory=TermWatch)

    def make_leader_view(self) -> LeaderView:
        """Return what this process knows of the leader now."""
        claim_log, client = self.claim_log, self.leader_client
        has_heartbeat = client.term >= claim_log.term
        return LeaderView(
            is_known=claim_log.leader is not None,
            has_heartbeat=has_heartbeat,
            heartbeat_age_s=client.heartbeat_age_s() if has_heartbeat else 1e9,
            claim_age_s=monotonic_s() - claim_log.term_seen_s,
            claim_preexisting=claim_log.term_preexisting,
            restarted=self.node_registry.has_restarted(claim_log.leader),
            disconnected=client.connection_broken_s > client.last_heartbeat_s,
            leader_store_age_s=client.store_age_s if has_heartbeat else 0.0,
            resigned=has_heartbeat and (client.resigned or client.leader_stopping),
            store_regained_age_s=monotonic_s() - claim_log.store_regained_s,
            heard_since_regained=client.last_heartbeat_s > claim_log.store_regained_s,
            link_busy=is_receiving_bulk(claim_log.store, monotonic_s()),
            is_recovering=has_heartbeat and not client.serving,
            recovery_stalled_s=client.recovery_stalled_s(),
            registered_age_s=monotonic_s() - self.node_registry.registered_s,
            unstable_terms=self.term_watch.unstable_terms,
        )

    def _observe_term(self) -> None:
        """Follow whether the present term is stable, also while this process leads."""
        claim_log, client = self.claim_log, self.leader_client
        if claim_log.leader is not None and claim_log.term > self.term_watch.term:
            self.term_watch.begin_term(
                claim_log.term,
                claim_log.leader.unstable_terms,
                not claim_log.term_preexisting,
            )
        is_serving = client.term == self.term_watch.term and client.serving
        self.term_watch.observe(is_serving, monotonic_s())

    async def run(self) -> None:
        """Watch the leader, and claim when it is lost, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._observe_term()
            if self.stopping or self.is_leader() or not self._may_claim():
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
                    term=self.claim_log.term,
                    heard_age_ms=round(min(view.heartbeat_age_s, 1e6) * 1000),
                    store_age_ms=round(view.leader_store_age_s * 1000),
                    recovering=view.is_recovering,
                    stalled_ms=round(min(view.recovery_stalled_s, 1e6) * 1000),
                    unstable_terms=view.unstable_terms,
                    resigned=view.resigned,
                    dead=view.restarted,
                    broken=view.disconnected,
                )
            claim_delay = claim_delay_s(
                self._claim_rank(),
                not view.is_known,
                self.claim_log.store_latency_s,
            )
            if now_s - self.leader_lost_since_s >= claim_delay:
                await self._claim()

    def _may_claim(self) -> bool:
        """Return whether the claims were read and this process has registered."""
        return (
            self.claim_log.next_offset is not None
            and self.node_registry.own_offset is not None
        )

    def _claim_rank(self) -> int:
        registry = self.node_registry
        record = self.claim_log.leader
        leader = record.name if record is not None else ""
        leader_node = registry.nodes.get(leader)
        candidates = [
            Candidate(
                node.name, node.domain, node.cores, registry.offsets.get(node.name, 0)
            )
            for node in registry.nodes.values()
            if node.name != leader or node.name == self.name
        ]
        domain = leader_node.domain if leader_node is not None else ""
        return claim_rank(self.name, candidates, domain)

    async def _claim(self) -> None:
        began_s = monotonic_s()
        try:
            # Claim only if the store answers now and no other process has claimed since
            # the last read.
            await self.claim_log.read()
            view = self.make_leader_view()
            if self.stopping or not is_leader_lost(view):
                return
            if (
                monotonic_s() - began_s > SLOW_STORE_THRESHOLD_S
                and not view.resigned
                and view.heartbeat_age_s < LEADER_TIMEOUT_S
            ):
                self.log.event(
                    "claim_put_off", reason="the store is slow for all processes"
                )
                return
            claim_id = os.urandom(8).hex()
            self.claim_ids.add(claim_id)
            self.log.event("claim", urgent=True, at=self.claim_log.next_offset)
            await self.claim_log.claim(
                LeaderRecord(
                    self.name,
                    claim_id,
                    self.incarnation,
                    self.term_watch.next_unstable_terms(),
                    self.node_registry.own_offset or 0,
                )
            )
            self.leader_lost_since_s = None
        except StoreTruncatedError as exc:
            self.claim_log.handle_truncation(exc.oldest_offset)
        except StoreUnavailableError as exc:
            # A slow store may have answered the read and not the claim.
            if self.claim_log.last_store_success_s < began_s:
                self.claim_log.mark_unavailable(str(exc))
            self.log.event("claim_failed", reason=str(exc))
            max_backoff_s = max_claim_backoff_s(self._claim_rank())
            await asyncio.sleep(min(self.backoff_s, max_backoff_s))
            self.backoff_s = min(self.backoff_s * 2, max_backoff_s)

    def holds_newest_claim(self) -> bool:
        """Return whether the newest claim is one of this incarnation of the process."""
        leader = self.claim_log.leader
        return leader is not None and leader.claim_id in self.claim_ids
