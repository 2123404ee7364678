"""Make workers crash, hang, answer slowly or not, and carry orders out late."""

import asyncio
import typing as t

from bulrushspur_standins.worker import WorkerStandin

if t.TYPE_CHECKING:
    from soak.run import Soak

MIN_HANG_S: t.Final = 1.0
MAX_HANG_S: t.Final = 4.5
# A worker that has restarted hangs after this time at most.
MAX_RESTARTED_S: t.Final = 2.0
# Longer than any lease but the longest.
MIN_CUT_S: t.Final = 7.0
MAX_CUT_S: t.Final = 11.0
# Orders to a worker that answers slowly wait for each other for seconds.
MIN_SLOW_S: t.Final = 3.0
MAX_SLOW_S: t.Final = 7.0
MIN_ANSWER_DELAY_S: t.Final = 0.04
MAX_ANSWER_DELAY_S: t.Final = 0.2
MIN_LATE_S: t.Final = 0.5
MAX_LATE_S: t.Final = 3.0
LATE_SHARE: t.Final = 0.5
LOST_ANSWER_SHARE: t.Final = 0.3


def _is_reserved(soak: "Soak", worker: WorkerStandin) -> bool:
    """Return whether a worker restarts with faults of its own."""
    return soak.worker_link_by_machine[worker.machine] in soak.reserved_links


async def crash_workers(soak: "Soak") -> None:
    """Crash workers, one after the other; each of them comes back."""
    for _ in range(soak.rng.randint(1, 4)):
        worker = soak.rng.choice(soak.cluster.workers)
        if worker.alive and not _is_reserved(soak, worker):
            soak.log_fault(f"crash {worker.id}")
            with soak.disruptions.record("crash", worker.machine):
                worker.crash()
                await asyncio.sleep(worker.down_s)
        await asyncio.sleep(soak.rng.uniform(0.3, 2.0))


async def hang_workers(soak: "Soak") -> None:
    """Let up to half of the workers hang at a time, each for a random time."""
    count = soak.rng.randint(1, max(len(soak.cluster.workers) // 2, 1))
    async with asyncio.TaskGroup() as group:
        for worker in soak.rng.sample(soak.cluster.workers, count):
            duration_s = soak.rng.uniform(MIN_HANG_S, MAX_HANG_S)
            group.create_task(_hang(soak, worker, duration_s))


async def _hang(soak: "Soak", worker: WorkerStandin, duration_s: float) -> None:
    if worker.faults.unresponsive or _is_reserved(soak, worker):
        return
    soak.log_fault(f"{worker.machine} hangs")
    with soak.disruptions.record("hang", worker.machine):
        worker.faults.unresponsive = True
        await asyncio.sleep(duration_s)
        worker.faults.unresponsive = False


async def cut_restarted_workers(soak: "Soak") -> None:
    """Restart workers under their id, and let each hang soon for most of a lease."""
    workers = [worker for worker in soak.cluster.workers if not worker.renamed]
    async with asyncio.TaskGroup() as group:
        for worker in workers:
            group.create_task(_restart_and_hang(soak, worker))


async def _restart_and_hang(soak: "Soak", worker: WorkerStandin) -> None:
    if not worker.alive or worker.faults.unresponsive or _is_reserved(soak, worker):
        return
    down_s, worker.down_s = worker.down_s, soak.rng.uniform(0.05, 0.8)
    soak.log_fault(f"{worker.machine} restarts under its id, and hangs soon")
    with soak.disruptions.record("crash", worker.machine):
        worker.crash()
        await asyncio.sleep(worker.down_s)
    worker.down_s = down_s
    await asyncio.sleep(soak.rng.uniform(0.05, MAX_RESTARTED_S))
    await _hang(soak, worker, soak.rng.uniform(MIN_CUT_S, MAX_CUT_S))


async def slow_workers(soak: "Soak") -> None:
    """Let some or all workers answer each call slowly, for a random time."""
    count = soak.rng.randint(1, len(soak.cluster.workers))
    async with asyncio.TaskGroup() as group:
        for worker in soak.rng.sample(soak.cluster.workers, count):
            delay_s = soak.rng.uniform(MIN_ANSWER_DELAY_S, MAX_ANSWER_DELAY_S)
            duration_s = soak.rng.uniform(MIN_SLOW_S, MAX_SLOW_S)
            group.create_task(_slow_down(soak, worker, delay_s, duration_s))


async def _slow_down(
    soak: "Soak", worker: WorkerStandin, delay_s: float, duration_s: float
) -> None:
    if worker.faults.delay_s or _is_reserved(soak, worker):
        return
    soak.log_fault(f"{worker.machine} answers {delay_s:.2f} s late")
    with soak.disruptions.record("slow answers", worker.machine):
        worker.faults.delay_s = delay_s
        await asyncio.sleep(duration_s)
        worker.faults.delay_s = 0.0


async def delay_orders(soak: "Soak") -> None:
    """Let a worker leave half of its calls unanswered and carry them out late."""
    worker = soak.rng.choice(soak.cluster.workers)
    faults = worker.faults
    if faults.late_execution_share or _is_reserved(soak, worker):
        return
    soak.log_fault(f"{worker.machine} carries orders out late")
    faults.late_execution_delay_s = soak.rng.uniform(MIN_LATE_S, MAX_LATE_S)
    faults.is_late_unanswered = soak.rng.random() < 0.7
    with soak.disruptions.record("late orders", worker.machine):
        faults.late_execution_share = LATE_SHARE
        await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
        faults.late_execution_share = 0.0
        # Until the last of them has been carried out.
        await asyncio.sleep(faults.late_execution_delay_s)


async def lose_answers(soak: "Soak") -> None:
    """Let a worker carry orders out without an answer."""
    worker = soak.rng.choice(soak.cluster.workers)
    if worker.faults.lost_answer_share:
        return
    soak.log_fault(f"{worker.machine} loses answers")
    with soak.disruptions.record("lost answers", worker.machine):
        worker.faults.lost_answer_share = LOST_ANSWER_SHARE
        await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
        worker.faults.lost_answer_share = 0.0
