"""Tests of who is taken to live, and what telling it costs."""

import unittest

from bulrushspur_core import events
from bulrushspur_core.membership import FAR_LOST_AFTER_S, LOST_AFTER_S, Members
from bulrushspur_kernel import messages as msg
from tests.fakes import FakeCell, make_cell

KB = 1024


class MembershipTest(unittest.TestCase):
    def lost(self, cell, name):
        return [one.name for one in cell.got(name, events.PeerLost)]

    def test_silent_process_is_lost_and_seen_again(self):
        cell = make_cell(n1="north", n2="north")
        cell.advance(3)
        cell.paused.add("n2")
        cell.advance(LOST_AFTER_S + 1.5)
        self.assertEqual(self.lost(cell, "n1"), ["n2"])
        cell.resume("n2")
        cell.advance(1.5)
        self.assertEqual(len(cell.got("n1", events.PeerSeen)), 2)

    def test_own_pause_is_not_taken_for_the_loss_of_others(self):
        cell = make_cell(n1="north", n2="north")
        cell.advance(3)
        cell.paused.add("n1")
        cell.advance(60.4)
        cell.held.clear()
        cell.resume("n1")
        cell.advance(3)
        self.assertEqual(self.lost(cell, "n1"), [])

    def test_new_incarnation_replaces_the_old_one_for_good(self):
        cell = make_cell(n1="north", n2="north")
        cell.advance(3)
        old = cell.nodes["n2"].me.member
        beat = msg.Heartbeat(
            msg.PeerInfo("n2", old.boot, "north", "", "n2"), 0, 0, 0.0, msg.Load()
        )
        cell.boot("n2", "north", "2")
        cell.advance(2)
        self.assertEqual(self.lost(cell, "n1"), ["n2"])
        cell.nodes["n1"].receive(old, beat, cell.now_s)
        peer = cell.nodes["n1"].state(Members).peers["n2"]
        self.assertEqual(peer.info.boot, "2")

    def test_process_unknown_to_the_settings_is_introduced(self):
        cell = make_cell(n1="north", n2="north", s1="south")
        cell.advance(2)
        cell.boot("n3", "north")
        for name in ("n1", "n2"):
            del cell.nodes[name].seeds["n3"]
        del cell.nodes["n3"].seeds["n1"]
        cell.advance(10)
        for name in ("n1", "n2"):
            self.assertFalse(cell.nodes[name].state(Members).peers["n3"].lost)

    def test_cost_of_forty_processes_and_age_of_far_loads(self):
        cell = FakeCell()
        names = {f"entry-{i}-{j}": f"domain-{i}" for i in range(8) for j in range(5)}
        for name, domain in names.items():
            # As long as a real one, for the cost is in bytes.
            cell.boot(name, domain, "019ae2c1d4f0a5b6")
        cell.advance(30)
        before = cell.sent_bytes
        ages = []
        for _ in range(10):
            cell.advance(1)
            ages += self.far_ages_s(cell, names)
        ages.sort()
        kb_s = 2 * (cell.sent_bytes - before) / 10 / len(names) / KB
        shown = f"{kb_s:.2f} KB/s, age p50 {ages[len(ages) // 2]:.2f} s"
        # Sent and received, of the 9 KB/s that a node may use for everything.
        self.assertLess(kb_s, 5.0, shown)
        self.assertLess(ages[len(ages) * 9 // 10], 8.0, shown)
        self.assertEqual([one for name in names for one in self.lost(cell, name)], [])

    def far_ages_s(self, cell, names):
        return [
            cell.now_s - peer.load_s
            for name, node in cell.nodes.items()
            for peer in node.state(Members).peers.values()
            if peer.info.domain != names[name]
        ]

    def test_dead_process_is_lost_in_all_domains(self):
        names = {f"d{i}-{j}": f"d{i}" for i in range(4) for j in range(3)}
        cell = make_cell(**names)
        cell.advance(15)
        cell.kill("d0-0")
        cell.advance(FAR_LOST_AFTER_S + 8)
        for name, node in cell.nodes.items():
            peer = node.state(Members).peers.get("d0-0")
            self.assertTrue(peer is None or peer.lost, name)
