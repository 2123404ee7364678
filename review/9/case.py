"""Play a worker that fails what it starts for some seconds, and is sound afterwards.

Each worker runs a lasting task of one job; the tasks of a second one come meanwhile.
"""

import asyncio
import pathlib

from bulrushspur_standins.runs import work_from_payload
from bulrushspur_standins.worker import WorkerStandin
from harness import Cell, is_trouble_on, make_config, run_case

FIRST_JOB = "9a00000000000001"
JOB = "9b00000000000001"
WORKERS = 12
CPU_MILLI = 1000
FAILS_AFTER_S = 0.3
GREY_S = 6.5
# The rule looks at 3 s, with 4 s of calm before, from 6 s after the last run on.
CALM_BEFORE_S = 4.0
AFTER_LAST_RUN_S = 6.0
STANDSTILL_S = 3.0
WATCH_S = 60.0


def find_standing_still(cell: Cell, calm_at: float, end_at: float) -> list[str]:
    """List the tasks of the second job that have had no run for too long."""
    running = {task for worker in cell.workers for task, _ in worker.running}
    used = {
        worker.id: sum(run.cpu_milli for run in worker.running.values())
        for worker in cell.workers
    }
    rv = []
    for index in range(WORKERS):
        task = f"{JOB}.0.0.{index}"
        if task in running:
            continue
        ends = cell.record.select("end", task=task)
        ended = max((row["ended_s"] for row in ends), default=0.0)
        from_at = max(calm_at + CALM_BEFORE_S, ended + AFTER_LAST_RUN_S)
        if end_at - from_at > STANDSTILL_S:
            rv.append(
                f"LOST: lasting task {task} has had no run since {ended} s, after "
                f"{len(ends)} that failed; {end_at - from_at:.1f} s of that count; "
                f"in use on the workers, of 16000: {used}"
            )
    return rv


async def play(cell: Cell) -> list[str]:
    """Start both jobs, the second one while a worker fails what it starts."""
    workers = [
        WorkerStandin(f"w{i}", labels=("a", f"r{i // 4}")) for i in range(WORKERS)
    ]
    grey = workers[-1]
    is_grey = False

    def find_work(task: str, payload: str) -> tuple[int, float, str]:
        cpu_milli, run_s, outcome = work_from_payload(task, payload)
        if is_grey:
            return cpu_milli, FAILS_AFTER_S, "failed"
        return cpu_milli, run_s, outcome

    grey.work_model = find_work
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
    await asyncio.sleep(3.0)
    is_grey = is_trouble_on()
    cell.record.add("grey", worker=grey.id, on=is_grey)
    await cell.submit(JOB, spec, [step])
    await asyncio.sleep(GREY_S)
    is_grey = False
    calm_at = cell.record.add("calm")["at"]
    await asyncio.sleep(WATCH_S)
    end_at = cell.record.add("end_of_watch")["at"]
    for job in (FIRST_JOB, JOB):
        await cell.get_state(job)
    return find_standing_still(cell, calm_at, end_at)


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, play)
