"""Run a cluster on this machine under load and faults, and print a table.

``make demo`` starts real entry processes beside stand-ins, submits jobs at a constant
rate while it injects a fixed series of faults, and prints completion times and refusals
by kind of job. It exits with 1 if the workers recorded a violation or an accepted job
did not complete.
"""

import asyncio
import collections
import json
import random
import signal
import sys
import time
import typing as t

import msgspec

from bench.processes import EntryProcess, ProcessCluster, client_environment

LOAD_DURATION_S: t.Final = 25.0
COMPLETION_TIMEOUT_S: t.Final = 20.0
JOBS_PER_S: t.Final = 12
TEXT_PATH: t.Final = "examples/hedgerow/text.json"
# Name, CPU of a task in millicores, run time in s, tasks of a job, relative frequency.
JOB_KINDS: t.Final = (
    ("place", 600, 0.3, 2, 16),
    ("handbook", 1000, 0.8, 4, 3),
    ("assess", 3000, 1.6, 3, 1),
)


async def run_client(cluster: ProcessCluster, *args: str) -> str:
    """Run the operators' client and return its standard output, stripped."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bulrushspur_client.main",
        *args,
        stdout=asyncio.subprocess.PIPE,
        env=client_environment(cluster),
    )
    out, _ = await process.communicate()
    return out.decode().strip()


class LoadGenerator:
    """Submit jobs and record completion times, refusals and unfinished jobs."""

    def __init__(self, cluster: ProcessCluster, key: str) -> None:
        self.cluster = cluster
        self.headers = [("authorization", f"Bearer {key}")]
        self.rng = random.Random(7)
        self.unfinished_jobs: dict[str, tuple[str, float]] = {}
        self.refused_counts: collections.Counter[str] = collections.Counter()
        self.completion_times_s: dict[str, list[float]] = collections.defaultdict(list)
        self.submit_attempts = 0

    def choose_entry(self) -> EntryProcess:
        """Return a random running entry process, as a load balancer would choose."""
        return self.rng.choice(
            [entry for entry in self.cluster.entries if entry.process]
        )

    async def submit(self, number: int) -> None:
        """Submit a job, again if it is not accepted, and wait until it completes.

        A job that is not accepted in any attempt counts as refused.
        """
        weights = [kind[-1] for kind in JOB_KINDS]
        name, cpu, run_s, tasks, _ = self.rng.choices(JOB_KINDS, weights)[0]
        job = f"demo{number}"
        path = f"/v1/jobs/coursework/{name}/{job}"
        body = {
            "payload": f"{cpu} {round(run_s * 1000)} done",
            "steps": [
                {
                    "tasks": tasks,
                    "cores": cpu / 1000,
                    "run_time_s": run_s,
                    "gang": name == "assess",
                }
            ],
        }
        submitted_s = time.monotonic()
        for _ in range(8):
            answer = await self.cluster.call(
                self.choose_entry(), "POST", path, self.headers, body
            )
            self.submit_attempts += 1
            if answer is not None and answer.status == 200:
                self.unfinished_jobs[job] = (path, submitted_s)
                await self._wait_completed(job, name, path, submitted_s)
                return
            await asyncio.sleep(0.3)
        self.refused_counts[name] += 1

    async def _wait_completed(
        self, job: str, name: str, path: str, submitted_s: float
    ) -> None:
        until_s = time.monotonic() + COMPLETION_TIMEOUT_S + LOAD_DURATION_S
        while time.monotonic() < until_s:
            await asyncio.sleep(0.25)
            answer = await self.cluster.call(
                self.choose_entry(), "GET", path, self.headers
            )
            if answer is None or answer.status != 200:
                continue
            if msgspec.json.decode(answer.body)["state"] == "completed":
                self.completion_times_s[name].append(time.monotonic() - submitted_s)
                del self.unfinished_jobs[job]
                return


async def inject_faults(cluster: ProcessCluster) -> list[str]:
    """Inject a fixed series of faults and return a description of each.

    Kill and restart the leader, suspend the next leader, crash a worker, make the store
    unavailable, and restart an entry process gracefully.
    """
    descriptions = []
    await asyncio.sleep(4.0)
    leader = await cluster.find_leader()
    if leader is not None:
        descriptions.append(f"killed the leader {leader.name}")
        leader.send_signal(signal.SIGKILL)
        await leader.wait_exit()
        await asyncio.sleep(1.0)
        await leader.start()
    await asyncio.sleep(4.0)
    leader = await cluster.find_leader()
    if leader is not None:
        descriptions.append(f"suspended the leader {leader.name} for 3 s")
        leader.send_signal(signal.SIGSTOP)
        await asyncio.sleep(3.0)
        leader.send_signal(signal.SIGCONT)
    await asyncio.sleep(3.0)
    descriptions.append(f"crashed worker {cluster.workers[0].id} without a restart")
    await cluster.workers[0].stop()
    cluster.store.put("keyed.servers", cluster.workers[0].id, b"")
    await asyncio.sleep(2.0)
    descriptions.append("made the store unavailable for 2 s")
    cluster.store.faults.forced_status = 503
    await asyncio.sleep(2.0)
    cluster.store.faults.forced_status = 0
    await asyncio.sleep(1.0)
    last = cluster.entries[-1]
    descriptions.append(f"restarted {last.name} gracefully")
    last.send_signal(signal.SIGTERM)
    await last.wait_exit()
    await last.start()
    return descriptions


async def run_demo() -> int:
    """Run the demo and print its table; return 1 if it shows a failure, else 0."""
    cluster = ProcessCluster()
    try:
        await cluster.start(entries=4, workers=6, interface="native")
        print(await run_client(cluster, "publish", TEXT_PATH))
        key = await run_client(cluster, "give", "peak-school")
        await cluster.wait_ready()
        load = LoadGenerator(cluster, key)
        faults = asyncio.create_task(inject_faults(cluster))
        submit_tasks = []
        for number in range(round(LOAD_DURATION_S * JOBS_PER_S)):
            submit_tasks.append(asyncio.create_task(load.submit(number)))
            await asyncio.sleep(1 / JOBS_PER_S)
        fault_descriptions = await faults
        await asyncio.wait(submit_tasks, timeout=COMPLETION_TIMEOUT_S)
        print(await run_client(cluster, "status"))
        return _print_report(cluster, load, fault_descriptions)
    finally:
        await cluster.stop()


def _print_report(
    cluster: ProcessCluster, load: LoadGenerator, faults: list[str]
) -> int:
    print("\nfaults: " + "; ".join(faults))
    print(f"{'kind':10} {'done':>5} {'p50 s':>7} {'p99 s':>7} {'refused':>8}")
    for name, _, _, _, _ in JOB_KINDS:
        times_s = sorted(load.completion_times_s[name]) or [0.0]
        p50, p99 = times_s[len(times_s) // 2], times_s[int(len(times_s) * 0.99)]
        count = len(load.completion_times_s[name])
        print(
            f"{name:10} {count:5} {p50:7.2f} {p99:7.2f} {load.refused_counts[name]:8}"
        )
    violations = cluster.find_violations()
    lost = sorted(load.unfinished_jobs)
    print(f"starts: {len(cluster.oracle.starts)}, accepted and not ended: {len(lost)}")
    print(f"violations: {len(violations)}")
    for failure in [
        *violations,
        *(f"job {job} did not complete" for job in lost),
    ]:
        print(f"  {failure}")
    print(json.dumps({"violations": len(violations), "lost": len(lost)}))
    return 1 if violations or lost else 0


def main() -> None:
    """Run the demo and exit with its result."""
    sys.exit(asyncio.run(run_demo()))


if __name__ == "__main__":
    main()
