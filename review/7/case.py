"""Play a worker that crashes twice, among workers that each run two lasting tasks."""

import asyncio
import pathlib

from bulrushspur_standins.worker import WorkerStandin
from harness import Cell, is_trouble_on, make_config, run_case

JOBS = ("7a00000000000001", "7b00000000000001")
WORKERS = 8
CPU_MILLI = 1000
CRASHES = 2
UP_S = 8.0
DOWN_S = 3.0
# The rule looks at 3 s, with 4 s of calm before, from 6 s after the last run on.
CALM_BEFORE_S = 4.0
AFTER_LAST_RUN_S = 6.0
STANDSTILL_S = 3.0
WATCH_S = 70.0


async def disrupt(cell: Cell, worker: WorkerStandin) -> None:
    """Crash a worker twice; it is back under a new id each time."""
    for _ in range(CRASHES):
        await asyncio.sleep(UP_S)
        cell.record.add("crash", worker=worker.id, runs=len(worker.running))
        worker.crash()
        await worker.is_up.wait()


def find_standing_still(cell: Cell, calm_at: float, end_at: float) -> list[str]:
    """List the tasks without a run for too long, with what is free on the workers."""
    used = {
        worker.id: sum(run.cpu_milli for run in worker.running.values())
        for worker in cell.workers
    }
    running = {task for worker in cell.workers for task, _ in worker.running}
    rv = []
    for job in JOBS:
        for index in range(WORKERS):
            task = f"{job}.0.0.{index}"
            if task in running:
                continue
            # A crash ends the runs of its worker.
            last = cell.record.select("start", task=task, is_started=True)[-1]
            ended = next(
                row["at"]
                for row in cell.record.select("incarnation_end")
                if row["incarnation"] == last["incarnation"]
                and row["worker"] == last["worker"]
            )
            from_at = max(calm_at + CALM_BEFORE_S, ended + AFTER_LAST_RUN_S)
            if end_at - from_at > STANDSTILL_S:
                rv.append(
                    f"LOST: lasting task {task} has had no run since {ended} s; "
                    f"{end_at - from_at:.1f} s of that count; in use on the workers, "
                    f"of 16000: {used}"
                )
    return rv


async def play(cell: Cell) -> list[str]:
    """Start two jobs with a lasting task on each worker, and crash one worker."""
    workers = [
        WorkerStandin(f"w{i}", labels=("a", f"r{i // 4}"), down_s=DOWN_S)
        for i in range(WORKERS)
    ]
    await cell.start(make_config(), workers, stop_ms=400, save_s=2)
    step = {
        "count": WORKERS,
        "cpu": CPU_MILLI,
        "mem_mb": 512,
        "estimate_ms": 1000,
        "long_running": True,
        "anti_affinity": 1,
    }
    for job in JOBS:
        await cell.submit(job, f"{CPU_MILLI} 86400000 done", [step])
    await asyncio.sleep(2.0)
    if is_trouble_on():
        await disrupt(cell, workers[0])
    calm_at = cell.record.add("calm")["at"]
    await asyncio.sleep(WATCH_S)
    end_at = cell.record.add("end_of_watch")["at"]
    for job in JOBS:
        await cell.get_state(job)
    return find_standing_still(cell, calm_at, end_at)


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, play)
