"""Tell all processes at an interval that the leader of a term runs, and its state.

The parts of the term go in; heartbeats go to the connected processes and to this one.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.claim_log import ClaimLog
from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_daemon.term_peers import TermPeers
from bulrushspur_daemon.term_recovery import TermRecovery
from bulrushspur_kernel.messages import Heartbeat
from bulrushspur_kernel.store import Store
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.progress import count_waiting_jobs

HEARTBEAT_INTERVAL_S: t.Final = 0.15
# A leader that reaches few processes is isolated after this time without the store. The
# time is above two intervals of confirmation.
ISOLATION_TIMEOUT_S: t.Final = 1.0


@dataclasses.dataclass
class TermHeartbeats:
    """The heartbeats of one term; ``stopping`` asks another process to claim."""

    leader: str
    cell: Cell
    store: Store
    claim_log: ClaimLog
    writer: RecordWriter
    peers: TermPeers
    recovery: TermRecovery
    is_serving: t.Callable[[], bool]
    stopping: bool = False

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def send(self) -> None:
        """Send a heartbeat with the current state of the term."""
        store_age_s = self._store_age_s()
        heartbeat = Heartbeat(
            self.cell.fencing_token,
            self.leader,
            self.is_serving(),
            self.cell.config.version,
            round(max(store_age_s, 0.0) * 1000),
            count_waiting_jobs(self.cell),
            self.recovery.loaded_bytes,
            self.recovery.recovered_records,
            self._is_isolated(store_age_s),
            self.stopping,
        )
        self.peers.broadcast_heartbeat(heartbeat)

    def _store_age_s(self) -> float:
        """Return the time since the store last answered, in seconds.

        A large answer that is still arriving counts as contact with it.
        """
        return monotonic_s() - max(
            self.writer.confirmed_s,
            self.claim_log.last_store_success_s,
            self.store.last_bulk_s,
        )

    def _is_isolated(self, store_age_s: float) -> bool:
        """Return whether the store and most other processes are out of reach."""
        is_store_lost = (
            self.claim_log.store_unavailable or store_age_s > ISOLATION_TIMEOUT_S
        )
        return is_store_lost and not self.peers.reaches_majority()
