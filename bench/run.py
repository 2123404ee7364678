"""Measure accept latency and takeover time of real entry processes.

``make bench`` prints each result as a line ``figure NAME VALUE UNIT`` and exits with 1
if the workers recorded a violation. ``QUICK=1`` submits fewer jobs.
"""

import asyncio
import os
import signal
import sys
import time

from bench.processes import EntryProcess, ProcessCluster
from tests.cluster import API_KEY, CONFIG, HOST, job_id, make_job_body

JOB_COUNT: int = 60 if os.environ.get("QUICK") else 300


async def submit(cluster: ProcessCluster, entry: EntryProcess, number: int) -> float:
    """Submit a job, with retries, and return the time until it was accepted, in s."""
    headers = [("bulrushspur-credential", API_KEY)]
    body = make_job_body(count=1, run_time_ms=50)
    submitted_s = time.monotonic()
    path = f"/assess/{job_id(number)}"
    while True:
        answer = await cluster.call(entry, "POST", path, headers, body, host=HOST)
        if answer is not None and answer.status == 200:
            return time.monotonic() - submitted_s
        await asyncio.sleep(0.02)


async def run_benchmark() -> None:
    """Measure and print the figures, then exit.

    The takeover time counts from the exit of the killed leader to the next job that
    another entry process accepts.
    """
    cluster = ProcessCluster()
    try:
        await cluster.start(entries=3, workers=4, interface="platform", config=CONFIG)
        await cluster.wait_ready()
        times_s = sorted(
            [
                await submit(cluster, cluster.entries[number % 3], number)
                for number in range(JOB_COUNT)
            ]
        )
        print(f"figure accept_p50_ms {times_s[len(times_s) // 2] * 1000:.1f} ms")
        print(f"figure accept_p99_ms {times_s[int(len(times_s) * 0.99)] * 1000:.1f} ms")
        leader = await cluster.find_leader()
        assert leader is not None
        follower = next(entry for entry in cluster.entries if entry is not leader)
        leader.send_signal(signal.SIGKILL)
        await leader.wait_exit()
        print(
            f"figure takeover_s {await submit(cluster, follower, JOB_COUNT + 1):.2f} s"
        )
        violations = cluster.find_violations()
        print(f"figure violations {len(violations)} count")
        sys.exit(1 if violations else 0)
    finally:
        await cluster.stop()


if __name__ == "__main__":
    asyncio.run(run_benchmark())
