"""``make bench``: figures of real processes, as lines ``figure NAME VALUE UNIT``."""

import asyncio
import os
import signal
import sys
import time

from bench.processes import Entry, RealCell
from tests.cluster import CONFIG, HOST, KEY, job_id, make_job

JOBS: int = 60 if os.environ.get("QUICK") else 300


async def submit(cell: RealCell, entry: Entry, number: int) -> float:
    """Hand a job in and return how long the answer took, in seconds."""
    headers = [("bulrushspur-credential", KEY)]
    body = make_job(count=1, ms=50)
    began_s = time.monotonic()
    path = f"/assess/{job_id(number)}"
    while True:
        answer = await cell.call(entry, "POST", path, headers, body, host=HOST)
        if answer is not None and answer.status == 200:
            return time.monotonic() - began_s
        await asyncio.sleep(0.02)


async def measure() -> None:
    """Measure the time of an accept, from a start to its worker, and a takeover."""
    cell = RealCell()
    try:
        await cell.start(entries=3, workers=4, interface="platform", config=CONFIG)
        await cell.wait_ready()
        took = sorted([await submit(cell, cell.entries[n % 3], n) for n in range(JOBS)])
        print(f"figure accept_p50_ms {took[len(took) // 2] * 1000:.1f} ms")
        print(f"figure accept_p99_ms {took[int(len(took) * 0.99)] * 1000:.1f} ms")
        leader = await cell.leader()
        assert leader is not None
        other = next(one for one in cell.entries if one is not leader)
        leader.signal(signal.SIGKILL)
        await leader.wait()
        print(f"figure takeover_s {await submit(cell, other, JOBS + 1):.2f} s")
        print(f"figure violations {len(cell.ledger.violations)} count")
        sys.exit(1 if cell.ledger.violations else 0)
    finally:
        await cell.stop()


if __name__ == "__main__":
    asyncio.run(measure())
