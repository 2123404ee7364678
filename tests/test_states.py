"""Tests of the states of requests."""

import unittest

import msgspec

from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import Ran
from bulrushspur_kernel.states import RequestState, ran_of, state_of


class StatesTest(unittest.TestCase):
    def test_state_of_a_refusal_tells_whether_it_ran(self):
        for ran in Ran:
            self.assertIs(ran_of(state_of(ran)), ran)

    def test_state_without_an_end_may_have_run(self):
        doubtful = {one for one in RequestState if ran_of(one) is Ran.MAYBE}
        ended = {RequestState.DONE, RequestState.FAILED, RequestState.NOT_RUN}
        self.assertEqual(doubtful, set(RequestState) - ended)

    def test_state_travels_by_value(self):
        data = msgspec.msgpack.encode(msg.IdState("i", RequestState.NOT_RUN))
        self.assertEqual(msgspec.msgpack.decode(data)[1], "not_run")
        state = msgspec.msgpack.decode(data, type=msg.IdState).state
        self.assertIs(state, RequestState.NOT_RUN)
