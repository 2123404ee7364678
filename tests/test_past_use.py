"""Test that past use orders waiting work where room is short, and nothing else.

Guards against accounts that have more than their share for hours, against use that is
lost or counted twice by a change of the leader, and against any effect where it is off.
"""

import asyncio
import unittest

import msgspec

from bulrushspur_daemon.term_past_use import PAST_USE_KEY
from bulrushspur_kernel.settings import Sharing
from bulrushspur_scheduler.config import Account
from bulrushspur_scheduler.past_use import (
    MAX_ACCOUNTS,
    MAX_LEVEL,
    PastUse,
    encode_past_use,
    load_past_use,
    make_levels,
    make_past_use,
)
from bulrushspur_scheduler.ranking import rank
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import add_test_job, make_test_cell, play
from tests.cluster import InProcessCluster, job_id

HOUR_S = 3600.0
ACCOUNTS = tuple(Account(name, (name,), 5.0) for name in ("old", "new"))


def make_contended_cell(half_life_s=HOUR_S):
    """Make a cell of two cores, of which account ``old`` has had all for an hour."""
    cell = make_test_cell(1, 2000, ACCOUNTS)
    cell.past_use = make_past_use(half_life_s)
    if cell.past_use is not None:
        cell.past_use.use_s = {"old": HOUR_S}
        cell.past_use.levels = make_levels(
            cell.past_use.use_s, {"old": 5.0, "new": 5.0}
        )
    return cell


def play_contention(cell, seconds=12.0, jobs_each=30):
    """Let both accounts send more than fits; return when jobs started, by account."""
    for index in range(jobs_each):
        for name in ("old", "new"):
            add_test_job(cell, f"{index:02}{name}", "bulk", account=name)
    starts = play(cell, 0.0, seconds, lambda job_id: 1.0)
    return {
        name: [at_s for job, at_s in starts.items() if job.endswith(name)]
        for name in ("old", "new")
    }


class OrderTest(unittest.TestCase):
    def test_newcomer_goes_before_an_account_that_had_the_cell_for_an_hour(self):
        starts = play_contention(make_contended_cell())
        without = play_contention(make_contended_cell(half_life_s=0.0))
        self.assertGreater(len(starts["new"]), 2 * len(starts["old"]))
        self.assertLess(abs(len(without["new"]) - len(without["old"])), 4)
        # Nothing stands idle for it.
        self.assertEqual(
            len(starts["new"]) + len(starts["old"]),
            len(without["new"]) + len(without["old"]),
        )

    def test_account_alone_gets_all_room_whatever_it_has_used(self):
        cell = make_contended_cell()
        for index in range(2):
            add_test_job(cell, f"old{index}", "bulk", account="old")
        self.assertEqual(len(play(cell, 0.0, 0.2, lambda job_id: 1.0)), 2)

    def test_past_use_goes_before_neither_priority_nor_being_on_time(self):
        cell = make_contended_cell()
        urgent = add_test_job(cell, "a", "small", account="old")
        bulk = add_test_job(cell, "b", "bulk", account="new")
        late = add_test_job(cell, "c", "small", now_s=-2.2, account="new")
        steps = [job.occurrences[0].steps[0] for job in (urgent, bulk, late)]
        ranks = [rank(cell, step, 0.0) for step in steps]
        self.assertLess(ranks[0], ranks[1])
        self.assertLess(ranks[0], ranks[2])

    def test_without_a_half_life_ranks_are_as_before(self):
        cell = make_test_cell(1, 2000, ACCOUNTS)
        job = add_test_job(cell, "a", "heavy", account="old")
        (step,) = job.occurrences[0].steps
        tier, priority, level, start_by_s, name = rank(cell, step, 0.0)
        self.assertEqual((tier, priority, level, name), (0, 1, 0, "a"))
        self.assertGreater(start_by_s, 0.0)
        self.assertEqual(Sharing().half_life_s, 0.0)
        self.assertIsNone(make_past_use(0.0))


class LevelTest(unittest.TestCase):
    def test_levels_follow_use_by_weight(self):
        levels = make_levels(
            {"a": 80.0, "b": 20.0, "c": 1.0}, {"a": 8.0, "b": 1.0, "c": 1.0}
        )
        self.assertEqual(levels, {"b": 1})
        levels = make_levels({"a": 97.0, "b": 1.0}, dict.fromkeys("abcdefgh", 1.0))
        self.assertEqual(levels, {"a": MAX_LEVEL})

    def test_little_use_says_nothing(self):
        self.assertEqual(make_levels({"a": 2.0}, {"a": 1.0, "b": 1.0}), {})
        self.assertEqual(make_levels({}, {}), {})

    def test_use_halves_in_a_half_life_and_is_never_negative(self):
        past_use = PastUse(HOUR_S, {"a": 100.0, "b": 0.0015})
        past_use.decay(HOUR_S)
        self.assertEqual(past_use.use_s, {"a": 50.0})
        past_use.decay(-HOUR_S)
        self.assertEqual(past_use.use_s, {"a": 50.0})

    def test_the_dominant_resource_counts(self):
        cell = make_test_cell(1, 16_000, ACCOUNTS)
        cell.past_use = make_past_use(HOUR_S)
        cell.usage_of("old").add(Resources(1600, 16_384))
        cell.past_use.count(cell, 10.0)
        self.assertAlmostEqual(cell.past_use.use_s["old"], 5.0)


class RecordTest(unittest.TestCase):
    def load(self, data, unix_s=0.0):
        cell = make_test_cell(1, accounts=ACCOUNTS)
        past_use = make_past_use(HOUR_S)
        load_past_use(cell, past_use, data, unix_s)
        names = [event.name for event in cell.events]
        return past_use.use_s, [name for name in names if "past_use" in name]

    def test_use_decays_while_no_leader_counts(self):
        data = encode_past_use(PastUse(HOUR_S, {"a": 100.0}), 1000.0)
        self.assertEqual(self.load(data, 1000.0 + HOUR_S)[0], {"a": 50.0})
        self.assertEqual(self.load(data, 500.0)[0], {"a": 100.0})

    def test_record_that_cannot_be_used_is_logged_and_counts_as_none(self):
        later = msgspec.msgpack.encode([2, 0.0, []])
        for data in (b"\xff", b"", later, msgspec.msgpack.encode(["x"])):
            with self.subTest(data=data):
                self.assertEqual(self.load(data), ({}, ["past_use_unreadable"]))

    def test_negative_and_endless_uses_are_dropped(self):
        rows = [("a", -5.0), ("b", float("inf")), ("c", float("nan")), ("d", 2.0)]
        data = msgspec.msgpack.encode([1, 0.0, rows])
        self.assertEqual(self.load(data), ({"d": 2.0}, []))

    def test_record_is_bounded(self):
        uses = {f"account-{i}": float(i + 1) for i in range(2 * MAX_ACCOUNTS)}
        data = encode_past_use(PastUse(HOUR_S, uses), 0.0)
        self.assertEqual(len(self.load(data)[0]), MAX_ACCOUNTS)
        self.assertLess(len(data), 200_000)


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    async def test_next_leader_knows_the_use_before_its_first_start(self):
        cluster = InProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        cluster.node_fields = {"sharing": Sharing(half_life_s=HOUR_S)}
        await cluster.start(nodes=2, workers=1)
        leader = cluster.find_leader()
        past_use = leader.process.term.cell.past_use
        past_use.use_s["school"] = 500.0
        writer = leader.process.term.writer
        writer.pending_records[PAST_USE_KEY] = encode_past_use(past_use, 4e9)
        await writer.wait_durable()
        await cluster.kill(leader)
        await cluster.wait_leader()
        recovered = cluster.find_leader().process.term.cell.past_use
        self.assertGreaterEqual(recovered.use_s["school"], 499.0)
        await cluster.submit(job_id(1))
        await cluster.wait_job_state(job_id(1), "completed")
        await asyncio.sleep(0)
        self.assertEqual(cluster.find_violations(), [])
