"""Tests of the oracle of the demo: each of its checks can fail."""

import unittest

from bench.demo import make_text
from bench.demo_checks import Call, check_calls, check_history
from bulrushspur_kernel.text import convert_text

NOT_RUN = {"kind": "deadline_passed", "ran": "no"}


def make_call(**changes):
    row = {"request_id": "r", "door": "n1", "sent_s": 1.0, "ended_s": 2.0, "error": ""}
    return Call("a", "place", True, 1, **{**row, **changes})


def make_row(request_id, started_s, ended_s):
    return {
        "request_id": request_id,
        "team": "a",
        "started_s": started_s,
        "ended_s": ended_s,
    }


class CallsTest(unittest.TestCase):
    def faults(self, call, starts=(), killed=None):
        withdrawn = ("a", 5.0)
        fine = Call("b", "place", True, 0, "s", "n1", whole=True, status=200, error="")
        starts = dict.fromkeys([*starts, "s"], 1.0)
        return check_calls([call, fine], starts, killed or {}, withdrawn)

    def test_kind_that_is_never_answered(self):
        call = make_call(refusal={"kind": "home_unreachable", "ran": "maybe"})
        faults = check_calls([call], {}, {}, ("", 0.0))
        self.assertEqual(faults, ["no request of kind place was answered"])

    def test_whole_answer_is_no_fault(self):
        self.assertEqual(self.faults(make_call(status=200, whole=True), ["r"]), [])

    def test_mismatched_answer(self):
        self.assertIn("not its own", self.faults(make_call(status=200), ["r"])[0])

    def test_untrue_not_run(self):
        call = make_call(refusal=NOT_RUN)
        self.assertIn("told not run", self.faults(call, ["r"])[0])
        self.assertEqual(self.faults(call), [])

    def test_answer_that_no_worker_gave(self):
        call = make_call(status=200, whole=True)
        self.assertIn("no worker ran it", self.faults(call)[0])

    def test_lost_connection_only_with_its_door(self):
        call = make_call(error="lost: x")
        self.assertEqual(len(self.faults(call)), 1)
        self.assertEqual(len(self.faults(call, killed={"n1": 60.0})), 1)
        self.assertEqual(self.faults(call, killed={"n1": 1.5}), [])

    def test_answer_on_a_withdrawn_key(self):
        call = make_call(status=200, whole=True, sent_s=6.0)
        self.assertIn("withdrawn", self.faults(call, ["r"])[0])


class HistoryTest(unittest.TestCase):
    def test_limit_and_two_places(self):
        rows = [make_row("x", 1.0, 3.0), make_row("y", 3.0, None)]
        self.assertEqual(check_history(rows, {"a": 1}), [])
        rows.append(make_row("x", 2.0, 2.5))
        faults = check_history(rows, {"a": 1})
        self.assertEqual([one.split()[0] for one in faults], ["request", "team"])


class ExamplesTest(unittest.TestCase):
    def test_text_of_the_demo_is_valid(self):
        self.assertTrue(convert_text(make_text()).is_ok())
