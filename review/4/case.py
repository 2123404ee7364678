"""Let one of three machines go down and up by turns, under a standing service.

The service has a task on each of the three workers that have a GPU. One of the three
crashes three times, each time some seconds after the task has started there again. No
task ever ends as failed. Then the whole service is shown as failed and stopped, with
the two tasks on sound workers that nothing has happened to.
"""

import asyncio
import pathlib
import time

from cell import CAPACITY, Cell, Worker, has_trouble, run_case

ENTRIES = 5
WORKERS = 9
GPU_WORKERS = 3
LASTING_MS = 600_000
CRASHES = 3
# A crash comes so long after the start of the run.
CRASH_AFTER_S = 3.0
# A worker that crashed is down for so long.
DOWN_S = 2.0
# The platform's list of workers is trusted for workers that are older than this.
MIN_AGE_S = 11.0
START_TIMEOUT_S = 20.0
WATCH_S = 15.0
PATH = "/assess/00000000000000aa"
GPU_CAPACITY = CAPACITY | {"gpu": 4}


async def wait_run(worker: Worker) -> None:
    """Wait until a worker has a run; raises TimeoutError."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while not worker.runs:
            await asyncio.sleep(0.05)


async def restart(cell: Cell, worker: Worker, number: int) -> Worker:
    """Crash a worker, and start its next life on the same machine."""
    await worker.crash()
    await asyncio.sleep(DOWN_S)
    heir = Worker(
        f"i-gpu-x{number}", worker.zone, worker.rack, cell, worker.machine, GPU_CAPACITY
    )
    await heir.start()
    return heir


async def case(cell: Cell) -> list[str]:
    """Play the case; the service may not be shown as failed, nor be stopped."""
    await cell.start(ENTRIES, WORKERS)
    gpu_workers = [
        Worker(f"i-gpu-{index}", "malvern", "r9", cell, f"m-gpu-{index}", GPU_CAPACITY)
        for index in range(GPU_WORKERS)
    ]
    for worker in gpu_workers:
        await worker.start()
    await asyncio.sleep(MIN_AGE_S)
    step = {
        "count": GPU_WORKERS,
        "cpu": 4500,
        "mem_mb": 8000,
        "gpu": 1,
        "estimate_ms": 30_000,
        "long_running": True,
        "anti_affinity": 1,
    }
    entry = cell.entries[0]
    job = {"spec": f"{LASTING_MS} done", "steps": [step]}
    status, _ = await cell.call(entry, "POST", PATH, job)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    worker = gpu_workers[0]
    await wait_run(worker)
    for number in range(1, CRASHES + 1 if has_trouble() else 1):
        await wait_run(worker)
        await asyncio.sleep(CRASH_AFTER_S)
        worker = await restart(cell, worker, number)
    until_s = time.monotonic() + WATCH_S
    state = None
    while time.monotonic() < until_s and state != "failed":
        _, answer = await cell.call(entry, "GET", PATH, quiet=True)
        state = answer.get("state") if isinstance(answer, dict) else None
        await asyncio.sleep(0.5)
    await cell.call(entry, "GET", PATH)
    await asyncio.sleep(2.0)
    if state != "failed" or any(run.how == "failed" for run in cell.runs):
        return []
    stopped = [run.task for run in cell.runs if run.how == "stopped"]
    return [
        f"the accepted job {PATH} is shown as failed; of its {len(cell.runs)} runs "
        f"none has ended as failed, and {stopped} were stopped on sound workers"
    ]


if __name__ == "__main__":
    run_case(case, str(pathlib.Path(__file__).parent))
