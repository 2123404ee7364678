"""Inject random faults into a cluster of real processes, alone and overlapping.

Two series run beside each other: what operators and the platform do to entry processes,
the store and the configuration, and what befalls links and workers.

Each fault ends by itself after a while; what was injected goes into the soak's log, and
what the oracle has to know of into its disruptions.
"""

import asyncio
import time
import typing as t

from soak import (
    entry_faults,
    link_faults,
    restart_faults,
    stop_faults,
    store_faults,
    worker_faults,
)
from soak.profile import Emphasis

if t.TYPE_CHECKING:
    from soak.run import Soak

Injector = t.Callable[["Soak"], t.Coroutine[t.Any, t.Any, None]]

MIN_INTERVAL_S: t.Final = 0.3
# Until then tasks have begun on all workers.
FIRST_AIMED_S: t.Final = 2.0

Weights = dict[Injector, int]

# How often each is drawn, relative to the others of its series.
_OPERATION_WEIGHTS: t.Final[Weights] = {
    entry_faults.kill_entry: 3,
    entry_faults.restart_entry_gracefully: 3,
    entry_faults.pause_entry: 3,
    entry_faults.reload_entry: 2,
    entry_faults.signal_entries_in_series: 2,
    store_faults.inject_store_fault: 2,
    store_faults.compact_store: 1,
    store_faults.evacuate_domain: 2,
    store_faults.remove_queue: 2,
}
_FAILURE_WEIGHTS: t.Final[Weights] = {
    link_faults.inject_link_fault: 4,
    link_faults.cut_several_workers: 1,
    link_faults.cut_clients: 1,
    link_faults.reset_link: 2,
    link_faults.silence_link: 2,
    worker_faults.crash_workers: 3,
    worker_faults.hang_workers: 3,
    worker_faults.slow_workers: 3,
    worker_faults.delay_orders: 3,
    worker_faults.lose_answers: 2,
    worker_faults.cut_restarted_workers: 1,
    restart_faults.restart_and_cut_workers: 1,
}
_EMPHASIZED_WEIGHTS: t.Final[dict[Emphasis, Weights]] = {
    Emphasis.MIXED: {},
    Emphasis.WIDE_JOBS: {
        worker_faults.hang_workers: 15,
        worker_faults.slow_workers: 40,
        worker_faults.delay_orders: 6,
        link_faults.cut_several_workers: 4,
    },
    Emphasis.REPEATS: {
        link_faults.cut_clients: 6,
        link_faults.silence_link: 5,
        link_faults.inject_link_fault: 6,
    },
    Emphasis.RESTARTS: {
        worker_faults.cut_restarted_workers: 8,
        restart_faults.restart_and_cut_workers: 60,
    },
}


async def inject_faults(soak: "Soak") -> None:
    """Inject faults until the run is over, and wait until all of them have ended."""
    profile = soak.profile
    failure_weights = _FAILURE_WEIGHTS | _EMPHASIZED_WEIGHTS[profile.emphasis]
    series = [
        (_OPERATION_WEIGHTS, profile.max_operation_interval_s),
        (failure_weights, profile.max_failure_interval_s),
    ]
    if profile.has_stops:
        await stop_faults.stop_in_series(soak)
        return
    if profile.has_aim:
        await _restart_in_series(soak)
        return
    async with asyncio.TaskGroup() as group:
        for weights, max_interval_s in series:
            group.create_task(_inject_series(soak, group, weights, max_interval_s))


async def _restart_in_series(soak: "Soak") -> None:
    """Restart workers again and again until the run is over, and nothing else."""
    until_s = time.monotonic() + soak.duration_s
    interval_s = soak.profile.restarts.interval_s
    await asyncio.sleep(soak.rng.uniform(FIRST_AIMED_S, 2 * FIRST_AIMED_S))
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until_s:
            group.create_task(restart_faults.restart_and_cut_workers(soak))
            await asyncio.sleep(soak.rng.uniform(interval_s / 2, interval_s))


async def _inject_series(
    soak: "Soak", group: asyncio.TaskGroup, weights: Weights, max_interval_s: float
) -> None:
    until_s = time.monotonic() + soak.duration_s
    while time.monotonic() < until_s:
        await asyncio.sleep(soak.rng.uniform(MIN_INTERVAL_S, max_interval_s))
        [inject] = soak.rng.choices(list(weights), weights=list(weights.values()))
        group.create_task(inject(soak))
