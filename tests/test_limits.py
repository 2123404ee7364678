"""Tests of upper limits: permits in a domain, parts between domains, with faults."""

import random
import unittest
from unittest import mock

from bulrushspur_core import events, limits
from bulrushspur_core.authority import may_start
from bulrushspur_core.limits import Limits
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.owner import Owner
from bulrushspur_core.workers import Workers
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel import records as rec
from tests.fakes import make_text
from tests.owners import OwnersCell, make_task

DOMAINS = {"n1": "north", "n2": "north", "s1": "south", "s2": "south"}


class LimitsTest(unittest.TestCase):
    def setUp(self):
        self.fake = OwnersCell()
        for name, domain in DOMAINS.items():
            self.fake.start(name, domain)
        for domain in ("north", "south"):
            self.fake.add_workers(domain, 6)
        self.count = 0
        self.publish(10)
        self.fake.set_roster("north", 1, ["n1", "n2"])
        self.fake.set_roster("south", 1, ["s1", "s2"])
        self.fake.advance(8.0)

    def publish(self, limit):
        version = max((cell_of(n).version for n in self.fake.nodes.values()), default=0)
        self.fake.append(rec.Published(version, make_text(limit)))

    def views(self, name):
        node = self.fake.nodes[name]
        return [
            view
            for view in node.state(Workers).views.values()
            if may_start(node, view.vm.name, view.epoch, self.fake.now_s)
        ]

    def start(self, name, wanted=1):
        """Start as many tasks as there are permits for now, and want the others."""

        def action(node, now_s):
            views = self.views(name)
            can = min(limits.available(node, "a"), wanted) if views else 0
            if can and limits.take(node, "a", can, now_s):
                for _ in range(can):
                    self.count += 1
                    self.add_task(views[self.count % len(views)], name)
            limits.want(node, "a", wanted - can, now_s)
            return can

        return self.fake.run(name, action)

    def add_task(self, view, name):
        task = make_task(f"{name}.{self.count}", view.epoch)
        view.add(task)
        # A list that was asked for before the start proves nothing of this task.
        started_s = self.fake.now_s + 0.001
        self.fake.nodes[name].state(Owner).unwatched[task.task_id] = started_s
        self.fake.running.setdefault(view.vm.name, {})[task.task_id] = task

    def start_for(self, name, wanted, wait_s):
        """Try to start for a while, as an owner with a queue does."""
        for _ in range(int(wait_s / 0.1)):
            wanted -= self.start(name, wanted)
            if not wanted:
                break
            self.fake.advance(0.1)
        return wanted

    def end(self, name, count=1):
        def action(node, now_s):
            for view in self.views(name):
                for task_id in list(view.tasks)[: count - self.ended]:
                    view.remove(task_id)
                    del self.fake.running[view.vm.name][task_id]
                    self.ended += 1
                    limits.give_back(node, "a", 1, now_s)

        self.ended = 0
        self.fake.run(name, action)

    def running(self):
        return sum(len(tasks) for tasks in self.fake.running.values())

    def held(self, *names):
        states = [self.fake.nodes[one].state(Limits) for one in names]
        return sum(one.held.get("a", 0) for one in states)

    def test_nothing_starts_without_a_roster(self):
        fake = OwnersCell()
        fake.start("n1", "north")
        fake.by_hand.add("north")
        fake.append(rec.Published(0, make_text(10)))
        fake.add_workers("north", 1)
        fake.advance(5.0)
        taken = fake.run("n1", lambda node, now_s: limits.take(node, "a", 1, now_s))
        self.assertFalse(taken)

    def test_the_whole_limit_runs_where_the_demand_is_within_two_seconds(self):
        self.assertEqual(self.start_for("n1", 10, 2.0), 0)
        self.assertEqual(self.running(), 10)
        self.assertEqual(self.start("n2"), 0)

    def cut_south(self):
        for name in ("n1", "n2"):
            for other in ("s1", "s2"):
                self.fake.cuts.add(frozenset((name, other)))

    def test_idle_permits_move_to_another_owner(self):
        self.cut_south()
        self.start_for("n1", 5, 1.0)
        self.end("n1", 5)
        self.assertEqual(self.start_for("n2", 5, 0.3), 0)

    def test_grant_on_its_way_is_not_granted_again(self):
        self.cut_south()
        self.fake.delays = lambda sender, to, m: (
            1.5 if isinstance(m, msg.PermitGrant) and to == "n2" else 0.002
        )
        self.start("n2", 5)
        self.fake.drops = lambda sender, to, m: (
            isinstance(m, msg.PermitRequest) and sender == "n2"
        )
        self.fake.advance(1.2)
        self.assertEqual(self.start_for("n1", 5, 0.2), 5)
        self.assertEqual(self.start_for("n2", 5, 1.0), 0)

    def test_idle_parts_come_back_when_the_demand_changes(self):
        self.start_for("n1", 10, 2.0)
        self.end("n1", 10)
        self.assertEqual(self.start_for("s2", 10, 2.5), 0)
        self.assertEqual(self.running(), 10)

    def test_lost_grant_is_lost_for_a_while_only(self):
        self.fake.drops = lambda sender, to, m: (
            isinstance(m, msg.PermitGrant) and bool(m.granted)
        )
        self.start("n2", 5)
        self.fake.advance(0.3)
        self.assertEqual(self.held("n2"), 0)
        self.fake.drops = lambda sender, to, m: False
        self.assertEqual(self.start_for("n2", 5, 6.0), 0)

    def test_lost_grant_comes_back_though_nobody_asks_for_another(self):
        self.cut_south()
        self.fake.drops = lambda sender, to, m: (
            isinstance(m, msg.PermitGrant) and bool(m.granted)
        )
        self.start("n2", 5)
        self.fake.advance(2.1)
        self.fake.drops = lambda sender, to, m: False
        self.assertEqual(self.start_for("n1", 5, 4.0), 0)

    def test_late_and_doubled_grants_are_counted_once(self):
        self.start_for("n2", 3, 1.0)
        held, node = self.held("n2"), self.fake.nodes["n2"]
        sender = self.fake.nodes["n1"].me.member
        for sequence in (node.state(Limits).grant_sequence, 1):
            node.receive(
                sender, msg.PermitGrant(1, sequence, {"a": 3}), self.fake.now_s
            )
        self.assertEqual(self.held("n2"), held)
        self.assertEqual(node.metrics.counters["permits.late_grants"], 2)

    def test_late_report_gives_no_permits_back(self):
        self.start_for("n2", 5, 2.0)
        self.fake.advance(2.0)
        n1, sender = self.fake.nodes["n1"], self.fake.nodes["n2"].me.member
        n1.receive(sender, msg.PermitReport(1, 1, 0, {}, True), self.fake.now_s)
        self.fake.cuts.add(frozenset(("n1", "s1")))
        self.assertEqual(self.start_for("n1", 1, 0.5), 1)

    def test_new_holder_deals_nothing_before_all_have_reported(self):
        self.start_for("n2", 5, 2.0)
        self.fake.drops = lambda sender, to, m: (
            isinstance(m, msg.PermitReport) and sender == "n2"
        )
        self.fake.set_roster("north", 2, ["n1", "n2"])
        self.fake.advance(2.0)
        self.assertEqual(self.start_for("n1", 1, 3.0), 1)
        self.fake.drops = lambda sender, to, m: False
        # Now it is known that no permit of the domain is free: a part has to come.
        self.assertEqual(self.start_for("n1", 5, 3.0), 0)
        self.assertEqual(self.running(), 10)

    def test_new_holder_deals_nothing_before_all_workers_are_taken_over(self):
        self.cut_south()
        slow = self.fake.nodes["n2"]
        with mock.patch.object(limits, "_has_all_workers", lambda n: n is not slow):
            self.fake.set_roster("north", 2, ["n1", "n2"])
            self.fake.advance(3.0)
            self.assertEqual(self.start_for("n1", 1, 2.0), 1)
        self.assertEqual(self.start_for("n1", 1, 2.0), 0)

    def test_permits_of_an_earlier_epoch_are_none(self):
        self.fake.set_roster("north", 2, ["n1", "n2"])
        self.fake.advance(1.0)
        sender, node = self.fake.nodes["n1"].me.member, self.fake.nodes["n2"]
        node.receive(sender, msg.PermitGrant(1, 9, {"a": 3}), self.fake.now_s)
        self.assertEqual(self.held("n2"), 0)

    def test_permits_come_and_go_with_a_worker(self):
        self.start_for("n1", 5, 2.0)
        node = self.fake.nodes["n1"]
        view = next(view for view in self.views("n1") if view.tasks)
        count = len(view.tasks)
        # While its lease lapsed, what runs on its worker still counts.
        view.owned = False
        node.signal(events.WorkerDropped(view.vm.name), self.fake.now_s)
        limits.available(node, "a")
        self.assertEqual(node.state(Limits).held["a"], 5)
        view.gone = True
        node.signal(events.WorkerDropped(view.vm.name), self.fake.now_s)
        limits.available(node, "a")
        self.assertEqual(node.state(Limits).held["a"], 5 - count)

    def test_lowered_limit_starts_nothing_and_tells_the_excess(self):
        self.start_for("n1", 10, 2.0)
        self.publish(4)
        self.fake.advance(2.0)
        node = self.fake.nodes["n1"]
        self.assertEqual(limits.excess(node, "a"), 6)
        self.end("n1", 5)
        self.assertEqual(limits.excess(node, "a"), 1)
        self.assertEqual(self.start("n1"), 0)
        self.end("n1", 2)
        self.assertEqual(self.start_for("n1", 1, 5.0), 0)
        self.assertEqual(self.running(), 4)

    def test_cut_off_domain_keeps_its_part_after_lowering_and_raising(self):
        self.start_for("n1", 10, 2.0)
        for name in ("n1", "n2"):
            self.fake.no_platform.add(name)
            for other in ("s1", "s2"):
                self.fake.cuts.add(frozenset((name, other)))
        self.publish(4)
        self.fake.advance(1.0)
        self.publish(10)
        self.fake.advance(1.0)
        # The ten of the north run on, though the log has lowered its part meanwhile.
        self.assertEqual(self.start_for("s1", 5, 3.0), 5)
        self.assertEqual(self.running(), 10)

    def test_outage_of_the_platform_leaves_parts_where_they_are(self):
        self.fake.log.down = True
        self.fake.advance(10.0)
        self.assertEqual(self.start_for("n1", 10, 3.0), 5)
        self.assertEqual(self.start_for("s2", 10, 3.0), 5)
        self.assertEqual(self.running(), 10)

    def test_lost_answers_of_appends_move_a_part_once(self):
        self.fake.log.lose_answers = True
        self.assertEqual(self.start_for("n1", 10, 3.0), 0)
        self.fake.advance(5.0)
        self.assertEqual(self.running(), 10)
        moves = [
            one.record
            for _, one in self.fake.log.entries
            if isinstance(one.record, rec.PartsMoved)
        ]
        self.assertEqual(len({one.sequence for one in moves}), len(moves))

    def hold_moves(self):
        """Keep the records of moved parts from the log; return where they go."""
        append = self.fake._append
        held = []

        def hold(name, record):
            if isinstance(record, rec.PartsMoved):
                held.append((name, record))
            else:
                append(name, record)

        self.fake._append = hold
        return held, append

    def test_reserved_part_is_not_used_while_its_record_is_unresolved(self):
        held, _ = self.hold_moves()
        self.start_for("n1", 10, 2.0)
        given = held[0][1].parts["a"]
        self.assertEqual(self.start_for("s2", 5, 2.0), given)

    def test_append_that_never_landed_is_repeated(self):
        held, append = self.hold_moves()
        self.start_for("n1", 10, 2.0)
        name, record = held[0]
        lost = events.AppendEnded(record.token)
        self.fake.run(name, lambda node, now_s: node.signal(lost, now_s))
        self.fake._append = append
        self.assertEqual(self.start_for("n1", 5, 4.0), 0)

    def test_append_that_was_lost_once_stays_reserved_when_refused(self):
        held, append = self.hold_moves()
        self.start_for("n1", 10, 2.0)
        name, record = held[0]
        for refused in (False, True):
            ended = events.AppendEnded(record.token, refused=refused)
            self.fake.run(name, lambda node, now_s, one=ended: node.signal(one, now_s))
        self.start_for("s2", 5, 1.0)
        append(name, record)
        self.start_for("n1", 10, 1.0)
        self.assertEqual(self.running(), 10)

    def test_random_faults_never_exceed_the_limit(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                self.setUp()
                self.run_random(random.Random(seed))

    def run_random(self, rng):
        self.fake.drops = lambda sender, to, m: rng.random() < 0.1
        self.fake.delays = lambda sender, to, m: (
            rng.uniform(0.0, 2.0) if rng.random() < 0.1 else 0.002
        )
        epochs = {"north": 1, "south": 1}
        most = 0
        for _ in range(250):
            name = rng.choice(list(DOMAINS))
            if rng.random() < 0.5:
                self.start(name, rng.randint(1, 6))
            else:
                self.end(name, rng.randint(1, 6))
            if rng.random() < 0.05:
                self.fake.log.lose_answers = not self.fake.log.lose_answers
            if rng.random() < 0.05:
                self.fake.log.down = not self.fake.log.down
            if rng.random() < 0.04 and not self.fake.log.down:
                domain = DOMAINS[name]
                epochs[domain] += 1
                names = [one for one in DOMAINS if DOMAINS[one] == domain]
                rng.shuffle(names)
                self.fake.set_roster(domain, epochs[domain], names)
            self.fake.advance(rng.choice([0.0, 0.05, 0.3, 1.0]))
            self.assertLessEqual(self.running(), 10)
            most = max(most, self.running())
        self.assertGreaterEqual(most, 6)
