"""Play a queue that is sent to another service while accepted jobs wait for room.

After the change of the configuration the workers of the former service are emptied and
taken away, one after the other. The jobs that were accepted before must still run.
"""

import asyncio
import pathlib
import typing as t

import msgspec

from bulrushspur_standins.worker import WorkerStandin
from harness import SERVICE, Cell, is_trouble_on, make_config, run_case

OTHER_SERVICE = "handbook"
JOBS = 14
TASKS = 4
WORK_MS = 2000
FORMER_WORKERS = 3
OTHER_WORKERS = 13
# A worker that leaves says so, goes on for a while, and exits.
LEAVE_S = 4.0
LEAVE_INTERVAL_S = 2.5
# Jobs are asked for so long after the end of the traffic.
FINISH_S = 14.0
STANDSTILL_S = 3.0


class LeavingWorker(WorkerStandin):
    """Tell in the entry of a worker that drains how much longer it stays."""

    def encode_entry(self, state: str = "ready") -> bytes:
        """Encode the entry, with the time that is left."""
        entry = msgspec.json.decode(super().encode_entry(state))
        if state == "draining":
            entry["remaining_ms"] = round(LEAVE_S * 1000)
        return msgspec.json.encode(entry)


def make_both_services(version: int, service: str) -> dict[str, t.Any]:
    """Make a configuration whose one queue is sent to a service."""
    config = make_config(version, service=service)
    config["services"] = [
        {"name": name, "admission_check": False} for name in (SERVICE, OTHER_SERVICE)
    ]
    return config


async def take_away(cell: Cell, worker: WorkerStandin) -> None:
    """Empty a worker and take it away."""
    cell.record.add("draining", worker=worker.id, runs=len(worker.running))
    cell.workers.remove(worker)
    cell.store.put("keyed.servers", worker.id, worker.encode_entry("draining"))
    await asyncio.sleep(LEAVE_S)
    cell.record.add("left", worker=worker.id, runs=len(worker.running))
    del cell.machines.worker_by_machine[worker.machine]
    cell.unregister(worker.id)
    await worker.stop()


async def move_queue(cell: Cell, former: list[WorkerStandin]) -> None:
    """Send the queue to the other service, and take the former workers away."""
    cell.put_config(make_both_services(20, OTHER_SERVICE))
    await asyncio.sleep(LEAVE_INTERVAL_S)
    leaving = []
    for worker in former:
        leaving.append(asyncio.create_task(take_away(cell, worker)))
        await asyncio.sleep(LEAVE_INTERVAL_S)
    await asyncio.gather(*leaving)


async def play(cell: Cell) -> list[str]:
    """Submit the jobs, move their queue, and ask for them at the end."""
    former = [LeavingWorker(f"w{i}", labels=("a", "r0")) for i in range(FORMER_WORKERS)]
    others = [
        WorkerStandin(f"x{i}", labels=("a", f"r{1 + i // 6}"), service=OTHER_SERVICE)
        for i in range(OTHER_WORKERS)
    ]
    await cell.start(make_both_services(10, SERVICE), [*former, *others])
    step = {"count": TASKS, "cpu": 4000, "mem_mb": 1024, "estimate_ms": WORK_MS}
    spec = f"4000 {WORK_MS} done"
    jobs = [f"7a{index:014x}" for index in range(JOBS)]
    for job in jobs:
        await cell.submit(job, spec, [step])
    if is_trouble_on():
        await move_queue(cell, former)
    # A job that comes now shows that the queue is served where it is sent.
    later = f"7b{0:014x}"
    await cell.submit(later, spec, [step])
    await asyncio.sleep(FINISH_S)
    first = {job: await cell.get_state(job) for job in [*jobs, later]}
    began = len(cell.record.rows)
    await asyncio.sleep(STANDSTILL_S)
    second = {job: await cell.get_state(job) for job in [*jobs, later]}
    started = {
        row["task"].partition(".")[0]
        for row in cell.record.rows[began:]
        if row["kind"] in ("start", "end")
    }
    running = {
        run.task.partition(".")[0]
        for worker in cell.workers
        for run in worker.running.values()
    }
    cell.record.add("seen", first=first, second=second, running=sorted(running))
    return [
        f"LOST: job {job} is {second[job] or 'unknown'} {FINISH_S + STANDSTILL_S:g} s "
        f"after the end of the traffic, had nothing running for {STANDSTILL_S:g} s, "
        f"and all {OTHER_WORKERS} workers of its queue are idle"
        for job in jobs
        if second[job] != "completed" and job not in started | running
    ]


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, play)
