"""Test that each waiting step is tried, whatever other steps stand before it.

The tests guard against steps that wait while there is room for them twice over, their
client account uses under half of its cap and the service has most of its capacity idle.
"""

import unittest

from bulrushspur_scheduler.config import Account, Queue, make_config
from bulrushspur_scheduler.headroom import UrgentCpu
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import QUEUES, add_test_job, add_worker, make_test_cell, play

WAITING = 70
# Longer than any wait that the tests allow.
LONG_S = 60.0


def make_two_account_cell(workers=8, cap_cpu_milli=1000, **fields):
    accounts = (
        Account("team", ("k",), 1000.0, Resources(cap_cpu_milli)),
        Account("other", ("o",), 1000.0, Resources(100_000)),
    )
    return make_test_cell(workers, accounts=accounts, **fields)


def run_long(_job_id):
    return LONG_S


def add_waiting_job(cell, index, queue="small", **fields):
    """Add a job that stays on time, and so before others in order of rank."""
    add_test_job(cell, f"waiting{index}", queue, 0.0, estimate_s=20.0, **fields)


def add_small_job_behind(cell, now_s=0.5):
    """Add a job that any worker could run, behind others in order of rank."""
    add_test_job(cell, "small", "bulk", now_s, account="other")


class UnplacedStepsTest(unittest.TestCase):
    def test_steps_at_the_cap_of_their_account_hold_back_no_other_account(self):
        cell = make_two_account_cell()
        for index in range(WAITING):
            add_waiting_job(cell, index)
        add_small_job_behind(cell)
        self.assertIn("small", play(cell, 0.5, 1.5, run_long))

    def test_gangs_at_the_cap_of_their_account_hold_back_no_other_account(self):
        cell = make_two_account_cell(cap_cpu_milli=10_000)
        for index in range(WAITING):
            add_waiting_job(cell, index, count=8, gang=True)
        add_small_job_behind(cell)
        self.assertIn("small", play(cell, 0.5, 1.5, run_long))

    def test_steps_without_room_on_labelled_workers_hold_back_no_others(self):
        for gang in (False, True):
            with self.subTest(gang=gang):
                cell = make_two_account_cell(cap_cpu_milli=0)
                add_worker(cell, "labelled", labels=("b",))
                for index in range(WAITING):
                    add_waiting_job(
                        cell,
                        index,
                        count=3,
                        gang=gang,
                        required_label="b",
                        resources=Resources(8000, 10),
                    )
                add_small_job_behind(cell)
                self.assertIn("small", play(cell, 0.5, 1.5, run_long))

    def test_gangs_without_tickets_hold_back_no_others(self):
        cell = make_two_account_cell(cap_cpu_milli=0)
        for index in range(WAITING):
            add_waiting_job(cell, index, "advised", count=2, gang=True)
        play(cell, 0.2, 0.5, run_long)
        add_small_job_behind(cell)
        self.assertIn("small", play(cell, 0.5, 1.5, run_long))

    def test_steps_of_a_full_service_hold_back_no_other_service(self):
        cell = make_two_account_cell(workers=1, cap_cpu_milli=0)
        elsewhere = Queue("elsewhere", "h", "/e/", "other", 2, 3, 4.0, 3.0)
        accounts = cell.config.accounts
        cell.config = make_config(2, (*QUEUES, elsewhere), accounts=accounts)
        for index in range(4):
            add_worker(cell, f"s{index}", service="other")
        for index in range(WAITING):
            add_waiting_job(cell, index, resources=Resources(16_000, 10))
        add_test_job(cell, "small", "elsewhere", 0.5, account="other")
        self.assertIn("small", play(cell, 0.5, 1.5, run_long))

    def test_each_of_many_waiting_steps_is_tried_within_a_second(self):
        for workers in (8, 300):
            with self.subTest(workers=workers):
                self.check_job_behind_many_starts(workers, 0)

    def test_each_of_many_waiting_steps_is_tried_in_a_busy_service(self):
        self.check_job_behind_many_starts(8, 7)

    def test_steps_without_free_memory_or_gpus_hold_back_no_others(self):
        for resources in (Resources(100, 40_000), Resources(100, 10, 1)):
            with self.subTest(resources=resources):
                cell = make_two_account_cell(300, cap_cpu_milli=0)
                for index in range(1500):
                    add_waiting_job(cell, index, resources=resources)
                add_small_job_behind(cell)
                self.assertIn("small", play(cell, 0.5, 1.5, run_long))

    def check_job_behind_many_starts(self, workers, in_use):
        cell = make_two_account_cell(workers, cap_cpu_milli=0)
        fields = {"count": in_use, "resources": Resources(13_000, 10)}
        if in_use:
            add_test_job(cell, "first", "bulk", 0.0, **fields)
            play(cell, 0.1, 0.2, run_long)
        add_worker(cell, "labelled", labels=("b",))
        for index in range(1500):
            add_waiting_job(
                cell,
                index,
                count=3,
                gang=True,
                required_label="b",
                resources=Resources(8000, 10),
            )
        add_small_job_behind(cell)
        self.assertIn("small", play(cell, 0.5, 1.5, run_long))


class AccountLimitsTest(unittest.TestCase):
    def test_headroom_holds_back_nothing_while_half_of_the_cap_is_free(self):
        cell = make_two_account_cell(cap_cpu_milli=20_000)
        add_test_job(cell, "first", "bulk", 0.0, count=8)
        play(cell, 0.1, 0.2, run_long)
        urgent = UrgentCpu(mean_milli=20_000.0, observations=1000)
        cell.urgent_cpu_by_account["team"] = urgent
        add_test_job(cell, "wide", "bulk", 0.2, count=10, gang=True)
        self.assertIn("wide", play(cell, 0.2, 3.2, run_long))

    def test_small_tasks_of_an_account_do_not_starve_its_wide_gang(self):
        cell = make_two_account_cell(cap_cpu_milli=20_000)
        numbers = iter(range(1_000_000))

        def submit(now_s):
            if round(now_s * 20) % 4 == 0:
                add_test_job(cell, f"small{next(numbers)}", "heavy", now_s)

        def run_time_s(job_id):
            return 1.0 if job_id.startswith("small") else LONG_S

        play(cell, 0.1, 1.5, run_time_s, submit)
        add_test_job(cell, "wide", "heavy", 1.5, count=18, gang=True)
        self.assertIn("wide", play(cell, 1.5, 11.5, run_time_s, submit))


if __name__ == "__main__":
    unittest.main()
