"""Run real entry processes under load and random faults, and check their guarantees.

``make soak SEEDS=n SEED=k MINUTES=m`` runs up to ``n`` seeds from ``k`` on and starts
none after ``m`` minutes. The seed fixes the random numbers for jobs and faults; which
client or fault draws next also depends on the timing of the processes. Some jobs repeat
and some are cancelled; odd entries of another writer stand among those of the workers.
Violations are: an accepted job that does not complete, unless its runs failed or its
workers crashed often enough, a refused job that runs, a cancelled one of which a task
starts later, and what the workers together record, such as two runs of a task at once.
"""

import asyncio
import dataclasses
import os
import random
import sys
import time
import typing as t

import msgspec

from bench.processes import ProcessCluster
from bulrushspur_kernel.http_pool import HttpPool, NotSentError, ResponseLostError
from bulrushspur_standins.worker import WorkerStandin, work_from_payload
from soak.checks import check_evacuations, check_jobs
from soak.faults import DOMAINS, inject_faults
from soak.proxy import FaultProxy
from tests.cluster import API_KEY, CONFIG, HOST, job_id, make_job_body
from tests.odd_entries import list_odd_entries

RUN_DURATION_S: t.Final = 15.0
# Share of the runs that fail by themselves.
FAILURE_SHARE: t.Final = 0.15
REPEATING_SHARE: t.Final = 0.25
CANCEL_SHARE: t.Final = 0.1
# Seeds of earlier failures, each with the cause.
REGRESSION_SEEDS: t.Final[dict[int, str]] = {}


@dataclasses.dataclass
class Submission:
    """The outcome of a submission as far as the client knows it.

    ``outcome_unknown`` is set if an attempt may have been accepted without the client
    receiving an answer that says so.
    """

    queue: str
    gang: bool
    accepted: bool = False
    outcome_unknown: bool = False
    # A cancel was sent, and when it was acknowledged, on the monotonic clock.
    cancel_sent: bool = False
    cancelled_s: float = float("inf")


class Soak:
    """One seeded run of a cluster, its clients and the injected faults."""

    def __init__(self, seed: int, run_s: float) -> None:
        self.rng = random.Random(seed)
        self.duration_s = run_s
        self.cluster = ProcessCluster()
        self.store_proxies: list[FaultProxy] = []
        self.worker_proxies: list[FaultProxy] = []
        self.submissions: dict[str, Submission] = {}
        self.violations: list[str] = []
        self.fault_log: list[str] = []
        self.faulted_entries: set[str] = set()
        self.config_version = CONFIG["version"]
        self.lacks_queue = False
        # Jobs that failed with cause.
        self.failed_jobs: set[str] = set()
        # Domain, and when nothing may start there, on the monotonic clock.
        self.evacuations: list[tuple[str, float, float]] = []

    async def run(self) -> list[str]:
        """Run and return the violations found, empty if there are none."""
        try:
            await self._start()
            faults = asyncio.create_task(inject_faults(self))
            clients = [
                asyncio.create_task(self._run_client(number)) for number in range(4)
            ]
            await faults
            await asyncio.gather(*clients)
            await check_jobs(self)
            check_evacuations(self)
            return self.violations + self.cluster.find_worker_violations()
        finally:
            await self.cluster.stop()
            for proxy in [*self.store_proxies, *self.worker_proxies]:
                await proxy.stop()

    async def _start(self) -> None:
        cluster = self.cluster
        await cluster.start(entries=0, workers=0, interface="platform", config=CONFIG)
        for index in range(4):
            # Some restart under their id, as those do that advice always approves.
            worker = await cluster.add_worker(
                f"w{index}", work_model=self._draw_work, renamed=index >= 2
            )
            worker.on_restart = self._register_restarted
            worker.zone = DOMAINS[index % len(DOMAINS)]
            proxy = FaultProxy(worker.address)
            worker.address = await proxy.start()
            self.worker_proxies.append(proxy)
            cluster.store.put("keyed.servers", worker.id, worker.encode_entry())
        for index, data in enumerate(list_odd_entries().values()):
            cluster.store.put("keyed.servers", f"odd-{index}", data)
        # The advice service approves these workers for every step, so that each job
        # can run.
        cluster.advice.always_approved = {"w0", "w1"}
        real_store_address = cluster.store_address
        for index in range(3):
            # ``make_entry`` uses ``store_address``: each entry gets a proxy of its own.
            proxy = FaultProxy(real_store_address)
            cluster.store_address = await proxy.start()
            self.store_proxies.append(proxy)
            cluster.entries.append(cluster.make_entry(f"n{index}", "platform"))
        await asyncio.gather(*(entry.start() for entry in cluster.entries))
        await cluster.wait_ready()

    def _draw_work(self, task: str, payload: str) -> tuple[int, float, str]:
        cpu_milli, run_time_s, outcome = work_from_payload(task, payload)
        has_failed = self.rng.random() < FAILURE_SHARE
        return cpu_milli, run_time_s, "failed" if has_failed else outcome

    def _register_restarted(self, worker: WorkerStandin, old_id: str) -> None:
        if old_id != worker.id:
            self.cluster.store.put("keyed.servers", old_id, b"")
        self.cluster.store.put("keyed.servers", worker.id, worker.encode_entry())

    # Clients.

    async def _run_client(self, number: int) -> None:
        headers = [("bulrushspur-credential", API_KEY)]
        pools = {
            entry.name: HttpPool(entry.address, HOST) for entry in self.cluster.entries
        }
        until_s = time.monotonic() + self.duration_s
        count = 0
        while time.monotonic() < until_s:
            count += 1
            job = job_id(number * 100_000 + count)
            queue = self.rng.choice(("assess", "place"))
            gang = self.rng.random() < 0.3
            self.submissions[job] = Submission(queue, gang)
            body = make_job_body(
                count=self.rng.choice((1, 2, 4)),
                cpu_milli=self.rng.choice((500, 2000, 4000)),
                run_time_ms=self.rng.choice((100, 400, 1500)),
                gang=gang,
            )
            if self.rng.random() < REPEATING_SHARE:
                body |= self._draw_times()
            path = f"/{queue}/{job}"
            await self._submit(pools, path, msgspec.json.encode(body), headers, job)
            if self.rng.random() < CANCEL_SHARE:
                await asyncio.sleep(self.rng.uniform(0.0, 1.0))
                await self._cancel(pools, path, headers, job)
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))

    def _draw_times(self) -> dict[str, int]:
        """Draw when a job repeats."""
        now_ms = int(time.time() * 1000)
        return {
            "start_at_ms": now_ms + self.rng.choice((0, 300, 1000)),
            "interval_ms": self.rng.choice((200, 1000, 3000)),
            "repeat_count": self.rng.choice((1, 2, 4)),
        }

    async def _cancel(
        self,
        pools: dict[str, HttpPool],
        path: str,
        headers: list[tuple[str, str]],
        job: str,
    ) -> None:
        submission = self.submissions[job]
        pool = pools[self.rng.choice(self.cluster.entries).name]
        submission.cancel_sent = True
        try:
            answer = await pool.request("DELETE", path, b"", headers, 4.0)
        except (NotSentError, ResponseLostError):
            return
        # A job that is not known must not be accepted.
        if answer.status in (200, 410) and submission.accepted:
            submission.cancelled_s = time.monotonic()

    async def _submit(
        self,
        pools: dict[str, HttpPool],
        path: str,
        body: bytes,
        headers: list[tuple[str, str]],
        job: str,
    ) -> None:
        submission = self.submissions[job]
        for _ in range(3):
            pool = pools[self.rng.choice(self.cluster.entries).name]
            try:
                answer = await pool.request("POST", path, body, headers, 4.0)
            except NotSentError:
                continue
            except ResponseLostError:
                submission.outcome_unknown = True
                continue
            if answer.status == 200:
                submission.accepted = True
                return
            # With 429 and 503 the job was not accepted; other answers leave it open.
            if answer.status not in (429, 503):
                submission.outcome_unknown = True
            await asyncio.sleep(0.2)


def run_seed(seed: int, run_s: float = RUN_DURATION_S) -> tuple[list[str], Soak]:
    """Run one seed for ``run_s`` seconds; return its violations and the run."""
    soak = Soak(seed, run_s)
    return asyncio.run(soak.run()), soak


def main() -> int:
    """Run the seeds that the environment asks for; return 1 if any had a violation.

    Reads ``SEED`` (random by default), ``SEEDS`` (3) and ``MINUTES`` (60).
    """
    env = os.environ.get
    seed = int(env("SEED") or random.SystemRandom().randrange(1_000_000))
    seeds = int(env("SEEDS") or 3)
    until_s = time.monotonic() + 60 * float(env("MINUTES") or 60)
    failed = runs = 0
    for number in range(seed, seed + seeds):
        if time.monotonic() > until_s:
            break
        violations, soak = run_seed(number)
        runs += 1
        accepted = sum(submission.accepted for submission in soak.submissions.values())
        print(
            f"seed {number}: {len(soak.fault_log)} faults, {accepted} of "
            f"{len(soak.submissions)} jobs accepted, {len(soak.failed_jobs)} failed "
            f"with cause, {len(violations)} violations",
            flush=True,
        )
        if violations:
            failed += 1
            print(
                f"  {violations[:5]}\n  {soak.fault_log}\n"
                f"  logs in {soak.cluster.folder}"
            )
    print(f"figure soak_seeds {runs} count")
    print(f"figure soak_failed {failed} count")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
