"""Tests of moving queued offers, and of the slots kept for small work."""

import unittest

from bulrushspur_core import express, moves
from bulrushspur_core.membership import Members, Peer
from bulrushspur_core.queues import Queues
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.work import Policy, Room, Size
from tests.fake_owner import SMALL_WORKER, FakeOwner, allow_all_starts, make_text

TEXT = make_text(a=(1, 500, 20_000), b=(1, 500, 20_000), filler=(1, 500, 20_000))
PEER = msg.Member("n2", "b1")


class MovesTest(unittest.TestCase):
    def setUp(self):
        allow_all_starts(self)
        self.owner = FakeOwner(TEXT, [SMALL_WORKER] * 3)
        info = msg.PeerInfo("n2", "b1", "south", "r", "")
        load = msg.Load(4, 24)
        peers = self.owner.node.state(Members).peers
        peers["n2"] = Peer(info, self.owner.now_s, load)

    def receive(self, message):
        self.owner.sent = []
        self.owner.take(self.owner.node.receive(PEER, message, self.owner.now_s))
        return self.owner.sent

    def moved(self, message):
        sent = self.receive(message)
        return [one.ticket for one in sent if isinstance(one, msg.Refused)]

    def test_a_waiting_small_offer_asks_at_once(self):
        self.owner.fill(24, size=Size.MIDDLING)
        self.owner.sent = []
        self.owner.offer("a")
        asked = [one for one in self.owner.sent if isinstance(one, msg.Spare)]
        self.assertEqual([(one.slots, one.small_slots) for one in asked], [(-1, -1)])

    def test_room_is_promised_once(self):
        self.owner.fill(20, size=Size.MIDDLING)
        self.assertEqual([one.slots for one in self.receive(msg.Spare(-3, 0))], [3])
        self.assertEqual([one.slots for one in self.receive(msg.Spare(-3, 0))], [1])
        self.assertEqual(self.receive(msg.Spare(-3, 0)), [])

    def test_no_more_is_moved_than_there_is_room_for(self):
        self.owner.fill(24, size=Size.MIDDLING)
        wide = self.owner.offer("a", Size.HEAVY, room=Room(2, 2.0, 512, 0))
        smalls = [self.owner.offer("a") for _ in range(3)]
        self.assertEqual(self.moved(msg.Spare(0, 2)), smalls[:2])
        self.assertEqual(self.moved(msg.Spare(1, 0)), smalls[2:])
        self.assertEqual(self.moved(msg.Spare(1, 0)), [])
        self.assertEqual(self.moved(msg.Spare(2, 0)), [wide])

    def test_asks_less_often_when_nobody_has_room(self):
        self.owner.fill(24, size=Size.MIDDLING)
        self.owner.offer("a")
        self.owner.sent = []
        for _ in range(200):
            self.owner.now_s += 0.01
            moves.ask_for_room(self.owner.node, self.owner.now_s)
            self.owner.take(self.owner.node.drain(self.owner.now_s))
        self.assertLess(len(self.owner.sent), 20)

    def test_slots_are_kept_for_small_work_that_keeps_coming(self):
        running = []
        for _ in range(60):
            self.owner.now_s += 0.1
            self.owner.offer("a", run_time_s=0.5)
            running += self.owner.started
            self.owner.started = []
            if len(running) > 4:
                self.owner.end(running.pop(0), run_time_s=0.5)
        for one in running:
            self.owner.end(one, run_time_s=0.5)
        self.owner.fill(40, "b", size=Size.HEAVY)
        small = self.owner.offer("a", run_time_s=0.5)
        self.assertEqual([one.ticket for one in self.owner.started], [small])

    def test_no_slot_is_kept_where_no_small_work_comes(self):
        self.assertEqual(express.kept_slots(self.owner.node, 24, self.owner.now_s), 0)
        self.owner.fill(24, size=Size.HEAVY)
        views = self.owner.node.state(Queues)
        self.assertEqual(len(views.offers), 0)

    def test_urgent_takes_a_kept_slot(self):
        for _ in range(60):
            self.owner.now_s += 0.1
            self.owner.offer("a", run_time_s=0.5)
            for one in self.owner.started:
                self.owner.end(one, run_time_s=0.5)
            self.owner.started = []
        self.owner.fill(40, "b", size=Size.HEAVY)
        urgent = self.owner.offer("b", Size.HEAVY, policy=Policy.URGENT)
        self.assertEqual([one.ticket for one in self.owner.started], [urgent])

    def test_stop_hands_over_what_waits(self):
        self.owner.fill(24, size=Size.MIDDLING)
        tickets = {self.owner.offer("a"), self.owner.offer("b", Size.HEAVY)}
        self.owner.sent = []
        moves.on_stop_asked(self.owner.node, None, self.owner.now_s)
        self.owner.take(self.owner.node.drain(self.owner.now_s))
        handed = {one.ticket: one.elsewhere for one in self.owner.sent}
        self.assertEqual(handed, dict.fromkeys(tickets, "n2"))

    def test_wave_of_lost_door_leaves_nothing(self):
        self.owner.fill(24, size=Size.MIDDLING)
        for _ in range(10_000):
            self.owner.offer("a", Size.HEAVY)
        for i in range(10_000):
            ticket = f"t{25 + i}"
            door = msg.Member("d1", "b1")
            message = msg.Withdraw(ticket)
            self.owner.node.receive(door, message, self.owner.now_s)
        waiting = self.owner.node.state(Queues)
        self.assertEqual((len(waiting.offers), waiting.teams["a"].lines), (0, {}))
        self.assertAlmostEqual(waiting.work_s, 0.0, places=6)
