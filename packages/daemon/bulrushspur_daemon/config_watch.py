"""Follow the configuration in the store."""

import asyncio
import dataclasses
import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_kernel.adapter import CallerInterface
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.store import (
    Store,
    StoredRecord,
    StoreTruncatedError,
    StoreUnavailableError,
    is_receiving_bulk,
)
from bulrushspur_scheduler.config import CellConfig

# A poll that hangs is noticed within a configuration's time to be in force.
LONG_POLL_TIMEOUT_S: t.Final = 1.0
STORE_TIMEOUT_S: t.Final = 0.5
RETRY_INTERVAL_S: t.Final = 0.25


@dataclasses.dataclass
class ConfigWatch:
    """The newest configuration that was read."""

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

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._step()
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

    async def _step(self) -> None:
        topic = self.interface.config_topic
        if self.next_offset is None:
            await self._load()
            return
        rows, self.next_offset = await self.store.read(
            topic, self.next_offset, LONG_POLL_TIMEOUT_S, STORE_TIMEOUT_S
        )
        if self._note(rows):
            self._fold()

    async def _load(self) -> None:
        newest, _ = await self.store.read_newest(self.interface.config_topic)
        changed = self._note(newest.values())
        for key in [key for key in self.records if key not in newest]:
            del self.records[key]
            changed = True
        # What came while the newest were read may be missing among them: the end that
        # was told with them is not relied on.
        after = max((row.offset + 1 for row in newest.values()), default=0)
        self.next_offset = max(self.next_offset or 0, after, self.first_retained_offset)
        if changed or self.current is None:
            self._fold()

    def _note(self, rows: t.Iterable[StoredRecord]) -> bool:
        """Keep the newest record of each key; tell whether any has changed."""
        changed = False
        for row in rows:
            known = self.records.get(row.key)
            if known is not None and known.offset >= row.offset:
                continue
            changed = True
            if row.value:
                self.records[row.key] = row
            else:
                self.records.pop(row.key, None)
        return changed

    def refresh_if_older(self, version: int) -> None:
        """Read anew at once where another process knows a later version."""
        if self.current is None or version > self.current.version:
            self.refresh_requested.set()

    async def run_refresh(self) -> None:
        """Get the version that is expected: from the leader, else from the store.

        It is on its way already where the store answers: only what does not come is
        asked for, and nothing while a large answer arrives.
        """
        while True:
            await self.refresh_requested.wait()
            self.refresh_requested.clear()
            before = self._version()
            await self._until_quiet()
            if self._version() != before:
                continue
            self.request_from_leader()
            await self._until_quiet()
            if self._version() != before:
                continue
            try:
                await self._load()
            except StoreUnavailableError as exc:
                self.log.event("config_refresh_failed", reason=str(exc))

    def _version(self) -> int | None:
        return self.current.version if self.current is not None else None

    async def _until_quiet(self) -> None:
        await asyncio.sleep(RETRY_INTERVAL_S)
        while is_receiving_bulk(self.store, monotonic_s()):
            await asyncio.sleep(RETRY_INTERVAL_S)

    def list_records(self) -> list[tuple[str, bytes, int]]:
        """Return all records, for a process that the store turns away."""
        return [(one.key, one.value, one.offset) for one in self.records.values()]

    def apply_records(self, rows: list[tuple[str, bytes, int]]) -> None:
        """Take in the records that the leader has."""
        if self._note(StoredRecord(offset, key, value) for key, value, offset in rows):
            self._fold()

    def _fold(self) -> None:
        """Take a configuration into use unless it is older than the present one."""
        try:
            config = self.interface.build_config(self.records, self.next_offset or 0)
        except ValueError as exc:
            self.log.event("config_unreadable", urgent=True, reason=str(exc))
            return
        if config is None:
            return
        if self.current is not None and config.version <= self.current.version:
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
        )
        for listener in self.listeners:
            listener(config)
