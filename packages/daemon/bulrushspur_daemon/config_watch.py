"""Read the configuration from the store and notify listeners of new versions.

Records of the configuration topic go in, from the store or, if an announced version
does not arrive from there, from the leader. The newest record of each key counts, and
an older version never replaces a newer one.
"""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import boottime_s, monotonic_s
from bulrushspur_kernel.adapter import CallerInterface
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.store import (
    Store,
    StoredRecord,
    StoreTruncatedError,
    StoreUnavailableError,
    is_receiving_bulk,
    offset_after,
)
from bulrushspur_scheduler.config import CellConfig

# Short enough to notice a hung poll within the time allowed to apply a configuration.
LONG_POLL_TIMEOUT_S: t.Final = 1.0
STORE_TIMEOUT_S: t.Final = 0.5
RETRY_INTERVAL_S: t.Final = 0.25
# A process that has read nothing for longer has been suspended, or the store is away.
MAX_UNREAD_S: t.Final = 2.5
# So long a request waits for the configuration of a process that was suspended.
CATCH_UP_TIMEOUT_S: t.Final = 0.6


@dataclasses.dataclass
class ConfigWatch:
    """The newest configuration known, and the records that it was built from."""

    store: Store
    interface: CallerInterface
    log: EventLog
    records: dict[str, StoredRecord] = dataclasses.field(default_factory=dict)
    current: CellConfig | None = None
    next_offset: int | None = None
    first_retained_offset: int = 0
    store_unavailable: bool = False
    listeners: list[t.Callable[[CellConfig], None]] = dataclasses.field(
        default_factory=list
    )
    request_from_leader: t.Callable[[], None] = lambda: None
    refresh_requested: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    # Of when the records are at least, suspension counted.
    read_boottime_s: float = -1e9
    catching_up: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._poll()
                if self.store_unavailable:
                    self.store_unavailable = False
                    self.log.event("config_source_regained", urgent=True)
            except StoreTruncatedError as exc:
                self.first_retained_offset = exc.oldest_offset
                self.next_offset = None
            except StoreUnavailableError as exc:
                if not self.store_unavailable:
                    self.store_unavailable = True
                    self.log.event("config_source_lost", urgent=True, reason=str(exc))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _poll(self) -> None:
        topic = self.interface.config_topic
        sent_boottime_s = boottime_s()
        if self.next_offset is None:
            await self._load()
            return
        records, end = await self.store.read(
            topic, self.next_offset, LONG_POLL_TIMEOUT_S, STORE_TIMEOUT_S
        )
        # The leader may have sent later records meanwhile; those before them are known,
        # and one of a key that was deleted since must not return.
        records = [record for record in records if record.offset >= self.next_offset]
        self.next_offset = max(self.next_offset, end)
        if self._merge(records):
            self._rebuild()
        # Without records the store has waited before it answered.
        waited_s = 0.0 if records else LONG_POLL_TIMEOUT_S
        read_s = min(sent_boottime_s + waited_s, boottime_s())
        self.read_boottime_s = max(self.read_boottime_s, read_s)

    def is_behind(self) -> bool:
        """Return whether the configuration may have changed since it was read last.

        That is after a suspension; not while the store is away, as all know nothing
        newer then, nor while a large answer arrives, which may be the configuration.
        """
        if self.current is None or self.store_unavailable:
            return False
        if is_receiving_bulk(self.store, monotonic_s()):
            return False
        return boottime_s() - self.read_boottime_s > MAX_UNREAD_S

    async def catch_up(self, max_wait_s: float = CATCH_UP_TIMEOUT_S) -> None:
        """Read all records now; return after a while in any case."""
        if self.catching_up is None:
            self.catching_up = asyncio.create_task(self._catch_up())
        timeout_s = min(max_wait_s, CATCH_UP_TIMEOUT_S)
        await asyncio.wait({self.catching_up}, timeout=timeout_s)

    async def _catch_up(self) -> None:
        try:
            await self._load()
        except StoreUnavailableError as exc:
            self.log.event("config_refresh_failed", reason=str(exc))
        finally:
            self.catching_up = None

    async def _load(self) -> None:
        """Read the newest record of each key; drop the keys that have none any more."""
        known = dict(self.records)
        sent_boottime_s = boottime_s()
        newest, _ = await self.store.read_newest(self.interface.config_topic)
        changed = self._merge(newest.values())
        for key, record in known.items():
            # The poll may have read a record meanwhile that is later than this answer.
            if key not in newest and self.records.get(key) is record:
                del self.records[key]
                changed = True
        after = offset_after(newest.values(), self.first_retained_offset)
        self.next_offset = max(self.next_offset or 0, after)
        if changed or self.current is None:
            self._rebuild()
        self.read_boottime_s = max(self.read_boottime_s, sent_boottime_s)

    def _merge(self, records: t.Iterable[StoredRecord]) -> bool:
        """Keep the newest record of each key; return whether any has changed."""
        changed = False
        for record in records:
            known = self.records.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            changed = True
            if record.value:
                self.records[record.key] = record
            else:
                self.records.pop(record.key, None)
        return changed

    def refresh_if_older(self, version: int) -> None:
        """Request a refresh if ``version``, known to another process, is later."""
        if self.current is None or version > self.current.version:
            self.refresh_requested.set()

    async def run_refresh(self) -> None:
        """Fetch an announced version from the leader, or else from the store.

        If the store answers, the poll delivers the version anyway: it is fetched only
        if it has not arrived after a wait, and not while a large answer is received.
        """
        while True:
            await self.refresh_requested.wait()
            self.refresh_requested.clear()
            before = self._current_version()
            await self._wait_until_no_bulk_answer()
            if self._current_version() != before:
                continue
            self.request_from_leader()
            await self._wait_until_no_bulk_answer()
            if self._current_version() != before:
                continue
            try:
                await self._load()
            except StoreUnavailableError as exc:
                self.log.event("config_refresh_failed", reason=str(exc))

    def _current_version(self) -> int | None:
        return self.current.version if self.current is not None else None

    async def _wait_until_no_bulk_answer(self) -> None:
        await asyncio.sleep(RETRY_INTERVAL_S)
        while is_receiving_bulk(self.store, monotonic_s()):
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def refresh(self) -> None:
        """Read all records from the store now; raises StoreUnavailableError."""
        await self._load()

    def list_records(self) -> list[tuple[str, bytes, int]]:
        """Return all records, for a process that cannot read them from the store."""
        return [
            (record.key, record.value, record.offset)
            for record in self.records.values()
        ]

    def apply_records(
        self, records: list[tuple[str, bytes, int]], end_offset: int
    ) -> None:
        """Apply the records that the leader has, all of those before ``end_offset``.

        A key that is not among them and has no later record here was deleted.
        """
        # Of older records, those of a key that is not known here have been deleted.
        known_end = self.next_offset or 0
        changed = self._merge(
            StoredRecord(offset, key, value)
            for key, value, offset in records
            if end_offset >= known_end or offset >= known_end or key in self.records
        )
        relayed = {key for key, _, _ in records}
        for key, record in list(self.records.items()):
            if key not in relayed and record.offset < end_offset:
                del self.records[key]
                changed = True
        if self.next_offset is not None:
            self.next_offset = max(self.next_offset, end_offset)
        if changed:
            self._rebuild(end_offset)

    def _rebuild(self, end_offset: int = 0) -> None:
        """Build a configuration and apply it if it is newer than the current one.

        It is that of the records before ``end_offset``, or before the next one to read
        if that is later.
        """
        end_offset = max(end_offset, self.next_offset or 0)
        try:
            config = self.interface.build_config(self.records, end_offset)
        except Exception as exc:
            # Whatever the fault, the configuration in force stays so.
            self.log.event("config_unreadable", urgent=True, reason=repr(exc)[:200])
            return
        if config is None:
            return
        if self.current is not None and not _replaces(config, self.current):
            return
        before = self.current.version if self.current is not None else None
        self.current = config
        self.log.event(
            "config_in_force",
            urgent=True,
            version=config.version,
            before=before,
            queues=len(config.queues),
            accounts=len(config.accounts),
            evacuated=sorted(config.evacuated_domains),
        )
        for listener in self.listeners:
            try:
                listener(config)
            except Exception as exc:
                self.log.event("config_listener_fault", urgent=True, reason=repr(exc))


def _replaces(config: CellConfig, other: CellConfig) -> bool:
    """Return whether a configuration is to be applied in place of another one.

    Evacuations change without a new version. The records only become newer, so those of
    the same version are the latest, too.
    """
    if config.version != other.version:
        return config.version > other.version
    return config.evacuated_domains != other.evacuated_domains
