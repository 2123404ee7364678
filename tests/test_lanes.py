"""Test which VM makes a call of the advice service, and when.

The tests guard against short calls that wait behind long ones, behind a VM that has
died, is silent or cut off from the service, or behind the calls queued there.
"""

import random
import unittest

from bulrushspur_scheduler.cell import AdviceCall
from bulrushspur_scheduler.job_specs import StepKey
from bulrushspur_scheduler.lanes import (
    ATTEMPT_TIMEOUT_MARGIN_S,
    MAX_ATTEMPTS,
    AdviceQueue,
)

SHORT_CALL_S = 0.03
LONG_CALL_S = 0.7


def make_call(name, expected_call_s=SHORT_CALL_S, priority=0):
    return AdviceCall(StepKey(name, 0, 0), ("w0",), expected_call_s, priority)


def make_queue(lanes=("n0", "n1", "n2", "n3")):
    queue = AdviceQueue()
    queue.set_available(lanes)
    return queue


class AdviceQueueTest(unittest.TestCase):
    def test_a_lane_gets_one_call_at_a_time(self):
        queue = make_queue(("n0",))
        for index in range(10):
            queue.add(make_call(f"j{index}"))
        (attempt,) = queue.take_sendable(1.0)
        self.assertEqual(queue.take_sendable(1.01), [])
        call = queue.handle_reply(attempt.request_id, True, 1.04)
        self.assertEqual(call.step.job, "j0")
        (attempt,) = queue.take_sendable(1.04)
        self.assertEqual(attempt.queued.call.step.job, "j1")

    def test_urgent_calls_go_first(self):
        queue = make_queue(("n0",))
        queue.add(make_call("late", priority=2))
        queue.add(make_call("urgent", priority=0))
        (attempt,) = queue.take_sendable(1.0)
        self.assertEqual(attempt.queued.call.step.job, "urgent")

    def test_long_calls_use_only_a_part_of_the_lanes(self):
        queue = make_queue()
        for index in range(8):
            queue.add(make_call(f"j{index}", LONG_CALL_S))
        attempts = queue.take_sendable(1.0)
        self.assertEqual({a.lane.name for a in attempts}, {"n0", "n1"})
        queue.add(make_call("short"))
        (attempt,) = queue.take_sendable(1.0)
        self.assertIn(attempt.lane.name, {"n2", "n3"})

    def test_long_calls_go_to_other_lanes_while_the_usual_ones_fail(self):
        queue = make_queue()
        now_s, lanes = 1.0, []
        for index in range(4):
            queue.add(make_call(f"j{index}", LONG_CALL_S))
            (attempt,) = queue.take_sendable(now_s)
            lanes.append(attempt.lane.name)
            fails = attempt.lane.name in ("n0", "n1")
            queue.handle_reply(attempt.request_id, not fails, now_s)
            for again in queue.take_sendable(now_s):
                lanes.append(again.lane.name)
                fails = again.lane.name in ("n0", "n1")
                queue.handle_reply(again.request_id, not fails, now_s)
            now_s += 0.01
        self.assertIn("n2", lanes)
        self.assertEqual(lanes[-1], "n2")

    def test_short_calls_use_all_lanes_that_are_free(self):
        queue = make_queue()
        for index in range(6):
            queue.add(make_call(f"j{index}"))
        self.assertEqual(len(queue.take_sendable(1.0)), 4)

    def test_late_call_goes_to_another_lane_and_the_first_reply_counts(self):
        queue = make_queue(("n0", "n1"))
        queue.add(make_call("j0"))
        (first,) = queue.take_sendable(1.0)
        self.assertEqual(queue.check_late(1.05), [])
        self.assertEqual(queue.check_late(1.3), [])
        (second,) = queue.take_sendable(1.3)
        self.assertIsNot(second.lane, first.lane)
        self.assertIsNotNone(queue.handle_reply(second.request_id, True, 1.33))
        self.assertIsNone(queue.handle_reply(first.request_id, True, 1.5))
        self.assertEqual(queue.attempts, {})

    def test_silent_lane_gets_no_further_call_until_its_attempt_has_ended(self):
        queue = make_queue(("n0", "n1"))
        queue.add(make_call("j0"))
        (silent,) = queue.take_sendable(1.0)
        now_s = 1.0
        for index in range(1, 20):
            now_s += 0.05
            queue.check_late(now_s)
            queue.add(make_call(f"j{index}"))
            for attempt in queue.take_sendable(now_s):
                self.assertIsNot(attempt.lane, silent.lane)
                queue.handle_reply(attempt.request_id, True, now_s + SHORT_CALL_S)

    def test_failed_call_goes_to_another_lane_at_once(self):
        queue = make_queue(("n0", "n1"))
        queue.add(make_call("j0"))
        (first,) = queue.take_sendable(1.0)
        self.assertIsNone(queue.handle_reply(first.request_id, False, 1.01))
        (second,) = queue.take_sendable(1.01)
        self.assertIsNot(second.lane, first.lane)
        self.assertIsNotNone(queue.handle_reply(second.request_id, True, 1.04))

    def test_call_that_fails_everywhere_is_returned_as_failed(self):
        queue = make_queue(("n0",))
        queue.add(make_call("j0"))
        calls = []
        for index in range(MAX_ATTEMPTS):
            (attempt,) = queue.take_sendable(1.0 + index)
            calls.append(queue.handle_reply(attempt.request_id, False, 1.1 + index))
        self.assertEqual([call is not None for call in calls], [False, False, True])

    def test_call_without_any_reply_is_lost_in_the_end(self):
        queue = make_queue(("n0",))
        queue.add(make_call("j0"))
        now_s, lost = 1.0, []
        while not lost and now_s < 10.0:
            queue.take_sendable(now_s)
            now_s += 0.1
            lost = queue.check_late(now_s)
        self.assertEqual([call.step.job for call in lost], ["j0"])
        allowed_s = MAX_ATTEMPTS * (SHORT_CALL_S + ATTEMPT_TIMEOUT_MARGIN_S + 0.2)
        self.assertLess(now_s - 1.0, allowed_s)
        self.assertEqual(queue.take_sendable(now_s), [])

    def test_calls_of_cancelled_jobs_take_no_lane(self):
        queue = make_queue(("n0",))
        for name in ("j0", "cancelled", "j2"):
            queue.add(make_call(name))
        queue.drop_unwanted(lambda call: call.step.job != "cancelled")
        sent = []
        for _ in range(3):
            for attempt in queue.take_sendable(1.0):
                sent.append(attempt.queued.call.step.job)
                queue.handle_reply(attempt.request_id, True, 1.0)
        self.assertEqual(sent, ["j0", "j2"])

    def test_lanes_that_are_usually_slow_are_waited_for(self):
        queue = make_queue(("n0", "n1"))
        now_s = 1.0
        for index in range(40):
            queue.add(make_call(f"j{index}"))
            (attempt,) = queue.take_sendable(now_s)
            now_s += SHORT_CALL_S + 0.2
            queue.handle_reply(attempt.request_id, True, now_s)
        queue.add(make_call("last"))
        (attempt,) = queue.take_sendable(now_s)
        queue.check_late(now_s + SHORT_CALL_S + 0.22)
        self.assertFalse(attempt.is_late)


class DyingLanesTest(unittest.TestCase):
    """Play a second of load in which half of the lanes die, and look at the waits."""

    def play(self, seed):
        rng = random.Random(seed)
        queue = make_queue(tuple(f"n{index}" for index in range(6)))
        dead, now_s, waits_s, pending = set(), 0.0, [], []
        asked_s = {}
        while now_s < 3.0:
            now_s += 0.005
            if now_s > 1.0 and not dead:
                dead = {"n0", "n3", "n5"}
            if now_s > 1.6:
                # Their heartbeats are missing.
                queue.set_available(name for name in queue.lanes if name not in dead)
            if now_s < 2.0 and rng.random() < 0.1:
                name = f"j{len(asked_s)}"
                asked_s[name] = now_s
                queue.add(make_call(name))
            queue.check_late(now_s)
            for attempt in queue.take_sendable(now_s):
                if attempt.lane.name not in dead:
                    pending.append(attempt)
            for attempt in [a for a in pending if a.due_s <= now_s]:
                pending.remove(attempt)
                if attempt.lane.name in dead:
                    continue
                call = queue.handle_reply(attempt.request_id, True, now_s)
                if call is not None:
                    waits_s.append(now_s - asked_s[call.step.job])
        return len(asked_s), waits_s

    def test_no_short_call_waits_long_for_lanes_that_died(self):
        for seed in range(10):
            count, waits_s = self.play(seed)
            self.assertEqual(len(waits_s), count)
            self.assertLess(max(waits_s), 0.3)


if __name__ == "__main__":
    unittest.main()
