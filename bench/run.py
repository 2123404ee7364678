"""``make bench``: figures of real processes, as lines ``figure NAME VALUE UNIT``."""

import asyncio
import os
import signal
import sys
import time

from bench.processes import EntryProcess, ProcessCluster
from tests.cluster import API_KEY, CONFIG, HOST, job_id, make_job_body

JOB_COUNT: int = 60 if os.environ.get("QUICK") else 300


async def submit(cell: ProcessCluster, entry: EntryProcess, number: int) -> float:
    """Hand a job in and return how long the answer took, in seconds."""
    headers = [("bulrushspur-credential", API_KEY)]
    body = make_job_body(count=1, run_time_ms=50)
    began_s = time.monotonic()
    path = f"/assess/{job_id(number)}"
    while True:
        answer = await cell.call(entry, "POST", path, headers, body, host=HOST)
        if answer is not None and answer.status == 200:
            return time.monotonic() - began_s
        await asyncio.sleep(0.02)


async def run_benchmark() -> None:
    """Measure the time of an accept, from a start to its worker, and a takeover."""
    cell = ProcessCluster()
    try:
        await cell.start(entries=3, workers=4, interface="platform", config=CONFIG)
        await cell.wait_ready()
        took = sorted(
            [await submit(cell, cell.entries[n % 3], n) for n in range(JOB_COUNT)]
        )
        print(f"figure accept_p50_ms {took[len(took) // 2] * 1000:.1f} ms")
        print(f"figure accept_p99_ms {took[int(len(took) * 0.99)] * 1000:.1f} ms")
        leader = await cell.find_leader()
        assert leader is not None
        other = next(one for one in cell.entries if one is not leader)
        leader.send_signal(signal.SIGKILL)
        await leader.wait_exit()
        print(f"figure takeover_s {await submit(cell, other, JOB_COUNT + 1):.2f} s")
        print(f"figure violations {len(cell.oracle.violations)} count")
        sys.exit(1 if cell.oracle.violations else 0)
    finally:
        await cell.stop()


if __name__ == "__main__":
    asyncio.run(run_benchmark())
