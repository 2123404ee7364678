"""Play a worker that crashes twice, and a job that comes when all is calm again.

Each worker runs a lasting task of a first job. The second job also wants one lasting
task on each worker; no worker has ever crashed under a task of it.
"""

import asyncio
import pathlib

from bulrushspur_standins.worker import WorkerStandin
from harness import Cell, is_trouble_on, make_config, run_case

FIRST_JOB = "8a00000000000001"
JOB = "8b00000000000001"
WORKERS = 8
CPU_MILLI = 1000
CRASHES = 2
UP_S = 6.0
DOWN_S = 3.0
# Between the return of the worker and the second job.
PAUSE_S = 4.0
# The rule looks at 3 s, with 4 s of calm before.
CALM_BEFORE_S = 4.0
STANDSTILL_S = 3.0
# Longer than what a task has to run until its crashes are forgotten (60 s).
WATCH_S = 68.0


async def disrupt(cell: Cell, worker: WorkerStandin) -> None:
    """Crash a worker twice; it is back under a new id each time."""
    for _ in range(CRASHES):
        await asyncio.sleep(UP_S)
        cell.record.add("crash", worker=worker.id, runs=len(worker.running))
        worker.crash()
        await worker.is_up.wait()


def find_standing_still(cell: Cell, accepted_at: float, end_at: float) -> list[str]:
    """List the tasks of the second job without a run, with what is free."""
    used = {
        worker.id: sum(run.cpu_milli for run in worker.running.values())
        for worker in cell.workers
    }
    running = {task for worker in cell.workers for task, _ in worker.running}
    waited = end_at - accepted_at - CALM_BEFORE_S
    return [
        f"LOST: lasting task {JOB}.0.0.{index} has no run; {waited:.1f} s count; "
        f"in use on the workers, of 16000: {used}"
        for index in range(WORKERS)
        if f"{JOB}.0.0.{index}" not in running and waited > STANDSTILL_S
    ]


async def play(cell: Cell) -> list[str]:
    """Start the first job, crash a worker twice, and start the second job."""
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
    spec = f"{CPU_MILLI} 86400000 done"
    await cell.submit(FIRST_JOB, spec, [step])
    await asyncio.sleep(2.0)
    if is_trouble_on():
        await disrupt(cell, workers[0])
    cell.record.add("calm")
    await asyncio.sleep(PAUSE_S)
    await cell.submit(JOB, spec, [step])
    accepted_at = cell.record.add("accepted")["at"]
    await asyncio.sleep(WATCH_S)
    end_at = cell.record.add("end_of_watch")["at"]
    for job in (FIRST_JOB, JOB):
        await cell.get_state(job)
    return find_standing_still(cell, accepted_at, end_at)


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, play)
