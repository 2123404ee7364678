"""Test when a process claims if the leader reports that it lost the store.

A process that lost the store as well must not claim as soon as it regains it: the
leader may regain it at the same time, and then no change of leaders is needed.
"""

import dataclasses
import time
import unittest

from bulrushspur_daemon.election import Election
from bulrushspur_kernel.membership_records import LeaderRecord
from tests.test_config_watch import NullEventLog


@dataclasses.dataclass
class FakeStore:
    last_bulk_s: float = -1e9


@dataclasses.dataclass
class FakeMembershipLog:
    """A membership log with one leader, which claimed long ago."""

    store_unavailable: bool = False
    term: int = 1
    term_seen_s: float = -1e9
    term_preexisting: bool = False
    leader_restarted: bool = False
    next_offset: int = 2
    claims: int = 0
    nodes: dict = dataclasses.field(default_factory=dict)
    node_offsets: dict = dataclasses.field(default_factory=dict)
    store: FakeStore = dataclasses.field(default_factory=FakeStore)
    leader: LeaderRecord = dataclasses.field(
        default_factory=lambda: LeaderRecord("other", "c", "b")
    )

    async def read(self):
        pass

    async def claim(self, record):
        self.claims += 1


@dataclasses.dataclass
class FakeLeaderClient:
    """A leader that sends heartbeats and reports that the store does not answer it."""

    term: int = 1
    last_heartbeat_s: float = 0.0
    connection_broken_s: float = -1.0
    store_age_s: float = 4.0
    resigned: bool = False

    def heartbeat_age_s(self):
        return 0.1


class ElectionTest(unittest.IsolatedAsyncioTestCase):
    def make_election(self, store_unavailable):
        membership_log = FakeMembershipLog(store_unavailable)
        return membership_log, Election(
            "me",
            "b",
            membership_log,
            FakeLeaderClient(),
            NullEventLog(),
            lambda: False,
        )

    async def test_process_that_just_regained_the_store_does_not_claim(self):
        membership_log, election = self.make_election(store_unavailable=True)
        await election._claim()
        self.assertEqual(membership_log.claims, 0)
        self.assertLess(time.monotonic() - election.store_regained_s, 1.0)

    async def test_process_with_the_store_claims_from_a_leader_without_it(self):
        membership_log, election = self.make_election(store_unavailable=False)
        await election._claim()
        self.assertEqual(membership_log.claims, 1)


if __name__ == "__main__":
    unittest.main()
