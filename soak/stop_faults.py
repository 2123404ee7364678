"""Stop entry processes with SIGTERM, one after the other and two at a time.

A stop is planned work: it excuses no request. That a process is suspended excuses those
to it, and none to others.
"""

import asyncio
import contextlib
import random
import signal
import time
import typing as t

from bench.processes import EntryProcess
from oracle.observations import Bounds
from soak.disruptions import STOP
from soak.entry_faults import find_leader, list_undisrupted
from soak.stop_plans import Beside, StopPlan, describe_stop_plan, draw_stop_plan

if t.TYPE_CHECKING:
    from soak.run import Soak

# So many processes stop at a time.
MAX_STOPPING: t.Final = 2
MAX_INTERVAL_S: t.Final = 0.5
# A process that outlives its grace period is killed so long after it.
KILL_DELAY_S: t.Final = 1.0
SLOW_SUSPENSION_S: t.Final = 0.1
SLOW_COUNT: t.Final = 8
POLL_INTERVAL_S: t.Final = 0.05


async def stop_in_series(soak: "Soak") -> None:
    """Stop entry processes until the run is over, and wait until all are back.

    The seed fixes the plans; which process each is for depends on the timing, too.
    """
    rng = random.Random(soak.rng.random())
    until_s = time.monotonic() + soak.duration_s
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until_s:
            await asyncio.sleep(rng.uniform(0.0, MAX_INTERVAL_S))
            plan = draw_stop_plan(rng)
            entry, role = _draw_entry(soak, plan.is_leader)
            if entry is None:
                continue
            soak.log_fault(f"stop {role} {entry.name}: {describe_stop_plan(plan)}")
            task = group.create_task(_stop_and_restart(soak, entry, plan))
            await asyncio.wait([task], timeout=plan.next_delay_s)
            while len(soak.faulted_entries) >= MAX_STOPPING:
                await asyncio.sleep(POLL_INTERVAL_S)


def _draw_entry(soak: "Soak", is_leader: bool) -> tuple[EntryProcess | None, str]:
    """Draw a process that is not stopping, the leader or not; return its role, too."""
    entries = list_undisrupted(soak)
    leader = find_leader(soak, entries)
    if is_leader and leader is not None:
        return leader, "leader"
    followers = [entry for entry in entries if entry is not leader]
    return (soak.rng.choice(followers) if followers else None), "follower"


async def _stop_and_restart(soak: "Soak", entry: EntryProcess, plan: StopPlan) -> None:
    soak.faulted_entries.add(entry.name)
    try:
        with _slow_store(soak, plan.append_delay_s):
            await asyncio.sleep(plan.store_lead_s if plan.append_delay_s else 0.0)
            await _stop(soak, entry, plan)
        await entry.start()
        if plan.fresh_delay_s >= 0:
            await asyncio.sleep(plan.fresh_delay_s)
            soak.log_fault(f"stop {entry.name} {plan.fresh_delay_s:.2f} s after start")
            await _stop(soak, entry, plan)
            await entry.start()
    finally:
        soak.faulted_entries.discard(entry.name)


@contextlib.contextmanager
def _slow_store(soak: "Soak", append_delay_s: float) -> t.Iterator[None]:
    """Let appends take a time; of overlapping stops the longest counts."""
    delays_s = soak.append_delays_s
    delays_s.append(append_delay_s)
    soak.cluster.store.append_delay_s = max(delays_s)
    try:
        yield
    finally:
        delays_s.remove(append_delay_s)
        soak.cluster.store.append_delay_s = max(delays_s, default=0.0)


async def _stop(soak: "Soak", entry: EntryProcess, plan: StopPlan) -> None:
    """Send SIGTERM and wait until the process is gone."""
    with soak.disruptions.record(STOP, entry.name):
        shutdown = soak.observations.record_shutdown(entry.name, time.monotonic())
        entry.send_signal(signal.SIGTERM)
        beside = [
            asyncio.create_task(_signal_again(entry, plan)),
            asyncio.create_task(_disturb(soak, entry, plan)),
        ]
        await entry.wait_exit(Bounds().grace_s + KILL_DELAY_S)
        shutdown.gone_s = time.monotonic()
        await asyncio.gather(*beside)


async def _signal_again(entry: EntryProcess, plan: StopPlan) -> None:
    if plan.again_delay_s:
        await asyncio.sleep(plan.again_delay_s)
        entry.send_signal(signal.SIGTERM)


async def _disturb(soak: "Soak", stopping: EntryProcess, plan: StopPlan) -> None:
    """Suspend the process that stops, or another one, once or again and again."""
    if plan.beside is Beside.NOTHING:
        return
    await asyncio.sleep(plan.beside_delay_s)
    entry = stopping
    if plan.is_beside_other:
        entry = soak.rng.choice(list_undisrupted(soak) or [stopping])
    with soak.disruptions.record(plan.beside.value, entry.name):
        if plan.beside is Beside.SUSPENDED:
            await _suspend(entry, plan.suspension_s)
            return
        for _ in range(SLOW_COUNT):
            await _suspend(entry, SLOW_SUSPENSION_S)
            await asyncio.sleep(SLOW_SUSPENSION_S)


async def _suspend(entry: EntryProcess, suspension_s: float) -> None:
    entry.send_signal(signal.SIGSTOP)
    await asyncio.sleep(suspension_s)
    entry.send_signal(signal.SIGCONT)
