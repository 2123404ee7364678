"""Cancel a wide job whose start orders wait for a worker that hangs.

A job of many small tasks is placed on one worker, which hangs from then on for some
seconds. The job is cancelled, and the cancel is acknowledged. The leader goes on to
send the start orders that were waiting, and the worker carries them out once it answers
again.
"""

import asyncio
import pathlib
import time

from cell import Cell, has_trouble, run_case

ENTRIES = 5
WORKERS = 12
TASKS = 100
TASK_MS = 4000
# The largest dose of the deployment.
HANG_S = 4.5
CANCEL_AT_S = 0.5
CANCEL_S = 3.0
PATH = "/assess/5c0e7a21d94b36f8"


async def case(cell: Cell) -> list[str]:
    """Play the case; no task may start so long after the cancel."""
    await cell.start(ENTRIES, WORKERS)
    step = {"cpu": 150, "mem_mb": 100, "estimate_ms": TASK_MS}
    # The workers have reported.
    await asyncio.sleep(2.0)
    # All are alike and idle: the tasks go to the first one, as long as it has room.
    worker = cell.workers[0]
    if has_trouble():
        cell.record.write(f"{worker.id} hangs")
        worker.faults.unresponsive = True
    hung_s = time.monotonic()
    job = {
        "spec": f"{TASK_MS} done",
        "steps": [step | {"count": TASKS}],
    }
    status, _ = await cell.call(cell.entries[0], "POST", PATH, job)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    await asyncio.sleep(hung_s + CANCEL_AT_S - time.monotonic())
    status, _ = await cell.call(cell.entries[0], "DELETE", PATH)
    if status != 200:
        raise RuntimeError(f"the cancel was not acknowledged: {status}")
    acknowledged_s = time.monotonic()
    await asyncio.sleep(hung_s + HANG_S - time.monotonic())
    worker.faults.unresponsive = False
    cell.record.write(f"{worker.id} answers again")
    await asyncio.sleep(8.0)
    return [
        f"{run.task} run {run.number} started on {run.worker} "
        f"{run.began_s - acknowledged_s:.1f} s after the cancel was acknowledged"
        for run in cell.runs
        if run.task.startswith(PATH.rsplit("/", 1)[1])
        and run.began_s - acknowledged_s > CANCEL_S
    ]


if __name__ == "__main__":
    run_case(case, str(pathlib.Path(__file__).parent))
