"""Inject random faults into a cluster of real processes, alone and overlapping.

Each fault ends by itself after a while; what was injected goes into the soak's log, and
what the oracle has to know of into its disruptions.
"""

import asyncio
import time
import typing as t

from soak import entry_faults, link_faults, store_faults, worker_faults
from soak.profile import Emphasis

if t.TYPE_CHECKING:
    from soak.run import Soak

Injector = t.Callable[["Soak"], t.Coroutine[t.Any, t.Any, None]]

MIN_INTERVAL_S: t.Final = 0.3
MAX_INTERVAL_S: t.Final = 1.5

# How often each is drawn, relative to the others.
_WEIGHTS: t.Final[dict[Injector, int]] = {
    entry_faults.kill_entry: 2,
    entry_faults.restart_entry_gracefully: 2,
    entry_faults.pause_entry: 2,
    entry_faults.reload_entry: 1,
    entry_faults.signal_entries_in_series: 1,
    link_faults.inject_link_fault: 4,
    link_faults.cut_several_workers: 1,
    link_faults.cut_clients: 1,
    link_faults.reset_link: 2,
    link_faults.silence_link: 2,
    store_faults.inject_store_fault: 2,
    store_faults.compact_store: 1,
    store_faults.evacuate_domain: 2,
    store_faults.remove_queue: 2,
    worker_faults.crash_workers: 3,
    worker_faults.hang_workers: 3,
    worker_faults.slow_workers: 3,
    worker_faults.delay_orders: 3,
    worker_faults.lose_answers: 2,
}
_EMPHASIZED_WEIGHTS: t.Final[dict[Emphasis, dict[Injector, int]]] = {
    Emphasis.MIXED: {},
    Emphasis.WIDE_JOBS: {
        worker_faults.hang_workers: 20,
        worker_faults.slow_workers: 50,
        worker_faults.delay_orders: 6,
        link_faults.cut_several_workers: 6,
    },
    Emphasis.REPEATS: {
        link_faults.cut_clients: 12,
        link_faults.silence_link: 8,
        link_faults.inject_link_fault: 8,
    },
}


async def inject_faults(soak: "Soak") -> None:
    """Inject faults until the run is over, and wait until all of them have ended."""
    weights = _WEIGHTS | _EMPHASIZED_WEIGHTS[soak.profile.emphasis]
    until_s = time.monotonic() + soak.duration_s
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until_s:
            await asyncio.sleep(soak.rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S))
            [inject] = soak.rng.choices(list(weights), weights=list(weights.values()))
            group.create_task(inject(soak))
