"""Tests of the order in which an owner starts work, and of its refusals."""

import collections
import unittest

from bulrushspur_core import events, queues
from bulrushspur_core.queues import Queues
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran
from bulrushspur_kernel.work import Policy, Room, Size
from tests.fake_owner import SMALL_WORKER, FakeOwner, allow_all_starts, make_text

TEXT = make_text(a=(1, 500, 1000), b=(3, 500, 1000), c=(1, 2, 5), filler=(1, 500, 1000))


class OwnerTest(unittest.TestCase):
    def setUp(self):
        allow_all_starts(self)
        self.owner = FakeOwner(TEXT, [SMALL_WORKER] * 3)

    def end_in_turn(self, running, steps):
        """End the oldest task, step by step, and count the starts by team."""
        counts = collections.Counter()
        running = collections.deque(running)
        for _ in range(steps):
            self.owner.now_s += 0.05
            self.owner.started = []
            self.owner.end(running.popleft())
            running.extend(self.owner.started)
            counts.update(one.work.team for one in self.owner.started)
        return counts

    def test_small_goes_before_heavy_of_any_team(self):
        running = self.owner.fill(24)
        for _ in range(20):
            self.owner.offer("a", Size.HEAVY)
        small = self.owner.offer("b", Size.SMALL)
        self.owner.end(running[0])
        self.assertEqual([one.ticket for one in self.owner.started], [small])

    def test_urgent_goes_first(self):
        running = self.owner.fill(24)
        self.owner.offer("a", Size.SMALL)
        urgent = self.owner.offer("b", Size.HEAVY, policy=Policy.URGENT)
        self.owner.end(running[0])
        self.assertEqual([one.ticket for one in self.owner.started], [urgent])

    def test_heavy_is_not_passed_for_ever(self):
        running = self.owner.fill(24)
        heavy = self.owner.offer("a", Size.HEAVY)
        for _ in range(400):
            self.owner.offer("a", Size.SMALL)
        self.owner.now_s += 6
        tickets = []
        running = collections.deque(running)
        for _ in range(4 * int(queues.PASSED_FACTOR_SMALL)):
            self.owner.started = []
            self.owner.end(running.popleft())
            running.extend(self.owner.started)
            tickets += [one.ticket for one in self.owner.started]
        self.assertIn(heavy, tickets)

    def test_shares_when_full(self):
        running = self.owner.fill(24)
        for _ in range(300):
            self.owner.offer("a", Size.MIDDLING)
            self.owner.offer("b", Size.MIDDLING)
        counts = self.end_in_turn(running, 240)
        self.assertAlmostEqual(counts["b"] / 240, 0.75, delta=0.03)

    def test_lent_share_comes_back(self):
        running = self.owner.fill(24, "a", size=Size.MIDDLING)
        for _ in range(300):
            self.owner.offer("a", Size.MIDDLING)
        self.end_in_turn(running, 0)
        for _ in range(300):
            self.owner.offer("b", Size.MIDDLING)
        counts = self.end_in_turn(running, 24)
        self.assertGreaterEqual(counts["b"], 16)

    def test_limit_holds_and_blocks_nobody_else(self):
        for _ in range(4):
            self.owner.offer("c")
        self.owner.offer("a")
        teams = [one.work.team for one in self.owner.started]
        self.assertEqual(teams, ["c", "c", "a"])

    def test_full_queue_is_refused_at_once_and_did_not_run(self):
        self.owner.fill(24)
        for _ in range(6):
            self.owner.offer("c")
        refused = [one for one in self.owner.sent if isinstance(one, msg.Refused)]
        self.assertEqual(len(refused), 1)
        refusal = refused[0].refusal
        self.assertEqual((refusal.kind, refusal.ran), (ErrorKind.QUEUE_FULL, Ran.NO))
        self.assertGreater(refusal.retry_after_s, 0)

    def test_unreachable_deadline_is_refused_only_when_certain(self):
        for one in self.owner.fill(24, kind="k", run_time_s=10.0):
            self.owner.end(one, run_time_s=10.0)
        self.owner.fill(24, kind="k", run_time_s=10.0)
        for _ in range(30):
            self.owner.offer("a", kind="k", run_time_s=10.0)
        self.owner.sent = []
        self.owner.offer("a", kind="k", run_time_s=10.0, deadline_s=20.0)
        self.assertIsInstance(self.owner.sent[-1], msg.Queued)
        self.owner.offer("a", kind="k", run_time_s=10.0, deadline_s=4.0)
        refusal = self.owner.sent[-1].refusal
        self.assertEqual(refusal.kind, ErrorKind.DEADLINE_UNREACHABLE)
        self.assertEqual(refusal.ran, Ran.NO)

    def test_withdrawn_offer_never_starts(self):
        running = self.owner.fill(24)
        ticket = self.owner.offer("a")
        door = msg.Member("d1", "b1")
        message = msg.Withdraw(ticket)
        self.owner.take(self.owner.node.receive(door, message, self.owner.now_s))
        self.owner.end(running[0])
        self.assertEqual(self.owner.started, [])
        self.assertEqual(queues.length_of(self.owner.node.state(Queues), "a"), 0)

    def test_offer_told_twice_starts_once(self):
        self.owner.offer("a", ticket="x")
        self.owner.offer("a", ticket="x")
        self.assertEqual(len(self.owner.started), 1)

    def test_one_kind_without_room_blocks_no_other(self):
        self.owner.offer("a", Size.HEAVY, room=Room(1, 1.0, 99_999, 0))
        self.owner.offer("a", Size.HEAVY)
        self.assertEqual(len(self.owner.started), 1)

    def test_spare_room_elsewhere_takes_the_first_offers(self):
        self.owner.fill(24)
        heavy = self.owner.offer("a", Size.HEAVY)
        small = self.owner.offer("b", Size.SMALL)
        self.owner.sent = []
        peer = msg.Member("n2", "b1")
        message = msg.Spare(1)
        self.owner.take(self.owner.node.receive(peer, message, self.owner.now_s))
        moved = [one for one in self.owner.sent if isinstance(one, msg.Refused)]
        self.assertEqual([(moved[0].ticket, moved[0].elsewhere)], [(small, "n2")])
        self.assertIn(heavy, self.owner.node.state(Queues).offers)

    def list_tasks(self, running, asked_s):
        event = events.TasksListed("w0", running, {}, asked_s)
        self.owner.take(self.owner.node.handle(event, self.owner.now_s))

    def test_a_lost_task_keeps_its_room_until_a_later_list_lacks_it(self):
        self.owner = FakeOwner(TEXT, [SMALL_WORKER])
        first = self.owner.fill(8)[0]
        waiting = self.owner.offer("b", Size.SMALL)
        self.owner.started = []
        self.owner.end(first, outcome="lost")
        self.list_tasks([], asked_s=self.owner.now_s)
        self.assertEqual(self.owner.started, [])
        self.owner.now_s += 5.0
        self.list_tasks([], asked_s=self.owner.now_s)
        self.assertEqual([one.ticket for one in self.owner.started], [waiting])

    def test_a_list_asked_before_a_detached_start_proves_nothing(self):
        self.owner = FakeOwner(TEXT, [SMALL_WORKER])
        first = self.owner.fill(8)[0]
        self.owner.offer("b", Size.SMALL)
        asked_s = self.owner.now_s
        self.owner.now_s += 0.1
        self.owner.started = []
        self.owner.end(first, outcome="detached")
        self.list_tasks([], asked_s)
        self.assertEqual(self.owner.started, [])
