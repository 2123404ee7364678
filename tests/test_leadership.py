"""Test when a process considers the leader lost, and which process claims first.

The tests guard against a slow takeover after a real loss, and against claims while the
leader is only delayed: behind a large answer, after its claim, or after this process
was itself cut off from the store.
"""

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
    def is_lost(self, **changes):
        return is_leader_lost(dataclasses.replace(HEALTHY, **changes))

    def test_healthy_leader_is_kept(self):
        self.assertFalse(self.is_lost())

    def test_unknown_resigned_or_restarted_leader_is_lost(self):
        self.assertTrue(self.is_lost(is_known=False))
        self.assertTrue(self.is_lost(resigned=True))
        self.assertTrue(self.is_lost(restarted=True))

    def test_busy_link_extends_the_heartbeat_timeout(self):
        self.assertFalse(self.is_lost(heartbeat_age_s=2.0, link_busy=True))
        self.assertTrue(self.is_lost(heartbeat_age_s=2.6, link_busy=True))
        just_started = {
            "has_heartbeat": False,
            "heartbeat_age_s": 1e9,
            "claim_preexisting": True,
        }
        self.assertFalse(self.is_lost(claim_age_s=2.0, link_busy=True, **just_started))
        self.assertTrue(self.is_lost(claim_age_s=2.0, **just_started))

    def test_missing_heartbeats(self):
        self.assertFalse(self.is_lost(heartbeat_age_s=0.5))
        self.assertTrue(self.is_lost(heartbeat_age_s=1.0))

    def test_broken_connection_shortens_the_timeout(self):
        self.assertFalse(self.is_lost(heartbeat_age_s=0.2, disconnected=True))
        self.assertTrue(self.is_lost(heartbeat_age_s=0.5, disconnected=True))

    def test_leader_without_store_contact_is_lost(self):
        self.assertTrue(self.is_lost(leader_store_age_s=1.0))

    def test_new_leader_has_time_for_its_first_heartbeat(self):
        new_leader = {"has_heartbeat": False, "heartbeat_age_s": 1e9}
        self.assertFalse(self.is_lost(**new_leader, claim_age_s=0.8))
        self.assertTrue(self.is_lost(**new_leader, claim_age_s=1.2))
        self.assertFalse(
            self.is_lost(**new_leader, claim_age_s=0.4, claim_preexisting=True)
        )
        self.assertTrue(
            self.is_lost(**new_leader, claim_age_s=0.8, claim_preexisting=True)
        )

    def test_process_that_was_cut_off_waits_for_heartbeats(self):
        self.assertFalse(self.is_lost(heartbeat_age_s=5.0, store_regained_age_s=0.3))
        self.assertTrue(self.is_lost(heartbeat_age_s=5.0, store_regained_age_s=1.5))
        self.assertTrue(self.is_lost(restarted=True, store_regained_age_s=0.3))

    def test_claim_order(self):
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
