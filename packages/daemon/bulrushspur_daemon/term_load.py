"""Measure the load of the leader's process, and hand over to a larger VM.

A timer that fires late shows that the process does not keep up. The term then asks for
a successor as a process that stops does, and goes on leading if none claims.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_daemon.term_peers import TermPeers
from bulrushspur_kernel.logs import EventLog
from bulrushspur_scheduler.leader_load import LeaderLoad

CHECK_INTERVAL_S: t.Final = 0.1
# Without the store no other process can claim.
MAX_STORE_AGE_S: t.Final = 1.0


@dataclasses.dataclass
class TermLoad:
    """The load of one term; ``hand_over`` leads on if no other process claims."""

    peers: TermPeers
    writer: RecordWriter
    log: EventLog
    hand_over: t.Callable[[], t.Awaitable[None]]
    load: LeaderLoad = dataclasses.field(default_factory=LeaderLoad)

    async def run(self) -> None:
        """Measure, and hand over when it is due, until cancelled."""
        began_s = monotonic_s()
        while True:
            before_s = monotonic_s()
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = monotonic_s()
            late_s = max(now_s - before_s - CHECK_INTERVAL_S, 0.0)
            self.load.observe(late_s, CHECK_INTERVAL_S)
            if not self.load.is_overloaded:
                continue
            if now_s - self.writer.confirmed_s > MAX_STORE_AGE_S:
                continue
            cores, successor_cores = self._find_sizes()
            if self.load.should_hand_over(
                cores, successor_cores, now_s - began_s, now_s
            ):
                self.load.last_hand_over_s = now_s
                self.log.event(
                    "leader_overloaded",
                    urgent=True,
                    late_ms=round(self.load.lateness_s * 1000),
                    cores=cores,
                    successor_cores=successor_cores,
                )
                await self.hand_over()

    def _find_sizes(self) -> tuple[float, float]:
        """Return the cores of this VM, and of the one that would claim first."""
        nodes = self.peers.node_registry.nodes
        own = nodes.get(self.peers.name)
        if own is None:
            return 0.0, 0.0
        reached = [nodes[name] for name in self.peers.lane_names() if name in nodes]
        # Processes of other failure domains claim first.
        sizes = [node.cores for node in reached if node.domain != own.domain]
        return own.cores, max(sizes, default=0.0)
