"""Test that a step with free approved workers starts soon after a disturbance.

A cell plays some seconds with advice lanes that answer after the time that the service
takes. The tests guard against steps whose advice never comes, or never for enough
workers at once, while nothing is disturbed any more.
"""

import random
import unittest
from zlib import crc32

from bulrushspur_scheduler.advice import apply_advice
from bulrushspur_scheduler.config import Account
from bulrushspur_scheduler.eviction import evict_runs
from bulrushspur_scheduler.lanes import AdviceQueue
from bulrushspur_scheduler.leases import mark_run_lost
from bulrushspur_scheduler.order_results import StartResult, handle_start_result
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import add_job, mark_task_done
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.runs import release_run, start_run
from tests.cell_fixtures import (
    ADVICE,
    acknowledge_starts,
    add_worker,
    apply_worker_report,
    make_test_cell,
    make_test_job,
)

TICK_S = 0.02
REPORT_INTERVAL_S = 0.2
STOP_S = 0.5
# A step with free approved workers has to start within this time.
MAX_WAIT_S = 3.0


class AdvicePlay:
    """A cell with a clock of its own whose advice calls are answered after a delay.

    ``run_s`` has the durations of the jobs that end; ``lost_until_s`` is the time until
    which no call gets a reply.
    """

    def __init__(self, cell, lanes=8, approved_share=1.0, lost_until_s=0.0):
        self.cell, self.now_s = cell, 0.0
        self.approved_share, self.lost_until_s = approved_share, lost_until_s
        self.queue = AdviceQueue()
        self.queue.set_available(f"n{index}" for index in range(lanes))
        self.attempts, self.stopping, self.ending = [], [], []
        self.started_s, self.run_s = {}, {}
        self.incarnations = dict.fromkeys(cell.workers, 1)
        self.reported_s = -1.0
        self.call_count, self.lane_s = 0, 0.0

    def add(self, job_id, account="team", queue="advised", age_s=0.0, **fields):
        """Add a job that was accepted some time ago; return its first step."""
        job = make_test_job(job_id, queue, self.now_s - age_s, **fields)
        job.account = account
        add_job(self.cell, job, self.now_s, self.now_s)
        return job.occurrences[0].steps[0]

    def occupy(self, names, amount, estimate_s=60.0):
        """Start a run of this size on each of the workers; it does not end."""
        fields = {"resources": amount, "estimate_s": estimate_s}
        for name in names:
            step = self.add(f"on-{name}", queue="bulk", **fields)
            worker = self.cell.workers[name]
            start_run(self.cell, step.tasks[0], worker, 1, self.now_s)
            self.cell.waiting_steps.pop(step.key)
        acknowledge_starts(self.cell, self.now_s)

    def free(self, names):
        """End all runs on the workers."""
        for name in names:
            for run in list(self.cell.workers[name].runs.values()):
                self.end(run)

    def end(self, run):
        """End a run as done."""
        release_run(self.cell, run)
        mark_task_done(self.cell, run.task, self.now_s)

    def restart(self, name):
        """Start a worker again under its id; it takes no earlier ticket."""
        self.incarnations[name] += 1
        number = self.incarnations[name]
        apply_worker_report(
            self.cell, name, self.now_s, incarnation_start_ms=number * 1000
        )

    def play(self, duration_s):
        """Play some seconds; ``started_s`` gets the first start of each job."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s - TICK_S / 2:
            self.tick()

    def measure_wait(self, job_id, max_s=12.0):
        """Play until a job has started; return how long it waited from now on."""
        since_s = self.now_s
        while job_id not in self.started_s and self.now_s < since_s + max_s:
            self.tick()
        return self.now_s - since_s

    def tick(self):
        self.now_s += TICK_S
        if self.now_s - self.reported_s >= REPORT_INTERVAL_S:
            self.reported_s = self.now_s
            self.report_workers()
        self.answer_calls()
        self.end_runs()
        evict_runs(self.cell, self.now_s)
        free_lanes = self.queue.count_free_long_call_lanes(self.now_s)
        self.cell.free_long_call_lanes = free_lanes
        plan(self.cell, self.now_s)
        self.cell.events.clear()
        self.carry_out_starts()
        self.send_calls()

    def report_workers(self):
        for name, worker in self.cell.workers.items():
            running = [run.key for run in worker.runs.values()]
            number = self.incarnations[name]
            start_ms = 1 if number == 1 else number * 1000
            apply_worker_report(
                self.cell, name, self.now_s, running, incarnation_start_ms=start_ms
            )

    def end_runs(self):
        orders, self.cell.stop_orders = self.cell.stop_orders, []
        self.stopping += [(self.now_s + STOP_S, order.run) for order in orders]
        for end_s, run in self.stopping:
            if end_s <= self.now_s:
                mark_run_lost(self.cell, run, "stopped")
        for end_s, run in self.ending:
            if end_s <= self.now_s:
                self.end(run)
        self.stopping = [row for row in self.stopping if row[0] > self.now_s]
        self.ending = [row for row in self.ending if row[0] > self.now_s]

    def carry_out_starts(self):
        orders, self.cell.start_orders = self.cell.start_orders, []
        for order in orders:
            job_id, result = order.run.task.key.job, StartResult.STARTED
            if order.ticket and order.ticket != self.make_ticket(order.worker_id):
                result = StartResult.BAD_TICKET
            else:
                self.started_s.setdefault(job_id, self.now_s)
            handle_start_result(self.cell, order.run, result, self.now_s)
            if job_id in self.run_s:
                self.ending.append((self.now_s + self.run_s[job_id], order.run))

    def make_ticket(self, name):
        return f"t{self.incarnations[name]}"

    def send_calls(self):
        calls, self.cell.advice_calls = self.cell.advice_calls, []
        for call in calls:
            self.queue.add(call)
        sent = self.queue.take_sendable(self.now_s)
        self.call_count += len(sent)
        self.lane_s += sum(attempt.queued.call.expected_call_s for attempt in sent)
        if self.now_s >= self.lost_until_s:
            self.attempts += sent

    def answer_calls(self):
        for attempt in [a for a in self.attempts if a.due_s <= self.now_s]:
            self.attempts.remove(attempt)
            call = self.queue.handle_reply(attempt.request_id, True, self.now_s)
            if call is not None:
                self.answer(call)
        for call in self.queue.check_late(self.now_s):
            apply_advice(self.cell, call, None, 0.0, self.now_s)

    def answer(self, call):
        approved = [
            (name, self.make_ticket(name))
            for name in call.worker_ids
            if crc32(f"{call.step}{name}".encode()) % 100 < self.approved_share * 100
        ]
        valid_s = ADVICE.ticket_valid_s
        apply_advice(self.cell, call, approved, valid_s, self.now_s)


def name_workers(first, last):
    return [f"w{index}" for index in range(first, last)]


CAPPED_ACCOUNTS = (
    Account("team", ("k",), 20.0),
    Account("capped", ("c",), 20.0, Resources(10_000)),
)


class SharedLanesTest(unittest.TestCase):
    """Gangs that their account's cap keeps back wait before one that could start."""

    def measure_wait_behind(self, gangs, used_tasks, lanes, age_s):
        play = AdvicePlay(make_test_cell(60, accounts=CAPPED_ACCOUNTS), lanes)
        play.add("running", "capped", "bulk", count=used_tasks, estimate_s=60.0)
        play.tick()
        fields = {"gang": True, "count": 8, "age_s": age_s}
        for index in range(gangs):
            play.add(f"capped{index}", "capped", estimate_s=10.0, **fields)
        play.play(4.0)
        play.add("fits", estimate_s=11.0, **fields)
        return play.measure_wait("fits")

    def test_gangs_beyond_their_cap_leave_lanes_to_a_gang_that_fits(self):
        # The cap has room for some of the tasks of each gang.
        for gangs, age_s in ((12, 90.0), (24, 0.0), (24, 90.0)):
            with self.subTest(gangs=gangs, age_s=age_s):
                wait_s = self.measure_wait_behind(gangs, 5, 8, age_s)
                self.assertLess(wait_s, MAX_WAIT_S)

    def test_gangs_of_an_account_at_its_cap_leave_the_only_long_lane_free(self):
        for age_s in (0.0, 90.0):
            with self.subTest(age_s=age_s):
                wait_s = self.measure_wait_behind(8, 10, 2, age_s)
                self.assertLess(wait_s, MAX_WAIT_S)

    def test_gangs_that_wait_for_room_leave_lanes_to_a_gang_that_fits(self):
        for lanes, width, gangs in ((2, 8, 12), (2, 24, 12), (4, 24, 12), (8, 60, 12)):
            for count in (width, width + 1):
                with self.subTest(lanes=lanes, width=width, count=count):
                    wait_s = self.measure_wait_behind_roomless(
                        lanes, width, gangs, count
                    )
                    self.assertLess(wait_s, MAX_WAIT_S)

    def measure_wait_behind_roomless(self, lanes, width, gangs, count):
        """Add gangs for labelled workers, of which three are in use, then another."""
        play = AdvicePlay(make_test_cell(40), lanes)
        for index in range(width):
            add_worker(play.cell, f"b{index}", labels=("b", "r1"))
            play.incarnations[f"b{index}"] = 1
        play.occupy(["b0", "b1", "b2"], Resources(9000, 100))
        fields = {"gang": True, "resources": Resources(9000, 100), "age_s": 90.0}
        for index in range(gangs):
            play.add(
                f"roomless{index}",
                count=count,
                required_label="b",
                estimate_s=10.0,
                **fields,
            )
        play.play(4.0)
        play.add("fits", count=8, estimate_s=11.0, **fields)
        return play.measure_wait("fits")

    def test_past_deadline_gang_gets_a_lane_beside_a_stream_of_new_gangs(self):
        for rate in (4, 6, 7):
            with self.subTest(rate=rate):
                wait_s = self.measure_wait_beside_stream(rate)
                self.assertLess(wait_s, MAX_WAIT_S)

    def measure_wait_beside_stream(self, rate):
        """Add some gangs a second, each of 4 cores for 1 s; 220 workers of 16 cores."""
        play = AdvicePlay(make_test_cell(220))
        index, late = 0, {"count": 60, "resources": Resources(9000, 100)}
        while play.now_s < 14.0 and "late" not in play.started_s:
            if play.now_s * rate >= index:
                play.run_s[f"new{index}"] = 1.0
                play.add(f"new{index}", gang=True, count=4)
                index += 1
            if play.now_s >= 2.0 and "late" not in play.cell.jobs:
                play.add("late", gang=True, age_s=90.0, **late)
            play.tick()
        return play.now_s - 2.0


class CandidatesTest(unittest.TestCase):
    def test_workers_without_free_memory_do_not_hide_those_with_room(self):
        for gang in (False, True):
            with self.subTest(gang=gang):
                play = AdvicePlay(make_test_cell(70))
                play.occupy(name_workers(0, 60), Resources(100, 32_768))
                play.occupy(name_workers(60, 70), Resources(6000, 100))
                play.tick()
                resources = Resources(1000, 1000)
                play.add("waiting", gang=gang, count=4, resources=resources)
                self.assertLess(play.measure_wait("waiting"), MAX_WAIT_S)


class ReservationTest(unittest.TestCase):
    """A gang has reserved its approved workers; then many others become free."""

    def make_play(self, workers, held, estimate_s):
        play = AdvicePlay(make_test_cell(workers))
        play.occupy(name_workers(0, held), Resources(9000, 100), estimate_s)
        play.occupy(name_workers(held, workers), Resources(9000, 100))
        self.add_gang(play, held)
        return play

    def add_gang(self, play, held):
        fields = {"resources": Resources(9000, 100), "estimate_s": 8.0}
        step = play.add("wide", gang=True, count=held, **fields)
        step.evaluated_workers.update(name_workers(0, held))
        step.approved_workers.update(dict.fromkeys(name_workers(0, held)))

    def test_gang_whose_reservation_is_put_off_asks_about_free_workers(self):
        for estimate_s in (1.0, 2.0, 3.0, 4.0, 6.0, 10.0):
            with self.subTest(estimate_s=estimate_s):
                play = self.make_play(40, 8, estimate_s)
                play.play(1.2 * estimate_s + 0.1)
                play.free(name_workers(8, 40))
                self.assertLess(play.measure_wait("wide"), MAX_WAIT_S)

    def test_gang_whose_reservation_urgent_tasks_use_asks_about_free_workers(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                wait_s = self.measure_wait_beside_urgent_tasks(seed)
                self.assertLess(wait_s, MAX_WAIT_S)

    def measure_wait_beside_urgent_tasks(self, seed):
        """Start 24 urgent tasks a second, which use 115 of 960 cores on average."""
        rng = random.Random(seed)
        play = AdvicePlay(make_test_cell(60))
        play.occupy(name_workers(8, 60), Resources(9000, 100))
        index, next_s, freed = 0, 0.0, False
        fields = {"resources": Resources(8000, 100), "estimate_s": 0.6}
        while play.now_s < 12.0 and "wide" not in play.started_s:
            if play.now_s >= 2.0 and "wide" not in play.cell.jobs:
                self.add_gang(play, 8)
            if play.now_s >= 4.0 and not freed:
                freed = True
                play.free(name_workers(8, 60))
            while play.now_s >= next_s:
                play.run_s[f"u{index}"] = 0.6 * rng.uniform(0.6, 1.4)
                play.add(f"u{index}", queue="small", **fields)
                index += 1
                next_s += rng.expovariate(24.0)
            play.tick()
        return play.now_s - 4.0


class WideGangTest(unittest.TestCase):
    def test_wide_gang_on_few_lanes_gets_all_its_tickets(self):
        for lanes, width in ((1, 90), (2, 90), (2, 110), (4, 200), (8, 300)):
            with self.subTest(lanes=lanes, width=width):
                play = AdvicePlay(make_test_cell(width + 20), lanes)
                resources = Resources(9000, 100)
                play.add("wide", gang=True, count=width, resources=resources)
                self.assertLess(play.measure_wait("wide"), MAX_WAIT_S)

    def test_gang_limited_by_memory_gets_enough_approved_workers(self):
        for width in (32, 64, 100):
            with self.subTest(width=width):
                play = AdvicePlay(make_test_cell(300), approved_share=0.35)
                play.cell.approval_rates["advised"] = 0.35
                resources = Resources(500, 16_000)
                play.add("wide", gang=True, count=width, resources=resources)
                self.assertLess(play.measure_wait("wide"), MAX_WAIT_S)


class BacklogTest(unittest.TestCase):
    def test_gangs_of_a_recovered_backlog_start_soon(self):
        for gangs in (8, 16, 24, 40):
            with self.subTest(gangs=gangs):
                play = AdvicePlay(make_test_cell(100), approved_share=0.5)
                fields = {"resources": Resources(4000, 100), "age_s": 20.0}
                for index in range(gangs):
                    play.add(f"j{index}", gang=True, count=4, **fields)
                waits_s = [play.measure_wait(f"j{index}") for index in range(gangs)]
                self.assertLess(sum(waits_s), MAX_WAIT_S)


class ChangedPoolTest(unittest.TestCase):
    def add_workers(self, play, prefix):
        for index in range(8):
            name = f"{prefix}{index}"
            add_worker(play.cell, name, now_s=play.now_s)
            play.incarnations[name] = 1

    def test_gang_whose_workers_restarted_under_their_ids_starts(self):
        for count in (4, 8):
            play = AdvicePlay(make_test_cell(8))
            play.occupy(name_workers(0, 8), Resources(9000, 100), 2.0)
            play.add("gang", gang=True, count=count, resources=Resources(9000, 100))
            play.play(1.5)
            play.free(name_workers(0, 8))
            for name in name_workers(0, 8):
                play.restart(name)
            self.assertLess(play.measure_wait("gang"), MAX_WAIT_S)

    def test_step_that_came_while_no_worker_had_reported_starts(self):
        play = AdvicePlay(make_test_cell(0))
        play.add("gang", gang=True, count=4)
        play.play(2.0)
        self.add_workers(play, "w")
        self.assertLess(play.measure_wait("gang"), MAX_WAIT_S)

    def test_step_asks_about_new_workers_after_the_approved_ones_left(self):
        play = AdvicePlay(make_test_cell(8))
        play.occupy(name_workers(0, 8), Resources(16_000, 100))
        play.add("gang", gang=True, count=4)
        play.play(2.0)
        for worker in play.cell.workers.values():
            worker.listed = False
        self.add_workers(play, "x")
        self.assertLess(play.measure_wait("gang"), MAX_WAIT_S)


class LastingTaskTest(unittest.TestCase):
    def test_lasting_tasks_get_a_lane_beside_gangs_after_all_workers_were_replaced(
        self,
    ):
        for gangs in (20, 40):
            with self.subTest(gangs=gangs):
                self.assertLess(self.measure_wait_beside(gangs), 2 * MAX_WAIT_S)

    def measure_wait_beside(self, gangs):
        """Replace all workers beside many gangs and a job that has lasted for 60 s."""
        play = AdvicePlay(make_test_cell(24), lanes=4)
        fields = {"long_running": True, "resources": Resources(4000, 100)}
        step = play.add("lasting", count=4, age_s=60.0, **fields)
        step.evaluated_workers = {f"gone{index}" for index in range(24)}
        step.approved_workers = dict.fromkeys(("gone0", "gone1"))
        each = Resources(6000, 100)
        for index in range(gangs):
            play.run_s[f"gang{index}"] = 4.0
            play.add(f"gang{index}", gang=True, count=12, resources=each)
        return play.measure_wait("lasting", 30.0)


class HeldStepTest(unittest.TestCase):
    def test_waits_for_a_claim_and_for_a_doubted_worker_do_not_add_up(self):
        for index in range(8):
            with self.subTest(index=index):
                wait_s = self.measure_wait_behind_claim(0.1 + 0.2 * index)
                self.assertLess(wait_s, MAX_WAIT_S)

    def measure_wait_behind_claim(self, age_s):
        """Add a step for a quarantined worker while a gang claims its account."""
        accounts = (Account("team", ("k",), 20.0, Resources(20_000)),)
        play = AdvicePlay(make_test_cell(10, accounts=accounts))
        worker = add_worker(play.cell, "labelled", labels=("b",))
        play.incarnations["labelled"] = 1
        play.occupy(["w0"], Resources(5000, 100))
        play.play(0.3)
        worker.quarantined_until_s, worker.on_probation = 60.0, True
        play.add("wide", queue="heavy", gang=True, count=18)
        play.play(age_s)
        play.add("narrow", required_label="b", estimate_s=3.0)
        return play.measure_wait("narrow")


class LostCallsTest(unittest.TestCase):
    def test_gangs_start_soon_after_all_calls_were_lost(self):
        for lanes, gangs in ((1, 1), (2, 1), (8, 1), (8, 3)):
            for lost_until_s in (0.3, 1.0, 2.0, 3.0, 4.0, 5.0, 7.0):
                with self.subTest(lanes=lanes, gangs=gangs, lost_until_s=lost_until_s):
                    wait_s = self.measure_wait_after(lanes, gangs, lost_until_s)
                    self.assertLess(wait_s, MAX_WAIT_S)

    def measure_wait_after(self, lanes, gangs, lost_until_s):
        play = AdvicePlay(make_test_cell(60), lanes, 0.5, lost_until_s)
        for index in range(gangs):
            fields = {"count": 8, "resources": Resources(9000, 100)}
            play.add(f"gang{index}", gang=True, **fields)
        play.play(lost_until_s)
        return sum(play.measure_wait(f"gang{index}") for index in range(gangs))


if __name__ == "__main__":
    unittest.main()
