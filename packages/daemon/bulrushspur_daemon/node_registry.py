"""Register this process in the store, and follow the records of the other processes.

Node records are appended to the nodes topic and read from it. The leader follows the
topic closely, because it connects to every process. The others only rank themselves
among the candidates by it, so they read it now and then: a registration does not wake
the whole fleet.
"""

import asyncio
import dataclasses
import random
import typing as t

import msgspec

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_kernel.logs import EventLog
from bulrushspur_kernel.membership_records import (
    NODE_PREFIX,
    NODES_TOPIC,
    LeaderRecord,
    NodeRecord,
    decode_node,
)
from bulrushspur_kernel.store import (
    Store,
    StoredRecord,
    StoreTruncatedError,
    StoreUnavailableError,
    offset_after,
)

STORE_TIMEOUT_S: t.Final = 0.6
LONG_POLL_TIMEOUT_S: t.Final = 3.0
RETRY_INTERVAL_S: t.Final = 0.25
# Registrations made close together are read at once.
LEADER_READ_INTERVAL_S: t.Final = 0.05
# While no leader is known, the order of the first claims depends on the records.
START_READ_INTERVAL_S: t.Final = 0.2
READ_INTERVAL_S: t.Final = 4.0
# Stands for the offsets of another topic, which do not compare with those of this one.
_LEGACY_OFFSET: t.Final = -1


@dataclasses.dataclass
class NodeRegistry:
    """The newest record of each entry process, by name, with its offset."""

    store: Store
    log: EventLog
    is_leader: t.Callable[[], bool]
    has_known_leader: t.Callable[[], bool]
    nodes: dict[str, NodeRecord] = dataclasses.field(default_factory=dict)
    offsets: dict[str, int] = dataclasses.field(default_factory=dict)
    # Where this process has registered, and when.
    own_offset: int | None = None
    registered_s: float = -1e9
    next_offset: int | None = None
    first_retained_offset: int = 0
    store_unavailable: bool = False
    on_change: t.Callable[[], None] = lambda: None
    read_requested: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def run(self, own_record: NodeRecord) -> None:
        """Register this process and follow the topic until cancelled."""
        while True:
            try:
                await self._follow_once(own_record)
            except StoreTruncatedError as exc:
                self.first_retained_offset = exc.oldest_offset
                self.next_offset = None
            except StoreUnavailableError as exc:
                if not self.store_unavailable:
                    self.store_unavailable = True
                    self.log.event("node_list_lost", urgent=True, reason=str(exc))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _follow_once(self, own_record: NodeRecord) -> None:
        if self.next_offset is None:
            await self._load()
        if self.nodes.get(own_record.name) != own_record:
            key = NODE_PREFIX + own_record.name
            self.own_offset = await self.store.append(
                NODES_TOPIC, [(key, msgspec.msgpack.encode(own_record))]
            )
            self.registered_s = monotonic_s()
        await self._read(LONG_POLL_TIMEOUT_S if self.is_leader() else 0.0)
        if self.store_unavailable:
            self.store_unavailable = False
            self.log.event("node_list_regained", urgent=True)
        await self._pause()

    async def _pause(self) -> None:
        """Wait until the next read is due, or until ``request_read`` is called."""
        if self.is_leader():
            await asyncio.sleep(LEADER_READ_INTERVAL_S)
            return
        interval_s = START_READ_INTERVAL_S
        if self.has_known_leader():
            # Processes that started together must not read together.
            interval_s = READ_INTERVAL_S * random.uniform(0.75, 1.25)
        self.read_requested.clear()
        try:
            async with asyncio.timeout(interval_s):
                await self.read_requested.wait()
        except TimeoutError:
            return

    def request_read(self) -> None:
        """Read the topic at once, because this process begins to lead."""
        self.read_requested.set()

    async def _load(self) -> None:
        newest, _ = await self.store.read_newest(NODES_TOPIC, STORE_TIMEOUT_S)
        for record in newest.values():
            self.apply(record)
        self.next_offset = offset_after(newest.values(), self.first_retained_offset)

    async def _read(self, wait_s: float) -> None:
        assert self.next_offset is not None
        records, end = await self.store.read(
            NODES_TOPIC, self.next_offset, wait_s, STORE_TIMEOUT_S
        )
        for record in records:
            self.apply(record)
        self.next_offset = max(self.next_offset, end)

    def apply(self, record: StoredRecord) -> None:
        """Apply a node record, unless a newer one of the process is known."""
        if not record.key.startswith(NODE_PREFIX) or not record.value:
            return
        try:
            node = decode_node(record.value)
        except msgspec.DecodeError as exc:
            self.log.event("cell_record_unreadable", key=record.key, reason=str(exc))
            return
        if record.offset < self.offsets.get(node.name, _LEGACY_OFFSET):
            return
        self.offsets[node.name] = record.offset
        if self.nodes.get(node.name) == node:
            return
        self.nodes[node.name] = node
        try:
            self.on_change()
        except Exception as exc:
            # The other processes are followed on, whatever is wrong with this one.
            self.log.event("node_record_fault", node=node.name, reason=repr(exc))

    def apply_legacy(self, record: StoredRecord) -> None:
        """Apply a node record of another topic, if the nodes topic has none of it.

        Earlier versions register there; a rolling update has processes of both.
        """
        name = record.key.removeprefix(NODE_PREFIX)
        if self.offsets.get(name, _LEGACY_OFFSET) == _LEGACY_OFFSET:
            self.apply(dataclasses.replace(record, offset=_LEGACY_OFFSET))

    def has_restarted(self, leader: LeaderRecord | None) -> bool:
        """Return whether the process that made a claim has restarted since.

        The records read here may be older than the claim, so another incarnation alone
        proves nothing.
        """
        if leader is None:
            return False
        node = self.nodes.get(leader.name)
        return (
            node is not None
            and node.incarnation != leader.incarnation
            and self.offsets[leader.name] > leader.node_offset
        )
