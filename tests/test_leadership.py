"""Tests of when a process claims to lead."""

import dataclasses
import unittest

from bulrushspur_scheduler.leadership import (
    Candidate,
    LeaderView,
    claim_delay_s,
    is_leader_lost,
)

HEALTHY = LeaderView(
    is_known=True,
    has_heartbeat=True,
    heartbeat_age_s=0.1,
    claim_age_s=100.0,
    claim_preexisting=False,
    restarted=False,
    disconnected=False,
    leader_store_age_s=0.1,
    resigned=False,
)


class LeaderIsLostTest(unittest.TestCase):
    def lost(self, **changes):
        return is_leader_lost(dataclasses.replace(HEALTHY, **changes))

    def test_calm(self):
        self.assertFalse(self.lost())

    def test_leader_that_was_never_there_or_went(self):
        self.assertTrue(self.lost(is_known=False))
        self.assertTrue(self.lost(resigned=True))
        self.assertTrue(self.lost(restarted=True))

    def test_silence_behind_a_large_answer_is_no_loss_at_once(self):
        self.assertFalse(self.lost(heartbeat_age_s=2.0, link_busy=True))
        self.assertTrue(self.lost(heartbeat_age_s=2.6, link_busy=True))
        just_started = {
            "has_heartbeat": False,
            "heartbeat_age_s": 1e9,
            "claim_preexisting": True,
        }
        self.assertFalse(self.lost(claim_age_s=2.0, link_busy=True, **just_started))
        self.assertTrue(self.lost(claim_age_s=2.0, **just_started))

    def test_silence(self):
        self.assertFalse(self.lost(heartbeat_age_s=0.5))
        self.assertTrue(self.lost(heartbeat_age_s=1.0))

    def test_broken_connection_shortens_the_wait(self):
        self.assertFalse(self.lost(heartbeat_age_s=0.2, disconnected=True))
        self.assertTrue(self.lost(heartbeat_age_s=0.5, disconnected=True))

    def test_store_lost_by_the_leader_alone(self):
        self.assertTrue(self.lost(leader_store_age_s=1.0))

    def test_new_leader_gets_time_to_be_heard(self):
        fresh = {"has_heartbeat": False, "heartbeat_age_s": 1e9}
        self.assertFalse(self.lost(**fresh, claim_age_s=0.8))
        self.assertTrue(self.lost(**fresh, claim_age_s=1.2))
        self.assertFalse(self.lost(**fresh, claim_age_s=0.4, claim_preexisting=True))
        self.assertTrue(self.lost(**fresh, claim_age_s=0.8, claim_preexisting=True))

    def test_process_that_was_cut_off_listens_first(self):
        self.assertFalse(self.lost(heartbeat_age_s=5.0, store_regained_age_s=0.3))
        self.assertTrue(self.lost(heartbeat_age_s=5.0, store_regained_age_s=1.5))
        self.assertTrue(self.lost(restarted=True, store_regained_age_s=0.3))

    def test_order_of_claims(self):
        candidates = [
            Candidate("a", "north", 0.5, 9),
            Candidate("b", "north", 2.0, 3),
            Candidate("c", "north", 0.5, 5),
            Candidate("d", "south", 4.0, 1),
        ]

        def delay_s(name):
            return claim_delay_s(name, candidates, "south", False)

        self.assertEqual(sorted("abcd", key=delay_s), ["b", "a", "c", "d"])
        self.assertEqual(delay_s("b"), 0.0)
