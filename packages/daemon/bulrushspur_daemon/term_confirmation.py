"""Confirm with the store that no later term has begun.

A leader that was suspended, or is cut off, may have been replaced without knowing it.
The store tells: the claim log, or an append that was not fenced. The confirmation is
kept by the record writer; this part renews it, and waits for one where an answer needs
it.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.claim_log import ClaimLog
from bulrushspur_daemon.clock import boottime_s, monotonic_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_kernel.store import StoreTruncatedError, StoreUnavailableError
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.leases import awaits_confirmation

CONFIRM_INTERVAL_S: t.Final = 0.4
# What a leader knows is told to callers without asking the store for so long. Time
# counts while the VM is suspended.
MAX_UNCONFIRMED_S: t.Final = 1.0


@dataclasses.dataclass
class TermConfirmation:
    """The confirmations of one term; ``number`` is that of the term."""

    number: int
    cell: Cell
    claim_log: ClaimLog
    writer: RecordWriter
    metrics: Metrics
    # Requests that wait for a confirmation share one call of the store.
    reading: asyncio.Task[None] | None = None
    # The last call was not answered.
    has_failed: bool = False

    async def run(self) -> None:
        """Confirm the term while nothing is written, until cancelled."""
        while True:
            await asyncio.sleep(CONFIRM_INTERVAL_S / 2)
            now_s, confirmed_s = monotonic_s(), self.writer.confirmed_s
            is_due = now_s - confirmed_s > CONFIRM_INTERVAL_S
            if is_due or awaits_confirmation(self.cell, confirmed_s, now_s):
                await self._read()
                if self.has_failed:
                    await asyncio.sleep(CONFIRM_INTERVAL_S)
            self._record()

    def stop(self) -> None:
        """Cancel the call of the store that is being made."""
        if self.reading is not None:
            self.reading.cancel()

    def is_recent(self) -> bool:
        """Return whether the store has confirmed the term lately."""
        age_s = boottime_s() - self.writer.confirmed_boottime_s
        return age_s < MAX_UNCONFIRMED_S

    async def confirm_since(self, since_s: float) -> bool:
        """Return whether a call sent after ``since_s`` shows that no later term exists.

        The time is on the monotonic clock. Makes one or two calls of the store, or
        waits for those of others; False if the store does not answer.
        """
        for _ in range(2):
            if self.writer.confirmed_s >= since_s:
                break
            await self._read()
        return self.writer.confirmed_s >= since_s

    async def _read(self) -> None:
        """Read the claim log once; a read that others have begun is waited for."""
        if self.reading is None:
            self.reading = asyncio.create_task(self._read_claims())
        await asyncio.wait({self.reading})

    async def _read_claims(self) -> None:
        claim_log = self.claim_log
        try:
            await claim_log.read()
            self.has_failed = False
            self._record()
        except StoreUnavailableError:
            # Not logged: heartbeats report the age of the last answer.
            self.has_failed = True
            self.metrics.count("confirm_failed")
        except StoreTruncatedError as exc:
            # The claim log itself loads it again.
            claim_log.handle_truncation(exc.oldest_offset)
        finally:
            self.reading = None

    def _record(self) -> None:
        """Record the last answer of the claim log, unless it has a later claim."""
        claim_log = self.claim_log
        if claim_log.term == self.number:
            self.writer.record_confirmation(
                claim_log.last_store_success_s, claim_log.last_store_success_boottime_s
            )
