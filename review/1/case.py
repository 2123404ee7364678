"""Kill the leader while a task of a scheduled job runs.

The job has three times, far apart. The leader's process is killed while the task of the
first time is at work. The next leader starts the task again beside the run.
"""

import asyncio
import pathlib
import signal
import time

from cell import Cell, has_trouble, run_case

ENTRIES = 5
WORKERS = 12
TASK_MS = 6000
START_IN_MS = 2000
INTERVAL_MS = 20_000


async def case(cell: Cell) -> list[str]:
    """Submit the job, kill the leader in its first time, and list double runs."""
    await cell.start(ENTRIES, WORKERS)
    start_at_ms = int(time.time() * 1000) + START_IN_MS
    job = {
        "spec": f"{TASK_MS} done",
        "steps": [{"count": 2, "cpu": 1400, "mem_mb": 2600, "estimate_ms": TASK_MS}],
        "start_at_ms": start_at_ms,
        "interval_ms": INTERVAL_MS,
        "repeat_count": 2,
    }
    path = "/assess/5c0e7a21d94b36f8"
    leader = await cell.find_leader()
    if leader is None:
        raise RuntimeError("no process leads")
    other = next(entry for entry in cell.entries if entry is not leader)
    status, _ = await cell.call(other, "POST", path, job)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    async with asyncio.timeout(10):
        while len(cell.runs) < 2:
            await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    if has_trouble():
        cell.record.write(f"kill {leader.name}, which leads")
        leader.signal(signal.SIGKILL)
    await asyncio.sleep(TASK_MS / 1000 + 10.0)
    await cell.call(other, "GET", path)
    return cell.find_overlaps() + cell.find_late_starts()


if __name__ == "__main__":
    run_case(case, str(pathlib.Path(__file__).parent))
