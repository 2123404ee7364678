"""Tests of who may start tasks, on real decision code and a fake clock."""

import random
import unittest

from bulrushspur_core import events
from bulrushspur_core.authority import may_start
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.promises import DRIFT_S, LEASE_S, lease_until_s
from bulrushspur_core.workers import Workers
from tests.owners import make_owners_cell as make_cell
from tests.owners import make_task

WORKERS = [f"north-w{i}" for i in range(6)]


class AuthorityTest(unittest.TestCase):
    def owned_by(self, cell):
        rv = {}
        for worker in WORKERS:
            owners = cell.owners(worker)
            self.assertLessEqual(len(owners), 1, worker)
            rv[worker] = owners[0] if owners else None
        return rv

    def assert_all_owned(self, cell, names):
        owned = self.owned_by(cell)
        self.assertEqual(set(owned.values()) - set(names), set(), owned)

    def test_members_share_the_workers(self):
        self.assert_all_owned(make_cell(), ["n1", "n2", "n3"])

    def test_domain_of_one_process_owns_everything(self):
        cell = make_cell(1)
        self.assert_all_owned(cell, ["n1"])
        cell.log.down = True
        cell.cut("n1", "s1")
        cell.advance(60)
        self.assert_all_owned(cell, ["n1"])

    def test_platform_outage_does_not_end_authority(self):
        cell = make_cell()
        cell.log.down = True
        cell.advance(600)
        self.assert_all_owned(cell, ["n1", "n2", "n3"])

    def test_workers_of_a_killed_process_go_on_within_ten_seconds(self):
        for members in (2, 3):
            cell = make_cell(members)
            cell.kill("n1")
            cell.advance(10)
            self.assert_all_owned(cell, ["n2", "n3"])

    def test_process_cut_off_from_its_peers_stops_by_itself(self):
        cell = make_cell()
        cell.cut("n1", "n2", "n3", "s1")
        cell.log.down = True
        cell.advance(LEASE_S)
        self.assertNotIn("n1", self.owned_by(cell).values())

    def test_paused_process_wakes_without_authority(self):
        cell = make_cell()
        node = cell.nodes["n1"]
        view = next(v for v in node.state(Workers).views.values() if v.owned)
        cell.paused.add("n1")
        cell.advance(LEASE_S - DRIFT_S)
        self.assertFalse(may_start(node, view.vm.name, view.epoch, cell.now_s))
        cell.advance(10)
        self.assert_all_owned(cell, ["n2", "n3"])
        cell.resume("n1")
        self.assertFalse(may_start(node, view.vm.name, view.epoch, cell.now_s))
        cell.advance(10)
        self.assert_all_owned(cell, ["n1", "n2", "n3"])

    def test_new_incarnation_at_the_old_address_comes_back(self):
        for members in (1, 2, 3):
            cell = make_cell(members)
            cell.start("n1", "north")
            cell.advance(12)
            self.assert_all_owned(cell, ["n1", "n2", "n3"])
            self.assertIn("n1", self.owned_by(cell).values())

    def test_process_started_in_an_outage_serves_nothing_until_a_roster_names_it(self):
        cell = make_cell()
        cell.log.down = True
        cell.start("n4", "north")
        cell.advance(20)
        self.assertNotIn("n4", self.owned_by(cell).values())

    def test_start_belongs_to_the_epoch_it_was_checked_in(self):
        cell = make_cell()
        owned = self.owned_by(cell)
        worker = next(one for one in WORKERS if owned[one] == "n2")
        node = cell.nodes["n2"]
        view = node.state(Workers).views[worker]
        cell.kill("n1")
        while view.epoch == 1:
            cell.advance(0.05)
        # The lease of the first epoch lasts, but a start of it comes too late.
        self.assertGreater(lease_until_s(node, 1), cell.now_s)
        self.assertFalse(may_start(node, worker, 1, cell.now_s))
        self.assertTrue(may_start(node, worker, 2, cell.now_s))

    def test_nothing_starts_on_a_worker_that_left_after_the_decision(self):
        cell = make_cell(1)
        node = cell.nodes["n1"]
        view = node.state(Workers).views[WORKERS[0]]
        self.assertTrue(may_start(node, WORKERS[0], view.epoch, cell.now_s))
        view.vm.leaving = True
        self.assertFalse(may_start(node, WORKERS[0], view.epoch, cell.now_s))

    def test_graceful_stop_hands_over_at_once_with_what_runs(self):
        cell = make_cell()
        worker, _ = next(one for one in self.owned_by(cell).items() if one[1] == "n1")
        task = make_task("t1")
        cell.nodes["n1"].state(Workers).views[worker].add(task)
        cell.run("n1", lambda node, now_s: node.signal(events.StopAsked(), now_s))
        # The start is under way: the worker does not list it yet.
        cell.advance(1.5)
        self.assert_all_owned(cell, ["n2", "n3"])
        view = cell.nodes[self.owned_by(cell)[worker]].state(Workers).views[worker]
        self.assertIn("t1", view.tasks)
        cell.advance(8)
        self.assertNotIn("t1", view.tasks)

    def test_new_owner_counts_what_runs_before_it_starts(self):
        cell = make_cell()
        for worker in WORKERS:
            cell.running[worker] = {f"{worker}-t": make_task(f"{worker}-t")}
        cell.kill("n1")
        cell.advance(10)
        for worker, name in self.owned_by(cell).items():
            view = cell.nodes[name].state(Workers).views[worker]
            if view.epoch == 2 and view.adopted:
                self.assertEqual(list(view.tasks), [f"{worker}-t"])

    def test_never_two_owners_whatever_happens(self):
        for seed in range(12):
            try:
                self.run_chaos(random.Random(seed))
            except AssertionError as exc:
                raise AssertionError(f"seed {seed}: {exc}") from exc

    def run_chaos(self, rng):
        members = [f"n{i + 1}" for i in range(rng.choice([1, 2, 3, 4]))]
        cell = make_cell(len(members))
        cell.watch = lambda: self.owned_by(cell)
        cell.delays = lambda *_: rng.uniform(0, 1.5 if rng.random() < 0.1 else 0.01)
        actions = ["pause", "resume", "kill", "start", "cut", "heal", "down", "up"]
        actions.append("off")
        for _ in range(25):
            name = rng.choice([*members, "s1"])
            self.disturb(cell, rng.choice(actions), name, rng.choice(members))
            cell.advance(rng.uniform(0.1, 6.0))
        self.heal_all(cell, members)
        self.assert_all_owned(cell, members)

    def disturb(self, cell, action, name, other):
        if action == "pause" and name in cell.nodes:
            cell.paused.add(name)
        elif action == "resume":
            cell.resume(name)
        elif action == "kill" and name in cell.nodes:
            cell.kill(name)
        elif action == "start" and name not in cell.nodes:
            cell.paused.discard(name)
            cell.start(name, "south" if name == "s1" else "north")
        elif action == "cut":
            cell.cut(name, other)
        elif action == "heal":
            cell.cuts.clear()
            cell.no_platform.clear()
        elif action in ("down", "up"):
            cell.log.down = action == "down"
        elif action == "off":
            cell.no_platform.add(name)

    def heal_all(self, cell, members):
        cell.cuts.clear()
        cell.no_platform.clear()
        cell.log.down = False
        for name in members:
            cell.resume(name)
            if name not in cell.nodes:
                cell.start(name, "north")
        cell.advance(60)
        epochs = {cell_of(cell.nodes[one]).roster("north").epoch for one in members}
        self.assertEqual(len(epochs), 1)
