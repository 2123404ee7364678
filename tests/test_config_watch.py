"""Test that a new configuration is applied in spite of incomplete reads of the store.

The tests guard against a version that is never applied, because it was appended while
the newest records were read or its records were truncated before they were read; and
against requests that add load while a large answer is being received.
"""

import asyncio
import dataclasses
import time
import unittest

from bulrushspur_daemon.config_watch import MAX_UNREAD_S, ConfigWatch
from bulrushspur_kernel.adapter import CallerInterface
from bulrushspur_kernel.store import StoredRecord, StoreTruncatedError
from bulrushspur_scheduler.config import make_config


class NullEventLog:
    """An event log that discards all events."""

    def event(self, event, urgent=False, **fields):
        pass


def build_config(records, end):
    record = records.get("config")
    return make_config(int(record.value)) if record is not None else None


@dataclasses.dataclass
class FakeStore:
    """A store whose answers may lack records that it has already.

    ``read_newest`` lacks the last ``missing_from_newest`` records, although the end
    offset returned is beyond them; ``read`` lacks the last ``undelivered`` ones.
    """

    records: list = dataclasses.field(default_factory=list)
    first_offset: int = 0
    missing_from_newest: int = 0
    undelivered: int = 0
    newest_reads: int = 0
    last_bulk_s: float = -1e9

    async def read_newest(self, topic, timeout_s=2.0):
        self.newest_reads += 1
        visible = self.records[: len(self.records) - self.missing_from_newest]
        return {record.key: record for record in visible}, len(self.records)

    async def read(self, topic, start, wait_s=0.0, timeout_s=1.0):
        await asyncio.sleep(0.01)
        if start < self.first_offset:
            raise StoreTruncatedError(self.first_offset)
        end = len(self.records) - self.undelivered
        return self.records[start:end], max(start, end)

    def append_version(self, version):
        value = str(version).encode()
        self.records.append(StoredRecord(len(self.records), "config", value))


class ConfigWatchTest(unittest.IsolatedAsyncioTestCase):
    async def start_watch(self, store):
        interface = CallerInterface("keyed.op", build_config, None)
        watch = ConfigWatch(store, interface, NullEventLog())
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        return watch

    async def wait_version(self, watch, version):
        for _ in range(100):
            if watch.current is not None and watch.current.version == version:
                return
            await asyncio.sleep(0.01)
        current = watch.current.version if watch.current else None
        self.fail(f"version {current} is in force, not {version}")

    # Guards against: a process that was suspended lets a withdrawn key in.
    async def test_process_that_was_suspended_catches_up_first(self):
        store = FakeStore()
        store.append_version(1)
        watch = await self.start_watch(store)
        await self.wait_version(watch, 1)
        self.assertFalse(watch.is_behind())
        watch.read_boottime_s -= MAX_UNREAD_S
        self.assertTrue(watch.is_behind())
        store.append_version(2)
        reads = store.newest_reads
        await asyncio.gather(*(watch.catch_up() for _ in range(20)))
        self.assertEqual(watch.current.version, 2)
        self.assertFalse(watch.is_behind())
        self.assertEqual(store.newest_reads, reads + 1)

    # Guards against: requests that load a slow link further while it fills.
    async def test_process_that_receives_a_large_answer_is_not_behind(self):
        store = FakeStore()
        watch = await self.start_watch(store)
        watch.current = make_config(1)
        watch.read_boottime_s -= MAX_UNREAD_S
        store.last_bulk_s = time.monotonic()
        self.assertFalse(watch.is_behind())

    async def test_process_without_the_store_serves_with_what_it_knows(self):
        watch = await self.start_watch(FakeStore())
        watch.current = make_config(1)
        watch.read_boottime_s -= MAX_UNREAD_S
        watch.store_unavailable = True
        self.assertFalse(watch.is_behind())

    async def test_record_appended_during_a_load_is_not_missed(self):
        store = FakeStore(missing_from_newest=1)
        store.append_version(1)
        store.append_version(2)
        watch = await self.start_watch(store)
        await self.wait_version(watch, 2)

    async def test_truncated_history_is_loaded_anew(self):
        store = FakeStore()
        for version in (1, 2, 3):
            store.append_version(version)
        watch = await self.start_watch(store)
        await self.wait_version(watch, 3)
        store.append_version(4)
        store.records.append(StoredRecord(4, "other", b"x"))
        store.first_offset = 5
        await self.wait_version(watch, 4)
        store.append_version(6)
        await self.wait_version(watch, 6)

    async def test_nothing_is_requested_while_a_large_answer_is_received(self):
        store = FakeStore()
        store.append_version(1)
        watch = await self.start_watch(store)
        await self.wait_version(watch, 1)
        requests = []
        watch.request_from_leader = lambda: requests.append(time.monotonic())
        task = asyncio.create_task(watch.run_refresh())
        self.addCleanup(task.cancel)
        store.undelivered = 1
        store.append_version(2)
        newest_reads = store.newest_reads
        for _ in range(8):
            watch.refresh_if_older(2)
            store.last_bulk_s = time.monotonic()
            await asyncio.sleep(0.1)
        self.assertEqual((requests, store.newest_reads), ([], newest_reads))
        store.undelivered = 0
        await self.wait_version(watch, 2)

    async def test_version_that_does_not_arrive_is_requested_from_the_leader(self):
        store = FakeStore()
        store.append_version(1)
        watch = await self.start_watch(store)
        await self.wait_version(watch, 1)
        requests = []
        watch.request_from_leader = lambda: requests.append(1)
        task = asyncio.create_task(watch.run_refresh())
        self.addCleanup(task.cancel)
        store.undelivered = 1
        store.append_version(2)
        watch.refresh_if_older(2)
        await asyncio.sleep(0.4)
        self.assertEqual(requests, [1])
        await self.wait_version(watch, 2)


class RelayTest(unittest.TestCase):
    """The version of a text is the end offset of its topic, as with the product's own
    interface; a process without the store gets the records from the leader."""

    def make_watch(self):
        def build(records, end_offset):
            return make_config(end_offset) if "text" in records else None

        interface = CallerInterface("keyed.text", build, None)
        return ConfigWatch(FakeStore(), interface, NullEventLog())

    def test_relayed_change_makes_a_newer_version(self):
        watch = self.make_watch()
        watch.next_offset = 2
        watch.apply_records([("text", b"a", 0), ("key/1", b"k", 1)], 2)
        self.assertEqual(watch.current.version, 2)
        watch.apply_records([("text", b"b", 2), ("key/1", b"k", 1)], 3)
        self.assertEqual(watch.current.version, 3)
        self.assertEqual(watch.next_offset, 3)

    def test_key_that_the_leader_no_longer_has_is_withdrawn(self):
        watch = self.make_watch()
        watch.next_offset = 2
        watch.apply_records([("text", b"a", 0), ("key/1", b"k", 1)], 2)
        watch.apply_records([("text", b"a", 0)], 3)
        self.assertEqual(set(watch.records), {"text"})
        self.assertEqual(watch.current.version, 3)

    def test_older_relay_changes_nothing(self):
        watch = self.make_watch()
        watch.next_offset = 4
        watch.apply_records([("text", b"a", 0), ("key/2", b"k", 3)], 4)
        watch.apply_records([("text", b"a", 0)], 2)
        self.assertEqual(set(watch.records), {"text", "key/2"})
        self.assertEqual(watch.current.version, 4)


class RelayDuringReadTest(unittest.IsolatedAsyncioTestCase):
    async def test_key_withdrawn_by_a_relay_does_not_return_with_an_older_read(self):
        store = FakeStore()
        store.append_version(1)
        watch = ConfigWatch(
            store, CallerInterface("keyed.op", build_config, None), NullEventLog()
        )
        await watch._poll()
        store.records.append(StoredRecord(1, "key/1", b"k"))
        reading = asyncio.create_task(watch._poll())
        await asyncio.sleep(0)
        # The leader has read further: the key is withdrawn already.
        watch.apply_records([("config", b"1", 0)], 3)
        await reading
        self.assertEqual(set(watch.records), {"config"})
        self.assertEqual(watch.next_offset, 3)
