"""Follow the claims to lead the cell in the store, and append claims.

A claim is appended only if no other claim was appended since the claimant last read the
topic. The number of a term is the offset of its claim plus one, and fences the orders
of earlier terms.
"""

import asyncio
import dataclasses
import typing as t

import msgspec

from bulrushspur_daemon.clock import boottime_s, monotonic_s
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.membership_records import (
    CLAIMS_TOPIC,
    LEADER_KEY,
    LeaderRecord,
    decode_leader,
)
from bulrushspur_kernel.store import (
    Store,
    StoreConflictError,
    StoredRecord,
    StoreTruncatedError,
    StoreUnavailableError,
    offset_after,
)

LONG_POLL_TIMEOUT_S: t.Final = 3.0
RETRY_INTERVAL_S: t.Final = 0.25
STORE_TIMEOUT_S: t.Final = 0.6


@dataclasses.dataclass
class ClaimLog:
    """The newest claim that was read from the topic.

    ``last_store_success_s`` is when the latest store call that succeeded was sent, and
    ``store_latency_s`` how long the latest one took that did not wait for a record.
    """

    store: Store
    log: EventLog
    leader: LeaderRecord | None = None
    term: int = 0
    term_seen_s: float = -1e9
    # The newest claim was already in the topic when this process first read it.
    term_preexisting: bool = False
    next_offset: int | None = None
    first_retained_offset: int = 0
    last_store_success_s: float = -1e9
    last_store_success_boottime_s: float = -1e9
    store_latency_s: float = 0.0
    store_unavailable: bool = False
    store_regained_s: float = -1e9
    on_new_term: t.Callable[[], None] = lambda: None
    # Gets records that are no claims: earlier versions kept node records here.
    on_other_record: t.Callable[[StoredRecord], None] = lambda record: None

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._follow_once()
            except StoreTruncatedError as exc:
                self.handle_truncation(exc.oldest_offset)
            except StoreUnavailableError as exc:
                self.mark_unavailable(str(exc))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _follow_once(self) -> None:
        if self.next_offset is None:
            await self.load()
        await self.read(LONG_POLL_TIMEOUT_S)

    def mark_unavailable(self, reason: str) -> None:
        """Record that a call failed; the next one that succeeds clears it."""
        if not self.store_unavailable:
            self.store_unavailable = True
            self.log.event("cell_log_lost", urgent=True, reason=reason)

    def handle_truncation(self, oldest_offset: int) -> None:
        """Prepare to load the newest records again, as the store dropped unread ones.

        Reading continues at ``oldest_offset``, the oldest record kept, or later.
        """
        self.first_retained_offset = oldest_offset
        self.next_offset = None

    async def load(self) -> None:
        """Load the newest record of each key; raises StoreUnavailableError."""
        sent_s, sent_boot_s = monotonic_s(), boottime_s()
        newest, _ = await self.store.read_newest(CLAIMS_TOPIC, STORE_TIMEOUT_S)
        self.store_latency_s = monotonic_s() - sent_s
        self._record_store_success(sent_s, sent_boot_s)
        is_first_load = self.next_offset is None
        for record in sorted(newest.values(), key=lambda record: record.offset):
            self._apply(record)
        self.term_preexisting = is_first_load and self.leader is not None
        after = offset_after(newest.values(), self.first_retained_offset)
        self.next_offset = max(self.next_offset or 0, after)

    async def read(self, wait_s: float = 0.0) -> None:
        """Read the records appended since; wait up to ``wait_s`` for the first.

        Raises StoreUnavailableError or StoreTruncatedError.
        """
        sent_s, sent_boot_s = monotonic_s(), boottime_s()
        start = self.next_offset or 0
        records, end = await self.store.read(
            CLAIMS_TOPIC, start, wait_s, STORE_TIMEOUT_S
        )
        if not wait_s:
            self.store_latency_s = monotonic_s() - sent_s
        self._record_store_success(sent_s, sent_boot_s)
        for record in records:
            if record.offset >= (self.next_offset or 0):
                self._apply(record)
                self.next_offset = record.offset + 1
        self.next_offset = max(self.next_offset or 0, end)

    def _record_store_success(self, sent_s: float, sent_boot_s: float) -> None:
        if self.store_unavailable:
            self.store_unavailable = False
            self.store_regained_s = monotonic_s()
            self.log.event("cell_log_regained", urgent=True)
        self.last_store_success_s = max(self.last_store_success_s, sent_s)
        self.last_store_success_boottime_s = max(
            self.last_store_success_boottime_s, sent_boot_s
        )

    def _apply(self, record: StoredRecord) -> None:
        if record.key != LEADER_KEY or not record.value:
            self.on_other_record(record)
            return
        try:
            self._apply_leader(record)
        except msgspec.DecodeError as exc:
            self.log.event("cell_record_unreadable", key=record.key, reason=str(exc))

    def _apply_leader(self, record: StoredRecord) -> None:
        if record.offset + 1 <= self.term:
            return
        self.leader = decode_leader(record.value)
        self.term = record.offset + 1
        self.term_preexisting = False
        self.term_seen_s = monotonic_s()
        self.log.event(
            "leader_claim",
            urgent=True,
            leader=self.leader.name,
            term=self.term,
            unstable_terms=self.leader.unstable_terms,
        )
        self.on_new_term()

    async def claim(self, record: LeaderRecord) -> None:
        """Append a claim to lead, then read the topic to learn which claim succeeded.

        The store refuses the claim if another record was appended since the last read.
        Raises StoreUnavailableError or StoreTruncatedError.
        """
        assert self.next_offset is not None
        data = msgspec.msgpack.encode(record)
        try:
            await self.store.append(
                CLAIMS_TOPIC,
                [(LEADER_KEY, data)],
                expected_offset=self.next_offset,
                timeout_s=STORE_TIMEOUT_S,
            )
        except StoreConflictError:
            self.log.event("claim_conflict", at=self.next_offset)
        await self.read()
