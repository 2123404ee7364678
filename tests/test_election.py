"""Tests of when a process does not claim although the leader seems lost."""

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
    """The cell's log of a process, with one leader that claimed long ago."""

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
    """A leader that is heard, and says that the store does not answer it."""

    term: int = 1
    last_heartbeat_s: float = 0.0
    connection_broken_s: float = -1.0
    store_age_s: float = 4.0
    resigned: bool = False

    def heartbeat_age_s(self):
        return 0.1


class ElectionTest(unittest.IsolatedAsyncioTestCase):
    def make(self, lost):
        log = FakeMembershipLog(lost)
        return log, Election(
            "me", "b", log, FakeLeaderClient(), NullEventLog(), lambda: False
        )

    async def test_process_that_just_regained_the_store_lets_the_leader_regain_it(self):
        log, election = self.make(lost=True)
        await election._claim()
        self.assertEqual(log.claims, 0)
        self.assertLess(time.monotonic() - election.store_regained_s, 1.0)

    async def test_process_that_has_the_store_claims_where_the_leader_lacks_it(self):
        log, election = self.make(lost=False)
        await election._claim()
        self.assertEqual(log.claims, 1)


if __name__ == "__main__":
    unittest.main()
