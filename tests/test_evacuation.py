"""Test that the workers of an evacuated failure domain get no new work.

Guards against starts there after a request, against gangs that a request leaves in
part, and against requests that get lost or come back.
"""

import asyncio
import dataclasses
import unittest

import msgspec

from bulrushspur_daemon.config_watch import ConfigWatch
from bulrushspur_kernel.adapter import CallerInterface
from bulrushspur_kernel.store import StoredRecord
from bulrushspur_platform.config import build_config
from bulrushspur_scheduler.admission import check_admission
from bulrushspur_scheduler.config import make_config
from bulrushspur_scheduler.evacuation import (
    MAX_GANG_ORDER_AGE_S,
    log_changes,
    must_drop_start,
)
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.waiting import WaitReason, find_wait_reason
from fuzz.evacuation import run_evacuation_history
from tests.cell_fixtures import (
    QUEUES,
    acknowledge_starts,
    add_test_job,
    add_worker,
    make_test_cell,
    make_test_job,
    report_all_workers,
)
from tests.cluster import CONFIG, InProcessCluster, job_id
from tests.test_config_watch import FakeStore, NullEventLog

FUZZ_SEEDS = range(1, 16)


def evacuate(cell, *domains):
    before = cell.config
    cell.config = dataclasses.replace(before, evacuated_domains=frozenset(domains))
    log_changes(cell, before)


def make_two_domains(workers_each=2, cpu_milli=4000):
    cell = make_test_cell(0)
    for domain in ("north", "south"):
        for index in range(workers_each):
            name = f"{domain}-{index}"
            add_worker(cell, name, cpu_milli, zone=domain)
    return cell


def started_domains(cell, now_s):
    report_all_workers(cell, now_s)
    plan(cell, now_s)
    orders = acknowledge_starts(cell, now_s)
    return [order.worker_id.split("-")[0] for order in orders]


class DecisionTest(unittest.TestCase):
    def test_evacuated_workers_get_no_starts_until_they_are_restored(self):
        cell = make_two_domains()
        evacuate(cell, "north")
        add_test_job(cell, count=12)
        self.assertEqual(started_domains(cell, 0.1), ["south"] * 8)
        evacuate(cell)
        self.assertEqual(started_domains(cell, 0.2), ["north"] * 4)

    def test_gang_that_needs_both_domains_waits_and_says_why(self):
        cell = make_two_domains()
        evacuate(cell, "north")
        job = add_test_job(cell, count=12, gang=True)
        self.assertEqual(started_domains(cell, 0.1), [])
        (step,) = job.occurrences[0].steps
        reason = find_wait_reason(cell, step, 0.1)
        self.assertIs(reason, WaitReason.EVACUATION)
        evacuate(cell)
        self.assertEqual(len(started_domains(cell, 0.2)), 12)

    def test_nothing_is_preempted_or_reserved_in_an_evacuated_domain(self):
        cell = make_two_domains()
        add_test_job(cell, "b", "bulk", count=16, checkpointing=True, estimate_s=9.0)
        started_domains(cell, 0.1)
        evacuate(cell, "north")
        add_test_job(cell, "g", "small", 2.0, count=4, gang=True)
        started_domains(cell, 2.0)
        runs = [run for worker in cell.workers.values() for run in worker.runs.values()]
        stopping = {
            run.worker_id.split("-")[0]
            for run in runs
            if run.state is RunState.STOPPING
        }
        self.assertLessEqual(stopping, {"south"})
        reserved = {w.id for w in cell.workers.values() if w.reserved_for is not None}
        self.assertLessEqual(reserved, {"south-0", "south-1"})

    def test_decided_starts_are_dropped_but_not_a_part_of_a_gang(self):
        cell = make_two_domains(1, 16_000)
        add_test_job(cell, "single", count=1, resources=Resources(12_000, 100))
        gang = add_test_job(cell, "gang", count=2, gang=True)
        report_all_workers(cell, 0.1)
        plan(cell, 0.1)
        orders = {order.run.task.key.job: order for order in cell.start_orders}
        evacuate(cell, "north", "south")
        for job_name, now_s, dropped in (
            ("single", 0.1, True),
            ("gang", 0.1, False),
            ("gang", 0.2 + MAX_GANG_ORDER_AGE_S, True),
        ):
            order = orders[job_name]
            worker = cell.workers[order.worker_id]
            with self.subTest(job=job_name, now_s=now_s):
                is_dropped = must_drop_start(cell, worker, order.run, now_s)
                self.assertIs(is_dropped, dropped)
        self.assertEqual(len(gang.occurrences[0].steps[0].tasks), 2)

    def test_job_that_fits_only_evacuated_workers_is_rejected_at_once(self):
        cell = make_two_domains()
        add_worker(cell, "large", 64_000, zone="north")
        large = {"resources": Resources(30_000, 100)}

        def check(**fields):
            job = make_test_job(**fields)
            return check_admission(cell, QUEUES[1], "team", job, 0.0)

        self.assertIsNone(check(**large))
        evacuate(cell, "north")
        rejection = check(**large)
        self.assertIn("evacuated", rejection.reason)
        self.assertGreater(rejection.retry_after_s, 0)
        self.assertIsNone(check())
        self.assertIsNone(check(**large, long_running=True))
        evacuate(cell, "north", "south")
        self.assertIn("evacuated", check().reason)
        plan(cell, 0.1)

    def test_unknown_domain_is_logged_with_those_known(self):
        cell = make_two_domains()
        evacuate(cell, "nowhere")
        (event,) = [event for event in cell.events if event.name == "domain_unknown"]
        self.assertEqual(event.fields["known"], ["north", "south"])

    def test_idle_share_of_a_service_leaves_evacuated_workers_out(self):
        cell = make_two_domains(1)
        evacuate(cell, "north")
        add_test_job(cell, count=4)
        started_domains(cell, 0.1)
        add_test_job(cell, "j2")
        self.assertEqual(started_domains(cell, 0.2), [])
        self.assertLess(cell.recent_pools["svc"].unheld_cpu_milli, 0)


class RequestTest(unittest.IsolatedAsyncioTestCase):
    def make_watch(self, store):
        interface = CallerInterface("keyed.op", build_config, None)
        return ConfigWatch(store, interface, NullEventLog())

    def put(self, store, key, value):
        store.records.append(StoredRecord(len(store.records), key, value))

    async def test_requests_take_effect_without_a_new_version(self):
        store = FakeStore()
        watch = self.make_watch(store)
        applied = []
        watch.listeners.append(lambda config: applied.append(config.evacuated_domains))
        self.put(store, "config", msgspec.json.encode(CONFIG))
        self.put(store, "evacuate/north", b"{}")
        await watch._poll()
        self.put(store, "evacuate/south", b"\xff not JSON")
        await watch._poll()
        self.put(store, "evacuate/north", b"")
        await watch._poll()
        self.assertEqual(
            applied,
            [frozenset({"north"}), frozenset({"north", "south"}), frozenset({"south"})],
        )

    async def test_request_without_a_domain_is_ignored(self):
        store = FakeStore()
        watch = self.make_watch(store)
        self.put(store, "config", msgspec.json.encode(CONFIG))
        self.put(store, "evacuate/", b"{}")
        await watch._poll()
        self.assertEqual(watch.current.evacuated_domains, frozenset())

    async def test_request_read_during_a_load_is_not_forgotten(self):
        store = FakeStore()
        watch = self.make_watch(store)
        self.put(store, "config", msgspec.json.encode(CONFIG))
        await watch._poll()
        store.missing_from_newest = 1
        self.put(store, "evacuate/north", b"{}")
        read_newest = store.read_newest

        async def read_behind(topic, timeout_s=2.0):
            answer = await read_newest(topic)
            await watch._poll()
            return answer

        store.read_newest = read_behind
        await watch.refresh()
        self.assertEqual(watch.current.evacuated_domains, {"north"})

    async def test_request_taken_back_does_not_return_with_an_older_relay(self):
        store = FakeStore()
        watch = self.make_watch(store)
        config = msgspec.json.encode(CONFIG)
        self.put(store, "config", config)
        self.put(store, "evacuate/north", b"{}")
        self.put(store, "evacuate/north", b"")
        await watch._poll()
        await watch._poll()
        watch.apply_records([("config", config, 0), ("evacuate/north", b"{}", 1)], 2)
        self.assertEqual(watch.current.evacuated_domains, frozenset())

    async def test_older_version_does_not_replace_a_newer_one_with_evacuations(self):
        store = FakeStore()
        watch = self.make_watch(store)
        watch.current = make_config(9)
        self.put(store, "config", msgspec.json.encode(CONFIG))
        self.put(store, "evacuate/north", b"{}")
        await watch._poll()
        self.assertEqual(watch.current.version, 9)


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=3, workers=0)
        for domain in ("north", "south"):
            for index in range(2):
                await self.cluster.add_worker(f"{domain}-{index}", zone=domain)

    async def wait_evacuated(self, *domains):
        for _ in range(200):
            leader = self.cluster.find_leader()
            if leader is not None and leader.process.term is not None:
                found = leader.process.term.cell.config.evacuated_domains
                if found == set(domains):
                    return
            await asyncio.sleep(0.02)
        self.fail(f"{domains} are not evacuated")

    def started_workers(self, *numbers):
        ids = {job_id(number) for number in numbers}
        return {
            row[3] for row in self.cluster.oracle.starts if row[1].split(".")[0] in ids
        }

    async def test_new_leader_knows_a_request_that_it_could_not_read_before(self):
        cluster = self.cluster
        old = cluster.find_leader()
        for node in cluster.nodes.values():
            if node is not old:
                node.process.config_watch.store_unavailable = True
                node.tasks[2].cancel()
        cluster.store.put("keyed.op", "evacuate/north", b"{}")
        await self.wait_evacuated("north")
        await cluster.kill(old)
        await cluster.wait_leader()
        await cluster.submit(job_id(1), count=6)
        await cluster.wait_job_state(job_id(1), "completed")
        workers = self.started_workers(1)
        self.assertTrue(workers)
        self.assertTrue(all("south" in worker for worker in workers), workers)

    async def test_request_during_an_outage_of_the_store_is_kept_after_it(self):
        cluster = self.cluster
        cluster.store.faults.forced_status = 503
        cluster.store.put("keyed.op", "evacuate/north", b"{}")
        await asyncio.sleep(1.0)
        cluster.store.faults.forced_status = 0
        await self.wait_evacuated("north")
        await cluster.submit(job_id(2), count=6)
        await cluster.wait_job_state(job_id(2), "completed")
        self.assertTrue(all("south" in w for w in self.started_workers(2)))
        cluster.store.put("keyed.op", "evacuate/north", b"")
        await self.wait_evacuated()


class FuzzTest(unittest.TestCase):
    def test_histories_with_evacuations_violate_no_guarantee(self):
        for seed in FUZZ_SEEDS:
            with self.subTest(seed=seed):
                simulation = run_evacuation_history(seed)
                self.assertEqual(simulation.oracle.violations, [])
