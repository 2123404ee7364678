"""Run real entry processes under load and random faults, and check their guarantees.

``make soak SEEDS=n SEED=k MINUTES=m`` runs up to ``n`` seeds from ``k`` on and starts
none after ``m`` minutes. The seed fixes the random numbers for jobs and faults; which
client or fault draws next also depends on the timing of the processes. Some jobs repeat
and some are cancelled, also on their way; odd entries of another writer stand among
those of the workers. Violations are: an accepted job that does not complete, unless its
runs failed or its workers crashed often enough; what the oracle finds in what clients
and workers saw, such as a cancelled job of which a task starts later; and what the
workers together record, such as two runs of a task at once.
"""

import asyncio
import os
import random
import signal
import sys
import time
import typing as t

from bench.processes import ProcessCluster
from bulrushspur_standins.worker import WorkerStandin
from soak.calls import Call, Client
from soak.checks import (
    cancel_long_running_jobs,
    check_evacuations,
    check_jobs,
    check_runs,
)
from soak.clients import list_accepted_jobs, run_client
from soak.disruptions import Disruptions, watch_lag
from soak.faults import inject_faults
from soak.jobs import SoakJob, draw_work
from soak.mutants import make_daemon_command
from soak.profile import draw_profile
from soak.proxy import FaultProxy
from soak.recording import write_observations
from soak.stop_clients import list_requests_to_stopping, run_stop_client
from soak.store_faults import DOMAINS, EVACUATION_BOUND_S
from tests.cluster import CONFIG
from tests.odd_entries import list_odd_entries

# How the processes end is not checked any more.
STOP_TIMEOUT_S: t.Final = 1.0
MAX_PRINTED_VIOLATIONS: t.Final = 5
# The entry of a worker that registers later than this has lapsed before.
MIN_LAPSE_S: t.Final = 1.5
# Seeds of earlier failures, each with the cause.
REGRESSION_SEEDS: t.Final[dict[int, str]] = {}


class Soak:
    """One seeded run of a cluster, its clients and the injected faults."""

    def __init__(
        self, seed: int, run_s: float = 0.0, aim: str = "", mutant: str = ""
    ) -> None:
        self.rng = random.Random(seed)
        self.profile = draw_profile(seed, self.rng, aim)
        self.duration_s = run_s or self.profile.run_s
        self.cluster = ProcessCluster(make_daemon_command(mutant))
        self.observations = self.cluster.observations
        self.disruptions = Disruptions(self.observations)
        self.store_proxies: list[FaultProxy] = []
        self.worker_proxies: list[FaultProxy] = []
        self.caller_proxies: list[FaultProxy] = []
        # By name of the entry process: where clients reach it.
        self.caller_addresses: dict[str, str] = {}
        # The subjects of disruptions of links.
        self.worker_link_by_machine: dict[str, str] = {}
        self.store_link_by_entry: dict[str, str] = {}
        self.clients: list[Client] = []
        self.jobs: dict[str, SoakJob] = {}
        self.calls: list[Call] = []
        # By term: the entry process that leads.
        self.term_holders: dict[int, str] = {}
        self.violations: list[str] = []
        # Those that follow from starts that no bound covers.
        self.known_violations: list[str] = []
        self.fault_log: list[str] = []
        self.faulted_entries: set[str] = set()
        # Links to workers that other faults leave alone.
        self.reserved_links: set[str] = set()
        self.proxy_by_machine: dict[str, FaultProxy] = {}
        # By machine: the delay of its next entry, and whether its address changes.
        self.entry_plans: dict[str, tuple[float, bool]] = {}
        self.registrations: set[asyncio.Task[None]] = set()
        self.config_version = CONFIG["version"]
        self.lacks_queue = False
        # Jobs that failed with cause.
        self.failed_jobs: set[str] = set()
        # Domain, and when nothing may start there, on the monotonic clock.
        self.evacuations: list[tuple[str, float, float]] = []
        self.evacuations_until_s = 0.0
        # Of the stops under way: how long appends to the store take.
        self.append_delays_s: list[float] = []

    def proxy_of(self, worker: WorkerStandin) -> FaultProxy:
        """Return the link from the entry processes to a worker."""
        return self.proxy_by_machine[worker.machine]

    def log_fault(self, description: str) -> None:
        """Note what was injected, and when on the clock of the logs."""
        self.fault_log.append(f"{time.time():.2f} {description}")

    async def run(self) -> list[str]:
        """Run and return the violations found, empty if there are none."""
        watch = None
        try:
            await self._start()
            names = [entry.name for entry in self.cluster.entries]
            watch = asyncio.create_task(watch_lag(self.disruptions, names))
            run = run_stop_client if self.profile.has_stops else run_client
            async with asyncio.TaskGroup() as group:
                group.create_task(inject_faults(self))
                for number in range(self.profile.client_count):
                    group.create_task(run(self, number))
            await cancel_long_running_jobs(self)
            await check_jobs(self)
            await check_runs(self)
            check_evacuations(self)
            return self.violations + self.cluster.oracle.violations
        finally:
            if watch is not None:
                watch.cancel()
            await self._stop()

    async def _stop(self) -> None:
        for client in self.clients:
            await client.close()
        entries = self.cluster.entries
        for entry in entries:
            entry.send_signal(signal.SIGCONT)
            entry.send_signal(signal.SIGTERM)
        await asyncio.gather(*(entry.wait_exit(STOP_TIMEOUT_S) for entry in entries))
        await self.cluster.stop()
        for proxy in [*self.store_proxies, *self.worker_proxies, *self.caller_proxies]:
            await proxy.stop()

    async def _start(self) -> None:
        cluster = self.cluster
        config = _lift_caps() if self.profile.has_aim else CONFIG
        await cluster.start(entries=0, workers=0, interface="platform", config=config)
        for index in range(self.profile.worker_count):
            await self._add_worker(index)
        for index, data in enumerate(list_odd_entries().values()):
            cluster.store.put("keyed.servers", f"odd-{index}", data)
        # The advice service approves these workers for every step, so that each job
        # can run.
        cluster.advice.always_approved = {"w0", "w1"}
        real_store_address = cluster.store_address
        for index in range(self.profile.entry_count):
            await self._add_entry(f"n{index}", real_store_address)
        await asyncio.gather(*(entry.start() for entry in cluster.entries))
        await cluster.wait_ready()
        # One that begins later would last far longer than the traffic.
        self.evacuations_until_s = (
            time.monotonic() + self.duration_s - EVACUATION_BOUND_S
        )

    async def _add_worker(self, index: int) -> None:
        # Some restart under their id, as those do that advice always approves.
        worker = await self.cluster.add_worker(
            f"w{index}",
            work_model=self._draw_work,
            renamed=index >= self.profile.kept_id_count,
            clock_start_ms=self.profile.first_clock_ms,
        )
        # An order that is late by itself may be meant for a former incarnation.
        worker.faults.survives_restart = True
        worker.on_restart = self._register_restarted
        worker.zone = DOMAINS[index % len(DOMAINS)]
        proxy = FaultProxy(worker.address, f"link to {worker.machine}")
        self.worker_link_by_machine[worker.machine] = proxy.name
        worker.address = await proxy.start()
        self.worker_proxies.append(proxy)
        self.proxy_by_machine[worker.machine] = proxy
        self.cluster.store.put("keyed.servers", worker.id, worker.encode_entry())

    async def _add_entry(self, name: str, store_address: str) -> None:
        """Add an entry process, with a proxy to the store and one before it."""
        cluster = self.cluster
        store_proxy = FaultProxy(store_address, f"link from {name} to the store")
        # ``make_entry`` uses ``store_address``.
        cluster.store_address = await store_proxy.start()
        self.store_link_by_entry[name] = store_proxy.name
        self.store_proxies.append(store_proxy)
        entry = cluster.make_entry(name, "platform")
        cluster.entries.append(entry)
        caller_proxy = FaultProxy(entry.address, f"link from clients to {name}")
        self.caller_addresses[name] = await caller_proxy.start()
        self.caller_proxies.append(caller_proxy)

    def _draw_work(self, task: str, payload: str) -> tuple[int, float, str]:
        job = self.jobs.get(task.partition(".")[0])
        return draw_work(self.rng, job, task, payload)

    def _register_restarted(self, worker: WorkerStandin, old_id: str) -> None:
        proxy = self.proxy_of(worker)
        if worker.address != proxy.address:
            proxy.target, worker.address = worker.address, proxy.address
        delay_s, is_moved = self.entry_plans.pop(worker.machine, (0.0, False))
        if old_id != worker.id or delay_s > MIN_LAPSE_S:
            self.cluster.store.put("keyed.servers", old_id, b"")
        task = asyncio.create_task(self._register(worker, delay_s, is_moved))
        self.registrations.add(task)
        task.add_done_callback(self.registrations.discard)

    async def _register(
        self, worker: WorkerStandin, delay_s: float, is_moved: bool
    ) -> None:
        """Register the next incarnation of a worker, late or at another address."""
        proxy = self.proxy_of(worker)
        await asyncio.sleep(delay_s)
        if is_moved:
            worker.address = await proxy.move()
        self.cluster.store.put("keyed.servers", worker.id, worker.encode_entry())


def _lift_caps() -> dict[str, t.Any]:
    """Return a configuration in which tasks that are lost start again at once."""
    cap = {"cpu": 0, "mem_mb": 0, "gpu": 0}
    tenants = [{**row, "cap": cap} for row in CONFIG["tenants"]]
    return {**CONFIG, "tenants": tenants}


def run_seed(
    seed: int, run_s: float = 0.0, aim: str = "", mutant: str = ""
) -> tuple[list[str], Soak]:
    """Run one seed; return its violations and the run.

    It lasts ``run_s`` seconds, or as long as its profile says. With a ``mutant`` the
    entry processes lack that defence.
    """
    soak = Soak(seed, run_s, aim, mutant)
    violations = asyncio.run(soak.run())
    write_observations(soak)
    return violations, soak


def main() -> int:
    """Run the seeds that the environment asks for; return 1 if any had a violation.

    Reads ``SEED`` (random by default), ``SEEDS`` (3) and ``MINUTES`` (60), and by
    default none: ``AIM`` (one of ``AIMS``), ``MUTANT`` (of ``MUTANTS``) and
    ``RUN_SECONDS``.
    """
    env = os.environ.get
    seed = int(env("SEED") or random.SystemRandom().randrange(1_000_000))
    seeds = int(env("SEEDS") or 3)
    run_s = float(env("RUN_SECONDS") or 0.0)
    until_s = time.monotonic() + 60 * float(env("MINUTES") or 60)
    failed = runs = known = 0
    for number in range(seed, seed + seeds):
        if time.monotonic() > until_s:
            break
        violations, soak = run_seed(number, run_s, env("AIM", ""), env("MUTANT", ""))
        runs += 1
        known += len(soak.known_violations)
        print(describe_run(number, soak, violations), flush=True)
        if violations:
            failed += 1
            print(f"  {violations[:MAX_PRINTED_VIOLATIONS]}\n  {soak.fault_log}")
            print(f"  logs in {soak.cluster.folder}", flush=True)
    print(f"figure soak_seeds {runs} count")
    print(f"figure soak_failed {failed} count")
    print(f"figure soak_known_violations {known} count")
    return 1 if failed else 0


def describe_run(seed: int, soak: Soak, violations: list[str]) -> str:
    """Return a line that says how large a run was and what was found."""
    profile = soak.profile
    accepted_jobs = list_accepted_jobs(soak)
    cancelled_count = sum(map(bool, soak.observations.cancels.values()))
    return (
        f"seed {seed}: {profile.label}, {profile.entry_count} entries, "
        f"{profile.worker_count} workers, {len(soak.fault_log)} faults, "
        f"{len(accepted_jobs)} of {len(soak.jobs)} jobs accepted, {cancelled_count} "
        f"cancelled, {len(soak.failed_jobs)} failed with cause, "
        f"{len(soak.observations.runs)} starts, {len(violations)} violations, "
        f"{len(soak.known_violations)} known ones" + describe_stops(soak)
    )


def describe_stops(soak: Soak) -> str:
    """Return how many stops and requests to stopping processes there were, if any."""
    observations = soak.observations
    if not observations.shutdowns:
        return ""
    took_s = [row.gone_s - row.signaled_s for row in observations.shutdowns]
    requests = list_requests_to_stopping(soak)
    refused = [request for request in requests if request.status == 503]
    return (
        f", {len(took_s)} stops of up to {max(took_s):.2f} s, {len(requests)} requests "
        f"sent meanwhile, {len(refused)} of them refused"
    )


if __name__ == "__main__":
    sys.exit(main())
