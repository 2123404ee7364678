"""Test how long a worker that restarted under its id may go on with its runs.

The tests guard against runs that start elsewhere while a worker is silent and still has
them: the end of a lease in an order for its former incarnation is far ahead on the new
clock, so that the worker holds the longest lease that there is. An acknowledgement of
ends that reaches the next incarnation drops ends that nobody has read.
"""

import asyncio
import unittest
import unittest.mock

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.order_slots import OrderSlots
from bulrushspur_daemon.worker_connections import WorkerConnection, WorkerConnections
from bulrushspur_daemon.worker_orders import (
    START_LEASE_S,
    OrderTarget,
    WorkerOrders,
)
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_platform.workers import make_worker_client
from bulrushspur_scheduler.job_states import RunOutcome
from bulrushspur_scheduler.leases import (
    expire_leases,
    extend_lease,
)
from bulrushspur_scheduler.order_results import StartResult
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.reports import (
    RunEnd,
    RunStatus,
    WorkerReport,
    apply_report,
)
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.workers import WorkerEntry
from bulrushspur_standins.worker import WorkerStandin
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
    task_key,
)
from tests.test_takeover import make_recovered_cell
from tests.test_worker_records import FakeWriter

# What a worker's clock shows at the start of an incarnation.
FIRST_CLOCK_MS = 1
LONGEST_LEASE_S = 10.0


def restart(cell, name, now_s, running=()):
    """Apply the first report of the next incarnation of a worker, which began then."""
    report = WorkerReport(now_s, FIRST_CLOCK_MS, 99, list(running), [])
    apply_report(cell, cell.workers[name], report, now_s)


class LeaseTest(unittest.TestCase):
    def assert_kept_until(self, cell, last_s):
        """Assert that the runs of a silent worker are lost only after a time."""
        (run,) = cell.workers["w0"].runs.values()
        expire_leases(cell, last_s)
        self.assertEqual(run.task.runs, [run])
        expire_leases(cell, last_s + 2.0)
        self.assertEqual(run.task.runs, [])

    # The order that began the run had a lease by the clock of the former incarnation.
    def test_next_leader_outwaits_the_longest_lease_of_a_run_it_adopted(self):
        cell = make_recovered_cell(workers=("w0",))
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 1)])
        self.assert_kept_until(cell, 1.0 + LONGEST_LEASE_S)

    def test_lease_that_reached_an_idle_next_incarnation_is_outwaited(self):
        cell = make_test_cell(1)
        restart(cell, "w0", 1.0)
        add_test_job(cell)
        plan(cell, 1.1)
        acknowledge_starts(cell, 1.1)
        extend_lease(cell, cell.workers["w0"], 1.1, 2.0)
        self.assert_kept_until(cell, 1.0 + LONGEST_LEASE_S)

    # Guards against: a crash that is not counted, as its run was given up before.
    def test_new_worker_is_not_given_up_before_its_crash_can_be_seen(self):
        cell = make_test_cell(1)
        add_test_job(cell)
        plan(cell, 0.1)
        (order,) = acknowledge_starts(cell, 0.1)
        extend_lease(cell, cell.workers["w0"], 0.1, START_LEASE_S)
        expire_leases(cell, 4.0)
        self.assertEqual(order.run.task.runs, [order.run])
        expire_leases(cell, 8.0)
        self.assertEqual(order.run.task.runs, [])

    # Guards against: runs that a worker has just reported are taken for over.
    def test_worker_that_lists_runs_after_its_lease_still_has_one(self):
        cell = make_test_cell(1)
        add_test_job(cell)
        plan(cell, 0.1)
        (order,) = acknowledge_starts(cell, 0.1)
        apply_worker_report(cell, "w0", 30.0, [order.run.key])
        self.assert_kept_until(cell, 30.0 + LONGEST_LEASE_S)


class FakeClient:
    """A worker that answers each start with a clock, after ``meanwhile``."""

    def __init__(self, clock_ms, meanwhile=lambda: None):
        self.clock_ms = clock_ms
        self.meanwhile = meanwhile

    async def start_run(self, *args):
        self.meanwhile()
        return StartResult.STARTED, self.clock_ms


class OrderClockTest(unittest.IsolatedAsyncioTestCase):
    """A worker whose clock showed 100 s when the test began."""

    async def asyncSetUp(self):
        self.now_s = 1000.0
        self.cell = make_test_cell(0)
        add_worker(self.cell, "w0", has_reported=False)
        self.worker = self.cell.workers["w0"]
        report = WorkerReport(self.now_s, 100_000, 1, [], [])
        apply_report(self.cell, self.worker, report, self.now_s)
        add_test_job(self.cell)
        plan(self.cell, self.now_s)

    async def send_start(self, client):
        target = OrderTarget(self.worker, client, OrderSlots(1))
        orders = WorkerOrders(
            self.cell, Metrics(), lambda: None, lambda: True, lambda worker_id: target
        )
        with unittest.mock.patch(
            "bulrushspur_daemon.worker_orders.monotonic_s", lambda: self.now_s
        ):
            orders.send_all()
            await asyncio.gather(*orders.tasks)

    async def test_answer_of_the_former_incarnation_does_not_set_the_clock_back(self):
        def restart_worker():
            restart(self.cell, "w0", self.now_s)

        await self.send_start(FakeClient(100_000, restart_worker))
        self.assertEqual(self.worker.clock.value_ms, FIRST_CLOCK_MS)

    async def test_start_that_the_next_incarnation_answered_has_the_longest_lease(self):
        await self.send_start(FakeClient(FIRST_CLOCK_MS))
        (run,) = self.worker.runs.values()
        expire_leases(self.cell, self.now_s + LONGEST_LEASE_S)
        self.assertEqual(run.task.runs, [run])
        expire_leases(self.cell, self.now_s + LONGEST_LEASE_S + 2.0)
        self.assertEqual(run.task.runs, [])

    async def test_worker_with_a_new_clock_gets_no_more_starts_until_it_reports(self):
        await self.send_start(FakeClient(FIRST_CLOCK_MS))
        add_test_job(self.cell, "j2")
        plan(self.cell, self.now_s)
        self.assertEqual(self.cell.start_orders, [])


class VerifiedStartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.worker = WorkerStandin("w0", renamed=False, down_s=0.0)
        await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)
        entry = WorkerEntry("w0", "svc", self.worker.address, "z", Resources(1, 1))
        self.client = make_worker_client(entry)
        self.addCleanup(self.client.close)
        self.former_start_ms = self.worker.incarnation_start_ms

    async def start_run(self, number=1):
        until_ms, term = 9**9, 1
        return await self.client.start_run(
            task_key(),
            number,
            "100 5000 done",
            until_ms,
            term,
            "",
            "",
            1.0,
            self.former_start_ms,
        )

    async def restart(self):
        await asyncio.sleep(0.01)
        self.worker.crash()
        while not self.worker.alive or self.worker.incarnation_count == 1:
            await asyncio.sleep(0.01)

    # Guards against: a lease by the clock of the former incarnation.
    async def test_start_does_not_reach_the_next_incarnation(self):
        await self.restart()
        self.assertEqual(await self.start_run(), (StartResult.NOT_SENT, None))
        self.assertEqual(self.worker.running, {})

    async def test_start_over_a_connection_that_the_restart_closed_is_not_sent(self):
        result, _ = await self.start_run()
        self.assertIs(result, StartResult.STARTED)
        await self.restart()
        self.assertEqual(await self.start_run(2), (StartResult.NOT_SENT, None))
        self.assertEqual(self.worker.running, {})

    async def test_connection_is_verified_once(self):
        for number in (1, 2):
            result, _ = await self.start_run(number)
            self.assertIs(result, StartResult.STARTED)
        self.assertEqual(self.client.order_pool.opened_connections, 1)


class RenewalClient:
    """A worker that answers renewals, and keeps its connection open if it is told."""

    def __init__(self):
        self.is_open = False
        self.renewals = []

    def has_open_connection(self):
        return self.is_open

    async def renew_lease(self, lease_until_ms, term, acknowledged_upto, wait_ms):
        self.renewals.append((lease_until_ms is not None, acknowledged_upto))
        if len(self.renewals) > 6:
            await asyncio.sleep(10)
        running = [RunStatus(task_key(), 1, "", 100)]
        ended = [RunEnd(1, task_key("j2"), 1, RunOutcome.DONE, "")]
        return WorkerReport(monotonic_s(), 5000, 1, running, ended)


class RenewalTest(unittest.IsolatedAsyncioTestCase):
    async def poll(self, *open_states):
        """Renew with the connection open or not; return what each renewal carried.

        That is whether it extends the lease, and up to which end it acknowledges.
        """
        cell = make_test_cell(1)
        add_test_job(cell)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        client = RenewalClient()
        connections = WorkerConnections(
            cell, None, FakeWriter(), None, Metrics(), lambda: None, lambda: True
        )
        connection = WorkerConnection(cell.workers["w0"], client, OrderSlots(1))
        connection.durable_end_sequence = 1
        for is_open in open_states:
            client.is_open = is_open
            connection.acknowledged_end_sequence = 0
            await connections._poll(connection)
        return client.renewals

    async def test_renewal_on_the_same_connection_carries_lease_and_ends(self):
        renewals = await self.poll(False, True, True)
        self.assertEqual(renewals, [(False, 0), (True, 1), (True, 1)])

    # A connection that was closed may have been that of the former incarnation.
    async def test_renewal_on_a_new_connection_carries_neither(self):
        renewals = await self.poll(False, True, False, True)
        self.assertEqual(renewals[2:], [(False, 0), (True, 1)])

    async def test_renewals_of_a_worker_that_keeps_no_connection_carry_both(self):
        renewals = await self.poll(False, False, False)
        self.assertEqual(renewals, [(False, 0), (True, 1), (True, 1)])
