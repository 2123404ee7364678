"""Restart workers under their id while orders are on their way, and cut them off soon.

An order may be carried out late, after newer ones, by whichever incarnation is up then.
Connections may outlive a restart, and clocks start anywhere. The leader may be killed,
and the worker's entry may come late or name another address. Links
of these workers have no other fault meanwhile.
"""

import asyncio
import typing as t

from bulrushspur_standins.worker import WorkerStandin
from soak.entry_faults import kill_leader
from soak.proxy import FaultProxy, LinkFault
from soak.restart_plans import (
    FAR_CLOCK_MS,
    STOP_PATH,
    RestartPlan,
    describe_plan,
    draw_plan,
)

if t.TYPE_CHECKING:
    from soak.run import Soak

LOW_CLOCK_MS: t.Final = 1000
MAX_CLOCK_DIFFERENCE_MS: t.Final = 50


async def restart_and_cut_workers(soak: "Soak") -> None:
    """Restart some workers, each by its own plan; kill the leader before the cuts."""
    rng, mix = soak.rng, soak.profile.restarts
    workers = [
        worker for worker in soak.cluster.workers if _is_undisturbed(soak, worker)
    ]
    if not workers:
        return
    share = rng.uniform(mix.min_worker_share, mix.max_worker_share)
    count = max(round(len(workers) * share), 1)
    is_leader_killed = rng.random() < mix.killed_leader_share
    plans = [draw_plan(rng, mix) for _ in range(count)]
    async with asyncio.TaskGroup() as group:
        for worker, plan in zip(rng.sample(workers, count), plans, strict=True):
            group.create_task(_play(soak, worker, plan))
        if is_leader_killed:
            group.create_task(_kill_leader_before_cut(soak, plans[0]))


def _is_undisturbed(soak: "Soak", worker: WorkerStandin) -> bool:
    link = soak.worker_link_by_machine[worker.machine]
    faults = worker.faults
    is_faulty = faults.unresponsive or faults.late_execution_share or faults.delay_s
    return (
        worker.alive
        and not worker.renamed
        and not is_faulty
        and link not in soak.reserved_links
        and soak.proxy_of(worker).fault is LinkFault.NONE
    )


async def _kill_leader_before_cut(soak: "Soak", plan: RestartPlan) -> None:
    """Kill the leader shortly before a worker is cut off."""
    cut_s = plan.late_for_s + sum(plan.downs_s) + plan.cut_delay_s
    if len(plan.downs_s) > 1:
        cut_s += plan.second_delay_s
    lead_s = soak.rng.uniform(0.0, soak.profile.restarts.max_kill_lead_s)
    await asyncio.sleep(max(cut_s - lead_s, 0.0))
    await kill_leader(soak)


async def _play(soak: "Soak", worker: WorkerStandin, plan: RestartPlan) -> None:
    proxy = soak.proxy_of(worker)
    soak.reserved_links.add(proxy.name)
    soak.log_fault(f"{worker.machine} restarts under its id: {describe_plan(plan)}")
    try:
        with soak.disruptions.record("restart", worker.machine, proxy.name):
            await _delay_orders(worker, plan)
            await _restart(soak, worker, proxy, plan)
            await asyncio.sleep(plan.cut_delay_s)
            await _cut(worker, proxy, plan)
            _end_faults(worker, proxy)
            # Until the last late order has been carried out.
            await asyncio.sleep(
                plan.late_range_s[1] if plan.is_late or plan.has_late_stops else 0.0
            )
    finally:
        _end_faults(worker, proxy)
        soak.reserved_links.discard(proxy.name)


async def _delay_orders(worker: WorkerStandin, plan: RestartPlan) -> None:
    """Let orders of the time before the restart be carried out late."""
    if not plan.is_late:
        await asyncio.sleep(plan.late_for_s)
        return
    _set_late(worker, plan, plan.late_share, plan.late_paths)
    await asyncio.sleep(plan.late_for_s)


def _set_late(
    worker: WorkerStandin, plan: RestartPlan, share: float, paths: frozenset[str]
) -> None:
    faults = worker.faults
    faults.is_late_unanswered = True
    faults.late_execution_delay_s = plan.late_range_s[0]
    faults.late_execution_max_delay_s = plan.late_range_s[1]
    faults.late_paths = paths
    faults.late_execution_share = share


async def _restart(
    soak: "Soak", worker: WorkerStandin, proxy: FaultProxy, plan: RestartPlan
) -> None:
    proxy.keeps_connections = plan.is_kept
    worker.faults.keeps_connections = plan.is_kept and plan.is_kept_by_worker
    if plan.has_jitter:
        proxy.fault = LinkFault.JITTER
    usual_down_s = worker.down_s
    for number, clock in enumerate(plan.clocks):
        if number:
            await asyncio.sleep(plan.second_delay_s)
        worker.next_clock_start_ms = _draw_clock_ms(soak, worker, clock)
        worker.down_s = plan.downs_s[number]
        soak.entry_plans[worker.machine] = (plan.entry_delay_s, plan.is_moved)
        worker.crash()
        if not plan.is_late_after:
            worker.faults.late_execution_share = 0.0
        worker.faults.loses_answers = plan.loses_answers
        await asyncio.sleep(worker.down_s)
        # A held-up event loop starts the next incarnation later.
        while not worker.alive:
            await asyncio.sleep(0.01)
    worker.down_s = usual_down_s
    if plan.has_late_stops:
        _set_late(worker, plan, 1.0, frozenset([STOP_PATH]))


def _draw_clock_ms(soak: "Soak", worker: WorkerStandin, clock: str) -> int:
    if clock == "low":
        return LOW_CLOCK_MS
    if clock == "far":
        return worker.clock_ms() + FAR_CLOCK_MS
    difference_ms = soak.rng.randint(-MAX_CLOCK_DIFFERENCE_MS, MAX_CLOCK_DIFFERENCE_MS)
    return max(worker.clock_ms() + difference_ms, 1)


async def _cut(worker: WorkerStandin, proxy: FaultProxy, plan: RestartPlan) -> None:
    if not plan.cut_s:
        return
    # An order that is held back is not late beside that.
    worker.faults.late_execution_share = 0.0
    if plan.is_held_back:
        proxy.fault = LinkFault.BLOCK_REQUESTS
    else:
        worker.faults.unresponsive = True
    await asyncio.sleep(plan.cut_s)


def _end_faults(worker: WorkerStandin, proxy: FaultProxy) -> None:
    faults = worker.faults
    faults.late_execution_share, faults.late_execution_max_delay_s = 0.0, 0.0
    faults.late_paths = frozenset()
    faults.unresponsive = faults.loses_answers = False
    faults.is_late_unanswered = False
    faults.keeps_connections = proxy.keeps_connections = False
    proxy.fault = LinkFault.NONE
