"""``make demo``: a whole cell on this machine, under load and faults, as a table."""

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
JOB_KINDS: t.Final = (
    ("place", 600, 0.3, 2, 16),
    ("handbook", 1000, 0.8, 4, 3),
    ("assess", 3000, 1.6, 3, 1),
)


async def run_client(cell: ProcessCluster, *args: str) -> str:
    """Run the operators' client and return what it says."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bulrushspur_client.main",
        *args,
        stdout=asyncio.subprocess.PIPE,
        env=client_environment(cell),
    )
    out, _ = await process.communicate()
    return out.decode().strip()


class LoadGenerator:
    """Jobs handed in, and what came of them."""

    def __init__(self, cell: ProcessCluster, key: str) -> None:
        self.cluster = cell
        self.headers = [("authorization", f"Bearer {key}")]
        self.rng = random.Random(7)
        self.unfinished_jobs: dict[str, tuple[str, float]] = {}
        self.refused_counts: collections.Counter[str] = collections.Counter()
        self.completion_times_s: dict[str, list[float]] = collections.defaultdict(list)
        self.submit_attempts = 0

    def choose_entry(self) -> EntryProcess:
        """Choose an entry process as a balancer would."""
        return self.rng.choice([one for one in self.cluster.entries if one.process])

    async def submit(self, number: int) -> None:
        """Hand a job in, again where no answer came, and wait for its end."""
        weights = [one[-1] for one in JOB_KINDS]
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
        began_s = time.monotonic()
        for _ in range(8):
            answer = await self.cluster.call(
                self.choose_entry(), "POST", path, self.headers, body
            )
            self.submit_attempts += 1
            if answer is not None and answer.status == 200:
                self.unfinished_jobs[job] = (path, began_s)
                await self._wait_end(job, name, path, began_s)
                return
            await asyncio.sleep(0.3)
        self.refused_counts[name] += 1

    async def _wait_end(self, job: str, name: str, path: str, began_s: float) -> None:
        until_s = time.monotonic() + COMPLETION_TIMEOUT_S + LOAD_DURATION_S
        while time.monotonic() < until_s:
            await asyncio.sleep(0.25)
            answer = await self.cluster.call(
                self.choose_entry(), "GET", path, self.headers
            )
            if answer is None or answer.status != 200:
                continue
            if msgspec.json.decode(answer.body)["state"] == "completed":
                self.completion_times_s[name].append(time.monotonic() - began_s)
                del self.unfinished_jobs[job]
                return


async def inject_faults(cell: ProcessCluster) -> list[str]:
    """Kill the leader, freeze the next, crash a worker, take the store away."""
    rows = []
    await asyncio.sleep(4.0)
    leader = await cell.find_leader()
    if leader is not None:
        rows.append(f"killed {leader.name}, which led")
        leader.send_signal(signal.SIGKILL)
        await leader.wait_exit()
        await asyncio.sleep(1.0)
        await leader.start()
    await asyncio.sleep(4.0)
    leader = await cell.find_leader()
    if leader is not None:
        rows.append(f"froze {leader.name} for 3 s, which led")
        leader.send_signal(signal.SIGSTOP)
        await asyncio.sleep(3.0)
        leader.send_signal(signal.SIGCONT)
    await asyncio.sleep(3.0)
    rows.append(f"crashed {cell.workers[0].id} for good")
    await cell.workers[0].stop()
    cell.store.put("keyed.servers", cell.workers[0].id, b"")
    await asyncio.sleep(2.0)
    rows.append("took the store away for 2 s")
    cell.store.faults.forced_status = 503
    await asyncio.sleep(2.0)
    cell.store.faults.forced_status = 0
    await asyncio.sleep(1.0)
    last = cell.entries[-1]
    rows.append(f"restarted {last.name} gracefully")
    last.send_signal(signal.SIGTERM)
    await last.wait_exit()
    await last.start()
    return rows


async def run_demo() -> int:
    """Run the demo and print its table; 1 where a promise was broken."""
    cell = ProcessCluster()
    try:
        await cell.start(entries=4, workers=6, interface="native")
        print(await run_client(cell, "publish", TEXT_PATH))
        key = await run_client(cell, "give", "peak-school")
        await cell.wait_ready()
        load = LoadGenerator(cell, key)
        faults = asyncio.create_task(inject_faults(cell))
        tasks = []
        for number in range(round(LOAD_DURATION_S * JOBS_PER_S)):
            tasks.append(asyncio.create_task(load.submit(number)))
            await asyncio.sleep(1 / JOBS_PER_S)
        rows = await faults
        await asyncio.wait(tasks, timeout=COMPLETION_TIMEOUT_S)
        print(await run_client(cell, "status"))
        return _report(cell, load, rows)
    finally:
        await cell.stop()


def _report(cell: ProcessCluster, load: LoadGenerator, faults: list[str]) -> int:
    print("\nfaults: " + "; ".join(faults))
    print(f"{'kind':10} {'done':>5} {'p50 s':>7} {'p99 s':>7} {'refused':>8}")
    for name, _, _, _, _ in JOB_KINDS:
        took = sorted(load.completion_times_s[name]) or [0.0]
        p50, p99 = took[len(took) // 2], took[int(len(took) * 0.99)]
        count = len(load.completion_times_s[name])
        print(
            f"{name:10} {count:5} {p50:7.2f} {p99:7.2f} {load.refused_counts[name]:8}"
        )
    broken = list(cell.oracle.violations)
    lost = sorted(load.unfinished_jobs)
    print(f"starts: {len(cell.oracle.starts)}, accepted and not ended: {len(lost)}")
    print(f"violations: {len(broken)}")
    for sentence in [*broken, *(f"job {one} has not ended" for one in lost)]:
        print(f"  {sentence}")
    print(json.dumps({"violations": len(broken), "lost": len(lost)}))
    return 1 if broken or lost else 0


def main() -> None:
    """Run the demo."""
    sys.exit(asyncio.run(run_demo()))


if __name__ == "__main__":
    main()
