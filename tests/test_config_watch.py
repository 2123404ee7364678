"""Tests that no configuration is missed, whatever the store's reads look like."""

import asyncio
import dataclasses
import time
import unittest

from bulrushspur_daemon.config_watch import ConfigWatch
from bulrushspur_kernel.adapter import CallerInterface
from bulrushspur_kernel.store import StoredRecord, StoreTruncatedError
from bulrushspur_scheduler.config import make_config


class NullEventLog:
    """A log that keeps nothing."""

    def event(self, event, urgent=False, **fields):
        pass


def fold(records, end):
    found = records.get("config")
    return make_config(int(found.value)) if found is not None else None


@dataclasses.dataclass
class FakeStore:
    """A store whose newest records may be older than the end that it tells."""

    records: list = dataclasses.field(default_factory=list)
    first: int = 0
    unseen: int = 0
    hidden: int = 0
    loads: int = 0
    last_bulk_s: float = -1e9

    async def read_newest(self, topic, timeout_s=2.0):
        self.loads += 1
        seen = self.records[: len(self.records) - self.unseen]
        return {one.key: one for one in seen}, len(self.records)

    async def read(self, topic, start, wait_s=0.0, timeout_s=1.0):
        await asyncio.sleep(0.01)
        if start < self.first:
            raise StoreTruncatedError(self.first)
        end = len(self.records) - self.hidden
        return self.records[start:end], max(start, end)

    def put(self, version):
        value = str(version).encode()
        self.records.append(StoredRecord(len(self.records), "config", value))


class ConfigWatchTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, store):
        interface = CallerInterface("keyed.op", fold, None)
        watch = ConfigWatch(store, interface, NullEventLog())
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        return watch

    async def version(self, watch, version):
        for _ in range(100):
            if watch.current is not None and watch.current.version == version:
                return
            await asyncio.sleep(0.01)
        current = watch.current.version if watch.current else None
        self.fail(f"version {current} is in force, not {version}")

    async def test_record_that_came_while_the_newest_were_read(self):
        store = FakeStore(unseen=1)
        store.put(1)
        store.put(2)
        watch = await self.start(store)
        await self.version(watch, 2)

    async def test_history_that_was_forgotten(self):
        store = FakeStore()
        for version in (1, 2, 3):
            store.put(version)
        watch = await self.start(store)
        await self.version(watch, 3)
        store.put(4)
        store.records.append(StoredRecord(4, "other", b"x"))
        store.first = 5
        await self.version(watch, 4)
        store.put(6)
        await self.version(watch, 6)

    async def test_nothing_is_asked_for_again_while_a_large_answer_arrives(self):
        store = FakeStore()
        store.put(1)
        watch = await self.start(store)
        await self.version(watch, 1)
        asked = []
        watch.request_from_leader = lambda: asked.append(time.monotonic())
        task = asyncio.create_task(watch.run_refresh())
        self.addCleanup(task.cancel)
        store.hidden = 1
        store.put(2)
        loads = store.loads
        for _ in range(8):
            watch.refresh_if_older(2)
            store.last_bulk_s = time.monotonic()
            await asyncio.sleep(0.1)
        self.assertEqual((asked, store.loads), ([], loads))
        store.hidden = 0
        await self.version(watch, 2)

    async def test_version_that_does_not_come_is_asked_for(self):
        store = FakeStore()
        store.put(1)
        watch = await self.start(store)
        await self.version(watch, 1)
        asked = []
        watch.request_from_leader = lambda: asked.append(1)
        task = asyncio.create_task(watch.run_refresh())
        self.addCleanup(task.cancel)
        store.hidden = 1
        store.put(2)
        watch.refresh_if_older(2)
        await asyncio.sleep(0.4)
        self.assertEqual(asked, [1])
        await self.version(watch, 2)
