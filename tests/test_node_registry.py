"""Test how processes register, and how rarely a registration wakes the others.

The tests guard against store reads that grow with the square of the fleet when many
processes register at once, and against a leader that does not learn of a process soon.
"""

import asyncio
import dataclasses
import time
import unittest

import msgspec

from bulrushspur_daemon.node_registry import NodeRegistry
from bulrushspur_kernel.membership_records import (
    NODE_PREFIX,
    LeaderRecord,
    NodeRecord,
)
from bulrushspur_kernel.store import StoredRecord
from tests.test_config_watch import NullEventLog


@dataclasses.dataclass
class FakeStore:
    """A store with one topic that counts the reads of it."""

    records: list = dataclasses.field(default_factory=list)
    reads: int = 0

    async def append(self, topic, rows):
        await asyncio.sleep(0.002)
        for key, value in rows:
            self.records.append(StoredRecord(len(self.records), key, value))
        return len(self.records) - 1

    async def read_newest(self, topic, timeout_s):
        self.reads += 1
        await asyncio.sleep(0.002)
        return {record.key: record for record in self.records}, len(self.records)

    async def read(self, topic, start, wait_s, timeout_s):
        self.reads += 1
        until_s = time.monotonic() + wait_s
        while len(self.records) <= start and time.monotonic() < until_s:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.002)
        return self.records[start:], len(self.records)


def make_record(name, incarnation="a"):
    return NodeRecord(name, "north", f"{name}:1", 1.0, incarnation)


def make_registry(store, leads=False, has_leader=True):
    return NodeRegistry(store, NullEventLog(), lambda: leads, lambda: has_leader)


class NodeRegistryTest(unittest.IsolatedAsyncioTestCase):
    def start(self, registry, record):
        task = asyncio.create_task(registry.run(record))
        self.addCleanup(task.cancel)

    async def test_reads_grow_with_the_fleet_and_not_with_its_square(self):
        store = FakeStore()
        count = 100
        for index in range(count):
            registry = make_registry(store, leads=index == 0)
            self.start(registry, make_record(f"n{index}"))
            await asyncio.sleep(0.002)
        await asyncio.sleep(0.3)
        # Each process loads and reads once; only the leader follows the rest.
        self.assertEqual(len(store.records), count)
        self.assertLess(store.reads, 3 * count)

    async def test_leader_learns_of_a_process_soon_and_a_new_leader_at_once(self):
        store = FakeStore()
        leads = False
        changes = []
        registry = NodeRegistry(store, NullEventLog(), lambda: leads, lambda: True)
        registry.on_change = lambda: changes.append(sorted(registry.nodes))
        self.start(registry, make_record("n0"))
        await asyncio.sleep(0.05)
        for name in ("n1", "n2"):
            value = msgspec.msgpack.encode(make_record(name))
            await store.append("", [(NODE_PREFIX + name, value)])
            leads = True
            registry.request_read()
            await asyncio.sleep(0.2)
            self.assertIn(name, registry.nodes)
        self.assertEqual(changes[-1], ["n0", "n1", "n2"])

    async def test_restarted_leader_is_known_by_its_record(self):
        registry = make_registry(FakeStore())
        value = msgspec.msgpack.encode(make_record("n1", "b"))
        registry.apply(StoredRecord(3, NODE_PREFIX + "n1", value))
        for incarnation, node_offset, restarted in (
            ("b", 3, False),
            ("a", 2, True),
            # The claim of an incarnation whose record was not read here yet.
            ("c", 4, False),
        ):
            claim = LeaderRecord("n1", "id", incarnation, node_offset=node_offset)
            self.assertEqual(registry.has_restarted(claim), restarted)
        self.assertFalse(registry.has_restarted(None))

    async def test_record_of_an_earlier_version_gives_way_to_a_new_one(self):
        registry = make_registry(FakeStore())
        for incarnation in ("old", "older"):
            value = msgspec.msgpack.encode(make_record("n1", incarnation))
            registry.apply_legacy(StoredRecord(900, NODE_PREFIX + "n1", value))
        value = msgspec.msgpack.encode(make_record("n1", "new"))
        registry.apply(StoredRecord(3, NODE_PREFIX + "n1", value))
        self.assertEqual(registry.nodes["n1"].incarnation, "new")

    async def test_unreadable_record_is_skipped(self):
        registry = make_registry(FakeStore())
        registry.apply(StoredRecord(3, NODE_PREFIX + "n1", b"\xc1"))
        self.assertEqual(registry.nodes, {})
