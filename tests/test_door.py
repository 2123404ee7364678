"""Tests of the door: one end for each request, and no attempt that could run twice."""

import unittest
from unittest import mock

from bulrushspur_core import Me, door, events, ids, make_node
from bulrushspur_core import effects as fx
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal
from bulrushspur_kernel.messages import Member
from bulrushspur_kernel.work import Policy, Room, Size, Work

N2 = Member("n2", "b2")
N3 = Member("n3", "b3")
ID = "north~100~00ff"


def make_work(request_id="r", idempotent=True, deadline_s=10.0):
    return Work(
        request_id,
        "a",
        "coursework",
        "place",
        Policy.REQUEST,
        Size.SMALL,
        idempotent,
        deadline_s,
        0.01,
        Room(1, 1.0, 1, 0),
    )


class DoorTest(unittest.TestCase):
    def setUp(self):
        self.node = make_node(Me("n1", "b1", "north"), 1, {})
        self.states = []
        self.owners = ["n2", "n3", "n2", "n3"]
        self.patch("check_admission", lambda node, work, now_s: None)
        self.patch("choose_owner", lambda *args: self.owners.pop(0))
        self.patch("may_retry", lambda node, work, attempts, now_s: attempts < 3)
        claim = mock.patch.object(ids, "claim", self.note_claim)
        state = mock.patch.object(ids, "set_state", self.note_state)
        for one in (claim, state):
            one.start()
            self.addCleanup(one.stop)
        self.claims = []

    def patch(self, name, func):
        patcher = mock.patch.object(door, name, func)
        patcher.start()
        self.addCleanup(patcher.stop)

    def note_claim(self, node, ticket, request_id, digest, now_s):
        self.claims.append(ticket)

    def note_state(self, node, request_id, state, now_s):
        self.states.append(state)

    def submit(self, work=None, **more):
        return self.node.handle(events.Submitted("t", work or make_work(), **more), 0.0)

    def take(self, sender, message, now_s=1.0):
        return self.node.receive(sender, message, now_s)

    def grant(self, offer="t#1", sender=N2):
        return self.take(sender, msg.Granted(offer, "w1", "task"))

    def refusals(self, effects):
        return [one.refusal for one in effects if isinstance(one, fx.Resolve)]

    def offers(self, effects):
        return [
            (one.to, one.message.ticket)
            for one in effects
            if isinstance(one, fx.Send) and isinstance(one.message, msg.Offer)
        ]

    def fail_answer(self, ran, offer="t#1", sender=N2):
        refusal = Refusal(ErrorKind.WORKER_LOST, "lost", ran)
        return self.take(sender, msg.AnswerFailed(offer, refusal))

    def assert_forgotten(self):
        state = self.node.state(door.Door)
        self.assertEqual((state.open, state.offers, state.claims_left), ({}, {}, {}))

    def test_answer_of_an_old_attempt_ends_nothing(self):
        self.submit()
        self.grant()
        self.assertEqual(self.offers(self.fail_answer(Ran.NO)), [("n3", "t#2")])
        self.assertEqual(self.fail_answer(Ran.YES), [])
        late = self.grant()
        self.assertEqual(late, [fx.Send("n2", msg.Withdraw("t#1"))])
        self.node.handle(events.AnswerDelivered("t#1"), 2.0)
        self.assertIn("t", self.node.state(door.Door).open)
        self.grant("t#2", N3)
        self.node.handle(events.AnswerDelivered("t#2"), 2.0)
        self.assert_forgotten()

    def test_same_owner_tells_its_attempts_apart(self):
        self.owners = ["n2", "n2"]
        self.submit()
        self.grant()
        self.fail_answer(Ran.NO)
        self.assertEqual(self.grant("t#1"), [fx.Send("n2", msg.Withdraw("t#1"))])
        self.assertEqual(self.refusals(self.fail_answer(Ran.YES)), [])

    def test_owner_lost_before_the_body_left_is_tried_again(self):
        self.submit(make_work(ID, idempotent=False))
        self.node.handle(events.IdSettled("t", True), 0.0)
        effects = self.node.handle(events.PeerLost("n2", "b2"), 1.0)
        self.assertEqual(self.offers(effects), [("n3", "t#2")])
        self.assertIn(fx.BreakStreams("n2"), effects)

    def test_owner_lost_after_the_body_left_may_have_run(self):
        self.submit(make_work(ID, idempotent=False))
        self.node.handle(events.IdSettled("t", True), 0.0)
        self.grant()
        effects = self.node.handle(events.PeerLost("n2", "b2"), 1.0)
        self.assertEqual(self.refusals(effects)[0].ran, Ran.MAYBE)
        self.assertEqual(self.states, ["started", "lost"])
        self.assert_forgotten()

    def test_body_that_cannot_be_sent_again_is_not_tried_again(self):
        self.submit(replayable=False)
        self.grant()
        self.assertEqual(len(self.refusals(self.fail_answer(Ran.NO))), 1)

    def test_nothing_follows_a_part_of_an_answer(self):
        self.submit()
        self.grant()
        self.node.handle(events.AnswerStarted("t#1"), 1.0)
        self.assertEqual(self.refusals(self.node.run_timers(100.0)), [])
        self.assertEqual(len(self.refusals(self.fail_answer(Ran.MAYBE))), 1)

    def test_cancel_tells_whether_it_may_have_run(self):
        for granted, ran in ((False, Ran.NO), (True, Ran.MAYBE)):
            self.owners = ["n2"]
            self.submit()
            if granted:
                self.grant()
            effects = self.node.handle(events.CancelAsked("t"), 1.0)
            self.assertEqual(self.refusals(effects)[0].ran, ran)
            self.assertIn(fx.Send("n2", msg.Withdraw("t#1")), effects)
            self.assert_forgotten()

    def test_deadline_ends_a_request_once(self):
        self.submit(make_work(deadline_s=5.0))
        effects = self.node.run_timers(6.0)
        kinds = [one.kind for one in self.refusals(effects)]
        self.assertEqual(kinds, [ErrorKind.DEADLINE_PASSED])
        self.assertEqual(self.refusals(self.fail_answer(Ran.NO)), [])

    def test_non_idempotent_needs_an_id_of_ours(self):
        effects = self.submit(make_work("mine", idempotent=False))
        self.assertEqual(self.refusals(effects)[0].kind, ErrorKind.ID_NEEDED)
        self.assertEqual(self.claims, [])

    def test_nothing_is_offered_before_the_id_is_settled(self):
        effects = self.submit(make_work(ID, idempotent=False))
        self.assertEqual(self.offers(effects), [])
        effects = self.node.handle(events.IdSettled("t", True), 0.1)
        self.assertEqual(self.offers(effects), [("n2", "t#1")])
        self.grant()
        self.node.handle(events.AnswerDelivered("t#1"), 1.0)
        self.assertEqual(self.states, ["started", "done"])

    def test_id_of_another_request_is_left_alone(self):
        self.submit(make_work(ID, idempotent=False))
        refusal = Refusal(ErrorKind.ID_USED, "used", Ran.YES)
        effects = self.node.handle(events.IdSettled("t", False, None, refusal), 0.1)
        self.assertEqual(self.refusals(effects), [refusal])
        self.assertEqual(self.states, [])

    def test_id_that_settles_after_the_request_is_freed(self):
        self.submit(make_work(ID, idempotent=False))
        self.node.handle(events.CancelAsked("t"), 0.1)
        self.assertEqual(self.states, [])
        self.node.handle(events.IdSettled("t", True), 0.2)
        self.assertEqual(self.states, ["not_run"])
        self.assert_forgotten()

    def test_stopping_door_takes_nothing_new(self):
        self.node.handle(events.StopAsked(), 0.0)
        effects = self.submit()
        self.assertEqual(self.refusals(effects)[0].kind, ErrorKind.STOPPING)

    def test_an_earlier_attempt_that_ran_is_never_forgotten(self):
        self.submit()
        self.grant()
        self.fail_answer(Ran.YES)
        refusals = self.refusals(self.node.handle(events.CancelAsked("t"), 2.0))
        self.assertEqual([one.ran for one in refusals], [Ran.YES])

    def test_an_attempt_at_a_lost_owner_may_have_run(self):
        self.submit()
        self.grant()
        self.node.handle(events.PeerLost("n2", "b2"), 2.0)
        refusals = self.refusals(self.node.handle(events.CancelAsked("t"), 3.0))
        self.assertEqual([one.ran for one in refusals], [Ran.MAYBE])
